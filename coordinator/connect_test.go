package coordinator

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Connections that never come up at sound hosts, the first to each: searches do not wait for them.
func TestDialsThatNeverConnect(t *testing.T) {
	var mu sync.Mutex
	tried := map[string]int{}
	r := startIn(t, nil, 256, nil, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			mu.Lock()
			tried[addr]++
			first := tried[addr] == 1
			mu.Unlock()
			if first {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return own(ctx, network, addr)
		}
	})
	began := time.Now()
	r.call().want("one", "all", 200, wholeOfAll)
	require.Less(t, time.Since(began), r.plan.Duration("Permissions.DialTimeout"))
	r.end()
}

type counted struct {
	net.Conn
	closed atomic.Bool
}

func (c *counted) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// A further way is tried only where none is up in time, the one that is up first is used, and the others are closed.
func TestDialWithRetries(t *testing.T) {
	gone := errors.New("refused")
	type ways = [maxParallelDials]func(ctx context.Context) (net.Conn, error)
	for name, x := range map[string]struct {
		ways  [maxParallelDials]func(ctx context.Context) (net.Conn, error)
		dials int
		fails error
	}{
		"quick":          {ways{up(0)}, 1, nil},
		"refused":        {ways{fail(gone), up(0)}, 1, gone},
		"late":           {ways{up(5 * maxRedialDelay), up(0)}, 2, nil},
		"silent":         {ways{silent, up(0)}, 2, nil},
		"both silent":    {ways{silent, silent, up(0)}, 3, nil},
		"all silent":     {ways{silent, silent, silent}, 3, context.DeadlineExceeded},
		"all late":       {ways{up(5 * maxRedialDelay), up(6 * maxRedialDelay), up(7 * maxRedialDelay)}, 3, nil},
		"second refused": {ways{up(3 * maxRedialDelay / 2), fail(gone)}, 2, nil},
		"third refused":  {ways{up(4 * maxRedialDelay), silent, fail(gone)}, 3, nil},
		"refused late":   {ways{silent, fail(gone), fail(gone)}, 3, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			var dials atomic.Int32
			var mu sync.Mutex
			var made []*counted
			g := &errgroup.Group{}
			loop := &eventLoop{group: g, Options: Options{Clock: SystemClock{}, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				conn, err := x.ways[dials.Add(1)-1](ctx)
				if err != nil {
					return nil, err
				}
				c := &counted{Conn: conn}
				mu.Lock()
				made = append(made, c)
				mu.Unlock()
				return c, nil
			}}}
			ctx, cancel := context.WithTimeout(context.Background(), 10*maxRedialDelay)
			defer cancel()
			conn, err := loop.dialWithRetries(ctx, "x", maxRedialDelay, 5)
			require.NoError(t, g.Wait())
			require.EqualValues(t, x.dials, dials.Load())
			require.ErrorIs(t, err, x.fails)
			for _, c := range made {
				require.Equal(t, net.Conn(c) != conn, c.closed.Load())
			}
			if x.fails == nil {
				require.NotNil(t, conn)
			}
		})
	}
}

func up(after time.Duration) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) { // it is up whether or not it was called off
		time.Sleep(after)
		here, _ := net.Pipe()
		return here, nil
	}
}

func fail(err error) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) { return nil, err }
}

func silent(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A new plan that comes while connects are late changes the number of descriptors, which the owner alone may look at: the race
// detector holds it.
func TestReloadDuringSlowDials(t *testing.T) {
	var late atomic.Int32
	r := startIn(t, nil, 256, nil, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if late.Add(1) <= 8 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return own(ctx, network, addr)
		}
	})
	c := r.call()
	c.send(request("q", "all", "", fourParts))
	for n := 255; ; n-- { // one after another, until further connects have been tried
		p := *r.plan
		p.MaxSockets = n
		r.plans <- &p
		if late.Load() > 4 {
			break
		}
	}
	status, _, _, _ := c.answer()
	require.Contains(t, []int{200, 503}, status)
	r.end()
}
