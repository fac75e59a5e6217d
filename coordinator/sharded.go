package coordinator

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"chalkring/coordinator/plan"
	"chalkring/endpoints"
)

// ServeSharded serves with n event loops in one process, since one event loop uses at most one core. Each has its own
// balancer and a share of the client connections, descriptors, memory and budget, and counts as a separate coordinator in
// limits that all coordinators share. Other frontends, peers and persistence belong to the first one.
func ServeSharded(ctx context.Context, initial *plan.Plan, options Options, n int) error {
	if n <= 1 {
		return Serve(ctx, initial, options)
	}
	listener := newSharedListener(options.Listener, n)
	shards := newShardUpdates(n, options.EndpointUpdates != nil)
	group, ctx := errgroup.WithContext(ctx)
	done, end := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	for i := range n {
		own := shards.optionsOf(i, options)
		own.Listener = listener.shards[i]
		running.Add(1)
		group.Go(func() error {
			defer running.Done()
			return Serve(ctx, initial.ForShard(i, n), own)
		})
	}
	group.Go(func() error {
		listener.distribute()
		return nil
	})
	group.Go(func() error {
		running.Wait()
		end()
		return nil
	})
	group.Go(func() error {
		shards.forward(done, options.EndpointUpdates, options.PlanUpdates)
		return nil
	})
	return group.Wait()
}

// shardUpdates holds the channels on which each event loop receives new plans and endpoint lists.
type shardUpdates struct {
	plans []chan *plan.Plan
	lists []chan endpoints.Update // nil elements without EndpointUpdates
}

func newShardUpdates(n int, hasLists bool) *shardUpdates {
	updates := &shardUpdates{plans: make([]chan *plan.Plan, n), lists: make([]chan endpoints.Update, n)}
	for i := range n {
		updates.plans[i] = make(chan *plan.Plan)
		if hasLists {
			updates.lists[i] = make(chan endpoints.Update)
		}
	}
	return updates
}

// optionsOf returns the options of one event loop, except for its listener.
func (u *shardUpdates) optionsOf(index int, options Options) Options {
	options.PlanUpdates = u.plans[index]
	if u.lists[index] != nil {
		options.EndpointUpdates = u.lists[index]
	}
	options.Logger = slog.New(options.Logger.Handler().WithAttrs([]slog.Attr{slog.Int("owner", index)}))
	if index > 0 {
		options.Frontends, options.Peers, options.Persistence = nil, nil, nil
	}
	return options
}

// forward sends new plans and endpoint lists to all event loops until these have ended.
func (u *shardUpdates) forward(done context.Context, lists <-chan endpoints.Update, plans <-chan *plan.Plan) {
	for {
		select {
		case update, ok := <-lists:
			if !ok {
				lists = nil
				continue
			}
			for _, shard := range u.lists {
				own := update
				own.Hosts = slices.Clone(update.Hosts) // each event loop formats names in place
				select {
				case shard <- own:
				case <-done.Done():
					return
				}
			}
		case next := <-plans:
			for i, shard := range u.plans {
				select {
				case shard <- next.ForShard(i, len(u.plans)):
				case <-done.Done():
					return
				}
			}
		case <-done.Done():
			return
		}
	}
}
