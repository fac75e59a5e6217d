package rollout

// memberView is a voting member as one call of Decide sees it.
type memberView struct {
	name            string
	status          *StatusMessage // the newest one, nil for none
	isFresh         bool           // the status is recent, and no other instance claims the name
	hasNameConflict bool
}

// freshStatusIntervals is the greatest age of a fresh status message, in status intervals. Messages pass through other
// instances, and some are lost.
const freshStatusIntervals = 6

// updateView updates the view of all voting members.
func (c *Controller) updateView() {
	c.view = c.view[:0]
	for _, name := range c.initial.Members {
		c.view = append(c.view, memberView{name, c.statusOf(name), c.isFresh(name), c.nameConflicts[name]})
	}
}

// isFresh reports whether an instance's status message is recent and its name is not in conflict.
func (c *Controller) isFresh(name string) bool {
	if c.nameConflicts[name] {
		return false
	}
	if name == c.initial.Self.Name {
		return true
	}
	peer := c.peers[name]
	return peer != nil && c.now-peer.receivedAt <= freshStatusIntervals*c.statusInterval()
}

// statusOf returns the newest status message of an instance, nil for none.
func (c *Controller) statusOf(name string) *StatusMessage {
	if name == c.initial.Self.Name {
		return &c.status
	}
	if peer := c.peers[name]; peer != nil {
		return &peer.StatusMessage
	}
	return nil
}

// silenceOf returns the time since the last new status message of an instance or, if there was none, since the change
// was activated. It is at most the time since this instance started.
func (c *Controller) silenceOf(name string) int64 {
	if name == c.initial.Self.Name {
		return 0
	}
	since := max(c.initial.Now, c.active.activatedAt)
	if peer := c.peers[name]; peer != nil {
		since = max(c.initial.Now, peer.receivedAt)
	}
	return c.now - since
}

// isMajority reports whether a count is more than half of the voting members.
func (c *Controller) isMajority(count int) bool { return 2*count > len(c.members) }

// hearsFromMajority reports whether this instance may vote, and more than half of the voting members, itself included,
// are fresh.
func (c *Controller) hearsFromMajority() bool {
	fresh := 0
	for i := range c.view {
		if c.view[i].isFresh {
			fresh++
		}
	}
	return c.isMajority(fresh) && c.mayVote()
}

// mayVote reports whether this instance is a voting member and the only one of its name.
func (c *Controller) mayVote() bool {
	self := c.initial.Self.Name
	return c.members[self] && !c.nameConflicts[self]
}

// mayHaveLostVotes reports whether an earlier incarnation of this instance may have cast votes or granted permits that
// are unknown here and still valid. Until they have expired, this instance neither votes nor grants permits.
func (c *Controller) mayHaveLostVotes() bool {
	return c.initial.NoSavedState && c.now-c.initial.Now < c.active.permitLease()
}
