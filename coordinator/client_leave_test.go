package coordinator

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unreadBytes is more than a connection's reader takes at once.
const unreadBytes = 200 << 10

// Guards against requests of a client that has closed its connection with more behind them than was read: the close lies
// behind the unread bytes.
func TestRequestsOfClientThatLeftUnreadBytes(t *testing.T) {
	const clients = 8
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	conns := make([]net.Conn, clients)
	for i := range conns {
		conn, reader := l.dial()
		_, err := conn.Write([]byte(request(fmt.Sprint("before", i), "all", "", fourParts)))
		require.NoError(t, err)
		status, _, _, _, err := reader.ReadResponse()
		require.NoError(t, err)
		require.Equal(t, 200, status)
		conns[i] = conn
	}
	l.signal(syscall.SIGSTOP)
	for i, conn := range conns {
		_, err := conn.Write([]byte(request(fmt.Sprint("left", i), "all", "", fourParts) + strings.Repeat("\r\n", unreadBytes/2)))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	l.signal(syscall.SIGCONT)
	l.served("after")
	for _, h := range l.hosts {
		requests, _, _, _ := h.Observed()
		for _, one := range requests {
			require.NotContains(t, one.ID, "left")
		}
	}
}

// Guards against a search that goes on after its client has left during shutdown, behind more bytes than are read ahead.
func TestClientLeavesBehindUnreadBytesAtShutdown(t *testing.T) {
	for how, leave := range waysToLeave {
		t.Run(how, func(t *testing.T) {
			r := start(t, 256, nil)
			r.setHandlers(func(receivedRequest) {})
			c := r.connect().send(request("open", "all", "", fourParts))
			r.eventually("shard requests are sent", func() bool { return r.parts() == 4 })
			r.stop()
			r.logged("event=stopping")
			c.send(strings.Repeat(request("behind", "all", "", fourParts), unreadBytes/len(fourParts)))
			require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			left := time.Now()
			r.eventually("attempts are canceled", func() bool { return r.canceledAttempts() == 4 })
			require.Less(t, time.Since(left), 2*time.Second) // the search's client waits 8 s
			r.shutDown()
			require.Equal(t, 4, r.parts())
		})
	}
}

// Guards against an id that runs twice: a search whose client has left may have run, and replicas cannot tell its attempts
// from those of a later search of the same id.
func TestIDOfClientThatHasLeftIsRefused(t *testing.T) {
	r := start(t, 256, nil)
	r.setHandlers(func(receivedRequest) {})
	c := r.connect().send(request("again", "all", "", fourParts))
	r.eventually("shard requests are sent", func() bool { return r.parts() == 4 })
	c.Close()
	r.eventually("attempts are canceled", func() bool { return r.canceledAttempts() == 4 })
	r.setHandlers(receivedRequest.ReplyGood)
	r.connect().expect("again", "all", 409, "{}")
	require.Equal(t, 4, r.parts())
	r.connect().expect("other", "all", 200, completeAnswer)
	r.shutDown()
}
