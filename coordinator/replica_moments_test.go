package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/balancer"
)

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

// A keyed part whose first sub-requests have not run goes out on whatever connection there is, a new one too; it is no
// repeat. Those that may have run bind it to one that has stood since, as ever.
func TestKeyedRequestThatNeverRanIsNoRepeat(t *testing.T) {
	var hosts sync.Map // address: of cell 0
	var dials atomic.Int32
	r := startIn(t, nil, 256, func(settings map[string]any) {
		class := settings["Classes"].([]any)[1].(map[string]any)
		class["Effect"], class["RepeatWindow"] = "dedup", 4000.0
		settings["Permissions"].(map[string]any)["SecondCopies"] = false
	}, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if _, of := hosts.Load(addr); of && dials.Add(1) == 1 {
				return nil, errors.New("refused")
			}
			return own(ctx, network, addr)
		}
	})
	for _, id := range []string{"a0", "a1"} {
		hosts.Store(r.replicas[id].Listener.Addr().String(), true)
	}
	c := r.call()
	c.send(request("q", "all", "", `{"ranges":[{"range":0,"portion":1}],"predicate":"what"}`))
	status, _, text, _ := c.answer()
	require.Equal(t, 200, status, "%s", r.log)
	require.JSONEq(t, `{"total":true,"answers":[{"range":0,"blob":"what@0"}]}`, text)
	require.EqualValues(t, 2, dials.Load())
	r.end()
}

// What is known of earlier sub-requests tells which of a keyed part's are repeats.
func TestFirstSentAt(t *testing.T) {
	for _, x := range []struct {
		outcomes string
		first    int64
	}{
		{"Ignored", 0},
		{"ConnectError", 0},
		{"QueueFull", 0},
		{"ConnectError Ignored", 0},
		{"ResetByPeer", 1},
		{"TimedOut", 1},
		{"Canceled", 1},
		{"Failed", 1},
		{"ConnectError ResetByPeer", 2},
		{"ResetByPeer ConnectError", 1},
		{"QueueFull Failed Canceled", 2},
	} {
		loop := &eventLoop{rules: dispatchRules{keyedClasses: []bool{true, false}}, balancer: deaf{}, searches: searchTable{shardRequests: map[uint64]*shardRequest{}}}
		request := &shardRequest{search: &search{}}
		for i, outcome := range strings.Fields(x.outcomes) {
			sub := &attempt{shardRequest: request, index: int32(i), sentAt: int64(i + 1)}
			request.attempts = append(request.attempts, sub)
			require.Equal(t, int64(0), loop.firstSentAt(&attempt{shardRequest: &shardRequest{search: &search{class: 1}, attempts: request.attempts}, index: 1}))
			loop.recordOutcome(sub, outcome, nil)
		}
		require.Equal(t, x.first, loop.firstSentAt(&attempt{shardRequest: request, index: int32(len(request.attempts))}), x.outcomes)
	}
	for stage, first := range map[int32]int64{stageQueued: 0, stageWriting: 7, stageWritten: 7} { // one that was given up
		loop, _, s := oneOut(stage)
		loop.rules.keyedClasses = []bool{true}
		request := s.shardRequests[0]
		request.attempts[0].sentAt = 7
		loop.CancelAttempt(request.id, 0)
		require.Equal(t, first, loop.firstSentAt(&attempt{shardRequest: request, index: 1}), "stage %d", stage)
	}
}

// deaf is a module that does nothing on hearing of an end; told, where it is not nil, keeps it.
type deaf struct {
	balancer.Balancer
	told *[]string
}

func (d deaf) RecordAttemptOutcome(_ uint64, _ int, ending string, _ int64, _ bool, _ map[string]float64) {
	if d.told != nil {
		*d.told = append(*d.told, ending)
	}
}

// twoOut is a search with two parts out on a connection that is up and has no writer: in one call, or in two of which the
// second alone is written.
func twoOut(apart bool) (*eventLoop, *replicaConnection, *search) {
	loop, conn, search := oneOut(stageQueued)
	conn.connectedAt, loop.log = 1, newAsyncLogger(SystemClock{}, slog.DiscardHandler)
	request := &shardRequest{id: 3, search: search, shard: 1, unreported: 1}
	c := search.shardRequests[0].attempts[0].batch
	if apart {
		c = &batch{connection: conn, message: &outboundMessage{}}
		c.message.stage.Store(stageWritten)
		conn.openBatches++
	}
	sub := &attempt{shardRequest: request, name: "q.1", batch: c}
	c.attempts, conn.attempts, request.attempts, search.shardRequests = append(c.attempts, sub), append(conn.attempts, sub), []*attempt{sub}, append(search.shardRequests, request)
	loop.searches.shardRequests[3] = request
	return loop, conn, search
}

// A search that ends takes its parts off a call in one piece: no frame with the rest of them is on its way in between.
func TestBatchIsRecalledTogether(t *testing.T) {
	loop, conn, s := twoOut(false)
	require.Empty(t, loop.finishSearch(s))
	require.Empty(t, conn.queue)
	require.Empty(t, conn.attempts)
	require.Equal(t, []string{"Ignored", "Ignored"}, []string{loop.events.next[0].outcome, loop.events.next[1].outcome})
	require.Zero(t, conn.openBatches)

	loop, conn, s = twoOut(false) // those of another search stay
	other := &search{id: 9}
	s.shardRequests[1].search, s.shardRequests = other, s.shardRequests[:1]
	require.Empty(t, loop.finishSearch(s))
	require.Len(t, loop.events.next, 1)
	require.Len(t, conn.queue, 1)
	require.Equal(t, "q.1", conn.attempts[0].name)
	message := <-conn.queue
	require.Equal(t, stageQueued, message.stage.Load())
	require.NotContains(t, string(*message.buffer), "q.0")
	require.Contains(t, string(*message.buffer), "q.1")
}

// What is called off before it was begun was never sent, and the module hears so: it may go out again whatever its effect.
func TestCanceledBeforeSent(t *testing.T) {
	for stage, outcome := range map[int32]string{stageQueued: "Ignored", stageWriting: "Canceled", stageWritten: "Canceled"} {
		loop, _, _ := oneOut(stage)
		loop.CancelAttempt(2, 0)
		require.Equal(t, outcome, loop.events.next[0].outcome, "stage %d", stage)
	}
}

// A repeat that waits on the connection on which the first sub-request is answered late does not go out.
func TestAnswerWhileRepeatWaits(t *testing.T) {
	for stage, left := range map[int32]int32{stageQueued: stageRecalled, stageWriting: stageWriting, stageWritten: stageWritten} {
		var told []string
		loop, conn, search := oneOut(stage)
		loop.balancer = deaf{told: &told}
		conn.recentIDs = map[string]uint64{"q.0": search.id}
		parcel := search.shardRequests[0].attempts[0].batch.message
		loop.handleAnswer(conn, []byte("q.0"), "Ok", zeroScore, nil, []byte("v"), nil)
		require.Equal(t, []string{"Ok"}, told)
		require.True(t, search.shardRequests[0].completed)
		require.Equal(t, left, parcel.stage.Load())
		require.Empty(t, conn.attempts)
	}
}

// Who spoils a connection has failed one of the parts that were out there, whatever waits before it.
func TestMalformedAnswerWhileAttemptWaits(t *testing.T) {
	var told []string
	loop, conn, _ := twoOut(true)
	loop.balancer = deaf{told: &told}
	loop.handleConnectionEnd(conn, errMalformed, "x")
	require.Equal(t, []string{"Ignored", "Failed"}, told)
}

// slowConn takes its first write once its reader has seen the end.
type slowConn struct {
	net.Conn
	ended chan struct{}
	took  atomic.Int32
}

func (c *slowConn) Write(p []byte) (int, error) {
	if c.took.Add(1) == 1 {
		<-c.ended
	}
	return len(p), nil
}
func (*slowConn) SetWriteDeadline(time.Time) error { return nil }
func (*slowConn) Close() error                     { return nil }

// A message that waits behind another as the other side closes is not begun any more: it was never sent, and may go out
// again whatever its effect.
func TestNoWriteBeginsAfterConnectionEnd(t *testing.T) {
	for range 50 { // both are ready, and which a select takes is chance
		l := newMessageConn(t.Context(), 2)
		c := &slowConn{ended: make(chan struct{})}
		first, next := &outboundMessage{buffer: borrowBuffer()}, &outboundMessage{buffer: borrowBuffer()}
		l.enqueue(first)
		end := l.serve(c, time.Minute, func(ctx context.Context) error {
			for c.took.Load() == 0 { // the first is on its way
				time.Sleep(100 * time.Microsecond)
			}
			l.enqueue(next)
			context.AfterFunc(ctx, func() { close(c.ended) })
			return errPeerClosed
		}, func(*outboundMessage) error { return nil })
		require.Equal(t, errPeerClosed, end)
		require.Equal(t, stageWritten, first.stage.Load())
		require.Equal(t, stageQueued, next.stage.Load())
	}
}
