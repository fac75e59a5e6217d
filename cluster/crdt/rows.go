package crdt

import (
	"cmp"
	"slices"
	"strings"
)

// Row is one replica's row of the matrix clock: what an incarnation of an instance states about itself. Exchanges carry
// the rows; from all rows together, each instance computes which deletes every instance has seen.
type Row struct {
	_               struct{} `cbor:",toarray"`
	Actor           string
	Seq             uint64           // greater in a later row of the same incarnation
	Known           Version          // the replica's known version
	IncarnationEnds []IncarnationEnd // those that the instance has recorded and not yet settled; see settleIncarnationEnds
}

// RowVersion identifies a row that a replica holds, so that a peer sends only later ones.
type RowVersion struct {
	_     struct{} `cbor:",toarray"`
	Actor string
	Seq   uint64
}

const (
	rowOverheadBytes    = 12 // approximate size of an encoded row without its actor and lists
	incarnationEndBytes = 40 // approximate size of an encoded incarnation end
)

// encodedSize estimates the size of a row in a message, in bytes.
func (r Row) encodedSize() int {
	return len(r.Actor) + rowOverheadBytes + r.Known.encodedSize() + incarnationEndBytes*len(r.IncarnationEnds)
}

// isValid reports whether a received row is valid.
func (r Row) isValid() bool {
	return isValidActor(r.Actor) && r.Seq > 0 && r.Known.isValid() && len(r.IncarnationEnds) <= MaxRows
}

// isLaterThan compares rows of the same instance, first by incarnation, then by sequence number.
func (r Row) isLaterThan(other RowVersion) bool {
	incarnation, otherIncarnation := ActorIncarnation(r.Actor), ActorIncarnation(other.Actor)
	return incarnation > otherIncarnation || incarnation == otherIncarnation && r.Seq > other.Seq
}

func (r Row) version() RowVersion { return RowVersion{Actor: r.Actor, Seq: r.Seq} }

// NextRow makes and returns a new row of this replica.
func (m *Map) NextRow() Row {
	if m.ownRow.Seq == 0 {
		m.recordIncarnationEnd(ActorInstance(m.actor), ActorIncarnation(m.actor))
	}
	row := Row{Actor: m.actor, Seq: m.ownRow.Seq + 1, Known: m.known}
	for _, end := range m.incarnationEnds {
		row.IncarnationEnds = append(row.IncarnationEnds, end)
	}
	slices.SortFunc(row.IncarnationEnds, func(a, b IncarnationEnd) int { return strings.Compare(a.Name, b.Name) })
	m.ownRow = row
	return row
}

// RowVersions identifies the rows held, including this replica's own, sorted by actor.
func (m *Map) RowVersions() []RowVersion {
	versions := make([]RowVersion, 0, len(m.rows)+1)
	for _, row := range m.rows {
		versions = append(versions, row.version())
	}
	if m.ownRow.Seq > 0 {
		versions = append(versions, m.ownRow.version())
	}
	slices.SortFunc(versions, func(a, b RowVersion) int { return strings.Compare(a.Actor, b.Actor) })
	return versions
}

// RowsSince returns the rows that are later than those a peer holds, this replica's own first, up to about maxBytes in
// all.
func (m *Map) RowsSince(peerRows []RowVersion, maxBytes int) (rows []Row) {
	peerVersions := make(map[string]RowVersion, len(peerRows))
	for _, version := range peerRows {
		peerVersions[ActorInstance(version.Actor)] = version
	}
	isNewer := func(row Row) bool { return row.isLaterThan(peerVersions[ActorInstance(row.Actor)]) }
	room := maxBytes
	if m.ownRow.Seq > 0 && isNewer(m.ownRow) {
		rows, room = append(rows, m.ownRow), room-m.ownRow.encodedSize()
	}
	for _, name := range m.rowNamesBySeq() {
		row := m.rows[name]
		if !isNewer(row) {
			continue
		}
		if room -= row.encodedSize(); room < 0 {
			break
		}
		rows = append(rows, row)
	}
	return rows
}

// rowNamesBySeq returns the instances whose rows are held, sorted by sequence number. That order changes as rows are
// replaced, so that a peer gets all rows over several exchanges when they do not fit one message.
func (m *Map) rowNamesBySeq() []string {
	names := make([]string, 0, len(m.rows))
	for name := range m.rows {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.rows[a].Seq, m.rows[b].Seq), strings.Compare(a, b))
	})
	return names
}

// MergeRows stores the rows that are later than those held. It stops at the first invalid one.
func (m *Map) MergeRows(from string, rows []Row) error {
	for _, row := range rows {
		if !row.isValid() {
			return &InvalidDataError{From: from, Reason: "a row has an invalid actor, sequence number, known version or number of incarnation ends"}
		}
		name := ActorInstance(row.Actor)
		held, isHeld := m.rows[name]
		switch {
		case name == ActorInstance(m.actor) || m.isSuperseded(row.Actor):
			continue
		case isHeld && !row.isLaterThan(held.version()):
			continue
		case !isHeld && len(m.rows) >= MaxRows:
			continue
		}
		row.Actor, row.Known = m.internActor(row.Actor), m.internVersion(row.Known)
		m.rows[name] = row
		delete(m.forgottenNames, name)
		m.recordIncarnationEnd(name, ActorIncarnation(row.Actor))
	}
	return nil
}
