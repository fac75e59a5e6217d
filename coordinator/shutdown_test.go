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

// During shutdown open searches are finished, requests that still arrive are served, and idle connections are closed.
// Afterwards no goroutine is left.
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
	r.eventually("shard requests are sent", func() bool { return got.Load() == 4 })
	r.stop()
	r.logged("event=stopping")
	late.send(request("late", "all", "", fourParts))
	r.eventually("the late search is dispatched", func() bool { return got.Load() == 8 })
	_, err := idle.Read(make([]byte, 1)) // closed after the time for one more request
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

// A request that arrives more than 0.7 s after the stop gets its final answer before SIGKILL, although no host answers and
// its client would wait longer. So does a request that arrives just before SIGKILL.
func TestAnswersBeforeSIGKILL(t *testing.T) {
	const busy = time.Second // tolerance for a busy machine; without the bound the answer is four seconds late
	r := start(t, 256, nil)
	for _, s := range r.replicas {
		s.SetHandler(func(receivedRequest) {})
	}
	late := r.connect()
	late.expect("first", "none", 400, "") // the connection is accepted before the stop
	r.stop()
	stoppedAt := time.Now()
	r.logged("event=stopping")
	kill := stoppedAt.Add(r.plan.TerminationGrace())
	require.Equal(t, plan.MaxTerminationGrace, kill.Sub(stoppedAt))
	time.Sleep(time.Until(stoppedAt.Add(800 * time.Millisecond)))
	late.send(request("late", "all", "", fourParts))
	status, _, _, _ := late.readAnswer()
	require.Contains(t, []int{500, 503}, status)
	require.Less(t, time.Until(kill), time.Second) // the search was tried until shortly before SIGKILL
	require.Less(t, time.Since(kill), busy)
	time.Sleep(time.Until(kill.Add(-killMargin)))
	late.send(request("last", "all", "", fourParts))
	status, _, _, _ = late.readAnswer()
	require.Contains(t, []int{500, 503}, status)
	require.Less(t, time.Since(kill), busy)
	r.shutDown()
}

// Connections that arrive before the process stops accepting are accepted and their requests answered, even if the process
// is stalled at that time. Closing the listener without accepting them would reset them.
func TestConnectionsDuringStallAtShutdown(t *testing.T) {
	r := startProcess(t, nil)
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

// During shutdown, after a stall in which read deadlines have passed, bytes that arrived in time are still read: the last
// bytes of a request, and a request on an idle connection. The additional read happens only once.
func TestFinalReadAtShutdown(t *testing.T) {
	for name, client := range map[string]*clientConnection{
		"during a request": {requestDeadline: time.Now().Add(-time.Second)},
		"idle connection":  {stopReadDeadline: time.Now().Add(-time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			clientSide, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			defer clientSide.Close()
			serverSide, err := ln.Accept()
			require.NoError(t, err)
			defer serverSide.Close()
			stopping, cancel := context.WithCancel(context.Background())
			cancel()
			client.clientListener, client.conn, client.answered = &clientListener{stopping: stopping}, serverSide, make(chan struct{}, 1)
			_, err = clientSide.Write([]byte("x"))
			require.NoError(t, err)
			client.interruptRead()
			n, err := client.Read(make([]byte, 2))
			require.NoError(t, err)
			require.Equal(t, 1, n)
			_, err = client.Read(make([]byte, 2)) // the additional read is not repeated
			want := errClosing
			if !client.requestDeadline.IsZero() {
				want = errReadTimeout
			}
			require.Equal(t, want, connectionEndOf(err))
		})
	}
}

// During shutdown, pipelined requests that are longer than the read buffer are answered in order, each once.
func TestPipelinedRequestsAtShutdown(t *testing.T) {
	r := start(t, 256, nil)
	c := r.connect()
	c.expect("first", "all", 200, completeAnswer)
	r.stop()
	r.logged("event=stopping")
	const many = 170 // about 60 KB
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

// A request that is read after the last answer on its connection has been written, but before the connection closes, is
// not dispatched: its client sees the connection close and may send the request again.
func TestRequestBetweenLastAnswerAndClose(t *testing.T) {
	for name, atStop := range map[string]bool{"requested by the client": false, "after maxStopTime": true} {
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
						<-reads // the next request has been read, before CloseWrite
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
			r.eventually("the connection has ended", func() bool { // although its client keeps it open
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
			require.Equal(t, 8, r.parts(), "only the shard requests of the first and the last search")
		})
	}
}

// Connections that arrived before the listener closes, but wait for room, are answered once there is room. None may be left
// in the system's queue, where closing the listener resets it.
func TestConnectionsWaitingForRoomAtShutdown(t *testing.T) {
	const sockets, more, room = 16, 6, 8
	gate, closing := make(chan struct{}), make(chan struct{}, 64)
	r := startHooked(t, sockets, nil, nil, nil, func(m *Options) {
		m.Listener.(*hookedListener).deadline = func() { closing <- struct{}{} }
		m.Clock = hookedClock{held: stopIdleTimeout, gate: make(chan time.Time)} // stopIdleTimeout never ends, as its end would end the wait for room
	})
	r.setHandlers(func(a receivedRequest) { go func() { <-gate; a.ReplyGood() }() })
	var all []*testClient
	for i := range room + more {
		all = append(all, r.connect().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
		r.eventually("its search is open", func() bool { return r.openSearchCount() == min(i+1, room) }) // a connection without a search would be displaced
	}
	r.stop()
	<-closing
	time.Sleep(2 * finalReadGrace) // so that the listener's deadline has passed; the test passes either way
	close(gate)
	for i, c := range all {
		status, _, _, _, err := c.rd.ReadResponse()
		require.NoError(t, err, "connection %d\n%s", i, r.log)
		require.Contains(t, []int{200, 503}, status)
	}
	r.shutDown()
}

// A request that arrives while its idle connection is being closed is not dispatched, and its client sees the connection
// close without an answer, so that it may safely send the request again.
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
			serverSide := <-closes
			c.send(request("crosses", "all", "", fourParts))
			awaitArrival(t, serverSide)
			close(sent)
			_, err := c.Read(make([]byte, 1))
			require.Error(t, err)
			require.False(t, errors.Is(err, syscall.ETIMEDOUT))
			r.shutDown()
			require.Equal(t, 4, r.parts(), "only the shard requests of the first search")
		})
	}
}

// An answer that is partly written when a shutdown begins is written completely.
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

// SIGTERM ends the coordinator normally even if it knows no host yet and discovery does not respond.
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
	_, _, _, _, err = rd.ReadResponse()          // on the connection that sent nothing
	require.ErrorIs(t, err, io.ErrUnexpectedEOF) // closed in order, without an answer
}

// During a shutdown with attempts that wait for a connection to be established and searches that wait in the queue, all
// searches are answered, each completely or with 503.
func TestShutdownDuringDials(t *testing.T) {
	const clients = 30 // more than can be in flight at once
	r, let := startGated(t, nil)
	var all []*testClient
	for i := range clients {
		all = append(all, r.connect().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
	}
	r.eventually("all searches are open, and attempts wait for connections", func() bool {
		return r.openSearchCount() == clients && r.waitingAttempts("a0")+r.waitingAttempts("a1") >= 2
	})
	require.Less(t, r.parts(), 2*clients, "some searches are queued")
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

// After SIGKILL with requests in flight, no client has received a partial answer that looks complete, and the next process
// serves at once without stored state.
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
		require.Fail(t, "the process does not end")
	}
	for i, rd := range open {
		_, _, _, _, err := rd.ReadResponse()
		require.True(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%d: %v", i, err)
	}
	for _, h := range l.hosts {
		h.SetHandler(receivedRequest.ReplyGood)
	}
	a.ReplyGood() // too late: the process is gone
	l.start(nil)
	l.ready()
	l.served("next")
	require.NotContains(t, l.log.String(), "event=bad_frame")
	require.False(t, strings.Contains(l.log.String(), "k0"))
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
}
