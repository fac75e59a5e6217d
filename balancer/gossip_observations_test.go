package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// exportAll collects everything that a balancer exports, with at most maxReplicas replicas per call.
func exportAll(b Balancer, maxReplicas int) (all []Observation) {
	for next := 0; ; {
		next = b.ExportObservations(next, maxReplicas, func(o Observation) { all = append(all, o) })
		if next == 0 {
			return all
		}
	}
}

func (s *scenario) importObservations(observations ...GossipedObservation) {
	s.iterate(func() {
		for _, observation := range observations {
			s.balancer.ImportObservation(observation)
		}
	})
}

// outlierObservation reports that a replica is an outlier.
func outlierObservation(replica string, duration int64) GossipedObservation {
	return GossipedObservation{Scope: ScopeReplica, Replica: replica, Outlier: true, OutlierDuration: duration}
}

// latencyObservation reports how much longer than usual a replica takes.
func latencyObservation(replica string, startedAt int64, mean DecayingMean) GossipedObservation {
	return GossipedObservation{
		Scope: ScopeReplica, Replica: replica, ReplicaStart: startedAt, ShortWindow: mean, LongWindow: mean,
	}
}

// Only first-hand observations are exported: a balancer that has only imported some exports nothing, and one with
// answers exports each replica once, however many replicas one call may export.
func TestExportedObservationsAreFirstHand(t *testing.T) {
	s := newScenario(t, "start a/0 b/0 c/0\nwhen a,b Ok 20\nwhen c ConnectError 1\nsteady 40 50 1 4000 0,0")
	for _, maxReplicas := range []int{1, 2, 100} {
		all := exportAll(s.balancer, maxReplicas)
		require.Equal(t, ScopeFleet, all[0].Scope)
		var ids []string
		for _, observation := range all {
			if observation.Scope == ScopeReplica {
				ids = append(ids, observation.Replica)
				require.Equal(t, observation.Replica == "c", observation.Outlier)
			}
		}
		require.Equal(t, []string{"a", "b", "c"}, ids)
	}
	require.InDelta(t, math.Log(200), exportAll(s.balancer, 9)[0].ShortWindow.Mean, 0.3)

	importer := newScenario(t, "start a/0 b/0 c/0")
	before := exportAll(importer.balancer, 9)
	mean := DecayingMean{Weight: 3, Mean: 2}
	outlier := latencyObservation("c", 0, mean)
	outlier.Outlier, outlier.OutlierDuration = true, 100_000
	importer.importObservations(outlier, GossipedObservation{Scope: ScopeZone, ShortWindow: mean})
	after := exportAll(importer.balancer, 9)
	require.Equal(t, before[1:], after[1:])
}

// Searches avoid a gossiped outlier. One request at a time probes it, if the search can spare one, and its first answer
// clears it.
func TestGossipedOutlierIsAvoided(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nwhen a,b Ok 20")
	s.importObservations(outlierObservation("a", 200_000))
	s.runLines("mark steady 50 10 1 4000 0,0") // no request to spare
	require.Zero(t, s.countSentTo("a"), "%v", s.actions)
	s.runLines("mark steady 100 10 0 4000 0,0,0,0,0") // 60% are enough
	require.Greater(t, s.countSentTo("a"), 50, "its answer has cleared it")
}

// Gossip cannot exclude a replica: it gets requests if all others are full, gone or warming up, and the observation
// expires.
func TestGossipCannotExcludeReplica(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nwhen a,b Ok 20\nlist Partial b/0/cordoned")
	s.importObservations(outlierObservation("a", 200_000))
	s.runLines("mark steady 20 60 1 4000 0,0")
	require.Positive(t, s.countSentTo("a"))

	s = newScenario(t, "start a/0 b/0\nwhen a,b Ok 20")
	s.importObservations(outlierObservation("a", math.MaxInt64/2))
	s.playUntil(s.now + maxGossipAge)
	s.runLines("mark steady 20 60 1 4000 0,0")
	require.Greater(t, s.countSentTo("a"), 5)
}

// A gossiped outlier that is silent gets one request and then is an outlier by own evidence.
func TestGossipedOutlierThatIsSilent(t *testing.T) {
	countSent := func(isGossiped bool) int {
		s := newScenario(t, "start a/0 b/0\nwhen b Ok 20\nsilent a")
		if isGossiped {
			s.importObservations(outlierObservation("a", 200_000))
		}
		s.runLines("mark steady 90 10 0 4000 0,0,0,0,0")
		return s.countSentTo("a")
	}
	require.LessOrEqual(t, countSent(true), 2)
	require.Greater(t, countSent(false), countSent(true))
}

// All coordinators hear that one replica is the fastest; they do not all send it their requests. Nor does gossip send a
// replica that is warming up more requests than it would get otherwise.
func TestGossipedFastReplicaGetsNoExtraRequests(t *testing.T) {
	countSent := func(isGossiped bool, settings string) [2]int {
		s := newScenario(t, settings+"\nstart a/0 b/0 c/0/healthy/5\nwhen a,b,c Ok 20")
		if isGossiped {
			quick := DecayingMean{Weight: 9, Mean: -5}
			s.importObservations(latencyObservation("a", 0, quick), latencyObservation("c", 50, quick))
		}
		s.runLines("mark steady 100 20 1 4000 0")
		return [2]int{s.countSentTo("a"), s.countSentTo("c")}
	}
	for _, settings := range []string{"", "facts Specifics.PerCall=2"} {
		require.Equal(t, countSent(false, settings), countSent(true, settings))
	}
}

// Gossip is limited and replaced by own answers: three own answers weigh as much as anything that can be imported.
func TestGossipGivesWayToOwnAnswers(t *testing.T) {
	slownessOf := func(s *scenario) float64 { return s.state().slowness(s.state().endpoints.byID["a"]) }
	huge := DecayingMean{Weight: 1e9, Mean: 1e9}

	s := newScenario(t, "start a/0 b/0\nwhen a,b Ok 20\nsteady 10 20 1 4000 0,0")
	before := slownessOf(s)
	s.importObservations(latencyObservation("a", 0, huge))
	require.InDelta(t, before, slownessOf(s), 0.01, "own answers weigh more already")

	s = newScenario(t, "start a/0 b/0\nwhen a,b Ok 20")
	s.importObservations(
		GossipedObservation{Scope: ScopeReplica, Replica: "a", ShortWindow: huge},
		latencyObservation("a", 7, DecayingMean{}), // of another incarnation: ignored
		GossipedObservation{Scope: ScopeReplica, Replica: "nobody", Outlier: true},
		GossipedObservation{Scope: ScopeZone, Zone: 9},
		GossipedObservation{Scope: ScopeZone, Zone: -1},
	)
	first := slownessOf(s)
	require.Greater(t, first, 2.0)
	require.LessOrEqual(t, first, maxGossipSlowness)
	s.playUntil(s.now + shortWindow)
	s.state().BeginIteration(s.now)
	require.Less(t, slownessOf(s), first, "it fades")
	s.runLines("steady 10 20 1 4000 0,0")
	require.Less(t, slownessOf(s), 1.3)

	outlier := outlierObservation("a", 9)
	outlier.ShortWindow = DecayingMean{Weight: 3, Mean: 2}
	s.importObservations(outlier)
	s.iterate(func() { s.commitList(ListComplete, []string{"a/0/healthy/100", "b/0"}) })
	require.InDelta(t, 1, slownessOf(s), 1e-9, "a restart ends what was imported")
}

// Wrong gossip about the usual and the shortest latency prevents neither hedged attempts nor searches.
func TestWrongGossipedLatenciesPreventNothing(t *testing.T) {
	for _, latency := range []float64{1e-9, 1e12, math.Inf(1)} {
		s := newScenario(t, "start a/0 b/0\nwhen b Ok 20\nsilent a")
		s.importObservations(GossipedObservation{Scope: ScopeFleet, FleetLatency: latency, ShortestLatency: latency})
		s.runLines("mark steady 10 100 1 2000 0,0")
		s.runLines("expect 10 answer true .*")
	}
}
