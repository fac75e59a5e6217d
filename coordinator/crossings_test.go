package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chalkring/internal/fake"
)

// crossing is a connection on a TCP socket that stops at named moments for as long as what stands there takes; nil passes.
type crossing struct {
	*net.TCPConn
	read        func(n int)                       // some bytes are read, and not handed over yet
	writes      func(p []byte) (n int, done bool) // a write begins; done if it has been dealt with
	wrote       func(p []byte)                    // a write is out, and its end not told
	closesWrite func()
	closes      func()
}

func (c *crossing) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.read != nil && n > 0 {
		c.read(n)
	}
	return n, err
}

func (c *crossing) Write(p []byte) (int, error) {
	if c.writes != nil {
		if n, done := c.writes(p); done {
			if n < len(p) {
				return n, io.ErrShortWrite
			}
			return n, nil
		}
	}
	n, err := c.TCPConn.Write(p)
	if c.wrote != nil && err == nil {
		c.wrote(p)
	}
	return n, err
}

func (c *crossing) CloseWrite() error {
	if c.closesWrite != nil {
		c.closesWrite()
	}
	return c.TCPConn.CloseWrite()
}

func (c *crossing) Close() error {
	if c.closes != nil {
		c.closes()
	}
	return c.TCPConn.Close()
}

// accepting is a TCP listener whose connections are crossings, and which tells of each deadline that it is given.
type accepting struct {
	*net.TCPListener
	made     func(c *crossing) // may be nil
	deadline func()            // may be nil
}

func (a *accepting) Accept() (net.Conn, error) {
	conn, err := a.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	c := &crossing{TCPConn: conn.(*net.TCPConn)}
	if a.made != nil {
		a.made(c)
	}
	return c, nil
}

func (a *accepting) SetDeadline(at time.Time) error {
	err := a.TCPListener.SetDeadline(at)
	if a.deadline != nil && !at.IsZero() {
		a.deadline()
	}
	return err
}

// clocked is a clock whose waits of one length last until they are let go.
type clocked struct {
	SystemClock
	held time.Duration
	gate chan time.Time
}

func (c clocked) After(d time.Duration) <-chan time.Time {
	if d == c.held {
		return c.gate
	}
	return c.SystemClock.After(d)
}

// crossed starts a co-ordinator whose clients' and replicas' connections are made crossings by accepts and dials; either
// may be nil, and more too.
func crossed(t *testing.T, sockets int, edit func(settings map[string]any), accepts func(c *crossing),
	dials func(addr string, c *crossing), more func(m *Options),
) *rig {
	return startIn(t, nil, sockets, edit, nil, nil, func(m *Options) {
		m.Listener = &accepting{TCPListener: m.Listener.(*net.TCPListener), made: accepts}
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := own(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			c := &crossing{TCPConn: conn.(*net.TCPConn)}
			if dials != nil {
				dials(addr, c)
			}
			return c, nil
		}
		if more != nil {
			more(m)
		}
	})
}

// arrived waits until the kernel has bytes of the other side's that are not read, or its reset.
func arrived(t *testing.T, conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		there := false
		err := raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			there = err == nil && n > 0
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == 7 { // closed
				there = true
			}
		})
		return err != nil || there
	}, patience, time.Millisecond)
}

// reset ends a connection with a reset.
func reset(conn net.Conn) error {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails on a closed connection alone
	return conn.Close()
}

// noneTaken waits until the listener is closed.
func (r *rig) noneTaken() {
	r.eventually("no more connections are taken", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// open counts the searches that are open.
func (r *rig) open() (n int) {
	r.runInLoop(func(loop *eventLoop) { n = len(loop.searches.byID) })
	return n
}

// A request that comes after the last answer on its connection was written, and is read before that connection is shut, is
// not sent on: its client will see the end.
func TestRequestBetweenLastAnswerAndClose(t *testing.T) {
	for name, atStop := range map[string]bool{"a request that wants it": false, "the end of the stop": true} {
		t.Run(name, func(t *testing.T) {
			answered, reads := make(chan struct{}), make(chan struct{}, 64)
			r := crossed(t, 256, nil, func(c *crossing) {
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
			c := r.call()
			c.want("first", "all", 200, wholeOfAll)
			head := "Connection: close\r\n"
			if atStop {
				r.loop.stop.closeAfterAnswer.Store(true)
				r.stop()
				r.logged("event=stopping")
				r.noneTaken()
				head = ""
			}
			c.send(request("last", "all", head, fourParts))
			<-answered
			c.send(request("behind", "all", "", fourParts))
			status, _, _, keep := c.answer()
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
			r.end()
			require.Equal(t, 8, r.parts(), "those of the first and the last")
		})
	}
}

// Connections that came before the listener closed and for which there was no room then have their answers once there is:
// none is reset in the system's queue.
func TestConnectionsWaitingForRoomAtShutdown(t *testing.T) {
	const sockets, more, room = 16, 6, 8
	gate, closing := make(chan struct{}), make(chan struct{}, 64)
	r := crossed(t, sockets, nil, nil, nil, func(m *Options) {
		m.Listener.(*accepting).deadline = func() { closing <- struct{}{} }
		m.Clock = clocked{held: stopIdleTimeout, gate: make(chan time.Time)} // which ends the wait for room
	})
	r.allow(func(a asked) { go func() { <-gate; a.ReplyGood() }() })
	var all []*caller
	for i := range room + more {
		all = append(all, r.call().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
		r.eventually("it is at work", func() bool { return r.open() == min(i+1, room) }) // one that is not would be displaced
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
	r.end()
}

// A request that comes as its connection is closed, having been at rest, is not sent on, and its client sees an end without
// an answer: it may send it again.
func TestRequestWhileItsConnectionCloses(t *testing.T) {
	for name, ends := range map[string]func(r *rig){
		"unused": func(*rig) {},
		"displaced": func(r *rig) {
			for range 10 {
				r.call()
			}
		},
		"at the stop": func(r *rig) { r.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closes, sent := make(chan *net.TCPConn), make(chan struct{})
			var first atomic.Bool
			r := crossed(t, 16, nil, func(c *crossing) {
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
			c := r.call()
			c.want("first", "all", 200, wholeOfAll)
			ends(r)
			here := <-closes
			c.send(request("crosses", "all", "", fourParts))
			arrived(t, here)
			close(sent)
			_, err := c.Read(make([]byte, 1))
			require.Error(t, err)
			require.False(t, errors.Is(err, syscall.ETIMEDOUT))
			r.end()
			require.Equal(t, 4, r.parts(), "those of the first")
		})
	}
}

// An answer that is half written as the co-ordinator is told to end goes out whole.
func TestPartlyWrittenAnswerAtShutdown(t *testing.T) {
	half, gate := make(chan struct{}), make(chan struct{})
	r := crossed(t, 256, nil, func(c *crossing) {
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
	c := r.call().send(request("q", "all", "", fourParts))
	<-half
	r.stop()
	r.logged("event=stopping")
	r.noneTaken()
	close(gate)
	status, _, text, _ := c.answer()
	require.Equal(t, 200, status)
	require.JSONEq(t, wholeOfAll, text)
	r.end()
}

// A replica's reset against the write of a frame to it: one that is not out whole was never sent and goes elsewhere, whatever
// its effect; one that is may have run, and an unsafe one is not sent again.
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
			r := crossed(t, 256, func(settings map[string]any) {
				placed(settings, "Classes", 1)["Effect"] = "fragile"
				settings["Permissions"].(map[string]any)["SecondCopies"] = false
			}, nil, func(addr string, c *crossing) {
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
					arrived(t, c.TCPConn)
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
			c := r.call().send(request("q", "all", "", `{"ranges":[{"range":0,"portion":1}],"predicate":"what"}`))
			status, _, text, _ := c.answer()
			require.Equal(t, x.status, status, "%s\n%s", text, r.log)
			require.Equal(t, 1, r.parts(), "it has run once at the most")
			r.end()
		})
	}
}

// While the owner's queue is full those that have something for it wait, and nothing of it is lost: requests are answered, and
// leaves are seen, once it goes on.
func TestFullTaskQueue(t *testing.T) {
	r := start(t, 256, nil)
	r.call().want("first", "all", 200, wholeOfAll)
	gate, in := make(chan struct{}), make(chan struct{})
	r.loop.submit(func() { close(in); <-gate })
	<-in
	var callers []*caller
	for i := range 40 {
		callers = append(callers, r.call().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
	}
	for full := false; !full; {
		select {
		case r.loop.tasks <- func() {}:
		default:
			full = true
		}
	}
	for i := range 20 { // behind a queue that is full
		callers = append(callers, r.call().send(request(fmt.Sprint("p", i), "all", "", fourParts)))
	}
	for _, c := range callers[:5] {
		c.Close()
	}
	close(gate)
	for i, c := range callers[5:] {
		status, _, _, _, err := c.rd.ReadResponse()
		require.NoError(t, err, "%d", i)
		require.Contains(t, []int{200, 503}, status)
	}
	r.eventually("none is left open", func() bool { return r.open() == 0 })
	r.end()
}
