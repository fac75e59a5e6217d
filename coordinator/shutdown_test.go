package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

// During shutdown open searches are finished and requests that still arrive are served; then nothing is left.
func TestShutdown(t *testing.T) {
	before := runtime.NumGoroutine()
	r := start(t, 256, nil)
	release := make(chan struct{})
	var got atomic.Int32
	for _, s := range r.replicas {
		s.SetHandler(func(a receivedRequest) {
			got.Add(1)
			go func() { <-release; a.ReplyGood() }()
		})
	}
	idle, early, late := r.connect(), r.connect(), r.connect()
	idle.expect("first", "none", 400, "")
	idle = r.connect()
	early.send(request("early", "all", "", fourParts))
	r.eventually("parts are out", func() bool { return got.Load() == 4 })
	r.stop()
	r.logged("event=stopping")
	late.send(request("late", "all", "", fourParts))
	r.eventually("the late one is taken", func() bool { return got.Load() == 8 })
	_, err := idle.Read(make([]byte, 1)) // comes to an end once no more is awaited
	require.Equal(t, io.EOF, err)
	close(release)
	for _, c := range []*testClient{early, late} {
		status, _, text, keep := c.readAnswer()
		require.Equal(t, 200, status)
		require.JSONEq(t, completeAnswer, text)
		require.False(t, keep)
	}
	r.shutDown()
	for _, s := range r.replicas {
		s.Listener.Close()
	}
	r.list.Listener.Close()
	close(r.list.Responses)
	r.eventually("goroutines end", func() bool { return runtime.NumGoroutine() <= before+1 })
}

// A request that arrives more than 0.7 s after the stop has its final answer before SIGKILL, though no host answers
// and its client would wait longer; so has one that arrives just before.
func TestAnswersBeforeSIGKILL(t *testing.T) {
	const busy = time.Second // that a crowded machine may be late by; without the bound it is four
	r := start(t, 256, nil)
	for _, s := range r.replicas {
		s.SetHandler(func(receivedRequest) {})
	}
	late := r.connect()
	late.expect("first", "none", 400, "") // the connection is taken before the end
	r.stop()
	told := time.Now()
	r.logged("event=stopping")
	kill := told.Add(r.plan.TerminationGrace())
	require.Equal(t, plan.MaxTerminationGrace, kill.Sub(told))
	time.Sleep(time.Until(told.Add(800 * time.Millisecond)))
	late.send(request("late", "all", "", fourParts))
	status, _, _, _ := late.readAnswer()
	require.Contains(t, []int{500, 503}, status)
	require.Less(t, time.Until(kill), time.Second) // it was tried until then
	require.Less(t, time.Since(kill), busy)
	time.Sleep(time.Until(kill.Add(-killMargin)))
	late.send(request("last", "all", "", fourParts))
	status, _, _, _ = late.readAnswer()
	require.Contains(t, []int{500, 503}, status)
	require.Less(t, time.Since(kill), busy)
	r.shutDown()
}

// Connections that have arrived by the time at which no more are accepted are accepted, each with its request, also in
// a stalled process.
func TestIdleConnectionsAtShutdown(t *testing.T) {
	r := process(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, r.Signal("n", syscall.SIGTERM))
	require.NoError(t, r.WaitLogged(ctx, "n", "event=stopping", 1))
	time.Sleep(acceptAfterStop / 2)
	require.NoError(t, r.Signal("n", syscall.SIGSTOP))
	var conns []net.Conn
	for i := range 100 {
		conn, err := net.Dial("tcp", r.Addresses("n").Client)
		require.NoError(t, err)
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		_, err = conn.Write([]byte(fake.Search{
			ID: fmt.Sprint("c", i), Type: "full-match", Shards: []int{0, 1, 2, 3},
			Patience: 2 * time.Second, Tenant: "acme",
		}.Encode()))
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	time.Sleep(acceptAfterStop)
	require.NoError(t, r.Signal("n", syscall.SIGCONT))
	for i, conn := range conns {
		status, _, _, _, err := http1.NewReader(conn, make([]byte, 16<<10)).ReadResponse()
		require.NoError(t, err, "connection %d", i)
		require.Contains(t, []int{200, 503}, status, "connection %d", i)
	}
}

// During shutdown, too, what arrived in time is read in a stalled process whose deadlines are over: a request's last
// bytes, and a request on an idle connection.
func TestFinalReadAtShutdown(t *testing.T) {
	for name, client := range map[string]*clientConnection{
		"a request": {requestDeadline: time.Now().Add(-time.Second)},
		"at rest":   {stopReadDeadline: time.Now().Add(-time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			there, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			defer there.Close()
			here, err := ln.Accept()
			require.NoError(t, err)
			defer here.Close()
			stopping, cancel := context.WithCancel(context.Background())
			cancel()
			client.clientListener, client.conn, client.answered = &clientListener{stopping: stopping}, here, make(chan struct{}, 1)
			_, err = there.Write([]byte("x"))
			require.NoError(t, err)
			client.interruptRead()
			n, err := client.Read(make([]byte, 2))
			require.NoError(t, err)
			require.Equal(t, 1, n)
			_, err = client.Read(make([]byte, 2)) // once
			want := errClosing
			if !client.requestDeadline.IsZero() {
				want = errReadTimeout
			}
			require.Equal(t, want, connectionEndOf(err))
		})
	}
}

// During shutdown, more pipelined requests than the buffer holds are answered one after another, each once.
func TestPipelinedRequestsAtShutdown(t *testing.T) {
	r := start(t, 256, nil)
	c := r.connect()
	c.expect("first", "all", 200, completeAnswer)
	r.stop()
	r.logged("event=stopping")
	const many = 170 // some 60 KB
	var all strings.Builder
	for i := range many {
		what := strings.Replace(fourParts, `"what"`, fmt.Sprintf(`"what%d"`, i), 1)
		all.WriteString(request(fmt.Sprint("m", i), "all", "", what))
	}
	require.Greater(t, all.Len(), 3*bufferSize)
	go c.Write([]byte(all.String()))
	for i := range many {
		status, _, body, _ := c.readAnswer()
		require.Equal(t, 200, status)
		require.JSONEq(t, strings.ReplaceAll(completeAnswer, "what", fmt.Sprint("what", i)), body)
	}
	r.shutDown()
	require.Equal(t, 4*(many+1), r.parts())
}

// A request that arrives after the last answer on its connection is written, and is read before the connection closes,
// is not dispatched: its client will see the end.
func TestRequestBetweenLastAnswerAndClose(t *testing.T) {
	for name, atStop := range map[string]bool{"a request that wants it": false, "the end of the stop": true} {
		t.Run(name, func(t *testing.T) {
			answered, reads := make(chan struct{}), make(chan struct{}, 64)
			r := startHooked(t, 256, nil, func(c *hookedConn) {
				answers := 0
				c.read = func(int) { reads <- struct{}{} }
				c.wrote = func(p []byte) {
					if answers++; answers == 2 {
						for len(reads) > 0 {
							<-reads
						}
						close(answered)
						<-reads // the next request is there, before the shutdown
					}
				}
			}, nil, nil)
			c := r.connect()
			c.expect("first", "all", 200, completeAnswer)
			head := "Connection: close\r\n"
			if atStop {
				r.loop.stop.closeAfterAnswer.Store(true)
				r.stop()
				r.logged("event=stopping")
				r.awaitListenerClosed()
				head = ""
			}
			c.send(request("last", "all", head, fourParts))
			<-answered
			c.send(request("behind", "all", "", fourParts))
			status, _, _, keep := c.readAnswer()
			require.Equal(t, 200, status)
			require.False(t, keep)
			_, err := c.Read(make([]byte, 1))
			require.Equal(t, io.EOF, err)
			r.eventually("the connection has ended", func() bool { // its client stays
				ended := make(chan bool, 1)
				r.loop.submit(func() { ended <- len(r.loop.clients.connections) == 0 })
				select {
				case is := <-ended:
					return is
				case <-r.loop.ctx.Done():
					return true
				}
			})
			r.shutDown()
			require.Equal(t, 8, r.parts(), "those of the first and the last")
		})
	}
}

// Connections that arrived before the listener closed and waited for room are answered once there is room: none is
// reset in the system's queue.
func TestConnectionsWaitingForRoomAtShutdown(t *testing.T) {
	const sockets, more, room = 16, 6, 8
	gate, closing := make(chan struct{}), make(chan struct{}, 64)
	r := startHooked(t, sockets, nil, nil, nil, func(m *Options) {
		m.Listener.(*hookedListener).deadline = func() { closing <- struct{}{} }
		m.Clock = hookedClock{held: stopIdleTimeout, gate: make(chan time.Time)} // which ends the wait for room
	})
	r.allow(func(a receivedRequest) { go func() { <-gate; a.ReplyGood() }() })
	var all []*testClient
	for i := range room + more {
		all = append(all, r.connect().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
		r.eventually("it is at work", func() bool { return r.openSearchCount() == min(i+1, room) }) // one that is not would be displaced
	}
	r.stop()
	<-closing
	time.Sleep(2 * finalReadGrace) // the listener's time is over; no verdict rests on it
	close(gate)
	for i, c := range all {
		status, _, _, _, err := c.rd.ReadResponse()
		require.NoError(t, err, "connection %d\n%s", i, r.log)
		require.Contains(t, []int{200, 503}, status)
	}
	r.shutDown()
}

// A request that arrives as its idle connection is closed is not dispatched, and its client sees an end without an
// answer: it may send it again.
func TestRequestWhileItsConnectionCloses(t *testing.T) {
	for name, ends := range map[string]func(r *rig){
		"unused": func(*rig) {},
		"displaced": func(r *rig) {
			for range 10 {
				r.connect()
			}
		},
		"at the stop": func(r *rig) { r.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closes, sent := make(chan *net.TCPConn), make(chan struct{})
			var first atomic.Bool
			r := startHooked(t, 16, nil, func(c *hookedConn) {
				if first.CompareAndSwap(false, true) {
					var once sync.Once
					c.closes = func() {
						once.Do(func() {
							closes <- c.TCPConn
							<-sent
						})
					}
				}
			}, nil, nil)
			c := r.connect()
			c.expect("first", "all", 200, completeAnswer)
			ends(r)
			here := <-closes
			c.send(request("crosses", "all", "", fourParts))
			awaitArrival(t, here)
			close(sent)
			_, err := c.Read(make([]byte, 1))
			require.Error(t, err)
			require.False(t, errors.Is(err, syscall.ETIMEDOUT))
			r.shutDown()
			require.Equal(t, 4, r.parts(), "those of the first")
		})
	}
}

// An answer that is partly written as a shutdown begins is written completely.
func TestPartlyWrittenAnswerAtShutdown(t *testing.T) {
	half, gate := make(chan struct{}), make(chan struct{})
	r := startHooked(t, 256, nil, func(c *hookedConn) {
		c.writes = func(p []byte) (int, bool) {
			n, err := c.TCPConn.Write(p[:len(p)/2])
			if err != nil {
				return n, true
			}
			close(half)
			<-gate
			m, _ := c.TCPConn.Write(p[n:])
			return n + m, true
		}
	}, nil, nil)
	c := r.connect().send(request("q", "all", "", fourParts))
	<-half
	r.stop()
	r.logged("event=stopping")
	r.awaitListenerClosed()
	close(gate)
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	r.shutDown()
}

// SIGTERM before the coordinator knows any host, while discovery is silent, ends it as ever.
func TestShutdownDuringStart(t *testing.T) {
	l, silent := newChildProcess(t), listen(t)
	l.plan["discovery"] = silent.Addr().String()
	l.plan["known"].(map[string]any)["servers"] = []any{}
	l.write()
	l.start(nil)
	conn, err := silent.Accept()
	require.NoError(t, err)
	defer conn.Close()
	_, rd := l.dial()
	c, crd := l.dial()
	c.Write([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
	status, _, _, _, err := crd.ReadResponse()
	require.NoError(t, err)
	require.Equal(t, 503, status)
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
	_, _, _, _, err = rd.ReadResponse()          // of the one that asked nothing
	require.ErrorIs(t, err, io.ErrUnexpectedEOF) // the end in good order, and no answer
}

// A shutdown with attempts that wait for connections and searches that wait for their turn answers them all,
// completely.
func TestShutdownDuringDials(t *testing.T) {
	const clients = 30 // the slots are taken by the first few
	r, let := startGated(t, nil)
	var all []*testClient
	for i := range clients {
		all = append(all, r.connect().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
	}
	r.eventually("they are taken, and parts wait", func() bool {
		return r.openSearchCount() == clients && r.waitingAttempts("a0")+r.waitingAttempts("a1") >= 2
	})
	require.Less(t, r.parts(), 2*clients, "some searches wait")
	r.stop()
	r.logged("event=stopping")
	r.awaitListenerClosed()
	let("a0")
	let("a1")
	for i, c := range all {
		status, _, text, _ := c.readAnswer()
		require.Contains(t, []int{200, 503}, status, "%d %s", i, text)
		if status == 200 {
			require.JSONEq(t, completeAnswer, text)
		}
	}
	r.shutDown()
}

// SIGKILL with requests in flight: no client gets a partial answer that looks complete, and the next process serves at
// once, without stored state.
func TestSIGKILLWithRequestsInFlight(t *testing.T) {
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	held := l.holdAttempts()
	var open []*http1.Reader
	for i := range 12 {
		conn, rd := l.dial()
		_, err := conn.Write([]byte(request(fmt.Sprint("k", i), "all", "", fourParts)))
		require.NoError(t, err)
		open = append(open, rd)
	}
	a := <-held
	text := request("half", "all", "", fourParts)
	half, rd := l.dial()
	half.Write([]byte(text[:len(text)/2]))
	open = append(open, rd)
	l.signal(syscall.SIGKILL)
	select {
	case err := <-l.ended:
		require.Error(t, err)
	case <-time.After(exitTimeout):
		require.Fail(t, "does not end")
	}
	for i, rd := range open {
		_, _, _, _, err := rd.ReadResponse()
		require.True(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%d: %v", i, err)
	}
	for _, h := range l.hosts {
		h.SetHandler(receivedRequest.ReplyGood)
	}
	a.ReplyGood() // late, to a process that is gone
	l.start(nil)
	l.ready()
	l.served("next")
	require.NotContains(t, l.log.String(), "event=bad_frame")
	require.False(t, strings.Contains(l.log.String(), "k0"))
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
}
