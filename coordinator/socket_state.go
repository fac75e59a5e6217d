package coordinator

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConnOf returns a connection's socket, or nil where it has none or is closed here.
func rawConnOf(conn net.Conn) syscall.RawConn {
	there, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := there.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// checkClientGone checks once more, without waiting, whether the client has left: in a process that reads late, a
// request would be dispatched for nobody.
func (c *clientConnection) checkClientGone() error {
	if c.readAvailable == nil {
		return nil
	}
	err := c.reader.ReadAvailable(c.readAvailable)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return connectionEndOf(err)
	}
	return nil // nothing more has arrived, or it is not known
}

// hasHungUp says whether the client has closed its side of the connection, as far as the system knows.
func (c *clientConnection) hasHungUp() (ended bool) {
	raw := rawConnOf(c.conn)
	if raw == nil {
		return false
	}
	closed := raw.Control(func(fd uintptr) {
		at := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(at, 0)
		ended = err == nil && n > 0 && at[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || closed != nil
}

// nonBlockingRead returns a read of a connection that does not wait, allocated once for all its requests; nil where
// the connection has no socket.
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
		if ended := raw.Control(read); ended != nil { // Read would fail once the connection's deadline is over
			return 0, ended
		}
		if n == 0 && err == nil {
			return 0, io.EOF
		}
		return n, err
	}
}
