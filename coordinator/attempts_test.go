package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/balancer"
)

// An attempt of a keyed shard request counts as a repeat only if an earlier attempt may have run; a repeat may use only
// connections that were up before the first attempt. Guards against taking an attempt after a refused dial for a repeat:
// no connection is that old, so it could be sent nowhere.
func TestKeyedRequestThatNeverRanIsNoRepeat(t *testing.T) {
	var hosts sync.Map // addresses of the hosts of cell 0
	var dials atomic.Int32
	r := startWithOptions(t, nil, 256, func(settings map[string]any) {
		class := settings["Classes"].([]any)[1].(map[string]any)
		class["Effect"], class["RepeatWindow"] = "dedup", 4000.0
		settings["Permissions"].(map[string]any)["SecondCopies"] = false
	}, nil, nil, func(m *Options) {
		own := m.Dial
		m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if _, ok := hosts.Load(addr); ok && dials.Add(1) == 1 {
				return nil, errors.New("refused")
			}
			return own(ctx, network, addr)
		}
	})
	for _, hostID := range []string{"a0", "a1"} {
		hosts.Store(r.replicas[hostID].Listener.Addr().String(), true)
	}
	c := r.connect()
	c.send(request("q", "all", "", `{"ranges":[{"range":0,"portion":1}],"predicate":"what"}`))
	status, _, text, _ := c.readAnswer()
	require.Equal(t, 200, status, "%s", r.log)
	require.JSONEq(t, `{"total":true,"answers":[{"range":0,"blob":"what@0"}]}`, text)
	require.EqualValues(t, 2, dials.Load())
	r.shutDown()
}

// The outcomes of the earlier attempts of a keyed shard request decide whether the next attempt is a repeat: it is if one
// of them may have run. Guards against sending a repeat to a replica that does not drop it, and against holding back an
// attempt that is safe.
func TestFirstSentAt(t *testing.T) {
	for _, x := range []struct {
		outcomes string
		want     int64
	}{
		{"Ignored", 0},
		{"ConnectError", 0},
		{"QueueFull", 0},
		{"ConnectError Ignored", 0},
		{"ResetByPeer", 1},
		{"TimedOut", 1},
		{"Canceled", 1},
		{"Failed", 1},
		{"ConnectError ResetByPeer", 2},
		{"ResetByPeer ConnectError", 1},
		{"QueueFull Failed Canceled", 2},
	} {
		loop := &eventLoop{rules: dispatchRules{keyedClasses: []bool{true, false}}, balancer: outcomeRecorder{}, searches: searchTable{shardRequests: map[uint64]*shardRequest{}}}
		request := &shardRequest{search: &search{}}
		for i, outcome := range strings.Fields(x.outcomes) {
			current := &attempt{shardRequest: request, index: int32(i), sentAt: int64(i + 1)}
			request.attempts = append(request.attempts, current)
			require.Equal(t, int64(0), loop.firstSentAt(&attempt{shardRequest: &shardRequest{search: &search{class: 1}, attempts: request.attempts}, index: 1}))
			loop.recordOutcome(current, outcome, nil)
		}
		require.Equal(t, x.want, loop.firstSentAt(&attempt{shardRequest: request, index: int32(len(request.attempts))}), x.outcomes)
	}
	for stage, want := range map[int32]int64{stageQueued: 0, stageWriting: 7, stageWritten: 7} { // the earlier attempt was given up
		loop, _, s := oneAttemptInFlight(stage)
		loop.rules.keyedClasses = []bool{true}
		request := s.shardRequests[0]
		request.attempts[0].sentAt = 7
		loop.CancelAttempt(request.id, 0)
		require.Equal(t, want, loop.firstSentAt(&attempt{shardRequest: request, index: 1}), "stage %d", stage)
	}
}

// outcomeRecorder is a balancer that records outcomes and does nothing else; with a nil slice it drops them.
type outcomeRecorder struct {
	balancer.Balancer
	outcomes *[]string
}

func (d outcomeRecorder) RecordAttemptOutcome(_ uint64, _ int, ending string, _ int64, _ bool, _ map[string]float64) {
	if d.outcomes != nil {
		*d.outcomes = append(*d.outcomes, ending)
	}
}

// twoAttemptsInFlight returns a search with two attempts on a connection that is up and has no writer. Both are queued in
// one batch, or each is in its own batch, of which the first is queued and the second is written.
func twoAttemptsInFlight(twoBatches bool) (*eventLoop, *replicaConnection, *search) {
	loop, conn, search := oneAttemptInFlight(stageQueued)
	conn.connectedAt, loop.log = 1, newAsyncLogger(SystemClock{}, slog.DiscardHandler)
	request := &shardRequest{id: 3, search: search, shard: 1, unreported: 1}
	current := search.shardRequests[0].attempts[0].batch
	if twoBatches {
		current = &batch{connection: conn, message: &outboundMessage{}}
		current.message.stage.Store(stageWritten)
		conn.openBatches++
	}
	second := &attempt{shardRequest: request, name: "q.1", batch: current}
	current.attempts, conn.attempts, request.attempts, search.shardRequests = append(current.attempts, second), append(conn.attempts, second), []*attempt{second}, append(search.shardRequests, request)
	loop.searches.shardRequests[3] = request
	return loop, conn, search
}

// A search that ends takes all its attempts off a batch in one step. If they were taken off one by one, a message with
// the remaining ones could be sent in between.
func TestBatchIsRecalledTogether(t *testing.T) {
	loop, conn, current := twoAttemptsInFlight(false)
	require.Empty(t, loop.finishSearch(current))
	require.Empty(t, conn.queue)
	require.Empty(t, conn.attempts)
	require.Equal(t, []string{"Ignored", "Ignored"}, []string{loop.events.next[0].outcome, loop.events.next[1].outcome})
	require.Zero(t, conn.openBatches)

	loop, conn, current = twoAttemptsInFlight(false) // attempts of another search stay in the batch
	other := &search{id: 9}
	current.shardRequests[1].search, current.shardRequests = other, current.shardRequests[:1]
	require.Empty(t, loop.finishSearch(current))
	require.Len(t, loop.events.next, 1)
	require.Len(t, conn.queue, 1)
	require.Equal(t, "q.1", conn.attempts[0].name)
	message := <-conn.queue
	require.Equal(t, stageQueued, message.stage.Load())
	require.NotContains(t, string(*message.buffer), "q.0")
	require.Contains(t, string(*message.buffer), "q.1")
}

// An attempt that is canceled before its write begins is reported as never sent, so that it may be retried whatever
// effect its class has. Guards against reporting it as canceled, which means that it may have run.
func TestCanceledBeforeSent(t *testing.T) {
	for stage, want := range map[int32]string{stageQueued: "Ignored", stageWriting: "Canceled", stageWritten: "Canceled"} {
		loop, _, _ := oneAttemptInFlight(stage)
		loop.CancelAttempt(2, 0)
		require.Equal(t, want, loop.events.next[0].outcome, "stage %d", stage)
	}
}

// A repeat that is still queued on the connection when the first attempt is answered late is not sent: it would run for
// nothing.
func TestAnswerWhileRepeatWaits(t *testing.T) {
	for stage, want := range map[int32]int32{stageQueued: stageRecalled, stageWriting: stageWriting, stageWritten: stageWritten} {
		var outcomes []string
		loop, conn, search := oneAttemptInFlight(stage)
		loop.balancer = outcomeRecorder{outcomes: &outcomes}
		conn.recentIDs = map[string]uint64{"q.0": search.id}
		message := search.shardRequests[0].attempts[0].batch.message
		loop.handleAnswer(conn, []byte("q.0"), "Ok", zeroScore, nil, []byte("v"), nil)
		require.Equal(t, []string{"Ok"}, outcomes)
		require.True(t, search.shardRequests[0].completed)
		require.Equal(t, want, message.stage.Load())
		require.Empty(t, conn.attempts)
	}
}

// A malformed answer fails one of the attempts that were written. Guards against failing one that is still queued ahead
// of them, which cannot have caused it.
func TestMalformedAnswerWhileAttemptWaits(t *testing.T) {
	var outcomes []string
	loop, conn, _ := twoAttemptsInFlight(true)
	loop.balancer = outcomeRecorder{outcomes: &outcomes}
	loop.handleConnectionEnd(conn, errMalformed, "x")
	require.Equal(t, []string{"Ignored", "Failed"}, outcomes)
}

// A repeat of a keyed shard request that the writer reaches after the idempotency window is not sent, and is reported
// to the balancer as never sent: the replica may have forgotten the first attempt and would run the repeat.
func TestRepeatsAreSentWithinTheirWindow(t *testing.T) {
	for late, want := range map[bool]int32{false: stageWritten, true: stageRecalled} {
		var outcomes []string
		loop, conn, search := oneAttemptInFlight(stageWritten)
		now := int64(1000)
		loop.rules.keyedClasses, loop.rules.repeatWindows, loop.balancer, loop.now = []bool{true}, []int64{3000}, outcomeRecorder{outcomes: &outcomes}, now
		loop.ctx, loop.tasks = t.Context(), make(chan func(), 4)
		conn.connectedAt, conn.clockTicks = 1, func() int64 { return now }
		conn.onMissedDeadline = func(message *outboundMessage) { loop.submit(func() { loop.handleMissedDeadline(conn, message) }) }
		request := search.shardRequests[0]
		request.attempts[0].sentAt, request.attempts[0].replica = now, conn.replica
		loop.CancelAttempt(request.id, 0)
		current := &batch{connection: conn}
		repeat := &attempt{shardRequest: request, index: 1, name: "q.0", batch: current, deadline: 50_000, replica: conn.replica}
		current.attempts, conn.attempts, request.attempts = []*attempt{repeat}, []*attempt{repeat}, append(request.attempts, repeat)
		request.unreported, conn.openBatches = request.unreported+1, 1
		now += 2900
		loop.now = now
		loop.queueBatch(current)
		if late {
			now += 90 // 1 ms before the end of the window, within repeatWindowMargin
		}
		var out strings.Builder
		<-conn.queue // the cancel frame
		require.NoError(t, conn.writeCoalesced(writes{to: &out}, <-conn.queue, func(*outboundMessage) error { return nil }))
		require.Equal(t, want, current.message.stage.Load(), "late: %t", late)
		require.Equal(t, !late, out.Len() > 0)
		if late {
			(<-loop.tasks)()
			require.Equal(t, "Ignored", loop.events.next[len(loop.events.next)-1].outcome)
			require.Empty(t, conn.attempts)
		}
	}
}

// Requests of several tenants and classes follow one another on one connection, sent in pieces. Each search has the
// class, tenant, key, timeout and retry mark of its own request. Guards against a header that a request lacks being
// taken over from the request before it.
func TestTenantsShareOneConnection(t *testing.T) {
	r := start(t, 256, nil)
	p := r.useScriptedBalancer()
	type added struct {
		qtype, tenant int
		key           string
		grace         int64
		retry         bool
	}
	got := make(chan added, 64)
	p.onAddSearch = func(_ uint64, qtype, tenant int, key string, grace int64, retry bool) {
		got <- added{qtype, tenant, key, grace, retry}
	}
	c := r.connect()
	for i := range 30 {
		class, tenant, key := i%3, i%2, fmt.Sprintf("%016x", i)
		name := []string{"some", "all", "deep"}[class]
		seconds := 1 + i%7
		head := ""
		if i%4 == 0 {
			head = "X-Retry: 1\r\n"
		}
		if i%5 == 0 {
			key = ""
		}
		text := request(fmt.Sprint("q", i), name, head, onePart)
		text = strings.Replace(text, "X-Tenant: acme", "X-Tenant: "+[]string{"acme", "other"}[tenant], 1)
		text = strings.Replace(text, "X-Deadline: 8.000", fmt.Sprintf("X-Deadline: %d", seconds), 1)
		if text = strings.Replace(text, "?k=7f", "?k="+key, 1); key == "" {
			text = strings.Replace(text, "?k=", "", 1)
		}
		for at, step := 0, 1+i*13%97; at < len(text); at += step {
			c.send(text[at:min(len(text), at+step)])
		}
		id := (<-p.searches)[0]
		a := <-got
		require.Equal(t, added{class, tenant, key, a.grace, i%4 == 0}, a, "request %d", i)
		require.LessOrEqual(t, a.grace, int64(seconds)*10_000)
		require.Greater(t, a.grace, int64(seconds-1)*10_000, "request %d", i)
		r.runInLoop(func(loop *eventLoop) { loop.ShedSearch(id, 0) })
		status, _, _, _ := c.readAnswer()
		require.Equal(t, 503, status)
	}
	r.shutDown()
}
