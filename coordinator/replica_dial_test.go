package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

type counted struct {
	net.Conn
	closed atomic.Bool
}

func (c *counted) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
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

// gates hold back connections: each that is opened waits until its address is let through.
type gates struct {
	mu   sync.Mutex
	open map[string]chan struct{}
}

func (g *gates) at(addr string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[addr] == nil {
		g.open[addr] = make(chan struct{})
	}
	return g.open[addr]
}

// The second connects beside late ones keep to their part of the descriptors, however many are late at once.
func TestExtraDialsAreBounded(t *testing.T) {
	const sockets = 64
	var tried atomic.Int64 // now
	r := startIn(t, nil, sockets, func(settings map[string]any) {
		may := settings["Permissions"].(map[string]any)
		may["DialTimeout"], may["StreamsPerConn"] = float64(patience/time.Millisecond), 1
		settings["Specifics"].(map[string]any)["PerCall"] = 1
	}, nil, nil, func(m *Options) {
		m.Dial = func(ctx context.Context, _, addr string) (net.Conn, error) {
			tried.Add(1)
			defer tried.Add(-1)
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	for i := range 12 {
		r.call().send(request(fmt.Sprint("q", i), "all", "", fourParts))
	}
	lines := func() (n int) {
		r.runInLoop(func(loop *eventLoop) { n = loop.descriptors.replicaConnections })
		return n
	}
	r.eventually("connections are late", func() bool { return float64(lines()) >= replicaDescriptorShare*sockets })
	r.eventually("second ones are tried", func() bool { return r.loop.descriptors.extraDials.Load() >= int64(lines()) })
	require.LessOrEqual(t, tried.Load(), int64(math.Ceil(replicaDescriptorShare*sockets+extraDialShare*sockets))+1) // one is discovery's
	r.end()
	require.Zero(t, r.loop.descriptors.extraDials.Load())
}

// startGated starts one whose connections to the replicas of cell 0 wait at their gates.
func startGated(t *testing.T, edit func(settings map[string]any)) (r *rig, let func(id string)) {
	g, gated := &gates{open: map[string]chan struct{}{}}, make(chan map[string]bool, 1)
	r = startIn(t, nil, 256, func(settings map[string]any) {
		settings["Permissions"].(map[string]any)["DialTimeout"] = float64(patience / time.Millisecond)
		if edit != nil {
			edit(settings)
		}
	}, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			waits := <-gated
			gated <- waits
			if waits[addr] {
				select {
				case <-g.at(addr):
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			return own(ctx, network, addr)
		}
	})
	waits := map[string]bool{}
	for _, id := range []string{"a0", "a1"} {
		waits[r.replicas[id].Listener.Addr().String()] = true
	}
	gated <- waits
	return r, func(id string) { close(g.at(r.replicas[id].Listener.Addr().String())) }
}

// awaitTurn does something in a turn of the owner's and waits for it.
func (r *rig) runInLoop(do func(loop *eventLoop)) {
	done := make(chan struct{})
	require.True(r.t, r.loop.submit(func() { do(r.loop); close(done) }))
	<-done
}

// waiting tells how many parts are out, as the owner sees it, on connections to a replica that are not up.
func (r *rig) waiting(id string) (n int) {
	r.runInLoop(func(loop *eventLoop) {
		if to := loop.replicas.byID[id]; to != nil {
			for _, conn := range to.connections {
				if conn.connectedAt == 0 {
					n += len(conn.attempts)
				}
			}
		}
	})
	return n
}

// up tells whether a connection to a replica is.
func (r *rig) up(id string) (is bool) {
	r.runInLoop(func(loop *eventLoop) {
		for _, conn := range loop.replicas.byID[id].connections {
			is = is || conn.connectedAt > 0
		}
	})
	return is
}

// A part that waits for a connection that comes up late tells its replica what is left to the client then.
func TestRemainingTimeOnSlowConnection(t *testing.T) {
	const late = 300 * time.Millisecond
	r, let := startGated(t, nil)
	c := r.call().send(request("q", "all", "", fourParts))
	r.eventually("parts wait", func() bool { return r.waiting("a0")+r.waiting("a1") >= 2 })
	time.Sleep(late)
	let("a0")
	let("a1")
	status, _, text, _ := c.answer()
	require.Equal(t, 200, status)
	require.JSONEq(t, wholeOfAll, text)
	for _, id := range []string{"a0", "a1"} {
		parts, _, _, _ := r.replicas[id].Observed()
		for _, p := range parts {
			told, err := strconv.Atoi(strings.TrimPrefix(p.List, "d="))
			require.NoError(t, err)
			require.LessOrEqual(t, told, 8000-int(late/time.Millisecond)+1, "%s of a client that gave 8 s", p.List)
			require.Positive(t, told)
		}
	}
	r.end()
}

// A part that waits for a connection to a replica that begins to drain, is gone or has moved meanwhile goes elsewhere in
// time, and nothing is sent there once the connection is up.
func TestNothingWaitsForRemovedReplica(t *testing.T) {
	for name, list := range map[string]func(r *rig, id, other string) string{
		"drains": func(r *rig, id, _ string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(id, "draining"))
		},
		"removed": func(r *rig, id, _ string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(id, "removed"))
		},
		"left out": func(r *rig, _, other string) string {
			return fmt.Sprintf(`{"version":8,"full":true,"servers":[%s,%s]}`, r.entry(other, "up"), r.entry("b0", "up"))
		},
		"moved": func(r *rig, id, other string) string {
			addr := func(id string) string { return r.replicas[id].Listener.Addr().String() }
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`,
				strings.Replace(r.entry(id, "up"), addr(id), addr(other), 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, let := startGated(t, func(settings map[string]any) { // no other way off a connection than what is tested
				settings["Permissions"].(map[string]any)["SecondCopies"] = false
				settings["Permissions"].(map[string]any)["Cancelling"] = false
				settings["Classes"].([]any)[1].(map[string]any)["Effect"] = "fragile"
			})
			c := r.call().send(request("q", "all", "", fourParts))
			r.eventually("parts wait", func() bool { return r.waiting("a0")+r.waiting("a1") == 2 })
			id, other := "a0", "a1"
			if r.waiting(id) == 0 {
				id, other = other, id
			}
			let(other)
			r.list.Responses <- list(r, id, other)
			r.eventually("they are taken back", func() bool { return r.waiting(id) == 0 })
			let(id)
			status, _, text, _ := c.answer()
			require.Equal(t, 200, status)
			require.JSONEq(t, wholeOfAll, text)
			parts, _, _, _ := r.replicas[id].Observed()
			require.Empty(t, parts)
			r.end()
		})
	}
}

// A part whose client leaves while it waits for a connection that is not up does not go out once that is.
func TestClientLeavesDuringDial(t *testing.T) {
	r, let := startGated(t, func(settings map[string]any) { // the module calls nothing off
		may := settings["Permissions"].(map[string]any)
		may["SecondCopies"], may["Cancelling"] = false, false
	})
	c := r.call().send(request("q", "all", "", fourParts))
	r.eventually("parts wait", func() bool { return r.waiting("a0")+r.waiting("a1") >= 2 })
	id := "a0"
	if r.waiting(id) == 0 {
		id = "a1"
	}
	c.Close()
	r.eventually("its client has left", func() bool { return r.open() == 0 })
	let(id)
	r.eventually("the connection is up", func() bool { return r.up(id) })
	r.call().want("next", "all", 200, wholeOfAll) // by the same connection, behind what would have gone out
	parts, _, _, _ := r.replicas[id].Observed()
	require.Len(t, parts, 2)
	for _, p := range parts {
		require.True(t, strings.HasPrefix(p.ID, "next."), p.ID)
	}
	r.end()
}
