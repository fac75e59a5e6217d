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
func ServeSharded(ctx context.Context, p *plan.Plan, m Options, n int) error {
	if n <= 1 {
		return Serve(ctx, p, m)
	}
	shared := newShared(m.Listener, n)
	plans := make([]chan *plan.Plan, n)
	for i := range plans {
		plans[i] = make(chan *plan.Plan)
	}
	g, ctx := errgroup.WithContext(ctx)
	over, end := context.WithCancel(context.WithoutCancel(ctx))
	var left sync.WaitGroup
	lists := make([]chan endpoints.Update, n)
	for i := range n {
		own := m
		own.Listener, own.PlanUpdates = shared.shares[i], plans[i]
		if m.EndpointUpdates != nil {
			lists[i] = make(chan endpoints.Update)
			own.EndpointUpdates = lists[i]
		}
		own.Logger = slog.New(m.Logger.Handler().WithAttrs([]slog.Attr{slog.Int("owner", i)}))
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
		shared.deal()
		return nil
	})
	g.Go(func() error {
		left.Wait()
		end()
		return nil
	})
	g.Go(func() error {
		more := m.EndpointUpdates
		for {
			select {
			case t, ok := <-more:
				if !ok {
					more = nil
					continue
				}
				for _, to := range lists {
					own := t
					own.Hosts = slices.Clone(t.Hosts) // each puts names in its own form
					select {
					case to <- own:
					case <-over.Done():
						return nil
					}
				}
			case next := <-m.PlanUpdates:
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

// shared deals the connections of one listener to several.
type shared struct {
	from   net.Listener
	shares []*dealt

	mu   sync.Mutex
	open int
}

// dealt is one's part of a listener.
type dealt struct {
	*shared
	conns chan taker
	shut  chan struct{}
	once  sync.Once
}

// taker is one connection, or why there is none.
type taker struct {
	conn net.Conn
	err  error
}

func newShared(from net.Listener, n int) *shared {
	s := &shared{from: from, open: n}
	for range n {
		s.shares = append(s.shares, &dealt{shared: s, conns: make(chan taker), shut: make(chan struct{})})
	}
	return s
}

func (d *dealt) Accept() (net.Conn, error) {
	select {
	case t := <-d.conns:
		return t.conn, t.err
	case <-d.shut:
		return nil, net.ErrClosed
	}
}

func (d *dealt) Addr() net.Addr { return d.from.Addr() }

// Close gives up one's part; the last closes the listener.
func (d *dealt) Close() error {
	last := false
	d.once.Do(func() {
		close(d.shut)
		d.mu.Lock()
		d.open--
		last = d.open == 0
		d.mu.Unlock()
	})
	if last {
		return d.from.Close()
	}
	return nil
}

// deal hands connections round: to the next in turn that is waiting for one, or else to the first that is. Guards
// against one that has no room and would hold up the others.
func (s *shared) deal() {
	for turn := 0; ; turn++ {
		conn, err := s.from.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if !s.hand(taker{conn, err}, turn) && conn != nil {
			conn.Close()
		}
	}
}

func (s *shared) hand(t taker, turn int) bool {
	n := len(s.shares)
	for i := range n {
		select {
		case s.shares[(turn+i)%n].conns <- t:
			return true
		default:
		}
	}
	for i := range n { // all are busy for the moment
		d := s.shares[(turn+i)%n]
		select {
		case d.conns <- t:
			return true
		case <-d.shut:
		}
	}
	return false
}
