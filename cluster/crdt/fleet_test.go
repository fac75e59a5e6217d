package crdt

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world is some instances with disks and a network that loses, holds back and doubles messages, and a model of the truth:
// which changes there were, what each had superseded, and who has ever held which.
type world struct {
	t      *rapid.T
	names  []string
	at     map[string]*instance
	life   uint64
	run    uint64
	past   map[Dot]map[Dot]bool // a change: all that it superseded, directly or not
	name   map[Dot]string
	gone   map[Dot]bool // deletes
	lost   bool         // something may be lost for good or seen late: an older disk, a member that was not waited for
	cut    map[[2]string]bool
	late   []late
	forgot []string
}

type instance struct {
	l      *Map
	held   map[Dot]bool // changes that this life, or the disk it began with, has held at any time
	now    map[Dot]bool
	asks   map[string]*Exchange
	disks  []disk
	struck bool
}

type late struct {
	from  string
	batch Batch
}

func wholes(l *Map) (out []Entry) {
	for _, e := range all(l) {
		e, _ = l.StorableEntry(e.Name)
		out = append(out, e)
	}
	return out
}

type disk struct {
	entries []Entry
	known   Version
	held    map[Dot]bool
	now     map[Dot]bool
}

func copyOf(m map[Dot]bool) map[Dot]bool {
	out := map[Dot]bool{}
	for d := range m {
		out[d] = true
	}
	return out
}

func newWorld(t *rapid.T, n int) *world {
	w := &world{
		t: t, at: map[string]*instance{}, past: map[Dot]map[Dot]bool{}, name: map[Dot]string{}, gone: map[Dot]bool{},
		cut: map[[2]string]bool{},
	}
	for i := range n {
		name := string(rune('p' + i))
		w.names = append(w.names, name)
		w.start(name, disk{})
	}
	return w
}

func (w *world) start(name string, d disk) {
	w.life++
	w.logf("start %s %d", name, w.life)
	in := &instance{l: NewMap(FormatActor(name, w.life)), held: copyOf(d.held), now: copyOf(d.now), asks: map[string]*Exchange{}}
	require.NoError(w.t, in.l.Restore(d.entries, d.known))
	if old := w.at[name]; old != nil {
		in.disks = old.disks
	}
	w.at[name] = in
	w.look(name)
}

// event notes a change and what it superseded.
func (w *world) logf(f string, a ...any) {
	if debug {
		w.t.Logf(f, a...)
	}
}

const debug = false

func (w *world) event(is Dot, name string, over []Dot, deleted bool) {
	w.logf("EVENT %v %s over %v deleted %v", is, name, over, deleted)
	w.past[is], w.name[is], w.gone[is] = map[Dot]bool{}, name, deleted
	for _, d := range over {
		w.past[is][d] = true
		for p := range w.past[d] {
			w.past[is][p] = true
		}
	}
}

// look judges what an instance holds: what it once held and then no longer held, or whose successor it has held, is not
// held again in its life.
func (w *world) look(name string) {
	in := w.at[name]
	is := map[Dot]bool{}
	in.l.names.Scan(func(_ string, h *held) bool {
		for _, s := range h.Siblings {
			is[s.Dot] = true
			require.Equal(w.t, w.name[s.Dot], h.Name)
		}
		return true
	})
	if fmt.Sprint(is) != fmt.Sprint(in.now) {
		w.logf("  %s holds %v known %v", in.l.Actor(), is, in.l.KnownVersion())
	}
	for d := range is {
		require.False(w.t, in.held[d] && !in.now[d], "%v came back at %s", d, name)
		in.held[d] = true
	}
	for d := range in.held {
		for p := range w.past[d] {
			require.False(w.t, is[p], "%v is at %s, which has held its successor %v", p, name, d)
		}
	}
	in.now = is
}

func (w *world) write(name string) {
	in := w.at[name]
	key := someName.Draw(w.t, "key")
	was, is := write(w.t, in.l, key)
	if len(is.Siblings) == 0 || slices.Contains(dots(was), is.Siblings[0].Dot) {
		return
	}
	over := dots(was)
	// A name that is written anew also supersedes what this life saw deleted and forgot.
	for d := range in.held {
		if w.name[d] == key && !slices.Contains(over, d) && !in.now[d] {
			over = append(over, d)
		}
	}
	w.event(is.Siblings[0].Dot, key, over, is.Siblings[0].Deleted)
	w.look(name)
	b := batch(in.l, false, key)
	w.late = append(w.late, late{in.l.Actor(), b})
}

func (w *world) push(to string, p late) {
	if w.cut[[2]string{ActorName(p.from), to}] || ActorName(p.from) == to {
		return
	}
	in := w.at[to]
	w.logf("push to %s %v", to, p)
	if _, err := in.l.MergeBatch(p.from, p.batch); err != nil {
		w.renew(to, ActorName(p.from), err)
	}
	w.look(to)
}

func (w *world) renew(name, peer string, err error) {
	var s *SupersededError
	require.ErrorAs(w.t, err, &s)
	in := w.at[name]
	w.life = max(w.life, s.EndedBefore) + 1
	olds := map[string][]Dot{}
	in.l.names.Scan(func(key string, h *held) bool { olds[key] = dots(h.Entry); return true })
	for _, e := range in.l.BeginIncarnation(w.life, peer) {
		for _, s := range e.Siblings {
			if s.Dot.Actor == in.l.Actor() {
				var over []Dot
				for _, d := range olds[e.Name] {
					if !slices.Contains(dots(e), d) {
						over = append(over, d)
					}
				}
				w.event(s.Dot, e.Name, over, s.Deleted)
			}
		}
	}
	clear(in.asks)
	w.look(name)
}

// step is one question of an exchange and its answer, either of which may be lost.
func (w *world) step(name, peer string, lossy bool) (whole bool) {
	in, other := w.at[name], w.at[peer]
	x := in.asks[peer]
	if x == nil || x.IsDone() {
		w.run++
		x = in.l.NewExchange(peer, w.run)
		in.asks[peer] = x
	}
	x.RetryRequest()
	ask, ok := x.NextRequest()
	require.True(w.t, ok)
	if w.cut[[2]string{name, peer}] || w.cut[[2]string{peer, name}] || lossy && rapid.IntRange(0, 4).Draw(w.t, "lost") == 0 {
		return false
	}
	w.logf("ask %s to %s %v", name, peer, ask.WantedBuckets)
	a, err := other.l.HandleRequest(name, ask)
	require.NoError(w.t, err)
	if lossy && rapid.IntRange(0, 3).Draw(w.t, "meanwhile") == 0 {
		w.write(name)
	}
	_, lacks, err := x.ApplyResponse(a)
	if err != nil {
		if err == ErrPeerRestarted {
			delete(in.asks, peer)
			return !lossy // one that takes the other's life as over waits until it asks and is told so
		}
		w.renew(name, peer, err)
		return false
	}
	w.look(name)
	if len(lacks) > 0 {
		w.late = append(w.late, late{in.l.Actor(), batch(in.l, true, lacks...)})
		if !lossy {
			w.push(peer, w.late[len(w.late)-1])
		}
	}
	return x.IsComplete()
}

func (w *world) collect(name string, away []string) {
	in := w.at[name]
	w.logf("collect %s away %v", name, away)
	for _, f := range w.forgot { // one that began anew since must be told again
		in.l.ForgetInstance(f)
	}
	in.l.SetMembers(w.names, away)
	in.l.CollectTombstones()
	w.look(name)
	in.l.NextRow()
}

func (w *world) heal() {
	clear(w.cut)
	for round := range 6 {
		for _, a := range w.names {
			for _, b := range w.names {
				if a != b {
					for n := 0; !w.step(a, b, false); n++ {
						require.Less(w.t, n, 60, "an exchange of %s with %s does not end", a, b)
					}
				}
			}
		}
		for _, a := range w.names {
			// Whatever each has forgotten by itself: two rounds of exchanges make all alike.
			require.True(w.t, round == 0 || w.at[a].l.Digest(TreeNode{}) == w.at[w.names[0]].l.Digest(TreeNode{}), "%s is not alike", a)
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
func TestFleetHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 4).Draw(t, "instances"))
		rough := rapid.Bool().Draw(t, "rough")
		forgets := rough && rapid.Bool().Draw(t, "forgets")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			who := rapid.SampledFrom(w.names)
			a, b := who.Draw(t, "a"), who.Draw(t, "b")
			in := w.at[a]
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2:
				w.write(a)
			case 3, 4, 5:
				if a != b {
					for n := rapid.IntRange(1, 6).Draw(t, "rounds"); n > 0 && !w.step(a, b, true); n-- {
					}
				}
			case 6:
				if len(w.late) > 0 {
					w.push(a, rapid.SampledFrom(w.late).Draw(t, "late"))
				}
			case 7:
				w.cut[[2]string{a, b}] = !w.cut[[2]string{a, b}]
			case 8, 9:
				var away []string
				if rough {
					away = rapid.SliceOfDistinct(who, rapid.ID).Draw(t, "away")
				}
				w.collect(a, away)
			case 10:
				in.disks = append(in.disks, disk{wholes(in.l), in.l.KnownVersion(), copyOf(in.held), copyOf(in.now)})
			case 11:
				d := disk{wholes(in.l), in.l.KnownVersion(), copyOf(in.held), copyOf(in.now)}
				if rough && rapid.Bool().Draw(t, "older") {
					// Copies that are newer than the one taken are not taken later: no one keeps two lines of one disk.
					k := rapid.IntRange(0, len(in.disks)).Draw(t, "disk")
					if d = (disk{}); k > 0 {
						d = in.disks[k-1]
					}
					in.disks = in.disks[:k:k]
				}
				if forgets && len(w.names) > 2 && rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
					// One goes for good; the others are told so.
					w.names = slices.DeleteFunc(slices.Clone(w.names), func(n string) bool { return n == b })
					delete(w.at, b)
					for _, other := range w.at {
						other.l.ForgetInstance(b)
						delete(other.asks, b)
					}
					w.forgot = append(w.forgot, b)
					break
				}
				w.start(a, d)
			}
		}
		w.heal()
		w.judge(rough, forgets)
	})
}

func (w *world) judge(rough, forgets bool) {
	known := map[Dot]bool{} // what the instances, as they are, have ever held
	over := map[Dot]bool{}  // what had a successor that one of them knows
	maybe := map[Dot]bool{} // or that is covered by a mark: it may have been lost with a disk
	for _, name := range w.names {
		in := w.at[name]
		for d := range in.held {
			known[d] = true
		}
		for d, past := range w.past {
			// A delete may have been forgotten before this one heard of it: then its Known says so.
			_, whole := in.l.known.find(d.Actor)
			for p := range past {
				over[p] = over[p] || in.held[d] || whole && in.l.known.Covers(d)
				maybe[p] = maybe[p] || in.held[d] || in.l.known.Covers(d)
			}
		}
	}
	first := w.at[w.names[0]]
	for _, name := range w.names {
		in := w.at[name]
		require.Equal(w.t, first.now, in.now, "%s and %s", w.names[0], name)
		require.Equal(w.t, first.l.Digest(TreeNode{}), in.l.Digest(TreeNode{}))
		for d := range in.now {
			require.False(w.t, over[d], "%v was superseded and came back", d)
		}
		if !rough {
			require.Empty(w.t, in.l.ends)
			require.LessOrEqual(w.t, len(in.l.known), 2*len(w.names))
		}
	}
	live := map[string]bool{}
	for d := range first.now {
		live[w.name[d]] = live[w.name[d]] || !w.gone[d]
	}
	for d := range known {
		// A tombstone is held on while something lives beside it.
		if !maybe[d] && (!w.gone[d] || live[w.name[d]]) && !(rough && w.gone[d]) {
			require.True(w.t, first.now[d], "%v of %s is lost", d, w.name[d])
		}
	}
	if !rough {
		for name, l := range live {
			require.True(w.t, l, "%s is remembered though all have seen its delete", name)
		}
	}
	_ = fmt.Sprint(forgets)
}
