// Package peerreport decides how instances use each other's load reports: what a report contains, how several reports
// are combined, how much each weighs, when one expires, which peers to poll and which to answer.
//
// It has no I/O and no clock. Callers pass the time, in tenths of a millisecond of this instance's own clock. Instances
// send each other only ages, so no peer's clock has an influence. docs/peer-reports.md compares the alternatives.
//
// A ReportBuilder makes a report from the balancer's own observations. A ReportStore keeps the reports of others and
// combines them. A Poller decides when to poll which peer, and an Admission which peer to answer. None of them is safe
// for concurrent use.
package peerreport

import "math"

const (
	second      = 10_000 // tenths of a millisecond
	tenthsPerMs = 10
)

// Bounds of a report. They limit the memory that a peer can make this instance use.
const (
	MaxPeers             = 16     // peers that may be named in the installation file, and reports kept
	MaxHosts             = 20_000 // observations in a report: twice the largest endpoint list expected
	MaxZones             = 64     // zones in a report
	MaxNameBytes         = 128    // length of a host's, a zone's or a peer's name, as in the endpoint list
	MaxChunkObservations = 512    // observations in a chunk, handled in one iteration of the event loop: takes well under 1 ms
)

// Fixed-point scales of the numbers in a report. They are part of the wire format.
const (
	logScale   = 1000 // steps per unit of a natural logarithm: one step is 0.1%
	countScale = 8    // steps per sample of a decayed count
)

// NeverAnswered is the AgeMs of a host that has never answered the reporting peer.
const NeverAnswered = math.MaxUint32

// ReportHeader opens a report. It holds the peer's observations of the fleet as a whole. It is sent as a CBOR array: the
// order of the fields is part of the wire format.
type ReportHeader struct {
	_            struct{} `cbor:",toarray"`
	Peer         string   // the reporting peer's name
	Locality     string   // where the peer runs: latency to a zone differs between localities
	Serial       uint64   // counts the reports since the peer started
	ListVersion  int64    // version of the peer's endpoint list
	AgeMs        uint32   // milliseconds since the first observation was taken
	AnswerCount  uint32   // decayed count of answers, in eighths
	FleetLatency uint32   // typical answer time of the fleet in tenths of a millisecond
	MinLatency   uint32   // shortest answer time, in the same unit; 0 if unknown
	HostCount    uint32   // observations that follow
	Zones        []ZoneObservation
}

// ZoneObservation is the latency to one zone as a peer has observed it. It is sent as a CBOR array.
type ZoneObservation struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Samples     uint16 // decayed count of answers, in eighths
	LogSlowdown int16  // mean logarithm of the answer time, less the fleet's, in thousandths
}

// Observation holds a peer's own observations of one host; what it has learned from other peers is not passed on. It is
// sent as a CBOR array.
type Observation struct {
	_                                 struct{} `cbor:",toarray"`
	HostID                            string
	ZoneIndex                         uint8  // index into ReportHeader.Zones
	StartedMs                         uint64 // start of the host according to the peer's endpoint list, Unix ms; 0 for long ago
	ShortSamples                      uint16 // decayed counts of answers in the two windows, in eighths
	LongSamples                       uint16
	ShortLogSlowdown, LongLogSlowdown int16 // mean logarithms of answer times, less the fleet's, in thousandths
	ConsecutiveFailures               uint8
	ConnectFailures                   uint8
	UnansweredRequests                uint8
	SilentMs                          uint32 // for how long those requests have been unanswered
	AgeMs                             uint32 // milliseconds since the host's last answer, or NeverAnswered
	IsOutlier                         bool   // the peer treats the host as an outlier
}

// Validate checks a header that a peer has sent. It returns an InvalidReportError.
func (h *ReportHeader) Validate() error {
	switch {
	case !isValidName(h.Peer) || len(h.Locality) > MaxNameBytes:
		return invalidReport("peer name %.40q is invalid or locality %.40q is too long", h.Peer, h.Locality)
	case h.HostCount > MaxHosts:
		return invalidReport("%d hosts, at most %d are allowed", h.HostCount, MaxHosts)
	case len(h.Zones) > MaxZones:
		return invalidReport("%d zones, at most %d are allowed", len(h.Zones), MaxZones)
	case h.ListVersion < 0:
		return invalidReport("endpoint list version %d is negative", h.ListVersion)
	}
	for i := range h.Zones {
		if !isValidName(h.Zones[i].Name) {
			return invalidReport("zone name %.40q is empty, too long or contains blanks or control characters", h.Zones[i].Name)
		}
	}
	return nil
}

// Validate checks an observation that a peer has sent. It returns an InvalidReportError.
func (o *Observation) Validate() error {
	if !isValidName(o.HostID) {
		return invalidReport("host ID %.40q is empty, too long or contains blanks or control characters", o.HostID)
	}
	return nil
}

// isValidName reports whether name is neither empty nor too long and has no blanks or ASCII control characters.
func isValidName(name string) bool {
	const del = 127
	for i := range len(name) {
		if name[i] <= ' ' || name[i] == del {
			return false
		}
	}
	return name != "" && len(name) <= MaxNameBytes
}
