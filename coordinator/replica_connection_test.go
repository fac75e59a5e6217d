package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
	"chalkring/internal/frame"
)

// Whatever a replica does to a connection, the shard request is retried elsewhere, and a malformed frame is no answer.
func TestMisbehavingReplicas(t *testing.T) {
	raw := func(text string) func(a asked) { return func(a asked) { a.Conn.Write([]byte(text)) } }
	framed := func(letter byte, text string) func(a asked) {
		return func(a asked) { a.Conn.Write(frame.End(append(frame.Begin(nil, letter), text...), 0)) }
	}
	for _, x := range []struct {
		name string
		do   func(a asked)
		log  string
	}{
		{"reset", func(a asked) { _ = reset(a.Conn) }, "end=broken"},
		{"close", func(a asked) { a.Conn.Close() }, "end="},
		{"no length", raw("\x00\x00\x00\x00"), "end=garbled"},
		{"too long", raw("\x7f\x00\x00\x00q"), "end=garbled"},
		{"cut off", func(a asked) { a.Conn.Write([]byte("\x00\x00\x00\x10qabc")); a.Conn.Close() }, "end=broken"},
		{"unknown letter", framed('z', "x"), "end=garbled"},
		{"no line", framed('q', "x"), "end=garbled"},
		{"unknown end", func(a asked) { a.Reply("fine", "1", "x") }, "end=garbled"},
		{"no score", func(a asked) { a.Reply("good", "-", "x") }, "end=garbled"},
		{"bad score", func(a asked) { a.Reply("good", "1.5", "x") }, "end=garbled"},
		{"long score", func(a asked) { a.Reply("good", strings.Repeat("9", 41), "x") }, "end=garbled"},
		{"no text", func(a asked) { a.Reply("good", "1", "\xff") }, "end=garbled"},
		{"another id", func(a asked) { a.ID += "0"; a.ReplyGood() }, "end=garbled"},
		{"a length that does not come", raw("\x00\x00\x01\x00qabc"), "end=slow"},
		{"refused", framed('r', "what is that"), `event=frame_refused replica=a0 words="what is that"`},
		{"bad", func(a asked) { a.Reply("bad", "-", "") }, ""},
		{"later", func(a asked) { a.Reply("later", "-", "") }, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 256, nil)
			c := r.connect()
			r.replicas["a0"].SetHandler(x.do)
			for i := range 20 { // until one of them met a0
				c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
				if parts, _, _, _ := r.replicas["a0"].Observed(); len(parts) > 0 {
					break
				}
			}
			r.logged(x.log)
			r.shutDown()
		})
	}
}

// Malformed answers do not look like a crash: the search goes on, though they end two connections before any shard
// request is completed, and the replicas get as much as before.
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	r := start(t, 256, nil)
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s,%s]}`, r.entry("a1", "draining"),
		r.entry("b1", "draining"))
	r.logged("how=Partial")
	var spoilt [2]atomic.Bool
	for i, hostID := range []string{"a0", "b0"} {
		r.replicas[hostID].SetHandler(func(a asked) {
			if spoilt[i].CompareAndSwap(false, true) {
				a.Conn.Write([]byte("noise in place of an answer"))
				return
			}
			a.ReplyGood()
		})
	}
	c := r.connect()
	for i := range 20 {
		c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
	}
	r.logged("end=garbled")
	r.shutDown()
}

// A good answer counts whatever follows it, and with a report that cannot be parsed.
func TestAnswerFollowedByMalformedBytes(t *testing.T) {
	for name, more := range map[string]func(a asked){
		"a copy":  func(a asked) { a.ReplyGood() },
		"noise":   func(a asked) { a.Conn.Write([]byte("noise behind the answer")) },
		"nothing": func(asked) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 256, nil)
			for _, s := range r.replicas {
				s.SetHandler(func(a asked) {
					both := &strings.Builder{}
					there := a.Conn
					a.Conn = writes{there, both}
					a.ReplyGood()
					more(a)
					there.Write([]byte(strings.ReplaceAll(both.String(), " -\n", " ?\n")))
				})
			}
			c := r.connect()
			for i := range 8 { // the second step goes out as the answers come
				c.expect(fmt.Sprint("q", i), "deep", 200, "")
			}
			require.Equal(t, 8*6, r.parts(), "no part goes out twice")
			r.shutDown()
		})
	}
}

// With unexpected bytes after an answer, the connection takes nothing new from that answer on.
func TestBytesAfterAnswerCloseConnection(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	loop := &eventLoop{tasks: make(chan func(), 4), ctx: context.Background(), log: newAsyncLogger(SystemClock{}, slog.DiscardHandler)}
	conn := &replicaConnection{messageConn: newMessageConn(loop.ctx, 1), replica: &replica{id: "a0"}, recentIDs: map[string]uint64{"q.1": 1}}
	go func() {
		asked{ID: "q.1", Conn: there}.ReplyGood()
		asked{ID: "q.1", Conn: writesMore{there, []byte("noise")}}.ReplyGood()
	}()
	heard := make(chan error, 1)
	go func() { heard <- frameProtocol{}.readAnswers(loop, conn, here) }()
	(<-loop.tasks)()
	require.False(t, conn.closedToNew)
	(<-loop.tasks)()
	require.True(t, conn.closedToNew)
	require.Equal(t, errMalformed, <-heard)
}

// A silent connection gets no more attempts, and is closed once its replica answers on another: its attempts are
// retried.
func TestSilentConnectionIsPassedOver(t *testing.T) {
	r := start(t, 256, func(s map[string]any) { s["Permissions"].(map[string]any)["DialTimeout"] = 100 })
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a1", "draining"))
	r.logged("how=Partial")
	c, d := r.connect(), r.connect()
	c.expect("first", "all", 200, completeAnswer)
	var dead atomic.Value // the connection
	r.replicas["a0"].SetHandler(func(a asked) {
		if dead.CompareAndSwap(nil, a.Conn) || dead.Load() == a.Conn {
			return
		}
		a.ReplyGood()
	})
	c.send(request("swallowed", "all", "", fourParts))
	r.eventually("it is out", func() bool { return dead.Load() != nil })
	for i := range 5 {
		time.Sleep(120 * time.Millisecond) // over minDoubtDelay
		d.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
	}
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	r.shutDown()
}

// A search that crashes replicas is failed while more of its attempts were on the connection that ended.
func TestSearchThatCrashesReplicas(t *testing.T) {
	r := start(t, 256, nil)
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s,%s]}`, r.entry("a1", "draining"),
		r.entry("b1", "draining"))
	r.logged("how=Partial")
	reset := func(a asked) {
		_ = a.Conn.(*net.TCPConn).SetLinger(0) // fails on a closed connection alone
		a.Conn.Close()
	}
	r.replicas["b0"].SetHandler(reset)
	r.replicas["a0"].SetHandler(func(a asked) {
		if a.Shard == 2 {
			r.logged("replica=b0")
			reset(a)
		}
	})
	c := r.connect()
	c.send(request("q", "all", "", `{"ranges":[{"range":0,"portion":0.4},{"range":1,"portion":0.2},
		{"range":2,"portion":0.4}],"predicate":"poison"}`))
	status, _, _, _ := c.readAnswer()
	require.Equal(t, 503, status)
	r.replicas["a0"].SetHandler(asked.ReplyGood)
	r.replicas["b0"].SetHandler(asked.ReplyGood)
	c.expect("next", "all", 200, completeAnswer)
	r.shutDown()
}

// A connection on which an attempt was given up after long silence takes nothing new and is closed; an idle one is
// closed before its replica would.
func TestSilentAndIdleConnectionsClose(t *testing.T) {
	r := start(t, 256, func(s map[string]any) {
		s["Permissions"].(map[string]any)["DialTimeout"] = 100
		s["Permissions"].(map[string]any)["ConnIdle"] = 100
	})
	r.replicas["a0"].SetHandler(func(asked) {})
	c := r.connect()
	for i := range 20 {
		c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
		if parts, _, _, _ := r.replicas["a0"].Observed(); len(parts) > 0 {
			break
		}
	}
	for _, s := range r.replicas {
		r.eventually("closed", func() bool {
			_, _, conns, open := s.Observed()
			return conns > 0 && open == 0
		})
	}
	c.expect("again", "some", 200, "")
	r.shutDown()
}

// A replica that refuses connections, and one that never was at its address, cost no search.
func TestReplicaDown(t *testing.T) {
	r := start(t, 256, nil)
	r.replicas["a0"].Listener.Close()
	c := r.connect()
	for i := range 20 {
		c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
	}
	r.logged("event=replica_connection_ended replica=a0")
	require.Contains(t, r.log.String(), "end=not_up")
	r.shutDown()
}

// A replica resets the connection during a write: a frame that is not completely written was never sent and is retried
// whatever its effect; a written one may have run, and an unsafe one is not retried.
func TestReplicaResetDuringWrite(t *testing.T) {
	for name, x := range map[string]struct {
		whole  bool
		part   func(p []byte) int // what is written before the reset
		status int
	}{
		"before the first byte":  {false, func(p []byte) int { return 0 }, 200},
		"behind half of it":      {false, func(p []byte) int { return len(p) / 2 }, 200},
		"behind the whole frame": {true, func(p []byte) int { return len(p) }, 500},
	} {
		t.Run(name, func(t *testing.T) {
			var armed atomic.Bool
			hosts := map[string]*fake.Host{} // by address
			var mu sync.Mutex
			r := startHooked(t, 256, func(settings map[string]any) {
				settingAt(settings, "Classes", 1)["Effect"] = "fragile"
				settings["Permissions"].(map[string]any)["SecondCopies"] = false
			}, nil, func(addr string, c *hookedConn) {
				mu.Lock()
				h := hosts[addr]
				mu.Unlock()
				if h == nil {
					return
				}
				c.writes = func(p []byte) (int, bool) {
					if !armed.CompareAndSwap(true, false) {
						return 0, false
					}
					before := h.CountRequests()
					n, err := c.TCPConn.Write(p[:x.part(p)])
					require.NoError(t, err)
					for x.whole && h.CountRequests() == before { // its answer is held back
						time.Sleep(time.Millisecond)
					}
					for taken := 0; taken == 0; _, _, _, taken = h.Observed() { // the host may not have it yet
						time.Sleep(time.Millisecond)
					}
					h.ResetConnections()
					awaitArrival(t, c.TCPConn)
					return n, true
				}
			}, nil)
			mu.Lock()
			for _, h := range r.replicas {
				if h.Cell == 0 {
					hosts[h.Listener.Addr().String()] = h
				}
			}
			mu.Unlock()
			var met sync.Map
			for _, h := range r.replicas {
				h.SetHandler(func(p asked) {
					if _, before := met.LoadOrStore(p.ID, true); !before && x.whole && strings.HasSuffix(p.ID, ".0") {
						return
					}
					p.ReplyGood()
				})
			}
			armed.Store(true)
			c := r.connect().send(request("q", "all", "", `{"ranges":[{"range":0,"portion":1}],"predicate":"what"}`))
			status, _, text, _ := c.readAnswer()
			require.Equal(t, x.status, status, "%s\n%s", text, r.log)
			require.Equal(t, 1, r.parts(), "it has run once at the most")
			r.shutDown()
		})
	}
}

// A socket that takes no bytes delays its own connection alone, and frames whose write has not begun have not run.
func TestBlockedReplicaSocket(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	l := newMessageConn(context.Background(), 2)
	parcels := make([]*outboundMessage, 4)
	for i := range parcels {
		buffer := borrowBuffer()
		*buffer = append(*buffer, "text"...)
		parcels[i] = &outboundMessage{buffer: buffer}
	}
	l.enqueue(parcels[0])
	l.enqueue(parcels[1])
	require.True(t, parcels[1].recall())
	end := l.serve(here, 20*time.Millisecond, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		func(*outboundMessage) error { return nil })
	require.Equal(t, errWriteFailed, end)
	require.Equal(t, errWriteFailed, context.Cause(l.ctx), "its context would stay with the parent's")
	require.Equal(t, stageWriting, parcels[0].stage.Load())
	require.False(t, parcels[0].recall())
	require.Equal(t, stageRecalled, parcels[1].stage.Load())
	l = newMessageConn(context.Background(), 2)
	for _, message := range parcels[1:] {
		l.enqueue(message)
	}
	require.Equal(t, errQueueFull, context.Cause(l.ctx))
}

// A replica that has restarted since a connection to it came up, by the list, is sent to on a new connection: the old
// one may lead to an earlier incarnation.
func TestRestartedHost(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	c := r.connect()
	c.expect("first", "all", 200, completeAnswer)
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a1", "draining"))
	r.logged("version=8 ")
	c.expect("second", "all", 200, completeAnswer) // by a0
	conns := func() int { _, _, n, _ := r.replicas["a0"].Observed(); return n }
	before := conns()
	time.Sleep(2 * time.Millisecond) // so that the start is after its connections
	tell := func(version int, started time.Time) {
		r.list.Responses <- fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version,
			strings.Replace(r.entry("a0", "up"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, started.UnixMilli()), 1))
		r.logged(fmt.Sprintf("version=%d ", version))
	}
	tell(9, time.Now())
	c.expect("third", "all", 200, completeAnswer)
	require.Equal(t, before+1, conns())
	tell(10, time.Now().Add(-time.Minute)) // a start from before leaves it
	c.expect("fourth", "all", 200, completeAnswer)
	require.Equal(t, before+1, conns())
	r.shutDown()
}

// Another host at a removed host's address is sent to on a connection of its own, and attempts on the former host's
// connection end with that.
func TestAnotherHostAtSameAddress(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a1", "draining"))
	r.logged("version=8 ")
	held := make(chan asked, 16)
	r.replicas["a0"].SetHandler(func(p asked) { held <- p })
	c := r.connect().send(request("first", "all", "", fourParts))
	first := <-held
	r.replicas["a0"].SetHandler(asked.ReplyGood)
	conns := func() int { _, _, n, _ := r.replicas["a0"].Observed(); return n }
	before := conns()
	r.list.Responses <- fmt.Sprintf(`{"version":9,"full":false,"servers":[%s,%s]}`, r.entry("a0", "removed"),
		strings.Replace(r.entry("a0", "up"), `"id":"a0"`, `"id":"a9"`, 1))
	r.logged("version=9 ")
	r.connect().expect("second", "all", 200, completeAnswer)
	require.Greater(t, conns(), before)
	first.ReplyGood()
	for len(held) > 0 {
		(<-held).ReplyGood()
	}
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	r.runInLoop(func(loop *eventLoop) { require.NotNil(t, loop.replicas.byID["a9"]) })
	r.eventually("the one that is gone is forgotten", func() (gone bool) {
		r.runInLoop(func(loop *eventLoop) { gone = loop.replicas.byID["a0"] == nil })
		return gone
	})
	r.shutDown()
}
