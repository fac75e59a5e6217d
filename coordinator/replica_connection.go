package coordinator

import (
	"context"
	"net"
	"slices"
	"time"
)

const (
	replicaQueueSize     = 512                    // frames that wait on a replica's connection: batches of 32 streams with their cancels
	replicaIdleShare     = 0.7                    // of the time after which replicas close an idle connection: closing earlier avoids a race
	minDoubtDelay        = 1000                   // ticks under an attempt without a byte from the connection before the next batch takes another one,
	doubtLatencyFactor   = 4.0                    // or this multiple of the average latency, if that is longer
	latencyAverageWeight = 100.0                  // answers that the average latency rests on
	maxRecentIDs         = 256                    // ids of past attempts kept for a connection: some seconds of answers
	maxRedialDelay       = 100 * time.Millisecond // for a connection to come up before a further dial: most take a few milliseconds
	redialTimeoutParts   = 5                      // or this part of the dial timeout: the last dial has over half of the time left
	maxParallelDials     = 3                      // dials for one connection: of those that are late one in three, one in 27 waits
	silenceDialTimeouts  = 2                      // dial timeouts of silence after which a connection counts as lost
)

// replicaConnection is one connection to a replica, as the event loop knows it.
type replicaConnection struct {
	*messageConn
	replica     *replica
	protocol    wireProtocol
	closedToNew bool  // takes no new batches
	openBatches int   // with an attempt in flight
	connectedAt int64 // ticks, 0 before
	attempts    []*attempt
	heardAt     int64
	usedAt      int64
	recentIDs   map[string]uint64 // names of past attempts with their searches: answers may still come
	recentOrder []string          // the same names; once there are maxRecentIDs, the oldest is at oldestIndex
	oldestIndex int

	abandoned []*abandonedAttempt // whose replica may still run them
}

// openConnection opens a connection; batches on it wait until it is connected.
func (loop *eventLoop) openConnection(replica *replica) *replicaConnection {
	connection := &replicaConnection{messageConn: newMessageConn(loop.ctx, replicaQueueSize), replica: replica, protocol: replica.protocol, usedAt: loop.now}
	connection.log, connection.clockTicks = loop.log, loop.clockTicks
	connection.onMissedDeadline = func(message *outboundMessage) { loop.submit(func() { loop.handleMissedDeadline(connection, message) }) }
	replica.connections = append(replica.connections, connection)
	loop.descriptors.replicaConnections++
	if loop.enforcer != nil {
		connection.leaseExpired = loop.enforcer.leaseHasExpired
	}
	addr, wait := replica.addr, loop.plan.Duration("Permissions.DialTimeout")
	room := loop.descriptors.maxExtraDials()
	loop.group.Go(func() error {
		end := errNotConnected
		ctx, cancel := context.WithTimeout(connection.ctx, wait)
		conn, err := loop.dialWithRetries(ctx, addr, min(maxRedialDelay, wait/redialTimeoutParts), room)
		cancel()
		if connectionEndOf(err) == errNoDescriptors {
			end = errNoDescriptors
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

// handleConnected queues the batches that have waited for the connection.
func (loop *eventLoop) handleConnected(conn *replicaConnection) {
	conn.connectedAt = loop.now
	for _, attempt := range slices.Clone(conn.attempts) {
		if batch := attempt.batch; batch != nil && batch.message.buffer == nil { // the batch's first attempt has queued it
			loop.queueBatch(batch)
		}
	}
}

// dialWithRetries opens a connection, and dials again beside a slow dial each time that wait has passed, up to
// maxParallelDials dials. It handles lost connection requests to a sound replica, which would delay all that waits for
// the connection. A silent replica is dialed three times instead of once, which uses two more descriptors until the
// dial timeout; for all silent replicas together, at most maxExtra.
func (loop *eventLoop) dialWithRetries(ctx context.Context, addr string, wait time.Duration, maxExtra int64) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, running, extra := make(chan dialResult, maxParallelDials), 0, 0
	defer func() { loop.descriptors.extraDials.Add(int64(-extra)) }()
	dial := func() {
		running++
		loop.group.Go(func() error {
			conn, err := loop.Dial(ctx, "tcp", addr)
			results <- dialResult{conn, err}
			return nil
		})
	}
	dial()
	next := loop.Clock.After(wait)
	for {
		select {
		case <-next:
			next = nil
			if extra++; loop.descriptors.extraDials.Add(1) <= maxExtra {
				dial()
			}
			if extra < maxParallelDials-1 {
				next = loop.Clock.After(wait)
			}
		case result := <-results:
			running--
			if result.err != nil && running > 0 {
				continue
			}
			if running > 0 {
				loop.group.Go(func() error {
					closeLateDials(results, running)
					return nil
				})
			}
			return result.conn, result.err
		}
	}
}

// dialResult is how a dial ended.
type dialResult struct {
	conn net.Conn
	err  error
}

// closeLateDials waits for the dials that are canceled, and closes those that have succeeded all the same.
func closeLateDials(results <-chan dialResult, running int) {
	for range running {
		if late := <-results; late.err == nil {
			late.conn.Close()
		}
	}
}

// rememberID keeps the latest names of attempts that were on the connection.
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

// silentFor returns how long the oldest attempt has been out among those since which nothing was received.
func (l *replicaConnection) silentFor(now int64) (age int64) {
	for _, attempt := range l.attempts {
		if l.heardAt < attempt.sentAt {
			age = max(age, now-attempt.sentAt)
		}
	}
	return age
}

// conflictsWith says whether the name of one of a batch's attempts is in use on the connection, or was for another
// search: an answer to that one would be taken for this one's.
func (l *replicaConnection) conflictsWith(batch *batch) bool {
	return slices.ContainsFunc(batch.attempts, func(added *attempt) bool {
		searchID, isRecent := l.recentIDs[added.name]
		return isRecent && searchID != added.shardRequest.search.id || findAttempt(l.attempts, added.name) != nil
	})
}

// silenceTimeout returns the ticks of silence after which a connection counts as lost.
func (loop *eventLoop) silenceTimeout() int64 {
	return silenceDialTimeouts * int64(loop.plan.Duration("Permissions.DialTimeout")/tick)
}

// doubtDelay returns the ticks of silence under an attempt after which the next batch takes another connection.
func (loop *eventLoop) doubtDelay() int64 {
	return max(minDoubtDelay, int64(doubtLatencyFactor*loop.replicas.averageLatency))
}

// retireSilentConnections closes connections that have long been silent under attempts, once their replica has
// answered a later attempt on another one: the connection is lost, and its attempts can be retried.
func (loop *eventLoop) retireSilentConnections(answeredOn *replicaConnection, sent int64) {
	for _, conn := range answeredOn.replica.connections {
		age := conn.silentFor(loop.now)
		if conn != answeredOn && !conn.closedToNew && loop.now-age < sent && age > max(loop.silenceTimeout(), loop.doubtDelay()) {
			conn.closeNow(errRetired)
		}
	}
}

// handleConnectionEnd reports the outcomes of the attempts that were on a connection.
func (loop *eventLoop) handleConnectionEnd(conn *replicaConnection, end connectionEndError, addr string) {
	conn.closedToNew = true
	conn.end(end)
	loop.descriptors.replicaConnections--
	conn.replica.connections = slices.DeleteFunc(conn.replica.connections, func(x *replicaConnection) bool { return x == conn })
	if len(conn.attempts) > 0 || end == errNotConnected || end == errReadTimeout || end == errMalformed || end == errFault {
		loop.log.warnLimited("replica "+end.Error(), "replica_connection_ended", "replica", conn.replica.id, "addr", addr, "end", end,
			"parts", len(conn.attempts))
	}
	// All attempts are detached before the first outcome is reported: the balancer may answer it by canceling others
	// that were on this connection, whose outcome is known too.
	var reports []func()
	isCertain := end.isCertain()
	isFirst := true // of the written attempts
	for _, attempt := range slices.Clone(conn.attempts) {
		isWritten := attempt.batch.message.stage.Load() == stageWritten
		outcome := end.attemptOutcome(isWritten, isFirst, conn.heardAt > 0)
		isFirst = isFirst && !isWritten
		loop.detachAttempt(attempt)
		if isWritten && !isCertain && loop.mayStillRun(attempt) {
			loop.abandonAttempt(conn, attempt, outcome)
			continue
		}
		reports = append(reports, func() { loop.recordOutcome(attempt, outcome, nil) })
	}
	for _, report := range reports {
		report()
	}
	for isCertain && len(conn.abandoned) > 0 {
		attempt := conn.abandoned[0].attempt
		loop.deferAttemptOutcome(attempt, loop.forgetAbandoned(conn.abandoned[0]))
	}
	loop.forgetReplica(conn.replica)
}

// closeWhenIdle closes a connection that has been idle, before its replica would; until then it checks again.
func (loop *eventLoop) closeWhenIdle(conn *replicaConnection) {
	if conn.closedToNew {
		return
	}
	maxIdle := int64(replicaIdleShare * float64(loop.plan.Duration("Permissions.ConnIdle")/tick))
	if left := conn.usedAt + maxIdle - loop.now; left > 0 || conn.openBatches > 0 || len(conn.abandoned) > 0 {
		loop.runAfter(max(left, maxIdle/4), func() { loop.closeWhenIdle(conn) })
		return
	}
	conn.closeNow(errIdle)
}

// closeNow ends a connection; it takes nothing new from now on.
func (l *replicaConnection) closeNow(e connectionEndError) {
	l.closedToNew = true
	l.end(e)
}

// retireConnection lets a connection end once nothing is in flight on it.
func (loop *eventLoop) retireConnection(conn *replicaConnection) {
	conn.closedToNew = true
	loop.closeIfUnused(conn)
}

// closeIfUnused ends a retired connection on which nothing is in flight.
func (loop *eventLoop) closeIfUnused(conn *replicaConnection) {
	if conn.closedToNew && conn.openBatches == 0 && len(conn.abandoned) == 0 {
		conn.end(errRetired)
	}
}
