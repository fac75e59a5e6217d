package balancer

import (
	"cmp"
	"slices"
)

const (
	// overloadExtraShare is the share of the extras, times the load factor, that still go out under overload with thin
	// evidence: with less the answers were as good as with none.
	overloadExtraShare = 0.5
	// minOverloadAnswers is the decayed number of answers from which slow ones count as overload: fewer may be one search's.
	minOverloadAnswers = 30
	// canaryWindow is the time after a crash in which each search sends one request ahead, in tenths of a millisecond:
	// searches that crash replicas come again.
	canaryWindow = 10 * second

	// Priorities of the requests of a search, beside their weight.
	priorityEligible = 2 // some replica may take it now
	priorityQuick    = 1 // some replica will answer it quickly, or it may be hedged
	// maxTieBreak bounds the random part of a priority: it decides only between equal weights.
	maxTieBreak = 1e-9
)

// sendQueue holds the shard requests of admitted searches that wait for a slot and a replica, the paper's task queue.
type sendQueue struct {
	requests   []*shardRequest
	fullSpots  map[int]bool    // spots of which no replica may take a request in this iteration
	candidates []sendCandidate // buffer of admit
}

type sendCandidate struct {
	*shardRequest
	priority float64
}

// admit sends a search's requests: those that a complete answer needs, and as many extras as the backlog allows (any
// sufficient set of them answers the search). The paper's rule applies: all that remain while the backlog is under one
// search, one fewer for each further one.
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
		allowed := overloadExtraShare * b.loadFactor() * float64(len(candidates)-needed)
		extras = min(extras, int(allowed))
	}
	for i, candidate := range candidates[:needed+extras] {
		isNeeded := i < needed
		// An extra that would have to wait, or runs slowly, takes capacity from requests that are needed.
		if isNeeded || candidate.priority >= priorityEligible+priorityQuick {
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

// prioritize orders the requests of a search that have not been sent: those that can go now first, then those that would be
// answered quickly, then the heavier, ties at random.
func (b *balancer) prioritize(s *search) []sendCandidate {
	candidates := b.sending.candidates[:0]
	for _, request := range s.requests {
		if len(request.attempts) > 0 { // a canary, or sent in the place of a lost one
			continue
		}
		candidate := sendCandidate{request, request.weight + maxTieBreak*b.rng.Float64()}
		if b.canSend(request) {
			candidate.priority += priorityEligible
		}
		// Without hedging, a request at a slow replica is work that nothing takes back.
		if b.settings.allowsHedging() || b.shortestExpectedLatency(request) <= b.latency.fleetLatency(b.now) {
			candidate.priority += priorityQuick
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, func(x, y sendCandidate) int { return cmp.Compare(y.priority, x.priority) })
	return candidates
}

// weightToSend is the weight of the requests that have to be sent; the others are extras. Where evidence is thin nothing
// ever waits here and the backlog says nothing. Slow answers stand in for it then, and what an answer may lack is an extra:
// less work under overload, for answers that are less complete.
func (b *balancer) weightToSend(s *search) float64 {
	isOverloaded := b.hasThinEvidence() && b.latency.fleetAnswers >= minOverloadAnswers &&
		b.loadFactor() < overloadLoadFactor
	if !isOverloaded {
		return s.neededWeight
	}
	leastAnswer := b.settings.listNumber(settingMinWeight, s.queryType, 1)
	return min(s.neededWeight, leastAnswer+2*weightTolerance)
}

// needsCanary tells whether replicas seem to have crashed under this coordinator's requests of late. A search that crashes
// what serves it would take down a replica for each of its requests before the first loss is known; one request ahead of
// the others loses one. It covers crashes of other causes too, and costs each search the time of one answer. Where hedging
// is allowed it is not used: hedged attempts help a lost request.
func (b *balancer) needsCanary() bool {
	lastCrash := b.outliers.lastCrash
	return lastCrash > 0 && b.now-lastCrash < canaryWindow && !b.settings.allowsHedging()
}

// sendCanary sends the request of a search that would be answered first, and tells whether there is one that can go now.
// The others follow its answer.
func (b *balancer) sendCanary(s *search) bool {
	sendable := slices.DeleteFunc(slices.Clone(s.requests), func(r *shardRequest) bool { return !b.canSend(r) })
	s.awaitsCanary = len(sendable) > 0
	if s.awaitsCanary {
		b.enqueueRequest(b.quickest(sendable))
	}
	return s.awaitsCanary
}

// sendWithheld sends an extra that was withheld, in the place of a request that is lost or late.
func (b *balancer) sendWithheld(s *search) {
	withheld := slices.DeleteFunc(slices.Clone(s.requests), func(r *shardRequest) bool {
		return len(r.attempts) > 0 || r.queued || r.lost
	})
	if len(withheld) == 0 {
		return
	}
	request := b.quickest(withheld)
	b.enqueueRequest(request)
	if s.reduced {
		s.reachableWeight += request.weight
	}
}

// quickest returns the request whose quickest holder has the shortest expected latency.
func (b *balancer) quickest(requests []*shardRequest) *shardRequest {
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

// sendWaiting sends the requests that wait, in order, and tells whether none is left that a free slot would serve. A
// request that no replica may take just now (warming up, draining) stands aside: it must not hold up the queue.
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
