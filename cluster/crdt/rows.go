package crdt

import (
	"cmp"
	"slices"
	"strings"
)

// Row is what one life of an instance says of itself: how far its state reaches. Rows travel with exchanges; from all of
// them together each instance knows by itself which deletes everyone has seen.
type Row struct {
	_               struct{} `cbor:",toarray"`
	Actor           string
	Seq             uint64 // a later row of the same life has a greater one
	Known           Version
	IncarnationEnds []IncarnationEnd // lives whose end was noticed and is not yet settled
}

// IncarnationEnd says that an instance noticed the end of all lives of another before one: it takes nothing from them any more, and
// all it ever took from them is part of its state at its own change At.
type IncarnationEnd struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Before, NotedAt uint64
}

// RowVersion names a row that is held, so that only later ones are sent.
type RowVersion struct {
	_     struct{} `cbor:",toarray"`
	Actor string
	Seq   uint64
}

const (
	MaxRows              = 4096 // instances whose rows are held
	compactContextLength = 3    // actors in an entry's Seen over which those of no sibling are left out once all have the state
)

// NextRow is a new row of this instance.
func (l *Map) NextRow() Row {
	if l.ownRow.Seq == 0 {
		l.noteIncarnationEnd(ActorName(l.actor), ActorIncarnation(l.actor))
	}
	r := Row{Actor: l.actor, Seq: l.ownRow.Seq + 1, Known: l.known}
	for _, e := range l.incarnationEnds {
		r.IncarnationEnds = append(r.IncarnationEnds, e)
	}
	slices.SortFunc(r.IncarnationEnds, func(a, b IncarnationEnd) int { return strings.Compare(a.Name, b.Name) })
	l.ownRow = r
	return r
}

// noteIncarnationEnd notes that the lives of name before one are over.
func (l *Map) noteIncarnationEnd(name string, before uint64) {
	if l.incarnationEnds[name].Before >= before || l.known.EndedBefore(name) >= before {
		return
	}
	l.known = l.known.With(Dot{Actor: l.actor, Counter: l.known.LastCounter(l.actor) + 1})
	l.incarnationEnds[name] = IncarnationEnd{Name: name, Before: before, NotedAt: l.known.LastCounter(l.actor)}
}

// isSuperseded tells whether a later life of the same instance is known.
func (l *Map) isSuperseded(actor string) bool {
	name, life := ActorName(actor), ActorIncarnation(actor)
	return life > 0 && (life < l.incarnationEnds[name].Before || life < l.known.EndedBefore(name))
}

// ForgetInstance stops waiting for an instance that will not come back. What it told someone stays. One that comes back all the same
// is heard again from its next row on; of others' ended lives it may then hold changes that are no longer taken.
func (l *Map) ForgetInstance(name string) {
	delete(l.rows, name)
	delete(l.coveredRows, name)
	l.forgottenMembers[name] = true
}

// RowVersions names the rows held.
func (l *Map) RowVersions() []RowVersion {
	out := make([]RowVersion, 0, len(l.rows)+1)
	for _, r := range l.rows {
		out = append(out, RowVersion{Actor: r.Actor, Seq: r.Seq})
	}
	if l.ownRow.Seq > 0 {
		out = append(out, RowVersion{Actor: l.actor, Seq: l.ownRow.Seq})
	}
	slices.SortFunc(out, func(a, b RowVersion) int { return strings.Compare(a.Actor, b.Actor) })
	return out
}

// RowsSince are rows that are later than marks, of up to about so many bytes.
func (l *Map) RowsSince(marks []RowVersion, bytes int) (out []Row) {
	held := make(map[string]RowVersion, len(marks))
	for _, m := range marks {
		held[ActorName(m.Actor)] = m
	}
	later := func(r Row) bool {
		m := held[ActorName(r.Actor)]
		a, b := ActorIncarnation(r.Actor), ActorIncarnation(m.Actor)
		return a > b || a == b && r.Seq > m.Seq
	}
	if l.ownRow.Seq > 0 && later(l.ownRow) {
		out, bytes = append(out, l.ownRow), bytes-l.ownRow.encodedSize()
	}
	for _, name := range l.rowNamesBySeq() {
		if r := l.rows[name]; later(r) {
			if bytes -= r.encodedSize(); bytes < 0 {
				break
			}
			out = append(out, r)
		}
	}
	return out
}

func (l *Map) rowNamesBySeq() []string {
	out := make([]string, 0, len(l.rows))
	for name := range l.rows {
		out = append(out, name)
	}
	// Begins elsewhere each time, so that a partner with little room gets all of them in the end.
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(l.rows[a].Seq, l.rows[b].Seq), strings.Compare(a, b)) })
	return out
}

func (v Version) encodedSize() int {
	n := 4
	for _, d := range v {
		n += len(d.Actor) + 8
	}
	return n
}

func (r Row) encodedSize() int {
	return len(r.Actor) + 12 + r.Known.encodedSize() + 40*len(r.IncarnationEnds)
}

// MergeRows takes rows in that are later than those held.
func (l *Map) MergeRows(from string, rows []Row) error {
	for _, r := range rows {
		if !isValidActor(r.Actor) || r.Seq == 0 || !r.Known.isValid() || len(r.IncarnationEnds) > MaxRows {
			return &InvalidDataError{from, "a row that cannot be used"}
		}
		name := ActorName(r.Actor)
		old, ok := l.rows[name]
		a, b := ActorIncarnation(r.Actor), ActorIncarnation(old.Actor)
		if name == ActorName(l.actor) || l.isSuperseded(r.Actor) || ok && (a < b || a == b && r.Seq <= old.Seq) || !ok && len(l.rows) >= MaxRows {
			continue
		}
		r.Actor, r.Known = l.internActor(r.Actor), l.internVersion(r.Known)
		l.rows[name] = r
		delete(l.forgottenMembers, name)
		l.noteIncarnationEnd(name, a)
	}
	return nil
}

// SetMembers names all instances there are, and those of them that are away for so long that deletes are forgotten without
// them. Nothing is forgotten before it was called.
func (l *Map) SetMembers(all, away []string) {
	l.members, l.absentMembers = append([]string{}, all...), map[string]bool{}
	for _, n := range away {
		l.absentMembers[n] = true
	}
}

// instancesToSettle are the instances that must have noticed the end of a life before it is settled: all that were ever heard of and
// were not forgotten, away or not, since what they hold of that life is nowhere else perhaps.
func (l *Map) instancesToSettle() map[string]bool {
	out := map[string]bool{}
	for _, n := range l.members {
		out[n] = true
	}
	for n := range l.rows {
		out[n] = true
	}
	for _, d := range l.known {
		if !isEndMark(d.Actor) {
			out[ActorName(d.Actor)] = true
		}
	}
	for n := range l.forgottenMembers {
		delete(out, n)
	}
	delete(out, ActorName(l.actor))
	return out
}

// StableVersion is what all instances that count have seen, by rows of theirs whose whole state is part of the one here: so that
// what any of them wrote before it saw a delete is here, beside the tombstone.
func (l *Map) StableVersion() (Version, bool) {
	for name, r := range l.rows {
		if r.Known.IsCoveredBy(l.known) {
			l.coveredRows[name] = r
		}
	}
	if l.members == nil {
		return nil, false
	}
	s := l.known
	for _, name := range l.members {
		if name == ActorName(l.actor) || l.absentMembers[name] {
			continue
		}
		r, ok := l.coveredRows[name]
		if !ok || r.Actor != l.rows[name].Actor {
			return nil, false
		}
		s = s.intersect(r.Known)
	}
	return s, true
}

// settleIncarnationEnds covers, by one mark each, the lives that everyone knows to be over and whose changes are all here.
func (l *Map) settleIncarnationEnds() {
	if len(l.incarnationEnds) == 0 || l.members == nil {
		return
	}
	all := l.instancesToSettle()
	for name, mine := range l.incarnationEnds {
		before := mine.Before
		for other := range all {
			r := l.rows[other]
			i := slices.IndexFunc(r.IncarnationEnds, func(e IncarnationEnd) bool { return e.Name == name })
			if i < 0 || !l.known.Covers(Dot{Actor: r.Actor, Counter: r.IncarnationEnds[i].NotedAt}) {
				before = 0 // not noticed there, or settled there: the mark comes with the next exchange
				break
			}
			before = min(before, r.IncarnationEnds[i].Before)
		}
		if before > l.known.EndedBefore(name) {
			l.known = l.known.With(Dot{Actor: name + "#", Counter: before})
		}
		if l.known.EndedBefore(name) >= mine.Before {
			delete(l.incarnationEnds, name)
		}
	}
}

// CollectTombstones forgets tombstones that all instances that count have seen, and tells their names.
func (l *Map) CollectTombstones() (dropped []string) {
	l.settleIncarnationEnds()
	stable, ok := l.StableVersion()
	for _, h := range l.deadRecords {
		if ok && h.CausalContext.IsCoveredBy(stable) || len(h.Siblings) == 0 && h.CausalContext.IsCoveredBy(l.known) {
			l.replaceRecord(h, Entry{}, nil)
			dropped = append(dropped, h.Name)
		}
	}
	l.records.Scan(func(_ string, h *record) bool {
		// Only once all have this state itself: a change that all have seen is not yet one that all know to be superseded.
		if !ok || len(h.extraContext) == 0 && len(h.CausalContext) <= compactContextLength || !h.CausalContext.IsCoveredBy(stable) {
			return true
		}
		if len(h.CausalContext) > compactContextLength {
			h.CausalContext = h.compactContext()
		}
		if h.extraContext.IsCoveredBy(l.known) {
			h.extraContext = nil
		}
		return true
	})
	return dropped
}

// compactContext is of the Seen what its siblings need.
func (e Entry) compactContext() Version {
	out := make(Version, 0, len(e.Siblings))
	for _, d := range e.CausalContext {
		if slices.ContainsFunc(e.Siblings, func(s Sibling) bool { return s.Dot.Actor == d.Actor }) {
			out = append(out, d)
		}
	}
	return out
}

// SupersededError says that others took this life as over, since a later one with the same name came.
type SupersededError struct {
	From        string
	EndedBefore uint64 // lives before this one are over
}

func (e *SupersededError) Error() string {
	return "ledger: " + e.From + " takes this life of the instance as over"
}

// Advice says what an operator can do.
func (e *SupersededError) Advice() string {
	return "Look for a second process with this instance's name and stop one; this one goes on as a new life and keeps its changes."
}

// checkSuperseded tells whether a version from outside takes this life as over.
func (l *Map) checkSuperseded(from string, known Version) error {
	if before := known.EndedBefore(ActorName(l.actor)); before > ActorIncarnation(l.actor) {
		return &SupersededError{from, before}
	}
	return nil
}

// BeginIncarnation goes on as a new life. Changes of this life that peer, by what is known of it here, has not seen are made again as
// changes of the new one, so that they are kept; they are told.
func (l *Map) BeginIncarnation(life uint64, peer string) (kept []Entry) {
	name, old, seen := ActorName(l.actor), l.actor, l.rows[peer].Known
	l.actor, l.ownRow, l.incarnationEnds = FormatActor(name, life), Row{}, map[string]IncarnationEnd{}
	l.records.Scan(func(_ string, h *record) bool {
		var siblings []Sibling
		for i, s := range h.Siblings {
			if s.Dot.Actor == old && !seen.Covers(s.Dot) {
				if siblings == nil {
					siblings = slices.Clone(h.Siblings)
				}
				siblings[i].Dot = Dot{Actor: l.actor, Counter: l.known.LastCounter(l.actor) + 1}
				l.known = l.known.With(siblings[i].Dot)
			}
		}
		if siblings != nil {
			e := h.Entry
			slices.SortFunc(siblings, func(a, b Sibling) int { return a.Dot.compare(b.Dot) })
			e.Siblings, e.CausalContext = siblings, e.CausalContext.With(Dot{Actor: l.actor, Counter: l.known.LastCounter(l.actor)})
			kept = append(kept, e)
		}
		return true
	})
	for _, e := range kept {
		h, _ := l.records.Get(e.Name)
		l.replaceRecord(h, e, h.extraContext)
	}
	return kept
}

// Restore takes in what a store kept of this instance's copy: entries first, then the Known of the same or an earlier moment.
func (l *Map) Restore(entries []Entry, known Version) error {
	if !known.isValid() {
		return &InvalidDataError{"the store", "a version out of order"}
	}
	_, err := l.Merge("the store", entries)
	if err == nil {
		l.known, l.baseContextStale = l.known.Join(l.internVersion(known)), true
	}
	return err
}
