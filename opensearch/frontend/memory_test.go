package frontend

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
)

// liveBytes returns how many bytes the process's objects take.
func liveBytes() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// Guards against memory that the requests of many clients take together without a bound: clients that stop within large bodies
// hold no more than the plan has for all requests, each is told, and other clients are served meanwhile.
func TestUnfinishedBodiesShareMemory(t *testing.T) {
	r := start(t)
	require.Equal(t, 200, first(r.do("POST", "/members/_search", `{}`)))
	const clients, sent = 60, maxMultiSearchBytes - 64<<10
	piece, before := strings.Repeat("x", 64<<10), liveBytes()
	var writers, readers sync.WaitGroup
	for range clients {
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		writers.Go(func() {
			fmt.Fprintf(conn, "POST /members/_msearch HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", maxMultiSearchBytes)
			for n := 0; n < sent; n += len(piece) {
				if _, err := io.WriteString(conn, piece); err != nil {
					return // refused meanwhile
				}
			}
		})
		readers.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	}
	writers.Wait()
	require.Equal(t, 200, first(r.do("POST", "/members/_search", `{}`)))
	limit := int64((&plan.Plan{MemoryMB: 192}).RequestMemory())
	require.Less(t, liveBytes()-before, 2*limit, "while a body grows, the memory before and after is in use")
	readers.Wait() // all were answered or closed
}

// first returns the status of a response.
func first(status int, _ map[string]any, _ any) int { return status }
