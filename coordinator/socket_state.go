package coordinator

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// checkClientGone checks without blocking whether the client has closed the connection since its request arrived, and
// returns an error if it has. Without this check, a process that reads late would dispatch requests of clients that have
// left.
func (c *clientConnection) checkClientGone() error {
	if c.readAvailable == nil {
		return nil
	}
	err := c.reader.ReadAvailable(c.readAvailable)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return connectionEndOf(err)
	}
	return nil // nothing more has arrived, or the state is unknown
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

// nonBlockingRead returns a function that reads from a connection without blocking, or nil if the connection has no socket.
// It is allocated once for all requests of the connection.
func nonBlockingRead(conn net.Conn) func(p []byte) (int, error) {
	raw := rawConnOf(conn)
	if raw == nil {
		return nil
	}
	var into []byte
	var n int
	var err error
	read := func(fd uintptr) { n, err = syscall.Read(int(fd), into) }
	return func(p []byte) (int, error) {
		into = p
		if controlErr := raw.Control(read); controlErr != nil { // not raw.Read, which fails after the connection's deadline
			return 0, controlErr
		}
		if n == 0 && err == nil {
			return 0, io.EOF
		}
		return n, err
	}
}
