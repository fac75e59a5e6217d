package endpoints

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func slowFileUpdate(version int64, hosts []Host) Update {
	return Update{Source: "slow.yaml", Rank: RankFile, Version: version, Hosts: hosts}
}

// Guards against a slower source that brings back a removed host, and against a removal that nothing can revoke.
func TestRemovedHostReturns(t *testing.T) {
	for name, bringBack := range map[string]func(t *testing.T, r *Registry){
		"when the source that removed it lists it": func(t *testing.T, r *Registry) {
			require.True(t, mustApply(t, r, 6, discoveryUpdate(3, testHosts(9))))
		},
		"when a source lists a later start": func(t *testing.T, r *Registry) {
			restarted := testHosts(9)
			restarted[0].StartedMS = 5
			require.True(t, mustApply(t, r, 6, fileUpdate(3, restarted)))
		},
		"when another source changes its entry after the removal's memory": func(t *testing.T, r *Registry) {
			require.False(t, mustApply(t, r, 3+removalMemory, slowFileUpdate(3, testHosts(9))), "time alone does not bring it back")
			changed := testHosts(9)
			changed[0].Weight = 2
			require.True(t, mustApply(t, r, 4+removalMemory, slowFileUpdate(4, changed)))
		},
		"when another source adds it after the removal's memory": func(t *testing.T, r *Registry) {
			require.False(t, mustApply(t, r, 6, slowFileUpdate(3, testHosts(9)[1:])))
			require.True(t, mustApply(t, r, 3+removalMemory, slowFileUpdate(4, testHosts(9))))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(testRules)
			mustApply(t, r, 1, planUpdate(1, testHosts(9)))
			mustApply(t, r, 1, slowFileUpdate(1, testHosts(9)))
			mustApply(t, r, 2, discoveryUpdate(1, testHosts(9)))
			require.True(t, mustApply(t, r, 3, discoveryUpdate(2, testHosts(9)[1:])))
			require.NotContains(t, listedIDs(r), "h0")
			require.False(t, mustApply(t, r, 4, planUpdate(2, testHosts(9))), "the plan does not bring it back")
			require.False(t, mustApply(t, r, 4, slowFileUpdate(2, testHosts(9))), "a slower source does not bring it back")
			mustApply(t, r, 5, fileUpdate(2, testHosts(9)[1:]))
			require.NotContains(t, listedIDs(r), "h0")
			bringBack(t, r)
			require.Contains(t, listedIDs(r), "h0")
		})
	}
}

// removalsOfEarlierRun returns removals as a store keeps them: discovery removed h3 and h4 100 s ago.
func removalsOfEarlierRun(t *testing.T) []Removal {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, discoveryUpdate(5, testHosts(8)))
	mustApply(t, r, 2, discoveryChanges(6, Host{ID: "h3", State: StateRemoved}, Host{ID: "h4", State: StateRemoved}))
	removals := r.Removals(100 * ticksPerSecond)
	require.Equal(t, []Removal{
		{ID: "h3", RemovedBy: "discovery", Age: 100*ticksPerSecond - 2},
		{ID: "h4", RemovedBy: "discovery", Age: 100*ticksPerSecond - 2},
	}, removals)
	return removals
}

func newRegistryWithStoredRemovals(t *testing.T, removals []Removal) *Registry {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, planUpdate(5, testHosts(8)))
	require.True(t, mustApply(t, r, 2, Update{Source: "store", Rank: RankStore, Version: 1, Confirmed: true, Removals: removals}))
	require.Len(t, r.List(), 6)
	return r
}

// Guards against a removal that a restart makes younger, so that a new statement of another source does not revoke it, and
// against one that ends by its age while another source's old entry still lists the host.
func TestStoredRemovalExpiresByItsAge(t *testing.T) {
	r := newRegistryWithStoredRemovals(t, removalsOfEarlierRun(t))
	mustApply(t, r, 3, slowFileUpdate(1, testHosts(8)))
	require.Len(t, r.List(), 6, "a slower source does not bring the hosts back")
	changed := testHosts(8)
	changed[3].Weight, changed[4].Weight = 2, 2
	mustApply(t, r, 3+removalMemory-100*ticksPerSecond, slowFileUpdate(2, changed))
	require.Len(t, r.List(), 6, "the removals are not old enough for another source's word")
	mustApply(t, r, 4+removalMemory-100*ticksPerSecond, slowFileUpdate(3, changed))
	require.Len(t, r.List(), 6, "an entry as it was says nothing new")
	mustApply(t, r, 4+removalMemory-100*ticksPerSecond, slowFileUpdate(4, testHosts(8)))
	require.Len(t, r.List(), 8)
}

// Guards against a stored removal that keeps out a host which was listed again or restarted.
func TestStoredRemovalIsRevoked(t *testing.T) {
	removals := removalsOfEarlierRun(t)
	r := newRegistryWithStoredRemovals(t, removals)
	mustApply(t, r, 3, discoveryUpdate(7, slices.Delete(testHosts(8), 4, 5)))
	require.Len(t, r.List(), 7, "the source that removed h3 lists it again")
	restarted := testHosts(8)
	restarted[4].StartedMS = 7
	mustApply(t, r, 4, Update{Source: "later.yaml", Rank: RankFile, Version: 1, Hosts: restarted})
	require.Len(t, r.List(), 8, "h4 has a later start")
	mustApply(t, r, 5, Update{Source: "late", Rank: RankStore, Version: 1, Confirmed: true, Removals: removals})
	require.Len(t, r.List(), 8, "a revoked removal is not adopted")
}

// Guards against an invalid removal that is accepted and remembered.
func TestRemovalWithoutIDIsRejected(t *testing.T) {
	r := NewRegistry(testRules)
	_, err := r.Apply(6, Update{Source: "store", Rank: RankStore, Version: 2, Removals: []Removal{{RemovedBy: "x"}}})
	require.ErrorAs(t, err, new(InvalidListError))
}

// Guards against a host file's drop of a host that ends at discovery's next change of another host, because the file says no
// start of the host and discovery does.
func TestRemovalIsOfTheIncarnationInUse(t *testing.T) {
	for name, remove := range map[string]Update{
		"dropped by a file":                  fileUpdate(2, testHosts(8)[1:]),
		"removed by a file":                  fileUpdate(2, append(testHosts(8)[1:], Host{ID: "h0", State: StateRemoved})),
		"removed by another source's change": {Source: "other.yaml", Rank: RankFile, Version: 1, Hosts: []Host{{ID: "h0", State: StateRemoved}}},
	} {
		t.Run(name, func(t *testing.T) {
			started := testHosts(8)
			started[0].StartedMS = 7
			r := NewRegistry(testRules)
			mustApply(t, r, 1, planUpdate(1, started))
			mustApply(t, r, 2, fileUpdate(1, testHosts(8)))
			mustApply(t, r, 3, discoveryUpdate(1, started))
			require.True(t, mustApply(t, r, 4, remove))
			require.NotContains(t, listedIDs(r), "h0")
			require.True(t, mustApply(t, r, 5, discoveryChanges(2, testHost("new", 1))))
			require.False(t, mustApply(t, r, 6, discoveryUpdate(3, append(started, testHost("new", 1)))))
			require.NotContains(t, listedIDs(r), "h0")
			started[0].StartedMS = 8
			require.True(t, mustApply(t, r, 7, discoveryChanges(4, started[0])))
			require.Contains(t, listedIDs(r), "h0", "it has been started again")
		})
	}
}

// Guards against a host that two sources have removed and that returns as soon as one of them lists it again.
func TestEachRemoverHasToRevokeItsRemoval(t *testing.T) {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, discoveryUpdate(1, testHosts(8)))
	mustApply(t, r, 2, fileUpdate(1, testHosts(8)))
	mustApply(t, r, 3, fileUpdate(2, testHosts(8)[1:]))
	mustApply(t, r, 4, discoveryChanges(2, Host{ID: "h0", State: StateRemoved}))
	mustApply(t, r, 5, discoveryChanges(3, testHosts(1)[0]))
	require.NotContains(t, listedIDs(r), "h0", "the file has not listed it again")
	require.True(t, mustApply(t, r, 6, fileUpdate(3, testHosts(8))))
	require.Contains(t, listedIDs(r), "h0")
}

// Guards against a host that a file in force lists as removed and that a source brings into use later, when the removal is
// older than its memory.
func TestRemovedEntryOfAFileHoldsWhileTheFileIsInForce(t *testing.T) {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, discoveryUpdate(1, testHosts(8)[1:]))
	mustApply(t, r, 2, fileUpdate(1, []Host{{ID: "h0", State: StateRemoved}}))
	mustApply(t, r, 3+removalMemory, discoveryChanges(2, testHost("new", 1)))
	require.False(t, mustApply(t, r, 4+removalMemory, discoveryChanges(3, testHosts(1)[0])))
	require.NotContains(t, listedIDs(r), "h0")
	require.True(t, mustApply(t, r, 5+removalMemory, fileUpdate(2, testHosts(1))))
	require.Contains(t, listedIDs(r), "h0")
}

// Guards against removals that take more and more memory, and against the loss of one that still keeps a host out of use.
func TestRemovalsAreBounded(t *testing.T) {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, discoveryUpdate(1, testHosts(8)))
	mustApply(t, r, 1, slowFileUpdate(1, testHosts(1)))
	mustApply(t, r, 2, discoveryChanges(2, Host{ID: "h0", State: StateRemoved}))
	for i := range 3 {
		var removed []Host
		for j := range maxHostsPerSource / 2 {
			removed = append(removed, Host{ID: fmt.Sprint("gone-", i, "-", j), State: StateRemoved})
		}
		mustApply(t, r, int64(3+i), discoveryChanges(int64(3+i), removed...))
	}
	mustApply(t, r, 6, discoveryChanges(6, testHost("new", 1)))
	require.Len(t, r.Removals(6), maxHostsPerSource)
	require.NotContains(t, listedIDs(r), "h0")
	mustApply(t, r, 6+removalMemory, discoveryChanges(7, testHost("newer", 1)))
	require.Len(t, r.Removals(6+removalMemory), 1, "h0, which the file still lists")
}
