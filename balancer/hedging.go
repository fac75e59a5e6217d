package balancer

import (
	"math"
	"slices"
)

const (
	// hedgeDelayRatio is the age over the fleet latency at which an attempt is hedged: beyond the 95th percentile.
	hedgeDelayRatio = 2.5
	// minHedgeDelay is the shortest such age, in tenths of a millisecond: under it a hedged attempt costs more than it
	// brings.
	minHedgeDelay = 150 * millisecond
	// hedgeRecheckDelay is the wait before an overdue attempt is looked at again, in tenths of a millisecond.
	hedgeRecheckDelay = 100 * millisecond
	// maxHedgedShare is the share of a search's requests that may be hedged: if more are overdue the search is heavy.
	maxHedgedShare = 0.5
	// timeoutRatio is the timeout over the hedge delay of an attempt that can be neither hedged nor cancelled.
	timeoutRatio = 2

	// rescueDelayRatio is the age over the fleet latency at which an attempt is cancelled to be sent elsewhere, where
	// hedging is not allowed: ordinary queues take less.
	rescueDelayRatio = 5.5
	// quickLatencyRatio is the latency over the fleet latency up to which another holder will do: slower hardware takes so
	// long.
	quickLatencyRatio = 1.4
	// quickRetryRatio is the same of retries, up to which other holders are taken to be no busier than the first.
	quickRetryRatio = 1.6
	// minRetryAnswers is the decayed number of answered retries from which that is known: one within the last 7 s.
	minRetryAnswers = 0.5
)

// hedgeDelay is the age at which an attempt is overdue, in tenths of a millisecond.
func (b *balancer) hedgeDelay() int64 {
	return int64(max(minHedgeDelay, hedgeDelayRatio*b.latency.fleetLatency(b.now)))
}

// hedgeAttempt handles an overdue attempt: a second one goes to another replica, or, where two may not run at once, it is
// cancelled and sent elsewhere once its end is known. That covers every kind of silence or slowness of one replica,
// whatever its cause. Where the request itself is heavy it doubles the work.
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
		b.loadFactor() >= overloadLoadFactor {
		b.sendWithheld(request.search)
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

// mayHedge tells whether an overdue attempt is to be hedged, or sent elsewhere, now. Not while searches wait, unless it is
// silent, and not for a heavy search, unless its replica is an outlier: the work would be taken from others.
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
	return b.settings.allowsHedging() || b.mayMove(a, target)
}

// mayMove tells whether an attempt is to be cancelled and sent elsewhere. It is much older than one that is hedged, since
// the work so far is lost.
func (b *balancer) mayMove(a *attempt, target *replica) bool {
	age := float64(b.now - a.sentAt)
	return age >= rescueDelayRatio*b.latency.fleetLatency(b.now) && b.isQuickAndIdle(target) &&
		b.loadFactor() >= overloadLoadFactor
}

// isQuickAndIdle tells whether a replica has no attempts in flight and would answer soon. It must be known to be no slower
// than usual; once retries have been answered quickly of late, a little slower or not known will do as well. Otherwise a
// request would stay where nothing answers only because the other holder's hardware is slower than the mean. Until enough
// retries show that other holders are busy too, some requests move there in vain.
func (b *balancer) isQuickAndIdle(r *replica) bool {
	count, total := b.latency.retries.read(b.now, longWindow)
	if count < minRetryAnswers || total > count*math.Log(quickRetryRatio) {
		count, total = r.latency.long.read(b.now, longWindow)
		return count >= minReplicaAnswers && total/count <= b.latency.cachedLogLatency && len(r.attempts) == 0
	}
	return b.longTermSlowness(r) <= quickLatencyRatio && len(r.attempts) == 0
}

// searchOutlook is what the attempts in flight let expect of a search.
type searchOutlook struct {
	isShort bool // the answers so far and the attempts that are not overdue make no complete answer
	isHeavy bool // so many attempts are overdue, or were hedged, that the search is heavy rather than a replica slow
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
