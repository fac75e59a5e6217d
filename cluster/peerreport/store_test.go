package peerreport

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/balancer"
)

// TestMain fixes the seed of the property tests, so that their result is reproducible. Flags on the command line take
// precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// listAll stands for an endpoint list that contains every host, each started long ago.
func listAll(string) (startMs int64, listed bool) { return 0, true }

// putReport stores a complete report of observations.
func putReport(t require.TestingT, s *ReportStore, polledAt int64, peer string, observations ...Observation) {
	header := ReportHeader{Peer: peer, Serial: uint64(polledAt), HostCount: uint32(len(observations))}
	putReportWithHeader(t, s, polledAt, header, observations...)
}

func putReportWithHeader(t require.TestingT, s *ReportStore, polledAt int64, header ReportHeader, observations ...Observation) {
	require.NoError(t, s.BeginReport(polledAt, header))
	require.NoError(t, s.AddObservations(header.Peer, observations))
	s.CompleteReport(header.Peer)
}

// slowHost is an observation of a host that is slower than the fleet by thousandths of a natural logarithm.
func slowHost(id string, thousandths int16) Observation {
	return Observation{HostID: id, ShortSamples: 80, LongSamples: 80, ShortLogSlowdown: thousandths, LongLogSlowdown: thousandths}
}

func outlierHost(id string) Observation {
	return Observation{HostID: id, IsOutlier: true, UnansweredRequests: 5}
}

// combinedHost returns the combined observation of one host, or the zero value if there is none.
func combinedHost(combined []balancer.GossipedObservation, id string) balancer.GossipedObservation {
	for _, observation := range combined {
		if observation.Scope == balancer.ScopeReplica && observation.Replica == id {
			return observation
		}
	}
	return balancer.GossipedObservation{}
}

// A report must not affect a host that has restarted, moved to another machine or left the endpoint list since the
// observation was taken: it describes another process or machine.
func TestObservationsOfAnotherProcessOrMachineAreIgnored(t *testing.T) {
	startMs := map[string]int64{"h1": 0}
	hostStart := func(id string) (int64, bool) { ms, listed := startMs[id]; return ms, listed }
	s := NewReportStore("", nil)
	restarted := outlierHost("h1")
	restarted.StartedMs = 500
	putReport(t, s, 0, "a", restarted, outlierHost("h2"), slowHost("h3", 0), slowHost("h4", 0), slowHost("h5", 0))
	require.Empty(t, s.Combine(0, hostStart), "another process on h1; h2 is not listed")

	startMs["h1"], startMs["h2"] = 500, 0
	combined := s.Combine(1, hostStart)
	require.True(t, combinedHost(combined, "h1").Outlier, "the endpoint list now has the same start")
	require.True(t, combinedHost(combined, "h2").Outlier, "the host was listed after the report")

	s.InvalidateHost(10, "h2")
	combined = s.Combine(11, hostStart)
	require.False(t, combinedHost(combined, "h2").Outlier, "an older observation is of another machine")
	require.True(t, combinedHost(combined, "h1").Outlier)

	putReport(t, s, 20, "a", outlierHost("h2"), slowHost("h3", 0), slowHost("h4", 0))
	require.True(t, combinedHost(s.Combine(20, hostStart), "h2").Outlier, "a later observation counts")

	delete(startMs, "h2")
	require.False(t, combinedHost(s.Combine(20, hostStart), "h2").Outlier, "the host has left the list")
}

// Endpoint lists with ever new hosts must not let the memory for invalidated hosts grow without bound.
func TestInvalidatedHostsAreBounded(t *testing.T) {
	s := NewReportStore("", nil)
	for i := range 3 * maxInvalidatedHosts {
		s.InvalidateHost(30, fmt.Sprint("m", i))
	}
	require.LessOrEqual(t, len(s.invalidatedAt), maxInvalidatedHosts)
}

// A report that is still being received, or that ends early, must not replace or change the peer's previous report.
func TestIncompleteReportLeavesThePreviousOne(t *testing.T) {
	s := NewReportStore("", nil)
	putReport(t, s, 0, "a", outlierHost("h1"), slowHost("h2", 0), slowHost("h3", 0))
	require.NoError(t, s.BeginReport(10, ReportHeader{Peer: "a", Serial: 2, HostCount: 1}))
	require.True(t, combinedHost(s.Combine(10, listAll), "h1").Outlier)
	require.Error(t, s.AddObservations("a", []Observation{slowHost("h1", 0), slowHost("h2", 0)}), "more hosts than announced")
	s.AbortReport("a")
	require.True(t, combinedHost(s.Combine(10, listAll), "h1").Outlier)
}

// Reports that violate the protocol, or come from more peers than allowed, must be rejected: they could use memory
// without bound.
func TestInvalidReportsAreRejected(t *testing.T) {
	s := NewReportStore("", nil)
	putReport(t, s, 0, "a", outlierHost("h1"))
	for name, err := range map[string]error{
		"no header received":    s.AddObservations("a", []Observation{outlierHost("h1")}),
		"unknown peer":          s.AddObservations("nobody", nil),
		"too many hosts":        s.BeginReport(0, ReportHeader{Peer: "b", HostCount: MaxHosts + 1}),
		"blank in the name":     s.BeginReport(0, ReportHeader{Peer: "with blank "}),
		"zone without a name":   s.BeginReport(0, ReportHeader{Peer: "b", Zones: []ZoneObservation{{Name: ""}}}),
		"negative list version": s.BeginReport(0, ReportHeader{Peer: "b", ListVersion: -1}),
	} {
		var invalid *InvalidReportError
		require.ErrorAs(t, err, &invalid, name)
	}
	for i := range MaxPeers - 1 {
		putReport(t, s, 0, fmt.Sprint("p", i))
	}
	require.ErrorIs(t, s.BeginReport(0, ReportHeader{Peer: "surplus"}), ErrTooManyPeers)
}
