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
func (sub *attempt) fire(o *eventLoop) { o.giveUpAttempt(sub, "TimedOut") }

// SendAttempt starts a sub-request; it travels at the end of the turn, with others to that replica.
func (o *eventLoop) SendAttempt(id uint64, to string, timeout int64) {
	p, r := o.shardRequests[id], o.replicas[to]
	if p == nil {
		return
	}
	s := p.search
	left := s.deadline - o.now
	if timeout == 0 || timeout > left {
		timeout = left
	}
	sub := &p.firstAttempt
	if len(p.attempts) > 0 {
		sub = &attempt{}
	} else {
		p.attempts = p.inlineAttempts[:0]
	}
	sub.shardRequest, sub.index, sub.replica, sub.name, sub.sentAt, sub.deadline = p, int32(len(p.attempts)), r, p.name, o.now, o.now+timeout
	p.attempts = append(p.attempts, sub)
	p.unreported++
	early := ""
	switch {
	case int(sub.index) >= o.maxAttempts || p.isSettled():
		early = "Ignored"
	case timeout <= 0:
		early = "TimedOut"
	case r == nil:
		early = "ConnectError"
	}
	if early != "" {
		o.deferAttemptOutcome(sub, early)
		return
	}
	var c *batch
	if n := len(r.batches); n > 0 && len(r.batches[n-1].attempts) < r.protocol.attemptsPerBatch(o) && o.canShareBatch(r.batches[n-1].attempts, sub) &&
		findAttempt(r.batches[n-1].attempts, sub.name) == nil {
		c = r.batches[n-1]
	} else {
		if c = &sub.inlineBatch; n == 0 {
			o.dispatchOrder = append(o.dispatchOrder, r)
		}
		c.attempts = c.inlineAttempts[:0]
		r.batches = append(r.batches, c)
	}
	sub.batch = c
	c.attempts = append(c.attempts, sub)
	o.startTimer(&sub.timeout, timeout, sub)
}

// CancelAttempt gives a sub-request up.
func (o *eventLoop) CancelAttempt(id uint64, leg int) {
	if p := o.shardRequests[id]; p != nil && leg < len(p.attempts) {
		o.giveUpAttempt(p.attempts[leg], "Canceled")
	}
}

// giveUpAttempt stops waiting for a sub-request, if it is still out.
func (o *eventLoop) giveUpAttempt(sub *attempt, outcome string) {
	if sub.batch == nil {
		return
	}
	l := sub.batch.connection
	if c := sub.batch; o.recallAttempt(sub) {
		if sub.neverRan = true; outcome == "Canceled" {
			outcome = "Ignored" // what was called off may have run, but this was never sent
		}
	} else {
		o.detachAttempt(sub)
		l.protocol.cancelAttempt(l, sub)
		// Nothing is sent after the final answer: a frame given up before it may still be on its way out.
		if b, s := (pendingWrite{l.messageConn, c.message}), sub.shardRequest.search; !s.ended && !b.isWritten() {
			s.pendingWrites = append(s.pendingWrites, b)
		}
		if o.mayStillRun(sub) {
			o.abandonAttempt(l, sub, outcome)
			outcome = ""
		}
	}
	// Guards against a machine that went silent: its open connection would swallow part after part. One new
	// connection tells more than the old one: it comes up or does not.
	if l != nil && l.heardAt < sub.sentAt && o.now-sub.sentAt > o.silenceTimeout() {
		o.retireConnection(l)
	}
	if outcome != "" {
		o.deferAttemptOutcome(sub, outcome)
	}
}

// abandonedAttempt is a sub-request that this side waits for no longer, while its replica may not know so yet.
type abandonedAttempt struct {
	attempt    *attempt
	connection *replicaConnection
	outcome    string
}

// mayStillRun tells whether a sub-request that this side gives up may be out all the same, where no part may be out twice.
func (o *eventLoop) mayStillRun(sub *attempt) bool {
	return !o.allowsSecondCopies && !sub.shardRequest.isSettled()
}

// abandonAttempt keeps the end of a sub-request from the module until it is over for its replica too: that has answered it, or has
// ended the connection. Guards against a second copy. A cancel frame may be overtaken, or not be read while the connection's
// places are taken; on one that has fallen silent neither it nor our close arrives; and the time that the replica was told
// counts from its reading the frame, which a new connection may hold up. Harm: of a replica that hangs nothing comes, and the
// part is lost to its search.
func (o *eventLoop) abandonAttempt(l *replicaConnection, sub *attempt, outcome string) {
	g := &abandonedAttempt{sub, l, outcome}
	l.abandoned, o.abandoned[sub] = append(l.abandoned, g), g
}

// forgetAbandoned ends a sub-request's lingering, and gives how it had ended here.
func (o *eventLoop) forgetAbandoned(g *abandonedAttempt) (outcome string) {
	delete(o.abandoned, g.attempt)
	g.connection.abandoned = slices.DeleteFunc(g.connection.abandoned, func(x *abandonedAttempt) bool { return x == g })
	o.closeIfUnused(g.connection)
	return g.outcome
}

// takeAbandoned finds a sub-request that lingers on a connection by its id, takes it off, and gives what its answer counts as.
// Guards against an answer from where a contract has called its part off: under contracts it ends as it had ended here.
func (o *eventLoop) takeAbandoned(l *replicaConnection, id, outcome string) (*attempt, string) {
	for _, g := range l.abandoned {
		if g.attempt.name == id {
			if ended := o.forgetAbandoned(g); o.enforcer != nil {
				outcome = ended
			}
			return g.attempt, outcome
		}
	}
	return nil, outcome
}

// recallAttempt takes a sub-request off its call if no byte of that has been begun; the rest goes without it.
func (o *eventLoop) recallAttempt(sub *attempt) bool {
	c := sub.batch
	if c.connection != nil && !c.message.recall() {
		return false
	}
	o.detachAttempt(sub)
	o.queueBatch(c)
	return true
}

// recallBatch takes a search's sub-requests off a call, all sub-requests with no search, if no byte of it has been begun; the
// module hears that they were never sent. They go at once: one by one, the frame of the rest could go out in between.
func (o *eventLoop) recallBatch(c *batch, of *search) bool {
	if c.connection != nil && !c.message.recall() {
		return false
	}
	for i := 0; i < len(c.attempts); {
		sub := c.attempts[i]
		if of != nil && sub.shardRequest.search != of {
			i++
			continue
		}
		o.detachAttempt(sub)
		o.deferAttemptOutcome(sub, "Ignored")
	}
	o.queueBatch(c)
	return true
}

// recallAfterGrace has nothing new go out to a replica that drains, is gone or has moved, once the time is over in which that is
// allowed. Guards against frames that still wait for a connection then. They wait on until then, since most come up in
// time: to take them back at once would cost each an attempt.
func (o *eventLoop) recallAfterGrace(r *replica) {
	grace := float64(o.plan.Duration("Safety.DrainGrace") / tick)
	o.runAfter(int64(drainSendShare*grace), func() {
		for _, l := range slices.Clone(r.connections) {
			if !r.closedToNew && !l.closedToNew {
				continue
			}
			for _, sub := range slices.Clone(l.attempts) {
				if sub.batch != nil {
					o.recallBatch(sub.batch, nil)
				}
			}
		}
	})
}

// detachAttempt takes a sub-request off its call and connection.
func (o *eventLoop) detachAttempt(sub *attempt) {
	c := sub.batch
	sub.batch = nil
	o.stopTimer(&sub.timeout)
	c.attempts = slices.DeleteFunc(c.attempts, func(x *attempt) bool { return x == sub })
	if l := c.connection; l != nil {
		if c.message != nil && c.message.stage.Load() != stageRecalled {
			l.rememberID(sub)
		}
		l.attempts = slices.DeleteFunc(l.attempts, func(x *attempt) bool { return x == sub })
		l.usedAt = o.now
		if len(c.attempts) == 0 {
			l.openBatches--
			o.closeIfUnused(l)
		}
	}
}

// rememberID keeps the latest ids that were on a connection.
func (l *replicaConnection) rememberID(sub *attempt) {
	if l.recentIDs == nil {
		l.recentIDs = map[string]uint64{}
	}
	if _, known := l.recentIDs[sub.name]; !known {
		if len(l.recentOrder) < maxRecentIDs {
			l.recentOrder = append(l.recentOrder, sub.name)
		} else {
			delete(l.recentIDs, l.recentOrder[l.oldestIndex])
			l.recentOrder[l.oldestIndex], l.oldestIndex = sub.name, (l.oldestIndex+1)%maxRecentIDs
		}
	}
	l.recentIDs[sub.name] = sub.shardRequest.search.id
}

// recordOutcome tells the module how a sub-request ended.
func (o *eventLoop) recordOutcome(sub *attempt, outcome string, report map[string]float64) {
	sub.shardRequest.unreported--
	sub.neverRan = sub.neverRan || outcome == "Ignored" || outcome == "ConnectError" || outcome == "QueueFull"
	o.balancer.RecordAttemptOutcome(sub.shardRequest.id, int(sub.index), outcome, o.now-sub.sentAt, sub.shardRequest.isSettled(), report)
	o.dropShardRequest(sub.shardRequest)
}

// dispatchBatches puts the turn's calls on connections.
func (o *eventLoop) dispatchBatches() {
	if len(o.dispatchOrder) > 0 {
		o.lastDispatchAt = o.now
	}
	for _, r := range o.dispatchOrder {
		for _, c := range r.batches {
			if len(c.attempts) == 0 {
				continue
			}
			var l *replicaConnection
			if !r.removed { // since it was chosen in this turn
				l = o.connectionFor(r, c)
			}
			if l == nil {
				for _, sub := range slices.Clone(c.attempts) {
					o.detachAttempt(sub)
					o.deferAttemptOutcome(sub, endNoDescriptors.attemptOutcome(false, false, false))
				}
				continue
			}
			c.connection = l
			l.openBatches++
			l.attempts = append(l.attempts, c.attempts...)
			o.queueBatch(c)
		}
		clear(r.batches)
		r.batches = r.batches[:0]
		o.forgetReplica(r)
	}
	o.dispatchOrder = o.dispatchOrder[:0]
}

// queueBatch writes the frame of a call that has a connection. While that is not up the call waits for rise. Guards against a
// frame that was written as the connection was opened: it would tell the time that was left to the client then.
func (o *eventLoop) queueBatch(c *batch) {
	if c.connection == nil {
		return
	}
	if c.connection.connectedAt == 0 {
		c.message = &c.inlineMessage
		c.message.stage.Store(stageQueued) // it may have been taken back, and stands in no backlog
		return
	}
	fenced := o.enforcer != nil && o.enforcer.removeForbidden(c)
	if len(c.attempts) == 0 {
		return
	}
	b := borrowBuffer()
	*b = c.connection.protocol.appendBatch(o, *b, c)
	p := &c.inlineMessage
	if p.buffer != nil { // that one was taken back, and may still stand in the backlog
		p = &outboundMessage{}
	}
	p.buffer, p.leaseFenced, c.message = b, fenced, p
	if by := o.repeatDeadline(c.attempts[0]); by > 0 {
		p.hasDeadline = true
		c.connection.deadlines.Store(p, by)
	}
	c.connection.usedAt = o.now
	c.connection.enqueue(c.message)
}

// connectionFor finds a connection with room for a call, or opens one. With no descriptor left for it, an unused
// connection to another replica makes room, or one of this replica's takes the call, though it will wait
// there; nil where neither is. Guards against a lack of our own that is told as a replica's fault.
func (o *eventLoop) connectionFor(r *replica, c *batch) *replicaConnection {
	if since := o.firstSentAt(c.attempts[0]); since > 0 {
		return r.connectedSince(c, since)
	}
	var fullest *replicaConnection
	doubted := 0
	for _, l := range r.connections {
		if l.closedToNew || l.conflictsWith(c) {
			continue
		}
		// Guards against one connection that has gone silent: it would swallow part after part of a replica that
		// is sound. The next call takes another; a replica that is silent on all is the module's to find.
		doubt := l.silentFor(o.now) > o.doubtDelay() && doubted < maxDoubtedConnections
		if doubt {
			doubted++
		}
		if !doubt && l.openBatches < l.protocol.batchesPerConnection(o) {
			return l
		}
		if fullest == nil || l.openBatches < fullest.openBatches {
			fullest = l
		}
	}
	if float64(o.replicaConnectionCount) < replicaDescriptorShare*float64(o.maxSockets) {
		return o.openConnection(r)
	}
	if !r.protocol.allowsWaiting() {
		fullest = nil
	}
	o.log.warnLimited("no_descriptor", "no_descriptor", "side", "replicas", "open", o.replicaConnectionCount)
	var spare *replicaConnection
	for _, other := range o.replicas {
		for _, l := range other.connections {
			if !l.closedToNew && l.openBatches == 0 && (spare == nil || l.usedAt < spare.usedAt) {
				spare = l
			}
		}
	}
	if spare != nil {
		spare.closeNow(endDisplaced)
		return o.openConnection(r)
	}
	return fullest
}

// firstSentAt is when a keyed part first went out, of its repeat; 0 of any other sub-request, and where none before it can
// have run: that is no repeat. It is not kept in the call: eight bytes more there are 385 a search.
func (o *eventLoop) firstSentAt(sub *attempt) int64 {
	if sub.index == 0 || !o.keyedClasses[sub.shardRequest.search.class] {
		return 0
	}
	for _, before := range sub.shardRequest.attempts[:sub.index] {
		if !before.neverRan {
			return before.sentAt
		}
	}
	return 0
}

// repeatDeadline is until when a keyed part's repeat may leave: the decision for it, and what this side holds it back, may lie on
// both sides of the end of its window. 0 for what is no repeat.
func (o *eventLoop) repeatDeadline(sub *attempt) int64 {
	since := o.firstSentAt(sub)
	if since == 0 {
		return 0
	}
	return since + max(1, o.repeatWindows[sub.shardRequest.search.class]-int64(repeatWindowMargin/tick))
}

// handleMissedDeadline tells the module of a call whose time to leave was over before its connection's writer came to it: none of it
// was sent.
func (o *eventLoop) handleMissedDeadline(l *replicaConnection, p *outboundMessage) {
	for _, sub := range slices.Clone(l.attempts) {
		if sub.batch != nil && sub.batch.message == p {
			o.detachAttempt(sub)
			o.deferAttemptOutcome(sub, "Ignored")
		}
	}
}

// canShareBatch tells whether a sub-request may be on one connection with those of a call.
func (o *eventLoop) canShareBatch(subs []*attempt, sub *attempt) bool {
	return len(subs) == 0 || o.firstSentAt(sub) == o.firstSentAt(subs[0])
}

// connectedSince finds a connection that has stood since before a keyed part first went out; nil where there is none: the
// repeat is not sent then. Guards against a second effect: a replica that has started again has forgotten what it would
// drop, and only a connection that stood all the while shows that it has not. Harm: a replica that was not connected to
// gets no repeat, though it may well remember.
func (r *replica) connectedSince(c *batch, since int64) (best *replicaConnection) {
	for _, l := range r.connections {
		if !l.closedToNew && l.connectedAt > 0 && l.connectedAt <= since && !l.conflictsWith(c) && (best == nil || l.openBatches < best.openBatches) {
			best = l
		}
	}
	return best
}

// silentFor tells how long the oldest part has been out on the connection of those since which nothing was heard.
func (l *replicaConnection) silentFor(now int64) (age int64) {
	for _, sub := range l.attempts {
		if l.heardAt < sub.sentAt {
			age = max(age, now-sub.sentAt)
		}
	}
	return age
}

// doubtDelay is how long a connection may say nothing under a part before the next call takes another.
func (o *eventLoop) doubtDelay() int64 {
	return max(minDoubtDelay, int64(doubtLatencyFactor*o.averageLatency))
}

// conflictsWith tells whether one of a call's ids is out on the connection already, or was for another search.
// Guards against two searches that bear one name: the answer to one would be taken for the other's.
func (l *replicaConnection) conflictsWith(c *batch) bool {
	return slices.ContainsFunc(c.attempts, func(sub *attempt) bool {
		id, known := l.recentIDs[sub.name]
		return known && id != sub.shardRequest.search.id || findAttempt(l.attempts, sub.name) != nil
	})
}

func findAttempt(subs []*attempt, name string) *attempt {
	for _, sub := range subs {
		if sub.name == name {
			return sub
		}
	}
	return nil
}

// openConnection opens a connection; calls on it wait until it is up.
func (o *eventLoop) openConnection(r *replica) *replicaConnection {
	l := &replicaConnection{messageConn: newMessageConn(o.ctx, replicaQueueSize), replica: r, protocol: r.protocol, usedAt: o.now}
	l.log, l.clockTicks = o.log, o.clockTicks
	l.onMissedDeadline = func(p *outboundMessage) { o.submit(func() { o.handleMissedDeadline(l, p) }) }
	r.connections = append(r.connections, l)
	o.replicaConnectionCount++
	if o.enforcer != nil {
		l.leaseExpired = o.enforcer.leaseHasExpired
	}
	addr, wait := r.addr, o.plan.Duration("Permissions.DialTimeout")
	room := max(1, int64(extraDialShare*float64(o.maxSockets)))
	o.group.Go(func() error {
		end := endNotConnected
		ctx, stop := context.WithTimeout(l.ctx, wait)
		conn, err := o.dialWithRetries(ctx, addr, min(maxRedialDelay, wait/redialTimeoutParts), room)
		stop()
		if connectionEndOf(err) == endNoDescriptors {
			end = endNoDescriptors
		}
		if err == nil {
			o.submit(func() { o.handleConnected(l) })
			end = l.serve(conn, wait, func(context.Context) error { return l.protocol.readAnswers(o, l, conn) },
				func(*outboundMessage) error { return nil })
		}
		o.submit(func() { o.handleConnectionEnd(l, end, addr) })
		return nil
	})
	o.closeWhenIdle(l)
	return l
}

// handleConnected writes what has waited for a connection to be up.
func (o *eventLoop) handleConnected(l *replicaConnection) {
	l.connectedAt = o.now
	for _, sub := range slices.Clone(l.attempts) {
		if c := sub.batch; c != nil && c.message.buffer == nil { // the first of a call's has written it
			o.queueBatch(c)
		}
	}
}

// dialWithRetries opens a connection, and tries again beside what is not up each time that it has waited for so long, maxParallelDials times
// in all. Guards against connections that come up late or never at a replica that is sound: what waits for one would be
// late with it. Harm: a replica that is silent is asked for three connections in place of one, and until the time to dialWithRetries
// is over two more descriptors are used; of many that are silent, room is.
func (o *eventLoop) dialWithRetries(ctx context.Context, addr string, wait time.Duration, room int64) (net.Conn, error) {
	type ended struct {
		conn net.Conn
		err  error
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tries, out, beside := make(chan ended, maxParallelDials), 0, 0
	defer func() { o.extraDials.Add(int64(-beside)) }()
	dial := func() {
		out++
		o.group.Go(func() error {
			conn, err := o.Dial(ctx, "tcp", addr)
			tries <- ended{conn, err}
			return nil
		})
	}
	dial()
	again := o.Clock.After(wait)
	for {
		select {
		case <-again:
			again = nil
			if beside++; o.extraDials.Add(1) <= room {
				dial()
			}
			if beside < maxParallelDials-1 {
				again = o.Clock.After(wait)
			}
		case t := <-tries:
			out--
			if t.err != nil && out > 0 {
				continue
			}
			if out > 0 {
				o.group.Go(func() error { // the others are called off; they may be up all the same
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
func (o *eventLoop) decodeValue(part, value []byte) (any, error) {
	if o.decoderCount.Load() == 0 {
		return nil, nil
	}
	id := string(part)
	id = strings.TrimSuffix(id, ".r")
	dot := strings.LastIndexByte(id, '.')
	check, ok := o.valueDecoders.Load(id[:max(0, dot)])
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
func (o *eventLoop) handleAnswer(l *replicaConnection, id []byte, outcome string, score []byte, report map[string]float64,
	value []byte, read any,
) {
	l.heardAt = o.now
	sub, waits := findAttempt(l.attempts, string(id)), true
	if sub == nil {
		waits = false
		sub, outcome = o.takeAbandoned(l, string(id), outcome)
	}
	if sub == nil {
		if _, known := l.recentIDs[string(id)]; !known {
			o.log.warnLimited("bad_frame", "bad_frame", "replica", l.replica.id, "error", "answer to "+string(id))
			l.closeNow(endMalformed)
		}
		return
	}
	if waits && !o.recallAttempt(sub) { // guards against a repeat on this connection that goes out though the first was answered
		o.detachAttempt(sub)
	}
	o.averageLatency += (float64(o.now-sub.sentAt) - o.averageLatency) / latencyAverageWeight
	o.retireSilentConnections(l, sub.sentAt)
	if p := sub.shardRequest; outcome == "Ok" && !p.isSettled() {
		p.completed, p.score, p.value, p.decoded = true, score, value, read
		o.holdBytes(p.search, len(value))
	}
	o.recordOutcome(sub, outcome, report)
}

// retireSilentConnections ends connections that have long been silent under parts, once their replica has answered a later part on
// another: it is the connection that is lost, and its parts can go out again.
func (o *eventLoop) retireSilentConnections(heard *replicaConnection, sent int64) {
	for _, l := range heard.replica.connections {
		age := l.silentFor(o.now)
		if l != heard && !l.closedToNew && o.now-age < sent && age > max(o.silenceTimeout(), o.doubtDelay()) {
			l.closeNow(endRetired)
		}
	}
}

// silenceTimeout is how long a connection may say nothing before it is taken for lost.
func (o *eventLoop) silenceTimeout() int64 {
	return silenceDialTimeouts * int64(o.plan.Duration("Permissions.DialTimeout")/tick)
}

// handleConnectionEnd tells what a connection's end means for the parts that were out on it.
func (o *eventLoop) handleConnectionEnd(l *replicaConnection, end connectionEnd, addr string) {
	l.closedToNew = true
	l.end(end)
	o.replicaConnectionCount--
	l.replica.connections = slices.DeleteFunc(l.replica.connections, func(x *replicaConnection) bool { return x == l })
	if len(l.attempts) > 0 || end == endNotConnected || end == endReadTimeout || end == endMalformed || end == endFault {
		o.log.warnLimited("replica "+end.Error(), "replica_connection_ended", "replica", l.replica.id, "addr", addr, "end", end,
			"parts", len(l.attempts))
	}
	// All are taken off before the first is told. Guards against what the module does on hearing of one: it may
	// call off others that were on this connection, whose end has come too.
	var tell []func()
	certain := end.isCertain()
	first := true // of those that were written
	for _, sub := range slices.Clone(l.attempts) {
		out := sub.batch.message.stage.Load() == stageWritten
		outcome := end.attemptOutcome(out, first, l.heardAt > 0)
		first = first && !out
		o.detachAttempt(sub)
		if out && !certain && o.mayStillRun(sub) {
			o.abandonAttempt(l, sub, outcome)
			continue
		}
		tell = append(tell, func() { o.recordOutcome(sub, outcome, nil) })
	}
	for _, do := range tell {
		do()
	}
	for certain && len(l.abandoned) > 0 {
		sub := l.abandoned[0].attempt
		o.deferAttemptOutcome(sub, o.forgetAbandoned(l.abandoned[0]))
	}
	o.forgetReplica(l.replica)
}

// closeWhenIdle closes a connection that has been unused, before its replica would, and until then looks again.
func (o *eventLoop) closeWhenIdle(l *replicaConnection) {
	if l.closedToNew {
		return
	}
	most := int64(replicaIdleShare * float64(o.plan.Duration("Permissions.ConnIdle")/tick))
	if left := l.usedAt + most - o.now; left > 0 || l.openBatches > 0 || len(l.abandoned) > 0 {
		o.runAfter(max(left, most/4), func() { o.closeWhenIdle(l) })
		return
	}
	l.closeNow(endIdle)
}

// closeNow ends a connection at once; until that is told, it takes nothing new.
func (l *replicaConnection) closeNow(e connectionEnd) {
	l.closedToNew = true
	l.end(e)
}

// retireConnection lets a connection end once nothing is out on it.
func (o *eventLoop) retireConnection(l *replicaConnection) {
	l.closedToNew = true
	o.closeIfUnused(l)
}

func (o *eventLoop) closeIfUnused(l *replicaConnection) {
	if l.closedToNew && l.openBatches == 0 && len(l.abandoned) == 0 {
		l.end(endRetired)
	}
}

// forgetReplica drops a replica that has left the list once it has no connection.
func (o *eventLoop) forgetReplica(r *replica) {
	if r.removed && len(r.connections) == 0 && len(r.batches) == 0 && o.replicas[r.id] == r {
		delete(o.replicas, r.id)
	}
}

// placeReplica notes where a replica is; old connections to another address take nothing new.
func (o *eventLoop) placeReplica(id, addr, kind string, since int64, gone, drains bool) {
	r := o.replicas[id]
	if r == nil {
		if gone {
			return
		}
		r = &replica{id: id, protocol: frameProtocol{}}
		o.replicas[id] = r
	}
	speaks := o.protocolFor(kind)
	moved := r.addr != addr || r.protocol != speaks
	for _, l := range slices.Clone(r.connections) {
		// One from before its replica's start leads to a life that is over. Guards against a machine that went without a word:
		// what is sent to it there is lost.
		if gone || moved || l.connectedAt > 0 && l.connectedAt < since {
			o.retireConnection(l)
		}
	}
	if closed := gone || drains; closed && !r.closedToNew || moved && len(r.connections) > 0 {
		o.recallAfterGrace(r)
	}
	r.addr, r.removed, r.closedToNew = addr, gone, gone || drains
	if !gone {
		r.protocol = speaks
	}
	o.forgetReplica(r)
}
