package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
	"chalkring/internal/fake"
)

// Draining and removed replicas get no new attempts. A malformed list changes nothing and is polled again.
func TestEndpointListChanges(t *testing.T) {
	r := start(t, 256, nil)
	require.Equal(t, "/v1/servers?index=7&wait=2000", <-r.list.Targets)
	answer := func(version int, full bool, entries ...string) {
		r.list.Responses <- fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(entries, ","))
	}
	answer(8, false, r.entry("a0", "draining"), r.entry("b1", "removed"))
	require.Equal(t, "/v1/servers?index=8&wait=2000", <-r.list.Targets)
	r.logged("how=Partial version=8")
	c := r.connect()
	for i := range 10 {
		c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
	}
	for _, hostID := range []string{"a0", "b1"} {
		parts, _, _, _ := r.replicas[hostID].Observed()
		require.Empty(t, parts)
	}
	_, _, _, open := r.replicas["a1"].Observed()
	require.Equal(t, 1, open)
	for _, hostID := range []string{"a1", "b0"} { // attempts of one iteration on one replica share a batch
		require.Equal(t, slices.Repeat([]int{2}, 10), r.replicas[hostID].BatchSizes())
	}
	for _, invalid := range []string{
		`{"version":9,"full":false,"servers":[{"id":"a1","addr":"","state":"up","cell":0}]}`,
		`{"version":9,"full":false,"servers":[{"id":"a1","addr":"127.0.0.1:1","state":"odd","cell":0}]}`,
		`{"version":9`, `{"version":6,"full":true,"servers":[]}`, `{"version":8,"full":false,"servers":[]}`,
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 nonsense\r\n\r\n", "",
	} {
		r.list.Responses <- invalid
		require.Equal(t, "/v1/servers?index=8&wait=2000", <-r.list.Targets, invalid)
	}
	c.expect("still", "all", 200, completeAnswer)
	require.Equal(t, 8, strings.Count(r.log.String(), "event=list_failed"))
	answer(12, true, r.entry("a0", "up"), r.entry("b0", "up")) // complete: a1 is removed, and its connection closes
	r.eventually("the connection to a1 is closed", func() bool { _, _, _, open := r.replicas["a1"].Observed(); return open == 0 })
	c.expect("after", "all", 200, completeAnswer)
	parts, _, _, _ := r.replicas["a0"].Observed()
	require.Len(t, parts, 2)
	r.shutDown()
	require.NotContains(t, r.log.String(), "event=fault")
}

// An entry whose cell is not a whole number of at least 0 is refused.
func TestInvalidCells(t *testing.T) {
	for _, cell := range []string{"-1", "0.5", "true", `"1"`} {
		object, err := plan.DecodeObject([]byte(`{"version":1,"servers":[{"id":"s","addr":"h:1","state":"up","cell":` + cell + `}]}`))
		require.NoError(t, err)
		_, err = plan.NewEndpointList(object)
		require.ErrorContains(t, err, `entry id="s"`, cell)
	}
	object, err := plan.DecodeObject([]byte(`{"version":1,"servers":[{"id":"s","addr":"h:1","state":"up","cell":2}]}`))
	require.NoError(t, err)
	list, err := plan.NewEndpointList(object)
	require.NoError(t, err)
	require.Equal(t, 2, list.Hosts[0].Cell)
}

// A list with the longest body that the protocol allows is applied. A longer one fails the call with a log line, and
// the current list stays.
func TestLongestEndpointList(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	text := func(version, size int) string {
		list := fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s,%s,%s,`, version, r.entry("a0", "up"), r.entry("a1", "up"), r.entry("b0", "up"))
		return list + strings.Repeat(" ", size-len(list)-len(r.entry("b1", "up"))-3) + r.entry("b1", "up") + "]}\n"
	}
	r.list.Responses <- text(8, 64<<10)
	r.logged("how=Complete version=8")
	require.Equal(t, "/v1/servers?index=8&wait=2000", <-r.list.Targets)
	r.list.Responses <- text(9, 64<<10+1)
	require.Equal(t, "/v1/servers?index=8&wait=2000", <-r.list.Targets)
	r.logged("body over 65536 bytes")
	r.list.Responses <- text(9, 30<<10)
	r.logged("how=Complete version=9")
	r.shutDown()
}

// A complete list without hosts is applied like any other: no requests are sent, the health check stays good, and the
// next list brings the hosts back. At a start the health check fails until a host is known.
func TestEndpointListWithoutHosts(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	r.list.Responses <- `{"version":8,"full":true,"servers":[]}`
	r.logged("version=8 entries=0")
	c := r.connect().send(request("none", "all", "", fourParts))
	health := func(r *rig) int {
		status, _, _, _ := r.connect().send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").readAnswer()
		return status
	}
	require.Equal(t, 200, health(r))
	require.Zero(t, r.parts())
	all := fmt.Sprintf(`{"version":9,"full":true,"servers":[%s,%s]}`, strings.Replace(r.entry("a0", "up"), "1.0", "0", 1),
		strings.Replace(r.entry("b0", "up"), "1.0", "-3", 1)) // the coordinator does not validate weights
	r.list.Responses <- all
	r.logged("version=9 entries=2")
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	emptyPlan := *r.plan
	emptyPlan.Known = plan.EndpointList{Version: 7, Full: true}
	other := startDiscovery(t)
	emptyPlan.Discovery = other.Listener.Addr().String()
	r.shutDown()

	ln, started, ended := listen(t), make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := &rig{t: t, addr: ln.Addr().String(), log: &logBuffer{}, stop: cancel, ended: ended}
	go func() {
		ended <- Serve(ctx, &emptyPlan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(next.log, false, slog.LevelInfo), onStart: started,
		})
	}()
	<-started
	<-other.Targets
	require.Equal(t, 503, health(next))
	other.Responses <- all
	next.logged("version=9 entries=2")
	require.Equal(t, 200, health(next))
	next.shutDown()
}

// A host that is removed during an attempt and returns at once, at the same or another address, gets attempts at once,
// even if one list has both entries, removed and up. Guards against the end of its former connection removing the
// host that has returned.
func TestHostReturnsDuringAttempt(t *testing.T) {
	for name, entriesOf := range map[string]func(r *rig, moved string) []string{
		"at the same address": func(r *rig, moved string) []string {
			return []string{r.entry("b1", "removed"), strings.Replace(r.entry("b1", "up"), `"started_ms":0`, `"started_ms":5`, 1)}
		},
		"at another address": func(r *rig, moved string) []string {
			return []string{r.entry("b1", "removed"), strings.Replace(r.entry("b1", "up"), r.replicas["b1"].Listener.Addr().String(), moved, 1)}
		},
		"at another address, not removed before": func(r *rig, moved string) []string {
			return []string{strings.Replace(r.entry("b1", "up"), r.replicas["b1"].Listener.Addr().String(), moved, 1)}
		},
	} {
		for _, together := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", in one list ", together), func(t *testing.T) {
				r := start(t, 256, nil)
				<-r.list.Targets
				next, err := fake.NewHost("b1", 1, true, receivedRequest.ReplyGood)
				require.NoError(t, err)
				t.Cleanup(next.Close)
				version := 7
				answer := func(entries ...string) {
					version++
					r.list.Responses <- fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version, strings.Join(entries, ","))
					r.logged(fmt.Sprintf("version=%d ", version))
				}
				answer(r.entry("b0", "draining")) // so that b1 gets the attempt
				held := make(chan receivedRequest, 16)
				r.replicas["b1"].SetHandler(func(a receivedRequest) { held <- a })
				c := r.connect().send(request("first", "all", "", fourParts))
				a := <-held
				r.replicas["b1"].SetHandler(receivedRequest.ReplyGood)
				entries := entriesOf(r, next.Listener.Addr().String())
				if together {
					answer(entries...)
				} else {
					for _, e := range entries {
						answer(e)
					}
				}
				for i := range 5 {
					r.connect().expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
				}
				a.ReplyGood()
				for len(held) > 0 {
					(<-held).ReplyGood()
				}
				status, _, text, _ := c.readAnswer()
				require.Equal(t, 200, status, text)
				require.JSONEq(t, completeAnswer, text)
				for i := range 5 { // the former connection has ended
					r.connect().expect(fmt.Sprint("p", i), "all", 200, completeAnswer)
				}
				isListed := make(chan bool)
				r.loop.submit(func() { h := r.loop.replicas.byID["b1"]; isListed <- h != nil && !h.removed })
				require.True(t, <-isListed)
				if name != "at the same address" {
					require.Positive(t, next.CountRequests())
				}
				r.shutDown()
				require.NotContains(t, r.log.String(), "event=fault")
			})
		}
	}
}

// An attempt waits for a connection that is slow to open, and meanwhile its replica begins to drain, is removed, or is
// missing in a complete list: nothing is sent once the connection is open, and another replica of the shard answers.
func TestNothingSentToDrainingReplicaAfterGrace(t *testing.T) {
	for name, answer := range map[string]func(r *rig, hostID string) string{
		"drains": func(r *rig, hostID string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(hostID, "draining"))
		},
		"is removed": func(r *rig, hostID string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(hostID, "removed"))
		},
		"is not listed": func(r *rig, hostID string) string {
			other := map[string]string{"a0": "a1", "a1": "a0"}[hostID]
			return fmt.Sprintf(`{"version":8,"full":true,"servers":[%s,%s,%s]}`, r.entry(other, "up"), r.entry("b0", "up"), r.entry("b1", "up"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			held := map[string]chan struct{}{} // by address; a connect waits until its channel is closed
			dialed := make(chan string, 16)
			r := startWithOptions(t, nil, 256, func(s map[string]any) {
				s["Permissions"].(map[string]any)["DialTimeout"] = 8000.0
			}, nil, nil, func(m *Options) {
				m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					mu.Lock()
					up := held[addr]
					mu.Unlock()
					if up != nil {
						dialed <- addr
						select {
						case <-up:
						case <-ctx.Done():
							return nil, ctx.Err()
						}
					}
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
			})
			at, up := map[string]string{}, map[string]chan struct{}{}
			mu.Lock()
			for _, hostID := range []string{"a0", "a1"} {
				addr := r.replicas[hostID].Listener.Addr().String()
				at[addr], up[hostID] = hostID, make(chan struct{})
				held[addr] = up[hostID]
			}
			mu.Unlock()
			<-r.list.Targets
			c := r.connect().send(request("q", "all", "", fourParts))
			hostID := at[<-dialed]
			r.list.Responses <- answer(r, hostID)
			r.logged("version=8")
			time.Sleep(300 * time.Millisecond) // longer than the drain grace
			close(up[hostID])
			time.Sleep(100 * time.Millisecond) // for a request that would wrongly be sent
			for other := range up {
				if other != hostID {
					close(up[other])
				}
			}
			status, _, text, _ := c.readAnswer()
			require.Equal(t, 200, status)
			require.JSONEq(t, completeAnswer, text)
			require.Zero(t, r.replicas[hostID].CountRequests(), r.log)
			r.shutDown()
		})
	}
}
