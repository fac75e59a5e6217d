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
	fleetHosts  = 24 // two a set
	fleetSets   = 12
	fleetEach   = 4     // parts a search
	fleetRate   = 600.0 // searches a second of all together
	fleetAnswer = 200   // tenths of a ms
	fleetMean   = fleetRate * fleetEach / fleetHosts
)

type happening struct {
	at int64
	no int
	do func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].no < h[j].no
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(v any)   { *h = append(*h, v.(happening)) }
func (h *happenings) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

type fleet struct {
	now    int64
	events happenings
	no     int
	all    []*member
	silent map[string]bool
	sent   map[string][]int64 // when parts went to each replica
	lost   int64              // when all connections were: parts that were out then are reset
	asked  []int64            // when subscriptions were asked for
	late   []uint64           // searches whose final answer came after their time
}

// member is one co-ordinator of it.
type member struct {
	f     *fleet
	c     Balancer
	next  uint64
	legs  map[uint64]int
	gone  map[[2]uint64]bool
	due   map[uint64]int64
	share float64
}

func (f *fleet) after(wait int64, do func()) {
	f.no++
	heap.Push(&f.events, happening{f.now + max(wait, 1), f.no, do})
}

// turn has a module do something, in a turn of its own.
func (m *member) turn(do func()) {
	m.c.BeginIteration(m.f.now)
	do()
	m.c.EndIteration()
}

func (m *member) ends(part uint64, leg int, ending string, after int64) {
	f, sent := m.f, m.f.now
	m.f.after(after, func() {
		if key := [2]uint64{part, uint64(leg)}; !m.gone[key] {
			m.gone[key] = true
			if sent <= f.lost && ending == "Ok" {
				ending = "ResetByPeer"
			}
			m.turn(func() { m.c.RecordAttemptOutcome(part, leg, ending, m.f.now-sent, false, nil) })
		}
	})
}

func (m *member) SendAttempt(part uint64, replica string, timeout int64) {
	m.f.sent[replica] = append(m.f.sent[replica], m.f.now)
	leg := m.legs[part]
	m.legs[part]++
	if m.f.silent[replica] {
		m.ends(part, leg, "TimedOut", timeout)
	} else {
		m.ends(part, leg, "Ok", fleetAnswer)
	}
}

func (m *member) CancelAttempt(part uint64, leg int) { m.ends(part, leg, "Canceled", 1) }
func (m *member) AnswerSearch(id uint64, _ bool)     { m.final(id) }
func (m *member) ShedSearch(id uint64, _ int64)      { m.final(id) }
func (m *member) FailSearch(id uint64)               { m.final(id) }
func (m *member) SetTimer(wait int64, label uint64) {
	m.f.after(wait, func() { m.turn(func() { m.c.HandleTimer(label) }) })
}
func (m *member) CancelTimer(uint64)  {}
func (m *member) ProbeReplica(string) {}
func (m *member) LogMessage(string)   {}
func (m *member) WatchEndpoints()     { m.f.asked = append(m.f.asked, m.f.now) }

func (m *member) final(id uint64) {
	if m.f.now >= m.due[id] {
		m.f.late = append(m.f.late, id)
	}
	delete(m.due, id)
}

func (m *member) list(how string, since []int64) {
	for i, at := range since {
		m.c.AddEndpoint(fmt.Sprint("r", i), 0, 0, i%fleetSets, "healthy", 1, at)
	}
	m.c.CommitEndpoints(how, 1)
}

func startFleet(n int) *fleet {
	f := &fleet{now: 10_000_000, silent: map[string]bool{}, sent: map[string][]int64{}}
	facts := map[string]string{}
	for _, fact := range strings.Fields(usualFacts + fmt.Sprintf(
		" Discovery=subscribe Safety.AskWithin=10000 Specifics.Sets=%d Balancers=%d", fleetSets, n)) {
		name, v, _ := strings.Cut(fact, "=")
		facts[name] = v
	}
	total := 0.0
	for i := range n {
		m := &member{f: f, legs: map[uint64]int{}, gone: map[[2]uint64]bool{}, due: map[uint64]int64{}, share: 1}
		if m.c = New(m); n > 10 && i%10 == 0 {
			m.share = 4
		}
		total += m.share
		f.all = append(f.all, m)
		m.turn(func() {
			m.c.Configure(int64(i+1), facts)
			m.list("Persisted", make([]int64, fleetHosts))
		})
	}
	for i, m := range f.all {
		m.share /= total
		chance := rand.New(rand.NewSource(int64(1000 + i)))
		var search func()
		search = func() {
			m.turn(func() {
				m.next++
				id, first := m.next, chance.Intn(fleetSets)
				m.due[id] = f.now + 40_000
				m.c.AddSearch(id, chance.Intn(2), 0, "", 40_000, id, fleetEach, false)
				for i := range fleetEach {
					m.c.AddShardRequest(id*100+uint64(i), id, (first+i)%fleetSets, 1.0/fleetEach)
				}
			})
			f.after(int64(chance.ExpFloat64()*10_000/(fleetRate*m.share)), search)
		}
		f.after(int64(chance.ExpFloat64()*10_000/(fleetRate*m.share)), search)
	}
	return f
}

func (f *fleet) play(ms int64) {
	for until := f.now + ms*10; len(f.events) > 0 && f.events[0].at <= until; {
		e := heap.Pop(&f.events).(happening)
		f.now = e.at
		e.do()
	}
}

// within is the most of some times that lie in a span of that length.
func within(at []int64, span int64) (most int) {
	at = slices.Sorted(slices.Values(at))
	for i, from := 0, 0; i < len(at); i++ {
		for at[i]-at[from] >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// counts gives how many parts went to a replica in each of so many spans of 2 s, which it plays.
func (f *fleet) counts(replica string, spans int) (n []int) {
	for range spans {
		f.sent = map[string][]int64{}
		f.play(2_000)
		n = append(n, len(f.sent[replica]))
	}
	return n
}

var fleetSizes = []int{1, 3, 300}

// All together keep under what a just started replica can stand, and it gets something.
func TestFleetCold(t *testing.T) {
	for _, n := range fleetSizes {
		f := startFleet(n)
		f.play(10_000)
		since := make([]int64, fleetHosts)
		since[0] = f.now
		for _, m := range f.all {
			m.turn(func() { m.list("Complete", since) })
		}
		for i, parts := range f.counts("r0", 5) {
			can := 0.2 + 0.8*float64(2*i)/10 // ColdFrom and Cold of the facts, as the span begins
			most := 2 * can * fleetMean * 2  // FallMultiple, for 2 s
			require.LessOrEqual(t, float64(parts), most, "%d co-ordinators, from %d s", n, 2*i)
			require.GreaterOrEqual(t, float64(parts), 0.1*most, "%d co-ordinators, from %d s", n, 2*i)
		}
	}
}

// A silent replica gets a trial a second from each, and no more than its ordinary share from all together; no search ends
// late for it, and it is asked again once it answers.
func TestFleetSilent(t *testing.T) {
	for _, n := range fleetSizes {
		f := startFleet(n)
		f.play(10_000)
		f.silent["r1"] = true
		for i, parts := range f.counts("r1", 6) {
			require.LessOrEqual(t, float64(parts), 2*fleetMean, "%d co-ordinators", n)
			if i > 0 && n < 10 {
				require.LessOrEqual(t, parts, 2*n+n, "%d co-ordinators", n)
			}
		}
		f.silent["r1"] = false
		for _, parts := range f.counts("r1", 4) {
			require.GreaterOrEqual(t, float64(parts), 0.25*2*fleetMean, "%d co-ordinators", n)
		}
		require.Empty(t, f.late)
	}
}

// When the list service fails for all at once, they ask again in growing waits that come to be spread over time, and none later
// than the rules allow. The first two rounds are not spread yet.
func TestFleetAsks(t *testing.T) {
	for _, n := range fleetSizes {
		f := startFleet(n)
		for round := range 5 {
			f.asked = nil
			failed := f.now
			for _, m := range f.all {
				m.turn(func() { m.c.CommitEndpoints("Error", 0) })
			}
			f.play(9_000)
			require.Len(t, f.asked, n)
			if round > 1 {
				require.LessOrEqual(t, within(f.asked, 1000), max(3, n/3), "%d co-ordinators in a tenth of a second", n)
			}
			require.Less(t, slices.Max(f.asked)-failed, int64(100_000))
		}
	}
}

// byChance is what a rule that allows so many lets through: three deviations of chance more, and three.
func byChance(allowed float64) float64 { return allowed + 3*math.Sqrt(allowed) + 3 }

// A replica that has just started, at a time unlike for each seed: in each window of the settings, wherever it begins, all
// together send no more than the stated multiple of what it can do as the window begins, and chance. It gets something.
func TestFleetColdInEachWindow(t *testing.T) {
	const window = 20_000 // Safety.Fall
	for _, n := range fleetSizes {
		worst := 0.0
		for turn := range 3 {
			f := startFleet(n)
			f.play(8_000 + 777*int64(turn))
			began, name := f.now, fmt.Sprint("r", turn)
			since := make([]int64, fleetHosts)
			since[turn] = began
			for _, m := range f.all {
				m.turn(func() { m.list("Complete", since) })
			}
			f.sent = map[string][]int64{}
			f.play(10_000)
			at := slices.Sorted(slices.Values(f.sent[name]))
			require.Greater(t, float64(len(at)), 0.2*10*fleetMean)
			for i, from := range at {
				can := 0.2 + 0.8*float64(from-began)/100_000
				end, _ := slices.BinarySearch(at, from+window)
				allowed := 2 * can * fleetMean * window / 10_000
				worst = max(worst, float64(end-i)/byChance(allowed))
				require.LessOrEqual(t, float64(end-i), byChance(allowed), "%d co-ordinators, %d ms after the start", n, (from-began)/10)
			}
		}
		t.Logf("%d co-ordinators: %.2f of what is allowed at the most", n, worst)
	}
}

// All connections of all are lost at once and the replicas are sound: what was out is sent again without a storm, and the
// connections that are made anew, one for each co-ordinator and replica as parts go there, are no more than parts are.
func TestFleetLosesItsConnections(t *testing.T) {
	for _, n := range fleetSizes {
		f := startFleet(n)
		f.play(10_000)
		f.sent, f.lost = map[string][]int64{}, f.now
		f.play(5_000)
		most := 0
		for _, at := range f.sent {
			most = max(most, within(at, 10_000))
		}
		t.Logf("%d co-ordinators: %d parts in a second to one replica at the most, %.0f allowed", n, most, byChance(1.5*fleetMean))
		require.LessOrEqual(t, float64(most), byChance(1.5*fleetMean))
		require.Empty(t, f.late)
	}
}
