package peerreport

const (
	// reportLifetime is the age at which a report is dropped: most faults have passed by then.
	reportLifetime = 30 * second
	// repeatedReportSlack bounds the correction of a report's date when the peer sends the same report again; see
	// BeginReport. A peer sends the same snapshot for at most half a second.
	repeatedReportSlack = second
	// A peer is taken to be at fault itself if it reports at least selfFaultMinHosts hosts, and more than selfFaultShare
	// of them as outliers.
	selfFaultShare    = 0.5
	selfFaultMinHosts = 4
	// maxInvalidatedHosts bounds the hosts remembered by InvalidateHost; beyond it the oldest is forgotten.
	maxInvalidatedHosts = 4096
)

// ReportStore keeps the last report of each peer and combines them; see Combine. A report is received in parts and
// replaces the peer's previous one only when it is complete. A ReportStore is not safe for concurrent use.
type ReportStore struct {
	locality  string
	zones     map[string]int     // index of each zone in the settings, by name
	reports   map[string]*report // complete reports, by peer
	receiving map[string]*report // reports being received, by peer

	invalidatedAt    map[string]int64 // by host: observations of it taken up to this time are ignored
	invalidatedOrder []string         // hosts in invalidatedAt, in the order in which they were added

	// Hosts and zones of which Combine has returned observations that it has not retracted yet.
	combinedHosts map[string]bool
	combinedZones map[int]bool
}

type report struct {
	header       ReportHeader
	takenAt      int64 // on this instance's clock; no observation in the report is older
	observations map[string]*Observation
	selfFault    bool // the fault is probably the peer's own, so its outliers are ignored
}

// NewReportStore returns an empty store of an instance in a locality. zoneNames are the zones in the order of the
// settings.
func NewReportStore(locality string, zoneNames []string) *ReportStore {
	s := &ReportStore{
		locality: locality, zones: map[string]int{}, reports: map[string]*report{}, receiving: map[string]*report{},
		invalidatedAt: map[string]int64{}, combinedHosts: map[string]bool{}, combinedZones: map[int]bool{},
	}
	for i, name := range zoneNames {
		s.zones[name] = i
	}
	return s
}

// BeginReport starts receiving a report. polledAt is when the peer was polled; the date of the report is that time less
// the age that the peer states. A report with the serial of the previous one is the same report sent again: if its date is
// later than the previous date, it is moved back to it, by at most repeatedReportSlack.
//
// It returns an InvalidReportError or ErrTooManyPeers.
func (s *ReportStore) BeginReport(polledAt int64, header ReportHeader) error {
	if err := header.Validate(); err != nil {
		return err
	}
	previous := s.reports[header.Peer]
	if previous == nil && len(s.reports)+len(s.receiving) >= MaxPeers {
		return ErrTooManyPeers
	}
	takenAt := polledAt - int64(header.AgeMs)*tenthsPerMs
	if previous != nil && previous.header.Serial == header.Serial {
		takenAt = min(takenAt, max(previous.takenAt, takenAt-repeatedReportSlack))
	}
	s.receiving[header.Peer] = &report{header: header, takenAt: takenAt, observations: map[string]*Observation{}}
	return nil
}

// AddObservations adds observations to the report that is being received from a peer. Of several observations of one host
// the last counts. It returns an InvalidReportError.
func (s *ReportStore) AddObservations(peer string, observations []Observation) error {
	received := s.receiving[peer]
	if received == nil {
		return invalidReport("observations from peer %.40q before a report header", peer)
	}
	for _, observation := range observations {
		if err := observation.Validate(); err != nil {
			return err
		}
		received.observations[observation.HostID] = &observation
		if len(received.observations) > int(received.header.HostCount) {
			return invalidReport("more hosts than the %d that the header announces", received.header.HostCount)
		}
	}
	return nil
}

// CompleteReport ends the report that is being received from a peer. It replaces the peer's previous one.
func (s *ReportStore) CompleteReport(peer string) {
	received := s.receiving[peer]
	if received == nil {
		return
	}
	delete(s.receiving, peer)
	received.selfFault = isSelfFault(received.observations)
	s.reports[peer] = received
}

// isSelfFault reports whether a peer reports so many hosts as outliers that the fault is more likely its own.
func isSelfFault(observations map[string]*Observation) bool {
	outliers := 0
	for _, observation := range observations {
		if observation.IsOutlier {
			outliers++
		}
	}
	hosts := len(observations)
	return hosts >= selfFaultMinHosts && float64(outliers) > selfFaultShare*float64(hosts)
}

// AbortReport drops the incomplete report of a peer. The peer's previous report stays in use.
func (s *ReportStore) AbortReport(peer string) { delete(s.receiving, peer) }

// InvalidateHost records that a host has changed its address, has left or has come back: observations taken before now
// are of another machine and are ignored.
func (s *ReportStore) InvalidateHost(now int64, host string) {
	if _, known := s.invalidatedAt[host]; !known {
		s.invalidatedOrder = append(s.invalidatedOrder, host)
	}
	s.invalidatedAt[host] = now
	if len(s.invalidatedOrder) > maxInvalidatedHosts {
		s.forgetOldestInvalidated()
	}
}

func (s *ReportStore) forgetOldestInvalidated() {
	delete(s.invalidatedAt, s.invalidatedOrder[0])
	s.invalidatedOrder = s.invalidatedOrder[1:]
}

// ExpireReports drops the reports that are older than reportLifetime. left tells whether any remain.
func (s *ReportStore) ExpireReports(now int64) (left bool) {
	for peer, r := range s.reports {
		if now-r.takenAt > reportLifetime {
			delete(s.reports, peer)
		}
	}
	for len(s.invalidatedOrder) > 0 && now-s.invalidatedAt[s.invalidatedOrder[0]] > 2*reportLifetime {
		s.forgetOldestInvalidated()
	}
	return len(s.reports) > 0
}

// ReportCount returns the number of peers whose reports are in use.
func (s *ReportStore) ReportCount() int { return len(s.reports) }

// observationOf returns a report's observation of a host that started at startMs; nil if it has none, or if its
// observation is of an earlier or later process or machine.
func (s *ReportStore) observationOf(r *report, host string, startMs int64) *Observation {
	observation := r.observations[host]
	if observation == nil || int64(observation.StartedMs) != startMs {
		return nil
	}
	if invalidatedAt, known := s.invalidatedAt[host]; known && r.takenAt <= invalidatedAt {
		return nil
	}
	return observation
}

// zoneLatency returns the part of an observation's slowdown that is the latency between the peer's locality and the
// host's zone. It is 0 for peers in this instance's locality, since that latency is the same for this instance.
func (s *ReportStore) zoneLatency(r *report, observation *Observation) float64 {
	if r.header.Locality == s.locality || int(observation.ZoneIndex) >= len(r.header.Zones) {
		return 0
	}
	return max(0, float64(r.header.Zones[observation.ZoneIndex].LogSlowdown)/logScale)
}
