package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// voteForRoster casts this instance's vote for the roster of the active change, once for each change. The vote is for
// the known roster with the most votes. If there is none, this instance proposes one from the locations that it knows.
func (c *Controller) voteForRoster() {
	votes := c.countRosterVotes()
	if c.status.RosterDigest == "" && c.mayVote() && !c.mayHaveLostVotes() {
		digest := c.mostVotedRoster(votes)
		if digest == "" {
			digest = c.proposeRoster()
		}
		if digest != "" {
			c.status.RosterDigest, c.statusChanged = digest, true
		}
	}
	c.loadRoster()
	total, highest := 0, 0
	for _, count := range votes {
		total, highest = total+count, max(highest, count)
	}
	if total == len(c.members) && !c.isMajority(highest) {
		c.stopChange("no roster has a majority: instances differ on the zones of the members", OrderStop)
	}
}

// countRosterVotes returns the number of votes for each roster, by digest.
func (c *Controller) countRosterVotes() map[string]int {
	votes := map[string]int{}
	for _, member := range c.view {
		if c.isAboutActiveChange(member.status) && member.status.RosterDigest != "" {
			votes[member.status.RosterDigest]++
		}
	}
	return votes
}

// mostVotedRoster returns the digest with the most votes among the rosters whose entries have arrived, empty for none.
func (c *Controller) mostVotedRoster(votes map[string]int) (best string) {
	for _, digest := range slices.Sorted(maps.Keys(votes)) {
		isKnown := c.registry.rosters[rosterKey(c.active.Number, digest)] != nil
		if isKnown && (best == "" || votes[digest] > votes[best]) {
			best = digest
		}
	}
	return best
}

// proposeRoster publishes a roster from the locations that are known here, and returns its digest. While a member's
// location is unknown it publishes none and returns an empty digest, but no longer than the silence timeout.
func (c *Controller) proposeRoster() (digest string) {
	if !c.hearsFromMajority() {
		return ""
	}
	instances, knownCount := make([]Instance, 0, len(c.members)), 0
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		instance, known := c.instances[name]
		if status := c.statusOf(name); !known && status != nil {
			instance, known = status.Instance, true
		}
		if known {
			knownCount++
		}
		instance.Name = name
		instances = append(instances, instance)
	}
	if knownCount < len(instances) && c.now-c.active.activatedAt <= c.active.SilenceTimeout {
		return ""
	}
	digest = c.newRoster(instances).digest
	key := rosterKey(c.active.Number, digest)
	c.registry.rosters[key] = instances
	c.decision.Put[key] = encodeRoster(instances)
	return digest
}

// loadRoster builds the roster that this instance has voted for, once its entry has arrived.
func (c *Controller) loadRoster() {
	digest := c.status.RosterDigest
	isLoaded := c.active.roster != nil && c.active.roster.digest == digest
	if digest == "" || isLoaded {
		return
	}
	instances := c.registry.rosters[rosterKey(c.active.Number, digest)]
	if len(instances) == len(c.members) {
		c.active.roster = c.newRoster(instances)
	} else if instances != nil {
		c.logOnce(eventDelayed, &MemberListMismatchError{
			Number: c.active.Number, RemoteCount: len(instances), LocalCount: len(c.members),
		})
	}
}

// newRoster returns the roster of instances for the active change.
func (c *Controller) newRoster(instances []Instance) *roster {
	return newRoster(fmt.Sprint(c.active.Name, "/", c.active.Number), instances)
}
