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
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

// fakeNetwork is an in-memory network for tests with synthetic time. Addresses without a server refuse connections.
type fakeNetwork struct {
	mu      sync.Mutex
	servers map[string]func(conn net.Conn) // by address
	conns   []net.Conn                     // both ends of all connections
}

// dial connects to the server at addr, and fails like a refused connect if there is none.
func (n *fakeNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	serve := n.servers[addr]
	n.mu.Unlock()
	if serve == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	near, far := net.Pipe()
	n.mu.Lock()
	n.conns = append(n.conns, near, far)
	n.mu.Unlock()
	go serve(far)
	return near, nil
}

// fakeDiscovery is a stand-in for discovery at one address, in synthetic time. faults names, one word each, how
// the next connects and calls fail; after these all succeed.
type fakeDiscovery struct {
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

// closeConns closes all connections.
func (d *fakeDiscovery) closeConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		conn.Close()
	}
	d.conns = nil
}

// setList changes the list and its version, and ends the waits of calls for changes.
func (d *fakeDiscovery) setList(version int, entries []fake.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.entries = version, entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// nextFault removes and returns the next fault if it is one of a connect and connect is true, or one of a call and
// connect is false. Otherwise, or if no fault is left, it returns "".
func (d *fakeDiscovery) nextFault(connect bool) string {
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

// faultsLeft returns how many faults are left.
func (d *fakeDiscovery) faultsLeft() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.faults)
}

// failDial fails a connect if the next fault says so.
func (d *fakeDiscovery) failDial(ctx context.Context) error {
	switch d.nextFault(true) {
	case "refused":
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case "unanswered":
		<-ctx.Done()
		return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	return nil
}

// failCall ends a call without a complete answer, in the way that the fault names.
func (d *fakeDiscovery) failCall(conn net.Conn, fault string, index int) {
	if fault == "lost" {
		return
	}
	if fault != "silent" {
		out := http1.AppendResponse(nil, 200, "", []byte(fake.EncodeEndpointList(index+1, hosts("10.0.0.7:1"))), true)
		for _, b := range out[:len(out)/2] {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			if fault == "trickle" {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	io.Copy(io.Discard, conn)
}

// serve answers the calls on one connection.
func (d *fakeDiscovery) serve(conn net.Conn) {
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
		full := u.Query().Get("index") == ""
		text, status := "", 200
		switch f := d.nextFault(false); f {
		case "silent", "lost", "half", "trickle":
			d.failCall(conn, f, index)
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
		}
		limit := time.After(time.Duration(wait) * time.Millisecond)
		for text == "" {
			d.mu.Lock()
			version, changed, list := d.version, d.changed, fake.EncodeEndpointList(d.version, d.entries)
			d.mu.Unlock()
			if full || version > index {
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

func newFakeDiscovery(faults ...string) *fakeDiscovery {
	return &fakeDiscovery{version: 1, changed: make(chan struct{}), done: make(chan struct{}), faults: faults, entries: hosts("10.0.0.1:1")}
}

// hosts returns a list of two hosts, the first of them at addr.
func hosts(addr string) []fake.Endpoint {
	return []fake.Endpoint{
		{ID: "a0", Addr: addr, Zone: "z one", Kind: "small", Cell: 0, State: "up"},
		{ID: "b0", Addr: "10.0.0.9:1", Zone: "z one", Kind: "small", Cell: 1, State: "up"},
	}
}

// timestampedLog is a log that records the time of each line.
type timestampedLog struct {
	mu    sync.Mutex
	lines []string
	at    []time.Time
}

func (s *timestampedLog) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines, s.at = append(s.lines, string(p)), append(s.at, time.Now())
	return len(p), nil
}

func (s *timestampedLog) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "")
}

// when returns the time of the first line that contains all texts, or the zero time if there is none.
func (s *timestampedLog) when(texts ...string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, line := range s.lines {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			return s.at[i]
		}
	}
	return time.Time{}
}

// discoveryRig is a coordinator that follows discovery on a fake network.
type discoveryRig struct {
	t     *testing.T
	at    map[string]*fakeDiscovery // by address
	log   *timestampedLog
	plans chan *plan.Plan
	plan  *plan.Plan
	loop  *eventLoop
	stop  func()
}

// move sends a plan with another address of discovery, as after SIGHUP.
func (f *discoveryRig) move(addr string) {
	p := *f.plan
	p.Discovery = addr
	f.plans <- &p
}

// until lets synthetic time pass until a condition holds, and fails the test after five minutes of it.
func (f *discoveryRig) until(what string, ok func() bool) {
	for end := time.Now().Add(5 * time.Minute); !ok(); {
		if time.Now().After(end) {
			require.Fail(f.t, what, "%s", f.log)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// loggedAt waits for a log line that contains all texts and returns the time of the first one.
func (f *discoveryRig) loggedAt(texts ...string) time.Time {
	f.until(strings.Join(texts, " "), func() bool { return !f.log.when(texts...).IsZero() })
	return f.log.when(texts...)
}

// startDiscoveryRig starts a coordinator in the synctest bubble of the caller, so that time.Now and all waits are
// synthetic. edit changes the settings of its plan, adjust its options; both may be nil.
func startDiscoveryRig(t *testing.T, seed int, at map[string]*fakeDiscovery, edit func(s map[string]any), adjust func(m *Options)) *discoveryRig {
	settings := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(testSettings), &settings))
	settings["Safety"].(map[string]any)["AskWithin"] = 10000.0
	if edit != nil {
		edit(settings)
	}
	text, _ := json.Marshal(settings)
	initial, err := parsePlan(fmt.Appendf(nil, `{"name":"n","listen":"l","discovery":"first","seed":"%016x",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},"known":%s,"settings":%s}`, seed,
		fake.EncodeEndpointList(1, hosts("10.0.0.1:1")), text))
	require.NoError(t, err)
	f := &discoveryRig{t: t, at: at, log: &timestampedLog{}, plans: make(chan *plan.Plan), plan: initial}
	network := &fakeNetwork{servers: map[string]func(net.Conn){}}
	for addr, d := range at {
		network.servers[addr] = d.serve
	}
	ctx, cancel := context.WithCancel(context.Background())
	started, ended := make(chan *eventLoop, 1), make(chan error, 1)
	options := Options{
		Listener: &pipeListener{conns: make(chan net.Conn)}, Clock: SystemClock{}, PlanUpdates: f.plans, onStart: started,
		Logger: NewLogger(f.log, false, slog.LevelInfo), Dial: dialer(network, at),
	}
	if adjust != nil {
		adjust(&options)
	}
	go func() { ended <- Serve(ctx, initial, options) }()
	f.loop = <-started
	f.stop = func() { // ends all goroutines of the bubble
		cancel()
		require.NoError(t, <-ended)
		for _, conn := range network.conns {
			conn.Close()
		}
		for _, d := range at {
			close(d.done)
		}
		synctest.Wait()
	}
	return f
}

// dialer returns a Dial function on a fake network, where discovery may fail connects.
func dialer(n *fakeNetwork, at map[string]*fakeDiscovery) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if d := at[addr]; d != nil {
			if err := d.failDial(ctx); err != nil {
				return nil, err
			}
		}
		return n.dial(ctx, network, addr)
	}
}
