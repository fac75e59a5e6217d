package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"

	"chalkring/internal/http1"
)

// One that knows no host asks for the whole list, which is answered at once, and not for changes: it would wait long for a call
// that falls silent, and serve nobody.
func TestStartWithoutKnownHosts(t *testing.T) {
	r := start(t, 256, func(settings map[string]any) { settings["Balancers"] = 300 })
	ownPlan, other := *r.plan, script(t)
	ownPlan.Known = plan.EndpointList{Version: ownPlan.Known.Version, Full: true}
	ownPlan.Discovery = other.Listener.Addr().String()
	ln, look, ended := listen(t), make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := &rig{t: t, addr: ln.Addr().String(), log: &journal{}, stop: cancel, ended: ended, list: other}
	go func() {
		ended <- Serve(ctx, &ownPlan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(next.log, false, slog.LevelInfo), onStart: look,
		})
	}()
	next.loop = <-look
	require.Equal(t, "/v1/servers", <-other.Targets) // falls silent
	began := time.Now()
	require.Equal(t, "/v1/servers", <-other.Targets)
	require.Less(t, time.Since(began), 6*time.Second)
	other.Responses <- "" // to the silent call, whose connection has ended
	other.Responses <- fmt.Sprintf(`{"version":9,"full":true,"servers":[%s,%s]}`, r.entry("a0", "up"), r.entry("b0", "up"))
	next.logged("version=9 ")
	require.Equal(t, "/v1/servers?index=9", strings.SplitN(<-other.Targets, "&", 2)[0])
	next.call().want("q", "all", 200, wholeOfAll)
	next.end()
	r.end()
}

// A list without a length ends with its connection: shut in good order it counts if it is whole, reset on the way it is none.
func TestListAnswerWithoutContentLength(t *testing.T) {
	for name, x := range map[string]struct {
		share  int // percent of it that comes
		resets bool
		counts bool
	}{
		"whole":            {100, false, true},
		"shut in half":     {50, false, false},
		"reset in half":    {50, true, false},
		"reset at its end": {100, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			r := start(t, 256, nil)
			p := *r.plan
			p.Discovery = ln.Addr().String()
			r.plans <- &p
			serve := func(body string, resets bool) string {
				conn, err := ln.Accept()
				require.NoError(t, err)
				rd := http1.NewReader(conn, make([]byte, bufferSize))
				_, target, _, _, _, err := rd.ReadRequest()
				require.NoError(t, err)
				conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body))
				if resets {
					time.Sleep(20 * time.Millisecond) // so that what was written is not lost with it
					reset(conn)
				}
				conn.Close()
				return target
			}
			list := fmt.Sprintf(`{"version":9,"full":true,"servers":[%s,%s]}`, r.entry("a0", "up"), r.entry("b0", "up"))
			require.Equal(t, "/v1/servers", serve(list[:len(list)*x.share/100], x.resets))
			next := serve(strings.Replace(list, `"version":9`, `"version":10`, 1), false)
			require.Equal(t, !x.counts, next == "/v1/servers", next)
			r.logged("version=10 ")
			require.Equal(t, x.counts, strings.Contains(r.log.String(), "version=9 "))
			r.end()
		})
	}
}

// A call that falls silent is followed by the next at once, whoever asks, and first calls of many co-ordinators that begin
// together are to fall silent one by one: discovery takes its time with each.
func TestSilentCallIsRepeatedAtOnce(t *testing.T) {
	for _, by := range []string{"subscribe", "automatic"} {
		waits := map[string]bool{}
		for seed := range 20 {
			synctest.Test(t, func(t *testing.T) {
				d := newLists("silent")
				f := follow(t, seed, map[string]*lists{"first": d}, func(s map[string]any) { s["Discovery"], s["Balancers"] = by, 300 }, nil)
				defer f.stop()
				f.until("the first call falls silent", func() bool { return d.left() == 0 })
				d.mu.Lock()
				began, target := d.attempts[0], d.targets[0]
				d.mu.Unlock()
				u, err := url.Parse(target)
				require.NoError(t, err)
				wait, err := time.ParseDuration(u.Query().Get("wait") + "ms")
				require.NoError(t, err)
				waits[target] = true
				d.tell(9, hosts("10.0.0.2:1"))
				took := f.told("version=9 ").Sub(began)
				require.LessOrEqual(t, took, wait+watchAnswerSlack+20*time.Millisecond, "%s, seed %d", by, seed)
				require.GreaterOrEqual(t, wait, maxWatchWait/2)
			})
		}
		require.Greater(t, len(waits), 15)
	}
}

// An answer of the old place that was read as SIGHUP moves discovery does not outlast the new place's list, though its version
// is higher.
func TestAnswerFromFormerDiscoveryAddress(t *testing.T) {
	read, gate := make(chan struct{}), make(chan struct{})
	var old atomic.Value
	old.Store("")
	var once sync.Once
	r := crossed(t, 256, nil, nil, func(addr string, c *crossing) {
		c.read = func(int) {
			if addr == old.Load() {
				once.Do(func() { close(read); <-gate })
			}
		}
	}, nil)
	<-r.list.Targets
	old.Store(r.list.Listener.Addr().String())
	r.list.Responses <- fmt.Sprintf(`{"version":99,"full":true,"servers":[%s]}`, r.entry("b0", "up"))
	<-read
	next := script(t)
	p := *r.plan
	p.Discovery = next.Listener.Addr().String()
	r.plans <- &p
	r.logged("event=reloaded")
	close(gate)
	require.Equal(t, "/v1/servers", <-next.Targets)
	next.Responses <- fmt.Sprintf(`{"version":3,"full":true,"servers":[%s,%s]}`, r.entry("a0", "up"), r.entry("b1", "up"))
	r.logged("version=3 ")
	require.Equal(t, "/v1/servers?index=3&wait=2000", <-next.Targets)
	r.call().want("q", "all", 200, wholeOfAll)
	require.Zero(t, r.replicas["b0"].CountRequests())
	r.end()
}
