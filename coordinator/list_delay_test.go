package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"math/rand"
	"net"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"chalkring/balancer"
	fleet "chalkring/internal/clustertest"
	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

// discoveryStandIn is a stand-in for discovery whose first calls fail in given ways, one after another; later calls
// are answered.
type discoveryStandIn struct {
	ln    net.Listener
	calls chan string // targets of calls, in order

	mu      sync.Mutex
	version int
	entries []fake.Endpoint
	changed chan struct{}
	faults  []string
}

func newDiscoveryStandIn(t *testing.T, faults ...string) *discoveryStandIn {
	a := &discoveryStandIn{ln: listen(t), calls: make(chan string, 64), version: 1, changed: make(chan struct{}), faults: faults}
	done := make(chan struct{})
	var all sync.WaitGroup
	t.Cleanup(func() {
		close(done)
		all.Wait()
	})
	go func() {
		for {
			conn, err := a.ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				<-done
				conn.Close()
			})
			all.Go(func() { a.serve(conn, done) })
		}
	}()
	return a
}

func (a *discoveryStandIn) serve(conn net.Conn, done chan struct{}) {
	defer conn.Close()
	rd := http1.NewReader(conn, make([]byte, 16<<10))
	for {
		_, target, _, _, _, err := rd.ReadRequest()
		if err != nil {
			return
		}
		a.mu.Lock()
		fault := ""
		if len(a.faults) > 0 {
			fault, a.faults = a.faults[0], a.faults[1:]
		}
		a.mu.Unlock()
		a.calls <- target
		u, _ := url.Parse(target)
		index, _ := strconv.Atoi(u.Query().Get("index"))
		wait, _ := strconv.Atoi(u.Query().Get("wait"))
		limit := time.After(time.Duration(wait) * time.Millisecond)
		switch fault {
		case "silent":
			<-done
			return
		case "empty":
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			continue
		case "lost":
			return
		case "late":
			limit = time.After(time.Duration(wait)*time.Millisecond + 5*time.Second)
		}
		text := ""
		for text == "" {
			a.mu.Lock()
			version, changed, list := a.version, a.changed, fake.EncodeEndpointList(a.version, a.entries)
			a.mu.Unlock()
			if version > index && fault != "late" {
				text = list
				break
			}
			select {
			case <-changed:
			case <-limit:
				text = fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, index)
			case <-done:
				return
			}
		}
		if fault == "indented" {
			var all any
			_ = json.Unmarshal([]byte(text), &all)
			spaced, _ := json.MarshalIndent(all, "", "    ")
			text = string(spaced) + "\n"
		}
		out := http1.AppendResponse(nil, 200, "", []byte(text), true)
		if fault == "half" {
			for _, b := range out[:len(out)/2] {
				if _, err := conn.Write([]byte{b}); err != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			<-done
			return
		}
		conn.Write(out)
	}
}

// setList changes the list and returns when.
func (a *discoveryStandIn) setList(entries []fake.Endpoint) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version, a.entries = a.version+1, entries
	close(a.changed)
	a.changed = make(chan struct{})
	return time.Now()
}

// According to the log of a coordinator process, a changed list is applied at once if a call for changes works. If the
// call times out, the list is applied within 2 s after the call's wait, which is 2 s here, and after other faults within
// 6 s.
func TestListDelay(t *testing.T) {
	const atOnce, afterWait, missed = time.Second, 4 * time.Second, 6 * time.Second
	const busy = 500 * time.Millisecond // allowance for a busy machine
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	var all errgroup.Group // the cases run in parallel, since each waits most of the time
	for name, x := range map[string]struct {
		faults  []string      // of the calls, in order
		calls   int           // how many have come before the list changes
		mode    string        // setting Discovery
		limit   time.Duration // of the delay
		pending time.Duration // how long the last of these calls is open before the list changes
	}{
		"a call that works":                        {nil, 1, "subscribe", atOnce, 0},
		"an unanswered call":                       {[]string{"silent"}, 1, "subscribe", afterWait, 0},
		"a call unanswered for 1 s":                {[]string{"silent"}, 1, "subscribe", afterWait, time.Second},
		"timeouts between answers without changes": {[]string{"silent", "", "silent", "", "silent"}, 5, "subscribe", afterWait, 0},
		"half a list, byte by byte":                {[]string{"half"}, 1, "subscribe", afterWait, 0},
		"empty answers with status 200":            {[]string{"empty", "empty"}, 2, "subscribe", missed, 0},
		"many empty answers with status 200":       {slices.Repeat([]string{"empty"}, 5), 5, "subscribe", missed, 0},
		"an indented list":                         {[]string{"indented"}, 1, "subscribe", atOnce, 0},
		"an answer long after the wait":            {[]string{"late"}, 1, "subscribe", afterWait, 0},
		"no subscription, a lost connection":       {[]string{"lost"}, 1, "automatic", missed, 0},
		"no subscription, many lost connections":   {slices.Repeat([]string{"lost"}, 5), 5, "automatic", missed, 0},
		"no subscription, an unanswered call":      {[]string{"silent"}, 1, "automatic", afterWait, 0},
	} {
		a := newDiscoveryStandIn(t, x.faults...)
		r := startProcess(t, func(s *fleet.Config) {
			s.DiscoveryAddress, s.Settings = a.ln.Addr().String(), fleet.DefaultSettings(1, []string{"z"})
			s.Settings["Discovery"] = x.mode
		})
		all.Go(func() error {
			for range x.calls {
				select {
				case <-a.calls:
				case <-ctx.Done():
					return fmt.Errorf("%s: an expected call did not come\n%s", name, r.Log("n"))
				}
			}
			time.Sleep(x.pending)
			changed := a.setList(r.Endpoints("n"))
			if err := r.WaitLogged(ctx, "n", "how=Complete version=2", 1); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			took := time.Since(changed)
			t.Logf("%s: applied after %v, limit %v", name, took.Round(time.Millisecond), x.limit)
			if took > x.limit+busy {
				return fmt.Errorf("%s: list applied after %v, expected within %v", name, took, x.limit)
			}
			return nil
		})
	}
	require.NoError(t, all.Wait())
}

// A list that discovery has at a start is applied at once. So is a change that comes 4 s after a reload has moved
// discovery to an address that did not answer its first call and whose versions are lower.
func TestListDelayAtStartAndAfterReload(t *testing.T) {
	t.Parallel()
	a, next := newDiscoveryStandIn(t), newDiscoveryStandIn(t, "silent")
	r := startProcess(t, func(s *fleet.Config) { s.DiscoveryAddress = a.ln.Addr().String() })
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	for range 3 { // its versions are ahead of the other stand-in's
		a.setList(r.Endpoints("n"))
	}
	require.NoError(t, r.WaitLogged(ctx, "n", "how=Complete version=4", 1))
	require.NoError(t, r.Kill(ctx, "n"))
	a.setList(r.Endpoints("n"))
	require.NoError(t, r.Start(ctx, "n"))
	began := time.Now()
	require.NoError(t, r.WaitLogged(ctx, "n", "how=Complete version=5", 1))
	t.Logf("applied %v after the start", time.Since(began).Round(time.Millisecond))
	require.Less(t, time.Since(began), time.Second)
	next.entries = r.Endpoints("n")
	require.NoError(t, r.ReplaceInFile("n", "plan.json", a.ln.Addr().String(), next.ln.Addr().String()))
	require.NoError(t, r.Signal("n", syscall.SIGHUP))
	reloadedAt := time.Now()
	require.NoError(t, r.WaitLogged(ctx, "n", "how=Complete version=1", 1))
	t.Logf("the second stand-in's list is applied %v after SIGHUP", time.Since(reloadedAt).Round(time.Millisecond))
	require.Less(t, time.Since(reloadedAt), 6*time.Second)
	time.Sleep(4*time.Second - time.Since(reloadedAt))
	changed := next.setList(r.Endpoints("n"))
	require.NoError(t, r.WaitLogged(ctx, "n", "how=Complete version=2", 1))
	require.Less(t, time.Since(changed), time.Second)
}

// manualClock is a clock that moves only when next is called.
type manualClock struct {
	mu    sync.Mutex
	now   time.Time
	waits []manualWait
}

type manualWait struct {
	at time.Time
	c  chan time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := make(chan time.Time, 1)
	c.waits = append(c.waits, manualWait{c.now.Add(d), ended})
	return ended
}

// waiting returns the number of waits that have not ended.
func (c *manualClock) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waits)
}

// next moves the clock to the earliest end of a wait, and ends that wait.
func (c *manualClock) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := 0
	for k := range c.waits {
		if c.waits[k].at.Before(c.waits[i].at) {
			i = k
		}
	}
	w := c.waits[i]
	c.waits = slices.Delete(c.waits, i, i+1)
	c.now = w.at
	w.c <- c.now
}

// pollingBalancer is a balancer that subscribes again after failures with the same backoff as the real one.
type pollingBalancer struct {
	balancer.Balancer
	loop   *eventLoop
	random *rand.Rand
	wait   time.Duration
}

func (m *pollingBalancer) CommitEndpoints(string, int64) {
	wait := m.loop.Clock.After(m.wait + time.Duration(m.random.Int63n(int64(m.wait/4))))
	m.wait = min(2*m.wait, 3*time.Second)
	go func() {
		select {
		case <-wait:
			m.loop.discovery.polls <- struct{}{}
		case <-m.loop.ctx.Done():
		}
	}()
}

// 1, 3 or 300 coordinators on one clock lose discovery at the same time, and it stays unreachable. Guards against all
// of them polling at once. In any second at most S + 3*sqrt(S) + 3 of them make their first call, S being the number if
// the calls were spread evenly, and each calls at least every 6 s.
func TestCoordinatorsSpreadCallsAfterLoss(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		for _, n := range []int{1, 3, 300} {
			clock := &manualClock{now: time.Unix(1_700_000_000, 0)}
			ctx, cancel := context.WithCancel(context.Background())
			var mu sync.Mutex
			dials := map[int][]time.Duration{}
			began := clock.Now()
			var all errgroup.Group
			for i := range n {
				group, work := errgroup.WithContext(ctx)
				loop := &eventLoop{
					group: group, ctx: work, discovery: discoveryRequests{polls: make(chan struct{}, 1), moves: make(chan string)}, tasks: make(chan func(), maxQueuedTasks),
					updates: make(chan func(), maxQueuedListUpdates),
					log:     newAsyncLogger(clock, slog.DiscardHandler), plan: &plan.Plan{Seed: int64(i), Settings: map[string]string{
						"Discovery": mode,
						"Balancers": fmt.Sprint(n),
					}, Known: plan.EndpointList{Version: 1}},
				}
				loop.Options = Options{Clock: clock, Dial: func(context.Context, string, string) (net.Conn, error) {
					mu.Lock()
					defer mu.Unlock()
					dials[i] = append(dials[i], clock.Now().Sub(began))
					return nil, syscall.ECONNREFUSED
				}}
				loop.balancer = &pollingBalancer{loop: loop, random: rand.New(rand.NewSource(int64(i))), wait: 500 * time.Millisecond}
				loop.discovery.polls <- struct{}{}
				group.Go(func() error {
					for {
						select {
						case do := <-loop.tasks:
							do()
						case do := <-loop.updates:
							do()
						case <-work.Done():
							return nil
						}
					}
				})
				group.Go(loop.followDiscovery)
				all.Go(group.Wait)
			}
			for clock.Now().Sub(began) < 12*time.Second {
				require.Eventually(t, func() bool { return clock.waiting() == n }, testTimeout, 50*time.Microsecond)
				clock.next()
			}
			cancel()
			require.NoError(t, all.Wait())
			var first, times []time.Duration
			for i := range n {
				require.Zero(t, dials[i][0], "the loss")
				last := time.Duration(0)
				first = append(first, dials[i][1])
				for _, at := range dials[i][1:] {
					require.LessOrEqual(t, at-last, 6*time.Second)
					times, last = append(times, at), at
				}
			}
			share := max(1, float64(n)/2) // calls per second if 300 are spread evenly over 2 s
			limit := share + 3*math.Sqrt(share) + 3
			t.Logf("%s, %d coordinators: at most %d first calls in a second, limit %.0f; at most %d of all calls", mode, n, mostPerSecond(first), limit, mostPerSecond(times))
			require.LessOrEqual(t, float64(mostPerSecond(first)), limit)
			require.LessOrEqual(t, mostPerSecond(times), n+n/2, "all calls during the outage")
		}
	}
}

// mostPerSecond returns the largest number of times that lie within one second.
func mostPerSecond(at []time.Duration) (most int) {
	slices.Sort(at)
	for i, from := 0, 0; i < len(at); i++ {
		for at[i]-at[from] >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
