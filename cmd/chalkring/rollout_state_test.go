package main

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/control/rollout"
)

// A start is counted against the attempt or, if nobody asked for it, against the running change. After too many starts
// the attempt is given up, and the running change is rolled back.
func TestRecordStart(t *testing.T) {
	running, previous, target := &rollout.Change{Number: 7}, &rollout.Change{Number: 6}, &rollout.Change{Number: 8}
	attempt := func(starts int) *restartAttempt { return &restartAttempt{Target: target, Epoch: 3, Starts: starts} }
	for _, test := range []struct {
		name    string
		failure string // of the child before, as the supervisor passes it on
		before  rolloutState
		after   rolloutState
	}{
		{
			name:   "planned",
			before: rolloutState{Running: running, EndedCleanly: true},
			after:  rolloutState{Running: running},
		},
		{
			name:   "unplanned",
			before: rolloutState{Running: running, UnplannedStarts: 1},
			after:  rolloutState{Running: running, UnplannedStarts: 2},
		},
		{
			name:   "too many unplanned",
			before: rolloutState{Running: running, Previous: previous, RunningEpoch: 2, UnplannedStarts: maxUnplannedStarts},
			after:  rolloutState{Running: previous, RunningEpoch: 2, FailedNumber: 7, FailedEpoch: 2, FailureReason: "started 6 times by itself"},
		},
		{
			name:   "too many unplanned with the own files",
			before: rolloutState{UnplannedStarts: maxUnplannedStarts},
			after:  rolloutState{UnplannedStarts: maxUnplannedStarts + 1},
		},
		{
			name:   "attempt",
			before: rolloutState{Running: running, Attempt: attempt(1), EndedCleanly: true},
			after:  rolloutState{Running: running, Attempt: attempt(2)},
		},
		{
			name:   "attempt that was started too often",
			before: rolloutState{Running: running, Attempt: attempt(maxAttemptStarts)},
			after:  rolloutState{Running: running, FailedNumber: 8, FailedEpoch: 3, FailureReason: "ended 2 times before it served"},
		},
		{
			name:    "attempt that failed",
			failure: "did not serve in time",
			before:  rolloutState{Running: running, Attempt: attempt(1)},
			after:   rolloutState{Running: running, FailedNumber: 8, FailedEpoch: 3, FailureReason: "did not serve in time"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Setenv(failureEnv, test.failure)
			runner := &rolloutRunner{clusterInstance: &clusterInstance{log: slog.New(slog.DiscardHandler)}, state: test.before}
			runner.recordStart()
			require.Equal(t, test.after, runner.state)
		})
	}
}
