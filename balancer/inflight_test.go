package balancer

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

// An update that is forgotten would leave the count wrong for good: in each iteration of random streams, the
// incrementally updated count must equal a recount of all attempts.
func TestInflightCountMatchesRecount(t *testing.T) {
	for seed := range int64(40) {
		text := randomScenario(rand.New(rand.NewSource(1000 + seed)))
		s := newScenarioWithRecount(t, text, true)
		s.playUntil(s.now + 100_000)
		require.Zero(t, s.state().effectiveInFlight())
	}
}

// Attempts leave the count when they become silent or their replica becomes an outlier, and return when it recovers.
func TestInflightCounter(t *testing.T) {
	var counter inflightCounter
	replicas := []*replica{{id: "a"}, {id: "b"}}
	outliers := map[*replica]bool{}
	isOutlier := func(r *replica) bool { return outliers[r] }
	send := func(r *replica, at int64) *attempt {
		a := &attempt{replica: r, sentAt: at, holdsSlot: true}
		r.health.recordSent(at)
		counter.recordSent(a)
		return a
	}
	first, _, third := send(replicas[0], 10), send(replicas[0], 20), send(replicas[1], 30)
	require.Equal(t, 3, counter.count(30, 100, isOutlier))
	require.Equal(t, 2, counter.count(111, 100, isOutlier), "the first is silent")
	require.Equal(t, 3, counter.count(111, 200, isOutlier), "not with a longer threshold")
	outliers[replicas[0]] = true
	counter.recheck(replicas[0])
	require.Equal(t, 1, counter.count(111, 200, isOutlier))
	counter.recordEnded(first)
	outliers[replicas[0]] = false
	counter.recheckAt(replicas[0], 150)
	require.Equal(t, 2, counter.count(111, 200, isOutlier))
	counter.recordEnded(third)
	require.Equal(t, 1, counter.count(111, 200, isOutlier))
	require.Equal(t, 1, counter.total)
}

// A list keeps its boundary and its live entries when it is compacted, wherever the boundary is.
func TestAgedListCompact(t *testing.T) {
	for limit := range 300 {
		var list agedList[int]
		for i := range 300 {
			list.push(int64(i), i)
		}
		passed := 0
		list.moveBoundary(300, float64(limit), func(int, int64, bool) { passed++ })
		isLive := func(entry int, _ int64) bool { return entry%10 == 0 }
		list.compact(30, isLive)
		require.Len(t, list.entries, 30)
		for i, at := range list.times {
			require.Equal(t, i*10, list.entries[i])
			require.Equal(t, i < list.boundary, float64(300-at) > float64(limit))
		}
		require.Equal(t, 300-limit, passed)
	}
}
