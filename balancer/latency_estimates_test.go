package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// A sum has its exact mean at first, and after one e-fold time its count and total are smaller by a factor of e.
func TestDecayingSum(t *testing.T) {
	const window = 100.0
	var sum decayingSum
	require.Equal(t, DecayingMean{}, sum.mean(10, window))
	sum.add(10, window, 4)
	sum.add(10, window, 6)
	require.Equal(t, DecayingMean{Weight: 2, Mean: 5}, sum.mean(10, window))
	count, total := sum.read(110, window)
	require.InDelta(t, 2/math.E, count, 1e-12)
	require.InDelta(t, 10/math.E, total, 1e-12)
}

// A rate is correct while the sum is younger than its window, and is not overestimated after the first event.
func TestDecayingSumRate(t *testing.T) {
	const window, minAge = 1000.0, 100.0
	var sum decayingSum
	sum.add(1, window, 1)
	require.InDelta(t, 1/minAge, sum.rate(1, window, minAge), 0.1/minAge)
	for now := int64(2); now <= 300; now++ {
		sum.add(now, window, 1)
	}
	require.InDelta(t, 1, sum.rate(300, window, minAge), 0.02)
}

// The shortest latency is not taken from the first few answers, stays while all replicas are slow, and fades in
// minutes.
func TestFleetLatency(t *testing.T) {
	latency := latencyEstimates{assumed: assumedLatency}
	require.InDelta(t, assumedLatency, latency.fleetLatency(1), 1e-9, "before any answer")
	for range minFleetAnswers - 1 {
		latency.answers.add(1, fleetWindow, math.Log(100))
	}
	require.Equal(t, latency.fleetLatency(1), latency.shortestLatency(1), "too few answers for a shortest latency")
	for range 100 {
		latency.answers.add(2, fleetWindow, math.Log(100))
	}
	shortest := latency.shortestLatency(2)
	require.InDelta(t, 100, shortest, 5)
	for range 1000 {
		latency.answers.add(3, fleetWindow, math.Log(400))
	}
	require.Greater(t, latency.fleetLatency(3), 300.0)
	require.InDelta(t, shortest, latency.shortestLatency(3), 0.01, "it is kept while answers are slower")
	require.Greater(t, latency.shortestLatency(300*second), 2*shortest, "but it fades")
}
