package coordinator

import (
	"context"
	"net"
	"slices"
	"time"
)

const (
	replicaQueueSize     = 512                    // frames that wait to be written: batches of 32 streams and the cancels of their attempts
	replicaIdleShare     = 0.7                    // of the time after which replicas close an idle connection: closing first avoids sending on one that they close
	minDoubtDelay        = 1000                   // least ticks for which a connection is silent, with an attempt in flight, before the next batch takes another one
	doubtLatencyFactor   = 4.0                    // the same as a multiple of the average latency; the longer of the two counts
	latencyAverageWeight = 100.0                  // divisor of a new answer's share in the average latency: about the number of answers that it covers
	maxRecentIDs         = 256                    // names of past attempts that a connection keeps: some seconds of answers
	maxRedialDelay       = 100 * time.Millisecond // wait for a connection before a further dial: most come up in a few milliseconds
	redialTimeoutParts   = 5                      // divisor of the dial timeout for the same wait; the shorter of the two counts, and leaves the last dial over half of the time
	maxParallelDials     = 3                      // dials for one connection: if one in three is late, all three are in one case of 27
	silenceDialTimeouts  = 2                      // dial timeouts of silence after which a connection counts as lost
)

// replicaConnection is the event loop's state of one connection to a replica.
type replicaConnection struct {
	*messageConn
	replica     *replica
	protocol    wireProtocol
	closedToNew bool  // takes no new batches
	openBatches int   // batches with an attempt in flight
	connectedAt int64 // ticks, 0 before the connection is up
	attempts    []*attempt
	heardAt     int64 // when the last answer was received; 0 before the first
	usedAt      int64
	idleTimer   timer
	recentIDs   map[string]uint64 // ids of the searches of past attempts, by the attempts' names: answers may still arrive
	recentOrder []string          // the same names; once there are maxRecentIDs, the oldest is at oldestIndex
	oldestIndex int

	abandoned []*abandonedAttempt // the replica may still run them
}

// openConnection begins to open a connection; batches that it is given wait until it is up.
func (loop *eventLoop) openConnection(replica *replica) *replicaConnection {
	connection := &replicaConnection{messageConn: newMessageConn(loop.ctx, replicaQueueSize), replica: replica, protocol: replica.protocol, usedAt: loop.now}
	connection.log, connection.clockTicks, connection.awaitEventLoop = loop.log, loop.clockTicks, loop.awaitCatchUp
	connection.onMissedDeadline = func(message *outboundMessage) { loop.submit(func() { loop.handleMissedDeadline(connection, message) }) }
	replica.connections = append(replica.connections, connection)
	loop.descriptors.replicaConnections++
	if loop.enforcer != nil {
		connection.leaseExpired = loop.enforcer.leaseHasExpired
	}
	addr, dialTimeout := replica.addr, loop.plan.Duration("Permissions.DialTimeout")
	maxExtraDials := loop.descriptors.maxExtraDials()
	loop.group.Go(func() error {
		end := errNotConnected
		ctx, cancel := context.WithTimeout(connection.ctx, dialTimeout)
		conn, err := loop.dialWithRetries(ctx, addr, min(maxRedialDelay, dialTimeout/redialTimeoutParts), maxExtraDials)
		cancel()
		if connectionEndOf(err) == errNoDescriptors {
			end = errNoDescriptors
		}
		if err == nil {
			loop.submit(func() { loop.handleConnected(connection) })
			end = connection.serve(conn, dialTimeout, func(context.Context) error { return connection.protocol.readAnswers(loop, connection, conn) },
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
		if batch := attempt.batch; batch != nil && batch.message.buffer == nil { // queued once, for the batch's first attempt
			loop.queueBatch(batch)
		}
	}
}

// dialWithRetries opens a connection. If a dial is slow, it starts a further one beside it each time that wait has passed,
// up to maxParallelDials dials, and uses the first that succeeds. A lost connection request to a sound replica would
// otherwise delay all attempts that wait for the connection. A silent replica is dialed three times instead of once,
// which uses two more descriptors until the dial timeout; all silent replicas together use at most maxExtra more.
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

// closeLateDials waits for canceled dials and closes the connections of those that have succeeded nevertheless.
func closeLateDials(results <-chan dialResult, running int) {
	for range running {
		if late := <-results; late.err == nil {
			late.conn.Close()
		}
	}
}

// rememberID keeps the name of an attempt that was on the connection, up to maxRecentIDs names.
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

// silentFor returns for how long the connection has been silent: the age of the oldest attempt that was sent after the
// last answer was received, 0 for none.
func (l *replicaConnection) silentFor(now int64) (age int64) {
	for _, attempt := range l.attempts {
		if l.heardAt < attempt.sentAt {
			age = max(age, now-attempt.sentAt)
		}
	}
	return age
}

// conflictsWith says whether the name of an attempt of a batch is in use on the connection, or was recently used for
// another search: a late answer to the earlier attempt would be taken for an answer to the new one. With some protocols
// the names of earlier attempts of the same search are in conflict too.
func (l *replicaConnection) conflictsWith(batch *batch) bool {
	return slices.ContainsFunc(batch.attempts, func(added *attempt) bool {
		searchID, isRecent := l.recentIDs[added.name]
		isReused := isRecent && (searchID != added.shardRequest.search.id || !l.protocol.allowsRepeatedNames())
		return isReused || findAttempt(l.attempts, added.name) != nil
	})
}

// silenceTimeout returns for how many ticks a connection may be silent before it counts as lost.
func (loop *eventLoop) silenceTimeout() int64 {
	return silenceDialTimeouts * int64(loop.plan.Duration("Permissions.DialTimeout")/tick)
}

// doubtDelay returns for how many ticks a connection may be silent before the next batch takes another one.
func (loop *eventLoop) doubtDelay() int64 {
	return max(minDoubtDelay, int64(doubtLatencyFactor*loop.replicas.averageLatency))
}

// retireSilentConnections closes connections that have long been silent, once their replica has answered an attempt that
// was sent later, at sentAt, on another connection: the silent one is lost, and its attempts can be retried.
func (loop *eventLoop) retireSilentConnections(answeredOn *replicaConnection, sentAt int64) {
	for _, conn := range answeredOn.replica.connections {
		age := conn.silentFor(loop.now)
		if conn != answeredOn && !conn.closedToNew && loop.now-age < sentAt && age > max(loop.silenceTimeout(), loop.doubtDelay()) {
			conn.closeNow(errRetired)
		}
	}
}

// handleConnectionEnd reports the outcomes of the attempts that were on a connection.
func (loop *eventLoop) handleConnectionEnd(conn *replicaConnection, end connectionEndError, addr string) {
	conn.closedToNew = true
	conn.end(end)
	loop.stopTimer(&conn.idleTimer) // it would keep the connection's memory until its time
	loop.descriptors.replicaConnections--
	conn.replica.connections = slices.DeleteFunc(conn.replica.connections, func(x *replicaConnection) bool { return x == conn })
	if len(conn.attempts) > 0 || end == errNotConnected || end == errReadTimeout || end == errMalformed || end == errFault {
		loop.log.warnLimited("replica "+end.Error(), "replica_connection_ended", "replica", conn.replica.id, "addr", addr, "end", end,
			"parts", len(conn.attempts))
	}
	// All attempts are detached before the first outcome is reported: in response the balancer may cancel other attempts
	// that were on this connection, and their outcomes are known already.
	var reports []func()
	isCertain := end.isCertain()
	isFirst := true // no written attempt yet
	for _, attempt := range slices.Clone(conn.attempts) {
		isWritten := attempt.batch.message.stage.Load() == stageWritten
		outcome := end.attemptOutcome(isWritten, isFirst, conn.heardAt > 0)
		isFirst = isFirst && !isWritten
		loop.detachAttempt(attempt)
		if isWritten && !isCertain && loop.mustAwaitEnd(attempt) {
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

// closeWhenIdle closes a connection that has been idle for long, before its replica would; otherwise it checks again
// later.
func (loop *eventLoop) closeWhenIdle(conn *replicaConnection) {
	if conn.closedToNew {
		return
	}
	maxIdle := int64(replicaIdleShare * float64(loop.plan.Duration("Permissions.ConnIdle")/tick))
	if left := conn.usedAt + maxIdle - loop.now; left > 0 || conn.openBatches > 0 || len(conn.abandoned) > 0 {
		loop.startTimer(&conn.idleTimer, max(left, maxIdle/4), deferredTask(func() { loop.closeWhenIdle(conn) }))
		return
	}
	conn.closeNow(errIdle)
}

// closeNow ends a connection for a reason, whatever is in flight on it.
func (l *replicaConnection) closeNow(e connectionEndError) {
	l.closedToNew = true
	l.end(e)
}

// retireConnection gives a connection no new attempts and ends it once nothing is in flight on it.
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
