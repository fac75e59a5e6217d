package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Of any two different verdicts one overrides the other, whichever an instance learns of first.
func TestVerdictPrecedence(t *testing.T) {
	ascending := []Verdict{
		{Epoch: 1},
		{Epoch: 1, Order: OrderStop},
		{Epoch: 1, Order: OrderStop, Reason: "b", DecidedBy: "n2"},
		{Epoch: 1, Order: OrderStop, Reason: "b", DecidedBy: "n1"},
		{Epoch: 1, Order: OrderStop, Reason: "a", DecidedBy: "n1"},
		{Epoch: 1, Order: OrderRollBack, Reason: "b", DecidedBy: "n2"},
		{Epoch: 2},
	}
	for i, lower := range ascending {
		require.False(t, lower.overrides(lower))
		for _, higher := range ascending[i+1:] {
			require.True(t, higher.overrides(lower), "%v over %v", higher, lower)
			require.False(t, lower.overrides(higher), "%v over %v", lower, higher)
		}
	}
}
