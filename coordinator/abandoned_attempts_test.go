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
	r        *rig
	searches chan [2]uint64 // ids of a search and of its first part
	last     uint64
	outcomes chan string
	asked    func(id uint64, qtype, tenant int, key string, grace int64, retry bool) // may be nil
}

func (p *scriptedBalancer) AddSearch(id uint64, qtype, tenant int, key string, grace int64, _ uint64, _ int, retry bool) {
	if p.last = id; p.asked != nil {
		p.asked(id, qtype, tenant, key, grace, retry)
	}
}

func (p *scriptedBalancer) AddShardRequest(id, number uint64, shard int, _ float64) {
	if p.last == number && shard == 0 {
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

// expectOutcome waits for the next outcome.
func (p *scriptedBalancer) expectOutcome(want string) {
	select {
	case got := <-p.outcomes:
		require.Equal(p.r.t, want, got)
	case <-time.After(patience):
		require.Fail(p.r.t, "no outcome", want)
	}
}

// expectNoOutcome waits for an iteration and checks that no outcome has been reported.
func (p *scriptedBalancer) expectNoOutcome() {
	for range 3 {
		p.r.runInLoop(func(*eventLoop) {})
	}
	require.Empty(p.r.t, p.outcomes)
}

// puppet replaces the rig's balancer by a scripted one.
func (r *rig) puppet() *scriptedBalancer {
	p := &scriptedBalancer{r: r, searches: make(chan [2]uint64, 1024), outcomes: make(chan string, 1024)}
	r.runInLoop(func(loop *eventLoop) { loop.balancer = p })
	return p
}

const onePart = `{"ranges":[{"range":0,"portion":1}],"predicate":"what"}`

// Without second copies, the outcome of an attempt that is given up is reported to the balancer, which may then retry,
// only once the attempt is over at its replica: not when the cancel frame is written, when something else is received,
// or when the connection is closed here, since neither arrives over a silent connection. An answer that comes all the
// same counts. With second copies the outcome is reported at once.
func TestAbandonedAttemptsWithoutSecondCopies(t *testing.T) {
	type at struct {
		*rig
		hold chan asked
		p    *scriptedBalancer
		part uint64
		l    *replicaConnection
	}
	for name, x := range map[string]struct {
		copies bool
		then   func(a at)
		told   string
	}{
		"copies are allowed": {true, func(at) {}, "Canceled"},
		"answered all the same": {false, func(a at) {
			first := <-a.hold
			a.eventually("the cancel frame has come", func() bool { return a.canceledAttempts() == 1 })
			a.p.expectNoOutcome()
			first.ReplyGood()
		}, "Ok"},
		"refused all the same": {false, func(a at) {
			first := <-a.hold
			a.eventually("the cancel frame has come", func() bool { return a.canceledAttempts() == 1 })
			first.Reply("later", "-", "")
		}, "QueueFull"},
		"its connection is retired, and it is answered": {false, func(a at) {
			first := <-a.hold
			a.runInLoop(func(loop *eventLoop) { loop.retireConnection(a.l) })
			a.p.expectNoOutcome()
			first.ReplyGood()
		}, "Ok"},
		"another is heard, then the other side resets it": {false, func(a at) {
			<-a.hold
			c := a.connect().send(request("other", "all", "", onePart))
			ids := <-a.p.searches
			a.runInLoop(func(loop *eventLoop) { loop.SendAttempt(ids[1], "a0", 0) })
			(<-a.hold).ReplyGood()
			a.p.expectOutcome("Ok")
			a.runInLoop(func(loop *eventLoop) { loop.AnswerSearch(ids[0], true) })
			status, _, _, _ := c.readAnswer()
			require.Equal(a.t, 200, status)
			a.p.expectNoOutcome()
			a.replicas["a0"].ResetConnections()
		}, "Canceled"},
		"closed on this side, then its search ends": {false, func(a at) {
			a.runInLoop(func(*eventLoop) { a.l.closeNow(errRetired) })
			a.eventually("it has ended", func() (ended bool) {
				a.runInLoop(func(loop *eventLoop) { ended = len(loop.replicas.byID["a0"].connections) == 0 })
				return ended
			})
			a.p.expectNoOutcome()
			a.runInLoop(func(loop *eventLoop) { loop.FailSearch(loop.searches.shardRequests[a.part].search.id) })
		}, "Canceled"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startHooked(t, 256, func(settings map[string]any) {
				settings["Permissions"].(map[string]any)["SecondCopies"] = x.copies
			}, nil, nil, nil)
			a := at{r, make(chan asked, 8), r.puppet(), 0, nil}
			r.replicas["a0"].SetHandler(func(p asked) { a.hold <- p })
			c := r.connect().send(request("q", "all", "", onePart))
			a.part = (<-a.p.searches)[1]
			r.runInLoop(func(loop *eventLoop) { loop.SendAttempt(a.part, "a0", 0) })
			r.eventually("it is out", func() bool {
				r.runInLoop(func(loop *eventLoop) { // maybe in the turn that sends it, before it has a connection
					if lines := loop.replicas.byID["a0"].connections; len(lines) > 0 {
						a.l = lines[0]
					}
				})
				return a.l != nil && r.replicas["a0"].CountRequests() == 1
			})
			r.runInLoop(func(loop *eventLoop) { loop.CancelAttempt(a.part, 0) })
			x.then(a)
			a.p.expectOutcome(x.told)
			r.runInLoop(func(loop *eventLoop) {
				require.Empty(t, loop.replicas.abandoned)
				if shardReq := loop.searches.shardRequests[a.part]; shardReq != nil {
					require.Equal(t, x.told == "Ok", shardReq.completed)
					loop.FailSearch(shardReq.search.id)
				}
			})
			status, _, _, _ := c.readAnswer()
			require.Equal(t, 500, status)
			r.shutDown()
		})
	}
}

// With residency contracts a late answer to a canceled attempt does not count: it may come from a forbidden zone.
func TestLateAnswerWithResidencyContracts(t *testing.T) {
	for _, bound := range []bool{false, true} {
		var told []string
		loop, conn, search := oneAttemptInFlight(stageWritten)
		loop.rules.allowsSecondCopies, loop.replicas.abandoned, loop.balancer = false, map[*attempt]*abandonedAttempt{}, outcomeCounter{told: &told}
		if bound {
			loop.enforcer = &residencyEnforcer{}
		}
		request := search.shardRequests[0]
		loop.CancelAttempt(request.id, 0)
		require.Empty(t, loop.events.next)
		loop.handleAnswer(conn, []byte("q.0"), "Ok", zeroScore, nil, []byte("v"), nil)
		require.Equal(t, []string{map[bool]string{false: "Ok", true: "Canceled"}[bound]}, told)
		require.Equal(t, !bound, request.completed)
		require.Empty(t, loop.replicas.abandoned)
	}
}
