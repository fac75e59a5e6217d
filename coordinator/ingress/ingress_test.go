package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// isGranted reports whether a turn has been granted since the last call.
func isGranted(turn *Turn) bool {
	select {
	case <-turn.Granted():
		return true
	default:
		return false
	}
}

// Guards against suspect clients that delay trusted ones, or use more than their share of the processor.
func TestSuspectClientsStayWithinTheirShare(t *testing.T) {
	const cores, turnCost, length = 0.25, 100 * time.Microsecond, 10 * time.Second
	s := NewScheduler(cores, 0)
	suspects := make([]*Turn, 50)
	for i := range suspects {
		suspects[i] = NewTurn()
		s.Request(suspects[i], Suspect, 0)
	}
	used, trusted := time.Duration(0), NewTurn()
	for now := time.Duration(0); now < length; now += turnCost {
		s.Grant(now)
		for _, turn := range suspects {
			if !isGranted(turn) {
				continue
			}
			s.Request(trusted, Trusted, now)
			require.Zero(t, s.Grant(now)) // no wait for credit, but for the slot
			require.False(t, isGranted(trusted))
			s.Finish(turn, turnCost, now)
			used += turnCost
			s.Grant(now)
			require.True(t, isGranted(trusted))
			s.Finish(trusted, turnCost, now)
			s.Request(turn, Suspect, now)
		}
	}
	share := shares[Suspect] * cores * float64(length)
	require.LessOrEqual(t, float64(used), share+cores*float64(maxCredits[Suspect])+float64(turnCost))
	require.GreaterOrEqual(t, float64(used), 0.9*share)
}

// Guards against a client that waits although others of its priority that came later have had their turn, and against a
// request that counts after it was taken back.
func TestTurnsAreInOrder(t *testing.T) {
	s := NewScheduler(1, 0)
	turns := []*Turn{NewTurn(), NewTurn(), NewTurn()}
	for _, turn := range turns {
		s.Request(turn, Unproven, 0)
	}
	s.Grant(0)
	require.True(t, isGranted(turns[0]))
	require.False(t, s.Withdraw(turns[0]))
	require.True(t, s.Withdraw(turns[1]))
	s.Finish(turns[0], time.Second, 0)
	wait := s.Grant(0)
	require.False(t, isGranted(turns[2]))
	require.Positive(t, wait)
	require.Zero(t, s.Grant(wait))
	require.True(t, isGranted(turns[2]))
}

// Guards against new clients that all wait until their time is over because too many came before them.
func TestLastTurnsGoFirstWhenAllWaitLong(t *testing.T) {
	s := NewScheduler(1, 0)
	turns := []*Turn{NewTurn(), NewTurn(), NewTurn(), NewTurn()}
	s.Request(turns[0], Unproven, 0)
	s.Grant(0)
	require.True(t, isGranted(turns[0]))
	s.Request(turns[1], Unproven, 0)
	s.Request(turns[2], Unproven, maxOrderedWait/2)
	s.Request(turns[3], Unproven, maxOrderedWait)
	s.Finish(turns[0], 0, maxOrderedWait+1)
	s.Grant(maxOrderedWait + 1)
	require.True(t, isGranted(turns[3]))
	require.True(t, s.Withdraw(turns[1]))
	s.Finish(turns[3], 0, maxOrderedWait+1)
	s.Grant(maxOrderedWait + 1)
	require.True(t, isGranted(turns[2]))
}

// Guards against requests that hold more than the limit together, and against one that is evicted for a larger one.
func TestRequestsStayWithinTheMemory(t *testing.T) {
	const large = 64 << 10
	m := NewMemory(3 * large)
	var evicted []int
	holdings := make([]*Holding, 6)
	for i := range holdings {
		holdings[i] = &Holding{Evict: func() { evicted = append(evicted, i) }}
		require.True(t, m.Reserve(holdings[i], FreeBytes)) // is always granted
	}
	for i := range 3 {
		require.True(t, m.Reserve(holdings[i], large))
	}
	require.False(t, m.Reserve(holdings[3], large), "no larger one can make room")
	require.Empty(t, evicted)
	require.True(t, m.Reserve(holdings[3], large/2))
	require.Equal(t, []int{0}, evicted)
	require.False(t, m.Reserve(holdings[0], 1), "it has to give up")
	m.Release(holdings[0], FreeBytes+large)
	m.Complete(holdings[1])
	m.Complete(holdings[2])
	require.False(t, m.Reserve(holdings[4], large), "complete requests cannot be evicted")
	m.Release(holdings[1], FreeBytes+large)
	require.True(t, m.Reserve(holdings[4], large))
	for _, i := range []int{2, 3, 4} {
		m.Release(holdings[i], holdings[i].bytes)
	}
	require.Zero(t, m.used)
	require.Empty(t, m.large)
}

// Guards against memory that counts as free although its request was complete before it could be evicted.
func TestCompleteRequestKeepsItsMemory(t *testing.T) {
	m := NewMemory(FreeBytes)
	first, second := &Holding{Evict: func() {}}, &Holding{Evict: func() {}}
	require.True(t, m.Reserve(first, 2*FreeBytes))
	require.True(t, m.Reserve(second, FreeBytes+1)) // evicts the first
	m.Complete(first)
	require.Equal(t, FreeBytes+1, m.used)
	m.Release(first, 2*FreeBytes)
	m.Release(second, FreeBytes+1)
	require.Zero(t, m.used)
	require.Empty(t, m.large)
}
