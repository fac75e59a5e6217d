package coordinator

import (
	"slices"
)

const drainSendShare = 0.5 // share of the drain grace during which a draining replica may still get frames; the rest allows for a late endpoint list

// replicaTable is the replicas of the current endpoint list, and those of earlier lists that still have connections.
type replicaTable struct {
	byID           map[string]*replica
	dispatchOrder  []*replica                     // replicas with batches to be sent at the end of the iteration
	lastDispatchAt int64                          // time of the last iteration that sent batches
	averageLatency float64                        // ticks until an answer, a moving average
	abandoned      map[*attempt]*abandonedAttempt // given up here and not yet reported to the balancer
}

// replica is one host of the endpoint list and the connections to it.
type replica struct {
	id, addr    string
	protocol    wireProtocol
	removed     bool
	closedToNew bool // draining or removed
	connections []*replicaConnection
	batches     []*batch // of this iteration, not yet on a connection
}

// protocolFor returns the wire protocol of a kind of host.
func (loop *eventLoop) protocolFor(kind string) wireProtocol {
	if k, ok := loop.HostKinds[kind]; ok {
		return openSearchProtocol{k}
	}
	return frameProtocol{}
}

// placeReplica records a replica's address, kind and state. Connections to another address, or from before the replica's
// start (since, in ticks), get no new attempts.
func (loop *eventLoop) placeReplica(hostID, addr, kind string, since int64, isRemoved, isDraining bool) {
	current := loop.replicas.byID[hostID]
	if current == nil {
		if isRemoved {
			return
		}
		current = &replica{id: hostID, protocol: frameProtocol{}}
		loop.replicas.byID[hostID] = current
	}
	protocol := loop.protocolFor(kind)
	hasMoved := current.addr != addr || current.protocol != protocol
	for _, conn := range slices.Clone(current.connections) {
		// A connection older than its replica's start leads to an earlier incarnation, which may have ended without closing
		// it: an attempt on it would be lost.
		if isRemoved || hasMoved || conn.connectedAt > 0 && conn.connectedAt < since {
			loop.retireConnection(conn)
		}
	}
	isClosed := isRemoved || isDraining
	mustRecall := isClosed && !current.closedToNew || hasMoved && len(current.connections) > 0
	current.addr, current.removed, current.closedToNew = addr, isRemoved, isClosed
	if !isRemoved {
		current.protocol = protocol
	}
	if mustRecall {
		loop.recallAfterGrace(current)
	}
	loop.forgetReplica(current)
}

// forgetReplica drops a removed replica once it has no connections.
func (loop *eventLoop) forgetReplica(replica *replica) {
	if replica.removed && len(replica.connections) == 0 && len(replica.batches) == 0 && loop.replicas.byID[replica.id] == replica {
		delete(loop.replicas.byID, replica.id)
	}
}

// recallAfterGrace takes back attempts that have not yet been sent to a draining, removed or moved replica, once
// drainSendShare of the drain grace is over and they may no longer be sent. Until then, batches go on waiting for their
// connections, since most come up in time: recalling them at once would cost each shard request an attempt. The grace counts
// from when the list may have arrived, which after a stall was long ago.
func (loop *eventLoop) recallAfterGrace(replica *replica) {
	grace := float64(loop.plan.Duration("Safety.DrainGrace") / tick)
	left := int64(drainSendShare*grace) - (loop.now - loop.stalls.earliestArrival(loop.now))
	if left <= 0 {
		loop.recallUnsent(replica)
		return
	}
	loop.runAfter(left, func() { loop.recallUnsent(replica) })
}

// recallUnsent takes back the attempts on a replica's connections that have not been sent, unless the replica takes new
// ones again.
func (loop *eventLoop) recallUnsent(replica *replica) {
	for _, conn := range slices.Clone(replica.connections) {
		if !replica.closedToNew && !conn.closedToNew {
			continue
		}
		for _, attempt := range slices.Clone(conn.attempts) {
			if attempt.batch != nil {
				loop.recallBatch(attempt.batch, nil)
			}
		}
	}
}
