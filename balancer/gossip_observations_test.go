package balancer

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// exportAll collects what the module hands out, in slices of so many.
func exportAll(c Balancer, most int) (all []Observation) {
	for from := 0; ; {
		if from = c.ExportObservations(from, most, func(b Observation) { all = append(all, b) }); from == 0 {
			return all
		}
	}
}

func (s *scenario) importObservations(h ...GossipedObservation) {
	s.iterate(func() {
		for _, one := range h {
			s.balancer.ImportObservation(one)
		}
	})
}


// What is handed out is first hand: a module that only heard has nothing to tell, one with answers tells of each
// replica once, whatever the slices.
func TestExportedObservationsAreFirstHand(t *testing.T) {
	s := newScenario(t, "start a/0 b/0 c/0\nwhen a,b Ok 20\nwhen c ConnectError 1\nsteady 40 50 1 4000 0,0")
	for _, most := range []int{1, 2, 100} {
		all := exportAll(s.balancer, most)
		require.Equal(t, ScopeFleet, all[0].Scope)
		var ids []string
		for _, b := range all {
			if b.Scope == ScopeReplica {
				ids = append(ids, b.Replica)
				require.Equal(t, b.Replica == "c", b.Outlier)
			}
		}
		require.Equal(t, []string{"a", "b", "c"}, ids)
	}
	require.InDelta(t, math.Log(200), exportAll(s.balancer, 9)[0].ShortWindow.Mean, 0.3)
	other := newScenario(t, "start a/0 b/0 c/0")
	before := exportAll(other.balancer, 9)
	other.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "c", Outlier: true, OutlierDuration: 100_000, ShortWindow: DecayingMean{3, 2}, LongWindow: DecayingMean{3, 2}},
		GossipedObservation{Scope: ScopeZone, ShortWindow: DecayingMean{3, 2}})
	after := exportAll(other.balancer, 9)
	require.Equal(t, before[1:], after[1:])
}

// A replica that is said to be bad: searches go to the others, one part at a time tries it where there is one to
// spare, and with its first answer it is taken back.
func TestGossipedOutlierIsAvoided(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nwhen a,b Ok 20")
	s.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "a", Outlier: true, OutlierDuration: 200_000})
	s.runLines("mark steady 50 10 1 4000 0,0") // none to spare
	require.Zero(t, s.countSentTo("a"), "%v", s.actions)
	s.runLines("mark steady 100 10 0 4000 0,0,0,0,0") // 60% are enough
	require.Greater(t, s.countSentTo("a"), 50, "its answer has cleared it")
}

// No peer can take a replica away: where all others are full, gone or cold it takes parts, and the belief ends.
func TestGossipCannotBanReplica(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nwhen a,b Ok 20\nlist Partial b/0/cordoned")
	s.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "a", Outlier: true, OutlierDuration: 200_000})
	s.runLines("mark steady 20 60 1 4000 0,0")
	require.Positive(t, s.countSentTo("a"))
	s = newScenario(t, "start a/0 b/0\nwhen a,b Ok 20")
	s.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "a", Outlier: true, OutlierDuration: math.MaxInt64 / 2})
	s.playUntil(s.now + maxGossipAge)
	s.runLines("mark steady 20 60 1 4000 0,0")
	require.Greater(t, s.countSentTo("a"), 5)
}

// A replica that is said to be bad and is: one part, and it is a suspect here too.
func TestGossipedOutlierThatIsSilent(t *testing.T) {
	parts := func(hear bool) int {
		s := newScenario(t, "start a/0 b/0\nwhen b Ok 20\nsilent a")
		if hear {
			s.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "a", Outlier: true, OutlierDuration: 200_000})
		}
		s.runLines("mark steady 90 10 0 4000 0,0,0,0,0")
		return s.countSentTo("a")
	}
	require.LessOrEqual(t, parts(true), 2)
	require.Greater(t, parts(false), parts(true))
}

// All learners hear that one replica is the quickest: they do not rush at it. Nor does hearsay send a cold replica
// more than it gets without.
func TestGossipedQuickReplicaAttractsNothing(t *testing.T) {
	share := func(hear bool, facts string) int {
		s := newScenario(t, facts+"\nstart a/0 b/0 c/0/healthy/5\nwhen a,b,c Ok 20")
		if hear {
			s.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "a", ShortWindow: DecayingMean{9, -5}, LongWindow: DecayingMean{9, -5}},
				GossipedObservation{Scope: ScopeReplica, Replica: "c", ReplicaStart: 50, ShortWindow: DecayingMean{9, -5}, LongWindow: DecayingMean{9, -5}})
		}
		s.runLines("mark steady 100 20 1 4000 0")
		return s.countSentTo("a")*1000 + s.countSentTo("c")
	}
	require.Equal(t, share(false, ""), share(true, ""))
	few := "facts Specifics.PerCall=2"
	require.Equal(t, share(false, few), share(true, few))
}

// Hearsay is bounded and gives way: three own answers weigh as much as anything that can be told.
func TestGossipGivesWayToOwnAnswers(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nwhen a,b Ok 20\nsteady 10 20 1 4000 0,0")
	c := s.state()
	slowness := func() float64 { return c.slowness(c.endpoints.byID["a"]) }
	before := slowness()
	s.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "a", ShortWindow: DecayingMean{1e9, 1e9}, LongWindow: DecayingMean{1e9, 1e9}})
	require.InDelta(t, before, slowness(), 0.01, "own answers weigh more already")
	s = newScenario(t, "start a/0 b/0\nwhen a,b Ok 20")
	c = s.state()
	s.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "a", ShortWindow: DecayingMean{1e9, 1e9}},
		GossipedObservation{Scope: ScopeReplica, Replica: "a", ReplicaStart: 7, ShortWindow: DecayingMean{0, 0}}, // of another life: not taken
		GossipedObservation{Scope: ScopeReplica, Replica: "nobody", Outlier: true}, GossipedObservation{Scope: ScopeZone, Zone: 9}, GossipedObservation{Scope: ScopeZone, Zone: -1})
	first := slowness()
	require.Greater(t, first, 2.0)
	require.LessOrEqual(t, first, maxGossipSlowness)
	s.playUntil(s.now + shortWindow)
	c.BeginIteration(s.now)
	require.Less(t, slowness(), first, "it fades")
	s.runLines("steady 10 20 1 4000 0,0")
	require.Less(t, slowness(), 1.3)
	s.importObservations(GossipedObservation{Scope: ScopeReplica, Replica: "a", ShortWindow: DecayingMean{3, 2}, Outlier: true, OutlierDuration: 9})
	s.iterate(func() { s.commitList("Complete", []string{"a/0/healthy/100", "b/0"}) })
	require.InDelta(t, 1, slowness(), 1e-9, "a restart ends what was heard")
}

// Usual and shortest times that are told wrong bar neither copies nor searches.
func TestWrongGossipedLatenciesBarNothing(t *testing.T) {
	for _, v := range []float64{1e-9, 1e12, math.Inf(1)} {
		s := newScenario(t, "start a/0 b/0\nwhen b Ok 20\nsilent a")
		s.importObservations(GossipedObservation{Scope: ScopeFleet, FleetLatency: v, ShortestLatency: v})
		s.runLines("mark steady 10 100 1 2000 0,0")
		s.runLines("expect 10 answer true .*")
	}
}

// One slice of a list of 10,000 that is all known: the owner's time for it.
func BenchmarkExportObservations(b *testing.B) {
	c := New(noActions{}).(*balancer)
	c.Configure(1, map[string]string{"Specifics.Sets": "1", "Specifics.Reach": "1"})
	c.BeginIteration(1)
	for i := range 10_000 {
		c.AddEndpoint(fmt.Sprintf("host-%05d", i), 0, 0, 0, "healthy", 1, 0)
	}
	c.CommitEndpoints("Complete", 1)
	for _, r := range c.endpoints.replicas {
		r.latency.record(1, 5)
		r.health.lastAnswer = 1
	}
	told := 0
	for b.Loop() {
		c.ExportObservations(512, 512, func(Observation) { told++ })
	}
	require.Positive(b, told)
}

type noActions struct{ Actions }

func (noActions) WatchEndpoints() {}

// A replica that refuses and names a time is left alone until then, and asked again after it.
func TestRetryAfterIsKept(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nwhen b Ok 20")
	s.replies["a"] = []string{"QueueFull", "1"}
	s.outcomeReport = map[string]float64{"RetryAfter": 2000}
	s.runLines("mark steady 60 30 1 4000 0")
	require.Equal(t, 1, s.countSentTo("a"))
	s.replies["a"], s.outcomeReport = []string{"Ok", "20"}, nil
	s.runLines("mark steady 100 30 1 4000 0")
	require.Greater(t, s.countSentTo("a"), 20)
}
