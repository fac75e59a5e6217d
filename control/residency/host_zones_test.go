package residency

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHostIsInNoZoneWithoutCertainty(t *testing.T) {
	zones := NewHostZones(100)
	zones.UpdateHosts(10, true, []Host{{ID: "a", Addr: "1", Zone: "eu-1"}, {ID: "b", Addr: "2"}, {ID: "c", Addr: "3", Zone: "eu-1", ZoneConflict: true}})
	require.Equal(t, "eu-1", zones.Zone(10, "a"))
	require.Empty(t, zones.Zone(10, "b"), "its zone is unknown")
	require.Empty(t, zones.Zone(10, "c"), "the sources of the list state different zones")
	require.Empty(t, zones.Zone(10, "d"), "it is not listed")
}

func TestHostThatMovesIsHeldDown(t *testing.T) {
	zones := NewHostZones(100)
	listOnly := func(now int64, host Host) { zones.UpdateHosts(now, true, []Host{host}) }
	listOnly(10, Host{ID: "a", Addr: "1", Zone: "eu-1"})
	listOnly(20, Host{ID: "a", Addr: "1", Zone: "us-1"})
	require.Empty(t, zones.Zone(20, "a"))
	require.Equal(t, int64(120), zones.NextHoldDownEnd(20))
	require.Equal(t, "us-1", zones.Zone(120, "a"))
	listOnly(130, Host{ID: "a2", Addr: "1", Zone: "us-1"})
	require.Equal(t, "us-1", zones.Zone(130, "a2"), "it was only renamed")
	listOnly(140, Host{ID: "a3", Addr: "1", Zone: "eu-1"})
	require.Empty(t, zones.Zone(140, "a3"), "renamed and moved: its address is held down")
	listOnly(150, Host{ID: "a2", Addr: "9", Zone: "eu-1"})
	require.Empty(t, zones.Zone(150, "a2"), "it was unlisted for a moment and is back in another zone")
	listOnly(500, Host{ID: "z", Addr: "7", Zone: "eu-1"})
	listOnly(601, Host{ID: "z", Addr: "7", Zone: "eu-1"})
	require.Len(t, zones.byID, 1, "hosts that left are forgotten after the hold-down")
	require.Len(t, zones.byAddress, 1)
	zones.UpdateHosts(700, false, []Host{{ID: "z", Removed: true}})
	zones.UpdateHosts(710, false, []Host{{ID: "z", Addr: "7", Zone: "us-1"}})
	require.Empty(t, zones.Zone(710, "z"), "it was in the other zone until 700")
}
