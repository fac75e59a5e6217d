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

// Whatever a replica does to a connection, the shard request is retried at another one and the search is answered in
// full. Guards against a malformed frame that is taken for an answer, or that the search waits for.
func TestMisbehavingReplicas(t *testing.T) {
	raw := func(text string) func(a receivedRequest) {
		return func(a receivedRequest) { a.Conn.Write([]byte(text)) }
	}
	framed := func(frameType byte, text string) func(a receivedRequest) {
		return func(a receivedRequest) { a.Conn.Write(frame.End(append(frame.Begin(nil, frameType), text...), 0)) }
	}
	for _, x := range []struct {
		name string
		do   func(a receivedRequest)
		log  string
	}{
		{"reset", func(a receivedRequest) { _ = reset(a.Conn) }, "end=broken"},
		{"close", func(a receivedRequest) { a.Conn.Close() }, "end="},
		{"length 0", raw("\x00\x00\x00\x00"), "end=garbled"},
		{"too long", raw("\x7f\x00\x00\x00q"), "end=garbled"},
		{"cut off", func(a receivedRequest) { a.Conn.Write([]byte("\x00\x00\x00\x10qabc")); a.Conn.Close() }, "end=broken"},
		{"unknown frame type", framed('z', "x"), "end=garbled"},
		{"no answer line", framed('q', "x"), "end=garbled"},
		{"unknown outcome", func(a receivedRequest) { a.Reply("fine", "1", "x") }, "end=garbled"},
		{"no score", func(a receivedRequest) { a.Reply("good", "-", "x") }, "end=garbled"},
		{"bad score", func(a receivedRequest) { a.Reply("good", "1.5", "x") }, "end=garbled"},
		{"long score", func(a receivedRequest) { a.Reply("good", strings.Repeat("9", 41), "x") }, "end=garbled"},
		{"value not UTF-8", func(a receivedRequest) { a.Reply("good", "1", "\xff") }, "end=garbled"},
		{"unknown id", func(a receivedRequest) { a.ID += "0"; a.ReplyGood() }, "end=garbled"},
		{"length longer than the frame", raw("\x00\x00\x01\x00qabc"), "end=slow"},
		{"refused", framed('r', "what is that"), `event=frame_refused replica=a0 words="what is that"`},
		{"bad", func(a receivedRequest) { a.Reply("bad", "-", "") }, ""},
		{"later", func(a receivedRequest) { a.Reply("later", "-", "") }, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 256, nil)
			c := r.connect()
			r.replicas["a0"].SetHandler(x.do)
			for i := range 20 { // until one of them reaches a0
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

// Malformed answers do not look like a crash under load: the search goes on although they end two connections before any
// shard request is completed, and the replicas get as many searches as before.
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	r := start(t, 256, nil)
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s,%s]}`, r.entry("a1", "draining"),
		r.entry("b1", "draining"))
	r.logged("how=Partial")
	var malformed [2]atomic.Bool
	for i, hostID := range []string{"a0", "b0"} {
		r.replicas[hostID].SetHandler(func(a receivedRequest) {
			if malformed[i].CompareAndSwap(false, true) {
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

// A good answer counts whatever follows it, and even if its load report cannot be parsed. Otherwise its shard request
// would be sent again.
func TestAnswerFollowedByMalformedBytes(t *testing.T) {
	for name, after := range map[string]func(a receivedRequest){
		"a copy":  func(a receivedRequest) { a.ReplyGood() },
		"noise":   func(a receivedRequest) { a.Conn.Write([]byte("noise behind the answer")) },
		"nothing": func(receivedRequest) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 256, nil)
			for _, s := range r.replicas {
				s.SetHandler(func(a receivedRequest) {
					answer := &strings.Builder{}
					conn := a.Conn
					a.Conn = writes{conn, answer}
					a.ReplyGood()
					after(a)
					conn.Write([]byte(strings.ReplaceAll(answer.String(), " -\n", " ?\n")))
				})
			}
			c := r.connect()
			for i := range 8 { // the second step is sent while more bytes arrive
				c.expect(fmt.Sprint("q", i), "deep", 200, "")
			}
			require.Equal(t, 8*6, r.parts(), "no shard request is sent twice")
			r.shutDown()
		})
	}
}

// If unexpected bytes follow an answer, the connection takes no new batches from that answer on. Guards against a batch
// sent on a connection that is about to end.
func TestBytesAfterAnswerCloseConnection(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	loop := &eventLoop{tasks: make(chan func(), 4), ctx: context.Background(), log: newAsyncLogger(SystemClock{}, slog.DiscardHandler)}
	conn := &replicaConnection{messageConn: newMessageConn(loop.ctx, 1), replica: &replica{id: "a0"}, recentIDs: map[string]uint64{"q.1": 1}}
	go func() {
		receivedRequest{ID: "q.1", Conn: there}.ReplyGood()
		receivedRequest{ID: "q.1", Conn: writesMore{there, []byte("noise")}}.ReplyGood()
	}()
	ended := make(chan error, 1)
	go func() { ended <- frameProtocol{}.readAnswers(loop, conn, here) }()
	(<-loop.tasks)()
	require.False(t, conn.closedToNew)
	(<-loop.tasks)()
	require.True(t, conn.closedToNew)
	require.Equal(t, errMalformed, <-ended)
}

// A silent connection gets no more attempts, and is closed once its replica answers on another one, so that its attempts
// are retried. Guards against a lost connection that swallows attempt after attempt of a sound replica.
func TestSilentConnectionIsPassedOver(t *testing.T) {
	r := start(t, 256, func(s map[string]any) { s["Permissions"].(map[string]any)["DialTimeout"] = 100 })
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a1", "draining"))
	r.logged("how=Partial")
	c, d := r.connect(), r.connect()
	c.expect("first", "all", 200, completeAnswer)
	var dead atomic.Value // the connection on which a0 never answers again
	r.replicas["a0"].SetHandler(func(a receivedRequest) {
		if dead.CompareAndSwap(nil, a.Conn) || dead.Load() == a.Conn {
			return
		}
		a.ReplyGood()
	})
	c.send(request("swallowed", "all", "", fourParts))
	r.eventually("the search is on the dead connection", func() bool { return dead.Load() != nil })
	for i := range 5 {
		time.Sleep(120 * time.Millisecond) // over minDoubtDelay
		d.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
	}
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	r.shutDown()
}

// A search that crashes replicas ends with status 503, even if more of its attempts were on the connection that ended; the
// replicas go on with other searches. Guards against retries that would crash further replicas.
func TestSearchThatCrashesReplicas(t *testing.T) {
	r := start(t, 256, nil)
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s,%s]}`, r.entry("a1", "draining"),
		r.entry("b1", "draining"))
	r.logged("how=Partial")
	reset := func(a receivedRequest) {
		_ = a.Conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		a.Conn.Close()
	}
	r.replicas["b0"].SetHandler(reset)
	r.replicas["a0"].SetHandler(func(a receivedRequest) {
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
	r.replicas["a0"].SetHandler(receivedRequest.ReplyGood)
	r.replicas["b0"].SetHandler(receivedRequest.ReplyGood)
	c.expect("next", "all", 200, completeAnswer)
	r.shutDown()
}

// A connection on which an attempt was given up after a long silence takes no new batches and is closed. An idle one is
// closed before its replica would close it.
func TestSilentAndIdleConnectionsClose(t *testing.T) {
	r := start(t, 256, func(s map[string]any) {
		s["Permissions"].(map[string]any)["DialTimeout"] = 100
		s["Permissions"].(map[string]any)["ConnIdle"] = 100
	})
	r.replicas["a0"].SetHandler(func(receivedRequest) {})
	c := r.connect()
	for i := range 20 {
		c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
		if parts, _, _, _ := r.replicas["a0"].Observed(); len(parts) > 0 {
			break
		}
	}
	for _, s := range r.replicas {
		r.eventually("all connections are closed", func() bool {
			_, _, conns, open := s.Observed()
			return conns > 0 && open == 0
		})
	}
	c.expect("again", "some", 200, "")
	r.shutDown()
}

// Searches are answered while a replica refuses connections, and the log names the replica.
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

// A replica resets the connection during a write. A frame that is not completely written cannot have run and is retried
// whatever effect its class has; a completely written one may have run, and is not retried if that is unsafe.
func TestReplicaResetDuringWrite(t *testing.T) {
	for name, x := range map[string]struct {
		whole  bool
		bytes  func(p []byte) int // how much is written before the reset
		status int
	}{
		"before the first byte": {false, func(p []byte) int { return 0 }, 200},
		"after half of it":      {false, func(p []byte) int { return len(p) / 2 }, 200},
		"after the whole frame": {true, func(p []byte) int { return len(p) }, 500},
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
					n, err := c.TCPConn.Write(p[:x.bytes(p)])
					require.NoError(t, err)
					for x.whole && h.CountRequests() == before { // until the host has it; it does not answer
						time.Sleep(time.Millisecond)
					}
					for open := 0; open == 0; _, _, _, open = h.Observed() { // until the host has accepted the connection
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
			var seen sync.Map
			for _, h := range r.replicas {
				h.SetHandler(func(p receivedRequest) {
					if _, before := seen.LoadOrStore(p.ID, true); !before && x.whole && strings.HasSuffix(p.ID, ".0") {
						return
					}
					p.ReplyGood()
				})
			}
			armed.Store(true)
			c := r.connect().send(request("q", "all", "", `{"ranges":[{"range":0,"portion":1}],"predicate":"what"}`))
			status, _, text, _ := c.readAnswer()
			require.Equal(t, x.status, status, "%s\n%s", text, r.log)
			require.Equal(t, 1, r.parts(), "the shard request has run at most once")
			r.shutDown()
		})
	}
}

// A socket that takes no bytes ends its own connection after the write timeout; messages behind the blocked one can be
// recalled, and a full queue ends the connection. Guards against an event loop that waits for a socket.
func TestBlockedReplicaSocket(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	l := newMessageConn(context.Background(), 2)
	messages := make([]*outboundMessage, 4)
	for i := range messages {
		buffer := borrowBuffer()
		*buffer = append(*buffer, "text"...)
		messages[i] = &outboundMessage{buffer: buffer}
	}
	l.enqueue(messages[0])
	l.enqueue(messages[1])
	require.True(t, messages[1].recall())
	end := l.serve(here, 20*time.Millisecond, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		func(*outboundMessage) error { return nil })
	require.Equal(t, errWriteFailed, end)
	require.Equal(t, errWriteFailed, context.Cause(l.ctx), "the context is canceled, or its parent would keep it")
	require.Equal(t, stageWriting, messages[0].stage.Load())
	require.False(t, messages[0].recall())
	require.Equal(t, stageRecalled, messages[1].stage.Load())
	l = newMessageConn(context.Background(), 2)
	for _, message := range messages[1:] {
		l.enqueue(message)
	}
	require.Equal(t, errQueueFull, context.Cause(l.ctx))
}

// If the endpoint list says that a replica has restarted since a connection to it came up, attempts go on a new
// connection. The old one may lead to an earlier incarnation, where they would be lost.
func TestRestartedHost(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	c := r.connect()
	c.expect("first", "all", 200, completeAnswer)
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a1", "draining"))
	r.logged("version=8 ")
	c.expect("second", "all", 200, completeAnswer) // uses a0, as a1 is draining
	conns := func() int { _, _, n, _ := r.replicas["a0"].Observed(); return n }
	before := conns()
	time.Sleep(2 * time.Millisecond) // so that the start is later than the connections to a0
	listRestart := func(version int, started time.Time) {
		r.list.Responses <- fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version,
			strings.Replace(r.entry("a0", "up"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, started.UnixMilli()), 1))
		r.logged(fmt.Sprintf("version=%d ", version))
	}
	listRestart(9, time.Now())
	c.expect("third", "all", 200, completeAnswer)
	require.Equal(t, before+1, conns())
	listRestart(10, time.Now().Add(-time.Minute)) // an earlier start keeps the connection
	c.expect("fourth", "all", 200, completeAnswer)
	require.Equal(t, before+1, conns())
	r.shutDown()
}

// A host that takes over a removed host's address gets a connection of its own. Attempts on the removed host's
// connection are still answered there, and that host is forgotten afterwards.
func TestAnotherHostAtSameAddress(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a1", "draining"))
	r.logged("version=8 ")
	held := make(chan receivedRequest, 16)
	r.replicas["a0"].SetHandler(func(p receivedRequest) { held <- p })
	c := r.connect().send(request("first", "all", "", fourParts))
	first := <-held
	r.replicas["a0"].SetHandler(receivedRequest.ReplyGood)
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
	r.eventually("the removed host is forgotten", func() (gone bool) {
		r.runInLoop(func(loop *eventLoop) { gone = loop.replicas.byID["a0"] == nil })
		return gone
	})
	r.shutDown()
}

// Guards against memory of connections that have ended: the timer for their idle time would keep each until then.
func TestEndedConnectionsKeepNoTimer(t *testing.T) {
	const opened = 50
	r := start(t, 256, nil)
	r.replicas["a0"].Close()
	require.True(t, r.loop.submit(func() {
		for range opened {
			r.loop.openConnection(r.loop.replicas.byID["a0"])
		}
	}))
	r.eventually("end of the connections and their timers", func() bool {
		hasEnded := make(chan bool, 1)
		r.loop.submit(func() {
			hasEnded <- len(r.loop.replicas.byID["a0"].connections) == 0 && r.loop.timers.queue.Len() < opened/2
		})
		return <-hasEnded
	})
	r.shutDown()
}
