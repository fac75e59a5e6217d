package fanout

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"chalkring/control/subscribers"
	"chalkring/coordinator"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
)

const (
	tickInterval         = 100 * time.Millisecond // a handover takes about ten ticks
	cleanupInterval      = time.Minute
	maxDeletesPerCleanup = 200         // expired unsubscriptions deleted per cleanup
	statsLogInterval     = time.Second // minimum, while the list or the view changes
)

// Serve runs the gateway until ctx is canceled, or until stopping is canceled and the deliveries in flight have ended or
// timed out.
func (g *Gateway) Serve(ctx, stopping context.Context, searches *coordinator.SearchAPI) error {
	select {
	case <-g.options.Store.Ready():
	case <-stopping.Done():
		return nil
	case <-ctx.Done():
		return nil
	}
	running, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	if g.options.OnDrained != nil {
		defer g.options.OnDrained()
	}
	defer background.Wait()
	defer cancel()
	g.loop.searches = searches
	g.loop.decisions = subscribers.NewGateway(now(), g.options.Self, g.options.Rules())
	schedule := scheduler.NewSchedule(rand.New(rand.NewSource(g.options.Seed)), map[string]scheduler.Budget{searchKind: {MaxConcurrent: maxConcurrentSearches}})
	g.loop.pool = scheduler.NewPool(coordinator.SystemClock{}, schedule, func(string, error) {})
	background.Go(func() { _ = g.loop.pool.Run(running) }) // it returns when running is canceled
	fileUpdates := make(chan fileUpdate)
	if g.options.FilePath != "" {
		background.Go(func() { watchFile(running, g.options.FilePath, fileUpdates) })
	}
	return g.runLoop(ctx, stopping, fileUpdates)
}

// runLoop handles events and ticks until the gateway has drained.
func (g *Gateway) runLoop(ctx, stopping context.Context, fileUpdates <-chan fileUpdate) error {
	listChanges, endListWatch := g.options.Store.Watch(subscribers.KeyPrefix)
	defer endListWatch()
	statusChanges, endStatusWatch := g.options.Store.Watch(subscribers.StatusMessageKeyPrefix)
	defer endStatusWatch()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	g.loop.lastBusyTime, g.loop.lastLoadSample = g.loop.searches.BusyTime(), time.Now()
	for {
		select {
		case <-listChanges:
			g.loop.listChanged = true
		case <-statusChanges:
			g.loop.statusesChanged = true
		case update := <-fileUpdates:
			g.acceptFile(update)
			g.loop.lastFileCheck = time.Time{}
		case task := <-g.tasks:
			task()
			g.startDueSearches()
		case <-ticker.C:
			if drained := g.tick(time.Now(), stopping.Err() != nil); drained {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// tick does the periodic work, in steps that each take some milliseconds, and reports whether the gateway has drained.
func (g *Gateway) tick(t time.Time, stopping bool) (drained bool) {
	g.recordLoad(t)
	g.readStore(t)
	if stopping && !g.loop.draining {
		g.loop.draining, g.loop.drainingSince = true, t
	}
	if g.loop.draining && (g.loop.decisions.CountDeliveries() == 0 || t.Sub(g.loop.drainingSince) > deliveryTimeout) {
		return true
	}
	members := g.options.Membership()
	g.loop.decisions.SetRules(now(), g.options.Rules())
	g.loop.decisions.UpdateMembers(now(), members.Members, members.HasMajority)
	if status, publish := g.loop.decisions.Tick(now(), wallMS()); publish {
		g.publishStatus(status)
	}
	g.checkFile(t)
	if members.Complete && t.Sub(g.loop.lastCleanup) >= cleanupInterval {
		g.loop.lastCleanup = t
		g.deleteExpired()
	}
	if serving := g.loop.decisions.IsServing(); serving != g.loop.wasServing {
		g.loop.wasServing, g.loop.statsChanged = serving, true
	}
	if g.loop.statsChanged && t.Sub(g.loop.lastStatsLog) >= statsLogInterval {
		g.loop.statsChanged, g.loop.lastStatsLog = false, t
		g.logStats()
	}
	g.startDueSearches()
	return false
}

// recordLoad reports the machine's load to the scheduler: the share of time in which the coordinator was busy, or by
// which the tick is late, whichever is greater.
func (g *Gateway) recordLoad(t time.Time) {
	busyTime := g.loop.searches.BusyTime()
	if !t.After(g.loop.lastLoadSample) {
		return
	}
	elapsed := t.Sub(g.loop.lastLoadSample)
	lateness := elapsed - tickInterval
	load := max(float64(busyTime-g.loop.lastBusyTime), float64(lateness)) / float64(elapsed)
	g.loop.pool.RecordLoad(min(1, load))
	g.loop.lastBusyTime, g.loop.lastLoadSample = busyTime, t
}

// deleteExpired deletes unsubscribed entries that need not be kept any longer.
func (g *Gateway) deleteExpired() {
	for _, key := range g.loop.list.FindExpiredTombstones(wallMS(), maxDeletesPerCleanup) {
		if _, err := g.options.Store.Delete(key.EntryName()); err != nil {
			g.warnLimited("subscriber_update_failed", advice.LogAttrs(err, "subscriber", key)...)
		}
	}
}

func (g *Gateway) logStats() {
	subscribed, unsubscribed := g.loop.list.CountSubscriptions()
	stats, stored, sent := g.loop.decisions.Stats(), 0, uint64(0)
	if g.options.ReplicationBytes != nil {
		stored, sent = g.options.ReplicationBytes()
	}
	g.log.Info("subscribers_status", "list_digest", fmt.Sprintf("%016x", g.loop.list.Digest()), "view", fmt.Sprintf("%016x", stats.View),
		"gateways", stats.Gateways, "subscribed", subscribed, "unsubscribed", unsubscribed, "served", stats.Served,
		"unassigned", stats.Unassigned, "epoch", stats.Epoch, "view_changes", stats.ViewChanges, "searches", stats.Searches,
		"deliveries", stats.Deliveries, "failed", stats.Failed, "repeated", stats.Repeated, "conflicts", g.loop.conflictCount,
		"stored_bytes", stored, "sent_bytes", sent)
}
