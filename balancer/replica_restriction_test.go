package balancer

import (
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// allowOnly returns a restriction of all shards to some replicas.
func allowOnly(replicas ...string) *ReplicaRestriction {
	return &ReplicaRestriction{Allows: func(_ int, replica string) bool { return slices.Contains(replicas, replica) }}
}

// restrictedStream plays a random stream whose searches get restrictions that change while they are open. Of every
// three searches, one is never restricted, and one ends if a shard has no replica.
type restrictedStream struct {
	*scenario
	rng           *rand.Rand
	replicas      []*replica
	shared        *ReplicaRestriction // the restriction of most searches
	bySearch      map[uint64]*ReplicaRestriction
	endedForShard map[uint64]bool // searches ended because a shard has no replica

	forbidden, restrictedSends, changes int // counts; if they were 0 the stream would test nothing
}

func (r *restrictedStream) randomRestriction() *ReplicaRestriction {
	var allowed []string
	for _, replica := range r.replicas {
		if r.rng.Intn(3) > 0 {
			allowed = append(allowed, replica.id)
		} else {
			r.forbidden++
		}
	}
	return allowOnly(allowed...)
}

func (r *restrictedStream) checkSend(search uint64, replica string) {
	if restriction := r.bySearch[search]; restriction != nil {
		r.restrictedSends++
		require.True(r.t, restriction.Allows(0, replica), "search %d at %s", search, replica)
	}
	require.False(r.t, r.endedForShard[search])
}

func (r *restrictedStream) restrictSearch(search uint64) {
	if search%3 == 0 {
		return
	}
	if r.bySearch[search] == nil || r.rng.Intn(2) == 0 {
		r.bySearch[search] = r.shared
	}
	r.balancer.RestrictReplicas(search, r.bySearch[search], func(int) bool {
		r.endedForShard[search] = search%3 == 1
		return r.endedForShard[search]
	})
	if r.rng.Intn(20) == 0 {
		r.changeAllRestrictions()
	}
}

// changeAllRestrictions gives all searches a new restriction, in the order of their ids.
func (r *restrictedStream) changeAllRestrictions() {
	r.shared = r.randomRestriction()
	var searches []uint64
	for id := range r.bySearch {
		searches = append(searches, id)
	}
	slices.Sort(searches)
	for _, id := range searches {
		r.changes++
		r.bySearch[id] = r.shared
		r.balancer.RestrictReplicas(id, r.shared, func(int) bool { return false })
	}
}

func playRestricted(t *testing.T, seed int64) *restrictedStream {
	text := randomScenario(rand.New(rand.NewSource(seed)))
	firstFault := strings.Index(text, "when")
	r := &restrictedStream{
		scenario: newScenario(t, text[:firstFault]), rng: rand.New(rand.NewSource(seed)),
		bySearch: map[uint64]*ReplicaRestriction{}, endedForShard: map[uint64]bool{},
	}
	r.replicas = slices.Clone(r.state().endpoints.replicas)
	r.shared = r.randomRestriction()
	r.onSend, r.onRequestsAdded = r.checkSend, r.restrictSearch
	r.runLines(text[firstFault:])
	r.playUntil(r.now + 100_000)
	for id, missing := range r.expectedAnswers {
		require.Zero(t, missing, "stream %d: search %d", seed, id)
	}
	require.Zero(t, r.state().effectiveInFlight())
	return r
}

// Random streams of loads, faults and lists, with restrictions that change while searches are open. Every request
// (first attempts, extras, hedged attempts, retries, probes, second steps) is sent only where its search may run at
// that time. Each search has one final answer, and the same calls give the same actions.
func TestRestrictionHoldsForEveryAttempt(t *testing.T) {
	forbidden, restrictedSends, changes := 0, 0, 0
	for seed := range int64(randomStreams / 4) {
		first, second := playRestricted(t, seed), playRestricted(t, seed)
		require.Equal(t, first.allActions, second.allActions)
		for _, r := range []*restrictedStream{first, second} {
			forbidden += r.forbidden
			restrictedSends += r.restrictedSends
			changes += r.changes
		}
	}
	require.Positive(t, forbidden)
	require.Greater(t, restrictedSends, 1000)
	require.Greater(t, changes, 1000)
}

// restrict restricts a search in an iteration of its own and returns the shards without an allowed replica.
func (s *scenario) restrict(search uint64, restriction *ReplicaRestriction, end bool) (unavailable []int) {
	s.iterate(func() {
		s.balancer.RestrictReplicas(search, restriction, func(shard int) bool {
			unavailable = append(unavailable, shard)
			return end
		})
	})
	return unavailable
}

// When a restriction is tightened, attempts in flight at other replicas are cancelled in that iteration, and their
// requests are sent again within it.
func TestRestrictionCancelsAttemptsElsewhere(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nsearch 1 1 4000 0,0,0,0")
	require.Equal(t, 4, s.countSentTo("a")+s.countSentTo("b"))
	elsewhere := s.countSentTo("a")
	require.Positive(t, elsewhere)
	s.runLines("mark when b Ok 20")
	require.Empty(t, s.restrict(1, allowOnly("b"), true))
	require.Equal(t, elsewhere, strings.Count(strings.Join(s.actions, "\n"), "cancel"))
	s.playUntil(s.now + 20_000)
	require.Zero(t, s.countSentTo("a"), "%v", s.actions)
	require.Equal(t, elsewhere, s.countSentTo("b"))
}

// If no allowed replica holds a shard, a search whose callback asks for an error fails at once and sends nothing more.
// Otherwise a type that allows partial answers may be answered without the shard, not marked as complete, and other
// types get their final answer at once.
func TestRestrictionWithoutHolder(t *testing.T) {
	s := newScenario(t, "facts Specifics.Sets=2 Specifics.ClassFloor=0.3,1\nstart a/0 b/1\nwhen a,b Ok 20\nsearch 1 0 4000 0,1")
	s.runLines("mark")
	require.Equal(t, []int{1}, s.restrict(1, allowOnly("a"), true))
	require.Contains(t, s.actions, "error 1")
	s.onRequestsAdded = func(search uint64) {
		s.balancer.RestrictReplicas(search, allowOnly("a"), func(int) bool { return false })
	}
	s.runLines("mark\nsearch 2 0 4000 0,0,0,1\nat 500\nexpect 1 answer true 2\nexpect 0 send .* b")
	s.runLines("mark\nsearch 3 0 4000 0,0,0,1 0.2,0.2,0.1,0.5\nat 600\nexpect 1 answer false 3")
	s.runLines("mark\nsearch 4 1 4000 0,1\nexpect 1 shed 4\nexpect 0 send .*")
}
