package balancer

import "slices"

const (
	// backlogMemory is the weight of the old backlog at an arrival: the paper's memory factor.
	backlogMemory = 0.99
	// parkedRecheckDelay is the wait before requests and searches that no replica may take are looked at again, in tenths
	// of a millisecond.
	parkedRecheckDelay = 20 * millisecond
	// answerMargin is the time kept before a client's limit, beside two ticks, in tenths of a millisecond: the final answer
	// must not be late.
	answerMargin = 15 * millisecond
)

// admissionQueue holds the searches that have not been admitted, in the order of arrival.
type admissionQueue struct {
	searches        []*search
	backlog         float64 // the paper's smoothed queue length: searches waiting at an arrival
	pendingRequests float64 // shard requests waiting at the end of the last iteration
	lastEviction    int64   // when the queue was last looked through
	hasParked       bool    // something waits for a replica rather than for a slot
}

func (q *admissionQueue) smoothBacklog() {
	q.backlog = backlogMemory*q.backlog + (1-backlogMemory)*float64(len(q.searches))
}

// remove takes a search out of the queue. The usual case, the first, moves nothing.
func (q *admissionQueue) remove(i int) {
	if i == 0 {
		q.searches[0], q.searches = nil, q.searches[1:]
		return
	}
	q.searches = slices.Delete(q.searches, i, i+1)
}

func (b *balancer) AddSearch(id uint64, queryType, tenant int, _ string, timeLeft int64, number uint64, requestCount int,
	isRetry bool,
) {
	b.admission.smoothBacklog()
	s := &search{
		id: id, number: number, queryType: queryType, tenant: tenant, step: 1, requestCount: requestCount,
		arrivedAt: b.now, clientStart: b.now,
		effect:        b.settings.values[b.settings.fieldName(listQueryTypes, queryType, fieldEffect)],
		neededWeight:  b.settings.listNumber(settingNeededWeight, queryType, 1),
		requests:      make([]*shardRequest, 0, requestCount),
		requestBuffer: make([]shardRequest, 0, requestCount),
	}
	tick := b.settings.duration(settingTick)
	s.deadline = b.now + timeLeft - 2*tick - answerMargin
	s.objectiveEnd = b.now + min(b.objectiveFor(s, timeLeft, isRetry), timeLeft) - tick
	b.searches.add(s)
	b.limiter.largestSearch = max(b.limiter.largestSearch, requestCount)
	b.recordRequest()
	s.overQuota = !isRetry && b.exceedsQuota(tenant)
	b.admission.searches = append(b.admission.searches, s)
	s.deadlineTimer = b.setTimer(s.deadline-b.now, (*deadlineCallback)(s))
	s.objectiveTimer = b.setTimer(s.objectiveEnd-b.now, (*objectiveCallback)(s))
}

// EndIteration sends what waits, and admits searches while no request waits and a slot is free.
func (b *balancer) EndIteration() {
	for i := 0; b.sendWaiting() && i < len(b.admission.searches) && !b.isAtLimit(); {
		if b.decideAdmission(b.admission.searches[i]) {
			b.admission.remove(i)
		} else {
			i++
		}
	}
	b.evictExpired()
	if b.admission.hasParked {
		b.admission.hasParked = false
		b.setTimer(parkedRecheckDelay, timerFunc(func() {})) // the iteration itself looks at them again
	}
}

// decideAdmission admits or sheds a queued search and tells whether it leaves the queue. A search that no replica may take
// just now stands aside, so that those behind it go on.
func (b *balancer) decideAdmission(s *search) (leavesQueue bool) {
	switch {
	case s.ended:
	case b.cannotMeetDeadline(s):
		b.shed(s)
	case b.hasNoEligibleReplica(s):
		b.admission.hasParked = true
		return false
	case b.isWithoutValue(s):
		b.shed(s)
	default:
		b.admit(s)
	}
	return true
}

// isWithoutValue tells whether a search is not worth admitting: there is no capacity for its answer, its objective has
// passed, or it would pass by the time that searches take now. The last is asked only of those that have waited or while
// answers are slow: at a low rate nothing ever waits at one coordinator, and overload shows only in the answers. After an
// overload it sheds needlessly until the durations have faded; some searches go out as they do, and measure anew.
func (b *balancer) isWithoutValue(s *search) bool {
	if b.utilization >= 1 || s.objectiveEnd <= b.now && !b.hasLateValue(s) {
		return true
	}
	hasWaited := s.arrivedAt < b.now
	return (hasWaited || b.loadFactor() < overloadLoadFactor) && b.estimateCompletion().isLate(s, 0)
}

// hasNoEligibleReplica tells whether requests that a complete answer needs have no replica to go to. Where less may be
// answered and answers are quick the search goes out without them.
func (b *balancer) hasNoEligibleReplica(s *search) bool {
	sendable := 0.0
	for _, request := range s.requests {
		if b.canSend(request) {
			sendable += request.weight
		}
	}
	isShort := sendable < min(s.neededWeight, s.reachableWeight)-weightTolerance
	return isShort && (b.loadFactor() < 1 || !b.isAnswerable(s, sendable))
}

// cannotMeetDeadline tells whether the work for a search would be lost: its client leaves under half of the time that first
// attempts have and less than searches of its type took of late, or too few of its requests would be answered in time by
// what their replicas have taken. It handles clients that come again with next to no time, and shards whose replicas are
// all overloaded. It may reject searches of a type or shard that has recovered, until one is tried again.
func (b *balancer) cannotMeetDeadline(s *search) bool {
	count, total := b.latency.byQueryType[s.queryType].read(b.now, rateWindow)
	clientTimeout := float64(b.settings.queryTypeDuration(s.queryType, fieldDeadline))
	firstAttemptTime := b.clients.firstAttemptShare * clientTimeout
	timeLeft := float64(s.deadline - b.now)
	if count >= minSearchDurations && timeLeft < min(retryObjectiveShare*firstAttemptTime, durationSpread*total/count) {
		return true
	}
	inTime, hasThinEvidence := 0.0, b.hasThinEvidence()
	for _, request := range s.requests {
		if !hasThinEvidence || b.canMeetDeadline(request) {
			inTime += request.weight
		}
	}
	return !b.isAnswerable(s, inTime)
}

// canMeetDeadline tells whether the quickest holder of a shard would answer in time: before the objective, or the deadline
// once that has passed.
func (b *balancer) canMeetDeadline(request *shardRequest) bool {
	end := request.search.objectiveEnd
	if end <= b.now {
		end = request.search.deadline
	}
	return tailLatencyRatio*b.shortestExpectedLatency(request) <= float64(end-b.now)
}
