package shadow

// countIf counts a decision of a kind if it diverges.
func (c *Comparator) countIf(kind int, diverges bool) {
	if diverges {
		c.counts[kind].Add(1)
	}
}

// compare counts a decision of a kind if a check of it has different results under the two sets of settings.
func (c *Comparator) compare(kind int, check func(settings) bool) {
	c.countIf(kind, check(c.active) != check(c.shadow))
}

// compareAttempt compares the decision to send an attempt to a replica, nil for an unknown one.
func (c *Comparator) compareAttempt(request *shardRequest, to *replica) {
	search := request.search
	if request.attempts == 0 && search.step == firstStep {
		c.compare(KindExtraShardRequest, func(s settings) bool {
			return search.sentWeight < s.requiredWeight(search.searchType)-weightTolerance
		})
		search.sentWeight += request.weight
	}
	if request.attempts > 0 {
		c.compare(KindAttemptLimit, func(s settings) bool { return float64(request.attempts) < s.float(maxAttemptsSetting, 1) })
		c.compare(KindRetryBudget, func(s settings) bool { return s.allowsRetry(c.now, c.requestTimes, c.retryTimes) })
		c.retryTimes = c.appendNow(c.retryTimes)
	}
	if request.inFlight > 0 {
		c.compare(KindHedgedAttempt, func(s settings) bool { return s.bool(hedgingSetting) })
	}
	if to != nil {
		c.compare(KindSlowStart, func(s settings) bool { return s.isWarmingUp(c.now, to.startedAt) })
		c.compare(KindDraining, func(s settings) bool { return s.isPastDrainGrace(c.now, to.drainingSince) })
	}
}

// compareAnswer compares whether a search's answered shard requests suffice for an answer, and for a complete one.
func (c *Comparator) compareAnswer(s *search) {
	allowed, complete := c.active.checkAnswer(s.searchType, s.answeredWeight)
	shadowAllowed, shadowComplete := c.shadow.checkAnswer(s.searchType, s.answeredWeight)
	c.countIf(KindPartialAnswer, allowed != shadowAllowed || allowed && complete != shadowComplete)
}
