package rollout

// countOpenSteps returns the number of steps that a majority has voted to open. Votes are not withdrawn within an
// epoch, so the number does not fall until the next epoch.
func (c *Controller) countOpenSteps() int {
	active := c.active
	if active.roster == nil {
		return 0
	}
	completion := len(active.steps) + 1
	votes := make([]int, completion+1) // by step
	for _, member := range c.view {
		status := member.status
		if member.hasNameConflict || !c.isAboutActiveChange(status) {
			continue
		}
		if status.RosterDigest != c.status.RosterDigest || status.ApprovalEpoch != c.status.Verdict.Epoch {
			continue
		}
		for step := 1; step <= min(status.ApprovedSteps, completion); step++ {
			votes[step]++
		}
	}
	for step := completion; step > 0; step-- {
		if c.isMajority(votes[step]) {
			return step
		}
	}
	return 0
}

// voteForNextStep approves the next step unless this instance knows a reason to delay it.
func (c *Controller) voteForNextStep() {
	verdict, status, active := c.status.Verdict, &c.status, c.active
	if status.ApprovalEpoch != verdict.Epoch {
		status.ApprovalEpoch, status.ApprovedSteps = verdict.Epoch, 0
	}
	if verdict.Order != OrderProceed || active.roster == nil || c.mayHaveLostVotes() || !c.mayVote() {
		return
	}
	if active.openSteps > status.ApprovedSteps { // a majority has approved further steps
		status.ApprovedSteps, c.statusChanged = active.openSteps, true
		return
	}
	isWaitingForOthers := active.openSteps < status.ApprovedSteps
	if status.ApprovedSteps > len(active.steps) || isWaitingForOthers || !c.hearsFromMajority() {
		return
	}
	if reason := c.delayReason(); reason != "" {
		c.logDelay(reason)
		return
	}
	active.lastApprovalAt = c.now
	status.ApprovedSteps++
	c.statusChanged = true
	var searches uint64
	if active.analysis != nil {
		searches = active.analysis.CountSearches()
	}
	c.logEvent(eventStepApproved, nil, "change", active.Name, "number", active.Number, "step", status.ApprovedSteps,
		"steps", len(active.steps), "searches", searches)
}

// logDelay logs why the next step has not begun, long after it could have.
func (c *Controller) logDelay(reason string) {
	active, approved := c.active, c.status.ApprovedSteps
	expected := active.SilenceTimeout
	if approved > 0 {
		expected += active.WarmUp + active.steps[approved-1].watch
	}
	if c.now-active.lastApprovalAt > expected {
		c.logOnce(eventDelayed, &StepDelayedError{Number: active.Number, Step: approved + 1, Reason: reason})
	}
}

// delayReason returns why the next step may not begin yet, empty if it may.
func (c *Controller) delayReason() string {
	if reason := c.participationDelay(); reason != "" {
		return reason
	}
	if c.status.ApprovedSteps == 0 {
		return ""
	}
	if reason := c.watchDelay(); reason != "" {
		return reason
	}
	return c.comparisonDelay()
}

// participationDelay requires that a majority agrees on the roster and, before the first step, that no member still
// runs an earlier change.
func (c *Controller) participationDelay() string {
	active, participants := c.active, 0
	for _, member := range c.view {
		status := member.status
		if !member.isFresh || !c.isAboutActiveChange(status) || status.RosterDigest != c.status.RosterDigest {
			continue
		}
		participants++
		runsEarlierChange := status.RunningNumber != active.Number && status.RunningNumber != active.BaseNumber
		if runsEarlierChange && c.status.ApprovedSteps == 0 {
			return member.name + " still runs an earlier change"
		}
	}
	if !c.isMajority(participants) {
		return "the members that are heard from and agree on the roster are not a majority"
	}
	return ""
}

// watchDelay requires that the members of all steps so far serve with the change, and that those of the latest step
// have been watched for the step's time. Members that fell silent before they had the change are skipped; they apply it
// once they are back.
func (c *Controller) watchDelay() string {
	active := c.active
	current := c.status.ApprovedSteps - 1
	step, stepStart := active.steps[current], 0
	if current > 0 {
		stepStart = active.steps[current-1].end
	}
	watched := 0
	for position, instance := range active.roster.order[:step.end] {
		status := c.statusOf(instance.Name)
		if !c.isFresh(instance.Name) {
			if c.silenceOf(instance.Name) <= active.SilenceTimeout {
				return instance.Name + " is not heard from"
			}
			continue
		}
		if status.RunningNumber != active.Number || status.ServingFor < 0 {
			return instance.Name + " has not applied the change"
		}
		if status.ServingFor >= active.WarmUp+step.watch {
			watched++
		} else if position >= stepStart {
			return instance.Name + " is still being watched"
		}
	}
	if watched == 0 {
		return "no instance with the change is left to watch"
	}
	return ""
}

// comparisonDelay requires that enough searches were compared and that they do not suggest a regression. It requires
// nothing after the last step, or if there are no instances to compare with.
func (c *Controller) comparisonDelay() string {
	active := c.active
	isLastStep := active.steps[c.status.ApprovedSteps-1].end >= len(active.roster.order)
	if isLastStep || !c.hasFreshBaseline() {
		return ""
	}
	if active.analysis == nil || active.analysis.CountSearches() < uint64(active.MinSearches) {
		return "too few searches were compared"
	}
	if value, _ := active.analysis.EValue(); value > maxContinueEValue {
		return "the change may be a regression"
	}
	return ""
}

// hasFreshBaseline reports whether any fresh instance still runs the base of the change.
func (c *Controller) hasFreshBaseline() bool {
	for _, member := range c.view {
		if member.isFresh && member.status.RunningNumber == c.active.BaseNumber {
			return true
		}
	}
	return false
}
