package coordinator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// spoilt is a connection on which reading brings out a fault, once it is told at which address: here or there.
type spoilt struct {
	net.Conn
	at *atomic.Pointer[map[string]bool]
}

func (s *spoilt) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if at := s.at.Load(); at != nil && (*at)[s.RemoteAddr().String()] {
		panic("a fault that these bytes bring out")
	}
	return n, err
}

// A fault that some bytes of a client bring out ends its connection; all others are served, and the log has the place.
func TestPanicEndsOneClientConnection(t *testing.T) {
	var at atomic.Pointer[map[string]bool]
	r := start(t, 256, nil)
	call, end := r.piped()
	bad := call(func(conn net.Conn) net.Conn { return &spoilt{conn, &at} })
	bad.want("before", "all", 200, wholeOfAll)
	at.Store(&map[string]bool{"pipe": true})
	go bad.Write([]byte(request("bad", "all", "", fourParts)))
	_, err := bad.Read(make([]byte, 1))
	require.Error(t, err)
	call(nil).want("after", "all", 200, wholeOfAll)
	r.logged("event=connection_fault")
	r.logged("end=faulty")
	end()
}

// One of a replica's bytes ends that connection as a spoilt answer does, and one of discovery's is a list that failed.
func TestPanicEndsOneReplicaConnection(t *testing.T) {
	var at atomic.Pointer[map[string]bool]
	r := startIn(t, nil, 256, nil, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := own(ctx, network, addr)
			if err == nil {
				conn = &spoilt{conn, &at}
			}
			return conn, err
		}
	})
	c := r.call()
	c.want("before", "all", 200, wholeOfAll)
	hosts := map[string]bool{}
	for _, h := range r.replicas {
		hosts[h.Listener.Addr().String()] = true
	}
	at.Store(&hosts)
	c.send(request("while", "all", "", fourParts))
	status, _, _, _ := c.answer()
	require.Contains(t, []int{500, 503}, status, "no part's answer can be read")
	at.Store(nil)
	r.logged("event=connection_fault")
	r.eventually("searches are served again", func() bool {
		c.send(request("after", "all", "", fourParts))
		status, _, _, _ = c.answer()
		return status == 200
	})
	at.Store(&map[string]bool{r.plan.Discovery: true})
	r.list.Responses <- `{"version":9,"full":false,"servers":[]}`
	r.logged("event=list_failed")
	at.Store(nil)
	c.want("last", "all", 200, wholeOfAll)
	r.end()
}
