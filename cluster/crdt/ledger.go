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
	MaxEntries    = 100_000  // names with a live value: a Put of one more is refused
	MaxTombstones = 50_000   // names that were deleted and are remembered
	MaxNames      = 200_000  // names of either kind: what two sides of a partition may bring together
	MaxValueBytes = 8 << 10  // bytes of a value
	MaxNameBytes  = 512      // bytes of a name
	MaxActorBytes = 280      // bytes of an actor: an instance's name and a number
	MaxTotalBytes = 96 << 20 // bytes of all names and values: with what is beside them they fit a store
	MaxSiblings   = 64       // of one name, so that its state goes in one message of half a megabyte
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
	_             struct{} `cbor:",toarray"`
	Name          string
	Siblings      []Sibling // in order of dots; several were written apart, and the caller resolves them and Puts the outcome
	CausalContext Version   // the siblings' changes and those that their writers had seen
}

// IsLive tells whether a sibling is no tombstone.
func (e Entry) IsLive() bool {
	return slices.ContainsFunc(e.Siblings, func(s Sibling) bool { return !s.Deleted })
}

// Map is one instance's copy. It is one goroutine's.
type Map struct {
	actor            string
	known            Version
	records          btree.Map[string, *record]
	deadRecords      map[string]*record // without a live sibling: tombstones, and what only remembers what was seen
	payloadBytes     int
	internedActors   map[string]string // one copy of each actor's name
	lastJoin         [3]Version        // two that were joined last, and the outcome
	baseContext      Version           // the Known as names were last forgotten: what is written anew under one has seen that
	baseContextStale bool
	tree             digestTree

	rows                            map[string]Row // of other instances, the latest of each
	coveredRows                     map[string]Row // the latest that the Known here covers
	ownRow                          Row
	incarnationEnds                 map[string]IncarnationEnd
	members                         []string
	forgottenMembers, absentMembers map[string]bool
}

// record is an entry and its place in the tree of digests.
type record struct {
	Entry
	extraContext Version // more that was seen under this name: the Known of who told it, shared by what was told together
	digest       uint64  // 0 while it has no sibling
	bucket       uint16
}

// NewMap is an empty ledger. The actor must be new with each start: two lives that share one lose changes.
func NewMap(actor string) *Map {
	l := &Map{actor: actor, deadRecords: map[string]*record{}, internedActors: map[string]string{}, rows: map[string]Row{}, coveredRows: map[string]Row{}, forgottenMembers: map[string]bool{}, incarnationEnds: map[string]IncarnationEnd{}}
	l.tree.init()
	return l
}

// Actor is the name that own changes carry.
func (l *Map) Actor() string { return l.actor }

// KnownVersion covers all changes that are part of the state here.
func (l *Map) KnownVersion() Version { return l.known }

// Counts tells how many names have a live value, how many are remembered without one, and their bytes.
func (l *Map) Counts() (live, dead, bytes int) {
	return l.records.Len() - len(l.deadRecords), len(l.deadRecords), l.payloadBytes
}

// Put writes a value; it supersedes every sibling that is held here.
func (l *Map) Put(name string, value []byte) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, &TooLargeError{name, "value", len(value), MaxValueBytes}
	}
	h, _ := l.records.Get(name)
	if live, _, _ := l.Counts(); (h == nil || !h.IsLive()) && live >= MaxEntries {
		return Entry{}, &CapacityExceededError{name, "entries", live, MaxEntries}
	}
	return l.writeSibling(h, name, Sibling{Value: bytes.Clone(value)})
}

// Delete leaves a tombstone in place of every sibling that is held here. A name that has none stays without.
func (l *Map) Delete(name string) (Entry, error) {
	h, _ := l.records.Get(name)
	if h == nil || len(h.Siblings) == 0 {
		return Entry{Name: name}, nil
	}
	if len(h.Siblings) == 1 && h.Siblings[0].Deleted {
		return h.Entry, nil
	}
	if len(l.deadRecords) >= MaxTombstones && h.IsLive() {
		return Entry{}, &CapacityExceededError{name, "tombstones", len(l.deadRecords), MaxTombstones}
	}
	return l.writeSibling(h, name, Sibling{Deleted: true})
}

func (l *Map) writeSibling(h *record, name string, s Sibling) (Entry, error) {
	if name == "" || len(name) > MaxNameBytes {
		return Entry{}, &TooLargeError{name, "name", len(name), MaxNameBytes}
	}
	if more := len(name) + len(s.Value); more+l.payloadBytes > MaxTotalBytes && !s.Deleted {
		return Entry{}, &CapacityExceededError{name, "bytes", l.payloadBytes, MaxTotalBytes}
	}
	s.Dot = Dot{Actor: l.actor, Counter: l.known.LastCounter(l.actor) + 1}
	e := Entry{Name: name, Siblings: []Sibling{s}}
	var under Version
	if h != nil {
		e.Name, e.CausalContext, under = h.Name, h.CausalContext, h.extraContext
	} else {
		if l.baseContextStale {
			l.baseContext, l.baseContextStale = l.known, false
		}
		under = l.baseContext
	}
	e.CausalContext = e.CausalContext.With(s.Dot)
	l.known = l.known.With(s.Dot)
	l.replaceRecord(h, e, under)
	return e, nil
}

// Get is the state of a name and whether it has a live value; a name that was deleted is told with its tombstone.
func (l *Map) Get(name string) (Entry, bool) {
	h, ok := l.records.Get(name)
	if !ok {
		return Entry{Name: name}, false
	}
	return h.Entry, h.IsLive()
}

// ScanPrefix tells the names with a live value that begin with prefix, in order, until f says no. f must not change the ledger.
func (l *Map) ScanPrefix(prefix string, f func(Entry) bool) {
	l.records.Ascend(prefix, func(name string, h *record) bool {
		return strings.HasPrefix(name, prefix) && (!h.IsLive() || f(h.Entry))
	})
}

// Merge takes in states of names as another instance holds them, in any order and any number of times. It tells which names
// have other siblings now. Entries that cannot be taken are left out and told in err; the others are taken.
func (l *Map) Merge(from string, entries []Entry) (changed []string, err error) {
	return l.MergeBatch(from, Batch{Entries: entries})
}

// Batch is states of names that are told together.
type Batch struct {
	_              struct{} `cbor:",toarray"`
	Known          Version  // of the sender as it held these states, or before: what it knew and did not send under a name was superseded
	Entries        []Entry
	ExtraContexts  []Version // more that was seen under some of the names
	ContextIndexes []uint16  // for each entry the place of its Under and 1, 0 for none; may be shorter
}

const maxExtraContexts = 64 // versions told beside the Known; more go with the entries themselves

// batchBuilder fills a batch with states as they are held. Of what was seen under a name it tells what the Known told with it lacks.
type batchBuilder struct {
	Batch
	sources        []Version
	differences    []Version
	contextIndexes []uint16
}

// add adds a state and tells about how many bytes more the batch has by it.
func (p *batchBuilder) add(h *record) (bytes int) {
	p.Entries, p.ContextIndexes = append(p.Entries, h.Entry), append(p.ContextIndexes, 0)
	bytes = h.encodedSize()
	if len(h.extraContext) == 0 {
		return bytes
	}
	i := slices.IndexFunc(p.sources, func(v Version) bool { return sharesMemory(v, h.extraContext) })
	if i < 0 {
		rest := h.extraContext.subtract(p.Known)
		place := uint16(0)
		if len(rest) > 0 && len(p.ExtraContexts) < maxExtraContexts {
			p.ExtraContexts = append(p.ExtraContexts, rest)
			place = uint16(len(p.ExtraContexts))
			bytes += rest.encodedSize()
		}
		i = len(p.sources)
		p.sources, p.differences, p.contextIndexes = append(p.sources, h.extraContext), append(p.differences, rest), append(p.contextIndexes, place)
	}
	if last := len(p.ContextIndexes) - 1; p.contextIndexes[i] > 0 {
		p.ContextIndexes[last] = p.contextIndexes[i]
	} else if len(p.differences[i]) > 0 {
		p.Entries[last].CausalContext = h.CausalContext.Join(p.differences[i])
		bytes += p.differences[i].encodedSize()
	}
	return bytes
}

// sharesMemory tells whether two versions are one in memory.
func sharesMemory(a, b Version) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }

// BuildBatches are the states of these names for another instance in messages of about TargetMessageBytes, with the Known or, for fresh
// changes, without.
func (l *Map) BuildBatches(known bool, names []string) (out []Batch) {
	for len(names) > 0 {
		var p batchBuilder
		if known {
			p.Known = l.known
		}
		room := TargetMessageBytes - p.Known.encodedSize()
		for room > 0 && len(names) > 0 {
			if h, ok := l.records.Get(names[0]); ok {
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

// StorableEntry is a name's state with what was seen under it beyond the Known, so that it says the same in a store beside that. It
// is no entry where nothing is held.
func (l *Map) StorableEntry(name string) (Entry, bool) {
	h, ok := l.records.Get(name)
	if !ok {
		return Entry{}, false
	}
	e := h.Entry
	e.CausalContext = e.CausalContext.Join(h.extraContext.subtract(l.known))
	return e, true
}

// MergeBatch takes in a batch.
func (l *Map) MergeBatch(from string, b Batch) (changed []string, err error) {
	unders, err := l.batchContexts(from, b)
	if err != nil {
		return nil, err
	}
	if l.isSuperseded(from) || l.forgottenMembers[ActorName(from)] {
		return nil, nil // a late message of an earlier life, whose later one has told what it held, or of one given up
	}
	return l.mergeEntries(from, b.Entries, b.ContextIndexes, unders)
}

// batchContext is a version that goes with states, and whether it says more than is known here.
type batchContext struct {
	Version
	isNew bool
}

// batchContexts are the versions of a batch by place, 0 for its Known alone.
func (l *Map) batchContexts(from string, b Batch) ([]batchContext, error) {
	sound := b.Known.isValid() && len(b.ExtraContexts) <= maxExtraContexts && len(b.ContextIndexes) <= len(b.Entries)
	for _, u := range b.ExtraContexts {
		sound = sound && u.isValid()
	}
	if !sound {
		return nil, &InvalidDataError{from, "a version out of order"}
	}
	if err := l.checkSuperseded(from, b.Known); err != nil {
		return nil, err
	}
	out := make([]batchContext, len(b.ExtraContexts)+1)
	out[0].Version = l.internVersion(b.Known)
	for i, u := range b.ExtraContexts {
		out[i+1].Version = l.internVersion(b.Known.Join(u))
	}
	for i := range out {
		out[i].isNew = !out[i].IsCoveredBy(l.known)
	}
	return out, nil
}

func (l *Map) mergeEntries(from string, entries []Entry, of []uint16, unders []batchContext) (changed []string, err error) {
	var errs []error
	for i, e := range entries {
		k := 0
		if i < len(of) {
			k = int(of[i])
		}
		if k >= len(unders) {
			errs = append(errs, &InvalidDataError{from, "an entry of a version that there is not"})
			continue
		}
		if why := e.invalidReason(); why != "" {
			errs = append(errs, &InvalidDataError{from, why})
			continue
		}
		did, err := l.mergeEntry(e, unders[k])
		if err != nil {
			errs = append(errs, err)
		}
		if did {
			changed = append(changed, e.Name)
		}
	}
	if len(errs) > maxReportedErrors {
		errs = errs[:maxReportedErrors]
	}
	return changed, errors.Join(errs...)
}

const maxReportedErrors = 8 // refused entries of one batch that are told one by one

// invalidReason says why an entry from outside cannot be used, or nothing.
func (e Entry) invalidReason() string {
	switch {
	case e.Name == "" || len(e.Name) > MaxNameBytes:
		return "a name without or with too many bytes"
	case len(e.Siblings) > MaxSiblings:
		return "an entry with too many siblings"
	case !e.CausalContext.isValid():
		return "a version out of order"
	}
	for i, s := range e.Siblings {
		switch {
		case len(s.Value) > MaxValueBytes:
			return "a value with too many bytes"
		case s.Dot.Counter == 0 || !isValidActor(s.Dot.Actor) || !e.CausalContext.Covers(s.Dot):
			return "a sibling that its entry has not seen"
		case i > 0 && e.Siblings[i-1].Dot.compare(s.Dot) >= 0:
			return "siblings out of order"
		}
	}
	return ""
}

func (l *Map) mergeEntry(e Entry, theirs batchContext) (changed bool, err error) {
	h, _ := l.records.Get(e.Name)
	var ours Entry
	var under Version
	if h != nil {
		ours, under = h.Entry, h.extraContext
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
			if !e.CausalContext.Covers(a[0].Dot) && !theirs.Covers(a[0].Dot) {
				add(a[0], true)
			}
			a = a[1:]
		case c > 0:
			if !ours.CausalContext.Covers(b[0].Dot) && !l.known.Covers(b[0].Dot) && !under.Covers(b[0].Dot) {
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
	seen := ours.CausalContext.Join(e.CausalContext)
	more := theirs.isNew && !theirs.IsCoveredBy(under)
	if !changed && !more && seen.IsCoveredBy(ours.CausalContext) {
		return false, nil
	}
	if more {
		under = l.joinCached(under, theirs.Version)
	}
	if changed {
		switch {
		case len(out) > MaxSiblings:
			return false, &TooManySiblingsError{e.Name, len(out), MaxSiblings}
		case h == nil && l.records.Len() >= MaxNames:
			return false, &CapacityExceededError{e.Name, "entries", l.records.Len(), MaxNames}
		case live > 0 && l.payloadBytes > MaxTotalBytes:
			return false, &CapacityExceededError{e.Name, "bytes", l.payloadBytes, MaxTotalBytes}
		}
	}
	if h == nil {
		e.Name = strings.Clone(e.Name)
	} else {
		e.Name = h.Name
	}
	e.Siblings, e.CausalContext = slices.Clip(out), l.internVersion(seen)
	for i := range e.Siblings {
		e.Siblings[i].Dot.Actor = l.internActor(e.Siblings[i].Dot.Actor)
	}
	l.replaceRecord(h, e, under)
	return changed, nil
}

// joinCached is the join of two versions, one in memory for all names of which it is asked one after another.
func (l *Map) joinCached(a, b Version) Version {
	if len(a) == 0 || sharesMemory(a, b) {
		return b
	}
	if !sharesMemory(l.lastJoin[0], a) || !sharesMemory(l.lastJoin[1], b) {
		l.lastJoin = [3]Version{a, b, a.Join(b)}
	}
	return l.lastJoin[2]
}

// internVersion is v with actors' names that are held once.
func (l *Map) internVersion(v Version) Version {
	v = slices.Clone(v)
	for i := range v {
		v[i].Actor = l.internActor(v[i].Actor)
	}
	return v
}

func (l *Map) internActor(actor string) string {
	if s, ok := l.internedActors[actor]; ok {
		return s
	}
	actor = strings.Clone(actor)
	l.internedActors[actor] = actor
	return actor
}

// replaceRecord puts a state in place of the one held, or drops it where it says no more than the Known.
func (l *Map) replaceRecord(h *record, e Entry, under Version) {
	if h != nil {
		l.tree.remove(h)
		l.payloadBytes -= h.payloadBytes()
		delete(l.deadRecords, h.Name)
	}
	if len(e.Siblings) == 0 && e.CausalContext.IsCoveredBy(l.known) {
		if h != nil {
			l.records.Delete(h.Name)
			l.baseContextStale = true
		}
		return
	}
	if h == nil {
		h = &record{bucket: bucketOf(e.Name)}
		l.records.Set(e.Name, h)
	}
	h.Entry, h.digest, h.extraContext = e, e.computeDigest(), under
	l.tree.insert(h)
	l.payloadBytes += h.payloadBytes()
	if !h.IsLive() {
		l.deadRecords[h.Name] = h
	}
}

func (e Entry) payloadBytes() int {
	n := len(e.Name)
	for _, s := range e.Siblings {
		n += len(s.Value)
	}
	return n
}

// computeDigest stands for the siblings of a name in digests; 0 only for none.
func (e Entry) computeDigest() uint64 {
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
		k := s.Dot.Counter << 1
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
