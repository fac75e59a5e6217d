package peerprotocol

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
)

// faultyPeers returns the ways in which a peer can fail a request, by name. Each function is called with a connection on
// which the first bytes of the request have been read; nil stands for a peer that does not listen.
func faultyPeers(t *testing.T) map[string]func(conn net.Conn) {
	frame := func(kind byte, message any) []byte {
		encoded, err := appendFrame(nil, kind, message)
		require.NoError(t, err)
		return encoded
	}
	header := frame(kindHeader, peerreport.ReportHeader{Peer: "b", HostCount: 1000})
	chunk := frame(kindObservations, hostObservations(10))
	// Write errors are ignored: a client may close the connection as soon as it sees the fault.
	send := func(parts ...[]byte) func(conn net.Conn) {
		return func(conn net.Conn) { _, _ = conn.Write(slices.Concat(parts...)) }
	}
	return map[string]func(conn net.Conn){
		"unreachable": nil,
		"silent":      func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) },
		"a byte at a time": func(conn net.Conn) {
			for _, b := range slices.Concat(header, chunk) {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		},
		"noise":                   send(bytes.Repeat([]byte("\x00\x00\x00\x10noise"), 100)),
		"huge length":             send([]byte("\xff\xff\xff\xffr")),
		"no length":               send(make([]byte, 4)),
		"closes in the header":    send(header[:len(header)-2]),
		"closes after the header": send(header),
		"closes after a chunk":    send(header, chunk),
		"chunk first":             send(chunk),
		"two headers":             send(header, header),
		"wrong checksum":          send(header, frame(kindEnd, []byte("12345678"))),
		"deferral in a report":    send(header, frame(kindDeferral, uint32(1))),
		"invalid host name":       send(header, frame(kindObservations, []peerreport.Observation{{HostID: "a b"}})),
		"endless": func(conn net.Conn) {
			if _, err := conn.Write(header); err != nil {
				return
			}
			for {
				if _, err := conn.Write(chunk); err != nil {
					return
				}
			}
		},
		"deeply nested": send([]byte("\x00\x00\x04\x01r"), bytes.Repeat([]byte{0x81}, 1024)),
		"huge array":    send([]byte("\x00\x00\x00\x06s\x9a\xff\xff\xff\xff"), header),
	}
}

// A faulty peer must not block a request, and its report must not be accepted: whatever it does, the request fails in time.
func TestFaultyPeers(t *testing.T) {
	closed := listen(t)
	closed.Close()
	for name, behave := range faultyPeers(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := closed.Addr().String()
			if behave != nil {
				addr = startFaultyPeer(t, behave)
			}
			startedAt, hostCount := time.Now(), 0
			result := fetchReport(addr, func(c *Client) {
				c.OnObservations = func(observations []peerreport.Observation) error {
					if hostCount += len(observations); hostCount > 1000 {
						return errors.New("more hosts received than the header announced")
					}
					return nil
				}
			})
			require.Equal(t, peerreport.OutcomeFailed, result.outcome)
			require.Error(t, result.err)
			require.Less(t, time.Since(startedAt), exchangeTimeout+5*time.Second)
		})
	}
}

// startFaultyPeer accepts one connection, reads the first bytes of its request and then calls behave.
func startFaultyPeer(t *testing.T, behave func(conn net.Conn)) (addr string) {
	const requestStartBytes = 12
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.ReadFull(conn, make([]byte, requestStartBytes))
		behave(conn)
	}()
	return listener.Addr().String()
}
