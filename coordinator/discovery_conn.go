package coordinator

import (
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// discoveryConn is a connection to discovery that knows whether part of an answer has arrived that is not applied yet. One
// goroutine reads from it; hasNews may be called by any.
type discoveryConn struct {
	net.Conn
	readAvailable func(p []byte) (int, error) // reads without blocking; nil if the connection does not support it
	isHandling    atomic.Bool                 // something was read, and the reader has not come back for more
}

// newDiscoveryConn returns a discoveryConn that reads from a connection.
func newDiscoveryConn(conn net.Conn) *discoveryConn {
	return &discoveryConn{Conn: conn, readAvailable: nonBlockingRead(conn)}
}

// Read implements io.Reader. After the connection's deadline it still reads what has arrived: after a stall of the process,
// the answer may have come in time and be unread.
func (c *discoveryConn) Read(p []byte) (n int, err error) {
	c.isHandling.Store(false)
	defer c.isHandling.Store(true)
	n, err = c.Conn.Read(p)
	if n == 0 && isSilence(err) && c.readAvailable != nil {
		if available, _ := c.readAvailable(p); available > 0 {
			return available, nil
		}
	}
	return n, err
}

// hasNews reports whether something has arrived from discovery that is unread, or read and not handed on yet.
func (c *discoveryConn) hasNews() bool {
	return c.isHandling.Load() || pollSocket(c.Conn, unix.POLLIN) != 0
}

// hasNews reports whether something has arrived from discovery that the event loop has not been given yet.
func (r *discoveryRequests) hasNews() bool {
	conn := r.openConn.Load()
	return conn != nil && conn.hasNews()
}
