package coordinator

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// With no descriptor left, the longest idle connection makes room. Guards against idle connections that keep clients out,
// and against closing a connection with an open search.
func TestDescriptorLimits(t *testing.T) {
	r := start(t, 16, nil)
	held := make(chan receivedRequest, 4)
	for _, s := range r.replicas {
		s.SetHandler(func(a receivedRequest) { held <- a })
	}
	busy := r.connect().send(request("q", "all", "", fourParts))
	r.eventually("the hosts have all shard requests", func() bool { return len(held) == 4 })
	idle := r.connect()
	for range 30 { // many times what there is room for
		c := r.connect().send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		status, _, _, _ := c.readAnswer()
		require.Equal(t, 200, status)
	}
	_, err := idle.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	r.logged("end=displaced")
	require.LessOrEqual(t, strings.Count(r.log.String(), "end=displaced"), 2, "at most one log line a second")
	for range 4 {
		(<-held).ReplyGood()
	}
	status, _, text, _ := busy.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	r.shutDown()
}

// With no descriptor left, an idle connection makes room before one whose request is arriving: closing that one would
// lose the request.
func TestArrivingRequestsKeepTheirConnections(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.startPiped()
	text := request("begun", "all", "", fourParts)
	begun := call(nil).send(text[:len(text)-1])
	head := call(nil).send(text[:1])
	for range 30 { // many times what there is room for
		call(nil)
	}
	status, _, _, _ := begun.send(text[len(text)-1:]).readAnswer()
	require.Equal(t, 200, status)
	status, _, _, _ = head.send(text[1:]).readAnswer()
	require.Equal(t, 200, status)
	end()
}

// With no connection idle, the one whose request has been arriving for longest makes room. Guards against clients that
// send a first byte and no more keeping all others out.
func TestArrivingRequestsMakeRoomLast(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.startPiped()
	first := call(nil).send("P")
	for range 7 {
		call(nil).send("P")
	}
	call(nil).expect("new", "all", 200, completeAnswer)
	_, err := first.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	end()
}

// deadlineConn holds back what it has read until the connection has been asked to make room, which sets a read deadline
// in the past.
type deadlineConn struct {
	net.Conn
	read, askedToLeave chan struct{}
	once               sync.Once
}

func (l *deadlineConn) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if n > 0 {
		close(l.read)
		<-l.askedToLeave
	}
	return n, err
}

func (l *deadlineConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		l.once.Do(func() { close(l.askedToLeave) })
	}
	return l.Conn.SetReadDeadline(at)
}

func (l *deadlineConn) Close() error {
	l.once.Do(func() { close(l.askedToLeave) })
	return l.Conn.Close()
}

// A request that is complete at the moment its connection is asked to make room is answered, and another connection
// makes room instead. Guards against closing the connection with the request already read.
func TestRequestWhileItsConnectionIsDisplaced(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.startPiped()
	at := &deadlineConn{read: make(chan struct{}), askedToLeave: make(chan struct{})}
	c := call(func(conn net.Conn) net.Conn { at.Conn = conn; return at })
	c.send(request("read", "all", "", fourParts))
	<-at.read
	for range 7 {
		call(nil)
	}
	last := call(nil) // waits for room
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	last.expect("last", "all", 200, completeAnswer)
	end()
}

// Guards against crowds whose requests never end taking the places of clients that were served and rest between requests, or
// of those that have just connected and are about to send their request.
func TestServedAndNewClientsKeepTheirConnections(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.startPiped()
	served := call(nil)
	served.expect("first", "all", 200, completeAnswer)
	for range 7 { // as many as there is room for beside it
		call(nil).send("P")
	}
	time.Sleep(freshTime + 50*time.Millisecond)
	fresh := call(nil)
	for range 4 {
		call(nil).send("P")
	}
	fresh.expect("fresh", "all", 200, completeAnswer)
	served.expect("second", "all", 200, completeAnswer)
	end()
}
