package balancer

import (
	"slices"
)

const (
	backlogMemory      = 0.99 // weight of the old backlog at an arrival: the paper's backlogMemory factor
	parkedRecheckDelay = 200  // wait before parts that no replica may take are looked at again
	answerMargin       = 150  // time kept before a client's limit, beside two ticks: the final answer must not be late
)

func (b *balancer) AddSearch(id uint64, qtype, tenant int, key string, grace int64, number uint64, count int,
	retry bool,
) {
	b.backlog = backlogMemory*b.backlog + (1-backlogMemory)*float64(len(b.queue))
	s := &search{id: id, number: number, queryType: qtype, arrivedAt: b.now, clientStart: b.now, step: 1, requestCount: count}
	s.tenant, s.requestBuffer = tenant, make([]shardRequest, 0, count)
	s.effect, s.requests = b.settings.values[b.settings.fieldName("Classes", qtype, "Effect")], make([]*shardRequest, 0, count)
	s.deadline = b.now + grace - 2*b.settings.duration("Tick") - answerMargin
	s.objectiveEnd = b.now + min(b.objectiveFor(s, grace, retry), grace) - b.settings.duration("Tick")
	s.neededWeight = b.settings.listNumber("Specifics.NeedByClass", qtype, 1)
	b.held[id], b.numbers[number] = s, s
	b.longest = max(b.longest, count)
	b.recordForBudget(&b.taken)
	s.overQuota = !retry && b.exceedsQuota(tenant)
	b.queue = append(b.queue, s)
	s.deadlineTimer = b.setTimer(s.deadline-b.now, (*deadlineCallback)(s))
	s.objectiveTimer = b.setTimer(s.objectiveEnd-b.now, (*objectiveCallback)(s))
}

func (b *balancer) EndIteration() {
	for i := 0; b.sendWaiting() && i < len(b.queue) && !b.isAtLimit(); {
		s := b.queue[i]
		switch {
		case s.ended:
		case b.cannotMeetDeadline(s):
			b.shed(s)
		case b.hasNoEligibleReplica(s):
			i++
			b.parked = true
			continue
		case b.fullness >= 1 || s.objectiveEnd <= b.now && !b.hasLateValue(s) ||
			(s.arrivedAt < b.now || b.loadFactor() < overloadLoadFactor) && b.estimateCompletion().isLate(s, 0):
			b.shed(s)
		default:
			b.admit(s)
		}
		if i == 0 { // the usual case moves nothing
			b.queue[0], b.queue = nil, b.queue[1:]
		} else {
			b.queue = slices.Delete(b.queue, i, i+1)
		}
	}
	b.evictExpired()
	if b.parked {
		b.parked = false
		b.setTimer(parkedRecheckDelay, timerFunc(func() {}))
	}
}

// hasNoEligibleReplica tells whether parts that a whole answer needs have no replica to go to: such a search stands aside,
// but where less may be answered and answers are quick.
func (b *balancer) hasNoEligibleReplica(s *search) bool {
	can := 0.0
	for _, p := range s.requests {
		if b.canSend(p) {
			can += p.weight
		}
	}
	return can < min(s.neededWeight, s.reachableWeight)-1e-4 && (b.loadFactor() < 1 || !b.isAnswerable(s, can))
}

// cannotMeetDeadline tells whether a search leaves under half a first try's time, and less than its type takes of late,
// or too few of its parts would be answered in useful time, by what own parts at their replicas have taken.
// Guards against clients that come again with next to no time, and shards whose replicas are all overloaded:
// the work would be lost. Harm: what is believed of a type or shard until it is tried again.
func (b *balancer) cannotMeetDeadline(s *search) bool {
	n, total := b.spells[s.queryType].read(b.now, rateWindow)
	first := b.tryShare * float64(b.settings.duration(b.settings.fieldName("Classes", s.queryType, "Deadline")))
	if left := float64(s.deadline - b.now); n >= minSearchDurations && left < min(retryObjectiveShare*first, durationSpread*total/n) {
		return true
	}
	in, thin := 0.0, b.hasThinEvidence()
	for _, p := range s.requests {
		if !thin || b.canMeetDeadline(p) {
			in += p.weight
		}
	}
	return !b.isAnswerable(s, in)
}

func (b *balancer) canMeetDeadline(p *shardRequest) bool {
	end := p.search.objectiveEnd
	if end <= b.now {
		end = p.search.deadline
	}
	return tailLatencyRatio*b.shortestExpectedLatency(p) <= float64(end-b.now)
}
