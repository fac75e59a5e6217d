package coordinator

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chalkring/internal/http1"
)

const tcpStateClosed = 7 // the system's state of a connection that has never been open or was reset

// rawConnOf returns a connection's socket, or nil if it has none or has been closed by this process.
func rawConnOf(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// errPipelined ends a connection on which more follows a request than may.
var errPipelined = errors.New("more bytes follow the request; wait for its answer before sending the next one")

// checkFollowing checks what has arrived behind a request that is about to be dispatched, and whether the client has closed
// the connection. Behind unread bytes the close might not be seen, so that requests of clients that have left would be
// dispatched.
func (c *clientConnection) checkFollowing() error {
	if c.readiness == nil {
		return nil
	}
	for {
		c.readiness.look()
		if c.readiness.hungUp {
			return errPeerClosed
		}
		if c.reader.SkipEmptyLines() && !c.loop.isStopping() {
			return errPipelined
		}
		if !c.readiness.due {
			return nil
		}
		if err := c.reader.ReadAhead(); errors.Is(err, http1.ErrBufferFull) {
			return errPipelined
		} else if err != nil {
			return err
		}
	}
}

// hasHungUp reports whether the client has closed its side of the connection, as far as the system knows.
func (c *clientConnection) hasHungUp() bool { return pollSocket(c.conn, unix.POLLRDHUP) != 0 }

// pollSocket returns which of the given poll events a connection's socket has now, POLLHUP and POLLERR included. It returns
// POLLHUP if this process has closed the connection, and 0 if the connection has no socket.
func pollSocket(conn net.Conn, events int16) (found int16) {
	raw := rawConnOf(conn)
	if raw == nil {
		return 0
	}
	controlErr := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			found = fds[0].Revents & (events | unix.POLLHUP | unix.POLLERR)
		}
	})
	if controlErr != nil {
		return unix.POLLHUP
	}
	return found
}

// lastReceivedAgo returns how long ago the system received the last bytes on a connection, read or not, in its resolution
// of some milliseconds. ok is false if the connection has no open socket or the system does not tell. Some systems tell 0
// for any time.
func lastReceivedAgo(conn net.Conn) (ago time.Duration, ok bool) {
	raw := rawConnOf(conn)
	if raw == nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection, of which nothing is known
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State != tcpStateClosed {
			ago, ok = time.Duration(info.Last_data_recv)*time.Millisecond, true
		}
	})
	return ago, ok
}

// nonBlockingRead returns a function that reads from a connection with a socket without blocking, whatever its deadline.
func nonBlockingRead(conn net.Conn) func(p []byte) (int, error) {
	return func(p []byte) (n int, err error) {
		raw := rawConnOf(conn)
		if raw == nil {
			return 0, net.ErrClosed
		}
		if controlErr := raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) }); controlErr != nil { // not raw.Read, which fails after the connection's deadline
			return 0, controlErr
		}
		if n == 0 && err == nil {
			return 0, io.EOF
		}
		return max(n, 0), err
	}
}
