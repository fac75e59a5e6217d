package gossip

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// dialTimeout is the time for a connection to come up: longer than any way round the earth takes.
const dialTimeout = time.Second

var errDropped = errors.New("dropped on purpose")

// transport is memberlist's transport on one TCP and UDP port with destinations replaced by Options.AddrOverrides, also
// for acknowledgements, which go to the address that a ping names. It counts the bytes sent.
type transport struct {
	*memberlist.NetTransport
	addrOverrides map[string]string
	shouldDrop    func(addr string) bool // nil, or a test's
	bytesSent     atomic.Int64
}

// destination returns where to send what is for an address; false if it is to be dropped.
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

// DialAddressTimeout opens a connection that ends after streamTimeout: memberlist writes messages without a deadline, and
// the receiver may accept a connection and read nothing.
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
