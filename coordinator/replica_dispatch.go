package coordinator

import (
	"slices"
	"time"
)

const (
	maxDoubtedConnections = 2                    // silent connections of a replica that are passed over; limits how many a silent replica gets
	repeatWindowMargin    = 2 * time.Millisecond // left of the idempotency window when a repeat is sent: time for its way to the replica
)

// batch is the attempts that are sent in one message.
type batch struct {
	attempts   []*attempt
	connection *replicaConnection
	message    *outboundMessage

	inlineAttempts [1]*attempt     // the array of attempts while there is one: saves an allocation
	inlineMessage  outboundMessage // the first message: saves an allocation
}

// canShareBatch says whether an attempt may be in a batch with others: repeats need a connection that was up before their
// first attempt.
func (loop *eventLoop) canShareBatch(batched []*attempt, attempt *attempt) bool {
	return len(batched) == 0 || loop.firstSentAt(attempt) == loop.firstSentAt(batched[0])
}

// dispatchBatches assigns the iteration's batches to connections.
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
			if !replica.removed { // it may have been, after the balancer chose it in this iteration
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

// queueBatch encodes a batch that has a connection and hands it to the writer. Before the connection is up, the batch
// waits for handleConnected: a message that is encoded earlier would state more time than the client has left.
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

// connectionFor finds a connection with room for a batch, or opens one. With no descriptor left, it closes the longest
// idle connection to any replica to make room; if none is idle, the batch waits on a connection of this replica. It
// returns nil if that is impossible too, and the attempts count as not sent: a shortage here is not the replica's fault.
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
		// A silent connection would swallow attempt after attempt although its replica is sound, so the next batch takes
		// another one. Detecting a replica that is silent on all connections is up to the balancer.
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

// connectedSince finds a connection that has been up since before a keyed shard request was first sent; without one it
// returns nil, and the repeat is not sent. A replica that has restarted has forgotten which repeats to drop, and only a
// connection that was up all the time proves that it has not restarted. A replica without such a connection gets no
// repeat, although it may remember.
func (r *replica) connectedSince(batch *batch, since int64) (best *replicaConnection) {
	for _, conn := range r.connections {
		if !conn.closedToNew && conn.connectedAt > 0 && conn.connectedAt <= since && !conn.conflictsWith(batch) && (best == nil || conn.openBatches < best.openBatches) {
			best = conn
		}
	}
	return best
}

// firstSentAt returns when a keyed shard request was first sent if the attempt is a repeat; 0 for any other attempt, and
// if no earlier one can have run. It is not stored in the batch, where eight more bytes cost 385 bytes per search.
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

// repeatDeadline returns the time by which a repeat of a keyed shard request has to be sent, 0 for an attempt that is no
// repeat. The writer checks it: the idempotency window may end between the decision for a repeat and its sending.
func (loop *eventLoop) repeatDeadline(attempt *attempt) int64 {
	since := loop.firstSentAt(attempt)
	if since == 0 {
		return 0
	}
	return since + max(1, loop.rules.repeatWindows[attempt.shardRequest.search.class]-int64(repeatWindowMargin/tick))
}

// handleMissedDeadline reports the attempts of a message that the writer dropped because it was past its deadline: none
// of them was sent.
func (loop *eventLoop) handleMissedDeadline(conn *replicaConnection, message *outboundMessage) {
	for _, attempt := range slices.Clone(conn.attempts) {
		if attempt.batch != nil && attempt.batch.message == message {
			loop.detachAttempt(attempt)
			loop.deferAttemptOutcome(attempt, "Ignored")
		}
	}
}

// recallBatch takes a search's attempts off a batch, or all attempts for a nil search, and reports them as never sent. It
// returns false, and changes nothing, if bytes of the batch may have been sent already. It takes them off in one step: if
// they were taken off one by one, a message with the remaining ones could be sent in between.
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
