package endpoints

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var testRules = Rules{Zones: []string{"hall", "far"}, Kinds: []string{"std"}, BlockSets: 4, SetsPerHost: 1}

func testHost(id string, cell int) Host {
	return Host{ID: id, Addr: "127.0.0.1:" + id, Zone: "hall", Kind: "std", Cell: cell, Weight: 1}
}

// testHosts returns hosts h0, h1 and so on, spread over the four cells.
func testHosts(count int) (hosts []Host) {
	for i := range count {
		hosts = append(hosts, testHost(fmt.Sprint("h", i), i%4))
	}
	return hosts
}

func listedIDs(r *Registry) (ids []string) {
	for _, endpoint := range r.List() {
		ids = append(ids, endpoint.ID)
	}
	return ids
}

func mustApply(t require.TestingT, r *Registry, now int64, update Update) (changed bool) {
	changed, err := r.Apply(now, update)
	require.NoError(t, err)
	return changed
}

func planUpdate(version int64, hosts []Host) Update {
	return Update{Source: "plan", Rank: RankPlan, Version: version, Hosts: hosts}
}

func discoveryUpdate(version int64, hosts []Host) Update {
	return Update{Source: "discovery", Rank: RankDiscovery, Version: version, Hosts: hosts}
}

func discoveryChanges(version int64, hosts ...Host) Update {
	return Update{Source: "discovery", Rank: RankDiscovery, Version: version, Partial: true, Hosts: hosts}
}

func fileUpdate(version int64, hosts []Host) Update {
	return Update{Source: "hosts.yaml", Rank: RankFile, Version: version, Hosts: hosts}
}

// Guards against a source that overrides one of a higher rank, and against an outdated version that is applied.
func TestEntryOfTheHighestRankWins(t *testing.T) {
	r := NewRegistry(testRules)
	require.True(t, mustApply(t, r, 1, planUpdate(1, testHosts(8))))
	require.EqualValues(t, 1, r.Generation())
	require.False(t, mustApply(t, r, 2, planUpdate(1, testHosts(4))), "an update that is not newer is ignored")
	moved := testHosts(8)
	moved[3].Addr, moved[3].Weight = "127.0.0.2:1", 2
	require.True(t, mustApply(t, r, 3, fileUpdate(1, moved[3:4])))
	require.Equal(t, "127.0.0.2:1", r.List()[3].Addr, "a file's entry wins over the plan's")
	require.Equal(t, "hosts.yaml", r.List()[3].Source)
	require.Equal(t, "plan", r.List()[2].Source)
	require.True(t, mustApply(t, r, 4, discoveryUpdate(7, testHosts(8))))
	require.Equal(t, "hosts.yaml", r.List()[3].Source, "a file's entry wins over discovery's, too")
	require.Equal(t, "127.0.0.2:1", r.List()[3].Addr)
	require.Equal(t, "discovery", r.List()[2].Source)
	require.False(t, mustApply(t, r, 5, discoveryChanges(8, testHosts(8)[3])))
	require.True(t, r.RemoveSource("hosts.yaml"))
	require.Equal(t, "127.0.0.1:h3", r.List()[3].Addr)
	require.EqualValues(t, 4, r.Generation())
}

// Guards against a draining host that gets searches again because another source lists it as up.
func TestHostDrainsUntilTheSourceRevokesIt(t *testing.T) {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, discoveryUpdate(1, testHosts(8)))
	up, draining := testHosts(1)[0], testHosts(1)[0]
	draining.State = StateDraining
	require.True(t, mustApply(t, r, 2, discoveryChanges(2, draining)))
	mustApply(t, r, 3, fileUpdate(1, []Host{up}))
	require.Equal(t, StateDraining, r.List()[0].State, "although a file lists it as up")
	require.Equal(t, []string{"discovery"}, r.List()[0].DrainedBy)
	require.True(t, mustApply(t, r, 4, discoveryChanges(3, up)))
	require.Equal(t, StateUp, r.List()[0].State)
}

// Guards against a partial update of a restarted source that is applied to the source's list from before its restart, and
// against a lower version that is applied without a reset.
func TestVersionResetNeedsACompleteList(t *testing.T) {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, planUpdate(1, testHosts(4)))
	_, err := r.Apply(3, Update{Source: "plan", Version: 0, VersionReset: true, Partial: true})
	require.Error(t, err)
	heavier := testHosts(4)
	heavier[2].Weight = 3
	require.False(t, mustApply(t, r, 4, planUpdate(0, heavier)))
	require.True(t, mustApply(t, r, 5, Update{Source: "plan", Version: 0, VersionReset: true, Hosts: heavier}))
}

// Guards against outdated hosts of the store that get searches after discovery has sent a list, however many they are.
func TestStoreIsRemovedByDiscovery(t *testing.T) {
	for _, isStoreFirst := range []bool{true, false} {
		for _, discovered := range []int{10, 4, 0} {
			t.Run(fmt.Sprintf("store first %t, of 12 hosts %d are left", isStoreFirst, discovered), func(t *testing.T) {
				r := NewRegistry(testRules)
				updates := []Update{
					{Source: "store", Rank: RankStore, Version: 1, Confirmed: true, Hosts: testHosts(12)},
					discoveryUpdate(9, testHosts(discovered)),
				}
				if !isStoreFirst {
					slices.Reverse(updates)
				}
				mustApply(t, r, 1, updates[0])
				mustApply(t, r, 2, updates[1])
				require.Len(t, r.List(), discovered)
			})
		}
	}
}

// Guards against a host of the plan that gets searches although discovery's first list leaves it out: a plan has the list
// that discovery had when the plan was written.
func TestDiscoveryReplacesThePlan(t *testing.T) {
	for name, test := range map[string]struct {
		first Update
		want  []string
	}{
		"by a complete list":     {discoveryUpdate(9, testHosts(12)[2:]), []string{"h10", "h11", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}},
		"by a list of one host":  {discoveryUpdate(9, testHosts(1)), []string{"h0"}},
		"by an empty list":       {discoveryUpdate(9, nil), nil},
		"by changes of its list": {discoveryChanges(9, testHost("new", 1), Host{ID: "h0", State: StateRemoved}), []string{"h1", "h2", "h3", "new"}},
	} {
		for _, isPlanFirst := range []bool{true, false} {
			if test.first.Partial && !isPlanFirst {
				continue // changes are changes of the plan's list
			}
			t.Run(fmt.Sprintf("%s, plan first %t", name, isPlanFirst), func(t *testing.T) {
				r, planned := NewRegistry(testRules), testHosts(12)
				if test.first.Partial {
					planned = testHosts(4)
				}
				updates := []Update{planUpdate(8, planned), test.first}
				if !isPlanFirst {
					slices.Reverse(updates)
				}
				mustApply(t, r, 1, fileUpdate(1, testHosts(2)))
				mustApply(t, r, 2, updates[0])
				mustApply(t, r, 3, updates[1])
				require.Equal(t, test.want, listedIDs(r), "the file does not bring back what discovery has left out")
			})
		}
	}
}

func BenchmarkThreeSources(b *testing.B) {
	hosts := testHosts(10_000)
	r := NewRegistry(testRules)
	for i := range b.N {
		for rank, name := range []string{"plan", "discovery", "hosts.yaml"} {
			update := Update{Source: name, Rank: Rank(rank), Version: int64(i + 1), Hosts: hosts}
			if _, err := r.Apply(int64(i+1), update); err != nil {
				b.Fatal(err)
			}
		}
	}
}
