package balancer

import "math"

// logOf returns the logarithm of a latency, which counts as at least one tenth of a millisecond.
func logOf(latency int64) float64 { return math.Log(float64(max(1, latency))) }

// send sends a request to a replica.
func (b *balancer) send(request *shardRequest, target *replica) {
	a := request.newAttempt()
	a.request, a.replica, a.index = request, target, len(request.attempts)
	a.sentAt, a.holdsSlot = b.now, true
	if a.index > 0 {
		b.recordRetry()
		request.search.extraAttempts++
	}
	b.scheduleProbe(target)
	target.slowStart.credit--
	target.lastSent = b.now
	target.joinBatch(a, b.now, int(b.settings.optionalNumber(settingBatchSize, 1)))
	target.health.recordSent(b.now)
	request.attempts, target.attempts = append(request.attempts, a), append(target.attempts, a)
	b.inflight.recordSent(a)
	timeout := b.timeoutFor(request)
	if b.settings.allowsHedging() || b.settings.allowsCancelling() {
		a.hedgeTimer = b.setTimer(b.hedgeDelay(), (*hedgeCallback)(a))
	}
	b.actions.SendAttempt(request.id, target.id, timeout)
	b.searches.attempts[attemptKey(request.id, a.index)] = a
}

// timeoutFor returns how long to wait for the latest attempt of a request: until the deadline. An attempt that can be
// neither hedged nor cancelled, but may be sent again, gets a shorter timeout, since nothing else would let the request
// go to another replica.
func (b *balancer) timeoutFor(request *shardRequest) int64 {
	timeout := request.search.deadline - b.now + answerMargin
	if b.settings.allowsHedging() || b.settings.allowsCancelling() {
		return timeout
	}
	if len(request.attempts) < b.settings.maxAttempts() && request.search.effect != effectFragile {
		timeout = min(timeout, timeoutRatio*b.hedgeDelay())
	}
	return timeout
}

// cancelAttempt cancels an attempt if the settings allow it. An attempt that took longer than usual is recorded with
// its age: otherwise the slow attempts, which are the ones that get cancelled, would be missing from the estimates.
func (b *balancer) cancelAttempt(a *attempt) {
	if !a.holdsSlot || !b.settings.allowsCancelling() {
		return
	}
	if age := float64(b.now - a.sentAt); age > b.latency.fleetLatency(b.now) {
		logAge := math.Log(age)
		if a.index > 0 {
			b.latency.recordRetry(b.now, logAge)
		}
		a.replica.latency.record(b.now, logAge)
	}
	b.releaseSlot(a)
	b.actions.CancelAttempt(a.request.id, a.index)
}

// releaseSlot removes an attempt from those in flight.
func (b *balancer) releaseSlot(a *attempt) {
	if !a.holdsSlot {
		return
	}
	b.inflight.recordEnded(a)
	b.cancelTimer(a.hedgeTimer)
	a.replica.leaveBatch(a)
	a.replica.removeAttempt(a)
}

func (b *balancer) RecordAttemptOutcome(request uint64, index int, outcome string, wait int64, _ bool,
	report map[string]float64,
) {
	key := attemptKey(request, index)
	if a := b.searches.attempts[key]; a != nil {
		delete(b.searches.attempts, key)
		b.attemptEnded(a, outcome, wait, int64(report[reportRetryAfter]*millisecond))
	}
}

func (b *balancer) attemptEnded(a *attempt, outcome string, wait, retryAfter int64) {
	b.releaseSlot(a)
	b.inflight.recheck(a.replica)
	a.ended = true
	if outcome == OutcomeOK {
		b.recordAnswer(a, wait)
		b.completeRequest(a.request)
		return
	}
	b.recordFailure(a, outcome, wait, retryAfter)
	b.retryOrGiveUp(a.request)
}

// recordAnswer records what an answer shows of its replica and of the fleet.
func (b *balancer) recordAnswer(a *attempt, wait int64) {
	r, logLatency := a.replica, logOf(wait)
	if r.health.connectFailures >= restartConnectFailures && b.isWarmedUp(r) { // restarted; the list does not say so yet
		r.startedAt = b.now
		r.slowStart.reset(b.now, b.rng.Float64())
	}
	a.mayHaveRun = true
	r.health.recordAnswer(b.now, len(r.attempts))
	b.inflight.recordSilence(r)
	r.latency.record(b.now, logLatency)
	b.zones[r.zone].latency.add(b.now, shortWindow, logLatency)
	b.latency.answers.add(b.now, fleetWindow, logLatency)
	b.adjustLimit()
	b.latency.answerCount.add(b.now, rateWindow, 1)
	if a.index > 0 {
		b.latency.recordRetry(b.now, logLatency)
	}
}

// completeRequest records the answer to a request, cancels its other attempts and continues its search.
func (b *balancer) completeRequest(request *shardRequest) {
	if !request.isOpen() {
		return
	}
	s := request.search
	isFirstAnswer := !s.hasAnswer
	request.completed, s.hasAnswer = true, true
	s.completedWeight += request.weight
	for _, a := range request.attempts {
		b.cancelAttempt(a)
	}
	b.answerIfComplete(s)
	if s.awaitsCanary {
		s.awaitsCanary = false
		if !s.ended && s.step == 1 {
			b.admit(s)
		}
	}
	if isFirstAnswer { // retries of other requests may have been waiting for it
		for i := 0; i < len(s.requests); i++ { // the slice may change during the loop
			b.retryOrGiveUp(s.requests[i])
		}
	}
}
