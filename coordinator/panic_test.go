package coordinator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// panickingConn is a connection on which reading panics, once its address has been set.
type panickingConn struct {
	net.Conn
	at *atomic.Pointer[map[string]bool]
}

func (s *panickingConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if at := s.at.Load(); at != nil && (*at)[s.RemoteAddr().String()] {
		panic("a fault that these bytes bring out")
	}
	return n, err
}

// A panic over a client's bytes ends its connection; all others are served, and the log has the stack.
func TestPanicEndsOneClientConnection(t *testing.T) {
	var at atomic.Pointer[map[string]bool]
	r := start(t, 256, nil)
	call, end := r.startPiped()
	bad := call(func(conn net.Conn) net.Conn { return &panickingConn{conn, &at} })
	bad.expect("before", "all", 200, completeAnswer)
	at.Store(&map[string]bool{"pipe": true})
	go bad.Write([]byte(request("bad", "all", "", fourParts)))
	_, err := bad.Read(make([]byte, 1))
	require.Error(t, err)
	call(nil).expect("after", "all", 200, completeAnswer)
	r.logged("event=connection_fault")
	r.logged("end=faulty")
	end()
}

// A panic over a replica's bytes ends that connection as a malformed answer does; one over discovery's is a failed
// call.
func TestPanicEndsOneReplicaConnection(t *testing.T) {
	var at atomic.Pointer[map[string]bool]
	r := startWithOptions(t, nil, 256, nil, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := own(ctx, network, addr)
			if err == nil {
				conn = &panickingConn{conn, &at}
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
	at.Store(&hosts)
	c.send(request("while", "all", "", fourParts))
	status, _, _, _ := c.readAnswer()
	require.Contains(t, []int{500, 503}, status, "no part's answer can be read")
	at.Store(nil)
	r.logged("event=connection_fault")
	r.eventually("searches are served again", func() bool {
		c.send(request("after", "all", "", fourParts))
		status, _, _, _ = c.readAnswer()
		return status == 200
	})
	at.Store(&map[string]bool{r.plan.Discovery: true})
	r.list.Responses <- `{"version":9,"full":false,"servers":[]}`
	r.logged("event=list_failed")
	at.Store(nil)
	c.expect("last", "all", 200, completeAnswer)
	r.shutDown()
}
