package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"

	"chalkring/endpoints"
	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

// places is a network within a test's own time: who listens at a name is dialed there, anyone else refuses.
type places struct {
	mu    sync.Mutex
	up    map[string]func(conn net.Conn)
	wires []net.Conn
}

// dial fails as a socket does: at once where connects are refused, or when ctx ends where none is answered.
func (p *places) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	p.mu.Lock()
	serve := p.up[addr]
	p.mu.Unlock()
	if serve == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	near, far := net.Pipe()
	p.mu.Lock()
	p.wires = append(p.wires, near, far)
	p.mu.Unlock()
	go serve(far)
	return near, nil
}

// lists is discovery at one place, in a test's own time. What it does to the next attempts is named beforehand, one word
// each; after that it works.
type lists struct {
	mu       sync.Mutex
	version  int
	entries  []fake.Endpoint
	changed  chan struct{}
	done     chan struct{}
	faults   []string
	attempts []time.Time
	targets  []string
	conns    []net.Conn
}

// lose ends all connections.
func (d *lists) lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		conn.Close()
	}
	d.conns = nil
}

func newLists(faults ...string) *lists {
	return &lists{version: 1, changed: make(chan struct{}), done: make(chan struct{}), faults: faults, entries: hosts("10.0.0.1:1")}
}

// hosts is a list whose first host is at an address.
func hosts(addr string) []fake.Endpoint {
	return []fake.Endpoint{
		{ID: "a0", Addr: addr, Zone: "z one", Kind: "small", Cell: 0, State: "up"},
		{ID: "b0", Addr: "10.0.0.9:1", Zone: "z one", Kind: "small", Cell: 1, State: "up"},
	}
}

func (d *lists) tell(version int, entries []fake.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.entries = version, entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// next takes the word for a connect or a call.
func (d *lists) next(connect bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.faults) == 0 {
		return ""
	}
	f := d.faults[0]
	if connect != (f == "refused" || f == "unanswered") {
		return ""
	}
	d.faults = d.faults[1:]
	d.attempts = append(d.attempts, time.Now())
	return f
}

func (d *lists) left() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.faults)
}

// dialing fails a connect that is to fail.
func (d *lists) dialing(ctx context.Context) error {
	switch d.next(true) {
	case "refused":
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case "unanswered":
		<-ctx.Done()
		return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	return nil
}

func (d *lists) serve(conn net.Conn) {
	defer conn.Close()
	d.mu.Lock()
	d.conns = append(d.conns, conn)
	d.mu.Unlock()
	rd := http1.NewReader(conn, make([]byte, bufferSize))
	for {
		_, target, _, _, _, err := rd.ReadRequest()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.targets = append(d.targets, target)
		d.mu.Unlock()
		u, _ := url.Parse(target)
		index, _ := strconv.Atoi(u.Query().Get("index"))
		wait, _ := strconv.Atoi(u.Query().Get("wait"))
		whole := u.Query().Get("index") == ""
		text, status := "", 200
		switch f := d.next(false); f {
		case "silent":
			io.Copy(io.Discard, conn)
			return
		case "lost":
			return
		case "503":
			text, status = "{}", 503
		case "empty":
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			continue
		case "unreadable":
			text = `{"version":99,"full":true,"servers":[{"id":"a0","addr":"","state":"up","cell":0}]}`
		case "older":
			text = fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, index-1)
		case "same":
			text = fake.EncodeEndpointList(index, nil)
		case "half", "trickle":
			out := http1.AppendResponse(nil, 200, "", []byte(fake.EncodeEndpointList(index+1, hosts("10.0.0.7:1"))), true)
			for _, b := range out[:len(out)/2] {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				if f == "trickle" {
					time.Sleep(100 * time.Millisecond)
				}
			}
			io.Copy(io.Discard, conn)
			return
		}
		limit := time.After(time.Duration(wait) * time.Millisecond)
		for text == "" {
			d.mu.Lock()
			version, changed, list := d.version, d.changed, fake.EncodeEndpointList(d.version, d.entries)
			d.mu.Unlock()
			if whole || version > index {
				text = list
				break
			}
			select {
			case <-changed:
			case <-d.done:
				return
			case <-limit:
				text = fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, version)
			}
		}
		if _, err := conn.Write(http1.AppendResponse(nil, status, "", []byte(text), true)); err != nil {
			return
		}
	}
}

// stamped is a log whose lines bear the test's time.
type stamped struct {
	mu    sync.Mutex
	lines []string
	at    []time.Time
}

func (s *stamped) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines, s.at = append(s.lines, string(p)), append(s.at, time.Now())
	return len(p), nil
}

func (s *stamped) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "")
}

// when is the time of the first line with all of some texts; zero for none.
func (s *stamped) when(texts ...string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, line := range s.lines {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			return s.at[i]
		}
	}
	return time.Time{}
}

// follower is a co-ordinator that follows discovery within a test's own time, at the places of its network.
type follower struct {
	t     *testing.T
	at    map[string]*lists
	log   *stamped
	plans chan *plan.Plan
	plan  *plan.Plan
	owner *eventLoop
	stop  func()
}

// follow starts one; time.Now and all waits are the test's.
func follow(t *testing.T, seed int, at map[string]*lists, edit func(s map[string]any), more func(m *Options)) *follower {
	settings := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(testSettings), &settings))
	settings["Safety"].(map[string]any)["AskWithin"] = 10000.0
	if edit != nil {
		edit(settings)
	}
	text, _ := json.Marshal(settings)
	p, err := parsePlan(fmt.Appendf(nil, `{"name":"n","listen":"l","discovery":"first","seed":"%016x",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},"known":%s,"settings":%s}`, seed,
		fake.EncodeEndpointList(1, hosts("10.0.0.1:1")), text))
	require.NoError(t, err)
	f := &follower{t: t, at: at, log: &stamped{}, plans: make(chan *plan.Plan), plan: p}
	way := &places{up: map[string]func(net.Conn){}}
	for name, d := range at {
		way.up[name] = d.serve
	}
	ctx, cancel := context.WithCancel(context.Background())
	look, ended := make(chan *eventLoop, 1), make(chan error, 1)
	options := Options{
		Listener: &pipes{conns: make(chan net.Conn)}, Clock: SystemClock{}, PlanUpdates: f.plans, onStart: look,
		Logger: NewLogger(f.log, false, slog.LevelInfo), Dial: dialer(way, at),
	}
	if more != nil {
		more(&options)
	}
	go func() { ended <- Serve(ctx, p, options) }()
	f.owner = <-look
	f.stop = func() { // so that nothing of the test's time is left
		cancel()
		require.NoError(t, <-ended)
		for _, conn := range way.wires {
			conn.Close()
		}
		for _, d := range at {
			close(d.done)
		}
		synctest.Wait()
	}
	return f
}

func dialer(n *places, at map[string]*lists) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if d := at[addr]; d != nil {
			if err := d.dialing(ctx); err != nil {
				return nil, err
			}
		}
		return n.dial(ctx, network, addr)
	}
}

// move hands on a plan with discovery at another place, as after SIGHUP.
func (f *follower) move(place string) {
	p := *f.plan
	p.Discovery = place
	f.plans <- &p
}

// until lets the test's time pass until something holds; it fails after five minutes of it.
func (f *follower) until(why string, ok func() bool) {
	for end := time.Now().Add(5 * time.Minute); !ok(); {
		if time.Now().After(end) {
			require.Fail(f.t, why, "%s", f.log)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// told is when a line with some texts was logged first.
func (f *follower) told(texts ...string) time.Time {
	f.until(strings.Join(texts, " "), func() bool { return !f.log.when(texts...).IsZero() })
	return f.log.when(texts...)
}

// Lists at another place, after SIGHUP in bad moments: by 4 s later they are told, also where the first attempt there fails.
func TestListDelayAfterDiscoveryMoves(t *testing.T) {
	down := slices.Repeat([]string{"lost"}, 40)
	for name, x := range map[string]struct {
		old    []string // what the old place does
		faults int      // of these that have come before the move
		pause  time.Duration
		next   []string
		places []string
	}{
		"while the old place is down":                     {down, 8, 0, nil, []string{"second"}},
		"so, and the first call falls silent":             {down, 8, 0, []string{"silent"}, []string{"second"}},
		"so, a while after an attempt":                    {down, 8, 2500 * time.Millisecond, []string{"silent"}, []string{"second"}},
		"while a wait is over soon":                       {down, 1, 300 * time.Millisecond, []string{"silent"}, []string{"second"}},
		"so, and the first connect is unanswered":         {down, 8, 0, []string{"unanswered"}, []string{"second"}},
		"so, and the first connect is refused":            {down, 8, 0, []string{"refused"}, []string{"second"}},
		"under a silent call":                             {[]string{"silent"}, 1, 0, []string{"silent"}, []string{"second"}},
		"there and back and there again":                  {down, 8, 0, []string{"silent"}, []string{"second", "first", "second"}},
		"twice to one place":                              {nil, 0, time.Second, []string{"silent"}, []string{"second", "second"}},
		"back to where another version of the list began": {nil, 0, time.Second, nil, []string{"first", "second"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, by := range []string{"subscribe", "automatic"} {
				for _, n := range []int{1, 300} {
					for seed := range 3 {
						synctest.Test(t, func(t *testing.T) {
							old, next := newLists(x.old...), newLists(x.next...)
							next.version = 0 // behind the old place's
							f := follow(t, seed, map[string]*lists{"first": old, "second": next}, func(s map[string]any) {
								s["Discovery"], s["Balancers"] = by, n
							}, nil)
							defer f.stop()
							f.until("some attempts", func() bool { return len(x.old)-old.left() >= x.faults })
							time.Sleep(x.pause)
							for _, place := range x.places {
								f.move(place)
							}
							hup := time.Now()
							took := f.told("how=Complete version=0 ").Sub(hup)
							require.LessOrEqual(t, took, 4*time.Second, "%s, %d co-ordinators, seed %d", by, n, seed)
							changed := time.Now() // and the watch there works
							next.tell(5, hosts("10.0.0.3:1"))
							require.Less(t, f.told("version=5 ").Sub(changed), time.Second)
						})
					}
				}
			}
		})
	}
}

// What happens to attempts in a row, on all of 1 and of 300 co-ordinators, and when a change is told that discovery had as
// the last of them began: within 6 s, or 2 s after the wait of the call.
func TestListDelayAfterFailures(t *testing.T) {
	for _, fault := range []string{"silent", "half", "trickle", "unanswered", "refused", "lost", "503", "empty", "unreadable", "same"} {
		for _, within := range []any{10_000.0, 60_000.0, nil} { // the settings' time to ask: the module's waits follow it
			t.Run(fmt.Sprint(fault, " ", within), func(t *testing.T) {
				worst := map[int]time.Duration{}
				for _, by := range []string{"subscribe", "automatic"} {
					for _, n := range []int{1, 300} {
						for _, times := range []int{1, 3, 10} {
							synctest.Test(t, func(t *testing.T) {
								faults := slices.Repeat([]string{fault}, times)
								if fault == "unanswered" || fault == "refused" {
									faults = append([]string{"lost"}, faults...)
								}
								d := newLists(faults...)
								f := follow(t, times, map[string]*lists{"first": d}, func(s map[string]any) {
									s["Discovery"], s["Balancers"] = by, n
									if s["Safety"].(map[string]any)["AskWithin"] = within; within == nil {
										delete(s["Safety"].(map[string]any), "AskWithin")
									}
								}, nil)
								defer f.stop()
								f.until("all failures", func() bool { return d.left() == 0 })
								began, limit := d.attempts[len(d.attempts)-1], 6*time.Second
								if wait := f.owner.watchWait(); len(faults) == 1 {
									limit = max(limit, wait+2*time.Second)
								}
								d.tell(101, hosts("10.0.0.2:1"))
								took := f.told("version=101").Sub(began)
								require.LessOrEqual(t, took, limit, "%s, %d co-ordinators, %d in a row", by, n, times)
								if limit == 6*time.Second {
									worst[times] = max(worst[times], took)
								}
							})
						}
					}
				}
				t.Log(worst)
			})
		}
	}
}

// Versions that begin again at one place, as discovery has lost them: the list there is in force after the next call that
// waits it out, or soon after the connection is lost. Until discovery knows a host again, the last list holds. An answer
// that is merely late changes nothing.
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
							d := newLists()
							f := follow(t, seed, map[string]*lists{"first": d}, func(s map[string]any) {
								s["Discovery"], s["Balancers"] = by, n
							}, nil)
							defer f.stop()
							time.Sleep(time.Second)
							d.tell(50, hosts("10.0.0.2:1"))
							f.told("version=50 ")
							time.Sleep(100 * time.Millisecond) // the next call has come
							wait := f.owner.watchWait()
							d.mu.Lock()
							d.faults = slices.Clone(x.faults)
							d.mu.Unlock()
							if d.tell(x.version, x.hosts); x.lost {
								d.lose()
								wait = 2 * time.Second
							}
							began := time.Now()
							if time.Sleep(x.later); x.later > 0 {
								look := make(chan int)
								f.owner.submit(func() { look <- len(f.owner.replicas.byID) })
								require.Equal(t, 2, <-look, "the last list holds")
								d.tell(x.version+1, hosts("10.0.0.3:1"))
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
							d.tell(x.version+2, hosts("10.0.0.4:1")) // and the watch works from there
							require.NotZero(t, f.told(fmt.Sprintf("version=%d ", x.version+2)))
						})
					}
				}
			}
			t.Log(worst)
		})
	}
}

// A file that names no place for discovery any more leaves the variable's in force, and one that names a place again holds
// over that.
func TestReloadWithoutDiscoveryAddress(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	write := func(place string) {
		require.NoError(t, os.WriteFile(path, []byte(`{"name":"n","listen":"l",`+place+`"seed":"1f",
			"limits":{"cores":1,"memory_mb":192,"sockets":99},"known":{"version":1,"servers":[]},"settings":`+testSettings+`}`), 0o600))
	}
	env := func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "variable"}[name]
	}
	write(`"discovery":"file",`)
	first, err := readPlan(env)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal)
	plans := first.WatchReloads(ctx, signals, env, slog.New(slog.DiscardHandler))
	for _, x := range [][2]string{
		{`"discovery":"elsewhere",`, "elsewhere"},
		{"", "variable"},
		{"", "variable"},
		{`"discovery":"again",`, "again"},
		{`"discovery":"again",`, "again"},
	} {
		write(x[0])
		signals <- syscall.SIGHUP
		require.Equal(t, x[1], (<-plans).Discovery, x[0])
	}
}

// A part waits for a connection that comes up late when its replica begins to drain, is removed, or is not in a whole list:
// nothing goes out there once the connection is up, and the search is answered by the other holder.
func TestNothingSentToDrainingReplicaAfterGrace(t *testing.T) {
	for name, answer := range map[string]func(r *rig, id string) string{
		"drains": func(r *rig, id string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(id, "draining"))
		},
		"is removed": func(r *rig, id string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(id, "removed"))
		},
		"is not named": func(r *rig, id string) string {
			other := map[string]string{"a0": "a1", "a1": "a0"}[id]
			return fmt.Sprintf(`{"version":8,"full":true,"servers":[%s,%s,%s]}`, r.entry(other, "up"), r.entry("b0", "up"), r.entry("b1", "up"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			held := map[string]chan struct{}{} // connects that are not up, by address
			dialed := make(chan string, 16)
			r := startIn(t, nil, 256, func(s map[string]any) {
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
			for _, id := range []string{"a0", "a1"} {
				addr := r.replicas[id].Listener.Addr().String()
				at[addr], up[id] = id, make(chan struct{})
				held[addr] = up[id]
			}
			mu.Unlock()
			<-r.list.Targets
			c := r.call().send(request("q", "all", "", fourParts))
			id := at[<-dialed]
			r.list.Responses <- answer(r, id)
			r.logged("version=8")
			time.Sleep(300 * time.Millisecond) // longer than the grace
			close(up[id])
			time.Sleep(100 * time.Millisecond) // for what would go out
			for other := range up {
				if other != id {
					close(up[other])
				}
			}
			status, _, text, _ := c.answer()
			require.Equal(t, 200, status)
			require.JSONEq(t, wholeOfAll, text)
			require.Zero(t, r.replicas[id].CountRequests(), r.log)
			r.end()
		})
	}
}

// Where lists have several sources, changes of discovery's that are refused are told again until they can be taken: none of
// them is lost with the version that brought it.
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
	c := r.call()
	for i := range 10 {
		c.want(fmt.Sprint("q", i), "all", 200, wholeOfAll)
	}
	require.Zero(t, r.replicas["a0"].CountRequests())
	r.end()
}

// The module's waits begin again with a sound call, also where several sources make the list and it does not change.
func TestBackoffResetsWithSeveralSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLists()
		f := follow(t, 1, map[string]*lists{"first": d}, nil, func(m *Options) { m.EndpointUpdates = make(chan endpoints.Update) })
		defer f.stop()
		fail := func(times int) {
			d.mu.Lock()
			d.faults = slices.Repeat([]string{"lost"}, times)
			d.mu.Unlock()
			d.lose()
			f.until("failures", func() bool { return d.left() == 0 })
		}
		time.Sleep(time.Second)
		d.tell(50, hosts("10.0.0.2:1"))
		f.told("how=Complete", "version=2 ")
		fail(6)
		d.tell(51, hosts("10.0.0.2:1")) // a version with no change in it
		time.Sleep(10 * time.Second)
		fail(1)
		d.tell(101, hosts("10.0.0.3:1"))
		began := time.Now()
		took := f.told("how=Complete", "version=3 ").Sub(began)
		t.Log(took)
		require.LessOrEqual(t, took, 1500*time.Millisecond)
	})
}

// A list of the longest body that the protocol allows is taken, a longer one fails the call and the log says why; the list
// is not lost with it.
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
	r.end()
}

// A host that is removed under a part and comes back at once, at its address or at another, is used at once, and the end
// of what was there before does not forget it. So it is when it was named twice, removed and up.
func TestHostReturnsDuringAttempt(t *testing.T) {
	for name, back := range map[string]func(r *rig, moved string) []string{
		"at its address": func(r *rig, moved string) []string {
			return []string{r.entry("b1", "removed"), strings.Replace(r.entry("b1", "up"), `"started_ms":0`, `"started_ms":5`, 1)}
		},
		"at another": func(r *rig, moved string) []string {
			return []string{r.entry("b1", "removed"), strings.Replace(r.entry("b1", "up"), r.replicas["b1"].Listener.Addr().String(), moved, 1)}
		},
		"at another, never removed": func(r *rig, moved string) []string {
			return []string{strings.Replace(r.entry("b1", "up"), r.replicas["b1"].Listener.Addr().String(), moved, 1)}
		},
	} {
		for _, together := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ", together), func(t *testing.T) {
				r := start(t, 256, nil)
				<-r.list.Targets
				next, err := fake.NewHost("b1", 1, true, asked.ReplyGood)
				require.NoError(t, err)
				t.Cleanup(next.Close)
				version := 7
				tell := func(entries ...string) {
					version++
					r.list.Responses <- fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version, strings.Join(entries, ","))
					r.logged(fmt.Sprintf("version=%d ", version))
				}
				tell(r.entry("b0", "draining")) // so that b1 gets the part
				held := make(chan asked, 16)
				r.replicas["b1"].SetHandler(func(a asked) { held <- a })
				c := r.call().send(request("first", "all", "", fourParts))
				a := <-held
				r.replicas["b1"].SetHandler(asked.ReplyGood)
				entries := back(r, next.Listener.Addr().String())
				if together {
					tell(entries...)
				} else {
					for _, e := range entries {
						tell(e)
					}
				}
				for i := range 5 {
					r.call().want(fmt.Sprint("q", i), "all", 200, wholeOfAll)
				}
				a.ReplyGood()
				for len(held) > 0 {
					(<-held).ReplyGood()
				}
				status, _, text, _ := c.answer()
				require.Equal(t, 200, status, text)
				require.JSONEq(t, wholeOfAll, text)
				for i := range 5 { // what was there before has ended
					r.call().want(fmt.Sprint("p", i), "all", 200, wholeOfAll)
				}
				look := make(chan bool)
				r.loop.submit(func() { h := r.loop.replicas.byID["b1"]; look <- h != nil && !h.removed })
				require.True(t, <-look)
				if name != "at its address" {
					require.Positive(t, next.CountRequests())
				}
				r.end()
				require.NotContains(t, r.log.String(), "event=fault")
			})
		}
	}
}

// A whole list with no hosts is in force like any other: nothing is sent, health stays good, and the next list brings all
// back. At a start such a list is not yet one: health is bad until a host is known.
func TestEndpointListWithoutHosts(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	r.list.Responses <- `{"version":8,"full":true,"servers":[]}`
	r.logged("version=8 entries=0")
	c := r.call().send(request("none", "all", "", fourParts))
	health := func(r *rig) int {
		status, _, _, _ := r.call().send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").answer()
		return status
	}
	require.Equal(t, 200, health(r))
	require.Zero(t, r.parts())
	all := fmt.Sprintf(`{"version":9,"full":true,"servers":[%s,%s]}`, strings.Replace(r.entry("a0", "up"), "1.0", "0", 1),
		strings.Replace(r.entry("b0", "up"), "1.0", "-3", 1)) // weights are not this side's to judge
	r.list.Responses <- all
	r.logged("version=9 entries=2")
	status, _, text, _ := c.answer()
	require.Equal(t, 200, status)
	require.JSONEq(t, wholeOfAll, text)
	ownPlan := *r.plan
	ownPlan.Known = plan.EndpointList{Version: 7, Full: true}
	other := script(t)
	ownPlan.Discovery = other.Listener.Addr().String()
	r.end()

	ln, look, ended := listen(t), make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := &rig{t: t, addr: ln.Addr().String(), log: &journal{}, stop: cancel, ended: ended}
	go func() {
		ended <- Serve(ctx, &ownPlan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(next.log, false, slog.LevelInfo), onStart: look,
		})
	}()
	<-look
	<-other.Targets
	require.Equal(t, 503, health(next))
	other.Responses <- all
	next.logged("version=9 entries=2")
	require.Equal(t, 200, health(next))
	next.end()
}
