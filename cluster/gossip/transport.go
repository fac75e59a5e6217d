package gossip

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is the library's own on one TCP and UDP port, with destinations replaced by Via: acknowledgements, which go
// to the address that a ping names, too. It counts what is sent and drops what a test wants dropped.
type transport struct {
	*memberlist.NetTransport
	via  map[string]string
	drop func(addr string) bool
	sent atomic.Int64
}

func (t *transport) to(addr string) (string, bool) {
	if t.drop != nil && t.drop(addr) {
		return "", false
	}
	if other := t.via[addr]; other != "" {
		return other, true
	}
	return addr, true
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	addr, ok := t.to(a.Addr)
	if !ok {
		return time.Now(), nil
	}
	t.sent.Add(int64(len(b)))
	a.Addr = addr
	return t.NetTransport.WriteToAddress(b, a)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	addr, ok := t.to(a.Addr)
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errDropped}
	}
	a.Addr = addr
	c, err := t.NetTransport.DialAddressTimeout(a, min(timeout, dialMost))
	if err != nil {
		return nil, err
	}
	// guards against one that takes a connection and reads nothing: the library writes messages without a time of its own
	if err := c.SetDeadline(time.Now().Add(streamMost)); err != nil {
		c.Close()
		return nil, err
	}
	return &counted{Conn: c, sent: &t.sent}, nil
}

type counted struct {
	net.Conn
	sent *atomic.Int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
