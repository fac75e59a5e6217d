package crdt

import "slices"

// IncarnationEnd is an instance's statement that all incarnations of the instance Name before Before have ended. The
// instance that states it no longer merges anything from them. What it had merged from them is part of its state as of
// its own change number RecordedAt.
type IncarnationEnd struct {
	_                  struct{} `cbor:",toarray"`
	Name               string
	Before, RecordedAt uint64
}

// isSuperseded reports whether a later incarnation of the actor's instance is known.
func (m *Map) isSuperseded(actor string) bool {
	name, incarnation := ActorInstance(actor), ActorIncarnation(actor)
	return incarnation > 0 && (incarnation < m.incarnationEnds[name].Before || incarnation < m.known.EndedBefore(name))
}

// checkSuperseded returns a SupersededError if a received version has an end mark for this incarnation.
func (m *Map) checkSuperseded(from string, known Version) error {
	if before := known.EndedBefore(ActorInstance(m.actor)); before > ActorIncarnation(m.actor) {
		return &SupersededError{From: from, EndedBefore: before}
	}
	return nil
}

// recordIncarnationEnd records, by a change of this replica, that the incarnations of an instance before one have ended.
func (m *Map) recordIncarnationEnd(name string, before uint64) {
	if m.incarnationEnds[name].Before >= before || m.known.EndedBefore(name) >= before {
		return
	}
	m.known = m.known.With(m.nextDot())
	m.incarnationEnds[name] = IncarnationEnd{Name: name, Before: before, RecordedAt: m.known.LastCounter(m.actor)}
}

// settleIncarnationEnds replaces ended incarnations in the known version by an end mark. It does so once all other
// instances have recorded their end, and this replica's state includes all that those instances had merged from them.
func (m *Map) settleIncarnationEnds() {
	if len(m.incarnationEnds) == 0 || m.members == nil {
		return
	}
	others := m.requiredRecorders()
	for name, own := range m.incarnationEnds {
		before := own.Before
		for other := range others {
			end, ok := m.recordedEnd(other, name)
			if !ok {
				before = 0
				break
			}
			before = min(before, end.Before)
		}
		if before > m.known.EndedBefore(name) {
			m.known = m.known.With(Dot{Actor: endMark(name), Counter: before})
		}
		if m.known.EndedBefore(name) >= own.Before {
			delete(m.incarnationEnds, name)
		}
	}
}

// recordedEnd returns the end of an instance's incarnations that another instance, recordedBy, has recorded, if what
// recordedBy has merged from them is part of the state here. If recordedBy has settled the end already, the next exchange
// brings its end mark.
func (m *Map) recordedEnd(recordedBy, name string) (IncarnationEnd, bool) {
	row := m.rows[recordedBy]
	i := slices.IndexFunc(row.IncarnationEnds, func(end IncarnationEnd) bool { return end.Name == name })
	if i < 0 {
		return IncarnationEnd{}, false
	}
	end := row.IncarnationEnds[i]
	return end, m.known.Covers(Dot{Actor: row.Actor, Counter: end.RecordedAt})
}

// requiredRecorders returns the other instances that must have recorded the end of an incarnation before it is settled:
// all that were ever known and not forgotten, absent or not, since they may hold changes of it that no other instance
// has.
func (m *Map) requiredRecorders() map[string]bool {
	names := map[string]bool{}
	for _, name := range m.members {
		names[name] = true
	}
	for name := range m.rows {
		names[name] = true
	}
	for _, dot := range m.known {
		if !isEndMark(dot.Actor) {
			names[ActorInstance(dot.Actor)] = true
		}
	}
	for name := range m.forgottenNames {
		delete(names, name)
	}
	delete(names, ActorInstance(m.actor))
	return names
}

// BeginIncarnation continues as a new incarnation. It reissues the current incarnation's changes as changes of the new one,
// so that they are kept, and returns their entries. It leaves out those that the peer has seen, according to the peer's
// row held here; with an empty peer it leaves out none.
func (m *Map) BeginIncarnation(incarnation uint64, peer string) (kept []Entry) {
	previous, peerKnown := m.actor, m.rows[peer].Known
	m.actor = FormatActor(ActorInstance(previous), incarnation)
	m.ownRow, m.incarnationEnds = Row{}, map[string]IncarnationEnd{}
	m.records.Scan(func(_ string, held *record) bool {
		if entry, reissued := m.reissueChanges(held.Entry, previous, peerKnown); reissued {
			kept = append(kept, entry)
		}
		return true
	})
	for _, entry := range kept {
		held, _ := m.records.Get(entry.Name)
		m.replaceRecord(held, entry, held.extraContext)
	}
	return kept
}

// reissueChanges gives a new dot of this actor to each sibling of an entry that the previous actor wrote and that
// peerKnown does not cover. It reports whether there are any.
func (m *Map) reissueChanges(entry Entry, previous string, peerKnown Version) (Entry, bool) {
	var siblings []Sibling
	for i, sibling := range entry.Siblings {
		if sibling.Dot.Actor != previous || peerKnown.Covers(sibling.Dot) {
			continue
		}
		if siblings == nil {
			siblings = slices.Clone(entry.Siblings)
		}
		dot := m.nextDot()
		siblings[i].Dot = dot
		m.known = m.known.With(dot)
		entry.CausalContext = entry.CausalContext.With(dot)
	}
	if siblings == nil {
		return entry, false
	}
	slices.SortFunc(siblings, func(a, b Sibling) int { return a.Dot.compare(b.Dot) })
	entry.Siblings = siblings
	return entry, true
}
