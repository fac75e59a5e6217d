package balancer

import (
	"math"
	"slices"
)

const (
	// tieRandomShare is the share of a replica's past latency that is random when equally loaded ones are compared: one
	// that has recovered is used again.
	tieRandomShare = 0.25
	// sampleThreshold is the number of holders of a shard beyond which a random sample is looked at first: it bounds the
	// time of an iteration.
	sampleThreshold = 64
	// sampleSize is the size of that sample: that none of 16 is idle where half of all are has a chance of 1 in 65,000.
	sampleSize = 16

	// Penalties on the load of replicas that come after others. Each is larger than what the lesser ones can add up to.
	alreadySentPenalty = 1e4 // the request was sent there before
	degradedPenalty    = 1e5 // its zone is degraded, or gossip or own evidence calls it an outlier
	outlierPenalty     = 1e6 // own evidence calls it an outlier
	// probeLoad puts a replica before all others, for a probe attempt.
	probeLoad = -1
)

// hasCapacity tells whether a replica, outlier or not, may take a request now.
func (b *balancer) hasCapacity(r *replica, request *shardRequest) bool {
	return b.isBelowReplicaLimit(r) && b.hasSlowStartCredit(r) &&
		!slices.ContainsFunc(request.attempts, func(a *attempt) bool { return a.replica == r && !a.ended })
}

// isTooLateToSend tells whether no answer could come any more: the attempt would cross the final answer.
func (b *balancer) isTooLateToSend(request *shardRequest) bool {
	return float64(request.search.deadline-b.now) < b.latency.shortest
}

// canSend tells whether some replica may take a request now. Of many holders not each is compared.
func (b *balancer) canSend(request *shardRequest) bool {
	holders := b.holders(request)
	if len(holders) <= sampleThreshold {
		return b.selectReplica(request) != nil
	}
	if b.sending.fullSpots[request.spot()] || b.isTooLateToSend(request) {
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
	// Kept for this iteration: it bounds its time with thousands of searches.
	b.sending.fullSpots[request.spot()] = !canSend && len(request.attempts) == 0
	return canSend
}

// selectReplica chooses the replica for a request, nil where none may take it now: the one with fewest own batches in
// flight, one that has not got the request before if there is, ties at random or, where evidence is thin, by past answers.
// Of many holders a sample is looked at first: an idle one has the fewest anyway.
func (b *balancer) selectReplica(request *shardRequest) *replica {
	if b.sending.fullSpots[request.spot()] || b.isTooLateToSend(request) {
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
		b.sending.fullSpots[request.spot()] = true
	}
	return r
}

// selectAmong chooses among some holders of a shard and returns the load of the chosen one. Outliers are used only where
// no healthy replica holds the shard, whether or not the healthy ones have capacity, and for probe attempts.
func (b *balancer) selectAmong(request *shardRequest, holders []*replica) (best *replica, lowest float64) {
	lowest = math.Inf(1)
	ties, hasHealthy, hasThinEvidence := 0, false, b.hasThinEvidence()
	for _, r := range holders {
		isOutlier := b.isOutlier(r)
		hasHealthy = hasHealthy || !isOutlier
		if !b.hasCapacity(r, request) {
			continue
		}
		if b.now < b.outliers.gossipedUntil && !b.isWarmedUp(r) && b.isSparedByGossip(request) {
			continue
		}
		load := b.selectionLoad(request, r, isOutlier, hasThinEvidence)
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

// selectionLoad is the load that replicas are compared by: batches in flight, and penalties for those that come after the others.
// A replica in a degraded zone has none for a request that its search can spare, now and then: it shows whether the zone
// has recovered.
func (b *balancer) selectionLoad(request *shardRequest, r *replica, isOutlier, hasThinEvidence bool) float64 {
	load := float64(r.batchesInFlight)
	if hasThinEvidence {
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
