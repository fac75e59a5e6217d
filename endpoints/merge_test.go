package endpoints

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a zone conflict that is missed, or that stays after the sources agree. Sources conflict if they list a
// host, or its address, in different zones.
func TestZoneConflictLastsUntilSourcesAgree(t *testing.T) {
	r := NewRegistry(Rules{})
	apply := func(source string, rank Rank, version int64, hosts ...Host) {
		for i := range hosts {
			hosts[i].Weight = 1
		}
		mustApply(t, r, 1, Update{Source: source, Rank: rank, Version: version, Confirmed: true, Hosts: hosts})
	}
	apply("discovery", RankDiscovery, 1, Host{ID: "a", Addr: "1", Zone: "east"}, Host{ID: "b", Addr: "2", Zone: "east"}, Host{ID: "c", Addr: "3"})
	apply("file", RankFile, 1, Host{ID: "a", Addr: "1", Zone: "west"}, Host{ID: "x", Addr: "2", Zone: "west"}, Host{ID: "c", Addr: "3", Zone: "west"})
	conflicts := func() (ids string) {
		for _, endpoint := range r.List() {
			if endpoint.ZoneConflict {
				ids += endpoint.ID
			}
		}
		return ids
	}
	require.Equal(t, "ax", conflicts(), "only one source lists c's zone")
	before := r.Generation()
	apply("file", RankFile, 2, Host{ID: "a", Addr: "1", Zone: "east"}, Host{ID: "x", Addr: "2", Zone: "west"})
	require.Equal(t, "x", conflicts())
	require.Greater(t, r.Generation(), before)
}
