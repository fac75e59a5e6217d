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

// world is a fleet on one handed-in clock: desks, what each holds of the ledger, and a network that loses, cuts and
// delays. Each process has a disk that a kill leaves as it is.
type world struct {
	t       require.TestingT
	chance  *rand.Rand
	now     int64
	nodes   []*node
	names   []string
	pace    int64
	cut     func(a, b int) bool // no way between two
	loss    float64
	late    []message
	good    float64 // served share, and of those that have the change
	bad     float64
	takes   func(n *node, to uint64) bool // whether the change serves there
	rate    float64                       // searches a second
	most    int                           // that may restart at once
	reached map[uint64]map[string]bool
	steps   int
	offset  []int64 // of each one's clock
}

type message struct {
	at int64
	to int
	w  *StatusMessage
}

type node struct {
	i       int
	place   Instance
	life    uint64
	desk    *Controller
	book    map[string][]byte // changes and rosters
	words   map[string]*StatusMessage
	runs    uint64
	from    uint64
	up      int64    // when it is up, 0 while it is
	rolling *Restart // it restarts by
	tries   int
	failed  uint64
	number  uint64
	why     string
	starts  int
	served  int64
	sums    InstanceStats
	file    *ChangeFile
	killed  bool
}

func newWorld(t require.TestingT, n int, seed int64) *world {
	w := &world{
		t: t, chance: rand.New(rand.NewSource(seed)), now: 1, cut: func(a, b int) bool { return false }, good: 0.995, bad: 0.995,
		rate: 1, takes: func(*node, uint64) bool { return true }, reached: map[uint64]map[string]bool{}, pace: second,
	}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("n%03d", i))
		w.offset = append(w.offset, w.chance.Int63n(3600*second)) // clocks an hour apart
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{
			i: i, place: Instance{w.names[i], fmt.Sprintf("r%d", i%3), fmt.Sprintf("z%d", i%6/3)},
			book: map[string][]byte{}, words: map[string]*StatusMessage{},
		})
		w.start(w.nodes[i], true)
	}
	return w
}

func (w *world) start(n *node, first bool) {
	n.life++
	n.up = 0
	now := w.now + w.offset[n.i]
	n.desk = New(InitialState{
		Self: n.place, Incarnation: n.life, Members: w.names, RunningNumber: n.runs, FailedEpoch: n.failed, FailedNumber: n.number, FailureReason: n.why,
		UnplannedRestarts: n.starts, NoSavedState: first, Now: now,
	})
	var all []Instance
	for _, o := range w.nodes {
		all = append(all, o.place)
	}
	n.desk.SetInstances(all, nil)
	n.desk.SetFile(n.file)
	for _, key := range slices.Sorted(maps.Keys(n.book)) {
		require.NoError(w.t, n.desk.HandleEntry(now, key, n.book[key]))
	}
	for _, word := range n.words {
		n.desk.now = max(n.desk.now, now)
		n.desk.hear(*word)
	}
	n.sums, n.served = InstanceStats{Classes: make([]ClassStats, 1), MemoryBytes: 100 << 20}, w.now
	n.desk.MarkServing(now)
}

// kill ends a process at once; one that restarted into a change tries it again, twice.
func (w *world) kill(n *node, down int64) {
	n.desk, n.up, n.killed = nil, w.now+down, true
	if n.rolling == nil {
		n.starts++
	}
}

func (w *world) hear(n *node, word *StatusMessage) {
	if have := n.words[word.Instance.Name]; have != nil && !word.after(have) {
		return
	}
	n.words[word.Instance.Name] = word
	if n.desk != nil {
		n.desk.now = max(n.desk.now, w.now+w.offset[n.i])
		n.desk.hear(*word)
	}
}

// exchange is one instance handing all it holds to another.
func (w *world) exchange(a, b *node) {
	for key, text := range a.book {
		if b.book[key] == nil {
			b.book[key] = text
			if b.desk != nil {
				require.NoError(w.t, b.desk.HandleEntry(w.now+w.offset[b.i], key, text))
			}
		}
	}
	for _, word := range a.words {
		if w.chance.Float64() < w.loss {
			w.late = append(w.late, message{w.now + w.chance.Int63n(20*second), b.i, word})
			continue
		}
		w.hear(b, word)
	}
}

// tick is one pace of the whole fleet.
func (w *world) tick() {
	w.now += w.pace
	for i := 0; i < len(w.late); i++ {
		if l := w.late[i]; l.at <= w.now {
			w.hear(w.nodes[l.to], l.w)
			w.late[i] = w.late[len(w.late)-1]
			w.late, i = w.late[:len(w.late)-1], i-1
		}
	}
	for _, n := range w.nodes {
		if n.desk == nil {
			if w.now >= n.up {
				w.back(n)
			}
			continue
		}
		w.serve(n)
		out := n.desk.Decide(w.now + w.offset[n.i])
		for key, text := range out.Put {
			if strings.HasPrefix(key, wordPrefix) {
				word := &StatusMessage{}
				require.NoError(w.t, decode(key, text, word))
				n.words[n.place.Name] = word
			} else {
				n.book[key] = text
			}
		}
		if out.Restart != nil {
			w.step(n, out.Restart)
		}
	}
	for range 2 {
		for _, n := range w.nodes {
			if o := w.nodes[w.chance.Intn(len(w.nodes))]; n.desk != nil && o.desk != nil && !w.cut(n.i, o.i) {
				w.exchange(n, o)
			}
			if o := w.nodes[w.chance.Intn(len(w.nodes))]; n.desk != nil && o.desk != nil && !w.cut(o.i, n.i) {
				w.exchange(o, n)
			}
		}
	}
	rolling := 0
	for _, n := range w.nodes {
		rolling += btoi(n.rolling != nil)
	}
	if w.most > 0 {
		require.LessOrEqual(w.t, rolling, w.most, "restarts at once")
	}
}

func (w *world) step(n *node, s *Restart) {
	w.steps++
	n.rolling, n.desk, n.tries = s, nil, 0
	n.up = w.now + w.pace + w.chance.Int63n(max(1, s.ReadyTimeout/2))
	if w.reached[s.TargetNumber] == nil {
		w.reached[s.TargetNumber] = map[string]bool{}
	}
	w.reached[s.TargetNumber][n.place.Name] = true
}

// back is a process that is up again.
func (w *world) back(n *node) {
	if s := n.rolling; s != nil {
		n.rolling = nil
		if n.tries++; w.takes(n, s.TargetNumber) {
			n.from, n.runs, n.starts = n.runs, s.TargetNumber, 0
		} else {
			n.failed, n.number, n.why = s.Epoch, s.TargetNumber, "does not serve"
		}
	}
	w.start(n, n.killed) // its last words may not have been on the disk
	n.killed = false
}

func (w *world) serve(n *node) {
	share := w.good
	if n.runs != 0 {
		share = w.bad
	}
	c := &n.sums.Classes[0]
	asked := uint64(distuv.Poisson{Lambda: w.rate * float64(w.pace) / float64(second), Src: src{w.chance}}.Rand())
	ok := uint64(0)
	for range asked {
		if w.chance.Float64() < share {
			ok++
			c.Latencies[8+w.chance.Intn(6)]++
			c.SubRequests[7+w.chance.Intn(3)]++
		}
	}
	c.Requests, c.Served, c.Shed = c.Requests+asked, c.Served+ok, c.Shed+asked-ok
	n.desk.SetStats(InstanceStats{Classes: append([]ClassStats(nil), n.sums.Classes...), MemoryBytes: n.sums.MemoryBytes})
}

// src is math/rand's source as gonum takes it.
type src struct{ *rand.Rand }

func (s src) Seed(seed uint64) { s.Rand.Seed(int64(seed)) }

func (w *world) run(length int64, until func() bool) bool {
	for end := w.now + length; w.now < end; {
		if w.tick(); until != nil && until() {
			return true
		}
	}
	return until == nil
}

func (w *world) closed() bool {
	for _, n := range w.nodes {
		if n.desk == nil || n.desk.cur == nil || !n.desk.closed() || n.runs != n.desk.cur.Number {
			return false
		}
	}
	return true
}

// agreed tells that all have one answer, and run what it says.
func (w *world) agreed() bool {
	first := w.nodes[0].desk
	for _, n := range w.nodes {
		if n.desk == nil || n.desk.cur == nil || first == nil || first.cur == nil || n.rolling != nil {
			return false
		}
		d := n.desk
		if d.cur.Number != first.cur.Number || d.digest != first.digest || d.me.Verdict != first.me.Verdict {
			return false
		}
		switch d.me.Verdict.Order {
		case OrderRollBack:
			if n.runs != d.cur.BaseNumber {
				return false
			}
		case OrderProceed:
			if !d.closed() || n.runs != d.cur.Number {
				return false
			}
		}
	}
	return true
}

func change(number uint64, more ...string) *ChangeFile {
	text := fmt.Sprintf("name: c\nnumber: %d\nsettings: {Safety: {ExtraFloor: 0.5}}\nstages:\n  - {count: 1, watch: 20s}\n"+
		"  - {share: 0.25, watch: 20s}\n  - {share: 1, watch: 5s}\ncold: 2s\nready: 6s\nsilent: 60s\nsearches: 10\n%s\n...\n",
		number, strings.Join(more, "\n"))
	f, err := ParseChangeFile("c.yaml", []byte(text))
	if err != nil {
		panic(err)
	}
	return f
}

func (w *world) give(f *ChangeFile, to ...int) {
	for _, i := range to {
		w.nodes[i].file = f
		if w.nodes[i].desk != nil {
			w.nodes[i].desk.SetFile(f)
		}
	}
}

func TestGoodChangeReachesAllStageByStage(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 300, 1)
	for _, n := range w.nodes {
		w.start(n, false)
	}
	w.pace, w.most = 4*second, 75
	f := change(1, "together: 0.25")
	f.Change.SilenceTimeout = 100 * second
	w.give(f, 17)
	require.True(t, w.run(900*second, w.closed))
	require.Len(t, w.reached[1], 300)
	require.Equal(t, 300, w.steps)
}

// TestFaultsKeepTheRules plays drawn histories: partitions, one-way cuts, kills, lost and late words, lost disks,
// changes that fail and orders that change. While they go on no more than a stage's count restart; after them all
// instances come to one answer.
func TestFaultsKeepTheRules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 24).Draw(t, "instances")
		w := newWorld(t, n, rapid.Int64().Draw(t, "seed"))
		f := change(1, "then: "+rapid.SampledFrom([]string{"back", "stop"}).Draw(t, "then"))
		steps := f.Change.steps(n)
		for i, s := range steps {
			from := 0
			if i > 0 {
				from = steps[i-1].to
			}
			w.most = max(w.most, s.to-from)
		}
		w.give(f, rapid.SliceOfN(rapid.IntRange(0, n-1), 1, 3).Draw(t, "files")...)
		if rapid.Bool().Draw(t, "fails") {
			bad := rapid.IntRange(0, n-1).Draw(t, "where")
			w.takes = func(n *node, to uint64) bool { return n.i != bad || to == 0 }
		}
		events := rapid.IntRange(1, 6).Draw(t, "events")
		turn := uint64(1)
		for range events {
			w.run(int64(rapid.IntRange(1, 60).Draw(t, "quiet"))*second, nil)
			switch rapid.SampledFrom([]string{"split", "one way", "kill", "loss", "wipe", "order", "second"}).Draw(t, "event") {
			case "split":
				at := rapid.IntRange(1, n-1).Draw(t, "at")
				w.cut = func(a, b int) bool { return (a < at) != (b < at) }
				length, before := int64(rapid.IntRange(1, 90).Draw(t, "length"))*second, map[int]uint64{}
				w.run(granted(f), nil)
				for _, n := range w.nodes {
					before[n.i] = n.runs
				}
				w.run(length, nil)
				for _, one := range w.nodes { // a minority goes neither on nor back
					if small := one.i < at == (2*at <= n); small && (2*at != n || one.i >= 0) && one.rolling == nil {
						require.Equal(t, before[one.i], one.runs, "%s on the small side", one.place.Name)
					}
				}
			case "one way":
				a := rapid.IntRange(0, n-1).Draw(t, "deaf")
				w.cut = func(_, b int) bool { return b == a }
			case "kill":
				for range rapid.IntRange(1, 3).Draw(t, "kills") {
					if one := w.nodes[rapid.IntRange(0, n-1).Draw(t, "killed")]; one.desk != nil {
						w.kill(one, int64(rapid.IntRange(1, 20).Draw(t, "down"))*second)
					}
				}
			case "loss":
				w.loss = 0.5
			case "wipe": // an empty disk: it learns what it had said from the others
				if one := w.nodes[rapid.IntRange(0, n-1).Draw(t, "wiped")]; one.desk != nil && one.runs == 0 {
					one.book, one.words = map[string][]byte{}, map[string]*StatusMessage{}
					w.start(one, true)
				}
			case "order":
				turn++
				g := *f
				g.Epoch, g.Order = turn, rapid.SampledFrom([]Order{OrderProceed, OrderStop, OrderRollBack}).Draw(t, "order")
				f = &g
				w.give(f, rapid.IntRange(0, n-1).Draw(t, "file"))
			case "second":
				f, turn = change(f.Change.Number+1), 1
				w.give(f, rapid.IntRange(0, n-1).Draw(t, "file"))
			}
			w.run(int64(rapid.IntRange(1, 60).Draw(t, "trouble"))*second, nil)
			w.cut, w.loss = func(a, b int) bool { return false }, 0
		}
		if !w.run(1200*second, w.agreed) {
			for _, one := range w.nodes {
				if d := one.desk; d != nil && d.cur != nil {
					t.Logf("%s runs %d of %d from %d, %+v open %d/%d stage %d roster %s ask %v acks %v failed %d amn %v: %s", one.place.Name, one.runs, d.cur.Number,
						d.cur.BaseNumber, d.me.Verdict, d.open, len(d.steps), d.me.ApprovedSteps, d.me.RosterDigest, d.me.PermitRequest, d.acks, d.me.FailedEpoch, d.amnesia(), d.holdsNow())
				} else {
					t.Logf("%s %v", one.place.Name, one.desk != nil)
				}
			}
			t.Fatal("no one answer")
		}
	})
}

// granted is how long a step may still come of what was granted before: the wish's time, and the restart's.
func granted(f *ChangeFile) int64 {
	return f.Change.SilenceTimeout/askParts + f.Change.ReadyTimeout + 3*second
}

func (d *Controller) holdsNow() string {
	if d.roster == nil {
		return "no roster"
	}
	if d.me.ApprovedSteps > len(d.steps) {
		return "closed"
	}
	return d.holds()
}
