package rollout

import "fmt"

// maxReasonBytes bounds the reason of a verdict.
const maxReasonBytes = 300

// adoptVerdicts adopts the verdicts of other instances on the active change.
func (c *Controller) adoptVerdicts() {
	for _, peer := range c.peers {
		// The digest may differ: a verdict on one change of the number applies to all changes of the number.
		if peer.ChangeNumber == c.active.Number && peer.Verdict.Epoch > 0 {
			c.adoptVerdict(peer.Verdict)
		}
	}
}

// adoptVerdict adopts a verdict if it overrides the current one.
func (c *Controller) adoptVerdict(verdict Verdict) {
	if len(verdict.Reason) > maxReasonBytes {
		verdict.Reason = verdict.Reason[:maxReasonBytes]
	}
	previous := c.status.Verdict
	if !verdict.overrides(previous) {
		return
	}
	c.status.Verdict, c.statusChanged = verdict, true
	isNewEpoch := verdict.Epoch > previous.Epoch
	if isNewEpoch {
		c.active.analysis = nil
		clear(c.loggedOnce)
	}
	switch {
	case verdict.Order != previous.Order && verdict.Order != OrderProceed:
		c.logEvent(eventStopped, &ChangeStoppedError{Change: c.active.Name, Number: c.active.Number, Verdict: verdict})
	case isNewEpoch && verdict.Order == OrderProceed:
		c.logEvent(eventResumed, nil, "change", c.active.Name, "number", c.active.Number, "turn", verdict.Epoch)
	}
}

// stopChange stops the active change or rolls it back, as order says. It does nothing unless the verdict is to proceed.
func (c *Controller) stopChange(reason string, order Order) {
	if verdict := c.status.Verdict; verdict.Order == OrderProceed {
		c.adoptVerdict(Verdict{Epoch: verdict.Epoch, Order: order, Reason: reason, DecidedBy: c.initial.Self.Name})
	}
}

// checkForRegression stops the change if it cannot continue or if it is a regression.
func (c *Controller) checkForRegression() {
	c.checkConflictingChanges()
	c.checkOwnFailures()
	if c.isComplete() {
		return
	}
	c.checkUnreachableInstances()
	if c.status.Verdict.Order == OrderProceed {
		c.compareStats()
	}
}

func (c *Controller) checkConflictingChanges() {
	number := c.active.Number
	if digests := c.registry.digests(number); len(digests) > 1 {
		err := &ConflictingChangesError{Number: number, Digests: digests}
		c.logOnce(eventConflict, err)
		c.stopChange(err.Error(), OrderStop)
	}
}

// checkOwnFailures stops a change that this instance could not apply, or with which it keeps crashing.
func (c *Controller) checkOwnFailures() {
	active, status := c.active, &c.status
	if status.FailedEpoch > 0 && status.FailedEpoch == status.Verdict.Epoch {
		c.logOnce(eventNotApplied, &ChangeNotAppliedError{Number: active.Number, Reason: c.failureReason})
		c.stopChange("could not be applied: "+c.failureReason, active.OnRegression)
	}
	restarts := c.initial.UnplannedRestarts
	if status.RunningNumber == active.Number && restarts >= active.RegressionLimits.Restarts {
		c.stopChange(fmt.Sprintf("%d unplanned restarts with the change", restarts), active.OnRegression)
	}
}

// checkUnreachableInstances stops the change if too many instances that have it, or are restarting into it, are
// unreachable.
func (c *Controller) checkUnreachableInstances() {
	if c.status.Verdict.Order != OrderProceed || !c.hearsFromMajority() {
		return
	}
	active, unreachable := c.active, 0
	for _, member := range c.view {
		if member.status == nil || member.hasNameConflict || member.isFresh {
			continue
		}
		if active.involves(member.status) && c.silenceOf(member.name) > active.SilenceTimeout {
			unreachable++
		}
	}
	if unreachable >= active.RegressionLimits.Unreachable {
		reason := fmt.Sprintf("%d instances with the change have not been heard from for %d s", unreachable, active.SilenceTimeout/second)
		c.stopChange(reason, active.OnRegression)
	}
}

// involves reports whether an instance runs the change or requests to restart into it.
func (a *activeChange) involves(status *StatusMessage) bool {
	isRequested := status.ChangeNumber == a.Number && status.PermitRequest.TargetNumber == a.Number
	return status.RunningNumber == a.Number || isRequested
}

// compareStats compares the instances with the change to those without it, once in each status interval.
func (c *Controller) compareStats() {
	active := c.active
	if active.analysis == nil {
		active.analysis, active.analyzedAt = NewRegressionAnalysis(active.RegressionLimits), c.now
	}
	if c.now-active.analyzedAt < c.statusInterval() {
		return
	}
	active.analyzedAt = c.now
	var samples []Sample
	for _, member := range c.view {
		status := member.status
		if !member.isFresh || status.Stats == nil {
			continue
		}
		hasChange := status.RunningNumber == active.Number
		if !hasChange && status.RunningNumber != active.BaseNumber {
			continue
		}
		samples = append(samples, Sample{
			Name: member.name, Region: status.Instance.Region, Zone: status.Instance.Zone, HasChange: hasChange,
			Incarnation: status.Incarnation, Stats: *status.Stats,
		})
	}
	active.analysis.AddSamples(samples)
	if regression := active.analysis.DescribeRegression(); regression != "" {
		c.stopChange(regression, active.OnRegression)
	}
}
