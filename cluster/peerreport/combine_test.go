package peerreport

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/balancer"
)

var anyObservation = rapid.Custom(func(t *rapid.T) Observation {
	return Observation{
		HostID:           fmt.Sprint("h", rapid.IntRange(0, 5).Draw(t, "host")),
		ShortSamples:     rapid.Uint16().Draw(t, "short samples"),
		LongSamples:      rapid.Uint16().Draw(t, "long samples"),
		ShortLogSlowdown: rapid.Int16().Draw(t, "short slowdown"),
		LongLogSlowdown:  rapid.Int16().Draw(t, "long slowdown"),
		IsOutlier:        rapid.Bool().Draw(t, "outlier"),
	}
})

// The result must not depend on the order in which peers report, nor on a report that is received twice. No host gets
// more weight than the bound, and none looks faster than the fleet.
func TestCombineIsBoundedAndIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.SliceOfN(anyObservation, 1, 8), 1, 5).Draw(t, "reports")
		ages := rapid.SliceOfN(rapid.Int64Range(0, reportLifetime), 5, 5).Draw(t, "ages")
		now := int64(2 * reportLifetime)
		combine := func(order []int, times int) []balancer.GossipedObservation {
			s := NewReportStore("", nil)
			for _, i := range order {
				for range times {
					header := ReportHeader{Peer: fmt.Sprint("p", i), Serial: 7, HostCount: uint32(len(reports[i]))}
					putReportWithHeader(t, s, now-ages[i], header, reports[i]...)
				}
			}
			return s.Combine(now, listAll)
		}
		var order []int
		for i := range reports {
			order = append(order, i)
		}
		combined := combine(order, 1)
		shuffle := rand.New(rand.NewSource(rapid.Int64().Draw(t, "order"))).Shuffle
		shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		require.Equal(t, combined, combine(order, 1), "the order of peers")
		require.Equal(t, combined, combine(order, 2), "a repeated report counts once")
		for _, observation := range combined {
			short, long := observation.ShortWindow, observation.LongWindow
			require.LessOrEqual(t, short.Weight, maxVoteWeight)
			require.LessOrEqual(t, long.Weight, maxVoteWeight)
			require.GreaterOrEqual(t, short.Mean, 0.0)
			require.LessOrEqual(t, observation.OutlierDuration, int64(outlierLifetime))
			require.False(t, math.IsNaN(short.Mean+short.Weight+long.Mean+long.Weight))
		}
	})
}

// An old report must not outweigh a fresh one: of two stores that differ only in the ages of their reports, the one with
// the older reports gives no host more weight and treats none as an outlier for longer.
func TestOlderReportsNeverWeighMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.SliceOfN(anyObservation, 1, 8), 1, 4).Draw(t, "reports")
		ages := rapid.SliceOfN(rapid.Int64Range(0, reportLifetime/2), 4, 4).Draw(t, "ages")
		extraAges := rapid.SliceOfN(rapid.Int64Range(0, reportLifetime/2), 4, 4).Draw(t, "extra ages")
		now := int64(2 * reportLifetime)
		combine := func(extraAges []int64) []balancer.GossipedObservation {
			s := NewReportStore("", nil)
			for i, observations := range reports {
				putReport(t, s, now-ages[i]-extraAges[i], fmt.Sprint("p", i), observations...)
			}
			return s.Combine(now, listAll)
		}
		younger, older := combine(make([]int64, 4)), combine(extraAges)
		for _, old := range older {
			young := combinedHost(younger, old.Replica)
			require.LessOrEqual(t, old.ShortWindow.Weight, young.ShortWindow.Weight+1e-9, old.Replica)
			require.LessOrEqual(t, old.LongWindow.Weight, young.LongWindow.Weight+1e-9, old.Replica)
			require.LessOrEqual(t, old.OutlierDuration, young.OutlierDuration, old.Replica)
		}
	})
}

// A single faulty peer among three must not be able to discredit a host. Whatever it reports, a host is no slower than
// the slower of the two honest reports, and no outlier if neither of them reports it as one.
func TestOneLiarOfThreeIsOutvoted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := rapid.Int16Range(0, 3000).Draw(t, "first"), rapid.Int16Range(0, 3000).Draw(t, "second")
		lies := rapid.SliceOfN(anyObservation, 1, 8).Draw(t, "lies")
		s := NewReportStore("", nil)
		putReport(t, s, 0, "honest-1", slowHost("h1", first))
		putReport(t, s, 0, "honest-2", slowHost("h1", second))
		putReport(t, s, 0, "liar", lies...)
		for _, observation := range s.Combine(0, listAll) {
			require.False(t, observation.Outlier, observation.Replica)
			if observation.Replica == "h1" {
				require.LessOrEqual(t, observation.ShortWindow.Mean, float64(max(first, second))/logScale)
			} else {
				require.Zero(t, observation.ShortWindow.Mean, "only the liar reports it")
			}
		}
	})
}

// A minority of the peers must not make a host an outlier. An outlier ends when the reports are too old, and one that
// loses its majority is retracted.
func TestOutlierNeedsAMajority(t *testing.T) {
	s := NewReportStore("", nil)
	putReport(t, s, 0, "a", outlierHost("h1"), slowHost("h2", 0), slowHost("h3", 0), slowHost("h4", 0))
	require.True(t, combinedHost(s.Combine(0, listAll), "h1").Outlier, "the only report")
	putReport(t, s, 0, "b", slowHost("h1", 0))
	retracted := combinedHost(s.Combine(0, listAll), "h1")
	require.Equal(t, "h1", retracted.Replica, "an earlier result that no longer holds is retracted")
	require.False(t, retracted.Outlier, "one of two")
	putReport(t, s, 0, "c", outlierHost("h1"))
	require.True(t, combinedHost(s.Combine(0, listAll), "h1").Outlier, "two of three")
	require.Equal(t, int64(outlierLifetime-second), combinedHost(s.Combine(second, listAll), "h1").OutlierDuration)
	require.False(t, combinedHost(s.Combine(outlierLifetime, listAll), "h1").Outlier, "too old")
	require.Empty(t, s.Combine(reportLifetime+1, listAll))
	require.Zero(t, s.ReportCount())
}

// A peer that reports most hosts as outliers probably has a fault of its own, and must not make others avoid these hosts.
func TestOutliersOfAPeerThatIsItselfAtFaultAreIgnored(t *testing.T) {
	s := NewReportStore("", nil)
	putReport(t, s, 0, "a", outlierHost("h1"), outlierHost("h2"), outlierHost("h3"), slowHost("h4", 0))
	require.Empty(t, s.Combine(0, listAll))
}

// A host must not look slow because the reporting peer is far away: the latency between a peer in another locality and a
// zone is subtracted from its observations of hosts there. Zone and fleet latencies count only from peers in this
// instance's locality.
func TestReportsFromAnotherLocality(t *testing.T) {
	observation := slowHost("h1", 1500)
	observation.ZoneIndex = 1
	header := ReportHeader{
		Peer: "a", Locality: "east", HostCount: 1, AnswerCount: 1000, FleetLatency: 400, MinLatency: 30,
		Zones: []ZoneObservation{{Name: "z0", Samples: 80}, {Name: "z1", Samples: 80, LogSlowdown: 1400}},
	}
	same, other := NewReportStore("east", []string{"z1"}), NewReportStore("west", []string{"z0", "z1"})
	putReportWithHeader(t, same, 0, header, observation)
	putReportWithHeader(t, other, 0, header, observation)

	combined := same.Combine(0, listAll)
	require.InDelta(t, 1.5, combinedHost(combined, "h1").ShortWindow.Mean, 1e-9)
	require.Equal(t, balancer.GossipedObservation{Scope: balancer.ScopeFleet, FleetLatency: 400, ShortestLatency: 30}, combined[0])
	require.Equal(t, balancer.ScopeZone, combined[1].Scope)
	require.Equal(t, 0, combined[1].Zone, "zones are matched by name")

	combined = other.Combine(0, listAll)
	require.Len(t, combined, 1)
	require.InDelta(t, 0.1, combinedHost(combined, "h1").ShortWindow.Mean, 1e-9)
}

// BenchmarkCombine measures one call of Combine on three large reports.
func BenchmarkCombine(b *testing.B) {
	s := NewReportStore("", nil)
	for peer := range 3 {
		observations := make([]Observation, 10_000)
		for i := range observations {
			observations[i] = slowHost(fmt.Sprintf("host-%05d", i), int16(i%2000))
		}
		putReport(b, s, 0, fmt.Sprint("p", peer), observations...)
	}
	for b.Loop() {
		s.Combine(1, listAll)
	}
}
