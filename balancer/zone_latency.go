package balancer

import "math"

// zoneDegradedRatio is the ratio of a zone's latency to that of the fastest zone from which the zone is degraded: load
// rarely causes this much.
const zoneDegradedRatio = 1.6

// zoneLatency holds what answers from a zone have shown: logarithms of answer times; hedged attempts count with their
// age.
type zoneLatency struct {
	latency   decayingSum
	gossiped  gossipedLatency
	nextProbe int64 // when a request that can be spared may be sent there again while the zone is degraded
}

// isZoneDegraded tells whether a zone's answers take far longer than those of the fastest zone: the network to it is
// slow or loses packets, or the zone as a whole is slow. The latency of a single replica would be too weak a sign of
// that. The replicas of such a zone are not at fault, so they are not outliers, but are chosen after the others. If a
// zone is slow only because of its own load, this sends its load to other zones.
func (b *balancer) isZoneDegraded(zone int) bool {
	if len(b.zones) < 2 {
		return false
	}
	zoneMean, fastestMean := 0.0, math.Inf(1)
	logFleet := b.latency.logFleetLatency(b.now)
	for i := range b.zones {
		count, total := b.zones[i].latency.read(b.now, shortWindow)
		gossiped, excess := b.zones[i].gossiped.contribution(b.now, shortWindow, count)
		mean := (total + excess + (gossiped+priorWeight)*logFleet) / (count + gossiped + priorWeight)
		fastestMean = min(fastestMean, mean)
		if i == zone {
			zoneMean = mean
		}
	}
	return zoneMean-fastestMean > math.Log(zoneDegradedRatio)
}
