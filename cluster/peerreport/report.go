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

	reportLife           = 30 * second // a report older than that is dropped: a trouble has often passed by then
	badLife              = 20 * second // a suspicion older than that counts no more: its peer tried a few times since
	oneVote              = 3.0         // answers that one peer's note weighs at the most: the module believes no more at all
	fewAnswers           = 8.0         // answers before a peer's usual time is believed: as in the module
	selfShare            = 0.5         // share of bad hosts over which a report tells of its peer's own trouble
	selfLeast            = 4           // hosts before that share is looked at
	logScale             = 1000        // steps of a logarithm on the wire: a thousandth is 0.1%
	countScale           = 8           // steps of a decayed count on the wire
	MaxPeers             = 16          // reports kept: as many peers as may be named
	MaxHosts             = 20_000      // notes of a report: twice the largest list in sight
	MaxZones             = 64          // zones of a report
	MaxNameBytes         = 128         // bytes of a host's, zone's or peer's name: as on the other edges
	MaxChunkObservations = 512         // notes handed over in one turn of an owner: well under 1 ms of it
	movedMost            = 4096        // hosts that are remembered as moved; beyond, the oldest are forgotten
	sameSlack            = second      // that one report may seem younger when it comes again: it was kept no longer
	noteLeast            = 0.05        // answers under which a note says nothing of slowness
	tenthsPerMs          = 10
)

// ReportHeader opens a report: what its peer found of the fleet as a whole.
type ReportHeader struct {
	_            struct{} `cbor:",toarray"`
	Peer         string   // its name
	Locality     string   // where it stands: ways to zones differ from place to place
	Serial       uint64   // one more with each report of that peer's run
	ListVersion  int64    // version of its host list
	AgeMs        uint32   // ms since the first note was taken
	AnswerCount  uint32   // decayed count, in eighths
	FleetLatency uint32   // the fleet's usual answer time in tenths of a millisecond
	MinLatency   uint32   // and the shortest, 0 for unknown
	HostCount    uint32   // notes that follow
	Zones        []ZoneObservation
}

// ZoneObservation is what a peer found of the way to a zone.
type ZoneObservation struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Samples     uint16 // decayed count of answers, in eighths
	LogSlowdown int16  // mean logarithm over the usual one's, in thousandths
}

// Observation is what a peer found of one host, first hand.
type Observation struct {
	_                                 struct{} `cbor:",toarray"`
	HostID                            string
	ZoneIndex                         uint8  // its place in Zones
	StartedMs                         uint64 // Unix ms of its start as the peer's list has it, 0 for long ago
	ShortSamples                      uint16 // decayed counts of answers, in eighths
	LongSamples                       uint16
	ShortLogSlowdown, LongLogSlowdown int16 // mean logarithms over the usual one's, in thousandths
	ConsecutiveFailures               uint8
	ConnectFailures                   uint8
	UnansweredRequests                uint8
	SilentMs                          uint32 // ms
	AgeMs                             uint32 // ms since its last answer to that peer; all bits for none
	IsOutlier                         bool   // it is a suspect there
}

// NeverAnswered is the Age of a host that never answered.
const NeverAnswered = math.MaxUint32

// ReportBuilder makes a report of what the module knows, slice by slice.
type ReportBuilder struct {
	Header       ReportHeader
	Observations []Observation
	usual        float64
	zones        []string
	began        int64
	list         int64
}

// NewReportBuilder begins a report at a time. zones names the settings' zones in order.
func NewReportBuilder(now int64, peer, place string, serial uint64, list int64, zones []string) *ReportBuilder {
	return &ReportBuilder{Header: ReportHeader{Peer: peer, Locality: place, Serial: serial, ListVersion: list}, zones: zones, began: now, list: list}
}

// AddObservation takes one belief in; the fleet's comes first.
func (t *ReportBuilder) AddObservation(b balancer.Observation) {
	switch b.Scope {
	case balancer.ScopeFleet:
		t.usual = b.ShortWindow.Mean
		t.Header.AnswerCount = uint32(scaled(b.ShortWindow.Weight, countScale, math.MaxInt32))
		t.Header.FleetLatency = uint32(scaled(math.Exp(b.ShortWindow.Mean), 1, math.MaxInt32))
		if b.LongWindow.Mean > 0 {
			t.Header.MinLatency = uint32(scaled(math.Exp(b.LongWindow.Mean), 1, math.MaxInt32))
		}
	case balancer.ScopeZone:
		if b.Zone < len(t.zones) && len(t.Header.Zones) < MaxZones {
			t.Header.Zones = append(t.Header.Zones, ZoneObservation{
				Name:    t.zones[b.Zone],
				Samples: uint16(scaled(b.ShortWindow.Weight, countScale, math.MaxUint16)), LogSlowdown: t.slower(b.ShortWindow),
			})
		}
	case balancer.ScopeReplica:
		if len(t.Observations) >= MaxHosts {
			return
		}
		n := Observation{
			HostID: b.Replica, ZoneIndex: uint8(min(b.Zone, MaxZones)), StartedMs: uint64(max(0, b.ReplicaStart) / tenthsPerMs),
			ShortSamples: uint16(scaled(b.ShortWindow.Weight, countScale, math.MaxUint16)), ShortLogSlowdown: t.slower(b.ShortWindow),
			LongSamples: uint16(scaled(b.LongWindow.Weight, countScale, math.MaxUint16)), LongLogSlowdown: t.slower(b.LongWindow),
			ConsecutiveFailures: uint8(min(b.ConsecutiveFailures, math.MaxUint8)), ConnectFailures: uint8(min(b.ConsecutiveConnectFailures, math.MaxUint8)),
			UnansweredRequests: uint8(min(b.UnansweredRequests, math.MaxUint8)),
			SilentMs:           uint32(min(b.SilentFor/tenthsPerMs, math.MaxUint32-1)), AgeMs: NeverAnswered, IsOutlier: b.Outlier,
		}
		if b.LastAnswerAge >= 0 {
			n.AgeMs = uint32(min(b.LastAnswerAge/tenthsPerMs, math.MaxUint32-1))
		}
		t.Observations = append(t.Observations, n)
	}
}

// ListChanged tells whether the list has changed since the first slice: the report is then begun again.
func (t *ReportBuilder) ListChanged(list int64) bool { return t.list != list }

// AgeAt is how long ago the report was begun.
func (t *ReportBuilder) AgeAt(now int64) int64 { return max(0, now-t.began) }

// HeaderAt is the head as it is sent at a time.
func (t *ReportBuilder) HeaderAt(now int64) ReportHeader {
	h := t.Header
	h.AgeMs, h.HostCount = uint32(min(t.AgeAt(now)/tenthsPerMs, math.MaxUint32)), uint32(len(t.Observations))
	return h
}

func (t *ReportBuilder) slower(m balancer.DecayingMean) int16 {
	if m.Weight == 0 {
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

// Validate looks at a head that came from outside.
func (h *ReportHeader) Validate() error {
	switch {
	case !fits(h.Peer) || len(h.Locality) > MaxNameBytes:
		return fmt.Errorf("peer %.40q, place %.40q", h.Peer, h.Locality)
	case h.HostCount > MaxHosts:
		return fmt.Errorf("%d hosts, %d at the most", h.HostCount, MaxHosts)
	case len(h.Zones) > MaxZones:
		return fmt.Errorf("%d zones, %d at the most", len(h.Zones), MaxZones)
	case h.ListVersion < 0:
		return errors.New("a list's version under 0")
	}
	for i := range h.Zones {
		if !fits(h.Zones[i].Name) {
			return fmt.Errorf("zone %.40q", h.Zones[i].Name)
		}
	}
	return nil
}

// Validate looks at a note that came from outside.
func (n *Observation) Validate() error {
	if !fits(n.HostID) {
		return fmt.Errorf("host %.40q", n.HostID)
	}
	return nil
}

func fits(name string) bool {
	for i := 0; i < len(name); i++ {
		if name[i] <= ' ' || name[i] == 127 {
			return false
		}
	}
	return name != "" && len(name) <= MaxNameBytes
}
