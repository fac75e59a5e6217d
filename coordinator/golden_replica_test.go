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

// recordedConn adds what is written on it to sentBytes.
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
	return startWithOptions(t, nil, 256, nil, nil, nil, func(m *Options) {
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

// The bytes that a replica receives for a shard request and its cancellation match the golden file; the remaining time,
// seven digits that count milliseconds, is replaced by #. Guards against changes of the wire form.
func TestGoldenReplicaConnection(t *testing.T) {
	r, sent := startRecorded(t)
	scripted := r.useScriptedBalancer()
	held := make(chan receivedRequest, 1)
	r.replicas["a0"].SetHandler(func(p receivedRequest) { held <- p })
	c := r.connect().send(strings.Replace(request("q", "all", "", onePart), "8.000", "3600.000", 1))
	ids := <-scripted.searches
	r.runInLoop(func(loop *eventLoop) { loop.SendAttempt(ids[1], "a0", 0) })
	<-held
	r.runInLoop(func(loop *eventLoop) { loop.CancelAttempt(ids[1], 0) })
	r.eventually("the cancel frame has arrived", func() bool { _, canceled, _, _ := r.replicas["a0"].Observed(); return len(canceled) == 1 })
	r.runInLoop(func(loop *eventLoop) { loop.FailSearch(ids[0]) })
	c.readAnswer()
	text := regexp.MustCompile(`d=\d{7} `).ReplaceAllString(sent.at(r.replicas["a0"].Listener.Addr().String()), "d=# ")
	golden.Require(t, "replica_connection.golden", fmt.Sprintf("%q\n", text))
	r.shutDown()
}

// batchOf returns a batch with an attempt for each shard request, each with ticksLeft ticks until its deadline.
func batchOf(addr string, ticksLeft int64, shardRequests ...*shardRequest) *batch {
	current := &batch{connection: &replicaConnection{replica: &replica{id: "h", addr: addr}}}
	for _, request := range shardRequests {
		current.attempts = append(current.attempts, &attempt{shardRequest: request, name: string(request.appendName(nil)), deadline: 1000 + ticksLeft})
	}
	return current
}

// Batches in both wire protocols match the golden file byte by byte: one shard, two shards, second steps, and a search with
// no time left. Guards against changes of the wire form.
func TestGoldenReplicaCalls(t *testing.T) {
	loop := &eventLoop{now: 1000}
	first := &search{name: "q-1", text: []byte("two\nlines é")}
	second := &search{name: "q-2", text: []byte(`{"query":{"match_all":{}}}`), firstStepShards: []int{0, 3, 12}, firstStepComplete: true}
	partial := &search{name: "q-3", firstStepShards: []int{7}}
	var out strings.Builder
	for _, x := range []struct {
		name string
		sent *batch
	}{
		{"one shard", batchOf("10.0.0.1:9200", 80_000, &shardRequest{search: first, step: 1, shard: 3})},
		{"two shards of two searches", batchOf("10.0.0.1:9200", 2_405, &shardRequest{search: first, step: 1, shard: 12}, &shardRequest{search: second, step: 1, shard: 0})},
		{"second step, whole", batchOf("10.0.0.1:9200", 2_405, &shardRequest{search: second, step: 2, shard: 12})},
		{"second step, partial", batchOf("[::1]:9200", 19, &shardRequest{search: partial, step: 2, shard: 7})},
		{"no time left", batchOf("10.0.0.1:9200", -5, &shardRequest{search: first, step: 1, shard: 3})},
	} {
		fmt.Fprintf(&out, "== %s\n%q\n", x.name, frameProtocol{}.appendBatch(loop, nil, x.sent))
		quotedLines(&out, "<", string(openSearchProtocol{HostKind{Index: "members of/é"}}.appendBatch(loop, nil, x.sent)))
	}
	golden.Require(t, "replica_calls.golden", out.String())
}

// The outcomes of hosts' answers match the golden file: by HTTP status, by body, and by the outcome word of a frame.
// Guards against changes of the outcome that the balancer gets for an answer.
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

// Requests to discovery match the golden file byte by byte: requests for changes, and the one for the full list after
// discovery's versions have started over. The address is replaced by DISCOVERY. Guards against changes of the wire form.
func TestGoldenDiscoveryRequests(t *testing.T) {
	r, sent := startRecorded(t)
	fullList := fmt.Sprintf(`"full":true,"servers":[%s,%s]}`, r.entry("a0", "up"), r.entry("b0", "up"))
	<-r.list.Targets
	r.list.Responses <- `{"version":12,"full":false,"servers":[]}`
	<-r.list.Targets
	r.list.Responses <- `{"version":3,` + fullList
	<-r.list.Targets
	r.list.Responses <- `{"version":3,` + fullList
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

// endpointRecorder is a balancer that writes down the endpoint lists that it is given.
type endpointRecorder struct {
	balancer.Balancer
	out *strings.Builder
}

func (m endpointRecorder) AddEndpoint(replica string, zone, kind, cell int, status string, units float64, since int64) {
	fmt.Fprintf(m.out, "  entry %q zone=%d kind=%d cell=%d %s weight=%g since=%d\n", replica, zone, kind, cell, status, units, since)
}

func (m endpointRecorder) CommitEndpoints(how string, version int64) {
	fmt.Fprintf(m.out, "  list %s %d\n", how, version)
}

// Endpoint lists from discovery are read as in the golden file: after each body come the hosts read from it, what the
// balancer is given, and the resulting replicas. Guards against lists that are read differently.
func TestGoldenListsRead(t *testing.T) {
	initial, err := parsePlan(planOf(t, func(map[string]any) {}))
	require.NoError(t, err)
	var out strings.Builder
	loop := &eventLoop{
		plan: initial, replicas: replicaTable{byID: map[string]*replica{}}, balancer: endpointRecorder{out: &out}, log: newAsyncLogger(SystemClock{}, slog.DiscardHandler),
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
