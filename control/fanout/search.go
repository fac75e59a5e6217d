package fanout

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chalkring/control/subscribers"
	"chalkring/coordinator"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
)

const (
	searchKind            = "standing"      // kind of background work under which the scheduler budgets standing searches
	maxConcurrentSearches = 8               // standing searches, including their deliveries
	maxSearchDelay        = 2 * time.Minute // how long a standing search may wait for others before it is skipped
)

// startDueSearches passes the searches that are due to the scheduler.
func (g *Gateway) startDueSearches() {
	if g.loop.draining {
		return
	}
	searches, _ := g.loop.decisions.StartDueSearches(now(), 2*maxConcurrentSearches)
	for _, search := range searches {
		g.loop.lastJobNumber++
		name := fmt.Sprintf("sub-%s-%d", g.options.Self.Name, g.loop.lastJobNumber)
		job := scheduler.Job{Name: name, Kind: searchKind, Priority: scheduler.PriorityNormal, MaxFailures: 1}
		dueAt := time.Now()
		_, err := g.loop.pool.Add(job, func(ctx context.Context, _ *scheduler.Allowance) error {
			var values map[int][]byte
			if time.Since(dueAt) <= maxSearchDelay {
				values = g.runSearch(ctx, name, search)
			}
			g.completeSearch(ctx, search, values)
			return nil
		})
		if err != nil {
			g.loop.decisions.CompleteSearch(now(), search, nil)
		}
	}
}

// runSearch runs a standing search and returns its values by block, nil if it failed.
func (g *Gateway) runSearch(ctx context.Context, name string, search subscribers.DueSearch) (values map[int][]byte) {
	blocks := search.Blocks
	if len(blocks) == 0 {
		for block := range min(g.loop.searches.BlockCount(), subscribers.MaxBlocks) {
			blocks = append(blocks, block)
		}
	}
	result, err := g.loop.searches.Search(ctx, coordinator.SearchRequest{
		ID: strings.ReplaceAll(name, ".", "_"), Type: search.Type, Tenant: search.Key.Tenant, Body: []byte(search.Query),
		Shards: blocks, Timeout: g.loop.searches.SearchTimeout(search.Type),
		DecodeValue: func(_ int, value []byte) (any, error) { return bytes.Clone(value), nil },
	})
	if ctx.Err() != nil {
		return nil
	}
	reason := failureReason(result.Outcome)
	if err != nil {
		reason = err.Error()
	}
	if reason != "" || err != nil {
		g.warnLimited("subscriber_search_failed", advice.LogAttrs(&SearchFailedError{reason}, "subscriber", search.Key)...)
		return nil
	}
	values = map[int][]byte{}
	for _, part := range result.Parts {
		values[part.Shard], _ = part.Value.([]byte)
	}
	return values
}

// failureReason returns why a search has no result, empty if it has one.
func failureReason(outcome int) string {
	switch outcome {
	case coordinator.OutcomeShed:
		return "shed"
	case coordinator.OutcomeFailed:
		return "errored"
	case coordinator.OutcomeDuplicateID:
		return "a search with the same ID is in flight"
	}
	return ""
}

// runInLoop runs a task in Serve's goroutine and waits for it. It reports whether the task has run.
func (g *Gateway) runInLoop(ctx context.Context, task func()) bool {
	done := make(chan struct{})
	select {
	case g.tasks <- func() { task(); close(done) }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// completeSearch ends a search and delivers what has changed. It runs in the search's goroutine.
func (g *Gateway) completeSearch(ctx context.Context, search subscribers.DueSearch, values map[int][]byte) {
	hashes := map[int]uint64{}
	for block, value := range values {
		hashes[block] = xxhash.Sum64(value)
	}
	var delivery subscribers.Delivery
	var hasDelivery bool
	var url string
	ran := g.runInLoop(ctx, func() {
		delivery, hasDelivery = g.loop.decisions.CompleteSearch(now(), search, hashes)
		if g.loop.file != nil {
			url = g.loop.file.DeliveryURL
		}
	})
	if ran && hasDelivery {
		g.deliver(ctx, delivery, newDeliveryMessage(delivery, hashes, values), url)
	}
}

// deliver sends a delivery and records how it ended.
func (g *Gateway) deliver(ctx context.Context, delivery subscribers.Delivery, message DeliveryMessage, url string) {
	send := g.options.Deliver
	if send == nil {
		send = DeliverByHTTP(strings.ReplaceAll(url, "{tenant}", delivery.Key.Tenant))
	}
	err := deliverWithRetries(ctx, send, message)
	var checkpoint subscribers.DeliveryCheckpoint
	if !g.runInLoop(ctx, func() { checkpoint = g.loop.decisions.CompleteDelivery(now(), delivery, err == nil) }) {
		return
	}
	if err != nil {
		g.warnLimited("subscriber_delivery_failed", advice.LogAttrs(err, "subscriber", delivery.Key, "number", delivery.Number)...)
		return
	}
	if err := g.update(delivery.Key, subscribers.RecordDelivery(delivery.Consent, checkpoint)); err != nil {
		g.warnLimited("subscriber_update_failed", advice.LogAttrs(err, "subscriber", delivery.Key)...)
	}
}
