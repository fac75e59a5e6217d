package endpoints

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func newRegistryWithFile(t *testing.T) *Registry {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, fileUpdate(1, testHosts(12)))
	return r
}

// Guards against a truncated file or a source that lost its state taking many hosts out of use at once, and against a
// correct list that is held back forever.
func TestUpdateThatDropsManyHostsIsHeldBack(t *testing.T) {
	t.Run("until the hold-back time is over", func(t *testing.T) {
		r := newRegistryWithFile(t)
		require.False(t, mustApply(t, r, 10, fileUpdate(2, testHosts(6))))
		require.Equal(t, map[string]string{"hosts.yaml": "drops 6 of 12 hosts"}, r.HeldBackSources())
		require.Len(t, r.List(), 12)
		require.False(t, r.Tick(10+holdBackTime-1))
		require.True(t, r.Tick(10+holdBackTime), "nobody has corrected the list, so it is taken as intended")
		require.Len(t, r.List(), 6)
		require.Empty(t, r.HeldBackSources())
	})
	t.Run("until the source corrects it", func(t *testing.T) {
		r := newRegistryWithFile(t)
		mustApply(t, r, 10, fileUpdate(2, testHosts(6)))
		require.False(t, mustApply(t, r, 20, fileUpdate(3, testHosts(12))))
		require.Empty(t, r.HeldBackSources())
		require.False(t, r.Tick(10+holdBackTime))
		require.Len(t, r.List(), 12)
	})
	t.Run("unless it is confirmed", func(t *testing.T) {
		r := newRegistryWithFile(t)
		confirmed := fileUpdate(2, testHosts(6))
		confirmed.Confirmed = true
		require.True(t, mustApply(t, r, 10, confirmed))
		require.Len(t, r.List(), 6)
	})
	t.Run("and takes later partial updates", func(t *testing.T) {
		r := newRegistryWithFile(t)
		mustApply(t, r, 10, fileUpdate(2, testHosts(6)))
		partial := fileUpdate(3, []Host{testHost("new", 1)})
		partial.Partial = true
		mustApply(t, r, 11, partial)
		r.Tick(10 + holdBackTime)
		require.Len(t, r.List(), 7)
	})
}

// Guards against an update that drops few hosts, but all that hold a block set, so that its searches find no host.
func TestUpdateThatDropsTheLastHolderOfABlockSetIsHeldBack(t *testing.T) {
	r := newRegistryWithFile(t)
	withoutCell3 := slices.DeleteFunc(testHosts(12), func(h Host) bool { return h.Cell == 3 })
	require.False(t, mustApply(t, r, 10, fileUpdate(2, withoutCell3)))
	require.Equal(t, "leaves block set 3 without a holder", r.HeldBackSources()["hosts.yaml"])
	mustApply(t, r, 11, discoveryUpdate(1, []Host{testHost("other", 3)}))
	require.True(t, mustApply(t, r, 12, fileUpdate(3, withoutCell3)), "a host of another source holds the block set")
}
