package balancer

import (
	"math"
)

const (
	slotsPerReplica       = 4    // parts in flight for each listed replica: the design's starting value
	toleratedLatencyRatio = 2.0  // present / shortest answer time at which the cap begins to shrink: ordinary queueing
	replicaLimitFactor    = 2    // times a replica's part of the slots that it may hold itself: ordinary unevenness
	minLimitShare         = 0.25 // smallest slot cap, of the start: one part a replica keeps every replica measured
	minLimitPerReplica    = 3.0  // parts a replica that the least caps of all together allow: they keep it busy
	overloadLoadFactor    = 0.8  // ease under which the cap comes down to parts in flight: above them it limits nothing
)

// effectiveInFlight counts own parts out but silent ones and those at suspects: silence must not stop the others.
func (b *balancer) effectiveInFlight() int {
	return b.flights.count(b.now, b.silenceThreshold(), b.isOutlier)
}

func (b *balancer) isAtLimit() bool {
	slots := b.concurrencyLimit()
	return b.flights.total >= slots && b.effectiveInFlight() >= slots
}

// concurrencyLimit is the cap of parts in flight: the design's value, less while answers take longer than they can.
func (b *balancer) concurrencyLimit() int {
	n := float64(slotsPerReplica * b.listed)
	least := min(minLimitShare*n, minLimitPerReplica*float64(b.listed)/b.settings.number("Balancers"))
	b.limit = max(1, least, min(n, b.limit))
	return int(b.limit)
}

// loadFactor is 1 while answers take less than toleratedLatencyRatio times the shortest, and falls as they take longer.
func (b *balancer) loadFactor() float64 {
	return min(1, toleratedLatencyRatio*b.shortestLatency()/b.fleetLatency())
}

// adjustLimit moves the cap at each answer: down by how far shortest / present answer time falls short of
// 1/toleratedLatencyRatio, up by a little, so that it settles where parts no longer wait long at the replicas.
func (b *balancer) adjustLimit() {
	ease := b.loadFactor()
	if b.limit += ease - 1 + 1/math.Sqrt(b.limit); ease < overloadLoadFactor && b.hasThinEvidence() {
		b.limit = min(b.limit, float64(max(b.longest, b.effectiveInFlight())))
	}
	b.concurrencyLimit()
}

// belowReplicaLimit guards against piling up on the one sound holder of a shard: a replica's own part of the slots
// shrinks with its answers as the cap does with all answers. Parts beyond it stand aside, as do searches that
// need them. With all its parts silent one more may go: it shows whether it is slow or a connection was lost.
func (b *balancer) belowReplicaLimit(r *replica) bool {
	best, n := b.shortestLatency(), len(r.attempts)
	if n == 0 || b.isGossipedOutlier(r) {
		return n == 0
	}
	share := min(1, toleratedLatencyRatio*best/(b.fleetLatency()*b.slowness(r)))
	return float64(n) < max(1, replicaLimitFactor*slotsPerReplica*share) ||
		float64(b.now-r.attempts[n-1].sentAt) > b.silenceThreshold()
}
