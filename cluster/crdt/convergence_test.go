package crdt

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation is some instances with disks and a network that loses, holds back and doubles messages, and a model of the truth:
// which changes there were, what each had superseded, and who has ever held which.
type simulation struct {
	t                  *rapid.T
	names              []string
	replicas           map[string]*simulatedReplica
	lastIncarnation    uint64
	lastExchangeID     uint64
	ancestors          map[Dot]map[Dot]bool // a change: all that it superseded, directly or not
	nameOfChange       map[Dot]string
	isDelete           map[Dot]bool // deletes
	lost               bool         // something may be lost for good or seen late: an older disk, a member that was not waited for
	cutLinks           map[[2]string]bool
	delayedMessages    []delayedMessage
	forgottenInstances []string
}

type simulatedReplica struct {
	state     *Map
	everHeld  map[Dot]bool // changes that this life, or the disk it began with, has held at any time
	holdsNow  map[Dot]bool
	exchanges map[string]*Exchange
	snapshots []diskSnapshot
	struck    bool
}

type delayedMessage struct {
	from  string
	batch Batch
}

func storableEntries(l *Map) (out []Entry) {
	for _, e := range allEntries(l) {
		e, _ = l.StorableEntry(e.Name)
		out = append(out, e)
	}
	return out
}

type diskSnapshot struct {
	entries  []Entry
	known    Version
	everHeld map[Dot]bool
	holdsNow map[Dot]bool
}

func copyDots(m map[Dot]bool) map[Dot]bool {
	out := map[Dot]bool{}
	for d := range m {
		out[d] = true
	}
	return out
}

func newSimulation(t *rapid.T, n int) *simulation {
	w := &simulation{
		t: t, replicas: map[string]*simulatedReplica{}, ancestors: map[Dot]map[Dot]bool{}, nameOfChange: map[Dot]string{}, isDelete: map[Dot]bool{},
		cutLinks: map[[2]string]bool{},
	}
	for i := range n {
		name := string(rune('p' + i))
		w.names = append(w.names, name)
		w.startReplica(name, diskSnapshot{})
	}
	return w
}

func (w *simulation) startReplica(name string, d diskSnapshot) {
	w.lastIncarnation++
	w.logf("start %s %d", name, w.lastIncarnation)
	in := &simulatedReplica{state: NewMap(FormatActor(name, w.lastIncarnation)), everHeld: copyDots(d.everHeld), holdsNow: copyDots(d.holdsNow), exchanges: map[string]*Exchange{}}
	require.NoError(w.t, in.state.Restore(d.entries, d.known))
	if old := w.replicas[name]; old != nil {
		in.snapshots = old.snapshots
	}
	w.replicas[name] = in
	w.checkReplica(name)
}

// event notes a change and what it superseded.
func (w *simulation) logf(f string, a ...any) {
	if debug {
		w.t.Logf(f, a...)
	}
}

const debug = false

func (w *simulation) recordChange(is Dot, name string, over []Dot, deleted bool) {
	w.logf("EVENT %v %s over %v deleted %v", is, name, over, deleted)
	w.ancestors[is], w.nameOfChange[is], w.isDelete[is] = map[Dot]bool{}, name, deleted
	for _, d := range over {
		w.ancestors[is][d] = true
		for p := range w.ancestors[d] {
			w.ancestors[is][p] = true
		}
	}
}

// checkReplica judges what an instance holds: what it once held and then no longer held, or whose successor it has held, is not
// held again in its life.
func (w *simulation) checkReplica(name string) {
	in := w.replicas[name]
	is := map[Dot]bool{}
	in.state.records.Scan(func(_ string, h *record) bool {
		for _, s := range h.Siblings {
			is[s.Dot] = true
			require.Equal(w.t, w.nameOfChange[s.Dot], h.Name)
		}
		return true
	})
	if fmt.Sprint(is) != fmt.Sprint(in.holdsNow) {
		w.logf("  %s holds %v known %v", in.state.Actor(), is, in.state.KnownVersion())
	}
	for d := range is {
		require.False(w.t, in.everHeld[d] && !in.holdsNow[d], "%v came back at %s", d, name)
		in.everHeld[d] = true
	}
	for d := range in.everHeld {
		for p := range w.ancestors[d] {
			require.False(w.t, is[p], "%v is at %s, which has held its successor %v", p, name, d)
		}
	}
	in.holdsNow = is
}

func (w *simulation) write(name string) {
	in := w.replicas[name]
	key := randomName.Draw(w.t, "key")
	was, is := writeRandomChange(w.t, in.state, key)
	if len(is.Siblings) == 0 || slices.Contains(entryDots(was), is.Siblings[0].Dot) {
		return
	}
	over := entryDots(was)
	// A name that is written anew also supersedes what this life saw deleted and forgot.
	for d := range in.everHeld {
		if w.nameOfChange[d] == key && !slices.Contains(over, d) && !in.holdsNow[d] {
			over = append(over, d)
		}
	}
	w.recordChange(is.Siblings[0].Dot, key, over, is.Siblings[0].Deleted)
	w.checkReplica(name)
	b := buildBatch(in.state, false, key)
	w.delayedMessages = append(w.delayedMessages, delayedMessage{in.state.Actor(), b})
}

func (w *simulation) deliver(to string, p delayedMessage) {
	if w.cutLinks[[2]string{ActorName(p.from), to}] || ActorName(p.from) == to {
		return
	}
	in := w.replicas[to]
	w.logf("push to %s %v", to, p)
	if _, err := in.state.MergeBatch(p.from, p.batch); err != nil {
		w.beginIncarnation(to, ActorName(p.from), err)
	}
	w.checkReplica(to)
}

func (w *simulation) beginIncarnation(name, peer string, err error) {
	var s *SupersededError
	require.ErrorAs(w.t, err, &s)
	in := w.replicas[name]
	w.lastIncarnation = max(w.lastIncarnation, s.EndedBefore) + 1
	olds := map[string][]Dot{}
	in.state.records.Scan(func(key string, h *record) bool { olds[key] = entryDots(h.Entry); return true })
	for _, e := range in.state.BeginIncarnation(w.lastIncarnation, peer) {
		for _, s := range e.Siblings {
			if s.Dot.Actor == in.state.Actor() {
				var over []Dot
				for _, d := range olds[e.Name] {
					if !slices.Contains(entryDots(e), d) {
						over = append(over, d)
					}
				}
				w.recordChange(s.Dot, e.Name, over, s.Deleted)
			}
		}
	}
	clear(in.exchanges)
	w.checkReplica(name)
}

// exchangeStep is one question of an exchange and its answer, either of which may be lost.
func (w *simulation) exchangeStep(name, peer string, lossy bool) (whole bool) {
	in, other := w.replicas[name], w.replicas[peer]
	x := in.exchanges[peer]
	if x == nil || x.IsDone() {
		w.lastExchangeID++
		x = in.state.NewExchange(peer, w.lastExchangeID)
		in.exchanges[peer] = x
	}
	x.RetryRequest()
	ask, ok := x.NextRequest()
	require.True(w.t, ok)
	if w.cutLinks[[2]string{name, peer}] || w.cutLinks[[2]string{peer, name}] || lossy && rapid.IntRange(0, 4).Draw(w.t, "lost") == 0 {
		return false
	}
	w.logf("ask %s to %s %v", name, peer, ask.WantedBuckets)
	a, err := other.state.HandleRequest(name, ask)
	require.NoError(w.t, err)
	if lossy && rapid.IntRange(0, 3).Draw(w.t, "meanwhile") == 0 {
		w.write(name)
	}
	_, lacks, err := x.ApplyResponse(a)
	if err != nil {
		if err == ErrPeerRestarted {
			delete(in.exchanges, peer)
			return !lossy // one that takes the other's life as over waits until it asks and is told so
		}
		w.beginIncarnation(name, peer, err)
		return false
	}
	w.checkReplica(name)
	if len(lacks) > 0 {
		w.delayedMessages = append(w.delayedMessages, delayedMessage{in.state.Actor(), buildBatch(in.state, true, lacks...)})
		if !lossy {
			w.deliver(peer, w.delayedMessages[len(w.delayedMessages)-1])
		}
	}
	return x.IsComplete()
}

func (w *simulation) collect(name string, away []string) {
	in := w.replicas[name]
	w.logf("collect %s away %v", name, away)
	for _, f := range w.forgottenInstances { // one that began anew since must be told again
		in.state.ForgetInstance(f)
	}
	in.state.SetMembers(w.names, away)
	in.state.CollectTombstones()
	w.checkReplica(name)
	in.state.NextRow()
}

func (w *simulation) heal() {
	clear(w.cutLinks)
	for round := range 6 {
		for _, a := range w.names {
			for _, b := range w.names {
				if a != b {
					for n := 0; !w.exchangeStep(a, b, false); n++ {
						require.Less(w.t, n, 60, "an exchange of %s with %s does not end", a, b)
					}
				}
			}
		}
		for _, a := range w.names {
			// Whatever each has forgotten by itself: two rounds of exchanges make all alike.
			require.True(w.t, round == 0 || w.replicas[a].state.Digest(TreeNode{}) == w.replicas[w.names[0]].state.Digest(TreeNode{}), "%s is not alike", a)
		}
		for i, a := range w.names {
			if round != 1 || i == 0 { // once by one alone
				w.collect(a, nil)
			}
		}
	}
}

// What was deleted and seen stays deleted, and what nothing superseded is everywhere once all are healed: with partitions,
// messages late and doubled, exchanges cut in the middle, restarts, disks a step older, members not waited for.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.IntRange(2, 4).Draw(t, "instances"))
		rough := rapid.Bool().Draw(t, "rough")
		forgets := rough && rapid.Bool().Draw(t, "forgets")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			who := rapid.SampledFrom(w.names)
			a, b := who.Draw(t, "a"), who.Draw(t, "b")
			in := w.replicas[a]
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2:
				w.write(a)
			case 3, 4, 5:
				if a != b {
					for n := rapid.IntRange(1, 6).Draw(t, "rounds"); n > 0 && !w.exchangeStep(a, b, true); n-- {
					}
				}
			case 6:
				if len(w.delayedMessages) > 0 {
					w.deliver(a, rapid.SampledFrom(w.delayedMessages).Draw(t, "late"))
				}
			case 7:
				w.cutLinks[[2]string{a, b}] = !w.cutLinks[[2]string{a, b}]
			case 8, 9:
				var away []string
				if rough {
					away = rapid.SliceOfDistinct(who, rapid.ID).Draw(t, "away")
				}
				w.collect(a, away)
			case 10:
				in.snapshots = append(in.snapshots, diskSnapshot{storableEntries(in.state), in.state.KnownVersion(), copyDots(in.everHeld), copyDots(in.holdsNow)})
			case 11:
				d := diskSnapshot{storableEntries(in.state), in.state.KnownVersion(), copyDots(in.everHeld), copyDots(in.holdsNow)}
				if rough && rapid.Bool().Draw(t, "older") {
					// Copies that are newer than the one taken are not taken later: no one keeps two lines of one disk.
					k := rapid.IntRange(0, len(in.snapshots)).Draw(t, "disk")
					if d = (diskSnapshot{}); k > 0 {
						d = in.snapshots[k-1]
					}
					in.snapshots = in.snapshots[:k:k]
				}
				if forgets && len(w.names) > 2 && rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
					// One goes for good; the others are told so.
					w.names = slices.DeleteFunc(slices.Clone(w.names), func(n string) bool { return n == b })
					delete(w.replicas, b)
					for _, other := range w.replicas {
						other.state.ForgetInstance(b)
						delete(other.exchanges, b)
					}
					w.forgottenInstances = append(w.forgottenInstances, b)
					break
				}
				w.startReplica(a, d)
			}
		}
		w.heal()
		w.checkConverged(rough, forgets)
	})
}

func (w *simulation) checkConverged(rough, forgets bool) {
	known := map[Dot]bool{} // what the instances, as they are, have ever held
	over := map[Dot]bool{}  // what had a successor that one of them knows
	maybe := map[Dot]bool{} // or that is covered by a mark: it may have been lost with a disk
	for _, name := range w.names {
		in := w.replicas[name]
		for d := range in.everHeld {
			known[d] = true
		}
		for d, past := range w.ancestors {
			// A delete may have been forgotten before this one heard of it: then its Known says so.
			_, whole := in.state.known.find(d.Actor)
			for p := range past {
				over[p] = over[p] || in.everHeld[d] || whole && in.state.known.Covers(d)
				maybe[p] = maybe[p] || in.everHeld[d] || in.state.known.Covers(d)
			}
		}
	}
	first := w.replicas[w.names[0]]
	for _, name := range w.names {
		in := w.replicas[name]
		require.Equal(w.t, first.holdsNow, in.holdsNow, "%s and %s", w.names[0], name)
		require.Equal(w.t, first.state.Digest(TreeNode{}), in.state.Digest(TreeNode{}))
		for d := range in.holdsNow {
			require.False(w.t, over[d], "%v was superseded and came back", d)
		}
		if !rough {
			require.Empty(w.t, in.state.incarnationEnds)
			require.LessOrEqual(w.t, len(in.state.known), 2*len(w.names))
		}
	}
	live := map[string]bool{}
	for d := range first.holdsNow {
		live[w.nameOfChange[d]] = live[w.nameOfChange[d]] || !w.isDelete[d]
	}
	for d := range known {
		// A tombstone is held on while something lives beside it.
		if !maybe[d] && (!w.isDelete[d] || live[w.nameOfChange[d]]) && !(rough && w.isDelete[d]) {
			require.True(w.t, first.holdsNow[d], "%v of %s is lost", d, w.nameOfChange[d])
		}
	}
	if !rough {
		for name, l := range live {
			require.True(w.t, l, "%s is remembered though all have seen its delete", name)
		}
	}
	_ = fmt.Sprint(forgets)
}
