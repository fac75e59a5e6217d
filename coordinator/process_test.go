package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fleet "chalkring/internal/clustertest"
	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

// startProcess starts the program as a process with two hosts per block. edit, which may be nil, changes the configuration.
func startProcess(t *testing.T, edit func(s *fleet.Config)) *fleet.Cluster {
	s := fleet.Config{Seed: 1, Instances: []fleet.Instance{{Name: "n"}}}
	for i := range 2 * fleet.BlockCount {
		s.Hosts = append(s.Hosts, fleet.Host{ID: fmt.Sprint("h", i), Zone: "z", Cell: i % fleet.BlockCount})
	}
	if edit != nil {
		edit(&s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*testTimeout) // the program is built first
	defer cancel()
	r, err := fleet.New(ctx, s)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// Clients may keep their connections open after SIGTERM and continue to send until SIGKILL, one request after another or
// several at once. Each request that was sent before SIGKILL gets its final answer; no connection closes instead.
func TestConnectionsThatStayOpenAtShutdown(t *testing.T) {
	r := startProcess(t, nil)
	text := func(searchName string) string {
		return fake.Search{ID: searchName, Type: "full-match", Shards: []int{0, 1, 2, 3}, Patience: 2 * time.Second, Tenant: "acme"}.Encode()
	}
	var mu sync.Mutex
	answers, failures := map[int]int{}, []string(nil)
	term, kill := make(chan struct{}), make(chan struct{})
	isClosed := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	var g sync.WaitGroup
	for k := range 8 {
		conn, err := net.Dial("tcp", r.Addresses("n").Client)
		require.NoError(t, err)
		defer conn.Close()
		g.Go(func() {
			rd := http1.NewReader(conn, make([]byte, 16<<10))
			for i := 0; !isClosed(kill); i++ {
				pipelined := 1
				if k%2 == 1 && isClosed(term) { // pipelining before the shutdown is a protocol error
					pipelined = 3
				}
				var all strings.Builder
				for j := range pipelined {
					if k == 0 {
						all.WriteString("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
					} else {
						all.WriteString(text(fmt.Sprintf("c%d-%d-%d", k, i, j)))
					}
				}
				isStopping := isClosed(term)
				conn.SetDeadline(time.Now().Add(testTimeout))
				_, err := conn.Write([]byte(all.String()))
				for range pipelined {
					var status int
					if err == nil {
						status, _, _, _, err = rd.ReadResponse()
					}
					mu.Lock()
					switch {
					case isClosed(kill):
					case err != nil:
						failures = append(failures, fmt.Sprintf("connection %d, request %d: %v", k, i, err))
					case k == 0 && isStopping && status != 503:
						failures = append(failures, fmt.Sprintf("/healthz answers %d during shutdown, want 503", status))
					case k > 0 && status != 200:
						failures = append(failures, fmt.Sprintf("connection %d, request %d: status %d", k, i, status))
					default:
						answers[k]++
					}
					mu.Unlock()
				}
				if err != nil {
					return
				}
				time.Sleep(time.Duration(1+8*k) * 5 * time.Millisecond) // pauses of 5 to 285 ms, shorter and longer than finalReadGrace
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, r.Signal("n", syscall.SIGTERM))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, r.WaitLogged(ctx, "n", "event=stopping", 1))
	close(term)
	require.Eventually(t, func() bool { // no new connections are accepted any more
		_, err := r.GetHealth(ctx, "n")
		return errors.Is(err, syscall.ECONNREFUSED)
	}, testTimeout, 10*time.Millisecond)
	mu.Lock()
	before := answers[7]
	mu.Unlock()
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(failures) > 0 || answers[7] >= before+12
	}, testTimeout, 10*time.Millisecond)
	close(kill)
	require.NoError(t, r.Kill(ctx, "n"))
	g.Wait()
	require.Empty(t, failures[:min(5, len(failures))])
	for k := range 8 {
		require.Greater(t, answers[k], 3)
	}
}

// After SIGTERM a process ends by itself although a client keeps an idle connection open.
func TestShutdownWithIdleConnections(t *testing.T) {
	r := startProcess(t, nil)
	conn, err := net.Dial("tcp", r.Addresses("n").Client)
	require.NoError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, r.Terminate(ctx, "n"))
	require.Contains(t, r.Log("n"), "event=stopped")
}

// A process that goes on after SIGSTOP for longer than the idle and read timeouts answers each request that arrived
// meanwhile: on idle connections, on those in the middle of a request and on new ones. The timeouts must not close them
// unread.
func TestRequestsDuringSIGSTOP(t *testing.T) {
	r := startProcess(t, nil)
	var conns []net.Conn
	var readers []*http1.Reader
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", r.Addresses("n").Client)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		conns, readers = append(conns, conn), append(readers, http1.NewReader(conn, make([]byte, 16<<10)))
		return conn
	}
	text := func(searchName string) string {
		return fake.Search{ID: searchName, Type: "full-match", Shards: []int{0, 1, 2, 3}, Patience: 8 * time.Second, Tenant: "acme"}.Encode()
	}
	send := func(conn net.Conn, text string) {
		_, err := conn.Write([]byte(text))
		require.NoError(t, err)
	}
	for i := range 6 {
		send(dial(), text(fmt.Sprint("first", i)))
		status, _, _, _, err := readers[i].ReadResponse()
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	for i := range 3 {
		send(conns[i], text(fmt.Sprint("begun", i))[:30+100*i])
	}
	for range 3 {
		dial()
	}
	time.Sleep(50 * time.Millisecond) // usually enough to read all of it; the test holds either way
	require.NoError(t, r.Signal("n", syscall.SIGSTOP))
	for i, conn := range conns {
		switch {
		case i < 3:
			send(conn, text(fmt.Sprint("begun", i))[30+100*i:])
		default:
			send(conn, text(fmt.Sprint("meanwhile", i)))
		}
	}
	time.Sleep(clientIdleTimeout + 500*time.Millisecond)
	require.NoError(t, r.Signal("n", syscall.SIGCONT))
	for i, rd := range readers {
		status, _, _, _, err := rd.ReadResponse()
		require.NoError(t, err, "connection %d", i)
		require.Contains(t, []int{200, 503}, status, "connection %d", i)
	}
}
