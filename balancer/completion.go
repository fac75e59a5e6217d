package balancer

// minLateShare is the value of a late answer, relative to one in time, up to which a search is not worth continuing.
const minLateShare = 0.05

// isAnswerable tells whether an answer of some weight may be returned, complete or not: never one below the least share
// of the query type. A second step needs all of its requests unless the type allows partial answers.
func (b *balancer) isAnswerable(s *search, weight float64) bool {
	leastWeight := b.settings.listNumber(settingMinWeight, s.queryType, 1)
	if s.step == 2 && leastWeight >= b.settings.listNumber(settingNeededWeight, s.queryType, 1) {
		leastWeight = 1
	}
	return weight > 0 && weight >= min(leastWeight+weightRounding, s.neededWeight-weightRounding)
}

// answerIfComplete answers as soon as enough requests are answered, whichever they are, or once no further answers can
// come.
func (b *balancer) answerIfComplete(s *search) {
	hasAllReachable := s.isShort(s.reachableWeight) && s.completedWeight >= s.reachableWeight-weightRounding
	if s.isComplete() || hasAllReachable && b.isAnswerable(s, s.completedWeight) {
		b.answer(s)
	}
}

// endIfUnanswerable ends a search that has just lost requests if the remaining ones do not suffice for an answer.
func (b *balancer) endIfUnanswerable(s *search) {
	b.answerIfComplete(s)
	if !s.ended && s.isShort(s.reachableWeight) && !b.isAnswerable(s, s.reachableWeight) {
		b.fail(s)
	}
}

// answer answers the current step with the answers received so far. The first answer of a search with two steps is
// followed by the requests of the second step.
func (b *balancer) answer(s *search) {
	isComplete := s.isComplete()
	if s.step == 1 {
		s.firstStepComplete = isComplete
		b.latency.recordDuration(b.now, s)
	}
	b.actions.AnswerSearch(s.id, isComplete && s.firstStepComplete)
	if s.step == 1 && b.settings.listNumber(settingSecondStepSize, s.queryType, 0) > 0 {
		b.cancelStep(s)
		s.beginSecondStep()
		return
	}
	b.endSearch(s)
}

// fail ends a search at once with the best possible result: a partial answer, else shedding if the client may safely
// send the search again, else an error.
func (b *balancer) fail(s *search) {
	if !s.ended && b.isAnswerable(s, s.completedWeight) {
		b.answer(s)
	}
	if s.ended {
		return
	}
	if s.admittedAt > 0 && s.step == 1 {
		// A lower bound of its duration: answered searches alone would give too short a mean.
		b.latency.recordDuration(b.now, s)
	}
	if s.isRepeatable() {
		b.shed(s)
		return
	}
	b.actions.FailSearch(s.id)
	b.endSearch(s)
}

// shed rejects a search whose client may send it again. If the settings allow a Retry-After, it is the time that the
// currently waiting requests will take.
func (b *balancer) shed(s *search) {
	retryAfter := int64(0)
	if b.settings.isEnabled(settingRetryAfter) {
		wait := b.admission.pendingRequests / b.throughput()
		if b.utilization >= 1 { // capacity is freed as answers go out
			wait = max(wait, b.latency.fleetLatency(b.now))
		}
		retryAfter = min(int64(wait), b.settings.duration(settingMaxRetryAfter))
	}
	b.actions.ShedSearch(s.id, retryAfter)
	b.endSearch(s)
}

// objectiveReached handles a search whose latency objective ends: a partial answer is returned if the type allows one,
// and a search whose late answer has no value makes room for others.
func (b *balancer) objectiveReached(s *search) {
	if s.ended {
		return
	}
	if b.isAnswerable(s, s.completedWeight) {
		b.answer(s)
	} else if !b.hasLateValue(s) {
		b.fail(s)
	}
}

// hasLateValue tells whether an answer after the latency objective is worth the work.
func (b *balancer) hasLateValue(s *search) bool {
	name := b.settings.fieldName(listQueryTypes, s.queryType, fieldLateShare)
	return b.settings.optionalNumber(name, 0) > minLateShare
}
