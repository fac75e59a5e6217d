package coordinator

import "sync/atomic"

const (
	clientDescriptorShare  = 0.55 // of the descriptors go to clients; the rest is for replicas, discovery, log and runtime
	replicaDescriptorShare = 0.35 // go to replicas: a search uses several, but attempts share connections
	extraDialShare         = 0.05 // may go to further dials beside slow ones
)

// descriptorBudget shares out the descriptors that the plan grants. Only the event loop's goroutine touches it, but for
// extraDials.
type descriptorBudget struct {
	limit              int
	replicaConnections int          // open, or being opened
	extraDials         atomic.Int64 // further dials that run now, or are held back
}

// hasReplicaRoom says whether another connection to a replica may be opened.
func (d *descriptorBudget) hasReplicaRoom() bool {
	return float64(d.replicaConnections) < replicaDescriptorShare*float64(d.limit)
}

// maxExtraDials returns how many further dials may run at once.
func (d *descriptorBudget) maxExtraDials() int64 {
	return int64(max(1, int(extraDialShare*float64(d.limit))))
}

// clientDescriptors returns how many of a plan's descriptors client connections may use.
func clientDescriptors(limit int) int { return int(clientDescriptorShare * float64(limit)) }
