package balancer

import "math"

const (
	// slotsPerReplica is the number of attempts in flight per listed replica that the limit starts with, as in the
	// design, and never exceeds.
	slotsPerReplica = 4
	// toleratedLatencyRatio is the ratio of the fleet latency to the shortest fleet latency above which the limit
	// begins to shrink: up to this ratio it is ordinary queueing.
	toleratedLatencyRatio = 2.0
	// replicaLimitFactor is how many times its even share of the slots one replica may hold: this much unevenness is
	// normal.
	replicaLimitFactor = 2
	// minLimitShare is the smallest limit as a share of the starting value: it leaves one attempt per replica, so that
	// every replica is still measured.
	minLimitShare = 0.25
	// minLimitPerReplica is the number of attempts per replica that the smallest limits of all coordinators add up to:
	// this many keep a replica busy.
	minLimitPerReplica = 3.0
	// overloadGradient is the latency gradient below which the replicas as a whole count as overloaded. While answers
	// are sparse, the limit is then lowered to the number of attempts in flight, because a higher limit would have no
	// effect.
	overloadGradient = 0.8
)

// concurrencyLimiter bounds the attempts in flight by the latency gradient: while answers take longer than necessary,
// the limit falls until requests no longer queue for long at the replicas. It handles overload of the replicas by all
// coordinators together, and anything else that slows all of them down. Searches that have become more expensive also
// lower it, although the replicas could take more.
type concurrencyLimiter struct {
	limit         float64
	largestSearch int // largest number of shard requests of a search so far
}

// clamp keeps the limit within its bounds and returns it.
func (l *concurrencyLimiter) clamp(replicas int, balancers float64) int {
	highest := float64(slotsPerReplica * replicas)
	lowest := min(minLimitShare*highest, minLimitPerReplica*float64(replicas)/balancers)
	l.limit = max(1, lowest, min(highest, l.limit))
	return int(l.limit)
}

// adjust updates the limit for one answer: down by how far the latency gradient is below 1, and up by a little, so that
// it keeps probing for a higher limit.
func (l *concurrencyLimiter) adjust(latencyGradient float64) {
	l.limit += latencyGradient - 1 + 1/math.Sqrt(l.limit)
}

// lowerTo lowers the limit to a number of attempts, but not below the size of the largest search.
func (l *concurrencyLimiter) lowerTo(attempts int) {
	l.limit = min(l.limit, float64(max(l.largestSearch, attempts)))
}

// concurrencyLimit returns the number of attempts that may be in flight.
func (b *balancer) concurrencyLimit() int {
	return b.limiter.clamp(b.endpoints.count(), b.settings.number(settingBalancers))
}

// latencyGradient is 1 while the fleet latency is below toleratedLatencyRatio times the shortest, and falls towards 0
// as the fleet latency rises.
func (b *balancer) latencyGradient() float64 {
	return min(1, toleratedLatencyRatio*b.latency.shortestLatency(b.now)/b.latency.fleetLatency(b.now))
}

func (b *balancer) adjustLimit() {
	gradient := b.latencyGradient()
	b.limiter.adjust(gradient)
	if gradient < overloadGradient && b.hasSparseAnswers() {
		b.limiter.lowerTo(b.effectiveInFlight())
	}
	b.concurrencyLimit()
}

// effectiveInFlight counts the attempts in flight except silent ones and those at outliers: attempts that hang at a
// replica or in a lossy network must not block requests to other replicas.
func (b *balancer) effectiveInFlight() int {
	return b.inflight.count(b.now, b.silenceThreshold(), b.isOutlier)
}

func (b *balancer) isAtLimit() bool {
	limit := b.concurrencyLimit()
	return b.inflight.total >= limit && b.effectiveInFlight() >= limit
}

// isBelowReplicaLimit tells whether a replica may take one more attempt. Without a limit per replica, the only healthy
// holder of a shard would take every slot. The limit shrinks with the latency of the replica's own answers, as the
// overall limit does with that of all answers. Requests over the limit are parked, and so are searches that need them.
// If all attempts at a replica are silent, one more may be sent: it shows whether the replica is slow or a connection
// was lost. A replica that only gossip calls an outlier may have one attempt. A replica that is slow only because of
// its hardware may also be held to fewer attempts.
func (b *balancer) isBelowReplicaLimit(r *replica) bool {
	shortest, inFlight := b.latency.shortestLatency(b.now), len(r.attempts)
	if inFlight == 0 || b.isGossipedOutlier(r) {
		return inFlight == 0
	}
	gradient := min(1, toleratedLatencyRatio*shortest/(b.latency.fleetLatency(b.now)*b.slowness(r)))
	if float64(inFlight) < max(1, replicaLimitFactor*slotsPerReplica*gradient) {
		return true
	}
	youngest := r.attempts[inFlight-1]
	return float64(b.now-youngest.sentAt) > b.silenceThreshold()
}
