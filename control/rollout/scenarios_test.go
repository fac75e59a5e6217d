package rollout

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A partition begins just as a step opens, for each step. The side without a majority then keeps what it runs, and
// after the partition all instances agree.
func TestPartitionAtEachStep(t *testing.T) {
	file := testChangeFile(1, "together: 0.3")
	for i := range len(file.Change.steps(11)) + 1 {
		step := i + 1
		s := newSimulation(t, 11, int64(i))
		s.setChangeFile(file, 3)
		isOpen := func() bool {
			return slices.ContainsFunc(s.nodes, func(n *node) bool { return n.hasActiveChange() && n.controller.active.openSteps >= step })
		}
		require.True(t, s.runUntil(600*second, isOpen), "step %d", step)
		s.isCut = func(a, b int) bool { return (a < 4) != (b < 4) }
		s.runFor(grantedRestartTime(file)) // restarts that were granted before the cut may happen
		var before []uint64
		for _, n := range s.nodes[:4] {
			before = append(before, n.runningNumber)
		}
		s.runFor(40 * second)
		for i, n := range s.nodes[:4] {
			require.Equal(t, before[i], n.runningNumber, "step %d, %s", step, n.instance.Name)
		}
		s.isCut = noCuts
		require.True(t, s.runUntil(900*second, s.hasAgreed), "step %d", step)
	}
}

// The first instance with a change is killed once it serves. If it comes back, the change goes on. If not, the change
// is rolled back and no other instance ever runs it.
func TestFirstInstanceIsKilledAfterRestart(t *testing.T) {
	for downtime, want := range map[int64]Order{5 * second: OrderProceed, 500 * second: OrderRollBack} {
		s := newSimulation(t, 9, 1)
		s.setChangeFile(testChangeFile(1), 0)
		var first *node
		require.True(t, s.runUntil(300*second, func() bool {
			for _, n := range s.nodes {
				if n.runningNumber == 1 && n.controller != nil && n.controller.status.ServingFor >= 0 {
					first = n
				}
			}
			return first != nil
		}))
		s.kill(first, downtime)
		require.True(t, s.runUntil(1500*second, s.hasAgreed))
		require.Equal(t, want, s.nodes[0].controller.status.Verdict.Order)
		if want == OrderRollBack {
			require.Len(t, s.instancesByChange[1], 1)
		}
	}
}

// An instance that is down while two changes complete applies the second once it is back. It applies the first before
// that, since the first is the base of the second.
func TestAbsentInstanceCatchesUp(t *testing.T) {
	s := newSimulation(t, 7, 1)
	s.runFor(70 * second)
	last := newRoster("c/1", s.instances()).order[6].Name // not the first, since a change waits for that one
	require.NotEqual(t, last, newRoster("c/2", s.instances()).order[0].Name)
	var absent *node
	for _, n := range s.nodes {
		if n.instance.Name == last {
			absent = n
		}
	}
	absent.controller, absent.startsAt = nil, s.now+2000*second
	isCompleteElsewhere := func(number uint64) func() bool {
		return func() bool {
			for _, n := range s.nodes {
				isComplete := n.hasActiveChange() && n.controller.active.Number == number && n.controller.isComplete()
				if n != absent && !isComplete {
					return false
				}
			}
			return true
		}
	}
	s.setChangeFile(testChangeFile(1), 0)
	require.True(t, s.runUntil(900*second, isCompleteElsewhere(1)))
	s.setChangeFile(testChangeFile(2), (absent.index+1)%7)
	require.True(t, s.runUntil(900*second, isCompleteElsewhere(2)))
	absent.startsAt = s.now
	require.True(t, s.runUntil(600*second, s.isComplete))
	require.Equal(t, uint64(2), absent.runningNumber)
}

// Different change files with the same number stop the change everywhere before any instance runs either of them. A
// file with a new number is applied.
func TestConflictingChangeFilesStopTheChange(t *testing.T) {
	s := newSimulation(t, 9, 1)
	s.setChangeFile(testChangeFile(1), 2)
	other := testChangeFile(1)
	other.Change.Settings = map[string]string{"Safety.ExtraFloor": "0.9"}
	s.setChangeFile(other, 7)
	require.True(t, s.runUntil(300*second, func() bool {
		return !slices.ContainsFunc(s.nodes, func(n *node) bool {
			return !n.hasActiveChange() || n.controller.status.Verdict.Order != OrderStop
		})
	}))
	s.runFor(60 * second)
	require.Zero(t, s.restartCount)
	s.setChangeFile(testChangeFile(2), 2, 7)
	require.True(t, s.runUntil(900*second, s.isComplete))
}
