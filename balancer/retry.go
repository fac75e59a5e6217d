package balancer

import "slices"

const (
	// maxLostConnections is the number of connections dropped under a search without any answer from which the search
	// is assumed to crash the replicas that serve it: one may be chance.
	maxLostConnections = 2
	// windowMargin is the safety margin, against rounding, on the windows of the rules in the settings, in tenths of a
	// millisecond.
	windowMargin = 2 * millisecond
)

// retryBudget limits the retries and hedged attempts to a share of the requests in a sliding window, so that they
// cannot multiply the load of replicas that fail under it. Its lists hold times in ascending order.
type retryBudget struct {
	requests []int64 // arrivals of searches and shard requests
	retries  []int64
}

// trim drops the times before the window. The margin makes the budget smaller in case of doubt.
func (r *retryBudget) trim(now, window int64) {
	r.requests = dropBefore(r.requests, now-window+windowMargin)
	r.retries = dropBefore(r.retries, now-window-windowMargin)
}

// allows tells whether one more retry stays within floor plus ratio times the number of requests in the window.
func (r *retryBudget) allows(floor, ratio float64) bool {
	return float64(len(r.retries)+1) <= floor+ratio*float64(len(r.requests))
}

// dropBefore drops the times before a limit from an ascending list.
func dropBefore(times []int64, limit int64) []int64 {
	first, _ := slices.BinarySearch(times, limit)
	return times[first:]
}

// hasRetryBudget tells whether the settings define a budget. Without one nothing is recorded, since nothing would ever
// trim the lists.
func (b *balancer) hasRetryBudget() bool { return b.settings.duration(settingBudgetWindow) > 0 }

func (b *balancer) recordRequest() {
	if b.hasRetryBudget() {
		b.retries.requests = append(b.retries.requests, b.now)
	}
}

func (b *balancer) recordRetry() {
	if b.hasRetryBudget() {
		b.retries.retries = append(b.retries.retries, b.now)
	}
}

// mayAttempt tells whether the rules on retries and their budget allow a request to be sent now.
func (b *balancer) mayAttempt(request *shardRequest) bool {
	if len(request.attempts) == 0 {
		return true
	}
	window := b.settings.duration(settingBudgetWindow)
	if window == 0 {
		return b.mayRepeat(request)
	}
	b.retries.trim(b.now, window)
	floor := b.settings.optionalNumber(settingBudgetFloor, 0)
	ratio := b.settings.optionalNumber(settingBudgetRatio, 0)
	return b.mayRepeat(request) && b.retries.allows(floor, ratio)
}

// mayRepeat tells whether one more attempt is allowed and harmless: the request is idempotent, or its idempotency key
// is still valid since the first attempt that may have run, or no attempt has run.
func (b *balancer) mayRepeat(request *shardRequest) bool {
	effect := request.search.effect
	hasAttemptsLeft := len(request.attempts) < b.settings.maxAttempts()
	for _, a := range request.attempts {
		if !a.mayHaveRun && a.ended || effect == effectRetryable {
			continue
		}
		window := b.settings.queryTypeDuration(request.search.queryType, fieldRepeatWindow)
		if effect != effectDedup || b.now-a.sentAt > window-windowMargin {
			return false
		}
	}
	return hasAttemptsLeft
}

// retryOrGiveUp sends a request again, or gives it up, once all of its attempts have ended without an answer.
//
// A search that crashes the replicas that serve it must not be sent from replica to replica. It shows in dropped
// connections without any answer. After one dropped connection, a request is sent again only once another request of
// the search has been answered or no attempt of the search is in flight; after two, or if the search was waiting for a
// canary, the search fails. If many replicas crash for another reason, a search that loses two requests before its
// first answer fails as well.
func (b *balancer) retryOrGiveUp(request *shardRequest) {
	s := request.search
	if !request.isOpen() || request.queued || len(request.attempts) == 0 || request.isInFlight() {
		return
	}
	seemsHarmful := s.lostConnections > 0 && !s.hasAnswer
	switch {
	case seemsHarmful && (s.lostConnections >= maxLostConnections || s.awaitsCanary):
		b.fail(s)
	case seemsHarmful && s.isInFlight(): // completeRequest tries again after the first answer
	case b.mayRepeat(request):
		b.enqueueRequest(request)
	default:
		request.lost = true
		s.reachableWeight -= request.weight
		b.sendWithheldExtra(s)
		b.endIfUnanswerable(s)
	}
}
