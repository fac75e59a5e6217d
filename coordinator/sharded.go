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

// ServeSharded serves with n event loops in one process, since one uses one core at the most. Each has a balancer of
// its own and its part of the clients' connections, descriptors, memory and budget; to rules that all coordinators
// keep together each counts as a coordinator. Other frontends, peers and persistence are the first one's.
func ServeSharded(ctx context.Context, p *plan.Plan, options Options, n int) error {
	if n <= 1 {
		return Serve(ctx, p, options)
	}
	shared := newSharedListener(options.Listener, n)
	plans := make([]chan *plan.Plan, n)
	for i := range plans {
		plans[i] = make(chan *plan.Plan)
	}
	g, ctx := errgroup.WithContext(ctx)
	over, end := context.WithCancel(context.WithoutCancel(ctx))
	var left sync.WaitGroup
	lists := make([]chan endpoints.Update, n)
	for i := range n {
		own := options
		own.Listener, own.PlanUpdates = shared.shards[i], plans[i]
		if options.EndpointUpdates != nil {
			lists[i] = make(chan endpoints.Update)
			own.EndpointUpdates = lists[i]
		}
		own.Logger = slog.New(options.Logger.Handler().WithAttrs([]slog.Attr{slog.Int("owner", i)}))
		if i > 0 {
			own.Frontends, own.Peers, own.Persistence = nil, nil, nil
		}
		left.Add(1)
		g.Go(func() error {
			defer left.Done()
			return Serve(ctx, p.ForShard(i, n), own)
		})
	}
	g.Go(func() error {
		shared.distribute()
		return nil
	})
	g.Go(func() error {
		left.Wait()
		end()
		return nil
	})
	g.Go(func() error {
		more := options.EndpointUpdates
		for {
			select {
			case update, ok := <-more:
				if !ok {
					more = nil
					continue
				}
				for _, to := range lists {
					own := update
					own.Hosts = slices.Clone(update.Hosts) // each event loop formats names in place
					select {
					case to <- own:
					case <-over.Done():
						return nil
					}
				}
			case next := <-options.PlanUpdates:
				for i, to := range plans {
					select {
					case to <- next.ForShard(i, n):
					case <-over.Done():
						return nil
					}
				}
			case <-over.Done():
				return nil
			}
		}
	})
	return g.Wait()
}
