package peerreport

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/balancer"
)

// A peer under overload sees all hosts as slow, but must not report them as slow: slowdowns are relative to its fleet
// latency, so overload does not change its report.
func TestOverloadDoesNotChangeReportedSlowdowns(t *testing.T) {
	observationsAt := func(overload float64) []Observation {
		builder := NewReportBuilder(0, "a", "", 1, 1, nil)
		fleet := balancer.DecayingMean{Weight: 100, Mean: math.Log(50 * overload)}
		builder.AddObservation(balancer.Observation{Scope: balancer.ScopeFleet, ShortWindow: fleet, LongWindow: fleet})
		for i, slowdown := range []float64{1, 1, 4} {
			host := balancer.DecayingMean{Weight: 10, Mean: math.Log(50 * overload * slowdown)}
			builder.AddObservation(balancer.Observation{
				Scope: balancer.ScopeReplica, Replica: fmt.Sprint("h", i), ShortWindow: host, LongWindow: host, LastAnswerAge: 10,
			})
		}
		return builder.Observations
	}
	normal := observationsAt(1)
	require.Equal(t, normal, observationsAt(30))
	require.InDelta(t, math.Log(4)*logScale, float64(normal[2].ShortLogSlowdown), 1)
	require.Zero(t, normal[0].ShortLogSlowdown)
}
