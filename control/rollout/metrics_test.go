package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCutoffBucket(t *testing.T) {
	buckets := []uint64{10, 50, 30, 8, 2}
	for _, test := range []struct {
		fraction float64
		want     int
	}{
		{medianFraction, 1},
		{subRequestsFraction, 2},
		{tailFraction, 3},
	} {
		cutoff, ok := cutoffBucket(buckets, test.fraction)
		require.True(t, ok)
		require.Equal(t, test.want, cutoff, "%g", test.fraction)
		bad := countAbove(buckets, cutoff)
		require.LessOrEqual(t, bad.fraction(), test.fraction)
	}
	_, ok := cutoffBucket([]uint64{0, minDistributionCount - 1}, medianFraction)
	require.False(t, ok, "too few observations")
}

// A counter below its previous value shows that two samples are of different processes.
func TestHasOnlyRisen(t *testing.T) {
	previous := ClassStats{Requests: 5, Served: 4, Shed: 1}
	previous.Latencies[3] = 4
	current := previous
	require.True(t, current.hasOnlyRisen(&previous))
	current.Requests++
	require.True(t, current.hasOnlyRisen(&previous))
	for _, lower := range []func(*ClassStats){
		func(s *ClassStats) { s.Requests = 4 },
		func(s *ClassStats) { s.Served-- },
		func(s *ClassStats) { s.Shed-- },
		func(s *ClassStats) { s.Latencies[3]-- },
	} {
		changed := current
		lower(&changed)
		require.False(t, changed.hasOnlyRisen(&previous))
	}
}
