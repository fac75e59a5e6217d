package balancer

import (
	"math"
	"slices"
)

const (
	// hedgeDelayRatio is the ratio of an attempt's age to the fleet latency from which the attempt is hedged: beyond
	// the 95th percentile.
	hedgeDelayRatio = 2.5
	// minHedgeDelay is the shortest such age, in tenths of a millisecond: below it a hedged attempt costs more than it
	// gains.
	minHedgeDelay = 150 * millisecond
	// hedgeRecheckDelay is the wait before an overdue attempt is checked again, in tenths of a millisecond.
	hedgeRecheckDelay = 100 * millisecond
	// maxHedgedShare is the share of a search's requests that may be hedged: if more are overdue, the search itself is
	// heavy.
	maxHedgedShare = 0.5
	// timeoutRatio is the ratio of timeout to hedge delay for an attempt that can be neither hedged nor cancelled.
	timeoutRatio = 2

	// rerouteDelayRatio is the ratio of an attempt's age to the fleet latency from which, if hedging is not allowed,
	// the attempt is cancelled and sent to another replica: ordinary queueing takes less time.
	rerouteDelayRatio = 5.5
	// quickLatencyRatio is the ratio of another holder's latency to the fleet latency up to which that holder counts as
	// quick: slower hardware takes this long.
	quickLatencyRatio = 1.4
	// quickRetryRatio is the ratio of the latency of retries to the fleet latency up to which other holders are assumed
	// to be no busier than the first.
	quickRetryRatio = 1.6
	// minRetryAnswers is the decayed number of answered retries from which their latency is used: one within the last 7
	// s.
	minRetryAnswers = 0.5
)

// hedgeDelay returns the age at which an attempt is overdue, in tenths of a millisecond.
func (b *balancer) hedgeDelay() int64 {
	return int64(max(minHedgeDelay, hedgeDelayRatio*b.latency.fleetLatency(b.now)))
}

// hedgeAttempt handles an overdue attempt: a second attempt goes to another replica or, if two may not run at once, the
// first is cancelled and the request is sent elsewhere once the attempt has ended. This covers every kind of silence or
// slowness of one replica, whatever its cause. If the request itself is heavy, the second attempt doubles the work.
func (b *balancer) hedgeAttempt(a *attempt) {
	request := a.request
	if a.ended || !request.isOpen() {
		return
	}
	allowsHedging := b.settings.allowsHedging()
	if allowsHedging {
		b.zones[a.replica.zone].latency.add(b.now, shortWindow, math.Log(float64(b.now-a.sentAt)))
	}
	target := b.selectReplica(request)
	outlook := b.outlookOf(request.search)
	if !allowsHedging && outlook.isShort && !outlook.isHeavy && !request.search.reduced &&
		b.latencyGradient() >= overloadGradient {
		b.sendWithheldExtra(request.search)
	}
	switch {
	case !b.mayHedge(a, target, outlook):
		a.hedgeTimer = b.setTimer(hedgeRecheckDelay, (*hedgeCallback)(a))
	case allowsHedging:
		b.send(request, target)
	default:
		b.cancelAttempt(a)
	}
}

// mayHedge tells whether an overdue attempt is to be hedged, or sent elsewhere, now. While searches wait, only silent
// attempts are hedged; attempts of heavy searches never are: the work would take capacity from other searches. Neither
// restriction applies to an attempt at an outlier.
func (b *balancer) mayHedge(a *attempt, target *replica, outlook searchOutlook) bool {
	request := a.request
	if target == nil || b.isOutlier(target) || !b.mayAttempt(request) || request.queued || !outlook.isShort {
		return false
	}
	if !b.isOutlier(a.replica) {
		hasWaitingSearches := len(b.admission.searches) > 0
		if hasWaitingSearches && !b.isSilent(a) || outlook.isHeavy {
			return false
		}
	}
	return b.settings.allowsHedging() || b.mayReroute(a, target)
}

// mayReroute tells whether an attempt is to be cancelled and sent elsewhere. It must be much older than an attempt that
// is hedged, since the work done so far is lost.
func (b *balancer) mayReroute(a *attempt, target *replica) bool {
	age := float64(b.now - a.sentAt)
	return age >= rerouteDelayRatio*b.latency.fleetLatency(b.now) && b.isQuickAndIdle(target) &&
		b.latencyGradient() >= overloadGradient
}

// isQuickAndIdle tells whether a replica has no attempts in flight and would answer soon. It must be known to be no
// slower than usual; once recent retries have been answered quickly, a replica that is a little slower or unknown will
// also do. Without this exception, a request would stay at a replica that does not answer whenever the other holder's
// hardware is slower than the mean. Until enough retries show that other holders are busy too, some requests are moved
// there in vain.
func (b *balancer) isQuickAndIdle(r *replica) bool {
	count, total := b.latency.retries.read(b.now, longWindow)
	if count < minRetryAnswers || total > count*math.Log(quickRetryRatio) {
		count, total = r.latency.long.read(b.now, longWindow)
		return count >= minReplicaAnswers && total/count <= b.latency.cachedLogLatency && len(r.attempts) == 0
	}
	return b.longTermSlowness(r) <= quickLatencyRatio && len(r.attempts) == 0
}

// searchOutlook is what to expect of a search, given its attempts in flight.
type searchOutlook struct {
	isShort bool // the answers so far and the attempts that are not overdue do not make up a complete answer
	isHeavy bool // so many attempts are overdue or were hedged that the cause is a heavy search, not a slow replica
}

func (b *balancer) outlookOf(s *search) searchOutlook {
	weight, overdue, sent := s.completedWeight, 0.0, 0.0
	isOnTime := func(a *attempt) bool {
		return a.holdsSlot && b.now-a.sentAt < b.hedgeDelay() && !b.isOutlier(a.replica)
	}
	for _, request := range s.requests {
		if len(request.attempts) == 0 {
			continue
		}
		sent++
		if request.completed {
			continue
		}
		first := request.attempts[0]
		if slices.ContainsFunc(request.attempts, isOnTime) {
			weight += request.weight
		} else if b.now-first.sentAt >= b.hedgeDelay() && !b.isOutlier(first.replica) {
			overdue++
		}
	}
	return searchOutlook{
		isShort: s.isShort(weight),
		isHeavy: max(overdue, float64(s.extraAttempts+1)) > math.Ceil(maxHedgedShare*sent),
	}
}
