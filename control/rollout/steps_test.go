package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStagesAreSplitIntoSteps(t *testing.T) {
	for _, test := range []struct {
		name          string
		stages        []Stage
		maxConcurrent float64
		want          []step
	}{
		{
			"count, then fractions",
			[]Stage{{Count: 1, WatchDuration: 10}, {Fraction: 0.25, WatchDuration: 20}, {Fraction: 1, WatchDuration: 30}},
			1,
			[]step{{1, 10}, {5, 20}, {20, 30}},
		},
		{
			"a large stage is split, and watched after its last step",
			[]Stage{{Fraction: 1, WatchDuration: 10}},
			0.4,
			[]step{{8, 0}, {16, 0}, {20, 10}},
		},
		{
			"a stage without new instances prolongs the watch",
			[]Stage{{Fraction: 0.5, WatchDuration: 10}, {Count: 3, WatchDuration: 40}, {Fraction: 1}},
			1,
			[]step{{10, 40}, {20, 0}},
		},
		{
			"a step has at least one instance",
			[]Stage{{Count: 2}},
			0.01,
			[]step{{1, 0}, {2, 0}},
		},
	} {
		change := Change{Stages: test.stages, MaxConcurrentFraction: test.maxConcurrent}
		require.Equal(t, test.want, change.steps(20), test.name)
	}
}

func TestStepAtPosition(t *testing.T) {
	steps := []step{{end: 1}, {end: 5}}
	for position, want := range []int{1, 2, 2, 2, 2, 2} {
		require.Equal(t, want, stepAtPosition(steps, position), "position %d", position)
	}
}
