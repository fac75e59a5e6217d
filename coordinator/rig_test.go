package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

// testTimeout is how long a test waits for something that has to happen; no test depends on it happening sooner.
const testTimeout = 20 * time.Second

// testSettings has three classes: some is complete with half of its shards, all needs every shard, and deep needs every
// shard and has a second step at two shards. Cell 0 holds the even shards, cell 1 the odd ones.
const testSettings = `{"Family":"fanout","Discovery":"subscribe","Balancers":1,"Tick":5.0,
"FailureDomains":["z one"],"MachineTypes":["small"],"Clients":{"MarksRetry":true},
"Classes":[{"Name":"some","Aim":4000.0,"Deadline":8000.0,"Effect":"retryable","LateShare":0.5},
{"Name":"all","Aim":4000.0,"Deadline":8000.0,"Effect":"retryable","LateShare":0.5},
{"Name":"deep","Aim":4000.0,"Deadline":8000.0,"Effect":"retryable","LateShare":0.5}],
"Tenants":[{"Name":"acme","QuotaPerS":1000.0},{"Name":"other","QuotaPerS":1000.0}],
"Specifics":{"Sets":2,"Reach":1,"Ranges":4,"PerCall":2,"NeedByClass":[0.5,1.0,1.0],
"ClassFloor":[0.5,1.0,1.0],"FollowUp":[0,0,2]},
"Permissions":{"MaxAttempts":3,"ConnIdle":60000.0,"DialTimeout":2000.0,"StreamsPerConn":8,
"SecondCopies":true,"Cancelling":true,"RetryAfter":true,"MaxRetryAfter":500.0},
"Safety":{"Cold":1000.0,"ColdFrom":0.3,"FallMultiple":3.0,"Fall":2000.0,"DrainGrace":250.0,"AskWithin":500.0}}`

// receivedRequest is a shard request as a host received it.
type receivedRequest = fake.ShardRequest

// writes collects what is written to a connection instead of sending it.
type writes struct {
	net.Conn
	to *strings.Builder
}

func (w writes) Write(p []byte) (int, error) { return w.to.Write(p) }

// writesMore adds more bytes to each write.
type writesMore struct {
	net.Conn
	more []byte
}

func (w writesMore) Write(p []byte) (int, error) {
	return w.Conn.Write(append(append([]byte(nil), p...), w.more...))
}

// rig is a coordinator under test with fake hosts, clients and discovery.
type rig struct {
	t        *testing.T
	replicas map[string]*fake.Host
	list     *fake.ScriptedDiscovery
	plans    chan *plan.Plan
	plan     *plan.Plan
	addr     string
	stop     context.CancelFunc
	ended    chan error
	log      *logBuffer
	loop     *eventLoop
	zones    map[string]string // of replicas that are not in zone z one

	mu          sync.Mutex
	clientConns []net.Conn
}

// logBuffer is a log that tests read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (j *logBuffer) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(p)
}

func (j *logBuffer) String() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.String()
}

// eventually waits until a condition holds; the test fails if it does not within testTimeout.
func (r *rig) eventually(why string, ok func() bool) {
	require.Eventually(r.t, ok, testTimeout, time.Millisecond, "%s\n%s", why, r.log)
}

// parts returns how many shard requests all replicas have received.
func (r *rig) parts() (n int) {
	for _, s := range r.replicas {
		parts, _, _, _ := s.Observed()
		n += len(parts)
	}
	return n
}

// logged waits until the log contains a text.
func (r *rig) logged(text string) {
	r.eventually("log line "+text, func() bool { return strings.Contains(r.log.String(), text) })
}

// startDiscovery returns a fake discovery whose responses the test sends.
func startDiscovery(t *testing.T) *fake.ScriptedDiscovery {
	d, err := fake.NewScriptedDiscovery()
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// tcpPair returns both sides of a connection over loopback: the one that dialed and the one that accepted.
func tcpPair(t *testing.T) (dialed, accepted net.Conn) {
	ln := listen(t)
	dialed, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { dialed.Close() })
	accepted, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted
}

// entry returns a replica's entry of an endpoint list, as discovery sends it.
func (r *rig) entry(hostID, state string) string {
	s := r.replicas[hostID]
	return fake.Endpoint{ID: hostID, Addr: s.Listener.Addr().String(), Zone: cmp.Or(r.zones[hostID], "z one"), Kind: "small", Cell: s.Cell, State: state}.Encode()
}

// start starts a coordinator with the replicas a0 and a1 of cell 0, and b0 and b1 of cell 1; edit may change testSettings.
func start(t *testing.T, sockets int, edit func(settings map[string]any)) *rig {
	return startWith(t, sockets, edit, nil)
}

func startWith(t *testing.T, sockets int, edit func(settings map[string]any), peers *PeerOptions) *rig {
	return startPlan(t, sockets, edit, peers, nil, nil)
}

// startWithShadow starts a coordinator with shadow settings.
func startWithShadow(t *testing.T, shadow map[string]string) *rig {
	return startPlan(t, 256, nil, nil, nil, shadow)
}

// startWithOverrides starts a coordinator with settings that replace those of its plan, and with shadow settings.
func startWithOverrides(t *testing.T, overrides, shadow map[string]string) *rig {
	return startPlan(t, 256, nil, nil, overrides, shadow)
}

func startPlan(t *testing.T, sockets int, edit func(settings map[string]any), peers *PeerOptions, overrides, shadow map[string]string) *rig {
	return startWithOptions(t, nil, sockets, edit, overrides, shadow, func(m *Options) { m.Peers = peers })
}

// parsePlan and readPlan are functions of the package plan, for tests in which a variable hides its name.
var (
	parsePlan = plan.Parse
	readPlan  = plan.Read
)

// startWithOptions starts a coordinator with four replicas. The parameters zones, edit, overrides and shadow may be nil;
// more may change the options.
func startWithOptions(t *testing.T, zones map[string]string, sockets int, edit func(settings map[string]any), overrides, shadow map[string]string,
	more func(m *Options),
) *rig {
	r := &rig{
		t: t, replicas: map[string]*fake.Host{}, log: &logBuffer{}, ended: make(chan error, 1),
		list: startDiscovery(t), plans: make(chan *plan.Plan), zones: zones,
	}
	var known []string
	for _, hostID := range []string{"a0", "a1", "b0", "b1"} {
		s, err := fake.NewHost(hostID, int(hostID[0]-'a'), true, receivedRequest.ReplyGood)
		require.NoError(t, err)
		t.Cleanup(s.Close)
		r.replicas[hostID] = s
		known = append(known, r.entry(hostID, "up"))
	}
	settings := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(testSettings), &settings))
	if edit != nil {
		edit(settings)
	}
	text, _ := json.Marshal(settings)
	ln := listen(t)
	initial, err := parsePlan(fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":{"version":7,"full":true,"servers":[%s]},
		"settings":%s}`, ln.Addr(), r.list.Listener.Addr(), sockets, strings.Join(known, ","), text))
	require.NoError(t, err)
	initial, err = initial.WithSettings(overrides)
	require.NoError(t, err)
	if shadow != nil {
		initial, err = initial.WithShadowSettings(shadow)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.addr, r.stop, r.plan = ln.Addr().String(), cancel, initial
	started := make(chan *eventLoop, 1)
	go func() {
		options := Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), PlanUpdates: r.plans, onStart: started,
		}
		more(&options)
		r.ended <- Serve(ctx, initial, options)
	}()
	r.loop = <-started
	t.Cleanup(cancel)
	return r
}

// shutDown stops the coordinator, closes the clients' connections, and waits until the coordinator has ended.
func (r *rig) shutDown() {
	r.stop()
	r.mu.Lock()
	for _, conn := range r.clientConns {
		conn.Close()
	}
	r.mu.Unlock()
	select {
	case err := <-r.ended:
		require.NoError(r.t, err)
	case <-time.After(testTimeout):
		require.Fail(r.t, "the coordinator does not end after a stop", r.log.String())
	}
}

// testClient is the client's end of a connection.
type testClient struct {
	net.Conn
	r  *rig
	rd *http1.Reader
}

func (r *rig) connect() *testClient {
	conn, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	r.mu.Lock()
	r.clientConns = append(r.clientConns, conn)
	r.mu.Unlock()
	return &testClient{conn, r, http1.NewReader(conn, make([]byte, bufferSize))}
}

// request returns the HTTP request of a search; head is added to its headers.
func request(searchName, class, head, body string) string {
	return fmt.Sprintf("POST /%s?k=7f HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: acme\r\n"+
		"X-Deadline: 8.000\r\n%sContent-Length: %d\r\n\r\n%s", class, searchName, class, head, len(body), body)
}

const fourParts = `{"ranges":[{"range":0,"portion":0.25},{"range":1,"portion":0.25},{"range":2,"portion":0.25,` +
	`"price":9000,"hash":"5be2a07c19f04d63"},{"range":3,"portion":0.25}],"predicate":"what"}`

func (c *testClient) send(text string) *testClient {
	_, err := c.Write([]byte(text))
	require.NoError(c.r.t, err)
	return c
}

func (c *testClient) readAnswer() (status int, head map[string]string, body string, keep bool) {
	status, head, text, keep, err := c.rd.ReadResponse()
	require.NoError(c.r.t, err, "%s", c.r.log)
	return status, head, string(text), keep
}

// expect sends a search of four shards and checks the answer; an empty body stands for any.
func (c *testClient) expect(searchName, class string, status int, body string) {
	c.send(request(searchName, class, "", fourParts))
	got, _, text, _ := c.readAnswer()
	require.Equal(c.r.t, status, got, "%s\n%s", text, c.r.log)
	if body != "" {
		require.JSONEq(c.r.t, body, text)
	}
}

const completeAnswer = `{"total":true,"answers":[{"range":0,"blob":"what@0"},{"range":1,"blob":"what@1"},
	{"range":2,"blob":"what@2"},{"range":3,"blob":"what@3"}]}`
