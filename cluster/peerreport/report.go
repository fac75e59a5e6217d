// Package peerreport decides what one co-ordinator takes from what others have found: what a report holds, how old it
// is, how several are put together, how much each weighs, when one is dropped, whom to ask and whom to answer.
// It has no I/O and no clock: times are handed in, in tenths of a millisecond of one co-ordinator's own clock.
// Between co-ordinators only ages travel. docs/learning.md weighs the options. Way in: Take makes a report of
// the module's beliefs, Shelf keeps others' reports and combines them, Asker and Desk are the two ends' manners.
package peerreport

import (
	"errors"
	"fmt"
	"math"

	"chalkring/balancer"
)

const (
	second = 10_000 // in tenths of a millisecond

	reportLife  = 30 * second // a report older than that is dropped: a trouble has often passed by then
	badLife     = 20 * second // a suspicion older than that counts no more: its peer tried a few times since
	oneVote     = 3.0         // answers that one peer's note weighs at the most: the module believes no more at all
	fewAnswers  = 8.0         // answers before a peer's usual time is believed: as in the module
	selfShare   = 0.5         // share of bad hosts over which a report tells of its peer's own trouble
	selfLeast   = 4           // hosts before that share is looked at
	logScale    = 1000        // steps of a logarithm on the wire: a thousandth is 0.1%
	countScale  = 8           // steps of a decayed count on the wire
	PeersMost   = 16          // reports kept: as many peers as may be named
	HostsMost   = 20_000      // notes of a report: twice the largest list in sight
	ZonesMost   = 64          // zones of a report
	NameMost    = 128         // bytes of a host's, zone's or peer's name: as on the other edges
	SliceMost   = 512         // notes handed over in one turn of an owner: well under 1 ms of it
	movedMost   = 4096        // hosts that are remembered as moved; beyond, the oldest are forgotten
	sameSlack   = second      // that one report may seem younger when it comes again: it was kept no longer
	noteLeast   = 0.05        // answers under which a note says nothing of slowness
	tenthsPerMs = 10
)

// Head opens a report: what its peer found of the fleet as a whole.
type Head struct {
	_        struct{} `cbor:",toarray"`
	Peer     string   // its name
	Place    string   // where it stands: ways to zones differ from place to place
	Serial   uint64   // one more with each report of that peer's run
	List     int64    // version of its host list
	Age      uint32   // ms since the first note was taken
	Answers  uint32   // decayed count, in eighths
	Usual    uint32   // the fleet's usual answer time in tenths of a millisecond
	Shortest uint32   // and the shortest, 0 for unknown
	Hosts    uint32   // notes that follow
	Zones    []Zone
}

// Zone is what a peer found of the way to a zone.
type Zone struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	N      uint16 // decayed count of answers, in eighths
	Slower int16  // mean logarithm over the usual one's, in thousandths
}

// Note is what a peer found of one host, first hand.
type Note struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Zone        uint8  // its place in Zones
	Since       uint64 // Unix ms of its start as the peer's list has it, 0 for long ago
	ShortN      uint16 // decayed counts of answers, in eighths
	LongN       uint16
	Short, Long int16 // mean logarithms over the usual one's, in thousandths
	Strikes     uint8
	Refused     uint8
	Quiet       uint8
	Silent      uint32 // ms
	Age         uint32 // ms since its last answer to that peer; all bits for none
	Bad         bool   // it is a suspect there
}

// NoAnswer is the Age of a host that never answered.
const NoAnswer = math.MaxUint32

// Taker makes a report of what the module knows, slice by slice.
type Taker struct {
	Head  Head
	Notes []Note
	usual float64
	zones []string
	began int64
	list  int64
}

// NewTaker begins a report at a time. zones names the settings' zones in order.
func NewTaker(now int64, peer, place string, serial uint64, list int64, zones []string) *Taker {
	return &Taker{Head: Head{Peer: peer, Place: place, Serial: serial, List: list}, zones: zones, began: now, list: list}
}

// Tell takes one belief in; the fleet's comes first.
func (t *Taker) Tell(b balancer.Belief) {
	switch b.Of {
	case balancer.OfFleet:
		t.usual = b.Short.Mean
		t.Head.Answers = uint32(scaled(b.Short.N, countScale, math.MaxInt32))
		t.Head.Usual = uint32(scaled(math.Exp(b.Short.Mean), 1, math.MaxInt32))
		if b.Long.Mean > 0 {
			t.Head.Shortest = uint32(scaled(math.Exp(b.Long.Mean), 1, math.MaxInt32))
		}
	case balancer.OfZone:
		if b.Zone < len(t.zones) && len(t.Head.Zones) < ZonesMost {
			t.Head.Zones = append(t.Head.Zones, Zone{Name: t.zones[b.Zone],
				N: uint16(scaled(b.Short.N, countScale, math.MaxUint16)), Slower: t.slower(b.Short)})
		}
	case balancer.OfReplica:
		if len(t.Notes) >= HostsMost {
			return
		}
		n := Note{ID: b.Replica, Zone: uint8(min(b.Zone, ZonesMost)), Since: uint64(max(0, b.Since) / tenthsPerMs),
			ShortN: uint16(scaled(b.Short.N, countScale, math.MaxUint16)), Short: t.slower(b.Short),
			LongN: uint16(scaled(b.Long.N, countScale, math.MaxUint16)), Long: t.slower(b.Long),
			Strikes: uint8(min(b.Strikes, math.MaxUint8)), Refused: uint8(min(b.Refused, math.MaxUint8)),
			Quiet:  uint8(min(b.Quiet, math.MaxUint8)),
			Silent: uint32(min(b.Silent/tenthsPerMs, math.MaxUint32-1)), Age: NoAnswer, Bad: b.Bad}
		if b.Age >= 0 {
			n.Age = uint32(min(b.Age/tenthsPerMs, math.MaxUint32-1))
		}
		t.Notes = append(t.Notes, n)
	}
}

// Changed tells whether the list has changed since the first slice: the report is then begun again.
func (t *Taker) Changed(list int64) bool { return t.list != list }

// AgeAt is how long ago the report was begun.
func (t *Taker) AgeAt(now int64) int64 { return max(0, now-t.began) }

// HeadAt is the head as it is sent at a time.
func (t *Taker) HeadAt(now int64) Head {
	h := t.Head
	h.Age, h.Hosts = uint32(min(t.AgeAt(now)/tenthsPerMs, math.MaxUint32)), uint32(len(t.Notes))
	return h
}

func (t *Taker) slower(m balancer.Tally) int16 {
	if m.N == 0 {
		return 0
	}
	return int16(scaled(m.Mean-t.usual, logScale, math.MaxInt16))
}

func scaled(v, steps, most float64) float64 {
	if v != v {
		return 0
	}
	return max(-most, min(most, math.Round(v*steps)))
}

// Check looks at a head that came from outside.
func (h *Head) Check() error {
	switch {
	case !fits(h.Peer) || len(h.Place) > NameMost:
		return fmt.Errorf("peer %.40q, place %.40q", h.Peer, h.Place)
	case h.Hosts > HostsMost:
		return fmt.Errorf("%d hosts, %d at the most", h.Hosts, HostsMost)
	case len(h.Zones) > ZonesMost:
		return fmt.Errorf("%d zones, %d at the most", len(h.Zones), ZonesMost)
	case h.List < 0:
		return errors.New("a list's version under 0")
	}
	for i := range h.Zones {
		if !fits(h.Zones[i].Name) {
			return fmt.Errorf("zone %.40q", h.Zones[i].Name)
		}
	}
	return nil
}

// Check looks at a note that came from outside.
func (n *Note) Check() error {
	if !fits(n.ID) {
		return fmt.Errorf("host %.40q", n.ID)
	}
	return nil
}

func fits(name string) bool {
	for i := 0; i < len(name); i++ {
		if name[i] <= ' ' || name[i] == 127 {
			return false
		}
	}
	return name != "" && len(name) <= NameMost
}
