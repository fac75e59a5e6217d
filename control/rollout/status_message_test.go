package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Fields that a later version adds are ignored, and those that an earlier one lacks are zero.
func TestStatusMessagesOfOtherVersions(t *testing.T) {
	later := map[int]any{1: map[int]any{1: "a", 9: "new"}, 2: 7, 3: 1, 10: 4, 11: 20, 12: map[int]any{1: 3, 2: 4, 3: "new"}, 99: []int{1}}
	text, err := cborEncoder.Marshal(later)
	require.NoError(t, err)
	c := New(InitialState{Self: Instance{Name: "b"}, Incarnation: 1, Members: []string{"a", "b"}})
	require.NoError(t, c.HandleEntry(1, StatusMessageKey("a"), text))
	require.Equal(t, PermitRequest{Number: 3, TargetNumber: 4}, c.peers["a"].PermitRequest)
	require.Equal(t, uint64(4), c.peers["a"].RunningNumber)
	var invalid *InvalidEntryError
	require.ErrorAs(t, c.HandleEntry(2, StatusMessageKey("b2"), text), &invalid) // another instance than the one in the key
	require.ErrorAs(t, c.HandleEntry(2, StatusMessageKey("a"), text[:9]), &invalid)
	earlier, err := cborEncoder.Marshal(map[int]any{1: map[int]any{1: "a"}, 2: 6, 3: 9, 10: 3})
	require.NoError(t, err)
	require.NoError(t, c.HandleEntry(3, StatusMessageKey("a"), earlier)) // a late message of an earlier incarnation
	require.Equal(t, uint64(4), c.peers["a"].RunningNumber)
}
