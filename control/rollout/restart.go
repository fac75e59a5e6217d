package rollout

import "slices"

const (
	// requestTimeoutDivisor is the part of the silence timeout in which a permit request has to be granted, or it is
	// withdrawn.
	requestTimeoutDivisor = 4
	// minRequestDelay is the shortest wait after a withdrawn request. Instances wait up to requestDelaySlots times as
	// long, so that they do not all ask again at once.
	minRequestDelay   = second
	requestDelaySlots = 4
)

// decideRestart decides about this instance's own restart: it asks for permits where another change should run here,
// and restarts with those of a majority.
func (c *Controller) decideRestart() {
	if c.servingSince < 0 || c.restarting {
		return
	}
	target := c.targetNumber()
	_, isKnown := c.knownChange(target)
	if target == c.status.RunningNumber || !isKnown || c.active.roster == nil || !c.hearsMajority() {
		c.withdrawPermitRequest()
		return
	}
	c.withdrawFailedRequest(target)
	if !c.hasPermitRequest() {
		if c.now < c.permits.retryAt {
			return
		}
		c.requestPermit(target)
	}
	granted := c.countPermits()
	if !c.isMajority(granted) {
		return
	}
	c.restarting = true
	c.decision.Restart = &Restart{
		TargetNumber: target, Change: c.registry.change(target), Epoch: c.status.Verdict.Epoch, ReadyTimeout: c.active.ReadyTimeout,
	}
	c.logEvent(eventRestart, nil, "number", target, "previous", c.status.RunningNumber, "granted", granted)
}

// targetNumber is the number of the change that this instance should run.
func (c *Controller) targetNumber() uint64 {
	active, verdict, running := c.active, c.status.Verdict, c.status.RunningNumber
	switch {
	case running != active.Number && running != active.BaseNumber:
		return active.BaseNumber // it was away for earlier changes, or runs one that a later change has ended
	case verdict.Order == OrderRollBack:
		return active.BaseNumber
	case verdict.Order == OrderProceed && c.isOwnStepOpen() && c.status.FailedEpoch != verdict.Epoch:
		return active.Number
	}
	return running
}

func (c *Controller) isOwnStepOpen() bool {
	return c.active.roster != nil && c.active.openSteps >= c.active.stepOf(c.initial.Self.Name)
}

func (c *Controller) hasPermitRequest() bool { return c.status.PermitRequest.Number != 0 }

func (c *Controller) withdrawPermitRequest() {
	if c.hasPermitRequest() {
		c.status.PermitRequest, c.statusChanged = PermitRequest{}, true
	}
}

// withdrawFailedRequest withdraws a request for another target or without enough grants in time. Otherwise two steps
// that have the grants of a part of the cluster each would block each other.
func (c *Controller) withdrawFailedRequest(target uint64) {
	isTimedOut := c.now-c.permits.requestedAt > c.active.SilenceTimeout/requestTimeoutDivisor
	if !c.hasPermitRequest() || c.status.PermitRequest.TargetNumber == target && !isTimedOut {
		return
	}
	c.withdrawPermitRequest()
	slot := int64(c.active.roster.position[c.initial.Self.Name]+int(c.permits.lastNumber)) % requestDelaySlots
	c.permits.retryAt = c.now + minRequestDelay*(1+slot)
}

func (c *Controller) requestPermit(target uint64) {
	c.permits.lastNumber++
	c.permits.requestedAt = c.now
	c.status.PermitRequest = PermitRequest{Number: c.permits.lastNumber, TargetNumber: target}
	c.statusChanged = true
	c.grantPermits() // its own vote counts at once
}

// countPermits is the number of members that have granted this instance's request.
func (c *Controller) countPermits() (count int) {
	self, number := c.initial.Self.Name, c.status.PermitRequest.Number
	for _, member := range c.view {
		var isGranted bool
		if member.name == self {
			permit, exists := c.permits.granted[self]
			isGranted = exists && permit.requestNumber == number
		} else {
			hasVote := member.status != nil && !member.hasNameConflict
			isGranted = hasVote && slices.Contains(member.status.PermitGrants, PermitGrant{self, number})
		}
		if isGranted {
			count++
		}
	}
	return count
}
