package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chalkring/internal/http1"
)

// waysToLeave are the ways in which a client's connection ends.
var waysToLeave = map[string]func(conn *net.TCPConn) error{
	"closed":      (*net.TCPConn).Close,
	"half-closed": (*net.TCPConn).CloseWrite,
	"reset":       func(conn *net.TCPConn) error { return reset(conn) },
}

// attemptCount counts the attempts that were canceled at hosts.
func (r *rig) attemptCount() (n int) {
	for _, s := range r.replicas {
		_, given, _, _ := s.Observed()
		n += len(given)
	}
	return n
}

// allow has the hosts answer, or be silent.
func (r *rig) allow(do func(receivedRequest)) {
	for _, s := range r.replicas {
		s.SetHandler(do)
	}
}

// A client that leaves withdraws its search: its attempts are canceled at once.
func TestClientLeaves(t *testing.T) {
	r := start(t, 256, nil)
	var got atomic.Int32
	for _, s := range r.replicas {
		s.SetHandler(func(receivedRequest) { got.Add(1) })
	}
	c := r.connect().send(request("q", "all", "", fourParts))
	r.eventually("parts are out", func() bool { return got.Load() == 4 })
	c.Close()
	r.eventually("parts are given up", func() bool {
		n := 0
		for _, s := range r.replicas {
			_, given, _, _ := s.Observed()
			n += len(given)
		}
		return n == 4
	})
	r.shutDown()
}

// A client that sends a second request before the answer to the first gets an error for both.
func TestPipelinedRequest(t *testing.T) {
	r := start(t, 256, nil)
	for _, s := range r.replicas {
		s.SetHandler(func(receivedRequest) {})
	}
	c := r.connect().send(request("first", "all", "", fourParts))
	r.eventually("parts are out", func() bool { return r.parts() == 4 })
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

// A client that never finishes its request is closed after a bounded time; one whose read was interrupted reads on.
func TestSlowClient(t *testing.T) {
	ln := listen(t)
	there, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer there.Close()
	here, err := ln.Accept()
	require.NoError(t, err)
	defer here.Close()
	send := func() {
		_, err := there.Write([]byte("x"))
		require.NoError(t, err)
	}
	f := &clientListener{stopping: context.Background()}
	client := &clientConnection{clientListener: f, conn: here, answered: make(chan struct{}, 1), requestDeadline: time.Now().Add(testTimeout)}
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
	send() // before the last look
	n, err = client.Read(make([]byte, 1))
	require.Equal(t, 1, n)
	require.NoError(t, err)
	_, err = client.Read(make([]byte, 1))
	require.Equal(t, errClosing, connectionEndOf(err))
}

// During shutdown, a client that has pipelined and leaves is noticed at once too: its open search is withdrawn, and
// what it sent after that is not dispatched.
func TestClientLeavesAfterPipelining(t *testing.T) {
	for how, leave := range waysToLeave {
		t.Run(how, func(t *testing.T) {
			r := start(t, 256, nil)
			r.allow(func(receivedRequest) {})
			c := r.connect().send(request("open", "all", "", fourParts))
			r.eventually("parts are out", func() bool { return r.parts() == 4 })
			r.stop()
			r.logged("event=stopping")
			c.send(request("behind", "all", "", fourParts) + request("part", "all", "", fourParts)[:90])
			r.eventually("it is awaited", func() bool {
				told := make(chan bool, 1)
				r.loop.submit(func() { told <- len(r.loop.searches.byID) == 1 })
				return <-told
			})
			require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			r.eventually("parts are given up", func() bool { return r.attemptCount() == 4 })
			r.shutDown()
			require.Equal(t, 4, r.parts())
		})
	}
}

// gatedListener are connections that are accepted at once and handed on later, as by a process that is gatedListener up.
type gatedListener struct {
	net.Listener
	free chan struct{}
}

func (h gatedListener) Accept() (net.Conn, error) {
	conn, err := h.Listener.Accept()
	if err == nil {
		<-h.free
	}
	return conn, err
}

// tcpState is what the kernel has a connection in.
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

// The request of a client that has left before it is read is not dispatched, however the client left.
func TestClientGoneBeforeDispatch(t *testing.T) {
	const each, finWait2 = 40, 5 // of Linux's states: the other side has the end of what was sent
	r := start(t, 256, nil)
	ln, look, ended := gatedListener{listen(t), make(chan struct{})}, make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		ended <- Serve(ctx, r.plan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), onStart: look,
		})
	}()
	loop := <-look
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
				r.eventually("its end is there", func() bool { return tcpState(t, c.Conn) == finWait2 })
			}
			if how != "half-closed" {
				require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			}
		}
	}
	last := dial()
	close(ln.free)
	last.expect("last", "all", 200, completeAnswer)
	r.eventually("the others have ended", func() bool {
		told := make(chan int, 1)
		loop.submit(func() { told <- len(loop.clients.connections) })
		return <-told == 1
	})
	require.Equal(t, 4, r.parts(), "those of the last alone")
	last.Close()
	cancel()
	require.NoError(t, <-ended)
	r.shutDown()
}

// startPiped starts a further coordinator whose clients connect by pipes: a write returns once it has been read. made
// changes the coordinator's side of a connection, and may be nil.
func (r *rig) startPiped() (call func(made func(net.Conn) net.Conn) *testClient, end func()) {
	p, look, ended := &pipeListener{conns: make(chan net.Conn)}, make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go func() {
		ended <- Serve(ctx, r.plan, Options{
			Listener: p, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), onStart: look,
		})
	}()
	<-look
	var callers []net.Conn
	call = func(made func(net.Conn) net.Conn) *testClient {
		own, other := net.Pipe()
		if made != nil {
			other = made(other)
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
			require.Fail(r.t, "does not end")
		}
		r.shutDown()
	}
}

// A connection that waited for room has the full time for its first request from then on.
func TestFirstRequestAfterWaitingForRoom(t *testing.T) {
	t.Parallel()
	r := start(t, 16, nil)
	call, end := r.startPiped()
	gate := make(chan struct{})
	r.allow(func(a receivedRequest) { go func() { <-gate; a.ReplyGood() }() })
	var busy []*testClient
	for i := range 8 { // all the room
		busy = append(busy, call(nil).send(request(fmt.Sprint("busy", i), "all", "", fourParts)))
	}
	r.eventually("parts are out", func() bool { return r.parts() == 4*len(busy) })
	c := call(nil)
	time.Sleep(requestReadTimeout + finalReadGrace)
	close(gate)
	for _, b := range busy {
		status, _, _, _ := b.readAnswer()
		require.Equal(t, 200, status)
	}
	text := request("late", "all", "", fourParts)
	c.send(text[:100])
	time.Sleep(3 * finalReadGrace) // no verdict rests on its length: it is in the request's own time
	status, _, _, _ := c.send(text[100:]).readAnswer()
	require.Equal(t, 200, status)
	end()
}

// halfClosingConn is a pipe of which one direction can be shut.
type halfClosingConn struct {
	net.Conn
	shut chan struct{}
}

func (h halfClosingConn) CloseWrite() error {
	close(h.shut)
	return nil
}

// After a last answer, what still arrives is read for a while, so that no reset overtakes the answer: after
// pipelining, and when a client sends on. None of it is dispatched.
func TestLingersAfterLastAnswer(t *testing.T) {
	more := strings.Repeat(request("next", "all", "", fourParts), 100) // several buffers
	for name, x := range map[string]struct {
		head   string
		ahead  bool
		status int
	}{"sent ahead": {"", true, 400}, "last request": {"Connection: close\r\n", false, 200}} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 256, nil)
			call, end := r.startPiped()
			gate := make(chan struct{})
			r.allow(func(a receivedRequest) { go func() { <-gate; a.ReplyGood() }() })
			h := halfClosingConn{nil, make(chan struct{})}
			c := call(func(conn net.Conn) net.Conn { h.Conn = conn; return h })
			c.send(request("first", "all", x.head, fourParts))
			r.eventually("parts are out", func() bool { return r.parts() == 4 })
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

// A stalled process whose clients leave meanwhile sends nothing for them when it goes on, though timers of their
// searches are due.
func TestClientsThatLeaveDuringStall(t *testing.T) {
	const lives, clients = 6, 24 // without what it holds, one life in three sends something
	for i := range lives {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			l := newChildProcess(t)
			l.start(nil)
			l.ready()
			l.holdAttempts()
			took := func() (n int) {
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
			l.eventually("parts are out", func() bool { return took() >= 8 }) // of 16 that may be, on a machine that is busy
			l.signal(syscall.SIGSTOP)
			l.eventually("it stands still", func() bool {
				text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", l.cmd.Process.Pid))
				require.NoError(t, err)
				return strings.Contains(string(text), ") T ")
			})
			for _, conn := range conns {
				conn.Close()
			}
			time.Sleep(time.Duration(400+200*i) * time.Millisecond) // an overdue part waits 500 ms for its copy
			before := took()
			l.signal(syscall.SIGCONT)
			l.ready()                          // it goes on
			time.Sleep(200 * time.Millisecond) // for what would go out
			require.Equal(t, before, took(), "%s", l.log)
			l.signal(syscall.SIGTERM)
			l.waitForExit(0)
		})
	}
}
