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

// process starts a process of the program with two hosts a block.
func process(t *testing.T, edit func(s *fleet.Config)) *fleet.Cluster {
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

// Clients keep their connections open after SIGTERM and send on until SIGKILL, one request after another and several at
// once: each request that was sent before has its final answer, none a connection that closes.
func TestConnectionsThatStayOpenAtShutdown(t *testing.T) {
	r := process(t, nil)
	text := func(searchName string) string {
		return fake.Search{ID: searchName, Type: "full-match", Shards: []int{0, 1, 2, 3}, Patience: 2 * time.Second, Tenant: "acme"}.Encode()
	}
	var mu sync.Mutex
	answers, fates := map[int]int{}, []string(nil)
	term, kill := make(chan struct{}), make(chan struct{})
	over := func(c <-chan struct{}) bool {
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
			for i := 0; !over(kill); i++ {
				together := 1
				if k%2 == 1 && over(term) { // before the end that is an error by the protocol
					together = 3
				}
				var all strings.Builder
				for j := range together {
					if k == 0 {
						all.WriteString("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
					} else {
						all.WriteString(text(fmt.Sprintf("c%d-%d-%d", k, i, j)))
					}
				}
				ended := over(term)
				conn.SetDeadline(time.Now().Add(testTimeout))
				_, err := conn.Write([]byte(all.String()))
				for range together {
					var status int
					if err == nil {
						status, _, _, _, err = rd.ReadResponse()
					}
					mu.Lock()
					switch {
					case over(kill):
					case err != nil:
						fates = append(fates, fmt.Sprintf("connection %d, request %d: %v", k, i, err))
					case k == 0 && ended && status != 503:
						fates = append(fates, fmt.Sprintf("healthz says %d as it stops", status))
					case k > 0 && status != 200:
						fates = append(fates, fmt.Sprintf("connection %d, request %d: status %d", k, i, status))
					default:
						answers[k]++
					}
					mu.Unlock()
				}
				if err != nil {
					return
				}
				time.Sleep(time.Duration(1+8*k) * 5 * time.Millisecond) // as clients pause: the 20 ms of a last look and more
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, r.Signal("n", syscall.SIGTERM))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, r.WaitLogged(ctx, "n", "event=stopping", 1))
	close(term)
	require.Eventually(t, func() bool { // no new connection is taken any more
		_, err := r.GetHealth(ctx, "n")
		return errors.Is(err, syscall.ECONNREFUSED)
	}, testTimeout, 10*time.Millisecond)
	mu.Lock()
	before := answers[7]
	mu.Unlock()
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(fates) > 0 || answers[7] >= before+12
	}, testTimeout, 10*time.Millisecond)
	close(kill)
	require.NoError(t, r.Kill(ctx, "n"))
	g.Wait()
	require.Empty(t, fates[:min(5, len(fates))])
	for k := range 8 {
		require.Greater(t, answers[k], 3)
	}
}

// A process whose clients close, or stay silent, ends by itself after SIGTERM.
func TestShutdownWithIdleConnections(t *testing.T) {
	r := process(t, nil)
	conn, err := net.Dial("tcp", r.Addresses("n").Client)
	require.NoError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, r.Terminate(ctx, "n"))
	require.Contains(t, r.Log("n"), "event=stopped")
}

// A process that is stopped for longer than a connection may be idle, or a request may take, and then goes on, answers
// each request that arrived meanwhile, on kept, arriving and new connections.
func TestRequestsDuringSIGSTOP(t *testing.T) {
	r := process(t, nil)
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
	time.Sleep(50 * time.Millisecond) // all of it is taken in; one that is not is as good a case
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
