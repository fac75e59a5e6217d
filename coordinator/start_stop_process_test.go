package coordinator

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/http1"
)

// Connections that arrived while the process was stalled during shutdown are accepted before the listener closes: closing
// it first would reset them and lose the requests.
func TestConnectionsWaitingWhileListenerCloses(t *testing.T) {
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	l.signal(syscall.SIGTERM)
	l.logged("event=stopping")
	l.signal(syscall.SIGSTOP)
	var readers []*http1.Reader
	for i := range 60 {
		conn, rd := l.dial()
		_, err := conn.Write([]byte(request(fmt.Sprint("w", i), "all", "", fourParts)))
		require.NoError(t, err)
		readers = append(readers, rd)
	}
	time.Sleep(acceptAfterStop + 100*time.Millisecond)
	l.signal(syscall.SIGCONT)
	for i, rd := range readers {
		status, _, _, _, err := rd.ReadResponse()
		require.NoError(t, err, "connection %d\n%s", i, l.log)
		require.Contains(t, []int{200, 503}, status)
	}
	l.waitForExit(0)
}

// A process that starts while an earlier one still uses its address waits until that one ends. If another process keeps the
// address, the start fails with an error that says so, and SIGTERM ends the wait.
func TestStartWhileAddressIsInUse(t *testing.T) {
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	first := *l
	l.signal(syscall.SIGTERM)
	l.start(nil)
	first.waitForExit(0)
	l.ready()
	l.served("a")
	other := *l
	other.start(nil)
	other.logged("event=address_in_use")
	other.waitForExit(1)
	require.Contains(t, other.log.String(), "event=no_start")
	require.Contains(t, other.log.String(), "do=")
	l.served("b")
	other.start(nil) // is stopped while it waits
	other.logged("event=address_in_use")
	other.signal(syscall.SIGTERM)
	other.waitForExit(0)
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
}

// After SIGTERM while replicas do not answer attempts, a client is in the middle of a request and signals repeat, each request
// gets one final answer before SIGKILL, no attempts are sent after the answers, and the process ends.
func TestShutdownDuringSearches(t *testing.T) {
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	held := l.holdAttempts()
	type openRequest struct {
		conn net.Conn
		rd   *http1.Reader
	}
	var open []openRequest
	for i := range 12 {
		conn, rd := l.dial()
		text := strings.Replace(request(fmt.Sprint("h", i), "all", "", fourParts), "X-Deadline: 8.000", "X-Deadline: 3.000", 1)
		conn.Write([]byte(text))
		open = append(open, openRequest{conn, rd})
	}
	half, halfRd := l.dial()
	text := request("half", "all", "", fourParts)
	half.Write([]byte(text[:len(text)/2]))
	for range 8 { // at least eight attempts are sent
		<-held
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		l.signal(s)
	}
	l.logged("event=stopping")
	half.Write([]byte(text[len(text)/2:]))
	open = append(open, openRequest{half, halfRd})
	for i, c := range open {
		status, _, _, _, err := c.rd.ReadResponse()
		require.NoError(t, err, "connection %d\n%s", i, l.log)
		require.Contains(t, []int{200, 500, 503}, status)
		c.conn.Close()
	}
	time.Sleep(50 * time.Millisecond)
	sent := func() (n int) {
		for _, h := range l.hosts {
			n += h.CountRequests()
		}
		return n
	}
	before := sent()
	l.waitForExit(0)
	require.Equal(t, before, sent())
}

// With a descriptor limit below the plan's, the process distributes the descriptors that it has: idle clients make room, and
// searches reach their replicas, without errors for lack of descriptors.
func TestDescriptorLimitBelowPlan(t *testing.T) {
	l := newChildProcess(t)
	l.start(nil, "sh", "-c", `ulimit -n 64; exec "$0"`)
	l.ready()
	l.logged("event=descriptor_limit_low")
	for range 100 {
		l.dial()
	}
	l.served("a")
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
	require.NotContains(t, l.log.String(), "too many open files")
}
