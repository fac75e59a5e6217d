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

// closeRecorder records whether the connection was closed.
type closeRecorder struct {
	net.Conn
	closed atomic.Bool
}

func (c *closeRecorder) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// dialAfter returns a dial that succeeds after some time, even if it is canceled before.
func dialAfter(wait time.Duration) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) {
		time.Sleep(wait)
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

// The first dial to each sound host never succeeds: searches use the further dials beside it. Guards against a lost
// connection request that delays searches until the dial timeout.
func TestDialsThatNeverConnect(t *testing.T) {
	var mu sync.Mutex
	dials := map[string]int{} // by address
	r := startWithOptions(t, nil, 256, nil, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			mu.Lock()
			dials[addr]++
			first := dials[addr] == 1
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

// A further dial starts only if no connection is up in time, the first one that is up is used, and the others are closed.
// Guards against leaked descriptors, and against a refused dial that fails while others are running.
func TestDialWithRetries(t *testing.T) {
	refused := errors.New("refused")
	type dialList = [maxParallelDials]func(ctx context.Context) (net.Conn, error)
	for name, x := range map[string]struct {
		dials   [maxParallelDials]func(ctx context.Context) (net.Conn, error)
		want    int // dials that are started
		wantErr error
	}{
		"quick":          {dialList{dialAfter(0)}, 1, nil},
		"refused":        {dialList{dialFails(refused), dialAfter(0)}, 1, refused},
		"late":           {dialList{dialAfter(5 * maxRedialDelay), dialAfter(0)}, 2, nil},
		"silent":         {dialList{dialSilent, dialAfter(0)}, 2, nil},
		"both silent":    {dialList{dialSilent, dialSilent, dialAfter(0)}, 3, nil},
		"all silent":     {dialList{dialSilent, dialSilent, dialSilent}, 3, context.DeadlineExceeded},
		"all late":       {dialList{dialAfter(5 * maxRedialDelay), dialAfter(6 * maxRedialDelay), dialAfter(7 * maxRedialDelay)}, 3, nil},
		"second refused": {dialList{dialAfter(3 * maxRedialDelay / 2), dialFails(refused)}, 2, nil},
		"third refused":  {dialList{dialAfter(4 * maxRedialDelay), dialSilent, dialFails(refused)}, 3, nil},
		"refused late":   {dialList{dialSilent, dialFails(refused), dialFails(refused)}, 3, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			var started atomic.Int32
			var mu sync.Mutex
			var made []*closeRecorder
			group := &errgroup.Group{}
			loop := &eventLoop{group: group, Options: Options{Clock: SystemClock{}, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				conn, err := x.dials[started.Add(1)-1](ctx)
				if err != nil {
					return nil, err
				}
				c := &closeRecorder{Conn: conn}
				mu.Lock()
				made = append(made, c)
				mu.Unlock()
				return c, nil
			}}}
			ctx, cancel := context.WithTimeout(context.Background(), 10*maxRedialDelay)
			defer cancel()
			conn, err := loop.dialWithRetries(ctx, "x", maxRedialDelay, 5)
			require.NoError(t, group.Wait())
			require.EqualValues(t, x.want, started.Load())
			require.ErrorIs(t, err, x.wantErr)
			for _, c := range made {
				require.Equal(t, net.Conn(c) != conn, c.closed.Load())
			}
			if x.wantErr == nil {
				require.NotNil(t, conn)
			}
		})
	}
}

// A reload changes the descriptor limit during slow dials. Guards, with the race detector, against a dialing goroutine
// that reads the limit, which only the event loop may do.
func TestReloadDuringSlowDials(t *testing.T) {
	var dials atomic.Int32
	r := startWithOptions(t, nil, 256, nil, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials.Add(1) <= 8 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return own(ctx, network, addr)
		}
	})
	c := r.connect()
	c.send(request("q", "all", "", fourParts))
	for n := 255; ; n-- { // reload after reload, until further dials have started
		p := *r.plan
		p.MaxSockets = n
		r.plans <- &p
		if dials.Load() > 4 {
			break
		}
	}
	status, _, _, _ := c.readAnswer()
	require.Contains(t, []int{200, 503}, status)
	r.shutDown()
}

// dialGates hold back dials: each waits until the gate of its address is opened.
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

// Further dials beside slow ones keep to their share of the descriptors, however many dials are slow at the same time.
// Guards against silent replicas that use up the descriptors.
func TestExtraDialsAreBounded(t *testing.T) {
	const sockets = 64
	var running atomic.Int64 // dials
	r := startWithOptions(t, nil, sockets, func(settings map[string]any) {
		permissions := settings["Permissions"].(map[string]any)
		permissions["DialTimeout"], permissions["StreamsPerConn"] = float64(testTimeout/time.Millisecond), 1
		settings["Specifics"].(map[string]any)["PerCall"] = 1
	}, nil, nil, func(m *Options) {
		m.Dial = func(ctx context.Context, _, addr string) (net.Conn, error) {
			running.Add(1)
			defer running.Add(-1)
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	for i := range 12 {
		r.connect().send(request(fmt.Sprint("q", i), "all", "", fourParts))
	}
	conns := func() (n int) {
		r.runInLoop(func(loop *eventLoop) { n = loop.descriptors.replicaConnections })
		return n
	}
	r.eventually("connections are being opened", func() bool { return float64(conns()) >= replicaDescriptorShare*sockets })
	r.eventually("each has a further dial, running or held back", func() bool { return r.loop.descriptors.extraDials.Load() >= int64(conns()) })
	require.LessOrEqual(t, running.Load(), int64(math.Ceil(replicaDescriptorShare*sockets+extraDialShare*sockets))+1) // one more for discovery
	r.shutDown()
	require.Zero(t, r.loop.descriptors.extraDials.Load())
}

// startGated starts a coordinator whose dials to a0 and a1 wait until open is called for the host.
func startGated(t *testing.T, edit func(settings map[string]any)) (r *rig, open func(hostID string)) {
	g, gated := &dialGates{open: map[string]chan struct{}{}}, make(chan map[string]bool, 1)
	r = startWithOptions(t, nil, 256, func(settings map[string]any) {
		settings["Permissions"].(map[string]any)["DialTimeout"] = float64(testTimeout / time.Millisecond)
		if edit != nil {
			edit(settings)
		}
	}, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			isGated := <-gated
			gated <- isGated
			if isGated[addr] {
				select {
				case <-g.at(addr):
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			return own(ctx, network, addr)
		}
	})
	isGated := map[string]bool{} // by address; dials wait until gated holds it
	for _, hostID := range []string{"a0", "a1"} {
		isGated[r.replicas[hostID].Listener.Addr().String()] = true
	}
	gated <- isGated
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

// An attempt that has waited for a slow connection states the time that the client has left when it is sent. Guards
// against replicas that work for clients whose time is over.
func TestRemainingTimeOnSlowConnection(t *testing.T) {
	const late = 300 * time.Millisecond
	r, open := startGated(t, nil)
	c := r.connect().send(request("q", "all", "", fourParts))
	r.eventually("attempts wait for their connections", func() bool { return r.waitingAttempts("a0")+r.waitingAttempts("a1") >= 2 })
	time.Sleep(late)
	open("a0")
	open("a1")
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	for _, hostID := range []string{"a0", "a1"} {
		parts, _, _, _ := r.replicas[hostID].Observed()
		for _, p := range parts {
			stated, err := strconv.Atoi(strings.TrimPrefix(p.List, "d="))
			require.NoError(t, err)
			require.LessOrEqual(t, stated, 8000-int(late/time.Millisecond)+1, "%s for a client timeout of 8 s", p.List)
			require.Positive(t, stated)
		}
	}
	r.shutDown()
}

// An attempt that waits for a connection to a replica is retried elsewhere in time if that replica begins to drain, is
// removed or gets another address. Guards against attempts sent to such a replica once the connection comes up.
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
			r, open := startGated(t, func(settings map[string]any) { // nothing but what is tested takes attempts off a connection
				settings["Permissions"].(map[string]any)["SecondCopies"] = false
				settings["Permissions"].(map[string]any)["Cancelling"] = false
				settings["Classes"].([]any)[1].(map[string]any)["Effect"] = "fragile"
			})
			c := r.connect().send(request("q", "all", "", fourParts))
			r.eventually("attempts wait for their connections", func() bool { return r.waitingAttempts("a0")+r.waitingAttempts("a1") == 2 })
			hostID, other := "a0", "a1"
			if r.waitingAttempts(hostID) == 0 {
				hostID, other = other, hostID
			}
			open(other)
			r.list.Responses <- list(r, hostID, other)
			r.eventually("they are recalled", func() bool { return r.waitingAttempts(hostID) == 0 })
			open(hostID)
			status, _, text, _ := c.readAnswer()
			require.Equal(t, 200, status)
			require.JSONEq(t, completeAnswer, text)
			parts, _, _, _ := r.replicas[hostID].Observed()
			require.Empty(t, parts)
			r.shutDown()
		})
	}
}

// An attempt that waits for a connection is not sent if its client leaves before the connection is up.
func TestClientLeavesDuringDial(t *testing.T) {
	r, open := startGated(t, func(settings map[string]any) { // the balancer cancels nothing
		permissions := settings["Permissions"].(map[string]any)
		permissions["SecondCopies"], permissions["Cancelling"] = false, false
	})
	c := r.connect().send(request("q", "all", "", fourParts))
	r.eventually("attempts wait for their connections", func() bool { return r.waitingAttempts("a0")+r.waitingAttempts("a1") >= 2 })
	hostID := "a0"
	if r.waitingAttempts(hostID) == 0 {
		hostID = "a1"
	}
	c.Close()
	r.eventually("its client has left", func() bool { return r.openSearchCount() == 0 })
	open(hostID)
	r.eventually("the connection is up", func() bool { return r.isConnected(hostID) })
	r.connect().expect("next", "all", 200, completeAnswer) // on the same connection, after what would have been sent on it
	parts, _, _, _ := r.replicas[hostID].Observed()
	require.Len(t, parts, 2)
	for _, p := range parts {
		require.True(t, strings.HasPrefix(p.ID, "next."), p.ID)
	}
	r.shutDown()
}
