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

// hookedConn is a TCP connection that calls hooks before or after its operations; nil hooks are skipped.
type hookedConn struct {
	*net.TCPConn
	read        func(n int)                       // n bytes have been read, and are not returned yet
	writes      func(p []byte) (n int, done bool) // a write begins; done if the hook has handled it
	wrote       func(p []byte)                    // a write has succeeded, and has not returned yet
	closesWrite func()                            // CloseWrite begins
	closes      func()                            // Close begins
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

// hookedListener is a TCP listener of hooked connections that also calls hooks.
type hookedListener struct {
	*net.TCPListener
	made     func(c *hookedConn) // a connection is accepted; may be nil
	deadline func()              // a deadline has been set; may be nil
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

// hookedClock is a clock on which a wait of exactly the length held ends only when the test sends to gate.
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

// startHooked starts a coordinator with hooks on its connections: accepts sets those of client connections, dials those of
// connections to replicas and discovery, and more may change the options. All three may be nil.
func startHooked(t *testing.T, sockets int, edit func(settings map[string]any), accepts func(c *hookedConn),
	dials func(addr string, c *hookedConn), more func(m *Options),
) *rig {
	return startWithOptions(t, nil, sockets, edit, nil, nil, func(m *Options) {
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

// awaitArrival waits until the kernel has received unread bytes, or a reset, from the other side.
func awaitArrival(t *testing.T, conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		arrived := false
		err := raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			arrived = err == nil && n > 0
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == 7 { // closed
				arrived = true
			}
		})
		return err != nil || arrived
	}, testTimeout, time.Millisecond)
}

// reset ends a connection with a reset.
func reset(conn net.Conn) error {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	return conn.Close()
}

// awaitListenerClosed waits until the listener is closed.
func (r *rig) awaitListenerClosed() {
	r.eventually("no more connections are accepted", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// openSearchCount returns how many searches are open.
func (r *rig) openSearchCount() (n int) {
	r.runInLoop(func(loop *eventLoop) { n = len(loop.searches.byID) })
	return n
}
