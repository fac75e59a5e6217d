package coordinator

import (
	"slices"
	"time"
)

const (
	maxDoubtedConnections = 2                    // silent connections to a replica that are passed over: a silent replica gets no more
	repeatWindowMargin    = 2 * time.Millisecond // kept off the idempotency window when a repeat is sent: its way to the replica
)

// batch is the attempts that travel as one message.
type batch struct {
	attempts   []*attempt
	connection *replicaConnection
	message    *outboundMessage

	inlineAttempts [1]*attempt     // the array of attempts while there is one
	inlineMessage  outboundMessage // the first message
}

// canShareBatch says whether an attempt may be on one connection with those of a batch.
func (loop *eventLoop) canShareBatch(batched []*attempt, attempt *attempt) bool {
	return len(batched) == 0 || loop.firstSentAt(attempt) == loop.firstSentAt(batched[0])
}

// dispatchBatches puts the iteration's batches on connections.
func (loop *eventLoop) dispatchBatches() {
	if len(loop.replicas.dispatchOrder) > 0 {
		loop.replicas.lastDispatchAt = loop.now
	}
	for _, replica := range loop.replicas.dispatchOrder {
		for _, batch := range replica.batches {
			if len(batch.attempts) == 0 {
				continue
			}
			var conn *replicaConnection
			if !replica.removed { // since the balancer chose it in this iteration
				conn = loop.connectionFor(replica, batch)
			}
			if conn == nil {
				for _, attempt := range slices.Clone(batch.attempts) {
					loop.detachAttempt(attempt)
					loop.deferAttemptOutcome(attempt, errNoDescriptors.attemptOutcome(false, false, false))
				}
				continue
			}
			batch.connection = conn
			conn.openBatches++
			conn.attempts = append(conn.attempts, batch.attempts...)
			loop.queueBatch(batch)
		}
		clear(replica.batches)
		replica.batches = replica.batches[:0]
		loop.forgetReplica(replica)
	}
	loop.replicas.dispatchOrder = loop.replicas.dispatchOrder[:0]
}

// queueBatch encodes a batch that has a connection and hands it to the writer. Before the connection is up the batch
// waits for handleConnected: an earlier message would tell replicas more time than is left to the client.
func (loop *eventLoop) queueBatch(batch *batch) {
	if batch.connection == nil {
		return
	}
	if batch.connection.connectedAt == 0 {
		batch.message = &batch.inlineMessage
		batch.message.stage.Store(stageQueued) // it may have been recalled, and is in no queue
		return
	}
	needsLease := loop.enforcer != nil && loop.enforcer.removeForbidden(batch)
	if len(batch.attempts) == 0 {
		return
	}
	buffer := borrowBuffer()
	*buffer = batch.connection.protocol.appendBatch(loop, *buffer, batch)
	message := &batch.inlineMessage
	if message.buffer != nil { // the recalled message may still be in the queue
		message = &outboundMessage{}
	}
	message.buffer, message.leaseFenced, batch.message = buffer, needsLease, message
	if deadline := loop.repeatDeadline(batch.attempts[0]); deadline > 0 {
		message.hasDeadline = true
		batch.connection.deadlines.Store(message, deadline)
	}
	batch.connection.usedAt = loop.now
	batch.connection.enqueue(batch.message)
}

// connectionFor finds a connection with room for a batch, or opens one. With no descriptor left, an idle connection of
// another replica makes room, or one of this replica's takes the batch to wait there; nil where there is neither. So a
// shortage here is not reported as a replica's fault.
func (loop *eventLoop) connectionFor(replica *replica, batch *batch) *replicaConnection {
	if since := loop.firstSentAt(batch.attempts[0]); since > 0 {
		return replica.connectedSince(batch, since)
	}
	var leastBusy *replicaConnection
	doubted := 0
	for _, conn := range replica.connections {
		if conn.closedToNew || conn.conflictsWith(batch) {
			continue
		}
		// A silent connection would swallow one attempt after another though its replica is sound, so the next batch
		// takes another one. A replica that is silent on all of them is for the balancer to detect.
		isDoubted := conn.silentFor(loop.now) > loop.doubtDelay() && doubted < maxDoubtedConnections
		if isDoubted {
			doubted++
		}
		if !isDoubted && conn.openBatches < conn.protocol.batchesPerConnection(loop) {
			return conn
		}
		if leastBusy == nil || conn.openBatches < leastBusy.openBatches {
			leastBusy = conn
		}
	}
	if loop.descriptors.hasReplicaRoom() {
		return loop.openConnection(replica)
	}
	if !replica.protocol.allowsWaiting() {
		leastBusy = nil
	}
	loop.log.warnLimited("no_descriptor", "no_descriptor", "side", "replicas", "open", loop.descriptors.replicaConnections)
	if idle := loop.longestIdleConnection(); idle != nil {
		idle.closeNow(errDisplaced)
		return loop.openConnection(replica)
	}
	return leastBusy
}

// longestIdleConnection returns the connection that has been idle for longest, or nil.
func (loop *eventLoop) longestIdleConnection() (longest *replicaConnection) {
	for _, replica := range loop.replicas.byID {
		for _, conn := range replica.connections {
			if !conn.closedToNew && conn.openBatches == 0 && (longest == nil || conn.usedAt < longest.usedAt) {
				longest = conn
			}
		}
	}
	return longest
}

// connectedSince finds a connection that has been up since before a keyed shard request was first sent, or nil, and
// then the repeat is not sent. A replica that has restarted has forgotten the requests that it would drop; only a
// connection that was up all the while proves that it has not. A replica that was not connected gets no repeat, though
// it may remember.
func (r *replica) connectedSince(batch *batch, since int64) (best *replicaConnection) {
	for _, conn := range r.connections {
		if !conn.closedToNew && conn.connectedAt > 0 && conn.connectedAt <= since && !conn.conflictsWith(batch) && (best == nil || conn.openBatches < best.openBatches) {
			best = conn
		}
	}
	return best
}

// firstSentAt returns when a keyed shard request was first sent, if the attempt is a repeat of it; 0 for any other
// attempt, and where none before it can have run. It is not kept in the batch, where eight more bytes cost 385 a
// search.
func (loop *eventLoop) firstSentAt(attempt *attempt) int64 {
	if attempt.index == 0 || !loop.rules.keyedClasses[attempt.shardRequest.search.class] {
		return 0
	}
	for _, earlier := range attempt.shardRequest.attempts[:attempt.index] {
		if !earlier.neverRan {
			return earlier.sentAt
		}
	}
	return 0
}

// repeatDeadline returns by when a keyed shard request's repeat has to be sent, since the decision for it and its
// sending may lie on both sides of the end of its window; 0 for what is no repeat.
func (loop *eventLoop) repeatDeadline(attempt *attempt) int64 {
	since := loop.firstSentAt(attempt)
	if since == 0 {
		return 0
	}
	return since + max(1, loop.rules.repeatWindows[attempt.shardRequest.search.class]-int64(repeatWindowMargin/tick))
}

// handleMissedDeadline reports the attempts of a message whose deadline was over before the writer came to it: none of
// it was sent.
func (loop *eventLoop) handleMissedDeadline(conn *replicaConnection, message *outboundMessage) {
	for _, attempt := range slices.Clone(conn.attempts) {
		if attempt.batch != nil && attempt.batch.message == message {
			loop.detachAttempt(attempt)
			loop.deferAttemptOutcome(attempt, "Ignored")
		}
	}
}

// recallBatch takes a search's attempts off a batch, or all for a nil search, if no byte of it may be out; they count
// as never sent. All go at once: one by one, the message of the rest could be sent in between. It returns false where
// bytes may be out.
func (loop *eventLoop) recallBatch(batch *batch, only *search) bool {
	if batch.connection != nil && !batch.message.recall() {
		return false
	}
	for i := 0; i < len(batch.attempts); {
		attempt := batch.attempts[i]
		if only != nil && attempt.shardRequest.search != only {
			i++
			continue
		}
		loop.detachAttempt(attempt)
		loop.deferAttemptOutcome(attempt, "Ignored")
	}
	loop.queueBatch(batch)
	return true
}
