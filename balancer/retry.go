package balancer

import "slices"

const (
	// maxLostConnections is the number of connections dropped under a search without any answer from which it is taken to
	// crash what serves it: one may be chance.
	maxLostConnections = 2
	// windowMargin is kept off the windows of the settings' rules against rounding, in tenths of a millisecond.
	windowMargin = 2 * millisecond
)

// retryBudget bounds the retries and hedged attempts to a share of the requests in a sliding window, so that they cannot
// multiply the load of replicas that fail under it. Its lists hold times in order.
type retryBudget struct {
	requests []int64 // arrivals of searches and shard requests
	retries  []int64
}

// trim drops what is before the window. The margin makes the budget the smaller one in doubt.
func (r *retryBudget) trim(now, window int64) {
	r.requests = dropBefore(r.requests, now-window+windowMargin)
	r.retries = dropBefore(r.retries, now-window-windowMargin)
}

// allows tells whether one more retry is within floor and ratio times the requests of the window.
func (r *retryBudget) allows(floor, ratio float64) bool {
	return float64(len(r.retries)+1) <= floor+ratio*float64(len(r.requests))
}

// dropBefore drops the times before a limit from a list in order.
func dropBefore(times []int64, limit int64) []int64 {
	first, _ := slices.BinarySearch(times, limit)
	return times[first:]
}

// hasRetryBudget tells whether the settings state a budget. Without one nothing is recorded: nothing would ever trim it.
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

// mayAttempt tells whether a request may be sent now as far as the rules on retries and their budget go.
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

// mayRepeat tells whether one more attempt is allowed and harmless: it is idempotent, or its idempotency key still holds
// since the first attempt that may have run, or no attempt has run.
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

// retryLost sends a request again whose attempts have all ended without an answer, or gives it up.
//
// A search that crashes what serves it must not be sent from replica to replica: it shows in dropped connections without
// any answer. After one, a lost request goes out again only after another of the search was answered; after two, the search
// fails. When many replicas crash for another reason, a search that loses two requests before its first answer fails with
// them.
func (b *balancer) retryLost(request *shardRequest) {
	s := request.search
	if !request.isOpen() || request.queued || len(request.attempts) == 0 || request.isInFlight() {
		return
	}
	seemsHarmful := s.lostConnections > 0 && !s.hasAnswer
	switch {
	case seemsHarmful && (s.lostConnections >= maxLostConnections || s.awaitsCanary):
		b.fail(s)
	case seemsHarmful && s.isInFlight(): // until that has ended
	case b.mayRepeat(request):
		b.enqueueRequest(request)
	default:
		request.lost = true
		s.reachableWeight -= request.weight
		b.sendWithheld(s)
		b.endIfIncompletable(s)
	}
}
