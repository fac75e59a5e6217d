package balancer

import "math"

// zoneDegradedRatio is the latency of a zone over the quickest zone's from which it is degraded: load seldom makes as much.
const zoneDegradedRatio = 1.6

// zoneLatency is what answers from a zone have shown: logarithms of answer times, hedged attempts counted by their age.
type zoneLatency struct {
	latency   decayingSum
	gossiped  gossipedLatency
	nextProbe int64 // when a request that can be spared may go there again, while it is degraded
}

// isZoneDegraded tells whether a zone's answers take far longer than the quickest zone's: the network to it is slow or
// loses packets, or the zone is slow as a whole. A single replica shows too little of that, and it is not its fault: the
// replicas of such a zone are no outliers, but come after the others. Where a zone is slow from its own load alone, this
// sends its load across zones.
func (b *balancer) isZoneDegraded(zone int) bool {
	if len(b.zones) < 2 {
		return false
	}
	ofZone, quickest := 0.0, math.Inf(1)
	logFleet := b.latency.logFleetLatency(b.now)
	for i := range b.zones {
		count, total := b.zones[i].latency.read(b.now, shortWindow)
		gossiped, excess := b.zones[i].gossiped.contribution(b.now, shortWindow, count)
		mean := (total + excess + (gossiped+priorWeight)*logFleet) / (count + gossiped + priorWeight)
		quickest = min(quickest, mean)
		if i == zone {
			ofZone = mean
		}
	}
	return ofZone-quickest > math.Log(zoneDegradedRatio)
}
