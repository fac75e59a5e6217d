package balancer

const (
	minLateShare = 0.05 // late share up to which a late answer is not worth going on for
)

// isAnswerable tells whether an answer may go out from so much, marked whole or not: never under the least share.
func (b *balancer) isAnswerable(s *search, have float64) bool {
	least := b.settings.listNumber("Specifics.ClassFloor", s.queryType, 1)
	if s.step == 2 && least >= b.settings.listNumber("Specifics.NeedByClass", s.queryType, 1) {
		least = 1
	}
	return have > 0 && have >= min(least+1e-6, s.neededWeight-1e-6)
}

// answerIfComplete answers as soon as enough is in, or when all that can come has come.
func (b *balancer) answerIfComplete(s *search) {
	if s.completedWeight >= s.neededWeight-1e-6 || s.reachableWeight < s.neededWeight-1e-4 && s.completedWeight >= s.reachableWeight-1e-6 && b.isAnswerable(s, s.completedWeight) {
		b.answer(s)
	}
}

func (b *balancer) answer(s *search) {
	whole := s.completedWeight >= s.neededWeight-1e-6
	if s.step == 1 {
		s.firstStepComplete = whole
		b.recordSearchDuration(s)
	}
	b.actions.AnswerSearch(s.id, whole && s.firstStepComplete)
	if s.step == 1 && b.settings.listNumber("Specifics.FollowUp", s.queryType, 0) > 0 {
		b.cancelStep(s)
		s.step, s.requests, s.completedWeight, s.reachableWeight, s.neededWeight, s.extraAttempts = 2, nil, 0, 0, 1, 0
		return
	}
	b.endSearch(s)
}

// fail ends a search at once with the best that is true of it, shedding where asking again harms nothing.
func (b *balancer) fail(s *search) {
	if !s.ended && b.isAnswerable(s, s.completedWeight) {
		b.answer(s)
	}
	if !s.ended && s.admittedAt > 0 && s.step == 1 {
		b.recordSearchDuration(s) // took this long at least: answers alone would flatter
	}
	if !s.ended && b.isRepeatable(s) {
		b.shed(s)
	} else if !s.ended {
		b.actions.FailSearch(s.id)
		b.endSearch(s)
	}
}

func (b *balancer) shed(s *search) {
	advice := int64(0)
	if b.settings.isEnabled("Permissions.RetryAfter") {
		wait := b.behind / b.answerRate()
		if b.fullness >= 1 { // room comes as answers go out
			wait = max(wait, b.fleetLatency())
		}
		advice = min(int64(wait), b.settings.duration("Permissions.MaxRetryAfter"))
	}
	b.actions.ShedSearch(s.id, advice)
	b.endSearch(s)
}

// objectiveReached looks at a search whose latency target ends: an answer short of whole goes out where the type
// allows one, and a search that is worth nothing late makes room.
func (b *balancer) objectiveReached(s *search) {
	if !s.ended && b.isAnswerable(s, s.completedWeight) {
		b.answer(s)
	} else if !s.ended && !b.hasLateValue(s) {
		b.fail(s)
	}
}

func (b *balancer) hasLateValue(s *search) bool {
	return b.settings.optionalNumber(b.settings.fieldName("Classes", s.queryType, "LateShare"), 0) > minLateShare
}
