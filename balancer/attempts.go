package balancer

import (
	"math"
	"slices"
)

func (b *balancer) send(p *shardRequest, r *replica) {
	t := p.newAttempt()
	t.request, t.replica, t.index, t.sentAt, t.holdsSlot = p, r, len(p.attempts), b.now, true
	if t.index > 0 {
		b.recordForBudget(&b.further)
		p.search.extraAttempts++
	}
	if b.isOutlier(r) || b.isGossipedOutlier(r) {
		r.nextTrial, b.trialAt = b.now+trialInterval, b.now+trialSpacing
	} else if b.isZoneDegraded(r.zone) {
		b.ways[r.zone].nextTrial = b.now + trialInterval
	}
	r.slowStartCredit--
	r.lastSent = b.now
	if r.currentBatchAt != b.now || r.currentBatch == nil || r.currentBatch.size >= int(b.settings.optionalNumber("Specifics.PerCall", 1)) {
		r.currentBatch, r.currentBatchAt = &t.ownBatch, b.now
		r.batchesInFlight++
	}
	t.batch = r.currentBatch
	t.batch.size++
	t.batch.inFlight++
	if r.unanswered == 0 {
		r.silentSince = b.now
	}
	r.unanswered++
	p.attempts, r.attempts = append(p.attempts, t), append(r.attempts, t)
	b.flights.recordSent(t)
	patience := p.search.deadline - b.now + answerMargin
	if b.settings.isEnabled("Permissions.SecondCopies") || b.settings.isEnabled("Permissions.Cancelling") {
		t.hedgeTimer = b.setTimer(b.hedgeDelay(), (*hedgeCallback)(t))
	} else if !b.settings.isEnabled("Permissions.Cancelling") && len(p.attempts) < b.maxAttempts() && p.search.effect != "fragile" {
		patience = min(patience, timeoutRatio*b.hedgeDelay())
	}
	b.actions.SendAttempt(p.id, r.id, patience)
	b.next[p.id<<8|uint64(t.index)] = t
}

// attemptEnded is what every sub-request leaves behind for its outcome.
func (b *balancer) attemptEnded(t *attempt, ending string, wait, again int64) {
	b.releaseSlot(t)
	b.flights.recheck(t.replica)
	t.ended = true
	p, r, s := t.request, t.replica, t.request.search
	pace := math.Log(float64(max(1, wait)))
	switch ending {
	case "Ok":
		if r.connectFailures >= restartConnectFailures && b.isWarmedUp(r) {
			r.startedAt, r.slowStartCredit, r.slowStartUpdatedAt = b.now, b.rng.Float64(), b.now // back before the list says so
		}
		t.mayHaveRun, r.consecutiveFailures, r.connectFailures, r.gossipedOutlierUntil, r.retryAfter, r.lastAnswer = true, 0, 0, 0, 0, b.now
		r.unanswered, r.silentSince = len(r.attempts), b.now
		b.flights.recordSilence(r)
		r.recordLatency(b.now, pace)
		b.ways[r.zone].latency.add(b.now, shortWindow, pace)
		b.pace.add(b.now, fleetWindow, pace)
		b.adjustLimit()
		b.done.add(b.now, rateWindow, 1)
		b.recordRetryLatency(t, pace)
		if !p.completed && !p.lost && !s.ended {
			first := !s.hasAnswer
			p.completed, s.hasAnswer = true, true
			s.completedWeight += p.weight
			for _, o := range p.attempts {
				b.cancelAttempt(o)
			}
			b.answerIfComplete(s)
			if s.awaitsCanary {
				if s.awaitsCanary = false; !s.ended && s.step == 1 {
					b.admit(s)
				}
			}
			for i := 0; first && i < len(s.requests); i++ { // any later one has left none to wait for it
				b.retryLost(s.requests[i])
			}
		}
		return
	case "Canceled", "TimedOut":
		t.mayHaveRun = true
		if ending == "TimedOut" { // what was called off was measured then
			r.recordLatency(b.now, pace)
		}
	case "Failed", "QueueFull":
		if ending == "QueueFull" {
			r.recordLatency(b.now, math.Log(queueFullLatencyRatio*b.fleetLatency()))
		}
		t.mayHaveRun, r.retryAfter = ending == "Failed", max(r.retryAfter, b.now+min(maxRetryAfter, again))
		b.flights.recheckAt(r, r.retryAfter)
		r.nextTrial, r.consecutiveFailures = max(r.nextTrial, r.retryAfter), r.consecutiveFailures+1
	case "ConnectError":
		r.connectFailures, b.fell = r.connectFailures+r.countConnectionLoss(b.now), b.now
	case "ResetByPeer": // guards against lost connections: their replica has not died for that
		t.mayHaveRun, r.consecutiveFailures = true, r.consecutiveFailures+r.countConnectionLoss(b.now)
		if float64(wait) > minStartedShare*b.shortestLatency() { // sooner is the way's doing, not the part's
			s.lostConnections, b.fell = s.lostConnections+1, b.now
		}
	}
	if b.isOutlier(r) && r.nextTrial <= b.now {
		r.nextTrial = b.now + trialInterval
	}
	b.retryLost(p)
}

func (b *balancer) cancelAttempt(t *attempt) {
	if !t.holdsSlot || !b.settings.isEnabled("Permissions.Cancelling") {
		return
	}
	if age := float64(b.now - t.sentAt); age > b.fleetLatency() {
		pace := math.Log(age)
		b.recordRetryLatency(t, pace)
		t.replica.recordLatency(b.now, pace)
	}
	b.releaseSlot(t)
	b.actions.CancelAttempt(t.request.id, t.index)
}

func (b *balancer) releaseSlot(t *attempt) {
	if !t.holdsSlot {
		return
	}
	b.flights.recordEnded(t)
	b.cancelTimer(t.hedgeTimer)
	if t.batch.inFlight--; t.batch.inFlight == 0 {
		t.replica.batchesInFlight--
	}
	t.replica.attempts = slices.DeleteFunc(t.replica.attempts, func(o *attempt) bool { return o == t })
}

func (b *balancer) RecordAttemptOutcome(part uint64, leg int, ending string, wait int64, over bool,
	report map[string]float64,
) {
	key := part<<8 | uint64(leg)
	if t := b.next[key]; t != nil {
		delete(b.next, key)
		b.attemptEnded(t, ending, wait, int64(report["RetryAfter"]*10))
	}
}
