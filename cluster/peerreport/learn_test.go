package peerreport

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/balancer"
)

// TestMain has property tests draw the same each time: CI gives one verdict. A flag on the command line holds over it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// all lists every host as started long ago.
func all(string) (int64, bool) { return 0, true }

// put places a whole report of notes on a shelf.
func put(t require.TestingT, s *ReportStore, asked int64, peer string, notes ...Observation) {
	put2(t, s, asked, ReportHeader{Peer: peer, Serial: uint64(asked), HostCount: uint32(len(notes))}, notes...)
}

func put2(t require.TestingT, s *ReportStore, asked int64, h ReportHeader, notes ...Observation) {
	require.NoError(t, s.BeginReport(asked, h))
	require.NoError(t, s.AddObservations(h.Peer, notes))
	s.CompleteReport(h.Peer)
}

func slow(id string, thousandths int16) Observation {
	return Observation{HostID: id, ShortSamples: 80, LongSamples: 80, ShortLogSlowdown: thousandths, LongLogSlowdown: thousandths}
}

func bad(id string) Observation {
	return Observation{HostID: id, IsOutlier: true, UnansweredRequests: 5}
}

func of(heard []balancer.GossipedObservation, id string) balancer.GossipedObservation {
	for _, h := range heard {
		if h.Scope == balancer.ScopeReplica && h.Replica == id {
			return h
		}
	}
	return balancer.GossipedObservation{}
}

var note = rapid.Custom(func(t *rapid.T) Observation {
	return Observation{
		HostID: fmt.Sprint("h", rapid.IntRange(0, 5).Draw(t, "id")), ShortSamples: rapid.Uint16().Draw(t, "shortN"),
		LongSamples: rapid.Uint16().Draw(t, "longN"), ShortLogSlowdown: rapid.Int16().Draw(t, "short"), LongLogSlowdown: rapid.Int16().Draw(t, "long"),
		IsOutlier: rapid.Bool().Draw(t, "bad"),
	}
})

// Some peers' reports, in any order: the same is combined of them. No host weighs more than the module would
// believe, none is told as quicker than usual, and one report that comes again changes nothing.
func TestCombining(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.SliceOfN(note, 1, 8), 1, 5).Draw(t, "reports")
		ages := rapid.SliceOfN(rapid.Int64Range(0, reportLife), 5, 5).Draw(t, "ages")
		now := int64(2 * reportLife)
		shelf := func(order []int, times int) []balancer.GossipedObservation {
			s := NewReportStore("", nil)
			for _, i := range order {
				for range times {
					put2(t, s, now-ages[i], ReportHeader{Peer: fmt.Sprint("p", i), Serial: 7, HostCount: uint32(len(reports[i]))}, reports[i]...)
				}
			}
			return s.Combine(now, all)
		}
		var order []int
		for i := range reports {
			order = append(order, i)
		}
		first := shelf(order, 1)
		rand.New(rand.NewSource(rapid.Int64().Draw(t, "order"))).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		require.Equal(t, first, shelf(order, 1), "the order of peers")
		require.Equal(t, first, shelf(order, 2), "twice counts once")
		for _, h := range first {
			require.LessOrEqual(t, h.ShortWindow.Weight, oneVote)
			require.LessOrEqual(t, h.LongWindow.Weight, oneVote)
			require.GreaterOrEqual(t, h.ShortWindow.Mean, 0.0)
			require.LessOrEqual(t, h.OutlierDuration, int64(badLife))
			require.False(t, math.IsNaN(h.ShortWindow.Mean+h.ShortWindow.Weight+h.LongWindow.Mean+h.LongWindow.Weight))
		}
	})
}

// More age never weighs more: the older of two shelves that are the same but for ages weighs no host more, and
// believes no suspicion longer.
func TestAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.SliceOfN(note, 1, 8), 1, 4).Draw(t, "reports")
		ages := rapid.SliceOfN(rapid.Int64Range(0, reportLife/2), 4, 4).Draw(t, "ages")
		older := rapid.SliceOfN(rapid.Int64Range(0, reportLife/2), 4, 4).Draw(t, "older")
		now := int64(2 * reportLife)
		shelf := func(more []int64) []balancer.GossipedObservation {
			s := NewReportStore("", nil)
			for i, notes := range reports {
				put(t, s, now-ages[i]-more[i], fmt.Sprint("p", i), notes...)
			}
			return s.Combine(now, all)
		}
		young, old := shelf(make([]int64, 4)), shelf(older)
		for _, h := range old {
			y := of(young, h.Replica)
			require.LessOrEqual(t, h.ShortWindow.Weight, y.ShortWindow.Weight+1e-9, h.Replica)
			require.LessOrEqual(t, h.LongWindow.Weight, y.LongWindow.Weight+1e-9, h.Replica)
			require.LessOrEqual(t, h.OutlierDuration, y.OutlierDuration, h.Replica)
		}
	})
}

// Whatever one liar among three tells, a host's slowness stays between what the honest two tell, and a host that
// neither calls bad is not bad.
func TestOneLiarOfThree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Int16Range(0, 3000).Draw(t, "a"), rapid.Int16Range(0, 3000).Draw(t, "b")
		lies := rapid.SliceOfN(note, 1, 8).Draw(t, "lies")
		s := NewReportStore("", nil)
		put(t, s, 0, "honest-1", slow("h1", a))
		put(t, s, 0, "honest-2", slow("h1", b))
		put(t, s, 0, "liar", lies...)
		for _, h := range s.Combine(0, all) {
			require.False(t, h.Outlier, h.Replica)
			if h.Replica == "h1" {
				require.LessOrEqual(t, h.ShortWindow.Mean, float64(max(a, b))/logScale)
			} else {
				require.Zero(t, h.ShortWindow.Mean, "only the liar speaks of it")
			}
		}
	})
}

func TestMajority(t *testing.T) {
	s := NewReportStore("", nil)
	put(t, s, 0, "a", bad("h1"), slow("h2", 0), slow("h3", 0), slow("h4", 0))
	require.True(t, of(s.Combine(0, all), "h1").Outlier, "the only word there is")
	put(t, s, 0, "b", slow("h1", 0))
	h := of(s.Combine(0, all), "h1")
	require.Equal(t, "h1", h.Replica, "what was told and no longer holds is taken back")
	require.False(t, h.Outlier, "one of two")
	put(t, s, 0, "c", bad("h1"))
	require.True(t, of(s.Combine(0, all), "h1").Outlier, "two of three")
	require.Equal(t, int64(badLife-second), of(s.Combine(second, all), "h1").OutlierDuration)
	require.False(t, of(s.Combine(badLife, all), "h1").Outlier, "too old")
	require.Empty(t, s.Combine(reportLife+1, all))
	require.Zero(t, s.ReportCount())
}

// A peer to which over half of its hosts look bad tells of itself.
func TestOwnTrouble(t *testing.T) {
	s := NewReportStore("", nil)
	put(t, s, 0, "a", bad("h1"), bad("h2"), bad("h3"), slow("h4", 0))
	require.Empty(t, s.Combine(0, all))
}

// A host that restarted after the report, left, moved or came later.
func TestOtherMachines(t *testing.T) {
	started := map[string]int64{"h1": 0}
	since := func(id string) (int64, bool) { ms, ok := started[id]; return ms, ok }
	s := NewReportStore("", nil)
	n := bad("h1")
	n.StartedMs = 500
	put(t, s, 0, "a", n, bad("h2"), slow("h3", 0), slow("h4", 0), slow("h5", 0))
	require.Empty(t, s.Combine(0, since), "another life of h1; h2 is not listed")
	started["h1"], started["h2"] = 500, 0
	heard := s.Combine(1, since)
	require.True(t, of(heard, "h1").Outlier, "the list follows")
	require.True(t, of(heard, "h2").Outlier, "it came to the list after the report")
	s.InvalidateHost(10, "h2")
	heard = s.Combine(11, since)
	require.False(t, of(heard, "h2").Outlier, "an older note is of another machine")
	require.True(t, of(heard, "h1").Outlier)
	put(t, s, 20, "a", bad("h2"), slow("h3", 0), slow("h4", 0))
	require.True(t, of(s.Combine(20, since), "h2").Outlier, "a newer one counts")
	delete(started, "h2")
	require.False(t, of(s.Combine(20, since), "h2").Outlier, "it has left")
	for i := range 3 * movedMost {
		s.InvalidateHost(30, fmt.Sprint("m", i))
	}
	require.LessOrEqual(t, len(s.moved), movedMost)
}

// A report broken off leaves the one before; notes without a head, beyond what the head tells, from too many
// peers or of no proper name are refused.
func TestBounds(t *testing.T) {
	s := NewReportStore("", nil)
	put(t, s, 0, "a", bad("h1"), slow("h2", 0), slow("h3", 0))
	require.NoError(t, s.BeginReport(10, ReportHeader{Peer: "a", Serial: 2, HostCount: 1}))
	require.True(t, of(s.Combine(10, all), "h1").Outlier)
	require.Error(t, s.AddObservations("a", []Observation{slow("h1", 0), slow("h2", 0)}))
	s.AbortReport("a")
	require.True(t, of(s.Combine(10, all), "h1").Outlier)
	require.Error(t, s.AddObservations("a", []Observation{bad("h1")}))
	require.Error(t, s.AddObservations("nobody", nil))
	require.Error(t, s.BeginReport(0, ReportHeader{Peer: "b", HostCount: MaxHosts + 1}))
	require.Error(t, s.BeginReport(0, ReportHeader{Peer: "with blank "}))
	require.Error(t, s.BeginReport(0, ReportHeader{Peer: "b", Zones: []ZoneObservation{{Name: ""}}}))
	for i := range MaxPeers - 1 {
		put(t, s, 0, fmt.Sprint("p", i))
	}
	require.Error(t, s.BeginReport(0, ReportHeader{Peer: "one more"}))
}

// What a peer under overload sees is slow all over: relative to its usual time it tells nothing.
func TestOverloadedPeer(t *testing.T) {
	take := func(times float64) []Observation {
		taker := NewReportBuilder(0, "a", "", 1, 1, nil)
		usual := math.Log(50 * times)
		taker.AddObservation(balancer.Observation{Scope: balancer.ScopeFleet, ShortWindow: balancer.DecayingMean{Weight: 100, Mean: usual}, LongWindow: balancer.DecayingMean{Weight: 100, Mean: usual}})
		for i, factor := range []float64{1, 1, 4} {
			mean := balancer.DecayingMean{Weight: 10, Mean: math.Log(50 * times * factor)}
			taker.AddObservation(balancer.Observation{Scope: balancer.ScopeReplica, Replica: fmt.Sprint("h", i), ShortWindow: mean, LongWindow: mean, LastAnswerAge: 10})
		}
		return taker.Observations
	}
	calm := take(1)
	require.Equal(t, calm, take(30))
	require.InDelta(t, math.Log(4)*logScale, float64(calm[2].ShortLogSlowdown), 1)
	require.Zero(t, calm[0].ShortLogSlowdown)
}

// From another place the way to a zone is taken out; ways and usual times are believed from the own place alone.
func TestPlaces(t *testing.T) {
	n := slow("h1", 1500)
	n.ZoneIndex = 1
	head := ReportHeader{
		Peer: "a", Locality: "east", HostCount: 1, AnswerCount: 1000, FleetLatency: 400, MinLatency: 30,
		Zones: []ZoneObservation{{Name: "z0", Samples: 80}, {Name: "z1", Samples: 80, LogSlowdown: 1400}},
	}
	here, there := NewReportStore("east", []string{"z1"}), NewReportStore("west", []string{"z0", "z1"})
	put2(t, here, 0, head, n)
	put2(t, there, 0, head, n)
	heard := here.Combine(0, all)
	require.InDelta(t, 1.5, of(heard, "h1").ShortWindow.Mean, 1e-9)
	require.Equal(t, balancer.GossipedObservation{Scope: balancer.ScopeFleet, FleetLatency: 400, ShortestLatency: 30}, heard[0])
	require.Equal(t, balancer.ScopeZone, heard[1].Scope)
	require.Equal(t, 0, heard[1].Zone, "zones go by name")
	heard = there.Combine(0, all)
	require.Len(t, heard, 1)
	require.InDelta(t, 0.1, of(heard, "h1").ShortWindow.Mean, 1e-9)
}

func TestAsking(t *testing.T) {
	a := NewPoller(rand.New(rand.NewSource(1)), 100, 0, []string{"a", "b", "c", "d"})
	require.Equal(t, []string{"a", "b", "c", "d"}, a.DuePeers(100), "all at once, at once")
	require.Empty(t, a.DuePeers(200), "they are being asked")
	require.Zero(t, a.NextPollAt(200))
	a.RecordOutcome(1000, "a", OutcomeReceived, 0)
	a.RecordOutcome(1000, "b", OutcomeDeferred, 70*second)
	a.RecordOutcome(1000, "c", OutcomeFailed, 0)
	a.RecordOutcome(1000, "d", OutcomeSelf, 0)
	a.RecordOutcome(1000, "nobody", OutcomeReceived, 0)
	require.Empty(t, a.DuePeers(1000+failFirst-1))
	require.Equal(t, []string{"c"}, a.DuePeers(1000+2*failFirst))
	waits := []int64{}
	now := int64(1000 + 2*failFirst)
	for range 4 {
		a.RecordOutcome(now, "c", OutcomeFailed, 0)
		next := a.NextPollAt(now)
		for _, name := range a.DuePeers(next) {
			if name == "a" {
				a.RecordOutcome(next, "a", OutcomeReceived, 0)
			}
		}
		waits = append(waits, next-now)
		now = max(now, next) + 20*second
		a.DuePeers(now)
	}
	require.Less(t, waits[0], int64(2*second))
	require.Zero(t, NewPoller(rand.New(rand.NewSource(1)), 0, 0, []string{"a"}).NextPollAt(youngTime), "grown: never again")
	b := NewPoller(rand.New(rand.NewSource(1)), 0, 60*second, []string{"a"})
	b.DuePeers(0)
	b.RecordOutcome(youngTime, "a", OutcomeReceived, 0)
	require.GreaterOrEqual(t, b.NextPollAt(youngTime), int64(youngTime+60*second))
	for _, s := range a.Statuses(now) {
		require.False(t, s.Name == "d" && s.NextPollAt > 0, "itself is never asked again")
	}
}

// Fifty ask at once: a few are answered, the others get times that are spread, and all are answered by and by.
func TestDesk(t *testing.T) {
	d := NewAdmission()
	due, answered, now := map[string]int64{}, map[string]bool{}, int64(0)
	for i := range 50 {
		due[fmt.Sprint("n", i)] = 0
	}
	for ; now < 60*second && len(answered) < 50; now += second / 20 {
		served := 0
		for i := range 50 {
			name := fmt.Sprint("n", i)
			if at := due[name]; at > now || answered[name] {
				continue
			}
			if ok, later := d.Admit(now, name); ok {
				answered[name] = true
				served++
			} else {
				require.Positive(t, later)
				require.LessOrEqual(t, later, int64(slotsMost))
				due[name] = now + later
			}
		}
		require.LessOrEqual(t, served, deskMost)
		for range served {
			d.Release()
		}
	}
	require.Len(t, answered, 50)
	require.Less(t, now, int64(30*second))
	now += 2 * second
	ok, later := d.Admit(now, "n1")
	require.True(t, ok)
	_, later = d.Admit(now+1, "n1")
	require.Equal(t, int64(nameEvery-1), later, "a name has to wait")
	d.SetLoad(0.9)
	ok, later = d.Admit(now+5*second, "n2")
	require.False(t, ok, "searches go first")
	require.GreaterOrEqual(t, later, int64(busyWait))
	for i := range 4 * namesMost {
		d.SetLoad(0)
		d.Admit(now+6*second, fmt.Sprint("x", i))
		d.Release()
	}
	require.LessOrEqual(t, len(d.names), namesMost)
}

func BenchmarkMerge(b *testing.B) {
	s := NewReportStore("", nil)
	for p := range 3 {
		notes := make([]Observation, 10_000)
		for i := range notes {
			notes[i] = slow(fmt.Sprintf("host-%05d", i), int16(i%2000))
		}
		put(b, s, 0, fmt.Sprint("p", p), notes...)
	}
	for b.Loop() {
		s.Combine(1, all)
	}
}
