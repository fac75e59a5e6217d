package balancer

import "slices"

const (
	// backlogMemory is the weight of the previous backlog when a search arrives: the paper's memory factor.
	backlogMemory = 0.99
	// parkedRecheckDelay is the wait, in tenths of a millisecond, before searches and requests that no replica can take
	// at the moment (parked ones) are checked again.
	parkedRecheckDelay = 20 * millisecond
	// answerMargin is the time, in tenths of a millisecond, that is reserved before a client's timeout in addition to
	// two ticks: the final answer must not be late.
	answerMargin = 15 * millisecond
)

// admissionQueue holds the searches that have not been admitted yet, in the order of arrival.
type admissionQueue struct {
	searches        []*search
	backlog         float64 // the paper's smoothed queue length: searches already waiting when one arrives
	pendingRequests float64 // shard requests waiting at the end of the last iteration
	lastScan        int64   // when the queue was last scanned for searches to shed
	hasParked       bool    // a search or request is parked: it waits for a replica rather than for a slot
}

func (q *admissionQueue) smoothBacklog() {
	q.backlog = backlogMemory*q.backlog + (1-backlogMemory)*float64(len(q.searches))
}

// remove takes a search out of the queue. The usual case, the first search, moves no elements.
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

// EndIteration sends the waiting requests, then admits searches while no request waits and a slot is free.
func (b *balancer) EndIteration() {
	for i := 0; b.sendWaiting() && i < len(b.admission.searches) && !b.isAtLimit(); {
		if b.decideAdmission(b.admission.searches[i]) {
			b.admission.remove(i)
		} else {
			i++
		}
	}
	b.shedQueued()
	if b.admission.hasParked {
		b.admission.hasParked = false
		b.setTimer(parkedRecheckDelay, timerFunc(func() {})) // the iteration that it starts checks them again
	}
}

// decideAdmission admits or sheds a queued search and tells whether it leaves the queue. A search that no replica can
// take at the moment is parked, so that those behind it are not held up.
func (b *balancer) decideAdmission(s *search) (leavesQueue bool) {
	switch {
	case s.ended:
	case b.cannotMeetDeadline(s):
		b.shed(s)
	case b.mustWaitForReplica(s):
		b.admission.hasParked = true
		return false
	case b.isNotWorthAdmitting(s):
		b.shed(s)
	default:
		b.admit(s)
	}
	return true
}

// isNotWorthAdmitting tells whether admitting a search would be of no use: there is no capacity for its answer, its
// latency objective has passed, or the objective would pass before the answer, given how long searches take now. That
// estimate is used only for searches that have waited or while answers are slow: at a low request rate nothing ever
// waits at a single coordinator, and overload shows only in the answers. After an overload, searches are shed
// needlessly until the recorded durations have decayed; then some are sent again and give new measurements.
func (b *balancer) isNotWorthAdmitting(s *search) bool {
	if b.utilization >= 1 || s.objectiveEnd <= b.now && !b.hasLateValue(s) {
		return true
	}
	hasWaited := s.arrivedAt < b.now
	return (hasWaited || b.latencyGradient() < overloadGradient) && b.estimateCompletion().isLate(s, 0)
}

// mustWaitForReplica tells whether a search has to wait because no replica can take some of the requests that a
// complete answer needs. If a partial answer is allowed and answers are fast, the search goes out without them.
func (b *balancer) mustWaitForReplica(s *search) bool {
	sendableWeight := 0.0
	for _, request := range s.requests {
		if b.canSend(request) {
			sendableWeight += request.weight
		}
	}
	isShort := sendableWeight < min(s.neededWeight, s.reachableWeight)-weightTolerance
	return isShort && (b.latencyGradient() < 1 || !b.isAnswerable(s, sendableWeight))
}

// cannotMeetDeadline tells whether work on a search would be wasted. Either its client will wait less than half as long
// as for a first attempt, and less long than recent searches of its type took; or too few of its requests would be
// answered in time, judged by how long their replicas have taken. This handles clients that retry with almost no time
// left, and shards whose replicas are all overloaded. Searches of a type or shard that has recovered may be rejected
// until one is tried again.
func (b *balancer) cannotMeetDeadline(s *search) bool {
	count, total := b.latency.byQueryType[s.queryType].read(b.now, rateWindow)
	clientTimeout := float64(b.settings.queryTypeDuration(s.queryType, fieldDeadline))
	firstAttemptTime := b.clients.firstAttemptShare * clientTimeout
	timeLeft := float64(s.deadline - b.now)
	if count >= minSearchDurations && timeLeft < min(retryObjectiveShare*firstAttemptTime, durationSpread*total/count) {
		return true
	}
	weightInTime, hasSparseAnswers := 0.0, b.hasSparseAnswers()
	for _, request := range s.requests {
		if !hasSparseAnswers || b.canMeetDeadline(request) {
			weightInTime += request.weight
		}
	}
	return !b.isAnswerable(s, weightInTime)
}

// canMeetDeadline tells whether the fastest holder of a shard would answer in time: before the objective, or before the
// deadline once the objective has passed.
func (b *balancer) canMeetDeadline(request *shardRequest) bool {
	end := request.search.objectiveEnd
	if end <= b.now {
		end = request.search.deadline
	}
	return tailLatencyRatio*b.shortestExpectedLatency(request) <= float64(end-b.now)
}
