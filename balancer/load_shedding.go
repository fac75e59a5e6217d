package balancer

import "slices"

const (
	// evictScanThreshold is the number of waiting searches beyond which the queue is not looked through in each iteration:
	// a look at one takes 6 us.
	evictScanThreshold = 1_000
	// evictScanInterval is the time between two looks at such a queue, in tenths of a millisecond: 1 ms is no delay to a
	// client.
	evictScanInterval = 1 * millisecond
	// durationSpread is a search's duration over the mean that is allowed for when asking whether it can still be in time.
	durationSpread = 1.4
	// minThroughput is the least rate of answers that is assumed, per tenth of a millisecond: one a second.
	minThroughput = 1.0 / second
)

// completionEstimate is what the end of a search is estimated from. It holds while no request is sent or ends, so that an
// iteration works it out once for all waiting searches.
type completionEstimate struct{ now, throughput, searchDuration float64 }

// isLate tells whether a search with so many shard requests before it would be answered after its objective.
func (e completionEstimate) isLate(s *search, requestsBefore float64) bool {
	return e.now+requestsBefore/e.throughput+e.searchDuration > float64(s.objectiveEnd)
}

func (b *balancer) estimateCompletion() completionEstimate {
	count, total := b.latency.durations.read(b.now, rateWindow)
	return completionEstimate{
		now:            float64(b.now),
		throughput:     b.throughput(),
		searchDuration: durationSpread * total / (count + 1),
	}
}

// throughput is the number of shard requests answered per tenth of a millisecond. While few have been, it follows from
// Little's law: requests in flight over their latency.
func (b *balancer) throughput() float64 {
	answerRate := b.latency.answerRate(b.now)
	byLittlesLaw := float64(b.effectiveInFlight()) / b.latency.fleetLatency(b.now)
	return max(answerRate, byLittlesLaw, minThroughput)
}

// SetUtilization sets the share of the capacity for searches and their answers that is in use.
func (b *balancer) SetUtilization(share float64) { b.utilization = share }

// evictExpired sheds queued searches under overload: those that would be answered after their objective, or for which there
// is no capacity, while their clients can still send them again, and those beyond their tenant's quota. Where the estimated
// wait is too long it sheds needlessly.
func (b *balancer) evictExpired() {
	queue := &b.admission
	if len(queue.searches) > evictScanThreshold && b.now < queue.lastEviction+evictScanInterval {
		return
	}
	queue.lastEviction = b.now
	pending, ended := len(b.sending.requests), 0
	if len(queue.searches) > 0 {
		pending, ended = b.evictFrom(queue.searches, pending)
	}
	queue.pendingRequests = float64(pending)
	if ended > 0 {
		queue.searches = slices.DeleteFunc(queue.searches, func(s *search) bool { return s.ended })
	}
}

// evictFrom sheds searches in the order of the queue. It returns the number of shard requests that wait then, with those
// that waited before, and the number of searches that have ended.
func (b *balancer) evictFrom(searches []*search, pendingBefore int) (pending, ended int) {
	pending = pendingBefore
	estimate := b.estimateCompletion()
	for _, s := range searches {
		if !s.ended && (s.overQuota || b.utilization >= 1 || estimate.isLate(s, float64(pending))) {
			b.shed(s)
		}
		if s.ended {
			ended++
		} else {
			pending += len(s.requests)
		}
	}
	return pending, ended
}
