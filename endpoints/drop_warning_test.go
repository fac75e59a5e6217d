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

// Guards against a host that goes on getting searches after its source has dropped it, because the update that drops it
// drops many at once, and against an operator who is not told that an update did so.
func TestUpdateThatDropsManyHostsCountsAtOnce(t *testing.T) {
	t.Run("with a warning", func(t *testing.T) {
		r := newRegistryWithFile(t)
		require.True(t, mustApply(t, r, 10, fileUpdate(2, testHosts(6))))
		require.Equal(t, "drops 6 of 12 hosts", r.Warning())
		require.Len(t, r.List(), 6)
		require.False(t, mustApply(t, r, 11, fileUpdate(3, testHosts(6))))
		require.Empty(t, r.Warning(), "the warning was about the update before")
	})
	t.Run("until the source corrects it", func(t *testing.T) {
		r := newRegistryWithFile(t)
		mustApply(t, r, 10, fileUpdate(2, testHosts(6)))
		require.True(t, mustApply(t, r, 20, fileUpdate(3, testHosts(12))))
		require.Empty(t, r.Warning())
		require.Len(t, r.List(), 12)
	})
	t.Run("without a warning if it is confirmed", func(t *testing.T) {
		r := newRegistryWithFile(t)
		confirmed := fileUpdate(2, testHosts(6))
		confirmed.Confirmed = true
		require.True(t, mustApply(t, r, 10, confirmed))
		require.Len(t, r.List(), 6)
		require.Empty(t, r.Warning())
	})
	t.Run("and is the base of later partial updates", func(t *testing.T) {
		r := newRegistryWithFile(t)
		mustApply(t, r, 10, fileUpdate(2, testHosts(6)))
		partial := fileUpdate(3, []Host{testHost("new", 1)})
		partial.Partial = true
		mustApply(t, r, 11, partial)
		require.Len(t, r.List(), 7)
	})
}

// Guards against a host that gets searches although its source has dropped it, drains it or has removed it, because it or
// another host of the update is the last holder of a block set.
func TestUpdateThatUncoversABlockSetCountsAtOnce(t *testing.T) {
	draining := func(hosts []Host) []Host {
		for i := range hosts {
			if hosts[i].Cell == 3 || hosts[i].ID == "h0" {
				hosts[i].State = StateDraining
			}
		}
		return hosts
	}
	removed := draining(testHosts(12))
	for i := range removed {
		if removed[i].State == StateDraining {
			removed[i].State = StateRemoved
		}
	}
	isUp := func(h Host) bool { return h.State == StateUp }
	left := slices.DeleteFunc(slices.Clone(removed), func(h Host) bool { return !isUp(h) })
	changesOf := func(hosts []Host) []Host { return slices.DeleteFunc(slices.Clone(hosts), isUp) }
	for name, update := range map[string]Update{
		"a complete list of discovery that drains":     discoveryUpdate(2, draining(testHosts(12))),
		"a complete list of discovery that leaves out": discoveryUpdate(2, left),
		"changes of discovery that drain":              discoveryChanges(2, changesOf(draining(testHosts(12)))...),
		"changes of discovery that remove":             discoveryChanges(2, changesOf(removed)...),
		"a host file that drains":                      fileUpdate(2, draining(testHosts(12))),
		"a host file that removes":                     fileUpdate(2, removed),
		"a host file that drops":                       fileUpdate(2, left),
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(testRules)
			mustApply(t, r, 1, planUpdate(1, testHosts(12)))
			mustApply(t, r, 1, Update{Source: "store", Rank: RankStore, Version: 1, Confirmed: true, Hosts: testHosts(12)})
			mustApply(t, r, 1, discoveryUpdate(1, testHosts(12)))
			mustApply(t, r, 1, fileUpdate(1, testHosts(12)))
			require.True(t, mustApply(t, r, 10, update))
			require.NotEmpty(t, r.Warning())
			require.Equal(t, []int{3}, r.UncoveredSets())
			for _, endpoint := range r.List() {
				if endpoint.State == StateUp {
					require.NotContains(t, []string{"h0", "h3", "h7", "h11"}, endpoint.ID)
				}
			}
		})
	}
}

// Guards against a warning that a block set has no holder while a host of another source holds it.
func TestNoWarningWhileAnotherSourceHoldsTheBlockSet(t *testing.T) {
	r := newRegistryWithFile(t)
	withoutCell3 := slices.DeleteFunc(testHosts(12), func(h Host) bool { return h.Cell == 3 })
	mustApply(t, r, 11, discoveryUpdate(1, []Host{testHost("other", 3)}))
	require.True(t, mustApply(t, r, 12, fileUpdate(2, withoutCell3)))
	require.Empty(t, r.Warning())
}
