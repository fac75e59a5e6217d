package rollout

import "slices"

const (
	// requestTimeoutDivisor divides the silence timeout into the time after which a permit request without enough
	// grants is withdrawn.
	requestTimeoutDivisor = 4
	// minRequestDelay is the shortest delay between a withdrawn request and the next one. The delay is up to
	// requestDelaySlots times as long, so that instances do not all repeat their requests at once.
	minRequestDelay   = second
	requestDelaySlots = 4
)

// decideRestart decides about this instance's own restart. If another change should run here, it requests permits, and
// restarts once a majority has granted them.
func (c *Controller) decideRestart() {
	if c.servingSince < 0 || c.restarting {
		return
	}
	target := c.targetNumber()
	_, isKnown := c.knownChange(target)
	if target == c.status.RunningNumber || !isKnown || c.active.roster == nil || !c.hearsFromMajority() {
		c.withdrawPermitRequest()
		return
	}
	c.withdrawStaleRequest(target)
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

// targetNumber returns the number of the change that this instance should run.
func (c *Controller) targetNumber() uint64 {
	active, verdict, running := c.active, c.status.Verdict, c.status.RunningNumber
	switch {
	case running != active.Number && running != active.BaseNumber:
		return active.BaseNumber // it was away during earlier changes, or runs a change that a later one has ended
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

// withdrawStaleRequest withdraws a request that is for another target or did not get enough grants in time. Otherwise
// two steps that each have the grants of a part of the cluster would block each other.
func (c *Controller) withdrawStaleRequest(target uint64) {
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
	c.grantPermits() // this instance's own grant counts at once
}

// countPermits returns the number of members that have granted this instance's request.
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
