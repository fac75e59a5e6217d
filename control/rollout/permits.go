package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// permits holds the restart permits that this instance has granted, and the state of its own request.
type permits struct {
	granted     map[string]grantedPermit // by the requester's name
	lastNumber  uint64                   // of its own requests
	requestedAt int64                    // time of its pending request
	retryAt     int64                    // earliest time of its next request
}

// grantedPermit is a permit that is valid.
type grantedPermit struct {
	requestNumber uint64
	batch         permitBatch
	grantedAt     int64
}

// permitBatch is what all valid permits that one instance has granted have in common: the number of the change to
// restart into, and the step of the requesters.
type permitBatch struct {
	targetNumber uint64
	step         int
}

// unknownStep is the step of permits that an earlier incarnation of this instance granted.
const unknownStep = -1

func newPermits() permits { return permits{granted: map[string]grantedPermit{}} }

func (p *permits) restoreGrants(grants []PermitGrant, now int64) {
	for _, grant := range grants {
		p.granted[grant.InstanceName] = grantedPermit{
			requestNumber: grant.RequestNumber, batch: permitBatch{step: unknownStep}, grantedAt: now,
		}
	}
}

// sortedGrants returns the valid permits for a status message, sorted by the requesters' names.
func (p *permits) sortedGrants() (grants []PermitGrant) {
	for _, name := range slices.Sorted(maps.Keys(p.granted)) {
		grants = append(grants, PermitGrant{name, p.granted[name].requestNumber})
	}
	return grants
}

// currentBatch returns the batch of the valid permits. exists is false if no permit is valid.
func (p *permits) currentBatch() (batch permitBatch, exists bool) {
	for _, permit := range p.granted {
		return permit.batch, true
	}
	return permitBatch{}, false
}

// grantPermits grants permits to instances that request one. All valid permits that one instance has granted are of one
// batch, a restart needs permits from a majority, and any two majorities have a member in common. So only instances of
// one step restart at once, whichever messages are late or lost.
func (c *Controller) grantPermits() {
	c.expirePermits()
	if c.active.roster == nil || !c.mayVote() || c.mayHaveLostVotes() {
		return
	}
	requesters := c.eligibleRequesters()
	batch, exists := c.permits.currentBatch()
	if !exists {
		batch = firstBatch(requesters)
	}
	for _, name := range requesters[batch] {
		c.permits.granted[name] = grantedPermit{
			requestNumber: c.statusOf(name).PermitRequest.Number, batch: batch, grantedAt: c.now,
		}
		c.statusChanged = true
	}
}

// expirePermits removes the permits whose request was withdrawn and those past their lease.
func (c *Controller) expirePermits() {
	for name, permit := range c.permits.granted {
		status := c.statusOf(name)
		isWithdrawn := status != nil && status.PermitRequest.Number != permit.requestNumber
		if isWithdrawn || c.now-permit.grantedAt > c.active.permitLease() {
			delete(c.permits.granted, name)
		}
	}
}

// eligibleRequesters returns the names of the instances that request a permit, may have one, and have none from this
// instance.
func (c *Controller) eligibleRequesters() map[permitBatch][]string {
	requesters := map[permitBatch][]string{}
	for _, member := range c.view {
		status := member.status
		if !member.isFresh || status.PermitRequest.Number == 0 || !c.isAboutActiveChange(status) || !c.mayRestart(status) {
			continue
		}
		if _, hasPermit := c.permits.granted[member.name]; hasPermit {
			continue
		}
		batch := permitBatch{status.PermitRequest.TargetNumber, c.active.stepOf(member.name)}
		requesters[batch] = append(requesters[batch], member.name)
	}
	return requesters
}

// firstBatch returns the batch to grant first: a restart into the base precedes one into the change, and a lower step
// precedes a higher one.
func firstBatch(requesters map[permitBatch][]string) permitBatch {
	if len(requesters) == 0 {
		return permitBatch{}
	}
	return slices.MinFunc(slices.Collect(maps.Keys(requesters)), func(a, b permitBatch) int {
		return cmp.Or(cmp.Compare(a.targetNumber, b.targetNumber), cmp.Compare(a.step, b.step))
	})
}

// mayRestart reports whether an instance may restart into the change that it requests, as far as is known here.
func (c *Controller) mayRestart(status *StatusMessage) bool {
	active, verdict := c.active, c.status.Verdict
	if status.RosterDigest != c.status.RosterDigest {
		return false
	}
	hasChange, hasBase := status.RunningNumber == active.Number, status.RunningNumber == active.BaseNumber
	switch status.PermitRequest.TargetNumber {
	case active.Number:
		isStepOpen := c.status.ApprovedSteps >= active.stepOf(status.Instance.Name)
		return verdict.Order == OrderProceed && isStepOpen && hasBase && status.FailedEpoch != verdict.Epoch
	case active.BaseNumber:
		isRollBack := hasChange && verdict.Order == OrderRollBack
		isCatchUp := !hasChange && !hasBase
		return isRollBack || isCatchUp
	}
	return false
}
