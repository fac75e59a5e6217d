package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
)

// Several event loops behind one listener share the clients, answer each search completely and with one attempt per shard,
// all apply a reloaded plan, and answer open searches before they shut down together.
func TestServeSharded(t *testing.T) {
	r := start(t, 256, nil) // its hosts and endpoint list are also used by the sharded coordinator
	ln := listen(t)
	var log logBuffer
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	plans, ended := make(chan *plan.Plan), make(chan error, 1)
	go func() {
		ended <- ServeSharded(ctx, r.plan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(&log, false, slog.LevelInfo), PlanUpdates: plans,
		}, 3)
	}()
	own := &rig{t: t, addr: ln.Addr().String(), log: &log}
	own.eventually("all event loops serve", func() bool { return strings.Count(log.String(), "event=serving") == 3 })
	var g sync.WaitGroup
	for i := range 12 {
		c := own.connect()
		g.Go(func() {
			for k := range 20 {
				c.expect(fmt.Sprintf("s%d-%d", i, k), "all", http.StatusOK, completeAnswer)
			}
		})
	}
	g.Wait()
	require.Equal(t, 12*20*4, r.parts(), "each shard request of each search is sent once")
	plans <- r.plan
	own.logged("event=reloaded")
	own.eventually("all event loops have the new plan", func() bool { return strings.Count(log.String(), "event=reloaded") == 3 })
	gate := make(chan struct{})
	for _, h := range r.replicas {
		h.SetHandler(func(a receivedRequest) { go func() { <-gate; a.ReplyGood() }() })
	}
	last := []*testClient{own.connect(), own.connect(), own.connect()}
	for i, c := range last {
		c.send(request(fmt.Sprint("last", i), "all", "", fourParts))
	}
	own.eventually("shard requests are sent", func() bool { return r.parts() >= 12*20*4+12 })
	cancel()
	time.AfterFunc(50*time.Millisecond, func() { close(gate) })
	for _, c := range last {
		status, _, text, _ := c.readAnswer()
		require.Equal(t, 200, status)
		require.JSONEq(t, completeAnswer, text)
	}
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		require.Fail(t, "the coordinator does not end", log.String())
	}
	r.shutDown()
}
