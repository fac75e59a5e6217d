package rollout

// activeChange is the change that this instance works on, and its progress as seen from here.
type activeChange struct {
	*Change
	digest         string
	activatedAt    int64
	steps          []step
	roster         *roster             // that this instance has voted for, nil until its entry arrives
	openSteps      int                 // steps that a majority has approved, len(steps)+1 when complete
	lastApprovalAt int64               // when this instance last approved a step
	analysis       *RegressionAnalysis // of this epoch, nil before the first look
	analyzedAt     int64
}

// permitLease returns how long a permit is valid.
func (a *activeChange) permitLease() int64 { return a.SilenceTimeout }

// stepOf returns the step, counted from 1, in which an instance applies the change.
func (a *activeChange) stepOf(instance string) int {
	return stepAtPosition(a.steps, a.roster.position[instance])
}

// isComplete reports whether a majority has approved the completion of the active change and no verdict stops it.
func (c *Controller) isComplete() bool {
	return c.active.openSteps > len(c.active.steps) && c.status.Verdict.Order == OrderProceed
}

// publishChangeFile publishes the change of the operator's change file if it is new. Once it is active, the order of
// the file is adopted.
func (c *Controller) publishChangeFile() {
	file := c.changeFile
	if file == nil || !c.mayVote() {
		return
	}
	number, highest := file.Change.Number, c.registry.highestNumber()
	if number < highest {
		c.logOnce(eventFileStale, &StaleChangeFileError{Number: number, CurrentNumber: highest})
		return
	}
	base, known := c.baseOf(number)
	if !known {
		return
	}
	change := file.Change.mergedOver(base)
	digest := change.Digest()
	if c.registry.changes[number][digest] == nil && !c.publishChange(digest, &change) {
		return
	}
	if c.active == nil || c.active.Number != number || c.active.digest != digest {
		return
	}
	verdict := Verdict{Epoch: file.Epoch, Order: file.Order}
	if file.Order != OrderProceed {
		verdict.Reason, verdict.DecidedBy = "the operator's file", c.initial.Self.Name
	}
	c.adoptVerdict(verdict)
}

// baseOf returns the base for the change file's change, which has this number; nil stands for the instances' own files.
// known is false while entries that determine the base are missing.
func (c *Controller) baseOf(number uint64) (base *Change, known bool) {
	if len(c.registry.changes[number]) == 0 {
		return c.baseOfNewChange()
	}
	if c.active == nil || c.active.Number != number { // the change has to be activated first
		return nil, false
	}
	return c.knownChange(c.active.BaseNumber)
}

// baseOfNewChange returns the base for a change that is not published yet. known is false for an instance that does not
// hear from a majority, since the rest of the cluster may already have a later change than this instance knows.
func (c *Controller) baseOfNewChange() (base *Change, known bool) {
	if !c.hearsFromMajority() {
		return nil, false
	}
	highest := c.registry.highestNumber()
	for _, peer := range c.peers {
		if peer.ChangeNumber > highest { // the entry of that change has yet to arrive
			return nil, false
		}
	}
	if c.active == nil {
		return nil, c.initial.RunningNumber == 0 // otherwise the entries of earlier changes have yet to arrive
	}
	if c.isComplete() {
		return c.knownChange(c.active.Number)
	}
	return c.knownChange(c.active.BaseNumber)
}

// knownChange returns the change of a number, nil for 0. known is false until the change's entry has arrived.
func (c *Controller) knownChange(number uint64) (change *Change, known bool) {
	change = c.registry.change(number)
	return change, number == 0 || change != nil
}

// publishChange writes a change's entry. It reports whether the change is small enough for one.
func (c *Controller) publishChange(digest string, change *Change) bool {
	entry := encodeEntry(change)
	if len(entry) > MaxEntryBytes {
		c.logOnce(eventTooLarge, &ChangeTooLargeError{Number: change.Number, Bytes: len(entry)})
		return false
	}
	c.registry.setChange(digest, change)
	c.decision.Put[changeKey(change.Number, digest)] = entry
	c.logEvent(eventChangePublished, nil, "change", change.Name, "number", change.Number, "digest", digest, "base", change.BaseNumber)
	return true
}

// activateHighestChange makes the change with the highest number the active one, which ends the one before it. A
// restart that has begun is completed first.
func (c *Controller) activateHighestChange() {
	highest := c.registry.highestNumber()
	isActive := c.active != nil && c.active.Number == highest
	if highest == 0 || isActive || c.restarting {
		return
	}
	digest := c.registry.digests(highest)[0]
	if c.status.ChangeNumber == highest && c.registry.changes[highest][c.status.ChangeDigest] != nil {
		digest = c.status.ChangeDigest // an earlier incarnation voted on it
	} else {
		c.resetVotes(highest, digest)
	}
	c.status.PermitRequest, c.permits.requestedAt = PermitRequest{}, 0
	change := c.registry.changes[highest][digest]
	c.active = &activeChange{
		Change: change, digest: digest, activatedAt: c.now, lastApprovalAt: c.now, steps: change.steps(len(c.members)),
	}
	clear(c.loggedOnce)
	if c.initial.FailedNumber == highest {
		c.status.FailedEpoch = max(c.status.FailedEpoch, c.initial.FailedEpoch)
	}
	c.logEvent(eventChangeActivated, nil, "change", change.Name, "number", highest, "base", change.BaseNumber, "steps", len(c.active.steps))
	c.decision.Delete = append(c.decision.Delete, c.registry.removeObsolete(change)...)
}

// resetVotes makes this instance's status message about a change on which it has not voted, and clears its verdict and
// votes on the previous change.
func (c *Controller) resetVotes(number uint64, digest string) {
	status := &c.status
	status.ChangeNumber, status.ChangeDigest = number, digest
	status.Verdict = Verdict{Epoch: defaultEpoch}
	status.RosterDigest, status.ApprovalEpoch, status.ApprovedSteps, status.FailedEpoch = "", 0, 0, 0
}

// isAboutActiveChange reports whether a status message is about the active change.
func (c *Controller) isAboutActiveChange(status *StatusMessage) bool {
	return status != nil && status.ChangeNumber == c.active.Number && status.ChangeDigest == c.active.digest
}
