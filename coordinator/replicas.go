package coordinator

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// replica is one machine of the list and the connections to it.
type replica struct {
	id, addr    string
	protocol    wireProtocol
	removed     bool
	closedToNew bool // drains or is gone
	connections []*replicaConnection
	batches     []*batch // of this turn, not yet on a line
}

// replicaConnection is one connection to a replica as the owner knows it.
type replicaConnection struct {
	*messageConn
	replica     *replica
	protocol    wireProtocol
	closedToNew bool  // takes no new calls
	openBatches int   // with a part out
	connectedAt int64 // since when it stands, 0 while it does not
	attempts    []*attempt
	heardAt     int64
	usedAt      int64
	recentIDs   map[string]uint64 // ids that were on it, with their searches: their answers may still come
	recentOrder []string          // the same; once there are maxRecentIDs, the oldest is at eldest
	oldestIndex int

	abandoned []*abandonedAttempt // on it
}

// batch is what travels as one frame.
type batch struct {
	attempts   []*attempt
	connection *replicaConnection
	message    *outboundMessage

	inlineAttempts [1]*attempt     // room for the first of subs
	inlineMessage  outboundMessage // and for the first parcel
}

// attempt is one sub-request that is out.
type attempt struct {
	shardRequest *shardRequest
	index        int32
	neverRan     bool // it has not run: it was never out whole, or was refused
	replica      *replica
	name         string // its id on the wire
	sentAt       int64
	deadline     int64
	batch        *batch
	timeout      timer // its time-out
	inlineBatch  batch // room for call
}

// fire is its time-out.
func (sub *attempt) fire(loop *eventLoop) { loop.giveUpAttempt(sub, "TimedOut") }

// SendAttempt starts a sub-request; it travels at the end of the turn, with others to that replica.
func (loop *eventLoop) SendAttempt(id uint64, to string, timeout int64) {
	request, replica := loop.shardRequests[id], loop.replicas[to]
	if request == nil {
		return
	}
	search := request.search
	left := search.deadline - loop.now
	if timeout == 0 || timeout > left {
		timeout = left
	}
	sub := &request.firstAttempt
	if len(request.attempts) > 0 {
		sub = &attempt{}
	} else {
		request.attempts = request.inlineAttempts[:0]
	}
	sub.shardRequest, sub.index, sub.replica, sub.name, sub.sentAt, sub.deadline = request, int32(len(request.attempts)), replica, request.name, loop.now, loop.now+timeout
	request.attempts = append(request.attempts, sub)
	request.unreported++
	early := ""
	switch {
	case int(sub.index) >= loop.maxAttempts || request.isSettled():
		early = "Ignored"
	case timeout <= 0:
		early = "TimedOut"
	case replica == nil:
		early = "ConnectError"
	}
	if early != "" {
		loop.deferAttemptOutcome(sub, early)
		return
	}
	var c *batch
	if n := len(replica.batches); n > 0 && len(replica.batches[n-1].attempts) < replica.protocol.attemptsPerBatch(loop) && loop.canShareBatch(replica.batches[n-1].attempts, sub) &&
		findAttempt(replica.batches[n-1].attempts, sub.name) == nil {
		c = replica.batches[n-1]
	} else {
		if c = &sub.inlineBatch; n == 0 {
			loop.dispatchOrder = append(loop.dispatchOrder, replica)
		}
		c.attempts = c.inlineAttempts[:0]
		replica.batches = append(replica.batches, c)
	}
	sub.batch = c
	c.attempts = append(c.attempts, sub)
	loop.startTimer(&sub.timeout, timeout, sub)
}

// CancelAttempt gives a sub-request up.
func (loop *eventLoop) CancelAttempt(id uint64, leg int) {
	if request := loop.shardRequests[id]; request != nil && leg < len(request.attempts) {
		loop.giveUpAttempt(request.attempts[leg], "Canceled")
	}
}

// giveUpAttempt stops waiting for a sub-request, if it is still out.
func (loop *eventLoop) giveUpAttempt(attempt *attempt, outcome string) {
	if attempt.batch == nil {
		return
	}
	conn := attempt.batch.connection
	if batch := attempt.batch; loop.recallAttempt(attempt) {
		if attempt.neverRan = true; outcome == "Canceled" {
			outcome = "Ignored" // what was called off may have run, but this was never sent
		}
	} else {
		loop.detachAttempt(attempt)
		conn.protocol.cancelAttempt(conn, attempt)
		// Nothing is sent after the final answer: a frame given up before it may still be on its way out.
		if write, search := (pendingWrite{conn.messageConn, batch.message}), attempt.shardRequest.search; !search.ended && !write.isWritten() {
			search.pendingWrites = append(search.pendingWrites, write)
		}
		if loop.mayStillRun(attempt) {
			loop.abandonAttempt(conn, attempt, outcome)
			outcome = ""
		}
	}
	// Guards against a machine that went silent: its open connection would swallow part after part. One new
	// connection tells more than the old one: it comes up or does not.
	if conn != nil && conn.heardAt < attempt.sentAt && loop.now-attempt.sentAt > loop.silenceTimeout() {
		loop.retireConnection(conn)
	}
	if outcome != "" {
		loop.deferAttemptOutcome(attempt, outcome)
	}
}

// abandonedAttempt is a sub-request that this side waits for no longer, while its replica may not know so yet.
type abandonedAttempt struct {
	attempt    *attempt
	connection *replicaConnection
	outcome    string
}

// mayStillRun tells whether a sub-request that this side gives up may be out all the same, where no part may be out twice.
func (loop *eventLoop) mayStillRun(attempt *attempt) bool {
	return !loop.allowsSecondCopies && !attempt.shardRequest.isSettled()
}

// abandonAttempt keeps the end of a sub-request from the module until it is over for its replica too: that has answered it, or has
// ended the connection. Guards against a second copy. A cancel frame may be overtaken, or not be read while the connection's
// places are taken; on one that has fallen silent neither it nor our close arrives; and the time that the replica was told
// counts from its reading the frame, which a new connection may hold up. Harm: of a replica that hangs nothing comes, and the
// part is lost to its search.
func (loop *eventLoop) abandonAttempt(conn *replicaConnection, attempt *attempt, outcome string) {
	abandoned := &abandonedAttempt{attempt, conn, outcome}
	conn.abandoned, loop.abandoned[attempt] = append(conn.abandoned, abandoned), abandoned
}

// forgetAbandoned ends a sub-request's lingering, and gives how it had ended here.
func (loop *eventLoop) forgetAbandoned(abandoned *abandonedAttempt) (outcome string) {
	delete(loop.abandoned, abandoned.attempt)
	abandoned.connection.abandoned = slices.DeleteFunc(abandoned.connection.abandoned, func(x *abandonedAttempt) bool { return x == abandoned })
	loop.closeIfUnused(abandoned.connection)
	return abandoned.outcome
}

// takeAbandoned finds a sub-request that lingers on a connection by its id, takes it off, and gives what its answer counts as.
// Guards against an answer from where a contract has called its part off: under contracts it ends as it had ended here.
func (loop *eventLoop) takeAbandoned(conn *replicaConnection, id, outcome string) (*attempt, string) {
	for _, abandoned := range conn.abandoned {
		if abandoned.attempt.name == id {
			if ended := loop.forgetAbandoned(abandoned); loop.enforcer != nil {
				outcome = ended
			}
			return abandoned.attempt, outcome
		}
	}
	return nil, outcome
}

// recallAttempt takes a sub-request off its call if no byte of that has been begun; the rest goes without it.
func (loop *eventLoop) recallAttempt(attempt *attempt) bool {
	batch := attempt.batch
	if batch.connection != nil && !batch.message.recall() {
		return false
	}
	loop.detachAttempt(attempt)
	loop.queueBatch(batch)
	return true
}

// recallBatch takes a search's sub-requests off a call, all sub-requests with no search, if no byte of it has been begun; the
// module hears that they were never sent. They go at once: one by one, the frame of the rest could go out in between.
func (loop *eventLoop) recallBatch(batch *batch, of *search) bool {
	if batch.connection != nil && !batch.message.recall() {
		return false
	}
	for i := 0; i < len(batch.attempts); {
		attempt := batch.attempts[i]
		if of != nil && attempt.shardRequest.search != of {
			i++
			continue
		}
		loop.detachAttempt(attempt)
		loop.deferAttemptOutcome(attempt, "Ignored")
	}
	loop.queueBatch(batch)
	return true
}

// recallAfterGrace has nothing new go out to a replica that drains, is gone or has moved, once the time is over in which that is
// allowed. Guards against frames that still wait for a connection then. They wait on until then, since most come up in
// time: to take them back at once would cost each an attempt.
func (loop *eventLoop) recallAfterGrace(replica *replica) {
	grace := float64(loop.plan.Duration("Safety.DrainGrace") / tick)
	loop.runAfter(int64(drainSendShare*grace), func() {
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
	})
}

// detachAttempt takes a sub-request off its call and connection.
func (loop *eventLoop) detachAttempt(sub *attempt) {
	batch := sub.batch
	sub.batch = nil
	loop.stopTimer(&sub.timeout)
	batch.attempts = slices.DeleteFunc(batch.attempts, func(x *attempt) bool { return x == sub })
	if conn := batch.connection; conn != nil {
		if batch.message != nil && batch.message.stage.Load() != stageRecalled {
			conn.rememberID(sub)
		}
		conn.attempts = slices.DeleteFunc(conn.attempts, func(x *attempt) bool { return x == sub })
		conn.usedAt = loop.now
		if len(batch.attempts) == 0 {
			conn.openBatches--
			loop.closeIfUnused(conn)
		}
	}
}

// rememberID keeps the latest ids that were on a connection.
func (l *replicaConnection) rememberID(attempt *attempt) {
	if l.recentIDs == nil {
		l.recentIDs = map[string]uint64{}
	}
	if _, known := l.recentIDs[attempt.name]; !known {
		if len(l.recentOrder) < maxRecentIDs {
			l.recentOrder = append(l.recentOrder, attempt.name)
		} else {
			delete(l.recentIDs, l.recentOrder[l.oldestIndex])
			l.recentOrder[l.oldestIndex], l.oldestIndex = attempt.name, (l.oldestIndex+1)%maxRecentIDs
		}
	}
	l.recentIDs[attempt.name] = attempt.shardRequest.search.id
}

// recordOutcome tells the module how a sub-request ended.
func (loop *eventLoop) recordOutcome(attempt *attempt, outcome string, report map[string]float64) {
	attempt.shardRequest.unreported--
	attempt.neverRan = attempt.neverRan || outcome == "Ignored" || outcome == "ConnectError" || outcome == "QueueFull"
	loop.balancer.RecordAttemptOutcome(attempt.shardRequest.id, int(attempt.index), outcome, loop.now-attempt.sentAt, attempt.shardRequest.isSettled(), report)
	loop.dropShardRequest(attempt.shardRequest)
}

// dispatchBatches puts the turn's calls on connections.
func (loop *eventLoop) dispatchBatches() {
	if len(loop.dispatchOrder) > 0 {
		loop.lastDispatchAt = loop.now
	}
	for _, replica := range loop.dispatchOrder {
		for _, batch := range replica.batches {
			if len(batch.attempts) == 0 {
				continue
			}
			var conn *replicaConnection
			if !replica.removed { // since it was chosen in this turn
				conn = loop.connectionFor(replica, batch)
			}
			if conn == nil {
				for _, attempt := range slices.Clone(batch.attempts) {
					loop.detachAttempt(attempt)
					loop.deferAttemptOutcome(attempt, endNoDescriptors.attemptOutcome(false, false, false))
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
	loop.dispatchOrder = loop.dispatchOrder[:0]
}

// queueBatch writes the frame of a call that has a connection. While that is not up the call waits for rise. Guards against a
// frame that was written as the connection was opened: it would tell the time that was left to the client then.
func (loop *eventLoop) queueBatch(batch *batch) {
	if batch.connection == nil {
		return
	}
	if batch.connection.connectedAt == 0 {
		batch.message = &batch.inlineMessage
		batch.message.stage.Store(stageQueued) // it may have been taken back, and stands in no backlog
		return
	}
	fenced := loop.enforcer != nil && loop.enforcer.removeForbidden(batch)
	if len(batch.attempts) == 0 {
		return
	}
	buffer := borrowBuffer()
	*buffer = batch.connection.protocol.appendBatch(loop, *buffer, batch)
	message := &batch.inlineMessage
	if message.buffer != nil { // that one was taken back, and may still stand in the backlog
		message = &outboundMessage{}
	}
	message.buffer, message.leaseFenced, batch.message = buffer, fenced, message
	if by := loop.repeatDeadline(batch.attempts[0]); by > 0 {
		message.hasDeadline = true
		batch.connection.deadlines.Store(message, by)
	}
	batch.connection.usedAt = loop.now
	batch.connection.enqueue(batch.message)
}

// connectionFor finds a connection with room for a call, or opens one. With no descriptor left for it, an unused
// connection to another replica makes room, or one of this replica's takes the call, though it will wait
// there; nil where neither is. Guards against a lack of our own that is told as a replica's fault.
func (loop *eventLoop) connectionFor(replica *replica, batch *batch) *replicaConnection {
	if since := loop.firstSentAt(batch.attempts[0]); since > 0 {
		return replica.connectedSince(batch, since)
	}
	var fullest *replicaConnection
	doubted := 0
	for _, conn := range replica.connections {
		if conn.closedToNew || conn.conflictsWith(batch) {
			continue
		}
		// Guards against one connection that has gone silent: it would swallow part after part of a replica that
		// is sound. The next call takes another; a replica that is silent on all is the module's to find.
		doubt := conn.silentFor(loop.now) > loop.doubtDelay() && doubted < maxDoubtedConnections
		if doubt {
			doubted++
		}
		if !doubt && conn.openBatches < conn.protocol.batchesPerConnection(loop) {
			return conn
		}
		if fullest == nil || conn.openBatches < fullest.openBatches {
			fullest = conn
		}
	}
	if float64(loop.replicaConnectionCount) < replicaDescriptorShare*float64(loop.maxSockets) {
		return loop.openConnection(replica)
	}
	if !replica.protocol.allowsWaiting() {
		fullest = nil
	}
	loop.log.warnLimited("no_descriptor", "no_descriptor", "side", "replicas", "open", loop.replicaConnectionCount)
	var spare *replicaConnection
	for _, other := range loop.replicas {
		for _, conn := range other.connections {
			if !conn.closedToNew && conn.openBatches == 0 && (spare == nil || conn.usedAt < spare.usedAt) {
				spare = conn
			}
		}
	}
	if spare != nil {
		spare.closeNow(endDisplaced)
		return loop.openConnection(replica)
	}
	return fullest
}

// firstSentAt is when a keyed part first went out, of its repeat; 0 of any other sub-request, and where none before it can
// have run: that is no repeat. It is not kept in the call: eight bytes more there are 385 a search.
func (loop *eventLoop) firstSentAt(attempt *attempt) int64 {
	if attempt.index == 0 || !loop.keyedClasses[attempt.shardRequest.search.class] {
		return 0
	}
	for _, before := range attempt.shardRequest.attempts[:attempt.index] {
		if !before.neverRan {
			return before.sentAt
		}
	}
	return 0
}

// repeatDeadline is until when a keyed part's repeat may leave: the decision for it, and what this side holds it back, may lie on
// both sides of the end of its window. 0 for what is no repeat.
func (loop *eventLoop) repeatDeadline(attempt *attempt) int64 {
	since := loop.firstSentAt(attempt)
	if since == 0 {
		return 0
	}
	return since + max(1, loop.repeatWindows[attempt.shardRequest.search.class]-int64(repeatWindowMargin/tick))
}

// handleMissedDeadline tells the module of a call whose time to leave was over before its connection's writer came to it: none of it
// was sent.
func (loop *eventLoop) handleMissedDeadline(conn *replicaConnection, message *outboundMessage) {
	for _, attempt := range slices.Clone(conn.attempts) {
		if attempt.batch != nil && attempt.batch.message == message {
			loop.detachAttempt(attempt)
			loop.deferAttemptOutcome(attempt, "Ignored")
		}
	}
}

// canShareBatch tells whether a sub-request may be on one connection with those of a call.
func (loop *eventLoop) canShareBatch(subs []*attempt, attempt *attempt) bool {
	return len(subs) == 0 || loop.firstSentAt(attempt) == loop.firstSentAt(subs[0])
}

// connectedSince finds a connection that has stood since before a keyed part first went out; nil where there is none: the
// repeat is not sent then. Guards against a second effect: a replica that has started again has forgotten what it would
// drop, and only a connection that stood all the while shows that it has not. Harm: a replica that was not connected to
// gets no repeat, though it may well remember.
func (r *replica) connectedSince(batch *batch, since int64) (best *replicaConnection) {
	for _, conn := range r.connections {
		if !conn.closedToNew && conn.connectedAt > 0 && conn.connectedAt <= since && !conn.conflictsWith(batch) && (best == nil || conn.openBatches < best.openBatches) {
			best = conn
		}
	}
	return best
}

// silentFor tells how long the oldest part has been out on the connection of those since which nothing was heard.
func (l *replicaConnection) silentFor(now int64) (age int64) {
	for _, attempt := range l.attempts {
		if l.heardAt < attempt.sentAt {
			age = max(age, now-attempt.sentAt)
		}
	}
	return age
}

// doubtDelay is how long a connection may say nothing under a part before the next call takes another.
func (loop *eventLoop) doubtDelay() int64 {
	return max(minDoubtDelay, int64(doubtLatencyFactor*loop.averageLatency))
}

// conflictsWith tells whether one of a call's ids is out on the connection already, or was for another search.
// Guards against two searches that bear one name: the answer to one would be taken for the other's.
func (l *replicaConnection) conflictsWith(batch *batch) bool {
	return slices.ContainsFunc(batch.attempts, func(sub *attempt) bool {
		id, known := l.recentIDs[sub.name]
		return known && id != sub.shardRequest.search.id || findAttempt(l.attempts, sub.name) != nil
	})
}

func findAttempt(subs []*attempt, name string) *attempt {
	for _, attempt := range subs {
		if attempt.name == name {
			return attempt
		}
	}
	return nil
}

// openConnection opens a connection; calls on it wait until it is up.
func (loop *eventLoop) openConnection(replica *replica) *replicaConnection {
	connection := &replicaConnection{messageConn: newMessageConn(loop.ctx, replicaQueueSize), replica: replica, protocol: replica.protocol, usedAt: loop.now}
	connection.log, connection.clockTicks = loop.log, loop.clockTicks
	connection.onMissedDeadline = func(message *outboundMessage) { loop.submit(func() { loop.handleMissedDeadline(connection, message) }) }
	replica.connections = append(replica.connections, connection)
	loop.replicaConnectionCount++
	if loop.enforcer != nil {
		connection.leaseExpired = loop.enforcer.leaseHasExpired
	}
	addr, wait := replica.addr, loop.plan.Duration("Permissions.DialTimeout")
	room := max(1, int64(extraDialShare*float64(loop.maxSockets)))
	loop.group.Go(func() error {
		end := endNotConnected
		ctx, cancel := context.WithTimeout(connection.ctx, wait)
		conn, err := loop.dialWithRetries(ctx, addr, min(maxRedialDelay, wait/redialTimeoutParts), room)
		cancel()
		if connectionEndOf(err) == endNoDescriptors {
			end = endNoDescriptors
		}
		if err == nil {
			loop.submit(func() { loop.handleConnected(connection) })
			end = connection.serve(conn, wait, func(context.Context) error { return connection.protocol.readAnswers(loop, connection, conn) },
				func(*outboundMessage) error { return nil })
		}
		loop.submit(func() { loop.handleConnectionEnd(connection, end, addr) })
		return nil
	})
	loop.closeWhenIdle(connection)
	return connection
}

// handleConnected writes what has waited for a connection to be up.
func (loop *eventLoop) handleConnected(conn *replicaConnection) {
	conn.connectedAt = loop.now
	for _, attempt := range slices.Clone(conn.attempts) {
		if batch := attempt.batch; batch != nil && batch.message.buffer == nil { // the first of a call's has written it
			loop.queueBatch(batch)
		}
	}
}

// dialWithRetries opens a connection, and tries again beside what is not up each time that it has waited for so long, maxParallelDials times
// in all. Guards against connections that come up late or never at a replica that is sound: what waits for one would be
// late with it. Harm: a replica that is silent is asked for three connections in place of one, and until the time to dialWithRetries
// is over two more descriptors are used; of many that are silent, room is.
func (loop *eventLoop) dialWithRetries(ctx context.Context, addr string, wait time.Duration, room int64) (net.Conn, error) {
	type ended struct {
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tries, out, beside := make(chan ended, maxParallelDials), 0, 0
	defer func() { loop.extraDials.Add(int64(-beside)) }()
	dial := func() {
		out++
		loop.group.Go(func() error {
			conn, err := loop.Dial(ctx, "tcp", addr)
			tries <- ended{conn, err}
			return nil
		})
	}
	dial()
	again := loop.Clock.After(wait)
	for {
		select {
		case <-again:
			again = nil
			if beside++; loop.extraDials.Add(1) <= room {
				dial()
			}
			if beside < maxParallelDials-1 {
				again = loop.Clock.After(wait)
			}
		case t := <-tries:
			out--
			if t.err != nil && out > 0 {
				continue
			}
			if out > 0 {
				loop.group.Go(func() error { // the others are called off; they may be up all the same
					for range out {
						if t := <-tries; t.err == nil {
							t.conn.Close()
						}
					}
					return nil
				})
			}
			return t.conn, t.err
		}
	}
}

// decodeValue passes a value to the check of its search, where that has one. Guards against a host that answers in good
// form and leaves out what was asked: its part would count as in.
func (loop *eventLoop) decodeValue(part, value []byte) (any, error) {
	if loop.decoderCount.Load() == 0 {
		return nil, nil
	}
	id := string(part)
	id = strings.TrimSuffix(id, ".r")
	dot := strings.LastIndexByte(id, '.')
	check, ok := loop.valueDecoders.Load(id[:max(0, dot)])
	if !ok {
		return nil, nil
	}
	n, err := strconv.Atoi(id[dot+1:])
	if err != nil {
		return nil, err
	}
	return check.(func(int, []byte) (any, error))(n, value)
}

// handleAnswer takes a replica's handleAnswer; one to a part that is no longer out is dropped. One to a part that never
// was out on this connection is spoilt, and another waits for its own in vain.
func (loop *eventLoop) handleAnswer(conn *replicaConnection, id []byte, outcome string, score []byte, report map[string]float64,
	value []byte, read any,
) {
	conn.heardAt = loop.now
	attempt, waits := findAttempt(conn.attempts, string(id)), true
	if attempt == nil {
		waits = false
		attempt, outcome = loop.takeAbandoned(conn, string(id), outcome)
	}
	if attempt == nil {
		if _, known := conn.recentIDs[string(id)]; !known {
			loop.log.warnLimited("bad_frame", "bad_frame", "replica", conn.replica.id, "error", "answer to "+string(id))
			conn.closeNow(endMalformed)
		}
		return
	}
	if waits && !loop.recallAttempt(attempt) { // guards against a repeat on this connection that goes out though the first was answered
		loop.detachAttempt(attempt)
	}
	loop.averageLatency += (float64(loop.now-attempt.sentAt) - loop.averageLatency) / latencyAverageWeight
	loop.retireSilentConnections(conn, attempt.sentAt)
	if request := attempt.shardRequest; outcome == "Ok" && !request.isSettled() {
		request.completed, request.score, request.value, request.decoded = true, score, value, read
		loop.holdBytes(request.search, len(value))
	}
	loop.recordOutcome(attempt, outcome, report)
}

// retireSilentConnections ends connections that have long been silent under parts, once their replica has answered a later part on
// another: it is the connection that is lost, and its parts can go out again.
func (loop *eventLoop) retireSilentConnections(heard *replicaConnection, sent int64) {
	for _, conn := range heard.replica.connections {
		age := conn.silentFor(loop.now)
		if conn != heard && !conn.closedToNew && loop.now-age < sent && age > max(loop.silenceTimeout(), loop.doubtDelay()) {
			conn.closeNow(endRetired)
		}
	}
}

// silenceTimeout is how long a connection may say nothing before it is taken for lost.
func (loop *eventLoop) silenceTimeout() int64 {
	return silenceDialTimeouts * int64(loop.plan.Duration("Permissions.DialTimeout")/tick)
}

// handleConnectionEnd tells what a connection's end means for the parts that were out on it.
func (loop *eventLoop) handleConnectionEnd(conn *replicaConnection, end connectionEnd, addr string) {
	conn.closedToNew = true
	conn.end(end)
	loop.replicaConnectionCount--
	conn.replica.connections = slices.DeleteFunc(conn.replica.connections, func(x *replicaConnection) bool { return x == conn })
	if len(conn.attempts) > 0 || end == endNotConnected || end == endReadTimeout || end == endMalformed || end == endFault {
		loop.log.warnLimited("replica "+end.Error(), "replica_connection_ended", "replica", conn.replica.id, "addr", addr, "end", end,
			"parts", len(conn.attempts))
	}
	// All are taken off before the first is told. Guards against what the module does on hearing of one: it may
	// call off others that were on this connection, whose end has come too.
	var tell []func()
	certain := end.isCertain()
	first := true // of those that were written
	for _, attempt := range slices.Clone(conn.attempts) {
		out := attempt.batch.message.stage.Load() == stageWritten
		outcome := end.attemptOutcome(out, first, conn.heardAt > 0)
		first = first && !out
		loop.detachAttempt(attempt)
		if out && !certain && loop.mayStillRun(attempt) {
			loop.abandonAttempt(conn, attempt, outcome)
			continue
		}
		tell = append(tell, func() { loop.recordOutcome(attempt, outcome, nil) })
	}
	for _, do := range tell {
		do()
	}
	for certain && len(conn.abandoned) > 0 {
		attempt := conn.abandoned[0].attempt
		loop.deferAttemptOutcome(attempt, loop.forgetAbandoned(conn.abandoned[0]))
	}
	loop.forgetReplica(conn.replica)
}

// closeWhenIdle closes a connection that has been unused, before its replica would, and until then looks again.
func (loop *eventLoop) closeWhenIdle(conn *replicaConnection) {
	if conn.closedToNew {
		return
	}
	most := int64(replicaIdleShare * float64(loop.plan.Duration("Permissions.ConnIdle")/tick))
	if left := conn.usedAt + most - loop.now; left > 0 || conn.openBatches > 0 || len(conn.abandoned) > 0 {
		loop.runAfter(max(left, most/4), func() { loop.closeWhenIdle(conn) })
		return
	}
	conn.closeNow(endIdle)
}

// closeNow ends a connection at once; until that is told, it takes nothing new.
func (l *replicaConnection) closeNow(e connectionEnd) {
	l.closedToNew = true
	l.end(e)
}

// retireConnection lets a connection end once nothing is out on it.
func (loop *eventLoop) retireConnection(conn *replicaConnection) {
	conn.closedToNew = true
	loop.closeIfUnused(conn)
}

func (loop *eventLoop) closeIfUnused(conn *replicaConnection) {
	if conn.closedToNew && conn.openBatches == 0 && len(conn.abandoned) == 0 {
		conn.end(endRetired)
	}
}

// forgetReplica drops a replica that has left the list once it has no connection.
func (loop *eventLoop) forgetReplica(replica *replica) {
	if replica.removed && len(replica.connections) == 0 && len(replica.batches) == 0 && loop.replicas[replica.id] == replica {
		delete(loop.replicas, replica.id)
	}
}

// placeReplica notes where a replica is; old connections to another address take nothing new.
func (loop *eventLoop) placeReplica(id, addr, kind string, since int64, gone, drains bool) {
	r := loop.replicas[id]
	if r == nil {
		if gone {
			return
		}
		r = &replica{id: id, protocol: frameProtocol{}}
		loop.replicas[id] = r
	}
	speaks := loop.protocolFor(kind)
	moved := r.addr != addr || r.protocol != speaks
	for _, conn := range slices.Clone(r.connections) {
		// One from before its replica's start leads to a life that is over. Guards against a machine that went without a word:
		// what is sent to it there is lost.
		if gone || moved || conn.connectedAt > 0 && conn.connectedAt < since {
			loop.retireConnection(conn)
		}
	}
	if closed := gone || drains; closed && !r.closedToNew || moved && len(r.connections) > 0 {
		loop.recallAfterGrace(r)
	}
	r.addr, r.removed, r.closedToNew = addr, gone, gone || drains
	if !gone {
		r.protocol = speaks
	}
	loop.forgetReplica(r)
}
