package rollout

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

// simulation is a fleet on one handed-in clock: desks, what each holds of the ledger, and a network that loses, cuts and
// delays. Each process has a disk that a kill leaves as it is.
type simulation struct {
	t                     require.TestingT
	rng                   *rand.Rand
	now                   int64
	nodes                 []*node
	names                 []string
	tickLength            int64
	isCut                 func(a, b int) bool // no way between two
	lossRate              float64
	delayed               []delayedMessage
	servedRate            float64 // served share, and of those that have the change
	servedRateWithChange  float64
	canServe              func(n *node, to uint64) bool // whether the change serves there
	searchRate            float64                       // searches a second
	maxConcurrentRestarts int                           // that may restart at once
	instancesByChange     map[uint64]map[string]bool
	restartCount          int
	clockOffsets          []int64 // of each one's clock
}

type delayedMessage struct {
	deliverAt int64
	receiver  int
	status    *StatusMessage
}

type node struct {
	index             int
	instance          Instance
	incarnation       uint64
	controller        *Controller
	entries           map[string][]byte // changes and rosters
	statuses          map[string]*StatusMessage
	runningNumber     uint64
	previousNumber    uint64
	startsAt          int64    // when it is up, 0 while it is
	restart           *Restart // it restarts by
	attempts          int
	failedEpoch       uint64
	failedNumber      uint64
	failureReason     string
	unplannedRestarts int
	servingSince      int64
	stats             InstanceStats
	changeFile        *ChangeFile
	killed            bool
}

func newSimulation(t require.TestingT, n int, seed int64) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewSource(seed)), now: 1, isCut: func(a, b int) bool { return false }, servedRate: 0.995, servedRateWithChange: 0.995,
		searchRate: 1, canServe: func(*node, uint64) bool { return true }, instancesByChange: map[uint64]map[string]bool{}, tickLength: second,
	}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("n%03d", i))
		w.clockOffsets = append(w.clockOffsets, w.rng.Int63n(3600*second)) // clocks an hour apart
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{
			index: i, instance: Instance{w.names[i], fmt.Sprintf("r%d", i%3), fmt.Sprintf("z%d", i%6/3)},
			entries: map[string][]byte{}, statuses: map[string]*StatusMessage{},
		})
		w.start(w.nodes[i], true)
	}
	return w
}

func (w *simulation) start(n *node, first bool) {
	n.incarnation++
	n.startsAt = 0
	now := w.now + w.clockOffsets[n.index]
	n.controller = New(InitialState{
		Self: n.instance, Incarnation: n.incarnation, Members: w.names, RunningNumber: n.runningNumber, FailedEpoch: n.failedEpoch, FailedNumber: n.failedNumber, FailureReason: n.failureReason,
		UnplannedRestarts: n.unplannedRestarts, NoSavedState: first, Now: now,
	})
	var all []Instance
	for _, o := range w.nodes {
		all = append(all, o.instance)
	}
	n.controller.SetInstances(all, nil)
	n.controller.SetFile(n.changeFile)
	for _, key := range slices.Sorted(maps.Keys(n.entries)) {
		require.NoError(w.t, n.controller.HandleEntry(now, key, n.entries[key]))
	}
	for _, word := range n.statuses {
		n.controller.now = max(n.controller.now, now)
		n.controller.recordStatus(*word)
	}
	n.stats, n.servingSince = InstanceStats{Classes: make([]ClassStats, 1), MemoryBytes: 100 << 20}, w.now
	n.controller.MarkServing(now)
}

// kill ends a process at once; one that restarted into a change tries it again, twice.
func (w *simulation) kill(n *node, down int64) {
	n.controller, n.startsAt, n.killed = nil, w.now+down, true
	if n.restart == nil {
		n.unplannedRestarts++
	}
}

func (w *simulation) deliver(n *node, word *StatusMessage) {
	if have := n.statuses[word.Instance.Name]; have != nil && !word.isNewerThan(have) {
		return
	}
	n.statuses[word.Instance.Name] = word
	if n.controller != nil {
		n.controller.now = max(n.controller.now, w.now+w.clockOffsets[n.index])
		n.controller.recordStatus(*word)
	}
}

// exchange is one instance handing all it holds to another.
func (w *simulation) exchange(a, b *node) {
	for key, text := range a.entries {
		if b.entries[key] == nil {
			b.entries[key] = text
			if b.controller != nil {
				require.NoError(w.t, b.controller.HandleEntry(w.now+w.clockOffsets[b.index], key, text))
			}
		}
	}
	for _, word := range a.statuses {
		if w.rng.Float64() < w.lossRate {
			w.delayed = append(w.delayed, delayedMessage{w.now + w.rng.Int63n(20*second), b.index, word})
			continue
		}
		w.deliver(b, word)
	}
}

// tick is one pace of the whole fleet.
func (w *simulation) tick() {
	w.now += w.tickLength
	for i := 0; i < len(w.delayed); i++ {
		if l := w.delayed[i]; l.deliverAt <= w.now {
			w.deliver(w.nodes[l.receiver], l.status)
			w.delayed[i] = w.delayed[len(w.delayed)-1]
			w.delayed, i = w.delayed[:len(w.delayed)-1], i-1
		}
	}
	for _, n := range w.nodes {
		if n.controller == nil {
			if w.now >= n.startsAt {
				w.finishRestart(n)
			}
			continue
		}
		w.serve(n)
		out := n.controller.Decide(w.now + w.clockOffsets[n.index])
		for key, text := range out.Put {
			if strings.HasPrefix(key, statusPrefix) {
				word := &StatusMessage{}
				require.NoError(w.t, decodeEntry(key, text, word))
				n.statuses[n.instance.Name] = word
			} else {
				n.entries[key] = text
			}
		}
		if out.Restart != nil {
			w.beginRestart(n, out.Restart)
		}
	}
	for range 2 {
		for _, n := range w.nodes {
			if o := w.nodes[w.rng.Intn(len(w.nodes))]; n.controller != nil && o.controller != nil && !w.isCut(n.index, o.index) {
				w.exchange(n, o)
			}
			if o := w.nodes[w.rng.Intn(len(w.nodes))]; n.controller != nil && o.controller != nil && !w.isCut(o.index, n.index) {
				w.exchange(o, n)
			}
		}
	}
	rolling := 0
	for _, n := range w.nodes {
		rolling += btoi(n.restart != nil)
	}
	if w.maxConcurrentRestarts > 0 {
		require.LessOrEqual(w.t, rolling, w.maxConcurrentRestarts, "restarts at once")
	}
}

func (w *simulation) beginRestart(n *node, s *Restart) {
	w.restartCount++
	n.restart, n.controller, n.attempts = s, nil, 0
	n.startsAt = w.now + w.tickLength + w.rng.Int63n(max(1, s.ReadyTimeout/2))
	if w.instancesByChange[s.TargetNumber] == nil {
		w.instancesByChange[s.TargetNumber] = map[string]bool{}
	}
	w.instancesByChange[s.TargetNumber][n.instance.Name] = true
}

// finishRestart is a process that is up again.
func (w *simulation) finishRestart(n *node) {
	if s := n.restart; s != nil {
		n.restart = nil
		if n.attempts++; w.canServe(n, s.TargetNumber) {
			n.previousNumber, n.runningNumber, n.unplannedRestarts = n.runningNumber, s.TargetNumber, 0
		} else {
			n.failedEpoch, n.failedNumber, n.failureReason = s.Epoch, s.TargetNumber, "does not serve"
		}
	}
	w.start(n, n.killed) // its last words may not have been on the disk
	n.killed = false
}

func (w *simulation) serve(n *node) {
	share := w.servedRate
	if n.runningNumber != 0 {
		share = w.servedRateWithChange
	}
	c := &n.stats.Classes[0]
	asked := uint64(distuv.Poisson{Lambda: w.searchRate * float64(w.tickLength) / float64(second), Src: randomSource{w.rng}}.Rand())
	ok := uint64(0)
	for range asked {
		if w.rng.Float64() < share {
			ok++
			c.Latencies[8+w.rng.Intn(6)]++
			c.SubRequests[7+w.rng.Intn(3)]++
		}
	}
	c.Requests, c.Served, c.Shed = c.Requests+asked, c.Served+ok, c.Shed+asked-ok
	n.controller.SetStats(InstanceStats{Classes: append([]ClassStats(nil), n.stats.Classes...), MemoryBytes: n.stats.MemoryBytes})
}

// randomSource is math/rand's source as gonum takes it.
type randomSource struct{ *rand.Rand }

func (s randomSource) Seed(seed uint64) { s.Rand.Seed(int64(seed)) }

func (w *simulation) runUntil(length int64, until func() bool) bool {
	for end := w.now + length; w.now < end; {
		if w.tick(); until != nil && until() {
			return true
		}
	}
	return until == nil
}

func (w *simulation) isComplete() bool {
	for _, n := range w.nodes {
		if n.controller == nil || n.controller.active == nil || !n.controller.isComplete() || n.runningNumber != n.controller.active.Number {
			return false
		}
	}
	return true
}

// hasAgreed tells that all have one answer, and run what it says.
func (w *simulation) hasAgreed() bool {
	first := w.nodes[0].controller
	for _, n := range w.nodes {
		if n.controller == nil || n.controller.active == nil || first == nil || first.active == nil || n.restart != nil {
			return false
		}
		d := n.controller
		if d.active.Number != first.active.Number || d.digest != first.digest || d.status.Verdict != first.status.Verdict {
			return false
		}
		switch d.status.Verdict.Order {
		case OrderRollBack:
			if n.runningNumber != d.active.BaseNumber {
				return false
			}
		case OrderProceed:
			if !d.isComplete() || n.runningNumber != d.active.Number {
				return false
			}
		}
	}
	return true
}

func testChangeFile(number uint64, more ...string) *ChangeFile {
	text := fmt.Sprintf("name: c\nnumber: %d\nsettings: {Safety: {ExtraFloor: 0.5}}\nstages:\n  - {count: 1, watch: 20s}\n"+
		"  - {share: 0.25, watch: 20s}\n  - {share: 1, watch: 5s}\ncold: 2s\nready: 6s\nsilent: 60s\nsearches: 10\n%s\n...\n",
		number, strings.Join(more, "\n"))
	f, err := ParseChangeFile("c.yaml", []byte(text))
	if err != nil {
		panic(err)
	}
	return f
}

func (w *simulation) setChangeFile(f *ChangeFile, to ...int) {
	for _, i := range to {
		w.nodes[i].changeFile = f
		if w.nodes[i].controller != nil {
			w.nodes[i].controller.SetFile(f)
		}
	}
}

func TestGoodChangeReachesEveryInstance(t *testing.T) {
	t.Parallel()
	w := newSimulation(t, 300, 1)
	for _, n := range w.nodes {
		w.start(n, false)
	}
	w.tickLength, w.maxConcurrentRestarts = 4*second, 75
	f := testChangeFile(1, "together: 0.25")
	f.Change.SilenceTimeout = 100 * second
	w.setChangeFile(f, 17)
	require.True(t, w.runUntil(900*second, w.isComplete))
	require.Len(t, w.instancesByChange[1], 300)
	require.Equal(t, 300, w.restartCount)
}

// TestInvariantsHoldUnderFaults plays drawn histories: partitions, one-way cuts, kills, lost and late words, lost disks,
// changes that fail and orders that change. While they go on no more than a stage's count restart; after them all
// instances come to one answer.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 24).Draw(t, "instances")
		w := newSimulation(t, n, rapid.Int64().Draw(t, "seed"))
		f := testChangeFile(1, "then: "+rapid.SampledFrom([]string{"back", "stop"}).Draw(t, "then"))
		steps := f.Change.steps(n)
		for i, s := range steps {
			from := 0
			if i > 0 {
				from = steps[i-1].to
			}
			w.maxConcurrentRestarts = max(w.maxConcurrentRestarts, s.to-from)
		}
		w.setChangeFile(f, rapid.SliceOfN(rapid.IntRange(0, n-1), 1, 3).Draw(t, "files")...)
		if rapid.Bool().Draw(t, "fails") {
			bad := rapid.IntRange(0, n-1).Draw(t, "where")
			w.canServe = func(n *node, to uint64) bool { return n.index != bad || to == 0 }
		}
		events := rapid.IntRange(1, 6).Draw(t, "events")
		turn := uint64(1)
		for range events {
			w.runUntil(int64(rapid.IntRange(1, 60).Draw(t, "quiet"))*second, nil)
			switch rapid.SampledFrom([]string{"split", "one way", "kill", "loss", "wipe", "order", "second"}).Draw(t, "event") {
			case "split":
				at := rapid.IntRange(1, n-1).Draw(t, "at")
				w.isCut = func(a, b int) bool { return (a < at) != (b < at) }
				length, before := int64(rapid.IntRange(1, 90).Draw(t, "length"))*second, map[int]uint64{}
				w.runUntil(grantedRestartTime(f), nil)
				for _, n := range w.nodes {
					before[n.index] = n.runningNumber
				}
				w.runUntil(length, nil)
				for _, one := range w.nodes { // a minority goes neither on nor back
					if small := one.index < at == (2*at <= n); small && (2*at != n || one.index >= 0) && one.restart == nil {
						require.Equal(t, before[one.index], one.runningNumber, "%s on the small side", one.instance.Name)
					}
				}
			case "one way":
				a := rapid.IntRange(0, n-1).Draw(t, "deaf")
				w.isCut = func(_, b int) bool { return b == a }
			case "kill":
				for range rapid.IntRange(1, 3).Draw(t, "kills") {
					if one := w.nodes[rapid.IntRange(0, n-1).Draw(t, "killed")]; one.controller != nil {
						w.kill(one, int64(rapid.IntRange(1, 20).Draw(t, "down"))*second)
					}
				}
			case "loss":
				w.lossRate = 0.5
			case "wipe": // an empty disk: it learns what it had said from the others
				if one := w.nodes[rapid.IntRange(0, n-1).Draw(t, "wiped")]; one.controller != nil && one.runningNumber == 0 {
					one.entries, one.statuses = map[string][]byte{}, map[string]*StatusMessage{}
					w.start(one, true)
				}
			case "order":
				turn++
				g := *f
				g.Epoch, g.Order = turn, rapid.SampledFrom([]Order{OrderProceed, OrderStop, OrderRollBack}).Draw(t, "order")
				f = &g
				w.setChangeFile(f, rapid.IntRange(0, n-1).Draw(t, "file"))
			case "second":
				f, turn = testChangeFile(f.Change.Number+1), 1
				w.setChangeFile(f, rapid.IntRange(0, n-1).Draw(t, "file"))
			}
			w.runUntil(int64(rapid.IntRange(1, 60).Draw(t, "trouble"))*second, nil)
			w.isCut, w.lossRate = func(a, b int) bool { return false }, 0
		}
		if !w.runUntil(1200*second, w.hasAgreed) {
			for _, one := range w.nodes {
				if d := one.controller; d != nil && d.active != nil {
					t.Logf("%s runs %d of %d from %d, %+v open %d/%d stage %d roster %s ask %v acks %v failed %d amn %v: %s", one.instance.Name, one.runningNumber, d.active.Number,
						d.active.BaseNumber, d.status.Verdict, d.open, len(d.steps), d.status.ApprovedSteps, d.status.RosterDigest, d.status.PermitRequest, d.acks, d.status.FailedEpoch, d.mayHaveForgottenPromises(), d.holdsNow())
				} else {
					t.Logf("%s %v", one.instance.Name, one.controller != nil)
				}
			}
			t.Fatal("no one answer")
		}
	})
}

// grantedRestartTime is how long a step may still come of what was grantedRestartTime before: the wish's time, and the restart's.
func grantedRestartTime(f *ChangeFile) int64 {
	return f.Change.SilenceTimeout/requestTimeoutDivisor + f.Change.ReadyTimeout + 3*second
}

func (d *Controller) holdsNow() string {
	if d.roster == nil {
		return "no roster"
	}
	if d.status.ApprovedSteps > len(d.steps) {
		return "closed"
	}
	return d.delayReason()
}
