package shadow

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/balancer"
)

// commonSettings are settings like those of a plan: search type 0 needs six tenths of its shard requests, type 1 all.
var commonSettings = map[string]string{
	"Tick": "5", "Balancers": "2", "Specifics.Sets": "2", "Specifics.Reach": "1",
	"Specifics.PerCall": "1", "Classes.count": "2", "Classes.0.Aim": "1500", "Classes.0.Effect": "retryable",
	"Classes.0.LateShare": "0", "Classes.1.Aim": "1500", "Classes.1.Effect": "retryable", "Classes.1.LateShare": "0",
	"Specifics.NeedByClass": "0.6,1", "Specifics.ClassFloor": "0.6,1", "Specifics.FollowUp": "0,0",
	"Permissions.MaxAttempts": "3", "Permissions.SecondCopies": "true", "Permissions.Cancelling": "true",
	"Permissions.RetryAfter": "true", "Permissions.MaxRetryAfter": "500", "Safety.Cold": "10000", "Safety.ColdFrom": "0.2",
	"Safety.FallMultiple": "2", "Safety.Fall": "2000", "Safety.DrainGrace": "1000",
}

func withSettings(pairs ...string) map[string]string {
	changed := maps.Clone(commonSettings)
	for i := 0; i < len(pairs); i += 2 {
		changed[pairs[i]] = pairs[i+1]
	}
	return changed
}

// recorder carries out a balancer's actions and records them. Attempts succeed, fail or time out at random. Outcomes
// depend on the seed alone: the same attempts have the same outcomes.
type recorder struct {
	balancer balancer.Balancer
	rng      *rand.Rand
	now      int64
	actions  []string
	events   []event // in order of time
	attempts map[uint64]int
	ended    map[attemptID]bool
}

type attemptID struct {
	request uint64
	number  int
}

type event struct {
	at     int64
	handle func()
}

func newRecorder(seed, now int64) *recorder {
	return &recorder{rng: rand.New(rand.NewSource(seed)), now: now, attempts: map[uint64]int{}, ended: map[attemptID]bool{}}
}

func (r *recorder) record(format string, values ...any) {
	r.actions = append(r.actions, fmt.Sprintf(format, values...))
}

func (r *recorder) schedule(wait int64, handle func()) {
	i := sort.Search(len(r.events), func(i int) bool { return r.events[i].at > r.now+wait })
	r.events = slices.Insert(r.events, i, event{r.now + wait, handle})
}

func (r *recorder) AnswerSearch(id uint64, complete bool) { r.record("answer %d %v", id, complete) }
func (r *recorder) ShedSearch(id uint64, retryIn int64)   { r.record("shed %d %d", id, retryIn) }
func (r *recorder) FailSearch(id uint64)                  { r.record("error %d", id) }
func (r *recorder) CancelTimer(uint64)                    {}
func (r *recorder) ProbeReplica(id string)                { r.record("probe %s", id) }
func (r *recorder) WatchEndpoints()                       {}
func (r *recorder) LogMessage(text string)                { r.record("note %s", text) }

func (r *recorder) SetTimer(wait int64, label uint64) {
	r.schedule(wait, func() { r.balancer.HandleTimer(label) })
}

func (r *recorder) CancelAttempt(id uint64, attempt int) {
	r.record("cancel %d %d", id, attempt)
	r.endAttempt(id, attempt, "Canceled", 5)
}

func (r *recorder) SendAttempt(id uint64, to string, _ int64) {
	r.record("send %d %s", id, to)
	attempt := r.attempts[id]
	r.attempts[id]++
	switch n := r.rng.Intn(20); {
	case n < 14:
		r.endAttempt(id, attempt, "Ok", 200+int64(r.rng.Intn(3000)))
	case n < 16:
		r.endAttempt(id, attempt, "QueueFull", 20)
	case n < 18:
		r.endAttempt(id, attempt, "Failed", 100)
	default:
		r.endAttempt(id, attempt, "TimedOut", 40_000)
	}
}

func (r *recorder) endAttempt(request uint64, attempt int, outcome string, wait int64) {
	r.schedule(wait, func() {
		if id := (attemptID{request, attempt}); !r.ended[id] {
			r.ended[id] = true
			r.balancer.RecordAttemptOutcome(request, attempt, outcome, wait, false, nil)
		}
	})
}

func (r *recorder) iterate(handle func()) {
	r.balancer.BeginIteration(r.now)
	handle()
	r.balancer.EndIteration()
}

func (r *recorder) runUntil(end int64) {
	for len(r.events) > 0 && r.events[0].at <= end {
		next := r.events[0]
		r.events = r.events[1:]
		r.now = max(r.now, next.at)
		r.iterate(next.handle)
	}
	r.now = end
}

func (r *recorder) listEndpoints(how string, since int64, status string, count int) {
	for i := range count {
		r.balancer.AddEndpoint(fmt.Sprint("r", i), 0, 0, i%2, status, 1, since)
	}
	r.balancer.CommitEndpoints(how, r.now)
}

// runScenario runs a scenario with a rolling release of two replicas, searches of both types and clients that leave. With
// nil for shadow the balancer runs without a comparator.
func runScenario(seed int64, active, shadow map[string]string) ([]string, *DivergenceCounts) {
	r, counts := newRecorder(seed, 100), &DivergenceCounts{}
	if shadow == nil {
		r.balancer = balancer.New(r)
	} else {
		r.balancer = New(r, active, shadow, counts, balancer.New)
	}
	r.iterate(func() {
		r.balancer.Configure(7, active)
		r.listEndpoints("Persisted", 0, "healthy", 8)
	})
	for i := range 130 {
		id := uint64(i+1) * 100
		r.iterate(func() {
			switch i {
			case 30:
				r.listEndpoints("Partial", 0, "cordoned", 2)
			case 60:
				r.listEndpoints("Partial", r.now, "healthy", 2)
			}
			r.balancer.AddSearch(id, i%2, 0, "-", 30_000, id, 5, i%7 == 0)
			for shard := range uint64(5) {
				r.balancer.AddShardRequest(id+1+shard, id, int(shard)%2, 0.2)
			}
		})
		r.runUntil(r.now + 150)
		if i%50 == 49 {
			r.iterate(func() { r.balancer.CancelSearch(id) })
		}
	}
	r.runUntil(r.now + 100_000)
	return r.actions, counts
}

func TestComparisonChangesNoAction(t *testing.T) {
	for seed := range int64(3) {
		actions, _ := runScenario(seed, commonSettings, nil)
		require.Greater(t, len(actions), 400)
		compared, counts := runScenario(seed, commonSettings, withSettings("Permissions.SecondCopies", "false", "Permissions.RetryAfter", "false",
			"Specifics.ClassFloor", "0.2,0.2", "Safety.LookBack", "5000", "Safety.ExtraFloor", "1", "Safety.FurtherRatio", "0.01",
			"Safety.Cold", "1000", "Permissions.MaxAttempts", "2", "Specifics.NeedByClass", "0.6,0.8"))
		require.Equal(t, actions, compared)
		for _, kind := range []int{KindRetryAfter, KindHedgedAttempt, KindExtraShardRequest, KindPartialAnswer, KindAttemptLimit, KindRetryBudget, KindSlowStart} {
			require.Positive(t, counts[kind].Load(), KindNames[kind])
		}
	}
}

func TestEqualSettingsCountNothing(t *testing.T) {
	for seed := range int64(3) {
		_, counts := runScenario(seed, commonSettings, withSettings())
		require.Zero(t, counts.Total())
	}
}

func TestEachSettingCountsItsKindAlone(t *testing.T) {
	for kind, changes := range map[int][]string{
		KindRetryAfter:    {"Permissions.RetryAfter", "false"},
		KindHedgedAttempt: {"Permissions.SecondCopies", "false"},
		KindPartialAnswer: {"Specifics.ClassFloor", "0.6,0.3"},
		KindAttemptLimit:  {"Permissions.MaxAttempts", "2"},
		KindRetryBudget:   {"Safety.LookBack", "5000", "Safety.ExtraFloor", "1", "Safety.FurtherRatio", "0.01"},
		KindSlowStart:     {"Safety.Cold", "1000"},
	} {
		_, counts := runScenario(3, commonSettings, withSettings(changes...))
		for other := range counts {
			if count := counts[other].Load(); other == kind {
				require.Positive(t, count, KindNames[kind])
			} else {
				require.Zero(t, count, "%s although only %s differs", KindNames[other], KindNames[kind])
			}
		}
	}
}

// idleBalancer does nothing, so that a test can send actions that the real balancer never sends.
type idleBalancer struct{ balancer.Balancer }

func (idleBalancer) BeginIteration(int64)                                                      {}
func (idleBalancer) AddEndpoint(string, int, int, int, string, float64, int64)                 {}
func (idleBalancer) CommitEndpoints(string, int64)                                             {}
func (idleBalancer) AddSearch(uint64, int, int, string, int64, uint64, int, bool)              {}
func (idleBalancer) AddShardRequest(uint64, uint64, int, float64)                              {}
func (idleBalancer) RecordAttemptOutcome(uint64, int, string, int64, bool, map[string]float64) {}
func (idleBalancer) CancelSearch(uint64)                                                       {}

func newIdleComparator(shadow map[string]string, counts *DivergenceCounts) *Comparator {
	r := newRecorder(1, 0)
	c := New(r, commonSettings, shadow, counts, func(balancer.Actions) balancer.Balancer { return idleBalancer{} })
	r.balancer = c
	return c
}

// newComparatorWithSearch returns a comparator with replica a and an open search of five shard requests, with ids from 10
// on, at time 1,000.
func newComparatorWithSearch(shadow map[string]string) (*Comparator, *DivergenceCounts) {
	counts := &DivergenceCounts{}
	c := newIdleComparator(shadow, counts)
	c.BeginIteration(1_000)
	c.AddEndpoint("a", 0, 0, 0, "healthy", 1, 0)
	c.CommitEndpoints("Complete", 1)
	c.AddSearch(1, 0, 0, "-", 40_000, 1, 5, false)
	for shard := range uint64(5) {
		c.AddShardRequest(10+shard, 1, 0, 0.2)
	}
	return c, counts
}

// A replica is still draining after the list has dropped it: the comparator remembers it for the longer grace period.
func TestAttemptAtDrainingReplica(t *testing.T) {
	c, counts := newComparatorWithSearch(withSettings("Safety.DrainGrace", "250"))
	c.AddEndpoint("a", 0, 0, 0, "cordoned", 1, 0)
	c.CommitEndpoints("Partial", 2)
	c.BeginIteration(1_000 + 2_000)
	c.SendAttempt(10, "a", 0) // 200 ms: within both grace periods
	require.Zero(t, counts.Total())
	c.BeginIteration(1_000 + 3_000)
	c.SendAttempt(11, "a", 0) // 300 ms: past 250 ms, within 1,000 ms
	require.EqualValues(t, 1, counts[KindDraining].Load())
	c.BeginIteration(1_000 + 20_000)
	c.SendAttempt(12, "a", 0) // past both: neither set of settings allows it
	require.EqualValues(t, 1, counts.Total())
}

func TestExtraShardRequest(t *testing.T) {
	c, counts := newComparatorWithSearch(withSettings("Specifics.NeedByClass", "0.4,1"))
	for shard := range uint64(5) {
		c.SendAttempt(10+shard, "a", 0)
	}
	require.EqualValues(t, 1, counts[KindExtraShardRequest].Load(), "the third of five shard requests")
	require.EqualValues(t, 1, counts.Total())
}

func TestStateIsBoundedByOpenSearches(t *testing.T) {
	shadow := withSettings("Safety.LookBack", "5000")
	_, _ = runScenario(1, commonSettings, shadow)
	c := newIdleComparator(shadow, &DivergenceCounts{})
	for i := range uint64(20_000) {
		c.BeginIteration(int64(i) * 100)
		c.AddEndpoint(fmt.Sprint("r", i), 0, 0, 0, "healthy", 1, 0)
		c.CommitEndpoints("Complete", int64(i))
		c.AddSearch(i*10, 0, 0, "-", 100, i, 2, false)
		c.AddShardRequest(i*10+1, i, 0, 0.5)
		c.AddShardRequest(i*10+2, i, 1, 0.5)
		switch i % 3 {
		case 0:
			c.AnswerSearch(i*10, true)
		case 1:
			c.ShedSearch(i*10, 0)
		default:
			c.CancelSearch(i * 10)
		}
	}
	require.Empty(t, c.searches)
	require.Empty(t, c.searchesByNumber)
	require.Empty(t, c.shardRequests)
	require.Less(t, len(c.replicas), 500)
	require.Less(t, len(c.requestTimes), 5_000)
}
