package balancer

import "slices"

const (
	// shedScanThreshold is the number of waiting searches above which the queue is not scanned in each iteration:
	// checking one search takes 6 us.
	shedScanThreshold = 1_000
	// shedScanInterval is the time between two scans of such a queue, in tenths of a millisecond: a client does not
	// notice a delay of 1 ms.
	shedScanInterval = 1 * millisecond
	// durationSpread is how many times the mean duration a search is assumed to take when checking whether it can still
	// be in time.
	durationSpread = 1.4
	// minThroughput is the lowest rate of answers that is assumed, per tenth of a millisecond: one a second.
	minThroughput = 1.0 / second
)

// completionEstimate holds what the end of a search is estimated from. It is valid as long as no request is sent or
// ends, so that one iteration computes it once for all waiting searches.
type completionEstimate struct{ now, throughput, searchDuration float64 }

// isLate tells whether a search with a number of shard requests ahead of it would be answered after its objective.
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

// throughput returns the number of shard requests answered per tenth of a millisecond. While only a few have been
// answered, it is estimated by Little's law: requests in flight divided by their latency.
func (b *balancer) throughput() float64 {
	answerRate := b.latency.answerRate(b.now)
	byLittlesLaw := float64(b.effectiveInFlight()) / b.latency.fleetLatency(b.now)
	return max(answerRate, byLittlesLaw, minThroughput)
}

// SetUtilization sets the share of the capacity for searches and their answers that is in use.
func (b *balancer) SetUtilization(share float64) { b.utilization = share }

// shedQueued sheds queued searches under overload while their clients can still send them again: those that would be
// answered after their objective or for which there is no capacity, and those over their tenant's quota. If the
// estimated wait is too long, searches are shed needlessly.
func (b *balancer) shedQueued() {
	queue := &b.admission
	if len(queue.searches) > shedScanThreshold && b.now < queue.lastScan+shedScanInterval {
		return
	}
	queue.lastScan = b.now
	pending, ended := len(b.sending.requests), 0
	if len(queue.searches) > 0 {
		pending, ended = b.shedFrom(queue.searches, pending)
	}
	queue.pendingRequests = float64(pending)
	if ended > 0 {
		queue.searches = slices.DeleteFunc(queue.searches, func(s *search) bool { return s.ended })
	}
}

// shedFrom sheds searches in the order of the queue. It returns the number of shard requests that then wait, including
// the pendingBefore that are admitted already, and the number of searches that have ended.
func (b *balancer) shedFrom(searches []*search, pendingBefore int) (pending, ended int) {
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
