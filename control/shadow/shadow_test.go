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

// usual are settings as plans have them: type 0 needs six tenths of its parts, type 1 all.
var usual = map[string]string{
	"Tick": "5", "Balancers": "2", "Specifics.Sets": "2", "Specifics.Reach": "1",
	"Specifics.PerCall": "1", "Classes.count": "2", "Classes.0.Aim": "1500", "Classes.0.Effect": "retryable",
	"Classes.0.LateShare": "0", "Classes.1.Aim": "1500", "Classes.1.Effect": "retryable", "Classes.1.LateShare": "0",
	"Specifics.NeedByClass": "0.6,1", "Specifics.ClassFloor": "0.6,1", "Specifics.FollowUp": "0,0",
	"Permissions.MaxAttempts": "3", "Permissions.SecondCopies": "true", "Permissions.Cancelling": "true",
	"Permissions.RetryAfter": "true", "Permissions.MaxRetryAfter": "500", "Safety.Cold": "10000", "Safety.ColdFrom": "0.2",
	"Safety.FallMultiple": "2", "Safety.Fall": "2000", "Safety.DrainGrace": "1000",
}

func with(pairs ...string) map[string]string {
	all := maps.Clone(usual)
	for i := 0; i < len(pairs); i += 2 {
		all[pairs[i]] = pairs[i+1]
	}
	return all
}

// tape carries out what a module asks for and writes it down. Replicas answer, fail, fall silent or lose connections by
// chance, from the seed alone: the same requests have the same ends.
type tape struct {
	c       balancer.Balancer
	chance  *rand.Rand
	now     int64
	acts    []string
	dues    []due
	step    int
	legs    map[uint64]int
	settled map[[2]uint64]bool
}

type due struct {
	at int64
	do func()
}

func (x *tape) act(format string, v ...any) { x.acts = append(x.acts, fmt.Sprintf(format, v...)) }
func (x *tape) plan(wait int64, do func()) {
	i := sort.Search(len(x.dues), func(i int) bool { return x.dues[i].at > x.now+wait })
	x.dues = slices.Insert(x.dues, i, due{x.now + wait, do})
}
func (x *tape) AnswerSearch(id uint64, whole bool)  { x.act("answer %d %v", id, whole) }
func (x *tape) ShedSearch(id uint64, retryIn int64) { x.act("shed %d %d", id, retryIn) }
func (x *tape) FailSearch(id uint64)                { x.act("error %d", id) }
func (x *tape) SetTimer(wait int64, label uint64)   { x.plan(wait, func() { x.c.HandleTimer(label) }) }
func (x *tape) CancelTimer(uint64)                  {}
func (x *tape) ProbeReplica(id string)              { x.act("probe %s", id) }
func (x *tape) WatchEndpoints()                     {}
func (x *tape) LogMessage(text string)              { x.act("note %s", text) }
func (x *tape) CancelAttempt(id uint64, leg int) {
	x.act("cancel %d %d", id, leg)
	x.end(id, leg, "Canceled", 5)
}

func (x *tape) SendAttempt(id uint64, to string, _ int64) {
	x.act("send %d %s", id, to)
	leg := x.legs[id]
	x.legs[id]++
	switch n := x.chance.Intn(20); {
	case n < 14:
		x.end(id, leg, "Ok", 200+int64(x.chance.Intn(3000)))
	case n < 16:
		x.end(id, leg, "QueueFull", 20)
	case n < 18:
		x.end(id, leg, "Failed", 100)
	default:
		x.end(id, leg, "TimedOut", 40_000)
	}
}

func (x *tape) end(id uint64, leg int, how string, wait int64) {
	x.plan(wait, func() {
		if key := [2]uint64{id, uint64(leg)}; !x.settled[key] {
			x.settled[key] = true
			x.c.RecordAttemptOutcome(id, leg, how, wait, false, nil)
		}
	})
}

func (x *tape) turn(do func()) {
	x.c.BeginIteration(x.now)
	do()
	x.c.EndIteration()
}

func (x *tape) until(at int64) {
	for len(x.dues) > 0 && x.dues[0].at <= at {
		d := x.dues[0]
		x.dues = x.dues[1:]
		x.now = max(x.now, d.at)
		x.turn(d.do)
	}
	x.now = at
}

// play records a stream: a list with a release, searches of both types, clients that leave.
func play(seed int64, inForce, next map[string]string) ([]string, *DivergenceCounts) {
	x := &tape{chance: rand.New(rand.NewSource(seed)), now: 100, legs: map[uint64]int{}, settled: map[[2]uint64]bool{}}
	counts := &DivergenceCounts{}
	if next == nil {
		x.c = balancer.New(x)
	} else {
		x.c = New(x, inForce, next, counts, balancer.New)
	}
	entries := func(how string, since int64, status string, n int) {
		for i := range n {
			x.c.AddEndpoint(fmt.Sprint("r", i), 0, 0, i%2, status, 1, since)
		}
		x.c.CommitEndpoints(how, x.now)
	}
	x.turn(func() { x.c.Configure(7, inForce); entries("Persisted", 0, "healthy", 8) })
	for i := range 130 {
		id := uint64(i+1) * 100
		x.turn(func() {
			switch i {
			case 30:
				entries("Partial", 0, "cordoned", 2)
			case 60:
				entries("Partial", x.now, "healthy", 2)
			}
			x.c.AddSearch(id, i%2, 0, "-", 30_000, id, 5, i%7 == 0)
			for p := range uint64(5) {
				x.c.AddShardRequest(id+1+p, id, int(p)%2, 0.2)
			}
		})
		x.until(x.now + 150)
		if i%50 == 49 {
			x.turn(func() { x.c.CancelSearch(id) })
		}
	}
	x.until(x.now + 100_000)
	return x.acts, counts
}

func TestNothingChanges(t *testing.T) {
	for seed := range int64(3) {
		plain, _ := play(seed, usual, nil)
		require.Greater(t, len(plain), 400)
		watched, counts := play(seed, usual, with("Permissions.SecondCopies", "false", "Permissions.RetryAfter", "false",
			"Specifics.ClassFloor", "0.2,0.2", "Safety.LookBack", "5000", "Safety.ExtraFloor", "1", "Safety.FurtherRatio", "0.01",
			"Safety.Cold", "1000", "Permissions.MaxAttempts", "2", "Specifics.NeedByClass", "0.6,0.8"))
		require.Equal(t, plain, watched)
		for _, kind := range []int{KindRetryAfter, KindHedgedRequest, KindExtraPart, KindPartialAnswer, KindAttemptLimit, KindRetryBudget, KindSlowStartShare} {
			require.Positive(t, counts[kind].Load(), KindNames[kind])
		}
	}
}

func TestEqualSettingsCountNothing(t *testing.T) {
	for seed := range int64(3) {
		_, counts := play(seed, usual, with())
		require.Zero(t, counts.Total())
	}
}

// Each kind is raised by what differs in its settings, and no other is.
func TestEachKindAlone(t *testing.T) {
	for kind, differs := range map[int][]string{
		KindRetryAfter:     {"Permissions.RetryAfter", "false"},
		KindHedgedRequest:  {"Permissions.SecondCopies", "false"},
		KindPartialAnswer:  {"Specifics.ClassFloor", "0.6,0.3"},
		KindAttemptLimit:   {"Permissions.MaxAttempts", "2"},
		KindRetryBudget:    {"Safety.LookBack", "5000", "Safety.ExtraFloor", "1", "Safety.FurtherRatio", "0.01"},
		KindSlowStartShare: {"Safety.Cold", "1000"},
	} {
		_, counts := play(3, usual, with(differs...))
		for other := range counts {
			if got := counts[other].Load(); other == kind {
				require.Positive(t, got, KindNames[kind])
			} else {
				require.Zero(t, got, "%s where only %s differs", KindNames[other], KindNames[kind])
			}
		}
	}
}

// script is a module that does as it is told: for what the real one never does.
type script struct{ balancer.Balancer }

func (script) BeginIteration(int64)                                                      {}
func (script) AddEndpoint(string, int, int, int, string, float64, int64)                 {}
func (script) CommitEndpoints(string, int64)                                             {}
func (script) AddSearch(uint64, int, int, string, int64, uint64, int, bool)              {}
func (script) AddShardRequest(uint64, uint64, int, float64)                              {}
func (script) RecordAttemptOutcome(uint64, int, string, int64, bool, map[string]float64) {}
func (script) CancelSearch(uint64)                                                       {}

func scripted(next map[string]string) (*Comparator, *DivergenceCounts, *tape) {
	counts, x := &DivergenceCounts{}, &tape{chance: rand.New(rand.NewSource(1)), legs: map[uint64]int{}, settled: map[[2]uint64]bool{}}
	w := New(x, usual, next, counts, func(balancer.Actions) balancer.Balancer { return script{} })
	x.c = w
	w.BeginIteration(1_000)
	w.AddEndpoint("a", 0, 0, 0, "healthy", 1, 0)
	w.CommitEndpoints("Complete", 1)
	w.AddSearch(1, 0, 0, "-", 40_000, 1, 5, false)
	for p := range uint64(5) {
		w.AddShardRequest(10+p, 1, 0, 0.2)
	}
	return w, counts, x
}

// A drain that is told goes on being one after the list has dropped the replica; the longer grace keeps it known.
func TestDrain(t *testing.T) {
	w, counts, _ := scripted(with("Safety.DrainGrace", "250"))
	w.AddEndpoint("a", 0, 0, 0, "cordoned", 1, 0)
	w.CommitEndpoints("Partial", 2)
	w.BeginIteration(1_000 + 2_000)
	w.SendAttempt(10, "a", 0) // within neither's... 200 ms: within both
	require.Zero(t, counts.Total())
	w.BeginIteration(1_000 + 3_000)
	w.SendAttempt(11, "a", 0) // 300 ms: past 250, within 1,000
	require.EqualValues(t, 1, counts[KindDraining].Load())
	w.BeginIteration(1_000 + 20_000)
	w.SendAttempt(12, "a", 0) // past both: a broken rule, but none of the settings' making
	require.EqualValues(t, 1, counts.Total())
}

func TestExtra(t *testing.T) {
	w, counts, _ := scripted(with("Specifics.NeedByClass", "0.4,1"))
	for p := range uint64(5) {
		w.SendAttempt(10+p, "a", 0)
	}
	require.EqualValues(t, 1, counts[KindExtraPart].Load(), "the third of five parts")
	require.EqualValues(t, 1, counts.Total())
}

// What is kept follows what is open.
func TestBounded(t *testing.T) {
	next := with("Safety.LookBack", "5000")
	_, _ = play(1, usual, next)
	x := &tape{chance: rand.New(rand.NewSource(1)), legs: map[uint64]int{}, settled: map[[2]uint64]bool{}}
	w := New(x, usual, next, &DivergenceCounts{}, func(balancer.Actions) balancer.Balancer { return script{} })
	for i := range uint64(20_000) {
		w.BeginIteration(int64(i) * 100)
		id := fmt.Sprint("r", i)
		w.AddEndpoint(id, 0, 0, 0, "healthy", 1, 0)
		w.CommitEndpoints("Complete", int64(i))
		w.AddSearch(i*10, 0, 0, "-", 100, i, 2, false)
		w.AddShardRequest(i*10+1, i, 0, 0.5)
		w.AddShardRequest(i*10+2, i, 1, 0.5)
		switch i % 3 {
		case 0:
			w.AnswerSearch(i*10, true)
		case 1:
			w.ShedSearch(i*10, 0)
		default:
			w.CancelSearch(i * 10)
		}
	}
	require.Empty(t, w.searches)
	require.Empty(t, w.numbers)
	require.Empty(t, w.parts)
	require.Less(t, len(w.replicas), 500)
	require.Less(t, len(w.taken), 5_000)
}
