package balancer

import (
	"cmp"
	"slices"
)

const (
	// overloadExtraShare, multiplied by the latency gradient, is the share of the extras that is still sent under
	// overload while answers are sparse: with fewer extras the answers were no better than with none.
	overloadExtraShare = 0.5
	// minOverloadAnswers is the decayed number of answers from which slow answers count as overload: fewer may all
	// belong to one search.
	minOverloadAnswers = 30
	// canaryWindow is the time after a crash during which each search sends a single request first, in tenths of a
	// millisecond: clients repeat searches that crash replicas.
	canaryWindow = 10 * second

	// Priorities of the requests of a search, added to their weight.
	prioritySendable = 2 // some replica may take it now
	priorityQuick    = 1 // some replica will answer it quickly, or it may be hedged
	// maxTieBreak bounds the random part of a priority, which decides only between equal weights.
	maxTieBreak = 1e-9
)

// sendQueue holds the shard requests of admitted searches that wait for a slot and a replica: the paper's task queue.
type sendQueue struct {
	requests        []*shardRequest
	withoutCapacity map[int]bool    // keys of holders of which none may take a request in this iteration
	candidates      []sendCandidate // reused by admit
}

type sendCandidate struct {
	*shardRequest
	priority float64
}

// admit queues the requests of a search for sending: those that a complete answer needs, and as many extras as the
// backlog allows (any sufficient subset of the requests completes the search). By the paper's rule, all extras are sent
// while the backlog is under one search, and one fewer for each further search.
func (b *balancer) admit(s *search) {
	if s.admittedAt == 0 {
		s.admittedAt = b.now
		if len(s.requests) > 1 && b.needsCanary() && b.sendCanary(s) {
			return
		}
	}
	candidates := b.prioritize(s)
	leastWeight := b.weightToSend(s)
	weight, needed := s.completedWeight, 0
	for needed < len(candidates) && weight < leastWeight-weightTolerance {
		weight += candidates[needed].weight
		needed++
	}
	extras := max(0, len(candidates)-needed-int(b.admission.backlog))
	if leastWeight < s.neededWeight {
		allowed := overloadExtraShare * b.latencyGradient() * float64(len(candidates)-needed)
		extras = min(extras, int(allowed))
	}
	for i, candidate := range candidates[:needed+extras] {
		isNeeded := i < needed
		// An extra that would have to wait, or would run slowly, takes capacity from requests that are needed.
		if isNeeded || candidate.priority >= prioritySendable+priorityQuick {
			b.enqueueRequest(candidate.shardRequest)
		}
		if !isNeeded && candidate.queued {
			weight += candidate.weight
		}
	}
	s.reduced = s.isShort(weight)
	if s.reduced {
		s.reachableWeight = weight
	}
	clear(candidates)
	b.sending.candidates = candidates
}

// prioritize orders the unsent requests of a search: first those that can be sent now, then those that would be
// answered quickly, then the heavier ones; ties are broken at random.
func (b *balancer) prioritize(s *search) []sendCandidate {
	candidates := b.sending.candidates[:0]
	for _, request := range s.requests {
		if len(request.attempts) > 0 { // a canary, or sent in place of a lost request
			continue
		}
		candidate := sendCandidate{request, request.weight + maxTieBreak*b.rng.Float64()}
		if b.canSend(request) {
			candidate.priority += prioritySendable
		}
		// Without hedging, no second attempt makes up for a request that was sent to a slow replica.
		if b.settings.allowsHedging() || b.shortestExpectedLatency(request) <= b.latency.fleetLatency(b.now) {
			candidate.priority += priorityQuick
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(x, y sendCandidate) int { return cmp.Compare(y.priority, x.priority) })
	return candidates
}

// weightToSend returns the weight of the requests that have to be sent; the others are extras. While answers are sparse
// nothing ever waits at this coordinator, so the backlog shows nothing. Slow answers then indicate overload instead,
// and the part that a partial answer may lack counts as extras: under overload this saves work at the price of less
// complete answers.
func (b *balancer) weightToSend(s *search) float64 {
	isOverloaded := b.hasSparseAnswers() && b.latency.fleetAnswers >= minOverloadAnswers &&
		b.latencyGradient() < overloadGradient
	if !isOverloaded {
		return s.neededWeight
	}
	leastAnswer := b.settings.listNumber(settingMinWeight, s.queryType, 1)
	return min(s.neededWeight, leastAnswer+2*weightTolerance)
}

// needsCanary tells whether replicas seem to have crashed recently under this coordinator's requests. A search that
// crashes the replicas that serve it would take down one replica per request before the first loss is known; sending
// one request ahead of the others limits this to one replica. Crashes with other causes also trigger it, and it costs
// each search the time of one answer. It is not used if hedging is allowed: hedged attempts make up for a lost request.
func (b *balancer) needsCanary() bool {
	lastCrash := b.outliers.lastCrash
	return lastCrash > 0 && b.now-lastCrash < canaryWindow && !b.settings.allowsHedging()
}

// sendCanary sends the request of a search that would be answered first, and tells whether there was one that can be
// sent now. The others follow once it is answered.
func (b *balancer) sendCanary(s *search) bool {
	sendable := slices.DeleteFunc(slices.Clone(s.requests), func(r *shardRequest) bool { return !b.canSend(r) })
	s.awaitsCanary = len(sendable) > 0
	if s.awaitsCanary {
		b.enqueueRequest(b.quickestRequest(sendable))
	}
	return s.awaitsCanary
}

// sendWithheldExtra sends an extra that was withheld, in place of a request that is lost or late.
func (b *balancer) sendWithheldExtra(s *search) {
	withheld := slices.DeleteFunc(slices.Clone(s.requests), func(r *shardRequest) bool {
		return len(r.attempts) > 0 || r.queued || r.lost
	})
	if len(withheld) == 0 {
		return
	}
	request := b.quickestRequest(withheld)
	b.enqueueRequest(request)
	if s.reduced {
		s.reachableWeight += request.weight
	}
}

// quickestRequest returns the request whose fastest holder has the shortest expected latency.
func (b *balancer) quickestRequest(requests []*shardRequest) *shardRequest {
	return slices.MinFunc(requests, func(x, y *shardRequest) int {
		return cmp.Compare(b.shortestExpectedLatency(x), b.shortestExpectedLatency(y))
	})
}

func (b *balancer) enqueueRequest(request *shardRequest) {
	if !request.queued {
		request.queued = true
		b.sending.requests = append(b.sending.requests, request)
	}
}

// sendWaiting sends the waiting requests in order and tells whether no request is left that waits for a slot. A request
// that no replica can take at the moment (all are warming up or draining, for example) stays parked and does not hold
// up the queue.
func (b *balancer) sendWaiting() bool {
	waiting, hasFreeSlots := b.sending.requests[:0], true
	for i, request := range b.sending.requests {
		if !request.isOpen() {
			request.queued = false
			continue
		}
		if b.isAtLimit() {
			waiting, hasFreeSlots = append(waiting, b.sending.requests[i:]...), false
			break
		}
		if target := b.selectReplica(request); target != nil && b.mayAttempt(request) {
			request.queued = false
			b.send(request, target)
			continue
		}
		b.admission.hasParked = true
		waiting = append(waiting, request)
	}
	b.sending.requests = waiting
	return hasFreeSlots
}
