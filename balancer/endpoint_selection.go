package balancer

import (
	"math"
	"slices"
)

const (
	// tieRandomShare is how much of a replica's past latency is random when equally loaded replicas are compared: this
	// way a replica that has recovered is used again.
	tieRandomShare = 0.25
	// sampleThreshold is the number of holders of a shard above which a random sample is examined first: it bounds the
	// time of an iteration.
	sampleThreshold = 64
	// sampleSize is the size of that sample: if half of all holders are idle, the chance that none of 16 is idle is 1
	// in 65,000.
	sampleSize = 16

	// Penalties added to the load of replicas that are to be chosen after others. Each is larger than anything the
	// smaller ones can add up to.
	alreadySentPenalty = 1e4 // the request was already sent to it
	degradedPenalty    = 1e5 // its zone is degraded, or it is an outlier by gossip or own evidence
	outlierPenalty     = 1e6 // it is an outlier by own evidence
	// probeLoad puts a replica ahead of all others, for a probe attempt.
	probeLoad = -1
)

// hasCapacity tells whether a replica, outlier or not, may take a request now.
func (b *balancer) hasCapacity(r *replica, request *shardRequest) bool {
	return b.isBelowReplicaLimit(r) && b.hasSlowStartCredit(r) &&
		!slices.ContainsFunc(request.attempts, func(a *attempt) bool { return a.replica == r && !a.ended })
}

// isTooLateToSend tells whether an answer could no longer arrive in time: the attempt would still be running when the
// final answer goes out.
func (b *balancer) isTooLateToSend(request *shardRequest) bool {
	return float64(request.search.deadline-b.now) < b.latency.shortest
}

// canSend tells whether some replica may take a request now. If there are many holders, they are only checked, not
// compared.
func (b *balancer) canSend(request *shardRequest) bool {
	holders := b.holders(request)
	if len(holders) <= sampleThreshold {
		return b.selectReplica(request) != nil
	}
	if b.sending.withoutCapacity[request.holdersKey()] || b.isTooLateToSend(request) {
		return false
	}
	hasHealthy, mayProbe, hasOutlier := false, false, false
	for _, r := range holders {
		isOutlier := b.isOutlier(r)
		hasHealthy = hasHealthy || !isOutlier
		if !b.hasCapacity(r, request) {
			continue
		}
		if !isOutlier {
			return true
		}
		hasOutlier, mayProbe = true, mayProbe || b.mayProbe(r, request)
	}
	canSend := mayProbe || hasOutlier && !hasHealthy
	// Cached for this iteration, which bounds its time when thousands of searches wait.
	b.sending.withoutCapacity[request.holdersKey()] = !canSend && len(request.attempts) == 0
	return canSend
}

// selectReplica chooses the replica for a request, or returns nil if none may take it now. It prefers replicas that the
// request was not sent to before, then the one with the fewest batches of this coordinator in flight. Ties are broken
// at random or, while answers are sparse, by past latency. If there are many holders, a sample is examined first: an
// idle replica in it cannot be beaten.
func (b *balancer) selectReplica(request *shardRequest) *replica {
	if b.sending.withoutCapacity[request.holdersKey()] || b.isTooLateToSend(request) {
		return nil
	}
	holders := b.holders(request)
	if count := len(holders); count > sampleThreshold {
		first := b.rng.Intn(count - sampleSize)
		r, load := b.selectAmong(request, holders[first:first+sampleSize])
		if load < 1 && load >= 0 {
			return r
		}
	}
	r, _ := b.selectAmong(request, holders)
	if r == nil && len(request.attempts) == 0 {
		b.sending.withoutCapacity[request.holdersKey()] = true
	}
	return r
}

// selectAmong chooses among some holders of a shard and returns the load of the chosen one. Outliers are used only for
// probe attempts, or if all of these holders are outliers; a healthy holder rules them out even if it has no capacity
// now.
func (b *balancer) selectAmong(request *shardRequest, holders []*replica) (best *replica, lowest float64) {
	lowest = math.Inf(1)
	ties, hasHealthy, hasSparseAnswers := 0, false, b.hasSparseAnswers()
	for _, r := range holders {
		isOutlier := b.isOutlier(r)
		hasHealthy = hasHealthy || !isOutlier
		if !b.hasCapacity(r, request) {
			continue
		}
		if b.now < b.outliers.gossipedUntil && !b.isWarmedUp(r) && b.isDivertedByGossip(request) {
			continue
		}
		load := b.selectionLoad(request, r, isOutlier, hasSparseAnswers)
		switch {
		case load < lowest:
			best, lowest, ties = r, load, 1
		case load == lowest:
			if ties++; b.rng.Intn(ties) == 0 {
				best = r
			}
		}
	}
	if hasHealthy && lowest >= outlierPenalty {
		best = nil
	}
	return best, lowest
}

// selectionLoad returns the load by which replicas are compared: the batches in flight, plus penalties for replicas
// that are to be chosen after the others. From time to time a replica in a degraded zone gets no penalty for a request
// that its search can spare: this shows whether the zone has recovered.
func (b *balancer) selectionLoad(request *shardRequest, r *replica, isOutlier, hasSparseAnswers bool) float64 {
	load := float64(r.batchesInFlight)
	if hasSparseAnswers {
		load += 1 - 1/(1+b.longTermSlowness(r)*(1+tieRandomShare*b.rng.Float64()))
	}
	if isOutlier || b.isGossipedOutlier(r) {
		load += degradedPenalty
		if isOutlier {
			load += outlierPenalty
		}
		if b.mayProbe(r, request) {
			load = probeLoad
		}
	} else if b.isZoneDegraded(r.zone) && (b.now < b.zones[r.zone].nextProbe || !request.search.canSpareRequests()) {
		load += degradedPenalty
	}
	if request.wasSentTo(r) {
		load += alreadySentPenalty
	}
	return load
}
