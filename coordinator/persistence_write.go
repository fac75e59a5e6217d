package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/endpoints"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
	"chalkring/storage/recovery"
	"chalkring/storage/store"
)

// RecordEvent queues an event for the event log without waiting. Any goroutine may call it.
func (p *Persistence) RecordEvent(kind, message string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingEvents) >= maxPendingEvents {
		p.droppedEvents++
		return
	}
	p.pendingEvents = append(p.pendingEvents, store.Event{UnixMs: p.clock.Now().UnixMilli(), Kind: kind, Message: message})
}

// run imports stored observations as a peer report once the store is open, and then starts the background job that
// writes. stopping is cancelled when a planned stop begins; then the last write follows.
func (p *Persistence) run(loop *eventLoop, stopping context.Context) {
	loop.group.Go(func() error {
		if _, err := p.WaitForStore(loop.ctx); err != nil {
			return nil // it was logged
		}
		if observations := p.restored.Observations; observations != nil {
			p.importStoredObservations(loop, observations)
		}
		job := scheduler.Job{Name: "keep", Kind: persistJobKind, Priority: scheduler.PriorityNormal, Delay: int64(firstPersistDelay / tick), Interval: int64(persistInterval / tick)}
		_, err := loop.peers.pool.Add(job, func(ctx context.Context, allowance *scheduler.Allowance) error {
			ctx, cancel := context.WithTimeout(ctx, persistTimeout)
			defer cancel()
			return p.write(ctx, loop, allowance, false)
		})
		if err != nil {
			loop.log.Warn("job_failed", "job", "keep", "error", err)
		}
		select {
		case <-stopping.Done():
		case <-loop.ctx.Done():
			return nil
		}
		ctx, cancel := context.WithTimeout(loop.ctx, lastPersistTimeout)
		defer cancel()
		p.RecordEvent("stop", "planned")
		_ = p.write(ctx, loop, nil, true) // write logs its error
		return nil
	})
}

// importStoredObservations imports the observations of an earlier run as the report of one peer.
func (p *Persistence) importStoredObservations(loop *eventLoop, observations *recovery.Observations) {
	exchange, header := loop.peers, observations.Head
	age := int64(p.clock.Now().Sub(time.UnixMilli(observations.SavedAt)) / tick) // by the wall clock, which covers the time between two runs
	header.Peer, header.Locality = recovery.PeerName, exchange.options.Location
	exchange.mu.Lock()
	err := exchange.reports.BeginReport(loop.clockTicks()-max(0, age), header)
	if err == nil {
		err = exchange.reports.AddObservations(header.Peer, observations.Entries)
	}
	if err == nil {
		exchange.reports.CompleteReport(header.Peer)
	} else {
		exchange.reports.AbortReport(header.Peer)
	}
	exchange.mu.Unlock()
	if err != nil {
		loop.log.Info("state_discarded", "what", observationsKey, "why", err.Error())
		return
	}
	loop.log.Info("observations_imported", "peer", recovery.PeerName, "hosts", exchange.importReports())
}

// recordList sets the current endpoint list, which the next write stores.
func (p *Persistence) recordList(hosts []endpoints.Endpoint, removals []endpoints.Removal) {
	list := recovery.NewEndpointList(p.clock.Now().UnixMilli(), p.planVersion, p.discoveryVersion.Load(), hosts, removals)
	p.currentList.Store(&list)
}

// write stores current observations, the endpoint list if it has changed, and pending events. The last write also
// records that the stop was planned.
func (p *Persistence) write(ctx context.Context, loop *eventLoop, allowance *scheduler.Allowance, last bool) (err error) {
	select {
	case p.writeSlot <- struct{}{}:
		defer func() { <-p.writeSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() {
		if err != nil && loop.ctx.Err() == nil {
			loop.log.warnLimited("store_failed", "store_failed", advice.LogAttrs(err)...)
		}
	}()
	exchange, began, puts := loop.peers, time.Now(), map[string][]byte{}
	put := func(key string, v any) error {
		encoded, err := cbor.Marshal(v)
		puts[key] = encoded
		return err
	}
	header, observations, err := exchange.currentReport(ctx)
	if err != nil {
		return err
	}
	now := p.clock.Now()
	err = put(observationsKey, recovery.Observations{SavedAt: now.UnixMilli(), Head: header, Entries: observations})
	list := p.currentList.Load()
	changed := list != nil && (list != p.writtenList || now.Sub(time.UnixMilli(list.SavedAt)) > listRewriteInterval)
	if changed {
		if list == p.writtenList {
			renewed := *list
			renewed.SavedAt = now.UnixMilli()
			p.currentList.CompareAndSwap(list, &renewed)
			list = &renewed
		}
		err = errors.Join(err, put(listKey, list))
	}
	if last {
		err = errors.Join(err, put(startsKey, recovery.StartRecord{}.RecordPlannedStop()))
	}
	bytes := 0
	for _, encoded := range puts {
		bytes += len(encoded)
	}
	if allowance != nil {
		err = errors.Join(err, allowance.Spend(ctx, bytes, time.Since(began)))
	}
	if err == nil {
		err = p.store.Put(ctx, stateBucket, puts, nil)
	}
	if err != nil {
		return err
	}
	if changed {
		p.writtenList = list
	}
	return p.flushEvents(ctx)
}

// flushEvents writes the pending events, which stay pending if the write fails.
func (p *Persistence) flushEvents(ctx context.Context) error {
	p.mu.Lock()
	events, dropped := p.pendingEvents, p.droppedEvents
	p.pendingEvents, p.droppedEvents = nil, 0
	p.mu.Unlock()
	if dropped > 0 {
		events = append(events, store.Event{UnixMs: p.clock.Now().UnixMilli(), Kind: "left_out", Message: fmt.Sprint(dropped, " events")})
	}
	if len(events) == 0 {
		return nil
	}
	err := p.events.Append(ctx, events)
	if err != nil {
		p.mu.Lock()
		p.pendingEvents = append(events, p.pendingEvents...)
		p.pendingEvents = p.pendingEvents[max(0, len(p.pendingEvents)-maxPendingEvents):]
		p.mu.Unlock()
	}
	return err
}

// recordEvent queues an event for the event log if the coordinator has persistence.
func (loop *eventLoop) recordEvent(kind, message string) {
	if loop.Persistence != nil {
		loop.Persistence.RecordEvent(kind, message)
	}
}
