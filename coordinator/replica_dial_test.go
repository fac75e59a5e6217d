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

type closeCounter struct {
	net.Conn
	closed atomic.Bool
}

func (c *closeCounter) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func dialAfter(after time.Duration) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) { // it is up whether or not it was called off
		time.Sleep(after)
		here, _ := net.Pipe()
		return here, nil
	}
}

func dialFails(err error) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) { return nil, err }
}

func dialSilent(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// The first connections to sound hosts never come up: searches do not wait for them.
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
	r.connect().expect("one", "all", 200, completeAnswer)
	require.Less(t, time.Since(began), r.plan.Duration("Permissions.DialTimeout"))
	r.shutDown()
}

// A further dial starts only where none is up in time, the first that succeeds is used, and the others are closed.
func TestDialWithRetries(t *testing.T) {
	gone := errors.New("refused")
	type ways = [maxParallelDials]func(ctx context.Context) (net.Conn, error)
	for name, x := range map[string]struct {
		ways  [maxParallelDials]func(ctx context.Context) (net.Conn, error)
		dials int
		fails error
	}{
		"quick":          {ways{dialAfter(0)}, 1, nil},
		"refused":        {ways{dialFails(gone), dialAfter(0)}, 1, gone},
		"late":           {ways{dialAfter(5 * maxRedialDelay), dialAfter(0)}, 2, nil},
		"silent":         {ways{dialSilent, dialAfter(0)}, 2, nil},
		"both silent":    {ways{dialSilent, dialSilent, dialAfter(0)}, 3, nil},
		"all silent":     {ways{dialSilent, dialSilent, dialSilent}, 3, context.DeadlineExceeded},
		"all late":       {ways{dialAfter(5 * maxRedialDelay), dialAfter(6 * maxRedialDelay), dialAfter(7 * maxRedialDelay)}, 3, nil},
		"second refused": {ways{dialAfter(3 * maxRedialDelay / 2), dialFails(gone)}, 2, nil},
		"third refused":  {ways{dialAfter(4 * maxRedialDelay), dialSilent, dialFails(gone)}, 3, nil},
		"refused late":   {ways{dialSilent, dialFails(gone), dialFails(gone)}, 3, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			var dials atomic.Int32
			var mu sync.Mutex
			var made []*closeCounter
			group := &errgroup.Group{}
			loop := &eventLoop{group: group, Options: Options{Clock: SystemClock{}, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				conn, err := x.ways[dials.Add(1)-1](ctx)
				if err != nil {
					return nil, err
				}
				c := &closeCounter{Conn: conn}
				mu.Lock()
				made = append(made, c)
				mu.Unlock()
				return c, nil
			}}}
			ctx, cancel := context.WithTimeout(context.Background(), 10*maxRedialDelay)
			defer cancel()
			conn, err := loop.dialWithRetries(ctx, "x", maxRedialDelay, 5)
			require.NoError(t, group.Wait())
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

// A reload during slow dials changes the number of descriptors, which the event loop alone may read: for the race
// detector.
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
	c := r.connect()
	c.send(request("q", "all", "", fourParts))
	for n := 255; ; n-- { // one after another, until further connects have been tried
		p := *r.plan
		p.MaxSockets = n
		r.plans <- &p
		if late.Load() > 4 {
			break
		}
	}
	status, _, _, _ := c.readAnswer()
	require.Contains(t, []int{200, 503}, status)
	r.shutDown()
}

// dialGates hold back connections: each that is opened waits until its address is let through.
type dialGates struct {
	mu   sync.Mutex
	open map[string]chan struct{}
}

func (g *dialGates) at(addr string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[addr] == nil {
		g.open[addr] = make(chan struct{})
	}
	return g.open[addr]
}

// Further dials beside slow ones keep to their share of the descriptors, however many dials are slow at once.
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
		r.connect().send(request(fmt.Sprint("q", i), "all", "", fourParts))
	}
	lines := func() (n int) {
		r.runInLoop(func(loop *eventLoop) { n = loop.descriptors.replicaConnections })
		return n
	}
	r.eventually("connections are late", func() bool { return float64(lines()) >= replicaDescriptorShare*sockets })
	r.eventually("second ones are tried", func() bool { return r.loop.descriptors.extraDials.Load() >= int64(lines()) })
	require.LessOrEqual(t, tried.Load(), int64(math.Ceil(replicaDescriptorShare*sockets+extraDialShare*sockets))+1) // one is discovery's
	r.shutDown()
	require.Zero(t, r.loop.descriptors.extraDials.Load())
}

// startGated starts one whose connections to the replicas of cell 0 wait at their gates.
func startGated(t *testing.T, edit func(settings map[string]any)) (r *rig, let func(hostID string)) {
	g, gated := &dialGates{open: map[string]chan struct{}{}}, make(chan map[string]bool, 1)
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
	for _, hostID := range []string{"a0", "a1"} {
		waits[r.replicas[hostID].Listener.Addr().String()] = true
	}
	gated <- waits
	return r, func(hostID string) { close(g.at(r.replicas[hostID].Listener.Addr().String())) }
}

// runInLoop runs a task on the event loop and waits for it.
func (r *rig) runInLoop(do func(loop *eventLoop)) {
	done := make(chan struct{})
	require.True(r.t, r.loop.submit(func() { do(r.loop); close(done) }))
	<-done
}

// waitingAttempts returns how many attempts wait for connections to a replica to come up.
func (r *rig) waitingAttempts(hostID string) (n int) {
	r.runInLoop(func(loop *eventLoop) {
		if to := loop.replicas.byID[hostID]; to != nil {
			for _, conn := range to.connections {
				if conn.connectedAt == 0 {
					n += len(conn.attempts)
				}
			}
		}
	})
	return n
}

// isConnected says whether a connection to a replica is up.
func (r *rig) isConnected(hostID string) (is bool) {
	r.runInLoop(func(loop *eventLoop) {
		for _, conn := range loop.replicas.byID[hostID].connections {
			is = is || conn.connectedAt > 0
		}
	})
	return is
}

// An attempt that waits for a slow connection tells its replica the time that is left to the client then.
func TestRemainingTimeOnSlowConnection(t *testing.T) {
	const late = 300 * time.Millisecond
	r, let := startGated(t, nil)
	c := r.connect().send(request("q", "all", "", fourParts))
	r.eventually("parts wait", func() bool { return r.waitingAttempts("a0")+r.waitingAttempts("a1") >= 2 })
	time.Sleep(late)
	let("a0")
	let("a1")
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	for _, hostID := range []string{"a0", "a1"} {
		parts, _, _, _ := r.replicas[hostID].Observed()
		for _, p := range parts {
			told, err := strconv.Atoi(strings.TrimPrefix(p.List, "d="))
			require.NoError(t, err)
			require.LessOrEqual(t, told, 8000-int(late/time.Millisecond)+1, "%s of a client that gave 8 s", p.List)
			require.Positive(t, told)
		}
	}
	r.shutDown()
}

// An attempt that waits for a connection to a replica that begins to drain, is removed or moves is retried elsewhere
// in time, and nothing is sent once the connection is up.
func TestNothingWaitsForRemovedReplica(t *testing.T) {
	for name, list := range map[string]func(r *rig, hostID, other string) string{
		"drains": func(r *rig, hostID, _ string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(hostID, "draining"))
		},
		"removed": func(r *rig, hostID, _ string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(hostID, "removed"))
		},
		"left out": func(r *rig, _, other string) string {
			return fmt.Sprintf(`{"version":8,"full":true,"servers":[%s,%s]}`, r.entry(other, "up"), r.entry("b0", "up"))
		},
		"moved": func(r *rig, hostID, other string) string {
			addr := func(hostID string) string { return r.replicas[hostID].Listener.Addr().String() }
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`,
				strings.Replace(r.entry(hostID, "up"), addr(hostID), addr(other), 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, let := startGated(t, func(settings map[string]any) { // no other way off a connection than what is tested
				settings["Permissions"].(map[string]any)["SecondCopies"] = false
				settings["Permissions"].(map[string]any)["Cancelling"] = false
				settings["Classes"].([]any)[1].(map[string]any)["Effect"] = "fragile"
			})
			c := r.connect().send(request("q", "all", "", fourParts))
			r.eventually("parts wait", func() bool { return r.waitingAttempts("a0")+r.waitingAttempts("a1") == 2 })
			hostID, other := "a0", "a1"
			if r.waitingAttempts(hostID) == 0 {
				hostID, other = other, hostID
			}
			let(other)
			r.list.Responses <- list(r, hostID, other)
			r.eventually("they are taken back", func() bool { return r.waitingAttempts(hostID) == 0 })
			let(hostID)
			status, _, text, _ := c.readAnswer()
			require.Equal(t, 200, status)
			require.JSONEq(t, completeAnswer, text)
			parts, _, _, _ := r.replicas[hostID].Observed()
			require.Empty(t, parts)
			r.shutDown()
		})
	}
}

// An attempt whose client leaves while it waits for a connection is not sent once that is up.
func TestClientLeavesDuringDial(t *testing.T) {
	r, let := startGated(t, func(settings map[string]any) { // the balancer cancels nothing
		may := settings["Permissions"].(map[string]any)
		may["SecondCopies"], may["Cancelling"] = false, false
	})
	c := r.connect().send(request("q", "all", "", fourParts))
	r.eventually("parts wait", func() bool { return r.waitingAttempts("a0")+r.waitingAttempts("a1") >= 2 })
	hostID := "a0"
	if r.waitingAttempts(hostID) == 0 {
		hostID = "a1"
	}
	c.Close()
	r.eventually("its client has left", func() bool { return r.openClients() == 0 })
	let(hostID)
	r.eventually("the connection is up", func() bool { return r.isConnected(hostID) })
	r.connect().expect("next", "all", 200, completeAnswer) // by the same connection, behind what would have gone out
	parts, _, _, _ := r.replicas[hostID].Observed()
	require.Len(t, parts, 2)
	for _, p := range parts {
		require.True(t, strings.HasPrefix(p.ID, "next."), p.ID)
	}
	r.shutDown()
}
