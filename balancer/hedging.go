package balancer

import (
	"math"
	"slices"
)

const (
	hedgeDelayRatio   = 2.5   // age over the fleet's answer time for a second copy: beyond the 95th percentile
	timeoutRatio      = 2     // times that age: a part's time-out where no copy may run beside it
	quickLatencyRatio = 1.4   // answer time over the usual up to which another holder will do: slower makes take so
	quickRetryRatio   = 1.6   // the same, of what went out again, up to which others are no fuller than the first
	minRetryAnswers   = 0.5   // answers from which that is known: one of the last 7 s
	rescueDelayRatio  = 5.5   // age over the fleet's answer time for calling off: ordinary queues take less
	minHedgeDelay     = 1_500 // shortest such age: under it a copy costs more than it brings
	hedgeRecheckDelay = 1_000 // wait before an overdue part is looked at again
	maxHedgedShare    = 0.5   // share of a search's parts that may be copied: more overdue means a heavy search
)

// isQuickAndIdle tells whether a replica has nothing of ours out and would answer soon. It has to be known as no
// slower than usual, until what went out again was answered quickly of late: then a little slower, or not
// known, will do. Guards against parts that stay where nothing answers, since the other holder is slower than
// the mean by its make alone. Harm: until enough shows that those others are as full.
func (b *balancer) isQuickAndIdle(r *replica) bool {
	if n, total := b.again.read(b.now, longWindow); n < minRetryAnswers || total > n*math.Log(quickRetryRatio) {
		n, total = r.longLatency.read(b.now, longWindow)
		return n >= minReplicaAnswers && total/n <= b.usualLog && len(r.attempts) == 0
	}
	return b.longTermSlowness(r) <= quickLatencyRatio && len(r.attempts) == 0
}

func (b *balancer) hedgeDelay() int64 {
	return int64(max(minHedgeDelay, hedgeDelayRatio*b.fleetLatency()))
}

// hedgeAttempt guards against every kind of silence or slowness of one replica, whatever its cause: a part that
// takes far longer than parts do now gets a second copy elsewhere. Harm: where the part itself is heavy.
func (b *balancer) hedgeAttempt(t *attempt) {
	p := t.request
	if t.ended || p.search.ended || p.completed || p.lost {
		return
	}
	alone, age := !b.settings.isEnabled("Permissions.SecondCopies"), float64(b.now-t.sentAt)
	if !alone {
		b.ways[t.replica.zone].latency.add(b.now, shortWindow, math.Log(age))
	}
	r := b.selectReplica(p)
	lacking, heavy := b.completionOutlook(p.search)
	if alone && lacking && !heavy && !p.search.reduced && b.loadFactor() >= overloadLoadFactor {
		b.sendWithheld(p.search)
	}
	if r == nil || b.isOutlier(r) || !b.mayAttempt(p) || p.queued || !lacking ||
		!b.isOutlier(t.replica) && (len(b.queue) > 0 && !b.isSilent(t) || heavy) ||
		alone && (age < rescueDelayRatio*b.fleetLatency() || !b.isQuickAndIdle(r) || b.loadFactor() < overloadLoadFactor) {
		t.hedgeTimer = b.setTimer(hedgeRecheckDelay, (*hedgeCallback)(t))
		return
	}
	if alone { // it goes out again once its end is told
		b.cancelAttempt(t)
		return
	}
	b.send(p, r)
}

// completionOutlook tells whether the parts in and those out on time fall completionOutlook of a whole answer, and whether so many
// are long out, or were copied, that it is the search that is heavy and not a replica that is slow.
func (b *balancer) completionOutlook(s *search) (lacking, heavy bool) {
	have, long, sent := s.completedWeight, 0.0, 0.0
	for _, p := range s.requests {
		onTime := func(t *attempt) bool {
			return t.holdsSlot && b.now-t.sentAt < b.hedgeDelay() && !b.isOutlier(t.replica)
		}
		switch {
		case len(p.attempts) == 0:
			continue
		case !p.completed && slices.ContainsFunc(p.attempts, onTime):
			have += p.weight
		case !p.completed && b.now-p.attempts[0].sentAt >= b.hedgeDelay() && !b.isOutlier(p.attempts[0].replica):
			long++
		}
		sent++
	}
	return have < s.neededWeight-1e-4, max(long, float64(s.extraAttempts+1)) > math.Ceil(maxHedgedShare*sent)
}
