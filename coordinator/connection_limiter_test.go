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

// With no descriptor left, the longest idle connection makes room, and none with an open search.
func TestDescriptorLimits(t *testing.T) {
	r := start(t, 16, nil)
	held := make(chan asked, 4)
	for _, s := range r.replicas {
		s.SetHandler(func(a asked) { held <- a })
	}
	busy := r.connect().send(request("q", "all", "", fourParts))
	r.eventually("parts are out", func() bool { return len(held) == 4 })
	silent := r.connect()
	for range 30 { // many times the room
		c := r.connect().send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		status, _, _, _ := c.readAnswer()
		require.Equal(t, 200, status)
	}
	_, err := silent.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	r.logged("end=displaced")
	require.LessOrEqual(t, strings.Count(r.log.String(), "end=displaced"), 2, "a line a second")
	for range 4 {
		(<-held).ReplyGood()
	}
	status, _, text, _ := busy.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	r.shutDown()
}

// With no descriptor left, a connection whose request is arriving makes no room while another is idle.
func TestArrivingRequestsKeepTheirConnections(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.startPiped()
	text := request("begun", "all", "", fourParts)
	begun := call(nil).send(text[:len(text)-1])
	head := call(nil).send(text[:1])
	for range 30 { // many times the room
		call(nil)
	}
	status, _, _, _ := begun.send(text[len(text)-1:]).readAnswer()
	require.Equal(t, 200, status)
	status, _, _, _ = head.send(text[1:]).readAnswer()
	require.Equal(t, 200, status)
	end()
}

// With none idle, the connection whose request has been arriving for longest makes room.
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

// deadlineConn keeps what was read until the connection has been asked to make room.
type deadlineConn struct {
	net.Conn
	read, told chan struct{}
	once       sync.Once
}

func (l *deadlineConn) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if n > 0 {
		close(l.read)
		<-l.told
	}
	return n, err
}

func (l *deadlineConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		l.once.Do(func() { close(l.told) })
	}
	return l.Conn.SetReadDeadline(at)
}

func (l *deadlineConn) Close() error {
	l.once.Do(func() { close(l.told) })
	return l.Conn.Close()
}

// A request that is complete in the moment in which its connection is asked to make room is answered; another
// connection makes room.
func TestRequestWhileItsConnectionIsDisplaced(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.startPiped()
	at := &deadlineConn{read: make(chan struct{}), told: make(chan struct{})}
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
