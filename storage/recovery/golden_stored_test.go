package recovery

import (
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
	"chalkring/endpoints"
)

// Guards against an unintended change of the stored form of start records.
func TestGoldenStarts(t *testing.T) {
	golden.RequireCBOR(t, "starts.hex", StartRecord{RecentStarts: []int64{1_700_000_000_000, 1_700_000_030_000}, StoreQuarantined: true})
	golden.RequireCBOR(t, "starts-after-planned-stop.hex", StartRecord{}.RecordPlannedStop())
}

// Guards against an unintended change of the stored form of endpoint lists. The hosts cover all states and have a
// different value in each field; hosts are stored as maps by field name.
func TestGoldenHostList(t *testing.T) {
	golden.RequireCBOR(t, "host-list.hex", EndpointList{
		SavedAt: 1_700_000_000_000, PlanVersion: 3, DiscoveryVersion: 9,
		Hosts: []Host{
			{Host: endpoints.Host{ID: "a0", Addr: "10.0.0.1:7000", Zone: "eu-1", Kind: "large", Cell: 2, State: endpoints.StateUp, Weight: 1.5, StartedMS: 1_699_999_000_000, Line: 4, Column: 6}},
			{Host: endpoints.Host{ID: "b0", Addr: "10.0.0.2:7000", Zone: "eu-2", State: endpoints.StateDraining, Weight: 1}},
			{Host: endpoints.Host{ID: "c0", Addr: "10.0.0.3:7000", State: endpoints.StateRemoved}},
		},
		Removals: []Removal{{ID: "d0", RemovedBy: "discovery", StartedMS: 1_699_999_500_000, RemovedAt: 1_699_999_900_000}},
	})
	golden.RequireCBOR(t, "host-list-empty.hex", EndpointList{SavedAt: 1})
	golden.RequireCBOR(t, "host-list-with-sources.hex", EndpointList{
		SavedAt: 1_700_000_000_000, PlanVersion: 3, DiscoveryVersion: 9,
		Hosts: []Host{{
			Host:     endpoints.Host{ID: "a0", Addr: "10.0.0.1:7000", Zone: "eu-1", State: endpoints.StateDraining, Weight: 1},
			ListedBy: []string{"hosts.d/a.yaml", "discovery"}, DrainedBy: []string{"hosts.d/a.yaml"},
		}},
	})
}

// Guards against an unintended change of the stored form of observations.
func TestGoldenObservations(t *testing.T) {
	golden.RequireCBOR(t, "observations.hex", Observations{
		SavedAt: 1_700_000_000_000,
		Head: peerreport.ReportHeader{
			Peer: "east-0", Locality: "eu-1", Serial: 7, ListVersion: 9, AgeMs: 1200, AnswerCount: 800, FleetLatency: 150, MinLatency: 20, HostCount: 2,
			Zones: []peerreport.ZoneObservation{{Name: "eu-1", Samples: 500, LogSlowdown: -3}, {Name: "eu-2", Samples: 300, LogSlowdown: 250}},
		},
		Entries: []peerreport.Observation{
			{HostID: "a0", ZoneIndex: 1, StartedMs: 1_699_999_000_000, ShortSamples: 11, LongSamples: 12, ShortLogSlowdown: -13, LongLogSlowdown: 14, ConsecutiveFailures: 15, ConnectFailures: 16, UnansweredRequests: 17, SilentMs: 18, AgeMs: 19, IsOutlier: true},
			{HostID: "b0", AgeMs: peerreport.NeverAnswered},
		},
	})
}

// Guards against a change that cannot restore what earlier versions stored, or that renames the sources and trust levels
// in logs and events.
func TestGoldenRestore(t *testing.T) {
	read := func(name string, to any) {
		require.NoError(t, cbor.Unmarshal(golden.ReadHex(t, name), to))
	}
	var list EndpointList
	var observations Observations
	read("host-list.hex", &list)
	read("observations.hex", &observations)
	require.NoError(t, observations.Validate())
	restored := Restore(1_700_000_002_000, TrustAll, 3, &list, &observations)
	require.Empty(t, restored.Discarded)
	require.Equal(t, "store", restored.Update.Source)
	require.Equal(t, "#store", PeerName)
	require.Equal(t, []string{"all", "no_notes", "no_list", "nothing"},
		[]string{TrustAll.String(), TrustWithoutObservations.String(), TrustWithoutEndpoints.String(), TrustNothing.String()}, "names in events and log lines")
	require.Len(t, restored.Update.Hosts, 3)
	for i, host := range list.Hosts {
		require.Equal(t, host.Host, restored.Update.Hosts[i])
	}
	require.Empty(t, restored.Update.Origins, "earlier versions do not say which sources list a host")
	read("host-list-with-sources.hex", &list)
	require.Equal(t, map[string]endpoints.Origin{"a0": {ListedBy: []string{"hosts.d/a.yaml", "discovery"}, DrainedBy: []string{"hosts.d/a.yaml"}}},
		Restore(1_700_000_002_000, TrustAll, 3, &list, nil).Update.Origins)
	read("host-list.hex", &list)
	require.Equal(t, []endpoints.Removal{{ID: "d0", RemovedBy: "discovery", StartedMS: 1_699_999_500_000, Age: 1_020_000}}, restored.Update.Removals)
	require.Equal(t, uint32(3200), restored.Observations.Head.AgeMs)
	require.Equal(t, observations.Entries, restored.Observations.Entries)
}
