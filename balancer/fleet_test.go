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

// A whole fleet on one clock: real balancers, uneven traffic (one in ten coordinators gets four times the traffic of
// the others), and replicas that answer after a fixed time or never. The total traffic is the same for every number of
// coordinators.
const (
	fleetReplicas       = 24 // two per shard set
	fleetShardSets      = 12
	fleetSearchRequests = 4     // shard requests of a search
	fleetSearchRate     = 600.0 // searches per second of all coordinators together
	fleetAnswerTime     = 20 * millisecond
	fleetReplicaRate    = fleetSearchRate * fleetSearchRequests / fleetReplicas // requests per second at one replica
)

var fleetSizes = []int{1, 3, 300}

// fleetEvent is a scheduled event; events with the same time run in the order in which they were scheduled.
type fleetEvent struct {
	at    int64
	order int
	run   func()
}

// fleetEvents is a heap ordered by time.
type fleetEvents []fleetEvent

func (e fleetEvents) Len() int      { return len(e) }
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e fleetEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e *fleetEvents) Push(event any) { *e = append(*e, event.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type fleet struct {
	now       int64
	events    fleetEvents
	lastOrder int
	members   []*member

	silentReplicas    map[string]bool
	connectionsLostAt int64 // attempts in flight at that time are reset

	sentTimes   map[string][]int64 // of the attempts at each replica
	watchTimes  []int64
	lateAnswers []uint64 // searches with a final answer after their client's timeout
}

// member is the protocol of one coordinator of a fleet.
type member struct {
	fleet         *fleet
	balancer      Balancer
	rng           *rand.Rand // of its traffic
	trafficShare  float64
	lastSearch    uint64
	attemptCounts map[uint64]int // by request
	endedAttempts map[attemptID]bool
	deadlines     map[uint64]int64 // by search
}

func (f *fleet) schedule(wait int64, run func()) {
	f.lastOrder++
	heap.Push(&f.events, fleetEvent{f.now + max(wait, 1), f.lastOrder, run})
}

// iterate runs a function within one iteration of a balancer.
func (m *member) iterate(do func()) {
	m.balancer.BeginIteration(m.fleet.now)
	do()
	m.balancer.EndIteration()
}

func (m *member) scheduleOutcome(request uint64, index int, outcome string, after int64) {
	sent, id := m.fleet.now, attemptID{request, index}
	m.fleet.schedule(after, func() {
		if m.endedAttempts[id] {
			return
		}
		m.endedAttempts[id] = true
		if sent <= m.fleet.connectionsLostAt && outcome == OutcomeOK {
			outcome = OutcomeResetByPeer
		}
		m.iterate(func() {
			m.balancer.RecordAttemptOutcome(request, index, outcome, m.fleet.now-sent, false, nil)
		})
	})
}

func (m *member) SendAttempt(request uint64, replica string, timeout int64) {
	m.fleet.sentTimes[replica] = append(m.fleet.sentTimes[replica], m.fleet.now)
	index := m.attemptCounts[request]
	m.attemptCounts[request]++
	if m.fleet.silentReplicas[replica] {
		m.scheduleOutcome(request, index, OutcomeTimedOut, timeout)
	} else {
		m.scheduleOutcome(request, index, OutcomeOK, fleetAnswerTime)
	}
}

func (m *member) CancelAttempt(request uint64, index int) {
	m.scheduleOutcome(request, index, OutcomeCanceled, 1)
}
func (m *member) AnswerSearch(id uint64, _ bool) { m.recordFinal(id) }
func (m *member) ShedSearch(id uint64, _ int64)  { m.recordFinal(id) }
func (m *member) FailSearch(id uint64)           { m.recordFinal(id) }
func (m *member) SetTimer(wait int64, label uint64) {
	m.fleet.schedule(wait, func() { m.iterate(func() { m.balancer.HandleTimer(label) }) })
}
func (m *member) CancelTimer(uint64)  {}
func (m *member) ProbeReplica(string) {}
func (m *member) LogMessage(string)   {}
func (m *member) WatchEndpoints()     { m.fleet.watchTimes = append(m.fleet.watchTimes, m.fleet.now) }

func (m *member) recordFinal(id uint64) {
	if m.fleet.now >= m.deadlines[id] {
		m.fleet.lateAnswers = append(m.fleet.lateAnswers, id)
	}
	delete(m.deadlines, id)
}

// commitList passes on a list of replicas with their start times.
func (m *member) commitList(kind string, startTimes []int64) {
	for i, startedAt := range startTimes {
		m.balancer.AddEndpoint(fmt.Sprint("r", i), 0, 0, i%fleetShardSets, StatusHealthy, 1, startedAt)
	}
	m.balancer.CommitEndpoints(kind, 1)
}

// addTraffic adds a search now and schedules the next.
func (m *member) addTraffic() {
	const timeLeft = 4 * second
	m.iterate(func() {
		m.lastSearch++
		id, firstShard := m.lastSearch, m.rng.Intn(fleetShardSets)
		m.deadlines[id] = m.fleet.now + timeLeft
		m.balancer.AddSearch(id, m.rng.Intn(2), 0, "", timeLeft, id, fleetSearchRequests, false)
		for i := range fleetSearchRequests {
			shard := (firstShard + i) % fleetShardSets
			m.balancer.AddShardRequest(id*100+uint64(i), id, shard, 1.0/fleetSearchRequests)
		}
	})
	m.scheduleTraffic()
}

func (m *member) scheduleTraffic() {
	m.fleet.schedule(int64(m.rng.ExpFloat64()*second/(fleetSearchRate*m.trafficShare)), m.addTraffic)
}

func newFleet(size int) *fleet {
	f := &fleet{now: 1_000 * second, silentReplicas: map[string]bool{}, sentTimes: map[string][]int64{}}
	values := map[string]string{}
	for _, setting := range strings.Fields(defaultSettings + fmt.Sprintf(
		" Discovery=subscribe Safety.AskWithin=10000 Specifics.Sets=%d Balancers=%d", fleetShardSets, size)) {
		name, value, _ := strings.Cut(setting, "=")
		values[name] = value
	}
	totalShare := 0.0
	for i := range size {
		m := &member{
			fleet: f, trafficShare: 1, rng: rand.New(rand.NewSource(int64(1000 + i))),
			attemptCounts: map[uint64]int{}, endedAttempts: map[attemptID]bool{}, deadlines: map[uint64]int64{},
		}
		m.balancer = New(m)
		if size > 10 && i%10 == 0 {
			m.trafficShare = 4
		}
		totalShare += m.trafficShare
		f.members = append(f.members, m)
		m.iterate(func() {
			m.balancer.Configure(int64(i+1), values)
			m.commitList(ListPersisted, make([]int64, fleetReplicas))
		})
	}
	for _, m := range f.members {
		m.trafficShare /= totalShare
		m.scheduleTraffic()
	}
	return f
}

func (f *fleet) play(milliseconds int64) {
	for until := f.now + milliseconds*millisecond; len(f.events) > 0 && f.events[0].at <= until; {
		event := heap.Pop(&f.events).(fleetEvent)
		f.now = event.at
		event.run()
	}
}

// restartReplica reports to all members that a replica has just started.
func (f *fleet) restartReplica(index int) {
	startTimes := make([]int64, fleetReplicas)
	startTimes[index] = f.now
	for _, m := range f.members {
		m.iterate(func() { m.commitList(ListComplete, startTimes) })
	}
}

// playAndCountSentTo plays a number of spans of 2 s and returns how many attempts were sent to a replica in each.
func (f *fleet) playAndCountSentTo(replica string, spans int) (counts []int) {
	for range spans {
		f.sentTimes = map[string][]int64{}
		f.play(2_000)
		counts = append(counts, len(f.sentTimes[replica]))
	}
	return counts
}

// mostWithin returns the largest number of times that lie within a span.
func mostWithin(times []int64, span int64) (most int) {
	times = slices.Sorted(slices.Values(times))
	first := 0
	for i := range times {
		for times[i]-times[first] >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// withRandomMargin returns the highest count to accept for an allowed mean: three standard deviations more, plus three.
func withRandomMargin(allowed float64) float64 { return allowed + 3*math.Sqrt(allowed) + 3 }

// warmingCapacity returns the capacity of a replica at an age, as a share of its full capacity: by ColdFrom and Cold of
// the settings.
func warmingCapacity(age int64) float64 { return 0.2 + 0.8*float64(age)/(10*second) }

// overloadMultiple is FallMultiple of the settings.
const overloadMultiple = 2

// All coordinators together send a replica that has just started no more than it can serve, and it gets some requests.
func TestFleetLimitsLoadOnWarmingReplica(t *testing.T) {
	for _, size := range fleetSizes {
		f := newFleet(size)
		f.play(10_000)
		f.restartReplica(0)
		for i, sent := range f.playAndCountSentTo("r0", 5) {
			allowed := overloadMultiple * warmingCapacity(int64(i)*2*second) * fleetReplicaRate * 2 // in 2 s
			require.LessOrEqual(t, float64(sent), allowed, "%d coordinators, from %d s", size, 2*i)
			require.GreaterOrEqual(t, float64(sent), 0.1*allowed, "%d coordinators, from %d s", size, 2*i)
		}
	}
}

// A silent replica gets one probe attempt a second from each coordinator, and from all together no more than its normal
// share. No search is answered late because of it, and it gets requests again once it answers.
func TestFleetProbesSilentReplica(t *testing.T) {
	for _, size := range fleetSizes {
		f := newFleet(size)
		f.play(10_000)
		f.silentReplicas["r1"] = true
		for i, sent := range f.playAndCountSentTo("r1", 6) {
			require.LessOrEqual(t, float64(sent), 2*fleetReplicaRate, "%d coordinators", size)
			if i > 0 && size < 10 {
				require.LessOrEqual(t, sent, 2*size+size, "%d coordinators", size)
			}
		}
		f.silentReplicas["r1"] = false
		for _, sent := range f.playAndCountSentTo("r1", 4) {
			require.GreaterOrEqual(t, float64(sent), 0.25*2*fleetReplicaRate, "%d coordinators", size)
		}
		require.Empty(t, f.lateAnswers)
	}
}

// If the list service fails for all coordinators at once, they restart their watches after growing waits that become
// spread over time, and never later than the settings allow. The first two rounds are not spread yet.
func TestFleetSpreadsWatchRetries(t *testing.T) {
	for _, size := range fleetSizes {
		f := newFleet(size)
		for round := range 5 {
			f.watchTimes = nil
			failedAt := f.now
			for _, m := range f.members {
				m.iterate(func() { m.balancer.CommitEndpoints(ListError, 0) })
			}
			f.play(9_000)
			require.Len(t, f.watchTimes, size)
			if round > 1 {
				most := mostWithin(f.watchTimes, 100*millisecond)
				require.LessOrEqual(t, most, max(3, size/3), "%d coordinators in a tenth of a second", size)
			}
			require.Less(t, slices.Max(f.watchTimes)-failedAt, int64(10*second))
		}
	}
}

// A replica has just started, at a different time for each seed. In every window of the length that the setting Fall
// gives, wherever it begins, all coordinators together send no more than the configured multiple of the replica's
// capacity at the beginning of the window, apart from random variation. The replica gets some requests.
func TestFleetSlowStartHoldsInEachWindow(t *testing.T) {
	const window = 2 * second // Fall of the settings
	for _, size := range fleetSizes {
		worst := 0.0
		for seed := range 3 {
			f := newFleet(size)
			f.play(8_000 + 777*int64(seed))
			startedAt, replica := f.now, fmt.Sprint("r", seed)
			f.restartReplica(seed)
			f.sentTimes = map[string][]int64{}
			f.play(10_000)
			times := slices.Sorted(slices.Values(f.sentTimes[replica]))
			require.Greater(t, float64(len(times)), 0.2*10*fleetReplicaRate)
			for i, from := range times {
				age := from - startedAt
				end, _ := slices.BinarySearch(times, from+window)
				allowed := withRandomMargin(overloadMultiple * warmingCapacity(age) * fleetReplicaRate * window / second)
				worst = max(worst, float64(end-i)/allowed)
				require.LessOrEqual(t, float64(end-i), allowed, "%d coordinators, %d ms after the start", size, age/millisecond)
			}
		}
		t.Logf("%d coordinators: at most %.2f of the allowed count", size, worst)
	}
}

// All connections of all coordinators are lost at once while the replicas are healthy. The requests in flight are sent
// again without a storm. There are no more new connections than requests, as each coordinator connects to a replica
// only when it sends it a request.
func TestFleetRetriesWithoutStorm(t *testing.T) {
	for _, size := range fleetSizes {
		f := newFleet(size)
		f.play(10_000)
		f.sentTimes, f.connectionsLostAt = map[string][]int64{}, f.now
		f.play(5_000)
		most, allowed := 0, withRandomMargin(1.5*fleetReplicaRate)
		for _, times := range f.sentTimes {
			most = max(most, mostWithin(times, second))
		}
		t.Logf("%d coordinators: at most %d requests in a second to one replica, %.0f allowed", size, most, allowed)
		require.LessOrEqual(t, float64(most), allowed)
		require.Empty(t, f.lateAnswers)
	}
}
