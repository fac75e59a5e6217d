package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
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

// An answer without changes that comes before the wait is over counts as a failed call. Guards against a server that
// does not wait and would be polled without pause. Version 0 is a valid version: the first call waits for a newer one.
func TestWatchThatDoesNotWaitFails(t *testing.T) {
	list := startDiscovery(t)
	loop := &eventLoop{
		plan: &plan.Plan{Discovery: list.Listener.Addr().String()}, ctx: context.Background(),
		Options: Options{Dial: (&net.Dialer{}).DialContext},
	}
	list.Responses <- `{"version":0,"full":true,"servers":[]}`
	require.ErrorContains(t, loop.watchDiscovery(loop.ctx, &discoveryState{addr: loop.plan.Discovery}, nil), "answer without changes came before the wait was over")
	require.Equal(t, "/v1/servers?index=0&wait=2000", <-list.Targets)
	close(list.Responses)
}

// Discovery that does not answer a call is polled again within seconds. The more coordinators there are, the longer
// each call waits, so that all of them together poll at a fixed rate.
func TestSilentDiscovery(t *testing.T) {
	t.Parallel()
	r := start(t, 256, nil)
	<-r.list.Targets
	began := time.Now()
	<-r.list.Targets
	require.Less(t, time.Since(began), 4*time.Second+testTimeout/2)
	require.Contains(t, r.log.String(), "event=list_failed")
	for n, want := range map[string]time.Duration{"1": 2, "3": 3, "150": 20} {
		loop := &eventLoop{plan: &plan.Plan{Settings: map[string]string{"Balancers": n}}}
		require.Equal(t, want*time.Second, loop.watchWait())
	}
}

// If the settings do not leave polling to the balancer, calls need no subscription and continue after failures.
func TestListWithoutSubscription(t *testing.T) {
	r := start(t, 256, func(s map[string]any) { s["Discovery"] = "automatic" })
	<-r.list.Targets
	r.list.Responses <- ""
	<-r.list.Targets
	r.list.Responses <- fmt.Sprintf(`{"version":9,"full":false,"servers":[%s]}`, r.entry("a0", "draining"))
	r.logged("how=Partial version=9")
	r.shutDown()
}

// A coordinator that knows no host polls for the complete list, which is answered at once, and not for changes. Guards
// against an unanswered call for changes, whose long wait would delay the first search.
func TestStartWithoutKnownHosts(t *testing.T) {
	r := start(t, 256, func(settings map[string]any) { settings["Balancers"] = 300 })
	emptyPlan, other := *r.plan, startDiscovery(t)
	emptyPlan.Known = plan.EndpointList{Version: emptyPlan.Known.Version, Full: true}
	emptyPlan.Discovery = other.Listener.Addr().String()
	ln, started, ended := listen(t), make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := &rig{t: t, addr: ln.Addr().String(), log: &logBuffer{}, stop: cancel, ended: ended, list: other}
	go func() {
		ended <- Serve(ctx, &emptyPlan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(next.log, false, slog.LevelInfo), onStart: started,
		})
	}()
	next.loop = <-started
	require.Equal(t, "/v1/servers", <-other.Targets) // gets no answer
	began := time.Now()
	require.Equal(t, "/v1/servers", <-other.Targets)
	require.Less(t, time.Since(began), 6*time.Second)
	other.Responses <- "" // to the unanswered call, whose connection has ended
	other.Responses <- fmt.Sprintf(`{"version":9,"full":true,"servers":[%s,%s]}`, r.entry("a0", "up"), r.entry("b0", "up"))
	next.logged("version=9 ")
	require.Equal(t, "/v1/servers?index=9", strings.SplitN(<-other.Targets, "&", 2)[0])
	next.connect().expect("q", "all", 200, completeAnswer)
	next.shutDown()
	r.shutDown()
}

// A list without a Content-Length ends with its connection. It is applied if it is complete and the connection was
// closed without a reset; guards against applying a list that a connection reset has cut off.
func TestListAnswerWithoutContentLength(t *testing.T) {
	for name, x := range map[string]struct {
		share   int // percent of the list that arrives
		resets  bool
		applied bool
	}{
		"complete":             {100, false, true},
		"closed halfway":       {50, false, false},
		"reset halfway":        {50, true, false},
		"reset after the list": {100, true, false},
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
					time.Sleep(20 * time.Millisecond) // until the client has read, since a reset discards unread bytes
					_ = reset(conn)
				}
				conn.Close()
				return target
			}
			list := fmt.Sprintf(`{"version":9,"full":true,"servers":[%s,%s]}`, r.entry("a0", "up"), r.entry("b0", "up"))
			require.Equal(t, "/v1/servers", serve(list[:len(list)*x.share/100], x.resets))
			next := serve(strings.Replace(list, `"version":9`, `"version":10`, 1), false)
			require.Equal(t, !x.applied, next == "/v1/servers", next)
			r.logged("version=10 ")
			require.Equal(t, x.applied, strings.Contains(r.log.String(), "version=9 "))
			r.shutDown()
		})
	}
}

// After a call that was not answered, the next begins at once in both modes of polling. First calls that begin
// together have random waits: guards against 300 coordinators whose calls time out at the same moment.
func TestSilentCallIsRepeatedAtOnce(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		waits := map[string]bool{}
		for seed := range 20 {
			synctest.Test(t, func(t *testing.T) {
				d := newFakeDiscovery("silent")
				f := startDiscoveryRig(t, seed, map[string]*fakeDiscovery{"first": d}, func(s map[string]any) { s["Discovery"], s["Balancers"] = mode, 300 }, nil)
				defer f.stop()
				f.until("the first call has come", func() bool { return d.faultsLeft() == 0 })
				d.mu.Lock()
				began, target := d.attempts[0], d.targets[0]
				d.mu.Unlock()
				u, err := url.Parse(target)
				require.NoError(t, err)
				wait, err := time.ParseDuration(u.Query().Get("wait") + "ms")
				require.NoError(t, err)
				waits[target] = true
				d.setList(9, hosts("10.0.0.2:1"))
				took := f.loggedAt("version=9 ").Sub(began)
				require.LessOrEqual(t, took, wait+watchAnswerSlack+20*time.Millisecond, "%s, seed %d", mode, seed)
				require.GreaterOrEqual(t, wait, maxWatchWait/2)
			})
		}
		require.Greater(t, len(waits), 15)
	}
}

// An answer from the former address that is being read while a reload moves discovery does not replace the list of the
// new address, even though its version is higher.
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
	next := startDiscovery(t)
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

// After discovery has restarted its versions, its list is applied once the call in progress has waited to its end, or
// soon after its connection is lost. Until discovery knows a host again, the last list stays. An answer that is merely
// late changes nothing. Guards against a list that stays out of date until the new versions have caught up with the old.
func TestRestartedVersions(t *testing.T) {
	for name, x := range map[string]struct {
		lost       bool     // the connection is lost as versions restart
		faults     []string // of the calls after the restart
		version    int      // of the list after the restart
		hosts      []fake.Endpoint
		emptyFor   time.Duration // after which discovery knows hosts again
		extraDelay time.Duration // allowed in addition to the wait of a call
	}{
		"the call stays open":                   {false, nil, 3, hosts("10.0.0.3:1"), 0, 4 * time.Second},
		"the connection is lost":                {true, nil, 3, hosts("10.0.0.3:1"), 0, 6 * time.Second},
		"no hosts known for a time":             {true, nil, 0, nil, 10 * time.Second, 6 * time.Second},
		"a late answer, versions not restarted": {true, []string{"older"}, 51, hosts("10.0.0.3:1"), 0, 6 * time.Second},
		"no hosts known, connection lost again": {true, []string{"older", "lost"}, 0, nil, 10 * time.Second, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for _, mode := range []string{"subscribe", "automatic"} {
				for _, n := range []int{1, 300} {
					for seed := range 5 {
						synctest.Test(t, func(t *testing.T) {
							d := newFakeDiscovery()
							f := startDiscoveryRig(t, seed, map[string]*fakeDiscovery{"first": d}, func(s map[string]any) {
								s["Discovery"], s["Balancers"] = mode, n
							}, nil)
							defer f.stop()
							time.Sleep(time.Second)
							d.setList(50, hosts("10.0.0.2:1"))
							f.loggedAt("version=50 ")
							time.Sleep(100 * time.Millisecond) // until the next call has come
							wait := f.loop.watchWait()
							d.mu.Lock()
							d.faults = slices.Clone(x.faults)
							d.mu.Unlock()
							if d.setList(x.version, x.hosts); x.lost {
								d.closeConns()
								wait = 2 * time.Second
							}
							began := time.Now()
							if time.Sleep(x.emptyFor); x.emptyFor > 0 {
								known := make(chan int)
								f.loop.submit(func() { known <- len(f.loop.replicas.byID) })
								require.Equal(t, 2, <-known, "hosts of the last list")
								d.setList(x.version+1, hosts("10.0.0.3:1"))
								began = time.Now()
							}
							f.until("the new list is applied", func() bool {
								addr := make(chan string)
								f.loop.submit(func() { addr <- f.loop.replicas.byID["a0"].addr })
								return <-addr == "10.0.0.3:1"
							})
							took := time.Since(began)
							worst = max(worst, took)
							require.LessOrEqual(t, took, wait+x.extraDelay, "%s, %d coordinators, seed %d", mode, n, seed)
							d.setList(x.version+2, hosts("10.0.0.4:1")) // calls for changes work from then on
							require.NotZero(t, f.loggedAt(fmt.Sprintf("version=%d ", x.version+2)))
						})
					}
				}
			}
			t.Log(worst)
		})
	}
}

// With several sources, changes from discovery that are refused are polled again until they are accepted. Guards
// against a refused version that counts as known: discovery would not send its changes again; and against a host that
// discovery drains and that gets attempts until another host's entry in the same changes has been corrected.
func TestRefusedChangesArePolledAgain(t *testing.T) {
	r := startWithOptions(t, nil, 256, nil, nil, nil, func(m *Options) { m.EndpointUpdates = make(chan endpoints.Update) })
	require.Equal(t, "/v1/servers?index=7&wait=2000", <-r.list.Targets)
	valid := fmt.Sprintf(`{"version":8,"full":false,"servers":[%s,%s]}`, r.entry("a0", "draining"), r.entry("b1", "up"))
	invalid := strings.Replace(valid, `"state":"up","weight":1.0`, `"state":"up","weight":-1.0`, 1)
	require.NotEqual(t, valid, invalid)
	r.list.Responses <- invalid
	require.Equal(t, "/v1/servers?index=7&wait=2000", <-r.list.Targets)
	r.logged("event=list_refused")
	r.eventually("a0 drains already", func() bool {
		drains := make(chan bool, 1)
		return r.loop.submit(func() { drains <- r.loop.replicas.byID["a0"].closedToNew }) && <-drains
	})
	r.list.Responses <- valid
	require.Equal(t, "/v1/servers?index=8&wait=2000", <-r.list.Targets)
	c := r.connect()
	for i := range 10 {
		c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
	}
	require.Zero(t, r.replicas["a0"].CountRequests())
	r.shutDown()
}

// An answered call resets the balancer's backoff, even with several sources and an unchanged list. Guards against a
// later failure that is followed by a long backoff.
func TestBackoffResetsWithSeveralSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDiscovery()
		f := startDiscoveryRig(t, 1, map[string]*fakeDiscovery{"first": d}, nil, func(m *Options) { m.EndpointUpdates = make(chan endpoints.Update) })
		defer f.stop()
		fail := func(times int) {
			d.mu.Lock()
			d.faults = slices.Repeat([]string{"lost"}, times)
			d.mu.Unlock()
			d.closeConns()
			f.until("all calls have failed", func() bool { return d.faultsLeft() == 0 })
		}
		time.Sleep(time.Second)
		d.setList(50, hosts("10.0.0.2:1"))
		f.loggedAt("how=Complete", "version=2 ")
		fail(6)
		d.setList(51, hosts("10.0.0.2:1")) // a new version without a change
		time.Sleep(10 * time.Second)
		fail(1)
		d.setList(101, hosts("10.0.0.3:1"))
		began := time.Now()
		took := f.loggedAt("how=Complete", "version=3 ").Sub(began)
		t.Log(took)
		require.LessOrEqual(t, took, 1500*time.Millisecond)
	})
}

// Guards against a second copy of an answer, or noise behind one, that is taken for the answer to the next call: the answer
// counts, and the next call has a connection of its own.
func TestSecondAnswersOfDiscovery(t *testing.T) {
	for seed := range int64(4) {
		chance := rand.New(rand.NewSource(seed))
		r := start(t, 256, func(s map[string]any) { s["Discovery"] = "automatic" })
		for version := 9; version < 12; version++ {
			require.NotEmpty(t, <-r.list.Targets)
			body := fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version, r.entry("a0", "draining"))
			answer := string(http1.AppendResponse(nil, 200, "", []byte(body), true))
			r.list.Responses <- answer + []string{answer, answer[:1+chance.Intn(len(answer))], "noise"}[chance.Intn(3)]
			r.logged(fmt.Sprintf("how=Partial version=%d", version))
		}
		require.NotContains(t, r.log.String(), "list_failed", "seed %d", seed)
		r.shutDown()
	}
}
