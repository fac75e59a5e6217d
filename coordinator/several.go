package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"

	"chalkring/coordinator/plan"

	"golang.org/x/sync/errgroup"

	"chalkring/endpoints"
)

// ServeSharded serves with so many co-ordinators in one process, each with an owner and a module of its own and its part of
// the clients' connections, descriptors, memory and budget: an owner takes one core at the most. To the rules that all
// co-ordinators keep together they are so many more, and that is what their settings say. Other fronts, peers and
// what is kept on disk are the first one's.
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
					own.Hosts = slices.Clone(update.Hosts) // each puts names in its own form
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

// sharedListener deals the connections of one listener to several.
type sharedListener struct {
	listener net.Listener
	shards   []*shardListener

	mu   sync.Mutex
	open int
}

// shardListener is one's part of a listener.
type shardListener struct {
	*sharedListener
	accepted  chan acceptResult
	closed    chan struct{}
	closeOnce sync.Once
}

// acceptResult is one connection, or why there is none.
type acceptResult struct {
	conn net.Conn
	err  error
}

func newSharedListener(from net.Listener, n int) *sharedListener {
	s := &sharedListener{listener: from, open: n}
	for range n {
		s.shards = append(s.shards, &shardListener{sharedListener: s, accepted: make(chan acceptResult), closed: make(chan struct{})})
	}
	return s
}

func (d *shardListener) Accept() (net.Conn, error) {
	select {
	case t := <-d.accepted:
		return t.conn, t.err
	case <-d.closed:
		return nil, net.ErrClosed
	}
}

func (d *shardListener) Addr() net.Addr { return d.listener.Addr() }

// Close gives up one's part; the last closes the listener.
func (d *shardListener) Close() error {
	last := false
	d.closeOnce.Do(func() {
		close(d.closed)
		d.mu.Lock()
		d.open--
		last = d.open == 0
		d.mu.Unlock()
	})
	if last {
		return d.listener.Close()
	}
	return nil
}

// distribute hands connections round: to the next in turn that is waiting for one, or else to the first that is. Guards
// against one that has no room and would hold up the others.
func (s *sharedListener) distribute() {
	for turn := 0; ; turn++ {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if !s.handOver(acceptResult{conn, err}, turn) && conn != nil {
			conn.Close()
		}
	}
}

func (s *sharedListener) handOver(t acceptResult, turn int) bool {
	n := len(s.shards)
	for i := range n {
		select {
		case s.shards[(turn+i)%n].accepted <- t:
			return true
		default:
		}
	}
	for i := range n { // all are busy for the moment
		d := s.shards[(turn+i)%n]
		select {
		case d.accepted <- t:
			return true
		case <-d.closed:
		}
	}
	return false
}
