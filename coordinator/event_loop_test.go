package coordinator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// While the event loop's task queue is full, submitters block and nothing is lost: once the event loop goes on, requests
// are answered and clients that left are noticed.
func TestFullTaskQueue(t *testing.T) {
	r := start(t, 256, nil)
	r.connect().expect("first", "all", 200, completeAnswer)
	gate, blocked := make(chan struct{}), make(chan struct{})
	r.loop.submit(func() { close(blocked); <-gate })
	<-blocked
	var callers []*testClient
	for i := range 40 {
		callers = append(callers, r.connect().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
	}
	for full := false; !full; {
		select {
		case r.loop.tasks <- func() {}:
		default:
			full = true
		}
	}
	for i := range 20 { // while the queue is full
		callers = append(callers, r.connect().send(request(fmt.Sprint("p", i), "all", "", fourParts)))
	}
	for _, c := range callers[:5] {
		c.Close()
	}
	close(gate)
	for i, c := range callers[5:] {
		status, _, _, _, err := c.rd.ReadResponse()
		require.NoError(t, err, "%d", i)
		require.Contains(t, []int{200, 503}, status)
	}
	r.eventually("no search is open", func() bool { return r.openSearchCount() == 0 })
	r.shutDown()
}
