package coordinator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// panickingConn is a connection whose Read panics if its remote address is in the set that panicAt points to.
type panickingConn struct {
	net.Conn
	panicAt *atomic.Pointer[map[string]bool]
}

func (s *panickingConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if addrs := s.panicAt.Load(); addrs != nil && (*addrs)[s.RemoteAddr().String()] {
		panic("panic while reading, caused by the test")
	}
	return n, err
}

// A panic while handling a client's bytes ends only that client's connection: others are served, and the panic is logged.
func TestPanicEndsOneClientConnection(t *testing.T) {
	var panicAt atomic.Pointer[map[string]bool]
	r := start(t, 256, nil)
	call, end := r.startPiped()
	bad := call(func(conn net.Conn) net.Conn { return &panickingConn{conn, &panicAt} })
	bad.expect("before", "all", 200, completeAnswer)
	panicAt.Store(&map[string]bool{"pipe": true})
	go bad.Write([]byte(request("bad", "all", "", fourParts)))
	_, err := bad.Read(make([]byte, 1))
	require.Error(t, err)
	call(nil).expect("after", "all", 200, completeAnswer)
	r.logged("event=connection_fault")
	r.logged("end=faulty")
	end()
}

// A panic while handling a replica's bytes ends that connection, as a malformed answer does. A panic while handling
// discovery's response makes the call fail. The process continues in both cases.
func TestPanicEndsOneReplicaConnection(t *testing.T) {
	var panicAt atomic.Pointer[map[string]bool]
	r := startWithOptions(t, nil, 256, nil, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := own(ctx, network, addr)
			if err == nil {
				conn = &panickingConn{conn, &panicAt}
			}
			return conn, err
		}
	})
	c := r.connect()
	c.expect("before", "all", 200, completeAnswer)
	hosts := map[string]bool{}
	for _, h := range r.replicas {
		hosts[h.Listener.Addr().String()] = true
	}
	panicAt.Store(&hosts)
	c.send(request("while", "all", "", fourParts))
	status, _, _, _ := c.readAnswer()
	require.Contains(t, []int{500, 503}, status, "no replica's answer can be read")
	panicAt.Store(nil)
	r.logged("event=connection_fault")
	r.eventually("searches are served again", func() bool {
		c.send(request("after", "all", "", fourParts))
		status, _, _, _ = c.readAnswer()
		return status == 200
	})
	panicAt.Store(&map[string]bool{r.plan.Discovery: true})
	r.list.Responses <- `{"version":9,"full":false,"servers":[]}`
	r.logged("event=list_failed")
	panicAt.Store(nil)
	c.expect("last", "all", 200, completeAnswer)
	r.shutDown()
}
