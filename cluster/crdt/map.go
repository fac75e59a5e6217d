// Package crdt is a replicated map from names to values: instances change their replicas independently and merge them
// later. It has no I/O and no clock.
//
// A name has one sibling, or several if instances changed it without having seen each other's change, and a causal
// context: the changes that its writers had seen (dotted version vectors). Merge is commutative, associative and
// idempotent. A delete leaves a tombstone until it is causally stable, that is until all members have seen it.
//
// A replica also has a known version, which covers all changes of any name that are part of its state. A change that the
// known version covers and that the replica does not hold was superseded or deleted: a copy of it that arrives later, in
// a late message or from an older disk, is ignored, even long after the tombstone was collected. docs/replication.md
// gives the rules and the alternatives considered.
package crdt

import (
	"bytes"
	"slices"
	"strings"

	"github.com/tidwall/btree"
)

// Map is one instance's replica. It is not safe for concurrent use.
type Map struct {
	actor          string
	known          Version
	records        btree.Map[string, *record]
	deadRecords    map[string]*record // records without a live sibling: tombstones, and records with only a context
	payloadBytes   int
	internedActors map[string]string // one copy in memory of each actor
	lastJoin       [3]Version        // operands and result of the last join made by joinCached
	tree           digestTree

	// baseContext is the extra context of a write to a name without a record, since this replica may have seen and
	// dropped what the name held before. It is the known version at the first such write after a record was dropped or
	// raiseKnown was called.
	baseContext      Version
	baseContextStale bool // the next such write must set baseContext

	rows            map[string]Row // the latest row of each other instance
	coveredRows     map[string]Row // the latest row of each whose known version the known version here covers
	ownRow          Row
	incarnationEnds map[string]IncarnationEnd // by instance; those not yet settled
	members         []string                  // nil until SetMembers was called
	absentMembers   map[string]bool
	forgottenNames  map[string]bool // instances passed to ForgetInstance
}

// record is an entry with what the replica stores for it.
type record struct {
	Entry
	// extraContext is what was seen of this name besides the entry's causal context: the known version of the replica that
	// sent the state, or baseContext for a write made here. The records of one batch share one Version in memory.
	extraContext Version
	digest       uint64 // 0 if there is no sibling
	bucket       uint16
}

// NewMap returns an empty replica. The actor must be new with each start: two processes with the same actor would issue the
// same dots and lose changes.
func NewMap(actor string) *Map {
	return &Map{
		actor: actor, deadRecords: map[string]*record{}, internedActors: map[string]string{}, tree: newDigestTree(),
		rows: map[string]Row{}, coveredRows: map[string]Row{}, incarnationEnds: map[string]IncarnationEnd{},
		forgottenNames: map[string]bool{},
	}
}

// Actor returns the actor of this replica's own changes.
func (m *Map) Actor() string { return m.actor }

// KnownVersion returns the version that covers all changes that are part of this replica's state.
func (m *Map) KnownVersion() Version { return m.known }

// Counts returns the number of names with a live value, the number of names with a record but no live value, and the size
// of the names and values of both.
func (m *Map) Counts() (live, dead, bytes int) {
	return m.records.Len() - len(m.deadRecords), len(m.deadRecords), m.payloadBytes
}

// Put writes a value, which is copied. It supersedes every sibling held here.
func (m *Map) Put(name string, value []byte) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, &TooLargeError{Name: name, Field: "value", Bytes: len(value), Limit: MaxValueBytes}
	}
	held, _ := m.records.Get(name)
	if live, _, _ := m.Counts(); (held == nil || !held.IsLive()) && live >= MaxEntries {
		return Entry{}, &CapacityExceededError{Name: name, Resource: resourceEntries, Current: live, Limit: MaxEntries}
	}
	return m.writeSibling(held, name, Sibling{Value: bytes.Clone(value)})
}

// Delete replaces every sibling held here by a tombstone. A name without a sibling stays as it is.
func (m *Map) Delete(name string) (Entry, error) {
	held, _ := m.records.Get(name)
	if held == nil || len(held.Siblings) == 0 {
		return Entry{Name: name}, nil
	}
	if len(held.Siblings) == 1 && held.Siblings[0].Deleted {
		return held.Entry, nil
	}
	if len(m.deadRecords) >= MaxTombstones && held.IsLive() {
		return Entry{}, &CapacityExceededError{Name: name, Resource: resourceTombstones, Current: len(m.deadRecords), Limit: MaxTombstones}
	}
	return m.writeSibling(held, name, Sibling{Deleted: true})
}

// writeSibling makes a local change; held is the name's record, nil if there is none.
func (m *Map) writeSibling(held *record, name string, sibling Sibling) (Entry, error) {
	if name == "" || len(name) > MaxNameBytes {
		return Entry{}, &TooLargeError{Name: name, Field: "name", Bytes: len(name), Limit: MaxNameBytes}
	}
	if added := len(name) + len(sibling.Value); added+m.payloadBytes > MaxTotalBytes && !sibling.Deleted {
		return Entry{}, &CapacityExceededError{Name: name, Resource: resourceBytes, Current: m.payloadBytes, Limit: MaxTotalBytes}
	}
	sibling.Dot = m.nextDot()
	entry := Entry{Name: name, Siblings: []Sibling{sibling}}
	var extraContext Version
	if held != nil {
		entry.Name, entry.CausalContext, extraContext = held.Name, held.CausalContext, held.extraContext
	} else {
		if m.baseContextStale {
			m.baseContext, m.baseContextStale = m.known, false
		}
		extraContext = m.baseContext
	}
	entry.CausalContext = entry.CausalContext.With(sibling.Dot)
	m.known = m.known.With(sibling.Dot)
	m.replaceRecord(held, entry, extraContext)
	return entry, nil
}

func (m *Map) nextDot() Dot {
	return Dot{Actor: m.actor, Counter: m.known.LastCounter(m.actor) + 1}
}

// Get returns the state of a name and whether it has a live value. A deleted name has its tombstone until it is
// collected.
func (m *Map) Get(name string) (Entry, bool) {
	held, ok := m.records.Get(name)
	if !ok {
		return Entry{Name: name}, false
	}
	return held.Entry, held.IsLive()
}

// ScanPrefix calls visit for each name with a live value that begins with prefix, in order, until visit returns false.
// visit must not change the map.
func (m *Map) ScanPrefix(prefix string, visit func(Entry) bool) {
	m.records.Ascend(prefix, func(name string, held *record) bool {
		return strings.HasPrefix(name, prefix) && (!held.IsLive() || visit(held.Entry))
	})
}

// StorableEntry returns a name's state for a store that also keeps the known version: its causal context includes what
// was seen of the name beyond that version. It returns false for a name without a record.
func (m *Map) StorableEntry(name string) (Entry, bool) {
	held, ok := m.records.Get(name)
	if !ok {
		return Entry{}, false
	}
	entry := held.Entry
	entry.CausalContext = entry.CausalContext.Join(held.extraContext.subtract(m.known))
	return entry, true
}

// Restore merges what a store kept of this instance's replica: the entries, and the known version. The known version must
// not be newer than the entries.
func (m *Map) Restore(entries []Entry, known Version) error {
	const from = "the store"
	if !known.isValid() {
		return &InvalidDataError{From: from, Reason: invalidVersion}
	}
	_, err := m.Merge(from, entries)
	if err == nil {
		m.raiseKnown(m.internVersion(known))
	}
	return err
}

// raiseKnown joins a version into the known one. The caller has merged all of the state that the version covers.
func (m *Map) raiseKnown(version Version) {
	m.known, m.baseContextStale = m.known.Join(version), true
}

// replaceRecord replaces the state of a record, or adds a record if held is nil. If the new state has no sibling and the
// known version covers its context, the record is dropped, since it adds nothing to the known version.
func (m *Map) replaceRecord(held *record, entry Entry, extraContext Version) {
	if held != nil {
		m.tree.remove(held)
		m.payloadBytes -= held.payloadBytes()
		delete(m.deadRecords, held.Name)
	}
	if len(entry.Siblings) == 0 && entry.CausalContext.IsCoveredBy(m.known) {
		if held != nil {
			m.records.Delete(held.Name)
			m.baseContextStale = true
		}
		return
	}
	if held == nil {
		held = &record{bucket: bucketOf(entry.Name)}
		m.records.Set(entry.Name, held)
	}
	held.Entry, held.digest, held.extraContext = entry, entry.computeDigest(), extraContext
	m.tree.insert(held)
	m.payloadBytes += held.payloadBytes()
	if !held.IsLive() {
		m.deadRecords[held.Name] = held
	}
}

// internVersion returns a copy of a version whose actors are the interned ones.
func (m *Map) internVersion(version Version) Version {
	version = slices.Clone(version)
	for i := range version {
		version[i].Actor = m.internActor(version[i].Actor)
	}
	return version
}

func (m *Map) internActor(actor string) string {
	if interned, ok := m.internedActors[actor]; ok {
		return interned
	}
	actor = strings.Clone(actor)
	m.internedActors[actor] = actor
	return actor
}
