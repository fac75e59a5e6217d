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
	id, addr string
	speaks   tongue
	gone     bool
	closed   bool // drains or is gone
	lines    []*line
	calls    []*call // of this turn, not yet on a line
}

// line is one connection to a replica as the owner knows it.
type line struct {
	*link
	r      *replica
	speaks tongue
	shut   bool  // takes no new calls
	calls  int   // with a part out
	up     int64 // since when it stands, 0 while it does not
	subs   []*subRequest
	heard  int64
	usedAt int64
	past   map[string]uint64 // ids that were on it, with their searches: their answers may still come
	aged   []string          // the same; once there are pastRoom, the oldest is at eldest
	eldest int

	lingering []*lingering // on it
}

// call is what travels as one frame.
type call struct {
	subs   []*subRequest
	line   *line
	parcel *parcel

	one [1]*subRequest // room for the first of subs
	own parcel         // and for the first parcel
}

// subRequest is one sub-request that is out.
type subRequest struct {
	p     *part
	leg   int32
	never bool // it has not run: it was never out whole, or was refused
	r     *replica
	name  string // its id on the wire
	sent  int64
	due   int64
	call  *call
	wake  wake // its time-out
	own   call // room for call
}

// awake is its time-out.
func (sub *subRequest) awake(o *owner) { o.giveUp(sub, "TimedOut") }

// SendAttempt starts a sub-request; it travels at the end of the turn, with others to that replica.
func (o *owner) SendAttempt(id uint64, to string, timeout int64) {
	p, r := o.parts[id], o.fleet[to]
	if p == nil {
		return
	}
	s := p.s
	left := s.due - o.now
	if timeout == 0 || timeout > left {
		timeout = left
	}
	sub := &p.first
	if len(p.subs) > 0 {
		sub = &subRequest{}
	} else {
		p.subs = p.one[:0]
	}
	sub.p, sub.leg, sub.r, sub.name, sub.sent, sub.due = p, int32(len(p.subs)), r, p.name, o.now, o.now+timeout
	p.subs = append(p.subs, sub)
	p.untold++
	early := ""
	switch {
	case int(sub.leg) >= o.maxAttempts || p.over():
		early = "Ignored"
	case timeout <= 0:
		early = "TimedOut"
	case r == nil:
		early = "ConnectError"
	}
	if early != "" {
		o.laterLanded(sub, early)
		return
	}
	var c *call
	if n := len(r.calls); n > 0 && len(r.calls[n-1].subs) < r.speaks.perCall(o) && o.together(r.calls[n-1].subs, sub) &&
		find(r.calls[n-1].subs, sub.name) == nil {
		c = r.calls[n-1]
	} else {
		if c = &sub.own; n == 0 {
			o.order = append(o.order, r)
		}
		c.subs = c.one[:0]
		r.calls = append(r.calls, c)
	}
	sub.call = c
	c.subs = append(c.subs, sub)
	o.await(&sub.wake, timeout, sub)
}

// CancelAttempt gives a sub-request up.
func (o *owner) CancelAttempt(id uint64, leg int) {
	if p := o.parts[id]; p != nil && leg < len(p.subs) {
		o.giveUp(p.subs[leg], "Canceled")
	}
}

// giveUp stops waiting for a sub-request, if it is still out.
func (o *owner) giveUp(sub *subRequest, outcome string) {
	if sub.call == nil {
		return
	}
	l := sub.call.line
	if c := sub.call; o.takeBack(sub) {
		if sub.never = true; outcome == "Canceled" {
			outcome = "Ignored" // what was called off may have run, but this was never sent
		}
	} else {
		o.leave(sub)
		l.speaks.cancel(l, sub)
		// Nothing is sent after the final answer: a frame given up before it may still be on its way out.
		if b, s := (behind{l.link, c.parcel}), sub.p.s; !s.over && !b.out() {
			s.begun = append(s.begun, b)
		}
		if o.lingers(sub) {
			o.linger(l, sub, outcome)
			outcome = ""
		}
	}
	// Guards against a machine that went silent: its open connection would swallow part after part. One new
	// connection tells more than the old one: it comes up or does not.
	if l != nil && l.heard < sub.sent && o.now-sub.sent > o.silence() {
		o.retire(l)
	}
	if outcome != "" {
		o.laterLanded(sub, outcome)
	}
}

// lingering is a sub-request that this side waits for no longer, while its replica may not know so yet.
type lingering struct {
	sub     *subRequest
	l       *line
	outcome string
}

// lingers tells whether a sub-request that this side gives up may be out all the same, where no part may be out twice.
func (o *owner) lingers(sub *subRequest) bool { return !o.copies && !sub.p.over() }

// linger keeps the end of a sub-request from the module until it is over for its replica too: that has answered it, or has
// ended the connection. Guards against a second copy. A cancel frame may be overtaken, or not be read while the connection's
// places are taken; on one that has fallen silent neither it nor our close arrives; and the time that the replica was told
// counts from its reading the frame, which a new connection may hold up. Harm: of a replica that hangs nothing comes, and the
// part is lost to its search.
func (o *owner) linger(l *line, sub *subRequest, outcome string) {
	g := &lingering{sub, l, outcome}
	l.lingering, o.lingering[sub] = append(l.lingering, g), g
}

// forgoes ends a sub-request's lingering, and gives how it had ended here.
func (o *owner) forgoes(g *lingering) (outcome string) {
	delete(o.lingering, g.sub)
	g.l.lingering = slices.DeleteFunc(g.l.lingering, func(x *lingering) bool { return x == g })
	o.mayClose(g.l)
	return g.outcome
}

// answered finds a sub-request that lingers on a connection by its id, takes it off, and gives what its answer counts as.
// Guards against an answer from where a contract has called its part off: under contracts it ends as it had ended here.
func (o *owner) answered(l *line, id, outcome string) (*subRequest, string) {
	for _, g := range l.lingering {
		if g.sub.name == id {
			if ended := o.forgoes(g); o.zones != nil {
				outcome = ended
			}
			return g.sub, outcome
		}
	}
	return nil, outcome
}

// takeBack takes a sub-request off its call if no byte of that has been begun; the rest goes without it.
func (o *owner) takeBack(sub *subRequest) bool {
	c := sub.call
	if c.line != nil && !c.parcel.recall() {
		return false
	}
	o.leave(sub)
	o.load(c)
	return true
}

// unsend takes a search's sub-requests off a call, all sub-requests with no search, if no byte of it has been begun; the
// module hears that they were never sent. They go at once: one by one, the frame of the rest could go out in between.
func (o *owner) unsend(c *call, of *search) bool {
	if c.line != nil && !c.parcel.recall() {
		return false
	}
	for i := 0; i < len(c.subs); {
		sub := c.subs[i]
		if of != nil && sub.p.s != of {
			i++
			continue
		}
		o.leave(sub)
		o.laterLanded(sub, "Ignored")
	}
	o.load(c)
	return true
}

// close has nothing new go out to a replica that drains, is gone or has moved, once the time is over in which that is
// allowed. Guards against frames that still wait for a connection then. They wait on until then, since most come up in
// time: to take them back at once would cost each an attempt.
func (o *owner) close(r *replica) {
	grace := float64(o.plan.Duration("Safety.DrainGrace") / tenth)
	o.after(int64(graceShare*grace), func() {
		for _, l := range slices.Clone(r.lines) {
			if !r.closed && !l.shut {
				continue
			}
			for _, sub := range slices.Clone(l.subs) {
				if sub.call != nil {
					o.unsend(sub.call, nil)
				}
			}
		}
	})
}

// leave takes a sub-request off its call and connection.
func (o *owner) leave(sub *subRequest) {
	c := sub.call
	sub.call = nil
	o.unwake(&sub.wake)
	c.subs = slices.DeleteFunc(c.subs, func(x *subRequest) bool { return x == sub })
	if l := c.line; l != nil {
		if c.parcel != nil && c.parcel.stage.Load() != called {
			l.remember(sub)
		}
		l.subs = slices.DeleteFunc(l.subs, func(x *subRequest) bool { return x == sub })
		l.usedAt = o.now
		if len(c.subs) == 0 {
			l.calls--
			o.mayClose(l)
		}
	}
}

// remember keeps the latest ids that were on a connection.
func (l *line) remember(sub *subRequest) {
	if l.past == nil {
		l.past = map[string]uint64{}
	}
	if _, known := l.past[sub.name]; !known {
		if len(l.aged) < pastRoom {
			l.aged = append(l.aged, sub.name)
		} else {
			delete(l.past, l.aged[l.eldest])
			l.aged[l.eldest], l.eldest = sub.name, (l.eldest+1)%pastRoom
		}
	}
	l.past[sub.name] = sub.p.s.id
}

// landed tells the module how a sub-request ended.
func (o *owner) landed(sub *subRequest, outcome string, report map[string]float64) {
	sub.p.untold--
	sub.never = sub.never || outcome == "Ignored" || outcome == "ConnectError" || outcome == "QueueFull"
	o.module.RecordAttemptOutcome(sub.p.id, int(sub.leg), outcome, o.now-sub.sent, sub.p.over(), report)
	o.drop(sub.p)
}

// sendCalls puts the turn's calls on connections.
func (o *owner) sendCalls() {
	if len(o.order) > 0 {
		o.sentAt = o.now
	}
	for _, r := range o.order {
		for _, c := range r.calls {
			if len(c.subs) == 0 {
				continue
			}
			var l *line
			if !r.gone { // since it was chosen in this turn
				l = o.lineFor(r, c)
			}
			if l == nil {
				for _, sub := range slices.Clone(c.subs) {
					o.leave(sub)
					o.laterLanded(sub, starved.outcome(false, false, false))
				}
				continue
			}
			c.line = l
			l.calls++
			l.subs = append(l.subs, c.subs...)
			o.load(c)
		}
		clear(r.calls)
		r.calls = r.calls[:0]
		o.forget(r)
	}
	o.order = o.order[:0]
}

// load writes the frame of a call that has a connection. While that is not up the call waits for rise. Guards against a
// frame that was written as the connection was opened: it would tell the time that was left to the client then.
func (o *owner) load(c *call) {
	if c.line == nil {
		return
	}
	if c.line.up == 0 {
		c.parcel = &c.own
		c.parcel.stage.Store(queued) // it may have been taken back, and stands in no backlog
		return
	}
	fenced := o.zones != nil && o.zones.guard(c)
	if len(c.subs) == 0 {
		return
	}
	b := lend()
	*b = c.line.speaks.call(o, *b, c)
	p := &c.own
	if p.b != nil { // that one was taken back, and may still stand in the backlog
		p = &parcel{}
	}
	p.b, p.fenced, c.parcel = b, fenced, p
	if by := o.repeatBy(c.subs[0]); by > 0 {
		p.limited = true
		c.line.limits.Store(p, by)
	}
	c.line.usedAt = o.now
	c.line.put(c.parcel)
}

// lineFor finds a connection with room for a call, or opens one. With no descriptor left for it, an unused
// connection to another replica makes room, or one of this replica's takes the call, though it will wait
// there; nil where neither is. Guards against a lack of our own that is told as a replica's fault.
func (o *owner) lineFor(r *replica, c *call) *line {
	if since := o.firstSent(c.subs[0]); since > 0 {
		return r.standing(c, since)
	}
	var fullest *line
	doubted := 0
	for _, l := range r.lines {
		if l.shut || l.has(c) {
			continue
		}
		// Guards against one connection that has gone silent: it would swallow part after part of a replica that
		// is sound. The next call takes another; a replica that is silent on all is the module's to find.
		doubt := l.unheard(o.now) > o.doubtAfter() && doubted < doubtMost
		if doubt {
			doubted++
		}
		if !doubt && l.calls < l.speaks.streams(o) {
			return l
		}
		if fullest == nil || l.calls < fullest.calls {
			fullest = l
		}
	}
	if float64(o.lines) < replicaShare*float64(o.sockets) {
		return o.dial(r)
	}
	if !r.speaks.waits() {
		fullest = nil
	}
	o.log.often("no_descriptor", "no_descriptor", "side", "replicas", "open", o.lines)
	var spare *line
	for _, other := range o.fleet {
		for _, l := range other.lines {
			if !l.shut && l.calls == 0 && (spare == nil || l.usedAt < spare.usedAt) {
				spare = l
			}
		}
	}
	if spare != nil {
		spare.cut(displaced)
		return o.dial(r)
	}
	return fullest
}

// firstSent is when a keyed part first went out, of its repeat; 0 of any other sub-request, and where none before it can
// have run: that is no repeat. It is not kept in the call: eight bytes more there are 385 a search.
func (o *owner) firstSent(sub *subRequest) int64 {
	if sub.leg == 0 || !o.keyed[sub.p.s.qtype] {
		return 0
	}
	for _, before := range sub.p.subs[:sub.leg] {
		if !before.never {
			return before.sent
		}
	}
	return 0
}

// repeatBy is until when a keyed part's repeat may leave: the decision for it, and what this side holds it back, may lie on
// both sides of the end of its window. 0 for what is no repeat.
func (o *owner) repeatBy(sub *subRequest) int64 {
	since := o.firstSent(sub)
	if since == 0 {
		return 0
	}
	return since + max(1, o.windows[sub.p.s.qtype]-int64(windowPad/tenth))
}

// tooLate tells the module of a call whose time to leave was over before its connection's writer came to it: none of it
// was sent.
func (o *owner) tooLate(l *line, p *parcel) {
	for _, sub := range slices.Clone(l.subs) {
		if sub.call != nil && sub.call.parcel == p {
			o.leave(sub)
			o.laterLanded(sub, "Ignored")
		}
	}
}

// together tells whether a sub-request may be on one connection with those of a call.
func (o *owner) together(subs []*subRequest, sub *subRequest) bool {
	return len(subs) == 0 || o.firstSent(sub) == o.firstSent(subs[0])
}

// standing finds a connection that has stood since before a keyed part first went out; nil where there is none: the
// repeat is not sent then. Guards against a second effect: a replica that has started again has forgotten what it would
// drop, and only a connection that stood all the while shows that it has not. Harm: a replica that was not connected to
// gets no repeat, though it may well remember.
func (r *replica) standing(c *call, since int64) (best *line) {
	for _, l := range r.lines {
		if !l.shut && l.up > 0 && l.up <= since && !l.has(c) && (best == nil || l.calls < best.calls) {
			best = l
		}
	}
	return best
}

// unheard tells how long the oldest part has been out on the connection of those since which nothing was heard.
func (l *line) unheard(now int64) (age int64) {
	for _, sub := range l.subs {
		if l.heard < sub.sent {
			age = max(age, now-sub.sent)
		}
	}
	return age
}

// doubtAfter is how long a connection may say nothing under a part before the next call takes another.
func (o *owner) doubtAfter() int64 { return max(doubtLeast, int64(doubtTimes*o.usual)) }

// has tells whether one of a call's ids is out on the connection already, or was for another search.
// Guards against two searches that bear one name: the answer to one would be taken for the other's.
func (l *line) has(c *call) bool {
	return slices.ContainsFunc(c.subs, func(sub *subRequest) bool {
		id, known := l.past[sub.name]
		return known && id != sub.p.s.id || find(l.subs, sub.name) != nil
	})
}

func find(subs []*subRequest, name string) *subRequest {
	for _, sub := range subs {
		if sub.name == name {
			return sub
		}
	}
	return nil
}

// dial opens a connection; calls on it wait until it is up.
func (o *owner) dial(r *replica) *line {
	l := &line{link: newLink(o.ctx, replicaRoom), r: r, speaks: r.speaks, usedAt: o.now}
	l.log, l.clock = o.log, o.clock
	l.missed = func(p *parcel) { o.post(func() { o.tooLate(l, p) }) }
	r.lines = append(r.lines, l)
	o.lines++
	if o.zones != nil {
		l.fence = o.zones.lapsed
	}
	addr, wait := r.addr, o.plan.Duration("Permissions.DialTimeout")
	room := max(1, int64(besideShare*float64(o.sockets)))
	o.g.Go(func() error {
		end := notUp
		ctx, stop := context.WithTimeout(l.ctx, wait)
		conn, err := o.connect(ctx, addr, min(dialAgain, wait/dialParts), room)
		stop()
		if endingOf(err) == starved {
			end = starved
		}
		if err == nil {
			o.post(func() { o.rise(l) })
			end = l.serve(conn, wait, func(context.Context) error { return l.speaks.hear(o, l, conn) },
				func(*parcel) error { return nil })
		}
		o.post(func() { o.ended(l, end, addr) })
		return nil
	})
	o.idle(l)
	return l
}

// rise writes what has waited for a connection to be up.
func (o *owner) rise(l *line) {
	l.up = o.now
	for _, sub := range slices.Clone(l.subs) {
		if c := sub.call; c != nil && c.parcel.b == nil { // the first of a call's has written it
			o.load(c)
		}
	}
}

// connect opens a connection, and tries again beside what is not up each time that it has waited for so long, dialMost times
// in all. Guards against connections that come up late or never at a replica that is sound: what waits for one would be
// late with it. Harm: a replica that is silent is asked for three connections in place of one, and until the time to connect
// is over two more descriptors are used; of many that are silent, room is.
func (o *owner) connect(ctx context.Context, addr string, wait time.Duration, room int64) (net.Conn, error) {
	type ended struct {
		conn net.Conn
		err  error
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tries, out, beside := make(chan ended, dialMost), 0, 0
	defer func() { o.beside.Add(int64(-beside)) }()
	dial := func() {
		out++
		o.g.Go(func() error {
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
			if beside++; o.beside.Add(1) <= room {
				dial()
			}
			if beside < dialMost-1 {
				again = o.Clock.After(wait)
			}
		case t := <-tries:
			out--
			if t.err != nil && out > 0 {
				continue
			}
			if out > 0 {
				o.g.Go(func() error { // the others are called off; they may be up all the same
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

// looked passes a value to the check of its search, where that has one. Guards against a host that answers in good
// form and leaves out what was asked: its part would count as in.
func (o *owner) looked(part, value []byte) (any, error) {
	if o.checked.Load() == 0 {
		return nil, nil
	}
	id := string(part)
	id = strings.TrimSuffix(id, ".r")
	dot := strings.LastIndexByte(id, '.')
	check, ok := o.checks.Load(id[:max(0, dot)])
	if !ok {
		return nil, nil
	}
	n, err := strconv.Atoi(id[dot+1:])
	if err != nil {
		return nil, err
	}
	return check.(func(int, []byte) (any, error))(n, value)
}

// answer takes a replica's answer; one to a part that is no longer out is dropped. One to a part that never
// was out on this connection is spoilt, and another waits for its own in vain.
func (o *owner) answer(l *line, id []byte, outcome string, score []byte, report map[string]float64,
	value []byte, read any,
) {
	l.heard = o.now
	sub, waits := find(l.subs, string(id)), true
	if sub == nil {
		waits = false
		sub, outcome = o.answered(l, string(id), outcome)
	}
	if sub == nil {
		if _, known := l.past[string(id)]; !known {
			o.log.often("bad_frame", "bad_frame", "replica", l.r.id, "error", "answer to "+string(id))
			l.cut(garbled)
		}
		return
	}
	if waits && !o.takeBack(sub) { // guards against a repeat on this connection that goes out though the first was answered
		o.leave(sub)
	}
	o.usual += (float64(o.now-sub.sent) - o.usual) / usualCount
	o.hush(l, sub.sent)
	if p := sub.p; outcome == "Ok" && !p.over() {
		p.in, p.score, p.value, p.read = true, score, value, read
		o.hold(p.s, len(value))
	}
	o.landed(sub, outcome, report)
}

// hush ends connections that have long been silent under parts, once their replica has answered a later part on
// another: it is the connection that is lost, and its parts can go out again.
func (o *owner) hush(heard *line, sent int64) {
	for _, l := range heard.r.lines {
		age := l.unheard(o.now)
		if l != heard && !l.shut && o.now-age < sent && age > max(o.silence(), o.doubtAfter()) {
			l.cut(retired)
		}
	}
}

// silence is how long a connection may say nothing before it is taken for lost.
func (o *owner) silence() int64 {
	return silentDials * int64(o.plan.Duration("Permissions.DialTimeout")/tenth)
}

// ended tells what a connection's end means for the parts that were out on it.
func (o *owner) ended(l *line, end ending, addr string) {
	l.shut = true
	l.end(end)
	o.lines--
	l.r.lines = slices.DeleteFunc(l.r.lines, func(x *line) bool { return x == l })
	if len(l.subs) > 0 || end == notUp || end == slow || end == garbled || end == faulty {
		o.log.often("replica "+end.Error(), "replica_connection_ended", "replica", l.r.id, "addr", addr, "end", end,
			"parts", len(l.subs))
	}
	// All are taken off before the first is told. Guards against what the module does on hearing of one: it may
	// call off others that were on this connection, whose end has come too.
	var tell []func()
	certain := end.certain()
	first := true // of those that were written
	for _, sub := range slices.Clone(l.subs) {
		out := sub.call.parcel.stage.Load() == written
		outcome := end.outcome(out, first, l.heard > 0)
		first = first && !out
		o.leave(sub)
		if out && !certain && o.lingers(sub) {
			o.linger(l, sub, outcome)
			continue
		}
		tell = append(tell, func() { o.landed(sub, outcome, nil) })
	}
	for _, do := range tell {
		do()
	}
	for certain && len(l.lingering) > 0 {
		sub := l.lingering[0].sub
		o.laterLanded(sub, o.forgoes(l.lingering[0]))
	}
	o.forget(l.r)
}

// idle closes a connection that has been unused, before its replica would, and until then looks again.
func (o *owner) idle(l *line) {
	if l.shut {
		return
	}
	most := int64(idleShare * float64(o.plan.Duration("Permissions.ConnIdle")/tenth))
	if left := l.usedAt + most - o.now; left > 0 || l.calls > 0 || len(l.lingering) > 0 {
		o.after(max(left, most/4), func() { o.idle(l) })
		return
	}
	l.cut(unused)
}

// cut ends a connection at once; until that is told, it takes nothing new.
func (l *line) cut(e ending) {
	l.shut = true
	l.end(e)
}

// retire lets a connection end once nothing is out on it.
func (o *owner) retire(l *line) {
	l.shut = true
	o.mayClose(l)
}

func (o *owner) mayClose(l *line) {
	if l.shut && l.calls == 0 && len(l.lingering) == 0 {
		l.end(retired)
	}
}

// forget drops a replica that has left the list once it has no connection.
func (o *owner) forget(r *replica) {
	if r.gone && len(r.lines) == 0 && len(r.calls) == 0 && o.fleet[r.id] == r {
		delete(o.fleet, r.id)
	}
}

// place notes where a replica is; old connections to another address take nothing new.
func (o *owner) place(id, addr, kind string, since int64, gone, drains bool) {
	r := o.fleet[id]
	if r == nil {
		if gone {
			return
		}
		r = &replica{id: id, speaks: frames{}}
		o.fleet[id] = r
	}
	speaks := o.tongueOf(kind)
	moved := r.addr != addr || r.speaks != speaks
	for _, l := range slices.Clone(r.lines) {
		// One from before its replica's start leads to a life that is over. Guards against a machine that went without a word:
		// what is sent to it there is lost.
		if gone || moved || l.up > 0 && l.up < since {
			o.retire(l)
		}
	}
	if closed := gone || drains; closed && !r.closed || moved && len(r.lines) > 0 {
		o.close(r)
	}
	r.addr, r.gone, r.closed = addr, gone, gone || drains
	if !gone {
		r.speaks = speaks
	}
	o.forget(r)
}
