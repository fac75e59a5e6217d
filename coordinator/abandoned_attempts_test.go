package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/balancer"
)

// scriptedBalancer is a balancer that decides nothing and records what is reported to it.
type scriptedBalancer struct {
	balancer.Balancer
	r           *rig
	searches    chan [2]uint64 // ids of a search and of its shard request for shard 0
	lastSearch  uint64
	outcomes    chan string
	onAddSearch func(id uint64, qtype, tenant int, key string, grace int64, retry bool) // may be nil
}

func (p *scriptedBalancer) AddSearch(id uint64, qtype, tenant int, key string, grace int64, _ uint64, _ int, retry bool) {
	if p.lastSearch = id; p.onAddSearch != nil {
		p.onAddSearch(id, qtype, tenant, key, grace, retry)
	}
}

func (p *scriptedBalancer) AddShardRequest(id, number uint64, shard int, _ float64) {
	if p.lastSearch == number && shard == 0 {
		p.searches <- [2]uint64{number, id}
	}
}

func (p *scriptedBalancer) RecordAttemptOutcome(_ uint64, _ int, ending string, _ int64, _ bool, _ map[string]float64) {
	p.outcomes <- ending
}

func (*scriptedBalancer) BeginIteration(int64) {}

func (*scriptedBalancer) EndIteration() {}

func (*scriptedBalancer) SetUtilization(float64) {}

func (*scriptedBalancer) CancelSearch(uint64) {}

func (*scriptedBalancer) HandleTimer(uint64) {}

func (*scriptedBalancer) CommitEndpoints(string, int64) {}

func (*scriptedBalancer) AddEndpoint(string, int, int, int, string, float64, int64) {}

// expectOutcome waits for the next outcome and checks it.
func (p *scriptedBalancer) expectOutcome(want string) {
	select {
	case got := <-p.outcomes:
		require.Equal(p.r.t, want, got)
	case <-time.After(testTimeout):
		require.Fail(p.r.t, "no outcome", want)
	}
}

// expectNoOutcome lets the event loop run a few tasks and checks that no outcome has been reported.
func (p *scriptedBalancer) expectNoOutcome() {
	for range 3 {
		p.r.runInLoop(func(*eventLoop) {})
	}
	require.Empty(p.r.t, p.outcomes)
}

// useScriptedBalancer replaces the rig's balancer by a scripted one.
func (r *rig) useScriptedBalancer() *scriptedBalancer {
	p := &scriptedBalancer{r: r, searches: make(chan [2]uint64, 1024), outcomes: make(chan string, 1024)}
	r.runInLoop(func(loop *eventLoop) { loop.balancer = p })
	return p
}

const onePart = `{"ranges":[{"range":0,"portion":1}],"predicate":"what"}`

// Without second copies, the outcome of an attempt that was given up is reported only once the attempt is over at its
// replica, since the balancer may retry from then on and the shard request could run twice. Writing the cancel frame,
// receiving something else and closing the connection here do not show that it is over: over a silent connection neither
// frame nor close arrives. If the replica answers late, the outcome is that of the answer. With second copies the outcome
// is reported at once.
func TestAbandonedAttemptsWithoutSecondCopies(t *testing.T) {
	type fixture struct {
		*rig
		held           chan receivedRequest // shard requests that a0 received and has not answered
		p              *scriptedBalancer
		shardRequestID uint64
		conn           *replicaConnection
	}
	for name, x := range map[string]struct {
		secondCopies bool
		then         func(a fixture)
		want         string
	}{
		"second copies are allowed": {true, func(fixture) {}, "Canceled"},
		"answered after the cancel frame": {false, func(a fixture) {
			first := <-a.held
			a.eventually("the cancel frame has arrived", func() bool { return a.canceledAttempts() == 1 })
			a.p.expectNoOutcome()
			first.ReplyGood()
		}, "Ok"},
		"refused after the cancel frame": {false, func(a fixture) {
			first := <-a.held
			a.eventually("the cancel frame has arrived", func() bool { return a.canceledAttempts() == 1 })
			first.Reply("later", "-", "")
		}, "QueueFull"},
		"answered on a retired connection": {false, func(a fixture) {
			first := <-a.held
			a.runInLoop(func(loop *eventLoop) { loop.retireConnection(a.conn) })
			a.p.expectNoOutcome()
			first.ReplyGood()
		}, "Ok"},
		"another attempt is answered, then the replica resets the connection": {false, func(a fixture) {
			<-a.held
			c := a.connect().send(request("other", "all", "", onePart))
			ids := <-a.p.searches
			a.runInLoop(func(loop *eventLoop) { loop.SendAttempt(ids[1], "a0", 0) })
			(<-a.held).ReplyGood()
			a.p.expectOutcome("Ok")
			a.runInLoop(func(loop *eventLoop) { loop.AnswerSearch(ids[0], true) })
			status, _, _, _ := c.readAnswer()
			require.Equal(a.t, 200, status)
			a.p.expectNoOutcome()
			a.replicas["a0"].ResetConnections()
		}, "Canceled"},
		"connection closed here, then the search ends": {false, func(a fixture) {
			a.runInLoop(func(*eventLoop) { a.conn.closeNow(errRetired) })
			a.eventually("the connection has ended", func() (ended bool) {
				a.runInLoop(func(loop *eventLoop) { ended = len(loop.replicas.byID["a0"].connections) == 0 })
				return ended
			})
			a.p.expectNoOutcome()
			a.runInLoop(func(loop *eventLoop) { loop.FailSearch(loop.searches.shardRequests[a.shardRequestID].search.id) })
		}, "Canceled"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startHooked(t, 256, func(settings map[string]any) {
				settings["Permissions"].(map[string]any)["SecondCopies"] = x.secondCopies
			}, nil, nil, nil)
			a := fixture{r, make(chan receivedRequest, 8), r.useScriptedBalancer(), 0, nil}
			r.replicas["a0"].SetHandler(func(p receivedRequest) { a.held <- p })
			c := r.connect().send(request("q", "all", "", onePart))
			a.shardRequestID = (<-a.p.searches)[1]
			r.runInLoop(func(loop *eventLoop) { loop.SendAttempt(a.shardRequestID, "a0", 0) })
			r.eventually("a0 has the attempt", func() bool {
				r.runInLoop(func(loop *eventLoop) { // this may run in the iteration that sends the attempt, before it has a connection
					if conns := loop.replicas.byID["a0"].connections; len(conns) > 0 {
						a.conn = conns[0]
					}
				})
				return a.conn != nil && r.replicas["a0"].CountRequests() == 1
			})
			r.runInLoop(func(loop *eventLoop) { loop.CancelAttempt(a.shardRequestID, 0) })
			x.then(a)
			a.p.expectOutcome(x.want)
			r.runInLoop(func(loop *eventLoop) {
				require.Empty(t, loop.replicas.abandoned)
				if shardReq := loop.searches.shardRequests[a.shardRequestID]; shardReq != nil {
					require.Equal(t, x.want == "Ok", shardReq.completed)
					loop.FailSearch(shardReq.search.id)
				}
			})
			status, _, _, _ := c.readAnswer()
			require.Equal(t, 500, status)
			r.shutDown()
		})
	}
}

// With residency contracts, a late answer to a canceled attempt must not be used: it may come from a forbidden zone.
func TestLateAnswerWithResidencyContracts(t *testing.T) {
	for _, hasContracts := range []bool{false, true} {
		var outcomes []string
		loop, conn, search := oneAttemptInFlight(stageWritten)
		loop.rules.allowsSecondCopies, loop.replicas.abandoned, loop.balancer = false, map[*attempt]*abandonedAttempt{}, outcomeRecorder{outcomes: &outcomes}
		if hasContracts {
			loop.enforcer = &residencyEnforcer{}
		}
		request := search.shardRequests[0]
		loop.CancelAttempt(request.id, 0)
		require.Empty(t, loop.events.next)
		loop.handleAnswer(conn, []byte("q.0"), "Ok", zeroScore, nil, []byte("v"), nil)
		require.Equal(t, []string{map[bool]string{false: "Ok", true: "Canceled"}[hasContracts]}, outcomes)
		require.Equal(t, !hasContracts, request.completed)
		require.Empty(t, loop.replicas.abandoned)
	}
}
