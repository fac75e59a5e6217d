package subscribers

import "slices"

const (
	// The reachable gateways become the view once they have been stable for stableDelay: when a partition heals, many
	// become reachable shortly after one another. If they keep changing, they become the view after maxUnstableTime.
	stableDelay     = 1 * second
	maxUnstableTime = 5 * second

	// A handover waits silentTimeout for a gateway that publishes no status; by then membership has detected that it
	// hangs. It waits disagreementTimeout for one that publishes other views, so that one-way links do not stop all
	// service.
	silentTimeout       = 10 * second
	disagreementTimeout = 30 * second

	// startupDelay is how long a new process without a majority waits for others to become reachable before it assumes
	// that it is partitioned and forms a minority view.
	startupDelay = 10 * second

	// After a gap of more than maxTickGap between two ticks a gateway assumes that others have taken over its subscribers.
	// It then waits resumeDelay to learn their state.
	maxTickGap  = 2 * second
	resumeDelay = 5 * second
)

// Tick advances the agreement on the view. If publish is true, the caller has to put the status into the shared map
// under this gateway's name, and to call ConfirmStatusMessage once it is there. wallMS is the wall-clock time.
func (g *Gateway) Tick(now int64, wallMS uint64) (status StatusMessage, publish bool) {
	if now-g.lastTickAt > maxTickGap { // the process was paused: others may serve in its place
		g.view.hash, g.noViewBefore = 0, now+resumeDelay
		g.beginHandover(now)
	}
	g.lastTickAt = max(now, g.lastTickAt)
	if now < g.noViewBefore || now < g.minorityViewFrom && !g.hasMajority || g.reachable == nil {
		return StatusMessage{}, false
	}
	g.updateView(now)
	switch {
	case g.view.hash == 0:
		return StatusMessage{}, false
	case g.joinRound():
		g.beginHandover(now)
	case g.serving:
		g.updateTakeovers(now)
		return StatusMessage{}, false
	case g.pendingDeliveries > 0 && now-g.handoverSince < silentTimeout: // the next owner must not begin before these deliveries end
		return StatusMessage{}, false
	}
	return g.advanceHandover(now, wallMS)
}

// updateView adopts the reachable gateways as the view once they are stable.
func (g *Gateway) updateView(now int64) {
	hash := g.reachableHash()
	switch {
	case hash == g.view.hash:
		g.viewStaleSince = 0
	case g.viewStaleSince == 0:
		g.viewStaleSince = now
	case now-g.membershipChangedAt >= stableDelay || now-g.viewStaleSince >= maxUnstableTime:
		g.stats.ViewChanges++
		g.view.replace(hash, g.reachable)
		g.viewStaleSince, g.round = 0, g.highestRound+1
		g.beginHandover(now)
	}
}

// reachableHash identifies the reachable gateways and the rules. It is the same on all gateways, and never 0.
func (g *Gateway) reachableHash() uint64 {
	d := newDigest()
	d.addNumber(g.rules.Generation)
	for _, member := range g.reachable {
		d.addText(member.Name)
		d.addText(member.Region)
		d.addText(member.Zone)
		d.addNumber(member.Incarnation)
	}
	return max(1, d.sum())
}

// joinRound joins a later round of another gateway. If the shared map holds a status of an earlier incarnation of this
// gateway, it begins a round above all rounds seen. It reports whether the round has changed.
func (g *Gateway) joinRound() (changed bool) {
	if g.statuses[g.self.Name] != g.published {
		g.statuses[g.self.Name] = g.published
		g.round, changed = g.highestRound+1, true
	}
	for _, member := range g.view.members {
		if status := g.statuses[member.Name]; status.View == g.view.hash && status.Round > g.round {
			g.round, changed = status.Round, true
		}
	}
	return changed
}

// beginHandover stops serving all subscribers until an epoch is claimed under the current view. A handover that starts
// over keeps its start time, unless that is more than disagreementTimeout ago.
func (g *Gateway) beginHandover(now int64) {
	if g.serving || g.handoverSince == 0 || g.handoverSince < g.lastTickAt-disagreementTimeout {
		g.handoverSince = now
	}
	g.serving, g.claimedEpoch = false, 0
	for _, s := range g.subscriptions {
		g.stopServing(s)
	}
}

// advanceHandover publishes the view and round, then an epoch, and then begins to serve.
func (g *Gateway) advanceHandover(now int64, wallMS uint64) (status StatusMessage, publish bool) {
	isPublished := g.published.View == g.view.hash && g.published.Round == g.round
	if g.claimedEpoch == 0 && isPublished && (g.allAgree() || g.waitedLongEnough(now)) {
		g.claimedEpoch = max(g.highestEpoch+1, wallMS)
	}
	status = StatusMessage{g.view.hash, g.round, max(g.claimedEpoch, g.published.Epoch)}
	if status != g.published {
		return status, true
	}
	if g.claimedEpoch > 0 { // the claim is in the shared map
		g.beginServing(now)
	}
	return StatusMessage{}, false
}

func (g *Gateway) beginServing(now int64) {
	g.serving, g.epoch, g.lastSequence = true, g.claimedEpoch, 0
	g.updateTakeovers(now)
	// Searches that came due during the handover run now, and so do those due up to silentTimeout before it, when the
	// previous owner may have been gone without this gateway knowing.
	scheduleFrom := g.handoverSince - silentTimeout
	for _, s := range g.subscriptions {
		g.updatePlacement(s, scheduleFrom)
	}
}

// allAgree reports whether all gateways of the view have published the view in this round.
func (g *Gateway) allAgree() bool {
	return !slices.ContainsFunc(g.view.members, g.disagrees)
}

// disagrees reports whether another gateway has not published the view in this round.
func (g *Gateway) disagrees(member viewMember) bool {
	status := g.statuses[member.Name]
	return member.Name != g.self.Name && (status.View != g.view.hash || status.Round < g.round)
}

// waitedLongEnough reports whether the handover has waited long enough for the gateways that disagree.
func (g *Gateway) waitedLongEnough(now int64) bool {
	waited := now - g.handoverSince
	if waited < silentTimeout {
		return false
	}
	return waited >= disagreementTimeout || !slices.ContainsFunc(g.view.members, func(member viewMember) bool {
		return g.disagrees(member) && now-g.statusChangedAt[member.Name] < silentTimeout
	})
}
