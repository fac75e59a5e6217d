package coordinator

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// hookedConn is a TCP connection that calls hooks at named moments; nil hooks are skipped.
type hookedConn struct {
	*net.TCPConn
	read        func(n int)                       // some bytes are read, and not handed over yet
	writes      func(p []byte) (n int, done bool) // a write begins; done if it has been dealt with
	wrote       func(p []byte)                    // a write is out, and has not returned
	closesWrite func()
	closes      func()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.read != nil && n > 0 {
		c.read(n)
	}
	return n, err
}

func (c *hookedConn) Write(p []byte) (int, error) {
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

func (c *hookedConn) CloseWrite() error {
	if c.closesWrite != nil {
		c.closesWrite()
	}
	return c.TCPConn.CloseWrite()
}

func (c *hookedConn) Close() error {
	if c.closes != nil {
		c.closes()
	}
	return c.TCPConn.Close()
}

// hookedListener is a TCP listener of hooked connections, which reports each deadline that it is given.
type hookedListener struct {
	*net.TCPListener
	made     func(c *hookedConn) // may be nil
	deadline func()              // may be nil
}

func (a *hookedListener) Accept() (net.Conn, error) {
	conn, err := a.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	c := &hookedConn{TCPConn: conn.(*net.TCPConn)}
	if a.made != nil {
		a.made(c)
	}
	return c, nil
}

func (a *hookedListener) SetDeadline(at time.Time) error {
	err := a.TCPListener.SetDeadline(at)
	if a.deadline != nil && !at.IsZero() {
		a.deadline()
	}
	return err
}

// hookedClock is a clock whose waits of one length last until they are let go.
type hookedClock struct {
	SystemClock
	held time.Duration
	gate chan time.Time
}

func (c hookedClock) After(d time.Duration) <-chan time.Time {
	if d == c.held {
		return c.gate
	}
	return c.SystemClock.After(d)
}

// startHooked starts a coordinator whose clients' and replicas' connections get hooks from accepts and dials; either
// may be nil, and more too.
func startHooked(t *testing.T, sockets int, edit func(settings map[string]any), accepts func(c *hookedConn),
	dials func(addr string, c *hookedConn), more func(m *Options),
) *rig {
	return startIn(t, nil, sockets, edit, nil, nil, func(m *Options) {
		m.Listener = &hookedListener{TCPListener: m.Listener.(*net.TCPListener), made: accepts}
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := own(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			c := &hookedConn{TCPConn: conn.(*net.TCPConn)}
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

// awaitArrival waits until the kernel has bytes of the other side's that are not read, or its reset.
func awaitArrival(t *testing.T, conn *net.TCPConn) {
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

// awaitListenerClosed waits until the listener is closed.
func (r *rig) awaitListenerClosed() {
	r.eventually("no more connections are taken", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// openClients counts the searches that are openClients.
func (r *rig) openClients() (n int) {
	r.runInLoop(func(loop *eventLoop) { n = len(loop.searches.byID) })
	return n
}
