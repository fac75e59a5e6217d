package coordinator

import (
	"slices"
)

// attempt is one attempt of a shard request on a replica.
type attempt struct {
	shardRequest *shardRequest
	index        int32
	neverRan     bool // never completely sent, or refused by the replica
	replica      *replica
	name         string // its id on the wire, the same for all attempts of the shard request
	sentAt       int64
	deadline     int64
	batch        *batch
	timeout      timer
	inlineBatch  batch // the batch that the attempt opens, if any: saves an allocation
}

// isBeingSent says whether bytes of the attempt's message may have been sent.
func (a *attempt) isBeingSent() bool {
	if a.batch == nil || a.batch.message == nil {
		return false
	}
	stage := a.batch.message.stage.Load()
	return stage == stageWriting || stage == stageWritten
}

// fire handles the attempt's timeout. It implements timerHandler.
func (a *attempt) fire(loop *eventLoop) { loop.giveUpAttempt(a, "TimedOut") }

// SendAttempt starts an attempt. It is sent at the end of the iteration, in a batch with others to that replica.
// It implements balancer.Actions.
func (loop *eventLoop) SendAttempt(id uint64, to string, timeout int64) {
	request, replica := loop.searches.shardRequests[id], loop.replicas.byID[to]
	if request == nil {
		return
	}
	search := request.search
	left := search.deadline - loop.now
	if timeout == 0 || timeout > left {
		timeout = left
	}
	current := request.newAttempt()
	current.replica, current.sentAt, current.deadline = replica, loop.now, loop.now+timeout
	earlyOutcome := ""
	switch {
	case int(current.index) >= loop.rules.maxAttempts || request.isSettled():
		earlyOutcome = "Ignored"
	case timeout <= 0:
		earlyOutcome = "TimedOut"
	case replica == nil:
		earlyOutcome = "ConnectError"
	}
	if earlyOutcome != "" {
		loop.deferAttemptOutcome(current, earlyOutcome)
		return
	}
	loop.addToBatch(replica, current)
	loop.startTimer(&current.timeout, timeout, current)
}

// newAttempt adds an attempt to a shard request; the first one needs no allocation.
func (p *shardRequest) newAttempt() *attempt {
	added := &p.firstAttempt
	if len(p.attempts) > 0 {
		added = &attempt{}
	} else {
		p.attempts = p.inlineAttempts[:0]
	}
	added.shardRequest, added.index, added.name = p, int32(len(p.attempts)), p.name
	p.attempts = append(p.attempts, added)
	p.unreported++
	return added
}

// addToBatch adds an attempt to the replica's last batch of this iteration if it fits in, otherwise to a new batch.
func (loop *eventLoop) addToBatch(replica *replica, added *attempt) {
	if n := len(replica.batches); n > 0 {
		last := replica.batches[n-1]
		if len(last.attempts) < replica.protocol.attemptsPerBatch(loop) && loop.canShareBatch(last.attempts, added) &&
			findAttempt(last.attempts, added.name) == nil {
			added.batch = last
			last.attempts = append(last.attempts, added)
			return
		}
	} else {
		loop.replicas.dispatchOrder = append(loop.replicas.dispatchOrder, replica)
	}
	opened := &added.inlineBatch
	opened.attempts = append(opened.inlineAttempts[:0], added)
	replica.batches = append(replica.batches, opened)
	added.batch = opened
}

// CancelAttempt gives up an attempt. It implements balancer.Actions.
func (loop *eventLoop) CancelAttempt(id uint64, index int) {
	if request := loop.searches.shardRequests[id]; request != nil && index < len(request.attempts) {
		loop.giveUpAttempt(request.attempts[index], "Canceled")
	}
}

// giveUpAttempt stops waiting for an attempt, if it is in flight.
func (loop *eventLoop) giveUpAttempt(attempt *attempt, outcome string) {
	if attempt.batch == nil {
		return
	}
	conn := attempt.batch.connection
	if batch := attempt.batch; loop.recallAttempt(attempt) {
		if attempt.neverRan = true; outcome == "Canceled" {
			outcome = "Ignored" // Canceled means that the attempt may have run; this one was never sent
		}
	} else {
		loop.detachAttempt(attempt)
		conn.protocol.cancelAttempt(conn, attempt)
		// Nothing may be sent after the final answer, and the write of this attempt's message may not have ended.
		if write, search := (pendingWrite{conn.messageConn, batch.message}), attempt.shardRequest.search; !search.ended && !write.isWritten() {
			search.pendingWrites = append(search.pendingWrites, write)
		}
		if loop.mustAwaitEnd(attempt) {
			loop.abandonAttempt(conn, attempt, outcome)
			outcome = ""
		}
	}
	// A replica that has gone silent would swallow attempt after attempt on the open connection. A new connection shows
	// whether the replica is reachable: it comes up or does not.
	if conn != nil && conn.heardAt < attempt.sentAt && loop.now-attempt.sentAt > loop.silenceTimeout() {
		loop.retireConnection(conn)
	}
	if outcome != "" {
		loop.deferAttemptOutcome(attempt, outcome)
	}
}

// recallAttempt takes an attempt off its batch, whose other attempts are sent without it. It returns false if bytes of
// the batch may have been sent already.
func (loop *eventLoop) recallAttempt(attempt *attempt) bool {
	batch := attempt.batch
	if batch.connection != nil && !batch.message.recall() {
		return false
	}
	loop.detachAttempt(attempt)
	loop.queueBatch(batch)
	return true
}

// detachAttempt takes an attempt off its batch and connection.
func (loop *eventLoop) detachAttempt(current *attempt) {
	batch := current.batch
	current.batch = nil
	loop.stopTimer(&current.timeout)
	batch.attempts = slices.DeleteFunc(batch.attempts, func(x *attempt) bool { return x == current })
	if conn := batch.connection; conn != nil {
		if batch.message != nil && batch.message.stage.Load() != stageRecalled {
			conn.rememberID(current)
		}
		conn.attempts = slices.DeleteFunc(conn.attempts, func(x *attempt) bool { return x == current })
		conn.usedAt = loop.now
		if len(batch.attempts) == 0 {
			conn.openBatches--
			loop.closeIfUnused(conn)
		}
	}
}

// recordOutcome reports an attempt's outcome to the balancer.
func (loop *eventLoop) recordOutcome(attempt *attempt, outcome string, report map[string]float64) {
	attempt.shardRequest.unreported--
	attempt.neverRan = attempt.neverRan || outcome == "Ignored" || outcome == "ConnectError" || outcome == "QueueFull"
	loop.balancer.RecordAttemptOutcome(attempt.shardRequest.id, int(attempt.index), outcome, loop.now-attempt.sentAt, attempt.shardRequest.isSettled(), report)
	loop.dropShardRequest(attempt.shardRequest)
}

// findAttempt returns the attempt of a name, or nil.
func findAttempt(attempts []*attempt, name string) *attempt {
	for _, attempt := range attempts {
		if attempt.name == name {
			return attempt
		}
	}
	return nil
}

// handleAnswer handles a replica's answer. An answer to an attempt that is no longer in flight is dropped. An answer to
// an attempt that never was on this connection counts as malformed, since the attempt that it was meant for will get no
// answer.
func (loop *eventLoop) handleAnswer(conn *replicaConnection, attemptName []byte, outcome string, score []byte, report map[string]float64,
	value []byte, decoded any,
) {
	conn.heardAt = loop.now
	attempt, isAwaited := findAttempt(conn.attempts, string(attemptName)), true
	if attempt == nil {
		isAwaited = false
		attempt, outcome = loop.takeAbandoned(conn, string(attemptName), outcome)
	}
	if attempt == nil {
		if _, isRecent := conn.recentIDs[string(attemptName)]; !isRecent {
			loop.log.warnLimited("bad_frame", "bad_frame", "replica", conn.replica.id, "error", "answer to an attempt that was not sent on this connection: "+string(attemptName))
			conn.closeNow(errMalformed)
		}
		return
	}
	if isAwaited && !loop.recallAttempt(attempt) { // a repeat that is still queued must not be sent once the first attempt is answered
		loop.detachAttempt(attempt)
	}
	loop.replicas.averageLatency += (float64(loop.now-attempt.sentAt) - loop.replicas.averageLatency) / latencyAverageWeight
	loop.retireSilentConnections(conn, attempt.sentAt)
	if request := attempt.shardRequest; outcome == "Ok" && !request.isSettled() {
		request.completed, request.score, request.value, request.decoded = true, score, value, decoded
		loop.holdBytes(request.search, len(value))
	}
	loop.recordOutcome(attempt, outcome, report)
}
