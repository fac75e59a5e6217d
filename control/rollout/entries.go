package rollout

import (
	"errors"
	"fmt"
	"strings"
)

// maxGrants bounds the grants in a status message: one for each instance of a step of the largest cluster.
const maxGrants = 1024

// errInvalidChangeEntry reports an entry whose change has another number or digest than the entry's key, has no stages,
// or has a base that is not an earlier change.
var errInvalidChangeEntry = errors.New("not a valid change with the number and digest of its key")

// HandleEntry records a replicated entry. Entries may arrive late, repeatedly and in any order; entries with other keys
// are ignored. Its errors are InvalidEntryError.
func (c *Controller) HandleEntry(now int64, key string, value []byte) error {
	c.now = max(c.now, now)
	switch {
	case strings.HasPrefix(key, statusPrefix):
		return c.handleStatusEntry(key, value)
	case strings.HasPrefix(key, changePrefix):
		return c.handleChangeEntry(key, value)
	case strings.HasPrefix(key, rosterPrefix):
		instances, err := decodeRoster(key, value)
		if err != nil {
			return err
		}
		c.registry.addRoster(key, instances)
	}
	return nil
}

func (c *Controller) handleStatusEntry(key string, value []byte) error {
	var status StatusMessage
	if err := decodeEntry(key, value, &status); err != nil {
		return err
	}
	name := status.Instance.Name
	if name != strings.TrimPrefix(key, statusPrefix) || len(status.PermitGrants) > maxGrants {
		return &InvalidEntryError{key, fmt.Errorf("status message of %.40q with %d grants: not the instance in the key, or too many grants",
			name, len(status.PermitGrants))}
	}
	c.recordStatus(status)
	return nil
}

func (c *Controller) handleChangeEntry(key string, value []byte) error {
	number, digest, ok := parseKeySuffix(strings.TrimPrefix(key, changePrefix))
	change := &Change{}
	if err := decodeEntry(key, value, change); err != nil {
		return err
	}
	if !ok || change.Number != number || change.Digest() != digest || len(change.Stages) == 0 || change.BaseNumber >= change.Number {
		return &InvalidEntryError{key, errInvalidChangeEntry}
	}
	c.registry.addChange(digest, change)
	return nil
}

// recordStatus records a status message. One that is older than the known one is ignored, so that an instance's
// incarnation, votes and verdict never go back.
func (c *Controller) recordStatus(status StatusMessage) {
	name := status.Instance.Name
	if name == c.initial.Self.Name {
		c.restoreEarlierVotes(status)
		return
	}
	peer := c.peers[name]
	switch {
	case peer == nil && len(c.peers) >= maxInstances:
		return
	case peer == nil:
		peer = &peerStatus{}
		c.peers[name] = peer
	case !status.isNewerThan(&peer.StatusMessage):
		return
	}
	peer.StatusMessage, peer.receivedAt = status, c.now
}

// restoreEarlierVotes restores the votes, the verdict and the grants of an earlier incarnation of this instance, which
// bind this one too.
func (c *Controller) restoreEarlierVotes(earlier StatusMessage) {
	if earlier.Incarnation >= c.initial.Incarnation { // its own message
		return
	}
	c.permits.lastNumber = max(c.permits.lastNumber, earlier.PermitRequest.Number)
	status := &c.status
	if status.ChangeNumber == 0 {
		status.ChangeNumber, status.ChangeDigest = earlier.ChangeNumber, earlier.ChangeDigest
		status.Verdict, status.RosterDigest = earlier.Verdict, earlier.RosterDigest
		status.ApprovalEpoch, status.ApprovedSteps = earlier.ApprovalEpoch, earlier.ApprovedSteps
		status.FailedEpoch = earlier.FailedEpoch
		c.permits.restoreGrants(earlier.PermitGrants, c.now)
		return
	}
	isSameChange := earlier.ChangeNumber == status.ChangeNumber && earlier.ChangeDigest == status.ChangeDigest
	if isSameChange && status.RosterDigest == "" {
		status.RosterDigest = earlier.RosterDigest
	}
}
