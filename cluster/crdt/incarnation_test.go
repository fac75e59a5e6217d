package crdt

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Of two processes with the same name, the earlier one continues as a new incarnation and keeps the changes that only it
// had.
func TestSupersededIncarnationKeepsItsChanges(t *testing.T) {
	earlier, later, other := NewMap("a#1"), NewMap("a#2"), NewMap("b#1")
	for _, replica := range []*Map{earlier, later, other} {
		replica.SetMembers([]string{"a", "b"}, nil)
	}
	_, _ = earlier.Put("sent", []byte("1"))
	_, err := other.MergeBatch("a#1", buildBatch(earlier, true, "sent"))
	require.NoError(t, err)
	for range 3 { // the later incarnation and the other instance settle the earlier one
		later.NextRow()
		other.NextRow()
		exchangeToEnd(t, later, other)
		exchangeToEnd(t, other, later)
	}
	require.EqualValues(t, 2, other.KnownVersion().EndedBefore("a"))

	_, _ = earlier.Put("unsent", []byte("2"))
	exchange := earlier.NewExchange("b", 1)
	request, _ := exchange.NextRequest()
	response, err := other.HandleRequest("a", request)
	require.NoError(t, err)
	_, _, err = exchange.ApplyResponse(response)
	var superseded *SupersededError
	require.ErrorAs(t, err, &superseded)
	require.EqualValues(t, 2, superseded.EndedBefore)
	require.Contains(t, superseded.Advice(), "second process")

	require.Len(t, earlier.BeginIncarnation(3, "b"), 2)
	require.Equal(t, "a#3", earlier.Actor())
	exchangeToEnd(t, earlier, other)
	exchangeToEnd(t, other, earlier)
	for _, name := range []string{"sent", "unsent"} {
		entry, ok := other.Get(name)
		require.True(t, ok, name)
		require.Len(t, entry.Siblings, 1, name)
	}
}
