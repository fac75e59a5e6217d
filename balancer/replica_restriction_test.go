package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Drawn streams of loads, faults and lists with bounds that change under open searches: whatever sends a part (first
// ones, extras, copies, tries, trials, second steps), it goes where its search may run then, each search has one final
// answer, and the same calls give the same actions.
func TestRestrictionHoldsForEveryAttempt(t *testing.T) {
	elsewhere, sent, again := 0, 0, 0
	for i := range drawnStreams / 4 {
		var first []string
		for run := range 2 {
			text := drawScenario(rand.New(rand.NewSource(int64(i))))
			chance := rand.New(rand.NewSource(int64(i)))
			bounds := map[uint64]*ReplicaRestriction{}
			ended := map[uint64]bool{}
			begun := strings.Index(text, "when")
			s := newScenario(t, text[:begun])
			s.onSend = func(search uint64, replica string) {
				if b := bounds[search]; b != nil {
					sent++
					require.True(t, b.Allows(0, replica), "stream %d: search %d at %s", i, search, replica)
				}
				require.False(t, ended[search])
			}
			all := slices.Clone(s.state().endpoints.replicas)
			draw := func() *ReplicaRestriction {
				var in []string
				for _, r := range all {
					if chance.Intn(3) > 0 {
						in = append(in, r.id)
					} else {
						elsewhere++
					}
				}
				return &ReplicaRestriction{Allows: func(_ int, replica string) bool { return slices.Contains(in, replica) }}
			}
			shared := draw()
			s.onRequestsAdded = func(search uint64) {
				if search%3 == 0 {
					return
				}
				if bounds[search] == nil || chance.Intn(2) == 0 {
					bounds[search] = shared
				}
				s.balancer.RestrictReplicas(search, bounds[search], func(int) bool {
					ended[search] = search%3 == 1
					return ended[search]
				})
				if chance.Intn(20) == 0 { // all that are open are told anew, in their order
					shared = draw()
					var open []uint64
					for id := range bounds {
						open = append(open, id)
					}
					slices.Sort(open)
					for _, id := range open {
						again++
						bounds[id] = shared
						s.balancer.RestrictReplicas(id, shared, func(int) bool { return false })
					}
				}
			}
			s.runLines(text[begun:])
			s.playUntil(s.now + 100_000)
			for id, owed := range s.owedAnswers {
				require.Zero(t, owed, "stream %d: search %d", i, id)
			}
			require.Zero(t, s.state().effectiveInFlight())
			if run == 0 {
				first = s.allActions
			} else {
				require.Equal(t, first, s.allActions)
			}
		}
	}
	require.Positive(t, elsewhere)
	require.Greater(t, sent, 1000)
	require.Greater(t, again, 1000)
}

func (s *scenario) restrict(id uint64, end bool, in ...string) (lacking []int) {
	s.iterate(func() {
		s.balancer.RestrictReplicas(id, &ReplicaRestriction{Allows: func(_ int, replica string) bool { return slices.Contains(in, replica) }},
			func(shard int) bool { lacking = append(lacking, shard); return end })
	})
	return lacking
}

// As bounds tighten under a search, what is out elsewhere is called off in that turn and goes out again within them.
func TestRestrictionCancelsAttemptsElsewhere(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nsearch 1 1 4000 0,0,0,0")
	require.Equal(t, 4, s.countSentTo("a")+s.countSentTo("b"))
	out := s.countSentTo("a")
	require.Positive(t, out)
	s.runLines("mark when b Ok 20")
	require.Empty(t, s.restrict(1, true, "b"))
	require.Equal(t, out, strings.Count(fmt.Sprint(s.actions), "cancel"))
	s.playUntil(s.now + 20_000)
	require.Zero(t, s.countSentTo("a"), "%v", s.actions)
	require.Equal(t, out, s.countSentTo("b"))
}

// A shard that no replica within bounds holds: where the search is to end it does at once, asking nobody; elsewhere the
// type may be answered without it, not marked whole, and a type that may not gets its final answer at once.
func TestRestrictionWithoutHolder(t *testing.T) {
	s := newScenario(t, "facts Specifics.Sets=2 Specifics.ClassFloor=0.3,1\nstart a/0 b/1\nwhen a,b Ok 20\nsearch 1 0 4000 0,1")
	s.runLines("mark")
	require.Equal(t, []int{1}, s.restrict(1, true, "a"))
	require.Contains(t, s.actions, "error 1")
	bind := func(search uint64) {
		s.balancer.RestrictReplicas(search, &ReplicaRestriction{Allows: func(_ int, replica string) bool { return replica == "a" }}, func(int) bool { return false })
	}
	s.onRequestsAdded = bind
	s.runLines("mark\nsearch 2 0 4000 0,0,0,1\nat 500\nexpect 1 answer true 2\nexpect 0 send .* b")
	s.runLines("mark\nsearch 3 0 4000 0,0,0,1 0.2,0.2,0.1,0.5\nat 600\nexpect 1 answer false 3")
	s.runLines("mark\nsearch 4 1 4000 0,1\nexpect 1 shed 4\nexpect 0 send .*")
}
