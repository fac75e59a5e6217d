package balancer

import "math"

const (
	// slotsPerReplica is the number of attempts in flight for each listed replica: the design's starting value.
	slotsPerReplica = 4
	// toleratedLatencyRatio is the fleet latency over the shortest one at which the limit begins to shrink: up to there it
	// is ordinary queueing.
	toleratedLatencyRatio = 2.0
	// replicaLimitFactor is the multiple of its share of the slots that one replica may hold: ordinary unevenness.
	replicaLimitFactor = 2
	// minLimitShare is the smallest limit, as a share of the starting value: with one attempt a replica every replica is
	// still measured.
	minLimitShare = 0.25
	// minLimitPerReplica is the number of attempts per replica that the smallest limits of all coordinators together allow:
	// so many keep a replica busy.
	minLimitPerReplica = 3.0
	// overloadLoadFactor is the load factor under which the replicas are overloaded as a whole: with thin evidence the limit
	// comes down to what is in flight then, since above that it limits nothing.
	overloadLoadFactor = 0.8
)

// concurrencyLimiter bounds the attempts in flight by the latency gradient: while answers take longer than they could, the
// limit falls to where requests no longer wait long at the replicas. It handles overload of the replicas by all
// coordinators together, and covers whatever else slows all of them. Searches that have become heavier lower it too, though
// the replicas could take more.
type concurrencyLimiter struct {
	limit         float64
	largestSearch int // most shard requests of a search so far
}

// bounded keeps the limit within its bounds and returns it.
func (l *concurrencyLimiter) bounded(replicas int, balancers float64) int {
	highest := float64(slotsPerReplica * replicas)
	lowest := min(minLimitShare*highest, minLimitPerReplica*float64(replicas)/balancers)
	l.limit = max(1, lowest, min(highest, l.limit))
	return int(l.limit)
}

// adjust moves the limit with one answer: down by how far the load factor falls short of 1, and up by a little, so that it
// keeps looking for more.
func (l *concurrencyLimiter) adjust(loadFactor float64) {
	l.limit += loadFactor - 1 + 1/math.Sqrt(l.limit)
}

// lower brings the limit down to a number of attempts, but for those of one search.
func (l *concurrencyLimiter) lower(attempts int) {
	l.limit = min(l.limit, float64(max(l.largestSearch, attempts)))
}

// concurrencyLimit is the number of attempts that may be in flight.
func (b *balancer) concurrencyLimit() int {
	return b.limiter.bounded(b.endpoints.count(), b.settings.number(settingBalancers))
}

// loadFactor is 1 while the fleet latency is under toleratedLatencyRatio times the shortest, and falls as it rises.
func (b *balancer) loadFactor() float64 {
	return min(1, toleratedLatencyRatio*b.latency.shortestLatency(b.now)/b.latency.fleetLatency(b.now))
}

func (b *balancer) adjustLimit() {
	loadFactor := b.loadFactor()
	b.limiter.adjust(loadFactor)
	if loadFactor < overloadLoadFactor && b.hasThinEvidence() {
		b.limiter.lower(b.effectiveInFlight())
	}
	b.concurrencyLimit()
}

// effectiveInFlight counts the attempts in flight except silent ones and those at outliers: what a hung replica or a lossy
// network holds must not stop the requests to other replicas.
func (b *balancer) effectiveInFlight() int {
	return b.inflight.count(b.now, b.silenceThreshold(), b.isOutlier)
}

func (b *balancer) isAtLimit() bool {
	limit := b.concurrencyLimit()
	return b.inflight.total >= limit && b.effectiveInFlight() >= limit
}

// isBelowReplicaLimit tells whether a replica may take one more attempt. Without a limit of its own, the one healthy holder
// of a shard would take every slot; the limit shrinks with the replica's answers as the limit of all does with all answers.
// Requests beyond it stand aside, as do searches that need them. Where all attempts at a replica are silent one more may
// go: it shows whether the replica is slow or a connection was lost. A replica that only gossip calls an outlier may have
// one attempt. A replica that is slow by its hardware alone may hold fewer attempts too.
func (b *balancer) isBelowReplicaLimit(r *replica) bool {
	shortest, inFlight := b.latency.shortestLatency(b.now), len(r.attempts)
	if inFlight == 0 || b.isGossipedOutlier(r) {
		return inFlight == 0
	}
	loadFactor := min(1, toleratedLatencyRatio*shortest/(b.latency.fleetLatency(b.now)*b.slowness(r)))
	if float64(inFlight) < max(1, replicaLimitFactor*slotsPerReplica*loadFactor) {
		return true
	}
	youngest := r.attempts[inFlight-1]
	return float64(b.now-youngest.sentAt) > b.silenceThreshold()
}
