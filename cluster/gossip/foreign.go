package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"chalkring/cluster/membership"
	"chalkring/internal/advice"
)

const (
	foreignLogInterval = 10 * time.Second // between log lines; a foreign instance tries to join every second
	// acceptTimeout is how long a message waits for its sender to become a known member: the sender's metadata may arrive
	// slightly later than the message.
	acceptTimeout      = time.Second
	acceptPollInterval = 10 * time.Millisecond
)

// rejectForeign returns a ForeignInstanceError if a node belongs to another cluster. Another customer's cluster may use the
// same addresses, with the same key or none, and its shared state would then be merged into this cluster's.
func (n *Node) rejectForeign(node *memberlist.Node) error {
	err := n.checkIdentity(node)
	if err != nil && n.foreignLogLimiter.Allow() {
		n.logger.Warn(eventForeignInstance, advice.LogAttrs(err)...)
	}
	return err
}

// rejectForeignState returns an error if all nodes of a received state belong to other clusters. If only some do, the state
// is accepted without them, because memberlist also calls rejectForeign for each node.
func (n *Node) rejectForeignState(nodes []*memberlist.Node) error {
	var lastErr error
	isStateAccepted := len(nodes) == 0
	for _, node := range nodes {
		if err := n.rejectForeign(node); err != nil {
			lastErr = err
		} else {
			isStateAccepted = true
		}
	}
	if isStateAccepted {
		return nil
	}
	return lastErr
}

func (n *Node) checkIdentity(node *memberlist.Node) error {
	var decoded wireMember
	if len(node.Meta) > maxMetadataBytes || n.decMode.Unmarshal(node.Meta, &decoded) != nil {
		return nil // metadata that cannot be decoded: the event loop ignores the node
	}
	if !decoded.Identity.IsValid() || !n.options.Identity.ConflictsWith(decoded.Identity) {
		return nil
	}
	return &membership.ForeignInstanceError{
		Name: decoded.Name, Addr: node.Address(), Theirs: decoded.Identity, Ours: n.options.Identity,
	}
}

// awaitAccepted waits until a message's sender is accepted as a member, for at most acceptTimeout, and reports whether it is.
// An instance of another cluster, which may send to this address because a member of its own cluster once used it, is never
// accepted.
func (n *Node) awaitAccepted(header messageHeader) bool {
	for deadline := time.Now().Add(acceptTimeout); !n.isAccepted(header); {
		if n.ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(acceptPollInterval)
	}
	return true
}

// isAccepted reports whether a message's sender is in the table or was reported alive by memberlist. If this instance has no
// identity, it accepts all senders.
func (n *Node) isAccepted(header messageHeader) bool {
	if !n.options.Identity.IsSpecified() {
		return true
	}
	if _, isKnown := n.table.IncarnationState(header.sender, header.incarnation); isKnown {
		return true
	}
	return n.events.isPendingAlive(nodeNameOf(header.sender, header.incarnation))
}
