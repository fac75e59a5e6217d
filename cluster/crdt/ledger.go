// Package crdt is state that instances change apart and merge again. It has no I/O. Entries lie under names; each has one
// sibling or, where instances changed it without having seen each other's change, several, and what its writers had
// seen. Merging is commutative, associative and idempotent: no clock takes part. A delete leaves a tombstone until all
// members that count have seen it. docs/ledger.md tells the rules and the options weighed.
//
// A ledger also keeps the Known: a version of all changes, under whatever name, that are part of its state. A change that
// the Known covers and that is not held was superseded or deleted: a copy of it that comes later, from a late message or
// an older disk, is ignored, even long after the tombstone is gone.
package crdt

import (
	"bytes"
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

const (
	EntriesMost    = 100_000  // names with a live value: a Put of one more is refused
	TombstonesMost = 50_000   // names that were deleted and are remembered
	HeldMost       = 200_000  // names of either kind: what two sides of a partition may bring together
	ValueMost      = 8 << 10  // bytes of a value
	NameMost       = 512      // bytes of a name
	ActorMost      = 280      // bytes of an actor: an instance's name and a number
	BytesMost      = 96 << 20 // bytes of all names and values: with what is beside them they fit a store
	SiblingsMost   = 64       // of one name, so that its state goes in one message of half a megabyte
)

// Sibling is one value of a name.
type Sibling struct {
	_       struct{} `cbor:",toarray"`
	Dot     Dot
	Value   []byte // not to be changed
	Deleted bool   // a tombstone
}

// Entry is the state of a name.
type Entry struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Siblings []Sibling // in order of dots; several were written apart, and the caller resolves them and Puts the outcome
	Seen     Version   // the siblings' changes and those that their writers had seen
}

// Live tells whether a sibling is no tombstone.
func (e Entry) Live() bool {
	return slices.ContainsFunc(e.Siblings, func(s Sibling) bool { return !s.Deleted })
}

// Ledger is one instance's copy. It is one goroutine's.
type Ledger struct {
	actor  string
	known  Version
	names  btree.Map[string, *held]
	dead   map[string]*held // without a live sibling: tombstones, and what only remembers what was seen
	bytes  int
	actors map[string]string // one copy of each actor's name
	join   [3]Version        // two that were joined last, and the outcome
	base   Version           // the Known as names were last forgotten: what is written anew under one has seen that
	rebase bool
	tree   tree

	rows         map[string]Row // of other instances, the latest of each
	reached      map[string]Row // the latest that the Known here covers
	mine         Row
	ends         map[string]End
	counting     []string
	forgot, away map[string]bool
}

// held is an entry and its place in the tree of digests.
type held struct {
	Entry
	under  Version // more that was seen under this name: the Known of who told it, shared by what was told together
	sum    uint64  // 0 while it has no sibling
	bucket uint16
}

// New is an empty ledger. The actor must be new with each start: two lives that share one lose changes.
func New(actor string) *Ledger {
	l := &Ledger{actor: actor, dead: map[string]*held{}, actors: map[string]string{}, rows: map[string]Row{}, reached: map[string]Row{}, forgot: map[string]bool{}, ends: map[string]End{}}
	l.tree.init()
	return l
}

// Actor is the name that own changes carry.
func (l *Ledger) Actor() string { return l.actor }

// Known covers all changes that are part of the state here.
func (l *Ledger) Known() Version { return l.known }

// Counts tells how many names have a live value, how many are remembered without one, and their bytes.
func (l *Ledger) Counts() (live, dead, bytes int) {
	return l.names.Len() - len(l.dead), len(l.dead), l.bytes
}

// Put writes a value; it supersedes every sibling that is held here.
func (l *Ledger) Put(name string, value []byte) (Entry, error) {
	if len(value) > ValueMost {
		return Entry{}, &TooBig{name, "value", len(value), ValueMost}
	}
	h, _ := l.names.Get(name)
	if live, _, _ := l.Counts(); (h == nil || !h.Live()) && live >= EntriesMost {
		return Entry{}, &Full{name, "entries", live, EntriesMost}
	}
	return l.write(h, name, Sibling{Value: bytes.Clone(value)})
}

// Delete leaves a tombstone in place of every sibling that is held here. A name that has none stays without.
func (l *Ledger) Delete(name string) (Entry, error) {
	h, _ := l.names.Get(name)
	if h == nil || len(h.Siblings) == 0 {
		return Entry{Name: name}, nil
	}
	if len(h.Siblings) == 1 && h.Siblings[0].Deleted {
		return h.Entry, nil
	}
	if len(l.dead) >= TombstonesMost && h.Live() {
		return Entry{}, &Full{name, "tombstones", len(l.dead), TombstonesMost}
	}
	return l.write(h, name, Sibling{Deleted: true})
}

func (l *Ledger) write(h *held, name string, s Sibling) (Entry, error) {
	if name == "" || len(name) > NameMost {
		return Entry{}, &TooBig{name, "name", len(name), NameMost}
	}
	if more := len(name) + len(s.Value); more+l.bytes > BytesMost && !s.Deleted {
		return Entry{}, &Full{name, "bytes", l.bytes, BytesMost}
	}
	s.Dot = Dot{Actor: l.actor, N: l.known.Of(l.actor) + 1}
	e := Entry{Name: name, Siblings: []Sibling{s}}
	var under Version
	if h != nil {
		e.Name, e.Seen, under = h.Name, h.Seen, h.under
	} else {
		if l.rebase {
			l.base, l.rebase = l.known, false
		}
		under = l.base
	}
	e.Seen = e.Seen.With(s.Dot)
	l.known = l.known.With(s.Dot)
	l.set(h, e, under)
	return e, nil
}

// Get is the state of a name and whether it has a live value; a name that was deleted is told with its tombstone.
func (l *Ledger) Get(name string) (Entry, bool) {
	h, ok := l.names.Get(name)
	if !ok {
		return Entry{Name: name}, false
	}
	return h.Entry, h.Live()
}

// Each tells the names with a live value that begin with prefix, in order, until f says no. f must not change the ledger.
func (l *Ledger) Each(prefix string, f func(Entry) bool) {
	l.names.Ascend(prefix, func(name string, h *held) bool {
		return strings.HasPrefix(name, prefix) && (!h.Live() || f(h.Entry))
	})
}

// Merge takes in states of names as another instance holds them, in any order and any number of times. It tells which names
// have other siblings now. Entries that cannot be taken are left out and told in err; the others are taken.
func (l *Ledger) Merge(from string, entries []Entry) (changed []string, err error) {
	return l.TakeBatch(from, Batch{Entries: entries})
}

// Batch is states of names that are told together.
type Batch struct {
	_       struct{} `cbor:",toarray"`
	Known   Version  // of the sender as it held these states, or before: what it knew and did not send under a name was superseded
	Entries []Entry
	Under   []Version // more that was seen under some of the names
	Of      []uint16  // for each entry the place of its Under and 1, 0 for none; may be shorter
}

const undersMost = 64 // versions told beside the Known; more go with the entries themselves

// packer fills a batch with states as they are held. Of what was seen under a name it tells what the Known told with it lacks.
type packer struct {
	Batch
	froms []Version
	rests []Version
	place []uint16
}

// add adds a state and tells about how many bytes more the batch has by it.
func (p *packer) add(h *held) (bytes int) {
	p.Entries, p.Of = append(p.Entries, h.Entry), append(p.Of, 0)
	bytes = h.cost()
	if len(h.under) == 0 {
		return bytes
	}
	i := slices.IndexFunc(p.froms, func(v Version) bool { return same(v, h.under) })
	if i < 0 {
		rest := h.under.beyond(p.Known)
		place := uint16(0)
		if len(rest) > 0 && len(p.Under) < undersMost {
			p.Under = append(p.Under, rest)
			place = uint16(len(p.Under))
			bytes += rest.size()
		}
		i = len(p.froms)
		p.froms, p.rests, p.place = append(p.froms, h.under), append(p.rests, rest), append(p.place, place)
	}
	if last := len(p.Of) - 1; p.place[i] > 0 {
		p.Of[last] = p.place[i]
	} else if len(p.rests[i]) > 0 {
		p.Entries[last].Seen = h.Seen.Join(p.rests[i])
		bytes += p.rests[i].size()
	}
	return bytes
}

// same tells whether two versions are one in memory.
func same(a, b Version) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }

// Batches are the states of these names for another instance in messages of about MessageBytes, with the Known or, for fresh
// changes, without.
func (l *Ledger) Batches(known bool, names []string) (out []Batch) {
	for len(names) > 0 {
		var p packer
		if known {
			p.Known = l.known
		}
		room := MessageBytes - p.Known.size()
		for room > 0 && len(names) > 0 {
			if h, ok := l.names.Get(names[0]); ok {
				room -= p.add(h)
			}
			names = names[1:]
		}
		if len(p.Entries) > 0 {
			out = append(out, p.Batch)
		}
	}
	return out
}

// Whole is a name's state with what was seen under it beyond the Known, so that it says the same in a store beside that. It
// is no entry where nothing is held.
func (l *Ledger) Whole(name string) (Entry, bool) {
	h, ok := l.names.Get(name)
	if !ok {
		return Entry{}, false
	}
	e := h.Entry
	e.Seen = e.Seen.Join(h.under.beyond(l.known))
	return e, true
}

// TakeBatch takes in a batch.
func (l *Ledger) TakeBatch(from string, b Batch) (changed []string, err error) {
	unders, err := l.unders(from, b)
	if err != nil {
		return nil, err
	}
	if l.over(from) || l.forgot[NameOf(from)] {
		return nil, nil // a late message of an earlier life, whose later one has told what it held, or of one given up
	}
	return l.take(from, b.Entries, b.Of, unders)
}

// told is a version that goes with states, and whether it says more than is known here.
type told struct {
	Version
	news bool
}

// unders are the versions of a batch by place, 0 for its Known alone.
func (l *Ledger) unders(from string, b Batch) ([]told, error) {
	sound := b.Known.sound() && len(b.Under) <= undersMost && len(b.Of) <= len(b.Entries)
	for _, u := range b.Under {
		sound = sound && u.sound()
	}
	if !sound {
		return nil, &Unsound{from, "a version out of order"}
	}
	if err := l.struck(from, b.Known); err != nil {
		return nil, err
	}
	out := make([]told, len(b.Under)+1)
	out[0].Version = l.own(b.Known)
	for i, u := range b.Under {
		out[i+1].Version = l.own(b.Known.Join(u))
	}
	for i := range out {
		out[i].news = !out[i].Within(l.known)
	}
	return out, nil
}

func (l *Ledger) take(from string, entries []Entry, of []uint16, unders []told) (changed []string, err error) {
	var errs []error
	for i, e := range entries {
		k := 0
		if i < len(of) {
			k = int(of[i])
		}
		if k >= len(unders) {
			errs = append(errs, &Unsound{from, "an entry of a version that there is not"})
			continue
		}
		if why := e.unsound(); why != "" {
			errs = append(errs, &Unsound{from, why})
			continue
		}
		did, err := l.merge(e, unders[k])
		if err != nil {
			errs = append(errs, err)
		}
		if did {
			changed = append(changed, e.Name)
		}
	}
	if len(errs) > tellMost {
		errs = errs[:tellMost]
	}
	return changed, errors.Join(errs...)
}

const tellMost = 8 // refused entries of one batch that are told one by one

// unsound says why an entry from outside cannot be used, or nothing.
func (e Entry) unsound() string {
	switch {
	case e.Name == "" || len(e.Name) > NameMost:
		return "a name without or with too many bytes"
	case len(e.Siblings) > SiblingsMost:
		return "an entry with too many siblings"
	case !e.Seen.sound():
		return "a version out of order"
	}
	for i, s := range e.Siblings {
		switch {
		case len(s.Value) > ValueMost:
			return "a value with too many bytes"
		case s.Dot.N == 0 || !soundActor(s.Dot.Actor) || !e.Seen.Covers(s.Dot):
			return "a sibling that its entry has not seen"
		case i > 0 && e.Siblings[i-1].Dot.compare(s.Dot) >= 0:
			return "siblings out of order"
		}
	}
	return ""
}

func (l *Ledger) merge(e Entry, theirs told) (changed bool, err error) {
	h, _ := l.names.Get(e.Name)
	var ours Entry
	var under Version
	if h != nil {
		ours, under = h.Entry, h.under
	}
	var out []Sibling
	was, live := len(ours.Siblings), 0
	same := 0
	add := func(s Sibling, own bool) {
		if out = append(out, s); !s.Deleted {
			live++
		}
		if own {
			same++
		}
	}
	a, b := ours.Siblings, e.Siblings
	for len(a) > 0 || len(b) > 0 {
		c := -1
		switch {
		case len(a) == 0:
			c = 1
		case len(b) > 0:
			c = a[0].Dot.compare(b[0].Dot)
		}
		switch {
		case c < 0:
			if !e.Seen.Covers(a[0].Dot) && !theirs.Covers(a[0].Dot) {
				add(a[0], true)
			}
			a = a[1:]
		case c > 0:
			if !ours.Seen.Covers(b[0].Dot) && !l.known.Covers(b[0].Dot) && !under.Covers(b[0].Dot) {
				add(b[0], false)
			}
			b = b[1:]
		default:
			// Guards against two processes that gave the same dot: both keep the same one of the two.
			own := a[0].Deleted && !b[0].Deleted || a[0].Deleted == b[0].Deleted && bytes.Compare(a[0].Value, b[0].Value) >= 0
			if own {
				add(a[0], true)
			} else {
				add(b[0], false)
			}
			a, b = a[1:], b[1:]
		}
	}
	changed = len(out) != was || same != was
	seen := ours.Seen.Join(e.Seen)
	more := theirs.news && !theirs.Within(under)
	if !changed && !more && seen.Within(ours.Seen) {
		return false, nil
	}
	if more {
		under = l.joined(under, theirs.Version)
	}
	if changed {
		switch {
		case len(out) > SiblingsMost:
			return false, &Crowded{e.Name, len(out), SiblingsMost}
		case h == nil && l.names.Len() >= HeldMost:
			return false, &Full{e.Name, "entries", l.names.Len(), HeldMost}
		case live > 0 && l.bytes > BytesMost:
			return false, &Full{e.Name, "bytes", l.bytes, BytesMost}
		}
	}
	if h == nil {
		e.Name = strings.Clone(e.Name)
	} else {
		e.Name = h.Name
	}
	e.Siblings, e.Seen = slices.Clip(out), l.own(seen)
	for i := range e.Siblings {
		e.Siblings[i].Dot.Actor = l.intern(e.Siblings[i].Dot.Actor)
	}
	l.set(h, e, under)
	return changed, nil
}

// joined is the join of two versions, one in memory for all names of which it is asked one after another.
func (l *Ledger) joined(a, b Version) Version {
	if len(a) == 0 || same(a, b) {
		return b
	}
	if !same(l.join[0], a) || !same(l.join[1], b) {
		l.join = [3]Version{a, b, a.Join(b)}
	}
	return l.join[2]
}

// own is v with actors' names that are held once.
func (l *Ledger) own(v Version) Version {
	v = slices.Clone(v)
	for i := range v {
		v[i].Actor = l.intern(v[i].Actor)
	}
	return v
}

func (l *Ledger) intern(actor string) string {
	if s, ok := l.actors[actor]; ok {
		return s
	}
	actor = strings.Clone(actor)
	l.actors[actor] = actor
	return actor
}

// set puts a state in place of the one held, or drops it where it says no more than the Known.
func (l *Ledger) set(h *held, e Entry, under Version) {
	if h != nil {
		l.tree.take(h)
		l.bytes -= h.size()
		delete(l.dead, h.Name)
	}
	if len(e.Siblings) == 0 && e.Seen.Within(l.known) {
		if h != nil {
			l.names.Delete(h.Name)
			l.rebase = true
		}
		return
	}
	if h == nil {
		h = &held{bucket: bucketOf(e.Name)}
		l.names.Set(e.Name, h)
	}
	h.Entry, h.sum, h.under = e, e.sum(), under
	l.tree.put(h)
	l.bytes += h.size()
	if !h.Live() {
		l.dead[h.Name] = h
	}
}

func (e Entry) size() int {
	n := len(e.Name)
	for _, s := range e.Siblings {
		n += len(s.Value)
	}
	return n
}

// sum stands for the siblings of a name in digests; 0 only for none.
func (e Entry) sum() uint64 {
	if len(e.Siblings) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var n [8]byte
	part := func(s string) {
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(s)
	}
	part(e.Name)
	for _, s := range e.Siblings {
		part(s.Dot.Actor)
		k := s.Dot.N << 1
		if s.Deleted {
			k |= 1
		}
		binary.LittleEndian.PutUint64(n[:], k)
		_, _ = d.Write(n[:])
		binary.LittleEndian.PutUint64(n[:], uint64(len(s.Value)))
		_, _ = d.Write(n[:])
		_, _ = d.Write(s.Value)
	}
	return max(d.Sum64(), 1)
}
