package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
	"chalkring/endpoints"
	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

// Version 0 is a version: the first call waits for a newer one. An answer without changes that did not wait counts as
// a failed call.
func TestWatchThatDoesNotWaitFails(t *testing.T) {
	list := script(t)
	loop := &eventLoop{
		plan: &plan.Plan{Discovery: list.Listener.Addr().String()}, ctx: context.Background(),
		Options: Options{Dial: (&net.Dialer{}).DialContext},
	}
	list.Responses <- `{"version":0,"full":true,"servers":[]}`
	require.ErrorContains(t, loop.watchDiscovery(loop.ctx, &discoveryState{addr: loop.plan.Discovery}, nil), "answer without changes came before the wait was over")
	require.Equal(t, "/v1/servers?index=0&wait=2000", <-list.Targets)
	close(list.Responses)
}

// Silent discovery is polled again within seconds; many coordinators poll less often.
func TestSilentDiscovery(t *testing.T) {
	t.Parallel()
	r := start(t, 256, nil)
	<-r.list.Targets
	began := time.Now()
	<-r.list.Targets
	require.Less(t, time.Since(began), 4*time.Second+patience/2)
	require.Contains(t, r.log.String(), "event=list_failed")
	for n, want := range map[string]time.Duration{"1": 2, "3": 3, "150": 20} {
		loop := &eventLoop{plan: &plan.Plan{Settings: map[string]string{"Balancers": n}}}
		require.Equal(t, want*time.Second, loop.watchWait())
	}
}

// Where the settings do not leave polling to the balancer, calls are made without it, and go on after failures.
func TestListWithoutSubscription(t *testing.T) {
	r := start(t, 256, func(s map[string]any) { s["Discovery"] = "automatic" })
	<-r.list.Targets
	r.list.Responses <- ""
	<-r.list.Targets
	r.list.Responses <- fmt.Sprintf(`{"version":9,"full":false,"servers":[%s]}`, r.entry("a0", "draining"))
	r.logged("how=Partial version=9")
	r.shutDown()
}

// A coordinator that knows no host polls for the complete list, which is answered at once, and not for changes: a
// silent call for changes would wait long while nothing is served.
func TestStartWithoutKnownHosts(t *testing.T) {
	r := start(t, 256, func(settings map[string]any) { settings["Balancers"] = 300 })
	ownPlan, other := *r.plan, script(t)
	ownPlan.Known = plan.EndpointList{Version: ownPlan.Known.Version, Full: true}
	ownPlan.Discovery = other.Listener.Addr().String()
	ln, look, ended := listen(t), make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := &rig{t: t, addr: ln.Addr().String(), log: &logBuffer{}, stop: cancel, ended: ended, list: other}
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
	next.connect().expect("q", "all", 200, completeAnswer)
	next.shutDown()
	r.shutDown()
}

// A list without a length ends with its connection: closed in good order it counts if it is complete, after a reset it
// does not.
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
					_ = reset(conn)
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
			r.shutDown()
		})
	}
}

// A silent call is followed by the next at once in both modes of polling, and first calls of many coordinators that
// begin together fall silent one by one.
func TestSilentCallIsRepeatedAtOnce(t *testing.T) {
	for _, by := range []string{"subscribe", "automatic"} {
		waits := map[string]bool{}
		for seed := range 20 {
			synctest.Test(t, func(t *testing.T) {
				d := newFakeDiscovery("silent")
				f := startDiscoveryRig(t, seed, map[string]*fakeDiscovery{"first": d}, func(s map[string]any) { s["Discovery"], s["Balancers"] = by, 300 }, nil)
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
				d.setList(9, hosts("10.0.0.2:1"))
				took := f.told("version=9 ").Sub(began)
				require.LessOrEqual(t, took, wait+watchAnswerSlack+20*time.Millisecond, "%s, seed %d", by, seed)
				require.GreaterOrEqual(t, wait, maxWatchWait/2)
			})
		}
		require.Greater(t, len(waits), 15)
	}
}

// An answer of the former address that was read as a reload moved discovery does not outlast the list of the new
// address, though its version is higher.
func TestAnswerFromFormerDiscoveryAddress(t *testing.T) {
	read, gate := make(chan struct{}), make(chan struct{})
	var old atomic.Value
	old.Store("")
	var once sync.Once
	r := startHooked(t, 256, nil, nil, func(addr string, c *hookedConn) {
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
	r.connect().expect("q", "all", 200, completeAnswer)
	require.Zero(t, r.replicas["b0"].CountRequests())
	r.shutDown()
}

// After discovery has lost its versions, its list is in force after the next call that waits to its end, or soon after
// the connection is lost. Until discovery knows a host again, the last list stays. An answer that is merely late
// changes nothing.
func TestRestartedVersions(t *testing.T) {
	for name, x := range map[string]struct {
		lost    bool     // the watch is, as they do
		faults  []string // after that
		version int      // that discovery has from then on
		hosts   []fake.Endpoint
		later   time.Duration // after which it knows hosts again
		limit   time.Duration // beside the wait of a call
	}{
		"the watch stays open":        {false, nil, 3, hosts("10.0.0.3:1"), 0, 4 * time.Second},
		"the watch is lost":           {true, nil, 3, hosts("10.0.0.3:1"), 0, 6 * time.Second},
		"it knows no one for a time":  {true, nil, 0, nil, 10 * time.Second, 6 * time.Second},
		"an answer that is late":      {true, []string{"older"}, 51, hosts("10.0.0.3:1"), 0, 6 * time.Second},
		"it knows no one, then loses": {true, []string{"older", "lost"}, 0, nil, 10 * time.Second, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for _, by := range []string{"subscribe", "automatic"} {
				for _, n := range []int{1, 300} {
					for seed := range 5 {
						synctest.Test(t, func(t *testing.T) {
							d := newFakeDiscovery()
							f := startDiscoveryRig(t, seed, map[string]*fakeDiscovery{"first": d}, func(s map[string]any) {
								s["Discovery"], s["Balancers"] = by, n
							}, nil)
							defer f.stop()
							time.Sleep(time.Second)
							d.setList(50, hosts("10.0.0.2:1"))
							f.told("version=50 ")
							time.Sleep(100 * time.Millisecond) // the next call has come
							wait := f.owner.watchWait()
							d.mu.Lock()
							d.faults = slices.Clone(x.faults)
							d.mu.Unlock()
							if d.setList(x.version, x.hosts); x.lost {
								d.lose()
								wait = 2 * time.Second
							}
							began := time.Now()
							if time.Sleep(x.later); x.later > 0 {
								look := make(chan int)
								f.owner.submit(func() { look <- len(f.owner.replicas.byID) })
								require.Equal(t, 2, <-look, "the last list holds")
								d.setList(x.version+1, hosts("10.0.0.3:1"))
								began = time.Now()
							}
							f.until("the new list is in force", func() bool {
								look := make(chan string)
								f.owner.submit(func() { look <- f.owner.replicas.byID["a0"].addr })
								return <-look == "10.0.0.3:1"
							})
							took := time.Since(began)
							worst = max(worst, took)
							require.LessOrEqual(t, took, wait+x.limit, "%s, %d co-ordinators, seed %d", by, n, seed)
							d.setList(x.version+2, hosts("10.0.0.4:1")) // and the watch works from there
							require.NotZero(t, f.told(fmt.Sprintf("version=%d ", x.version+2)))
						})
					}
				}
			}
			t.Log(worst)
		})
	}
}

// With several sources, changes from discovery that are refused are polled again until they are accepted.
func TestRefusedChangesArePolledAgain(t *testing.T) {
	r := startIn(t, nil, 256, nil, nil, nil, func(m *Options) { m.EndpointUpdates = make(chan endpoints.Update) })
	require.Equal(t, "/v1/servers?index=7&wait=2000", <-r.list.Targets)
	good := fmt.Sprintf(`{"version":8,"full":false,"servers":[%s,%s]}`, r.entry("a0", "draining"), r.entry("b1", "up"))
	bad := strings.Replace(good, `"state":"up","weight":1.0`, `"state":"up","weight":-1.0`, 1)
	require.NotEqual(t, good, bad)
	r.list.Responses <- bad
	require.Equal(t, "/v1/servers?index=7&wait=2000", <-r.list.Targets)
	r.logged("event=list_refused")
	r.list.Responses <- good
	require.Equal(t, "/v1/servers?index=8&wait=2000", <-r.list.Targets)
	c := r.connect()
	for i := range 10 {
		c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
	}
	require.Zero(t, r.replicas["a0"].CountRequests())
	r.shutDown()
}

// The balancer's backoff is reset by an answered call, also with several sources and an unchanged list.
func TestBackoffResetsWithSeveralSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDiscovery()
		f := startDiscoveryRig(t, 1, map[string]*fakeDiscovery{"first": d}, nil, func(m *Options) { m.EndpointUpdates = make(chan endpoints.Update) })
		defer f.stop()
		fail := func(times int) {
			d.mu.Lock()
			d.faults = slices.Repeat([]string{"lost"}, times)
			d.mu.Unlock()
			d.lose()
			f.until("failures", func() bool { return d.left() == 0 })
		}
		time.Sleep(time.Second)
		d.setList(50, hosts("10.0.0.2:1"))
		f.told("how=Complete", "version=2 ")
		fail(6)
		d.setList(51, hosts("10.0.0.2:1")) // a version with no change in it
		time.Sleep(10 * time.Second)
		fail(1)
		d.setList(101, hosts("10.0.0.3:1"))
		began := time.Now()
		took := f.told("how=Complete", "version=3 ").Sub(began)
		t.Log(took)
		require.LessOrEqual(t, took, 1500*time.Millisecond)
	})
}
