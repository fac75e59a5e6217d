package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"chalkring/internal/golden"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"

	"chalkring/balancer"
)

// sentBytes collects what is written on connections, by address.
type sentBytes struct {
	mu   sync.Mutex
	text map[string]string
}

func (s *sentBytes) at(addr string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text[addr]
}

type recordedConn struct {
	*net.TCPConn
	addr string
	to   *sentBytes
}

func (c recordedConn) Write(p []byte) (int, error) {
	c.to.mu.Lock()
	c.to.text[c.addr] += string(p)
	c.to.mu.Unlock()
	return c.TCPConn.Write(p)
}

// startRecorded starts a coordinator whose bytes to replicas and discovery are collected.
func startRecorded(t *testing.T) (*rig, *sentBytes) {
	sent := &sentBytes{text: map[string]string{}}
	return startIn(t, nil, 256, nil, nil, nil, func(m *Options) {
		dial := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return recordedConn{conn.(*net.TCPConn), addr, sent}, nil
		}
	}), sent
}

// What one replica gets for a shard request and for its cancelling has the bytes of the golden file; the milliseconds that are
// left, of seven digits, are replaced by #.
func TestGoldenReplicaConnection(t *testing.T) {
	r, sent := startRecorded(t)
	module := r.puppet()
	held := make(chan asked, 1)
	r.replicas["a0"].SetHandler(func(p asked) { held <- p })
	c := r.connect().send(strings.Replace(request("q", "all", "", onePart), "8.000", "3600.000", 1))
	ids := <-module.searches
	r.runInLoop(func(loop *eventLoop) { loop.SendAttempt(ids[1], "a0", 0) })
	<-held
	r.runInLoop(func(loop *eventLoop) { loop.CancelAttempt(ids[1], 0) })
	r.eventually("the cancel is out", func() bool { _, given, _, _ := r.replicas["a0"].Observed(); return len(given) == 1 })
	r.runInLoop(func(loop *eventLoop) { loop.FailSearch(ids[0]) })
	c.readAnswer()
	text := regexp.MustCompile(`d=\d{7} `).ReplaceAllString(sent.at(r.replicas["a0"].Listener.Addr().String()), "d=# ")
	golden.Require(t, "replica_connection.golden", fmt.Sprintf("%q\n", text))
	r.shutDown()
}

// callOf is one call with shard requests of a search, which has so many tenths of a millisecond left.
func callOf(addr string, left int64, parts ...*shardRequest) *batch {
	current := &batch{connection: &replicaConnection{replica: &replica{id: "h", addr: addr}}}
	for _, request := range parts {
		current.attempts = append(current.attempts, &attempt{shardRequest: request, name: string(request.appendName(nil)), deadline: 1000 + left})
	}
	return current
}

// Calls in both wire protocols have the bytes of the golden file: a shard, two shards, second steps, and searches that have no
// time left.
func TestGoldenReplicaCalls(t *testing.T) {
	loop := &eventLoop{now: 1000}
	first := &search{name: "q-1", text: []byte("two\nlines é")}
	second := &search{name: "q-2", text: []byte(`{"query":{"match_all":{}}}`), firstStepShards: []int{0, 3, 12}, firstStepComplete: true}
	partial := &search{name: "q-3", firstStepShards: []int{7}}
	var out strings.Builder
	for _, x := range []struct {
		name string
		c    *batch
	}{
		{"one shard", callOf("10.0.0.1:9200", 80_000, &shardRequest{search: first, step: 1, shard: 3})},
		{"two shards of two searches", callOf("10.0.0.1:9200", 2_405, &shardRequest{search: first, step: 1, shard: 12}, &shardRequest{search: second, step: 1, shard: 0})},
		{"second step, whole", callOf("10.0.0.1:9200", 2_405, &shardRequest{search: second, step: 2, shard: 12})},
		{"second step, partial", callOf("[::1]:9200", 19, &shardRequest{search: partial, step: 2, shard: 7})},
		{"no time left", callOf("10.0.0.1:9200", -5, &shardRequest{search: first, step: 1, shard: 3})},
	} {
		fmt.Fprintf(&out, "== %s\n%q\n", x.name, frameProtocol{}.appendBatch(loop, nil, x.c))
		quotedLines(&out, "<", string(openSearchProtocol{HostKind{Index: "members of/é"}}.appendBatch(loop, nil, x.c)))
	}
	golden.Require(t, "replica_calls.golden", out.String())
}

// Answers of OpenSearch hosts count as the golden file says: status, body, and what the decision module is told.
func TestGoldenHostOutcomes(t *testing.T) {
	const good = `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},` +
		`"hits":{"total":{"value":1,"relation":"eq"},"max_score":1,"hits":[{"_index":"members","_id":"a","_score":1,"sort":[1,"a"]}]}}`
	var out strings.Builder
	for _, status := range []int{200, 201, 204, 400, 404, 408, 429, 500, 502, 503, 504} {
		outcome, _ := openSearchProtocol{HostKind{Index: "members"}}.classifyResponse(status, []byte(good), 3)
		fmt.Fprintf(&out, "%d %s\n", status, outcome)
	}
	for _, body := range []string{
		good, strings.Replace(good, `"members"`, `"other"`, 1), strings.Replace(good, `"timed_out":false`, `"timed_out":true`, 1),
		strings.Replace(good, `"failed":0`, `"failed":1`, 1), strings.Replace(good, `"hits":[`, `"hats":[`, 1), `{}`, ``, `[]`,
	} {
		outcome, _ := openSearchProtocol{HostKind{Index: "members"}}.classifyResponse(200, []byte(body), 3)
		fmt.Fprintf(&out, "%q %s\n", body, outcome)
	}
	for _, end := range []string{"good", "bad", "later", "", "GOOD", "busy"} {
		fmt.Fprintf(&out, "%q %q\n", end, frameOutcomes[end])
	}
	golden.Require(t, "host_outcomes.golden", out.String())
}

// Requests to discovery have the bytes of the golden file: calls for changes, and the call for the whole list once versions
// have begun again. The address is replaced by DISCOVERY.
func TestGoldenDiscoveryRequests(t *testing.T) {
	r, sent := startRecorded(t)
	whole := fmt.Sprintf(`"full":true,"servers":[%s,%s]}`, r.entry("a0", "up"), r.entry("b0", "up"))
	<-r.list.Targets
	r.list.Responses <- `{"version":12,"full":false,"servers":[]}`
	<-r.list.Targets
	r.list.Responses <- `{"version":3,` + whole
	<-r.list.Targets
	r.list.Responses <- `{"version":3,` + whole
	<-r.list.Targets
	addr := r.list.Listener.Addr().String()
	requests := strings.SplitAfter(strings.ReplaceAll(sent.at(addr), addr, "DISCOVERY"), "\r\n\r\n")
	var out strings.Builder
	for _, text := range requests[:4] {
		fmt.Fprintf(&out, "%q\n", text)
	}
	golden.Require(t, "discovery_requests.golden", out.String())
	r.shutDown()
}

// toldEntries stands in the decision module's place and keeps what it is told of lists.
type toldEntries struct {
	balancer.Balancer
	out *strings.Builder
}

func (m toldEntries) AddEndpoint(replica string, zone, kind, cell int, status string, units float64, since int64) {
	fmt.Fprintf(m.out, "  entry %q zone=%d kind=%d cell=%d %s weight=%g since=%d\n", replica, zone, kind, cell, status, units, since)
}

func (m toldEntries) CommitEndpoints(how string, version int64) {
	fmt.Fprintf(m.out, "  list %s %d\n", how, version)
}

// Lists from discovery are read as the golden file says: each body, then what the decision module is told and where hosts are.
func TestGoldenListsRead(t *testing.T) {
	initial, err := parsePlan(planOf(t, func(map[string]any) {}))
	require.NoError(t, err)
	var out strings.Builder
	loop := &eventLoop{
		plan: initial, replicas: replicaTable{byID: map[string]*replica{}}, balancer: toldEntries{out: &out}, log: newAsyncLogger(SystemClock{}, slog.DiscardHandler),
		Options: Options{HostKinds: map[string]HostKind{"search": {Index: "members"}}}, timers: timerSet{balancer: map[uint64]*balancerTimer{}},
	}
	for body := range strings.Lines(string(golden.Read(t, "lists_in.golden"))) {
		fmt.Fprint(&out, body)
		all, err := plan.DecodeObject([]byte(body))
		if err != nil {
			fmt.Fprintf(&out, "  no object\n")
			continue
		}
		list, err := plan.NewEndpointList(all)
		if err != nil {
			fmt.Fprintf(&out, "  unusable\n")
			continue
		}
		for _, host := range list.Hosts {
			fmt.Fprintf(&out, "  host %q %q zone=%q kind=%q cell=%d state=%d weight=%g started_ms=%d removed=%t\n", host.ID, host.Addr,
				host.Zone, host.Kind, host.Cell, host.State, host.Weight, host.StartedMS, host.Removed)
		}
		how := "Partial"
		if list.Full {
			how = "Complete"
		}
		loop.applyEndpointList(how, list)
		var known []string
		for hostID, current := range loop.replicas.byID {
			_, speaksAPI := current.protocol.(openSearchProtocol)
			known = append(known, fmt.Sprintf("%s=%s,api=%t,closed=%t", hostID, current.addr, speaksAPI, current.closedToNew))
		}
		slices.Sort(known)
		fmt.Fprintf(&out, "  version %g fleet %s\n", list.Version, strings.Join(known, " "))
	}
	golden.Require(t, "lists_read.golden", out.String())
}
