package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A whole fleet on one clock: real modules, uneven traffic (one in ten co-ordinators gets four times what the others do), the
// replicas as counters that answer after a while or never. The traffic of all together is the same however many there are.
const (
	fleetReplicas       = 24 // two a set
	fleetShardSets      = 12
	fleetSearchRequests = 4     // parts a search
	fleetSearchRate     = 600.0 // searches a second of all together
	fleetAnswerTime     = 200   // tenths of a ms
	fleetReplicaRate    = fleetSearchRate * fleetSearchRequests / fleetReplicas
)

type fleetEvent struct {
	at    int64
	order int
	run   func()
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int { return len(h) }
func (h fleetEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h fleetEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *fleetEvents) Push(v any)   { *h = append(*h, v.(fleetEvent)) }
func (h *fleetEvents) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

type fleet struct {
	now               int64
	events            fleetEvents
	lastOrder         int
	members           []*member
	silentReplicas    map[string]bool
	sentTimes         map[string][]int64 // when parts went to each replica
	connectionsLostAt int64              // when all connections were: parts that were out then are reset
	watchTimes        []int64            // when subscriptions were asked for
	lateAnswers       []uint64           // searches whose final answer came after their time
}

// member is one co-ordinator of it.
type member struct {
	fleet         *fleet
	balancer      Balancer
	lastSearch    uint64
	attemptCounts map[uint64]int
	endedAttempts map[[2]uint64]bool
	deadlines     map[uint64]int64
	trafficShare  float64
}

func (f *fleet) schedule(wait int64, do func()) {
	f.lastOrder++
	heap.Push(&f.events, fleetEvent{f.now + max(wait, 1), f.lastOrder, do})
}

// iterate has a module do something, in a iterate of its own.
func (m *member) iterate(do func()) {
	m.balancer.BeginIteration(m.fleet.now)
	do()
	m.balancer.EndIteration()
}

func (m *member) scheduleOutcome(part uint64, leg int, ending string, after int64) {
	f, sent := m.fleet, m.fleet.now
	m.fleet.schedule(after, func() {
		if key := [2]uint64{part, uint64(leg)}; !m.endedAttempts[key] {
			m.endedAttempts[key] = true
			if sent <= f.connectionsLostAt && ending == "Ok" {
				ending = "ResetByPeer"
			}
			m.iterate(func() { m.balancer.RecordAttemptOutcome(part, leg, ending, m.fleet.now-sent, false, nil) })
		}
	})
}

func (m *member) SendAttempt(part uint64, replica string, timeout int64) {
	m.fleet.sentTimes[replica] = append(m.fleet.sentTimes[replica], m.fleet.now)
	leg := m.attemptCounts[part]
	m.attemptCounts[part]++
	if m.fleet.silentReplicas[replica] {
		m.scheduleOutcome(part, leg, "TimedOut", timeout)
	} else {
		m.scheduleOutcome(part, leg, "Ok", fleetAnswerTime)
	}
}

func (m *member) CancelAttempt(part uint64, leg int) { m.scheduleOutcome(part, leg, "Canceled", 1) }
func (m *member) AnswerSearch(id uint64, _ bool)     { m.finalAnswer(id) }
func (m *member) ShedSearch(id uint64, _ int64)      { m.finalAnswer(id) }
func (m *member) FailSearch(id uint64)               { m.finalAnswer(id) }
func (m *member) SetTimer(wait int64, label uint64) {
	m.fleet.schedule(wait, func() { m.iterate(func() { m.balancer.HandleTimer(label) }) })
}
func (m *member) CancelTimer(uint64)  {}
func (m *member) ProbeReplica(string) {}
func (m *member) LogMessage(string)   {}
func (m *member) WatchEndpoints()     { m.fleet.watchTimes = append(m.fleet.watchTimes, m.fleet.now) }

func (m *member) finalAnswer(id uint64) {
	if m.fleet.now >= m.deadlines[id] {
		m.fleet.lateAnswers = append(m.fleet.lateAnswers, id)
	}
	delete(m.deadlines, id)
}

func (m *member) commitList(how string, since []int64) {
	for i, at := range since {
		m.balancer.AddEndpoint(fmt.Sprint("r", i), 0, 0, i%fleetShardSets, "healthy", 1, at)
	}
	m.balancer.CommitEndpoints(how, 1)
}

func newFleet(n int) *fleet {
	f := &fleet{now: 10_000_000, silentReplicas: map[string]bool{}, sentTimes: map[string][]int64{}}
	facts := map[string]string{}
	for _, fact := range strings.Fields(defaultSettings + fmt.Sprintf(
		" Discovery=subscribe Safety.AskWithin=10000 Specifics.Sets=%d Balancers=%d", fleetShardSets, n)) {
		name, v, _ := strings.Cut(fact, "=")
		facts[name] = v
	}
	total := 0.0
	for i := range n {
		m := &member{fleet: f, attemptCounts: map[uint64]int{}, endedAttempts: map[[2]uint64]bool{}, deadlines: map[uint64]int64{}, trafficShare: 1}
		if m.balancer = New(m); n > 10 && i%10 == 0 {
			m.trafficShare = 4
		}
		total += m.trafficShare
		f.members = append(f.members, m)
		m.iterate(func() {
			m.balancer.Configure(int64(i+1), facts)
			m.commitList("Persisted", make([]int64, fleetReplicas))
		})
	}
	for i, m := range f.members {
		m.trafficShare /= total
		chance := rand.New(rand.NewSource(int64(1000 + i)))
		var search func()
		search = func() {
			m.iterate(func() {
				m.lastSearch++
				id, first := m.lastSearch, chance.Intn(fleetShardSets)
				m.deadlines[id] = f.now + 40_000
				m.balancer.AddSearch(id, chance.Intn(2), 0, "", 40_000, id, fleetSearchRequests, false)
				for i := range fleetSearchRequests {
					m.balancer.AddShardRequest(id*100+uint64(i), id, (first+i)%fleetShardSets, 1.0/fleetSearchRequests)
				}
			})
			f.schedule(int64(chance.ExpFloat64()*10_000/(fleetSearchRate*m.trafficShare)), search)
		}
		f.schedule(int64(chance.ExpFloat64()*10_000/(fleetSearchRate*m.trafficShare)), search)
	}
	return f
}

func (f *fleet) play(ms int64) {
	for until := f.now + ms*10; len(f.events) > 0 && f.events[0].at <= until; {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.run()
	}
}

// mostWithin is the most of some times that lie in a span of that length.
func mostWithin(at []int64, span int64) (most int) {
	at = slices.Sorted(slices.Values(at))
	for i, from := 0, 0; i < len(at); i++ {
		for at[i]-at[from] >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// countSentTo gives how many parts went to a replica in each of so many spans of 2 s, which it plays.
func (f *fleet) countSentTo(replica string, spans int) (n []int) {
	for range spans {
		f.sentTimes = map[string][]int64{}
		f.play(2_000)
		n = append(n, len(f.sentTimes[replica]))
	}
	return n
}

var fleetSizes = []int{1, 3, 300}

// All together keep under what a just started replica can stand, and it gets something.
func TestFleetSparesWarmingReplica(t *testing.T) {
	for _, n := range fleetSizes {
		f := newFleet(n)
		f.play(10_000)
		since := make([]int64, fleetReplicas)
		since[0] = f.now
		for _, m := range f.members {
			m.iterate(func() { m.commitList("Complete", since) })
		}
		for i, parts := range f.countSentTo("r0", 5) {
			can := 0.2 + 0.8*float64(2*i)/10       // ColdFrom and Cold of the facts, as the span begins
			most := 2 * can * fleetReplicaRate * 2 // FallMultiple, for 2 s
			require.LessOrEqual(t, float64(parts), most, "%d co-ordinators, from %d s", n, 2*i)
			require.GreaterOrEqual(t, float64(parts), 0.1*most, "%d co-ordinators, from %d s", n, 2*i)
		}
	}
}

// A silent replica gets a trial a second from each, and no more than its ordinary share from all together; no search ends
// late for it, and it is asked again once it answers.
func TestFleetProbesSilentReplica(t *testing.T) {
	for _, n := range fleetSizes {
		f := newFleet(n)
		f.play(10_000)
		f.silentReplicas["r1"] = true
		for i, parts := range f.countSentTo("r1", 6) {
			require.LessOrEqual(t, float64(parts), 2*fleetReplicaRate, "%d co-ordinators", n)
			if i > 0 && n < 10 {
				require.LessOrEqual(t, parts, 2*n+n, "%d co-ordinators", n)
			}
		}
		f.silentReplicas["r1"] = false
		for _, parts := range f.countSentTo("r1", 4) {
			require.GreaterOrEqual(t, float64(parts), 0.25*2*fleetReplicaRate, "%d co-ordinators", n)
		}
		require.Empty(t, f.lateAnswers)
	}
}

// When the list service fails for all at once, they ask again in growing waits that come to be spread over time, and none later
// than the rules allow. The first two rounds are not spread yet.
func TestFleetSpreadsWatchRetries(t *testing.T) {
	for _, n := range fleetSizes {
		f := newFleet(n)
		for round := range 5 {
			f.watchTimes = nil
			failed := f.now
			for _, m := range f.members {
				m.iterate(func() { m.balancer.CommitEndpoints("Error", 0) })
			}
			f.play(9_000)
			require.Len(t, f.watchTimes, n)
			if round > 1 {
				require.LessOrEqual(t, mostWithin(f.watchTimes, 1000), max(3, n/3), "%d co-ordinators in a tenth of a second", n)
			}
			require.Less(t, slices.Max(f.watchTimes)-failed, int64(100_000))
		}
	}
}

// withChance is what a rule that allows so many lets through: three deviations of chance more, and three.
func withChance(allowed float64) float64 { return allowed + 3*math.Sqrt(allowed) + 3 }

// A replica that has just started, at a time unlike for each seed: in each window of the settings, wherever it begins, all
// together send no more than the stated multiple of what it can do as the window begins, and chance. It gets something.
func TestFleetKeepsSlowStartInEachWindow(t *testing.T) {
	const window = 20_000 // Safety.Fall
	for _, n := range fleetSizes {
		worst := 0.0
		for turn := range 3 {
			f := newFleet(n)
			f.play(8_000 + 777*int64(turn))
			began, name := f.now, fmt.Sprint("r", turn)
			since := make([]int64, fleetReplicas)
			since[turn] = began
			for _, m := range f.members {
				m.iterate(func() { m.commitList("Complete", since) })
			}
			f.sentTimes = map[string][]int64{}
			f.play(10_000)
			at := slices.Sorted(slices.Values(f.sentTimes[name]))
			require.Greater(t, float64(len(at)), 0.2*10*fleetReplicaRate)
			for i, from := range at {
				can := 0.2 + 0.8*float64(from-began)/100_000
				end, _ := slices.BinarySearch(at, from+window)
				allowed := 2 * can * fleetReplicaRate * window / 10_000
				worst = max(worst, float64(end-i)/withChance(allowed))
				require.LessOrEqual(t, float64(end-i), withChance(allowed), "%d co-ordinators, %d ms after the start", n, (from-began)/10)
			}
		}
		t.Logf("%d co-ordinators: %.2f of what is allowed at the most", n, worst)
	}
}

// All connections of all are lost at once and the replicas are sound: what was out is sent again without a storm, and the
// connections that are made anew, one for each co-ordinator and replica as parts go there, are no more than parts are.
func TestFleetRetriesWithoutStorm(t *testing.T) {
	for _, n := range fleetSizes {
		f := newFleet(n)
		f.play(10_000)
		f.sentTimes, f.connectionsLostAt = map[string][]int64{}, f.now
		f.play(5_000)
		most := 0
		for _, at := range f.sentTimes {
			most = max(most, mostWithin(at, 10_000))
		}
		t.Logf("%d co-ordinators: %d parts in a second to one replica at the most, %.0f allowed", n, most, withChance(1.5*fleetReplicaRate))
		require.LessOrEqual(t, float64(most), withChance(1.5*fleetReplicaRate))
		require.Empty(t, f.lateAnswers)
	}
}
