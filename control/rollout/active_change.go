package rollout

// activeChange is the change in force, and how far it has come as this instance sees it.
type activeChange struct {
	*Change
	digest         string
	activatedAt    int64
	steps          []step
	roster         *roster             // the one this instance has voted for, nil before its members are known
	openSteps      int                 // steps that a majority has approved; one more than there are completes the change
	lastApprovalAt int64               // when this instance last approved a step
	analysis       *RegressionAnalysis // of this epoch, nil before the first look
	analyzedAt     int64
}

// permitLease is how long a permit grant is valid.
func (a *activeChange) permitLease() int64 { return a.SilenceTimeout }

// stepOf is the step, counted from 1, in which an instance applies the change.
func (a *activeChange) stepOf(instance string) int {
	return stepAtPosition(a.steps, a.roster.position[instance])
}

// isComplete reports whether the change is in force everywhere for good.
func (c *Controller) isComplete() bool {
	return c.active.openSteps > len(c.active.steps) && c.status.Verdict.Order == OrderProceed
}

// publishChangeFile publishes the operator's change file if it is new, and adopts its order.
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

// baseOf is the change under a change file's, nil for the instances' own files. It is not known while entries are
// missing that would tell.
func (c *Controller) baseOf(number uint64) (base *Change, known bool) {
	if len(c.registry.changes[number]) == 0 {
		return c.baseOfNewChange()
	}
	if c.active == nil || c.active.Number != number { // it is activated first
		return nil, false
	}
	return c.knownChange(c.active.BaseNumber)
}

// baseOfNewChange is the base of a change that is not published yet. A minority publishes none, since the cluster may be
// past the change that the minority takes for the base.
func (c *Controller) baseOfNewChange() (base *Change, known bool) {
	if !c.hearsMajority() {
		return nil, false
	}
	highest := c.registry.highestNumber()
	for _, peer := range c.peers {
		if peer.ChangeNumber > highest { // the entry of its change has yet to arrive
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

// knownChange is the change of a number, nil for 0. It is not known while its entry has not arrived.
func (c *Controller) knownChange(number uint64) (change *Change, known bool) {
	change = c.registry.change(number)
	return change, number == 0 || change != nil
}

// publishChange writes a change's entry. It reports whether the change fits one.
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

// activateHighestChange puts the change with the highest number in force. It ends those before it. A restart that has
// begun is completed first.
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

// resetVotes begins a status about another change.
func (c *Controller) resetVotes(number uint64, digest string) {
	status := &c.status
	status.ChangeNumber, status.ChangeDigest = number, digest
	status.Verdict = Verdict{Epoch: defaultEpoch}
	status.RosterDigest, status.StageEpoch, status.ApprovedSteps, status.FailedEpoch = "", 0, 0, 0
}

// isAboutActiveChange reports whether a status message is about the change in force.
func (c *Controller) isAboutActiveChange(status *StatusMessage) bool {
	return status != nil && status.ChangeNumber == c.active.Number && status.ChangeDigest == c.active.digest
}
