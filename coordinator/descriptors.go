package coordinator

import (
	"sync/atomic"

	"chalkring/coordinator/plan"
)

const (
	clientDescriptorShare  = 0.55 // for client connections; the rest is for replicas, discovery, log and runtime
	replicaDescriptorShare = 0.35 // for connections to replicas: a search uses several, but attempts share connections
	extraDialShare         = 0.05 // for extra dials, started while another dial to the same replica is slow
)

// descriptorBudget divides the descriptors that the plan grants. The event loop's goroutine owns all fields except
// extraDials.
type descriptorBudget struct {
	limit              int
	replicaConnections int          // open, or being opened
	extraDials         atomic.Int64 // extra dials that are running or held back by the limit
}

// hasReplicaRoom says whether another connection to a replica may be opened.
func (d *descriptorBudget) hasReplicaRoom() bool {
	return float64(d.replicaConnections) < replicaDescriptorShare*float64(d.limit)
}

// maxExtraDials returns how many extra dials may run at once.
func (d *descriptorBudget) maxExtraDials() int64 {
	return int64(max(1, int(extraDialShare*float64(d.limit))))
}

// clientDescriptors returns how many of a plan's descriptors client connections may use.
func clientDescriptors(limit int) int { return int(clientDescriptorShare * float64(limit)) }

// maxClientConnections returns how many client connections a plan's descriptors and memory allow.
func maxClientConnections(p *plan.Plan) int {
	return min(clientDescriptors(p.MaxSockets), p.MaxClients())
}
