package peerreport

import (
	"math"

	"chalkring/balancer"
)

// ReportBuilder makes a report from the balancer's own observations, which are added in chunks over several iterations
// of the event loop.
type ReportBuilder struct {
	Header       ReportHeader
	Observations []Observation

	fleetLogLatency float64  // mean logarithm of the fleet's answer times, which slowdowns are relative to
	zoneNames       []string // by the balancer's zone index
	startedAt       int64
	listVersion     int64
}

// NewReportBuilder starts a report of a peer in a locality. zoneNames are the zones in the order of the settings.
func NewReportBuilder(now int64, peer, locality string, serial uint64, listVersion int64, zoneNames []string) *ReportBuilder {
	return &ReportBuilder{
		Header:    ReportHeader{Peer: peer, Locality: locality, Serial: serial, ListVersion: listVersion},
		zoneNames: zoneNames, startedAt: now, listVersion: listVersion,
	}
}

// AddObservation adds one observation of the balancer. The fleet's must come first, since the others are reported
// relative to it. Hosts beyond MaxHosts and zones beyond MaxZones are left out.
func (b *ReportBuilder) AddObservation(o balancer.Observation) {
	switch o.Scope {
	case balancer.ScopeFleet:
		b.addFleet(o)
	case balancer.ScopeZone:
		b.addZone(o)
	case balancer.ScopeReplica:
		b.addHost(o)
	}
}

func (b *ReportBuilder) addFleet(o balancer.Observation) {
	b.fleetLogLatency = o.ShortWindow.Mean
	b.Header.AnswerCount = uint32(quantize(o.ShortWindow.Weight, countScale, math.MaxInt32))
	b.Header.FleetLatency = uint32(quantize(math.Exp(o.ShortWindow.Mean), 1, math.MaxInt32))
	if o.LongWindow.Mean > 0 {
		b.Header.MinLatency = uint32(quantize(math.Exp(o.LongWindow.Mean), 1, math.MaxInt32))
	}
}

func (b *ReportBuilder) addZone(o balancer.Observation) {
	if o.Zone >= len(b.zoneNames) || len(b.Header.Zones) >= MaxZones {
		return
	}
	b.Header.Zones = append(b.Header.Zones, ZoneObservation{
		Name: b.zoneNames[o.Zone], Samples: sampleCount(o.ShortWindow), LogSlowdown: b.logSlowdown(o.ShortWindow),
	})
}

func (b *ReportBuilder) addHost(o balancer.Observation) {
	if len(b.Observations) >= MaxHosts {
		return
	}
	observation := Observation{
		HostID:              o.Replica,
		ZoneIndex:           uint8(min(o.Zone, MaxZones)),
		StartedMs:           uint64(max(0, o.ReplicaStart) / tenthsPerMs),
		ShortSamples:        sampleCount(o.ShortWindow),
		LongSamples:         sampleCount(o.LongWindow),
		ShortLogSlowdown:    b.logSlowdown(o.ShortWindow),
		LongLogSlowdown:     b.logSlowdown(o.LongWindow),
		ConsecutiveFailures: uint8(min(o.ConsecutiveFailures, math.MaxUint8)),
		ConnectFailures:     uint8(min(o.ConsecutiveConnectFailures, math.MaxUint8)),
		UnansweredRequests:  uint8(min(o.UnansweredRequests, math.MaxUint8)),
		SilentMs:            uint32(min(o.SilentFor/tenthsPerMs, NeverAnswered-1)),
		AgeMs:               NeverAnswered,
		IsOutlier:           o.Outlier,
	}
	if o.LastAnswerAge >= 0 {
		observation.AgeMs = uint32(min(o.LastAnswerAge/tenthsPerMs, NeverAnswered-1))
	}
	b.Observations = append(b.Observations, observation)
}

// ListChanged reports whether the endpoint list has changed since the report was started. The report then mixes two
// lists and should be restarted.
func (b *ReportBuilder) ListChanged(listVersion int64) bool { return b.listVersion != listVersion }

// AgeAt returns how long before now the report was started.
func (b *ReportBuilder) AgeAt(now int64) int64 { return max(0, now-b.startedAt) }

// HeaderAt returns the header of a report that is sent at now.
func (b *ReportBuilder) HeaderAt(now int64) ReportHeader {
	header := b.Header
	header.AgeMs = uint32(min(b.AgeAt(now)/tenthsPerMs, math.MaxUint32))
	header.HostCount = uint32(len(b.Observations))
	return header
}

// logSlowdown returns how much a mean exceeds the fleet's. A peer under overload sees all hosts as slow, but not relative
// to its fleet latency, so it reports none of them as slow.
func (b *ReportBuilder) logSlowdown(mean balancer.DecayingMean) int16 {
	if mean.Weight == 0 {
		return 0
	}
	return int16(quantize(mean.Mean-b.fleetLogLatency, logScale, math.MaxInt16))
}

func sampleCount(mean balancer.DecayingMean) uint16 {
	return uint16(quantize(mean.Weight, countScale, math.MaxUint16))
}

// quantize returns value as a number of steps of 1/scale, rounded and clamped to the range -limit to limit; 0 for NaN.
func quantize(value, scale, limit float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return max(-limit, min(limit, math.Round(value*scale)))
}
