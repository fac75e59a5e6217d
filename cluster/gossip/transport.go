package gossip

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// dialTimeout is the time to establish a connection. It is longer than any round trip on earth.
const dialTimeout = time.Second

var errDropped = errors.New("dropped by Options.ShouldDrop")

// transport is memberlist's transport on one TCP and UDP port. It counts the bytes sent and replaces destinations as
// Options.AddrOverrides says. That includes acknowledgements, because they go to the address that the ping contains.
type transport struct {
	*memberlist.NetTransport
	addrOverrides map[string]string
	shouldDrop    func(addr string) bool // set by tests only, else nil
	bytesSent     atomic.Int64
}

// destination returns the address to use in place of addr, and false if packets and connections to addr are dropped.
func (t *transport) destination(addr string) (string, bool) {
	if t.shouldDrop != nil && t.shouldDrop(addr) {
		return "", false
	}
	if override := t.addrOverrides[addr]; override != "" {
		return override, true
	}
	return addr, true
}

// WriteTo sends a packet.
func (t *transport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(packet []byte, addr memberlist.Address) (time.Time, error) {
	destination, ok := t.destination(addr.Addr)
	if !ok {
		return time.Now(), nil
	}
	t.bytesSent.Add(int64(len(packet)))
	addr.Addr = destination
	return t.NetTransport.WriteToAddress(packet, addr)
}

// DialTimeout opens a connection.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a connection with a deadline of streamTimeout. memberlist writes messages without a deadline, so
// a receiver that accepts a connection and reads nothing would block it.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	destination, ok := t.destination(addr.Addr)
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errDropped}
	}
	addr.Addr = destination
	conn, err := t.NetTransport.DialAddressTimeout(addr, min(timeout, dialTimeout))
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		conn.Close()
		return nil, err
	}
	return &countingConn{Conn: conn, bytesSent: &t.bytesSent}, nil
}

// countingConn is a connection that counts the bytes sent.
type countingConn struct {
	net.Conn
	bytesSent *atomic.Int64
}

// Write sends bytes.
func (c *countingConn) Write(data []byte) (int, error) {
	written, err := c.Conn.Write(data)
	c.bytesSent.Add(int64(written))
	return written, err
}
