package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chalkring/internal/http1"
)

// waysToLeave are the ways in which a client can end its connection.
var waysToLeave = map[string]func(conn *net.TCPConn) error{
	"closed":      (*net.TCPConn).Close,
	"half-closed": (*net.TCPConn).CloseWrite,
	"reset":       func(conn *net.TCPConn) error { return reset(conn) },
}

// canceledAttempts returns the number of attempts that were canceled at hosts.
func (r *rig) canceledAttempts() (n int) {
	for _, s := range r.replicas {
		_, canceled, _, _ := s.Observed()
		n += len(canceled)
	}
	return n
}

// setHandlers sets the handler of shard requests at all hosts.
func (r *rig) setHandlers(handle func(receivedRequest)) {
	for _, s := range r.replicas {
		s.SetHandler(handle)
	}
}

// When a client leaves, its search is withdrawn: its attempts are canceled at once, so that hosts do no work whose
// result nobody awaits.
func TestClientLeaves(t *testing.T) {
	r := start(t, 256, nil)
	var got atomic.Int32
	for _, s := range r.replicas {
		s.SetHandler(func(receivedRequest) { got.Add(1) })
	}
	c := r.connect().send(request("q", "all", "", fourParts))
	r.eventually("shard requests are sent", func() bool { return got.Load() == 4 })
	c.Close()
	r.eventually("attempts are canceled", func() bool {
		n := 0
		for _, s := range r.replicas {
			_, canceled, _, _ := s.Observed()
			n += len(canceled)
		}
		return n == 4
	})
	r.shutDown()
}

// A client that pipelines, that is, sends further requests before the answer to the first, gets one error and its
// connection is closed; it must not get hundreds of searches served at once. Other clients are served.
func TestPipelinedRequest(t *testing.T) {
	r := start(t, 256, nil)
	for _, s := range r.replicas {
		s.SetHandler(func(receivedRequest) {})
	}
	c := r.connect().send(request("first", "all", "", fourParts))
	r.eventually("shard requests are sent", func() bool { return r.parts() == 4 })
	status, _, _, keep := c.send(strings.Repeat(request("next", "all", "", fourParts), 100)).readAnswer()
	require.Equal(t, 400, status)
	require.False(t, keep)
	for hostID := range r.replicas {
		r.replicas[hostID].SetHandler(receivedRequest.ReplyGood)
	}
	r.connect().expect("last", "all", 200, completeAnswer)
	require.Equal(t, 8, r.parts())
	r.shutDown()
	require.Equal(t, 1, strings.Count(r.log.String(), "event=request_pipelined"))
}

// The connection of a client that never finishes its request is closed after a bounded time. A read that was interrupted
// before its deadline continues, and bytes that have arrived by the deadline are still read.
func TestSlowClient(t *testing.T) {
	clientSide, serverSide := tcpPair(t)
	send := func() {
		_, err := clientSide.Write([]byte("x"))
		require.NoError(t, err)
	}
	f := &clientListener{stopping: context.Background()}
	client := &clientConnection{clientListener: f, conn: serverSide, answered: make(chan struct{}, 1), requestDeadline: time.Now().Add(testTimeout)}
	client.interruptRead()
	send()
	n, err := client.Read(make([]byte, 1))
	require.Equal(t, 1, n)
	require.NoError(t, err)
	client.requestDeadline = time.Unix(1, 0)
	client.interruptRead()
	_, err = client.Read(make([]byte, 1))
	require.Equal(t, errReadTimeout, connectionEndOf(err))
	client.requestDeadline = time.Time{}
	_, err = client.Read(make([]byte, 1))
	require.Equal(t, errIdle, connectionEndOf(err))
	stopping, cancel := context.WithCancel(context.Background())
	cancel()
	client.stopping = stopping
	client.interruptRead()
	send() // within stopIdleTimeout, which begins with the next read
	n, err = client.Read(make([]byte, 1))
	require.Equal(t, 1, n)
	require.NoError(t, err)
	_, err = client.Read(make([]byte, 1))
	require.Equal(t, errClosing, connectionEndOf(err))
}

// During shutdown too, the departure of a client that has pipelined is noticed at once: its open search is withdrawn, and
// the requests that it sent behind that search are not dispatched.
func TestClientLeavesAfterPipelining(t *testing.T) {
	for how, leave := range waysToLeave {
		t.Run(how, func(t *testing.T) {
			r := start(t, 256, nil)
			r.setHandlers(func(receivedRequest) {})
			c := r.connect().send(request("open", "all", "", fourParts))
			r.eventually("shard requests are sent", func() bool { return r.parts() == 4 })
			r.stop()
			r.logged("event=stopping")
			c.send(request("behind", "all", "", fourParts) + request("part", "all", "", fourParts)[:90])
			r.eventually("the search is still open", func() bool {
				open := make(chan bool, 1)
				r.loop.submit(func() { open <- len(r.loop.searches.byID) == 1 })
				return <-open
			})
			require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			r.eventually("attempts are canceled", func() bool { return r.canceledAttempts() == 4 })
			r.shutDown()
			require.Equal(t, 4, r.parts())
		})
	}
}

// gatedListener accepts connections at once but returns them only after gate is closed, as a stalled process would.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (h gatedListener) Accept() (net.Conn, error) {
	conn, err := h.Listener.Accept()
	if err == nil {
		<-h.gate
	}
	return conn, err
}

// tcpState returns the kernel's TCP state of a connection.
func tcpState(t *testing.T, conn net.Conn) (state uint8) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		state = info.State
	}))
	return state
}

// If a client leaves before its request is read, the request is not dispatched, in whichever way the client left.
func TestClientGoneBeforeDispatch(t *testing.T) {
	const each, finWait2 = 40, 5 // finWait2 is the Linux TCP state in which the other side has acknowledged the end of the stream
	r := start(t, 256, nil)
	ln, started, ended := gatedListener{listen(t), make(chan struct{})}, make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		ended <- Serve(ctx, r.plan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), onStart: started,
		})
	}()
	loop := <-started
	dial := func() *testClient {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		return &testClient{conn, r, http1.NewReader(conn, make([]byte, bufferSize))}
	}
	for how, leave := range waysToLeave {
		for i := range each {
			c := dial().send(request(fmt.Sprint(how, i), "all", "", fourParts))
			if how != "reset" {
				require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
				r.eventually("the end of the stream has arrived", func() bool { return tcpState(t, c.Conn) == finWait2 })
			}
			if how != "half-closed" {
				require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			}
		}
	}
	last := dial()
	close(ln.gate)
	last.expect("last", "all", 200, completeAnswer)
	r.eventually("the other connections have ended", func() bool {
		count := make(chan int, 1)
		loop.submit(func() { count <- len(loop.clients.connections) })
		return <-count == 1
	})
	require.Equal(t, 4, r.parts(), "only the last client's shard requests")
	last.Close()
	cancel()
	require.NoError(t, <-ended)
	r.shutDown()
}

// startPiped starts another coordinator with the rig's plan whose clients connect through pipes, on which a write returns
// only when it has been read. call connects a client; wrap, which may be nil, wraps the coordinator's side of the pipe.
// end stops both coordinators.
func (r *rig) startPiped() (call func(wrap func(net.Conn) net.Conn) *testClient, end func()) {
	p, started, ended := &pipeListener{conns: make(chan net.Conn)}, make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go func() {
		ended <- Serve(ctx, r.plan, Options{
			Listener: p, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), onStart: started,
		})
	}()
	<-started
	var callers []net.Conn
	call = func(wrap func(net.Conn) net.Conn) *testClient {
		own, other := net.Pipe()
		if wrap != nil {
			other = wrap(other)
		}
		p.conns <- other
		callers = append(callers, own)
		r.t.Cleanup(func() { own.Close() })
		own.SetDeadline(time.Now().Add(testTimeout))
		return &testClient{own, r, http1.NewReader(own, make([]byte, bufferSize))}
	}
	return call, func() {
		cancel()
		for _, conn := range callers {
			conn.Close()
		}
		select {
		case err := <-ended:
			require.NoError(r.t, err)
		case <-time.After(testTimeout):
			require.Fail(r.t, "the coordinator does not end")
		}
		r.shutDown()
	}
}

// A connection that waited for room gets the full time for its first request, counted from when it is admitted. Counted
// from connecting, the time would be over before the first read.
func TestFirstRequestAfterWaitingForRoom(t *testing.T) {
	t.Parallel()
	r := start(t, 16, nil)
	call, end := r.startPiped()
	gate := make(chan struct{})
	r.setHandlers(func(a receivedRequest) { go func() { <-gate; a.ReplyGood() }() })
	var busy []*testClient
	for i := range 8 { // takes all the room
		busy = append(busy, call(nil).send(request(fmt.Sprint("busy", i), "all", "", fourParts)))
	}
	r.eventually("shard requests are sent", func() bool { return r.parts() == 4*len(busy) })
	c := call(nil)
	time.Sleep(requestReadTimeout + finalReadGrace)
	close(gate)
	for _, b := range busy {
		status, _, _, _ := b.readAnswer()
		require.Equal(t, 200, status)
	}
	text := request("late", "all", "", fourParts)
	c.send(text[:100])
	time.Sleep(3 * finalReadGrace) // well within the request's own time, so the exact length does not matter
	status, _, _, _ := c.send(text[100:]).readAnswer()
	require.Equal(t, 200, status)
	end()
}

// halfClosingConn is a pipe that supports CloseWrite.
type halfClosingConn struct {
	net.Conn
	shut chan struct{}
}

func (h halfClosingConn) CloseWrite() error {
	close(h.shut)
	return nil
}

// After the last answer on a connection, bytes that still arrive are read for a while, since closing with unread bytes sends
// a reset that can overtake the answer. None of these requests is dispatched. The last answer is the error after
// pipelining, or the answer to a request with Connection: close whose client continues to send.
func TestLingersAfterLastAnswer(t *testing.T) {
	more := strings.Repeat(request("next", "all", "", fourParts), 100) // longer than several read buffers
	for name, x := range map[string]struct {
		head   string
		ahead  bool
		status int
	}{"sent ahead": {"", true, 400}, "last request": {"Connection: close\r\n", false, 200}} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 256, nil)
			call, end := r.startPiped()
			gate := make(chan struct{})
			r.setHandlers(func(a receivedRequest) { go func() { <-gate; a.ReplyGood() }() })
			h := halfClosingConn{nil, make(chan struct{})}
			c := call(func(conn net.Conn) net.Conn { h.Conn = conn; return h })
			c.send(request("first", "all", x.head, fourParts))
			r.eventually("shard requests are sent", func() bool { return r.parts() == 4 })
			sent := make(chan error, 1)
			send := func() {
				_, err := c.Write([]byte(more))
				sent <- err
			}
			if x.ahead {
				go send()
			} else {
				close(gate)
			}
			status, _, _, keep := c.readAnswer()
			require.Equal(t, x.status, status)
			require.False(t, keep)
			<-h.shut
			if !x.ahead {
				go send()
			}
			require.NoError(t, <-sent)
			c.Close()
			if end(); x.ahead {
				close(gate)
			}
			require.Equal(t, 4, r.parts())
		})
	}
}

// When a process goes on after a stall, it sends no attempts for clients that left meanwhile, although timers of their
// searches are due.
func TestClientsThatLeaveDuringStall(t *testing.T) {
	const runs, clients = 6, 24 // without the catch-up, one run in three sends an attempt
	for i := range runs {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			l := newChildProcess(t)
			l.start(nil)
			l.ready()
			l.holdAttempts()
			received := func() (n int) {
				for _, h := range l.hosts {
					n += h.CountRequests()
				}
				return n
			}
			var conns []net.Conn
			for i := range clients {
				conn, _ := l.dial()
				_, err := conn.Write([]byte(request(fmt.Sprint("q", i), "all", "", fourParts)))
				require.NoError(t, err)
				conns = append(conns, conn)
			}
			l.eventually("shard requests are sent", func() bool { return received() >= 8 }) // up to 16 are sent, but a busy machine may be slow to send them all
			l.suspend()
			for _, conn := range conns {
				conn.Close()
			}
			time.Sleep(time.Duration(400+200*i) * time.Millisecond) // the hedged attempt of an overdue shard request is due after 500 ms
			before := received()
			l.resume()
			l.ready()                          // the process runs again
			time.Sleep(200 * time.Millisecond) // for attempts that must not be sent
			require.Equal(t, before, received(), "%s", l.log)
			l.signal(syscall.SIGTERM)
			l.waitForExit(0)
		})
	}
}
