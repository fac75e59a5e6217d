package crdt

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An instance that was absent for so long that a tombstone was collected without waiting for it brings no deleted value
// back, and learns which of its changes the peer had not seen.
func TestReturnAfterLongAbsence(t *testing.T) {
	present, absent := NewMap("a#1"), NewMap("b#1")
	_, _ = present.Put("x", []byte("1"))
	exchangeToEnd(t, absent, present)
	_, _ = absent.Put("y", []byte("unseen"))
	_, _ = present.Delete("x")
	present.SetMembers([]string{"a", "b"}, []string{"b"})
	require.Equal(t, []string{"x"}, present.CollectTombstones())

	exchange := absent.NewExchange("a", 1)
	request, _ := exchange.NextRequest()
	response, err := present.HandleRequest("b", request)
	require.NoError(t, err)
	_, _, err = exchange.ApplyResponse(response)
	require.NoError(t, err)
	require.True(t, exchange.MissedDeletes)
	require.Equal(t, []string{"y"}, exchange.UnsyncedNames)

	exchangeToEnd(t, present, absent)
	exchangeToEnd(t, absent, present)
	for _, replica := range []*Map{present, absent} {
		_, ok := replica.Get("x")
		require.False(t, ok)
		_, ok = replica.Get("y")
		require.True(t, ok)
	}
}

// A tombstone that one replica has collected is dropped by another whose known version covers no less; otherwise the two
// would differ forever.
func TestCollectedTombstoneIsDroppedByEqualReplica(t *testing.T) {
	a, b := NewMap("a#1"), NewMap("b#1")
	_, _ = a.Put("x", []byte("1"))
	_, _ = a.Delete("x")
	exchangeToEnd(t, b, a)
	exchangeToEnd(t, a, b)
	a.SetMembers([]string{"a"}, nil)
	require.Equal(t, []string{"x"}, a.CollectTombstones())
	require.Equal(t, a.KnownVersion(), b.KnownVersion())
	exchangeToEnd(t, b, a)
	require.Equal(t, a.Digest(TreeNode{}), b.Digest(TreeNode{}))
}
