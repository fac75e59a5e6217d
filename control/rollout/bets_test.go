package rollout

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Bets that gained on average would stop harmless changes more often than false_stops allows. The expected gain of each
// bet is at most 1 for any odds ratio up to the tolerated one. The expectation is over the number of bad searches with
// the change, given the number of bad searches of both sides.
func TestBetsAreFairUnderToleratedOdds(t *testing.T) {
	const all, bad = 40, 12
	for _, tolerated := range []float64{minToleratedRatio, 2, 4} {
		for _, actual := range []float64{0.5, 1, tolerated} {
			distribution := newHypergeometric(all, all, bad)
			norm := distribution.logNorm(math.Log(actual))
			var expected [len(betRatios)]float64
			for count := range bad + 1 {
				probability := math.Exp(distribution.logWays[count] + float64(count)*math.Log(actual) - norm)
				ratios := logLikelihoodRatios(proportion{uint64(count), all}, proportion{uint64(bad - count), all}, tolerated)
				for i, ratio := range ratios {
					expected[i] += probability * math.Exp(ratio)
				}
			}
			for i, gain := range expected {
				require.LessOrEqual(t, gain, 1+1e-9, "ratio %g, tolerated %g, actual %g", betRatios[i], tolerated, actual)
			}
		}
	}
}

// Counts that say nothing about the odds leave the wealth of every bet as it is.
func TestBetsWithoutInformation(t *testing.T) {
	for name, sides := range map[string][sideCount]proportion{
		"no searches with the change": {{1, 10}, {0, 0}},
		"no searches without it":      {{0, 0}, {1, 10}},
		"none is bad":                 {{0, 10}, {0, 10}},
		"all are bad":                 {{10, 10}, {10, 10}},
		"more bad than all":           {{0, 10}, {11, 10}},
	} {
		require.Zero(t, logLikelihoodRatios(sides[changeSide], sides[baselineSide], 2), name)
	}
}
