package balancer

import (
	"math"
)

const (
	zoneDegradedRatio = 1.6 // answer time of a zone over the quickest's that makes its way slow: load seldom does
)

// isZoneDegraded guards against a slow or lossy way to a zone, or a zone slow as a whole: its answers take far longer
// than the quickest zone's. One replica shows too little, and it is not its fault: such replicas are no
// suspects, they come after the others. Harm: a zone slow from own load alone is spared by crossing.
func (b *balancer) isZoneDegraded(zone int) bool {
	if len(b.ways) < 2 {
		return false
	}
	own, least := 0.0, math.Inf(1)
	b.fleetLatency()
	for i := range b.ways {
		n, total := b.ways[i].latency.read(b.now, shortWindow)
		more, slower := b.gossipedSum(b.ways[i].gossiped, shortWindow, n)
		mean := (total + slower + (more+priorWeight)*b.usualLog) / (n + more + priorWeight)
		if least = min(least, mean); i == zone {
			own = mean
		}
	}
	return own-least > math.Log(zoneDegradedRatio)
}

// zoneLatency is what own answers show of a zone.
type zoneLatency struct {
	latency   decayingSum // logarithms of answer times
	gossiped  gossipedLatency
	nextTrial int64
}
