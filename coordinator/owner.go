package coordinator

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/big"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chalkring/coordinator/plan"

	"golang.org/x/sync/errgroup"

	"chalkring/balancer"
	"chalkring/control/residency"
	"chalkring/control/shadow"
)

// eventLoop owns the module. All but queue, asks, moves, log and ctx is touched by its goroutine alone; fronts, replicas'
// connections and discovery post closures to queue. It waits for nothing but that queue and its next wake,
// so they may wait for it. The queue is bounded by maxQueuedTasks; while it is full, sockets are not read.
type eventLoop struct {
	Options
	log            *asyncLogger
	plan           *plan.Plan
	balancer       balancer.Balancer
	group          *errgroup.Group
	ctx            context.Context
	tasks          chan func()
	pollRequests   chan struct{} // subscriptions that the module asked for
	discoveryMoves chan string   // where discovery is from now on

	blockCount, streamsPerConnection, attemptsPerBatch, maxAttempts int     // of the settings, read once
	keyedClasses                                                    []bool  // by type: replicas drop a repeat while they remember
	repeatWindows                                                   []int64 // by type: how long they do
	allowsSecondCopies                                              bool    // a part may be out twice at once
	followUpCounts                                                  []int   // parts of the second step, by type; 0 where there is none

	startedAt              time.Time
	startTicks             int64 // Unix time of start in tenths of a millisecond
	now                    int64
	timers                 timerQueue
	balancerTimers         map[uint64]*balancerTimer // the module's, by label
	spareTimers            []*balancerTimer          // that are free
	dueTimers              []*timer                  // room for a turn's
	pendingWrites          []pendingWrite            // room for what finish gives
	nextEvents             []iterationEvent          // what the next turn begins with
	spareEvents            []iterationEvent          // room for the one after it
	alarm                  <-chan time.Time          // that the owner waits for, at or before the next wake
	alarmAt                int64
	stallDetector          stallDetector
	caughtUpAt             int64                          // when it last was
	abandoned              map[*attempt]*abandonedAttempt // given up here, and the module not told
	lastID                 uint64
	searches               map[uint64]*search
	openNames              map[string]bool // of the searches
	shardRequests          map[uint64]*shardRequest
	replicas               map[string]*replica
	dispatchOrder          []*replica // with calls to go out at the end of the turn
	maxSockets             int        // descriptors that the plan grants
	replicaConnectionCount int        // connections to replicas
	lastDispatchAt         int64      // the last turn with calls
	averageLatency         float64    // tenths of a millisecond that an answer takes, of late
	hasEndpoints           bool
	clients                map[*messageConn]bool
	listenerClosed         bool // no new client connections come
	openFrontends          int  // others that have not finished

	busyNanos        atomic.Int64              // ns spent in turns
	extraDials       atomic.Int64              // further connects that are tried now, or held back
	answerDeadline   atomic.Pointer[time.Time] // for final answers, once the co-ordinator has been told to end; nil before
	closeAfterAnswer atomic.Bool               // each answer ends its connection, as maxStopTime is over
	peers            *peerExchange             // nil where peers are not allowed
	sources          *endpointSources          // nil where discovery is the only source of lists
	searchAPI        *SearchAPI                // nil where there is no other front
	shadowCounts     *shadow.DivergenceCounts  // nil where no other settings are watched
	enforcer         *residencyEnforcer        // nil where there are no contracts

	searchMemory float64      // bytes for open searches and their answers
	heldBytes    int64        // of it that searches hold
	unsentBytes  atomic.Int64 // and answers that clients have not taken

	valueDecoders sync.Map     // of open searches that have one, by name; connections' readers use it
	decoderCount  atomic.Int64 // how many there are
}

// search is one search from its request to its final answer. The front that took it makes it; reply is
// what it leaves for that answer.
type search struct {
	name, key     string
	text          []byte
	class, tenant int
	isRetry       bool
	arrivedAt     time.Time
	timeout       time.Duration // of the client, from came
	shards        []int
	weights       []float64
	reply         func(r searchOutcome)
	client        *clientConnection                          // who waits for it; nil on other fronts
	decodeValue   func(shard int, value []byte) (any, error) // what a value has to pass to be in; nil for none

	id                uint64
	deadline          int64
	step              int
	firstStepComplete bool
	firstStepShards   []int // shards that were in at the end of the first step
	shardRequests     []*shardRequest
	ended             bool
	heldBytes         int64          // that it holds
	pendingWrites     []pendingWrite // frames of sub-requests given up whose last byte was not out then

	restricted bool                           // its parts may not run everywhere
	refusal    *residency.SearchRejectedError // why some of them can run nowhere
}

// searchOutcome is a final answer.
type searchOutcome struct {
	outcome       int
	complete      bool
	retryAfter    int64
	dispatched    bool            // a sub-request was made for it
	parts         []*shardRequest // that are in, in the search's order
	pendingWrites []pendingWrite  // what has to be out before it is
	refusal       *residency.SearchRejectedError
}

const (
	outcomeAnswered = iota
	outcomeShed
	outcomeFailed
	outcomeDuplicateID      // never was a search: another that is open bears its name
	outcomeResidencyRefused // by a contract on where its parts may run
	outcomeClientGone       // told of an end alone: its client did not wait for the answer
)

// shardRequest is one shardRequest of a search's step.
type shardRequest struct {
	id         uint64
	search     *search
	step       int
	shard      int
	completed  bool
	score      []byte
	value      []byte
	decoded    any // what the search's check made of value
	attempts   []*attempt
	unreported int    // sub-requests whose outcome the module has not heard
	name       string // of its sub-requests on the wire

	firstAttempt   attempt // room for the first, and for subs to name it
	inlineAttempts [1]*attempt
}

// iterationEvent is what a turn begins with: something to do, or a sub-request that has ended.
type iterationEvent struct {
	task    func()
	attempt *attempt
	outcome string
}

// appendName adds its sub-requests' id on the wire.
func (p *shardRequest) appendName(dst []byte) []byte {
	dst = strconv.AppendInt(append(append(dst, p.search.name...), '.'), int64(p.shard), 10)
	if p.step == 2 {
		dst = append(dst, ".r"...)
	}
	return dst
}

// scoreValue is its score as a number.
func (p *shardRequest) scoreValue() *big.Int {
	n, _ := new(big.Int).SetString(string(p.score), 10)
	return n
}

// isSettled tells that the part needs no more.
func (p *shardRequest) isSettled() bool {
	return p.completed || p.search.ended || p.step != p.search.step
}

// timer is something to do at a time; place is where it stands among wakes, negative once it does not.
type timer struct {
	at       int64
	sequence uint64
	index    int
	handler  timerHandler
}

// timerHandler is what a wake leaves behind: a step that goes on then.
type timerHandler interface{ fire(o *eventLoop) }

type deferredTask func()

func (do deferredTask) fire(*eventLoop) { do() }

// balancerTimer is one that the module asked for.
type balancerTimer struct {
	timer
	label uint64
}

func (w *balancerTimer) fire(o *eventLoop) {
	label := w.label
	delete(o.balancerTimers, label)
	if len(o.spareTimers) < maxSpareTimers {
		o.spareTimers = append(o.spareTimers, w)
	}
	o.balancer.HandleTimer(label)
}

type timerQueue struct {
	timers   []*timer
	sequence uint64
}

func (w *timerQueue) Len() int { return len(w.timers) }
func (w *timerQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(w.timers[i].at, w.timers[j].at), cmp.Compare(w.timers[i].sequence, w.timers[j].sequence)) < 0
}

func (w *timerQueue) Swap(i, j int) {
	w.timers[i], w.timers[j] = w.timers[j], w.timers[i]
	w.timers[i].index, w.timers[j].index = i, j
}

func (w *timerQueue) Push(v any) {
	v.(*timer).index = len(w.timers)
	w.timers = append(w.timers, v.(*timer))
}

func (w *timerQueue) Pop() any {
	last := len(w.timers) - 1
	v := w.timers[last]
	w.timers[last] = nil
	w.timers = w.timers[:last]
	v.index = -1
	return v
}

// submit hands the owner something to do; false once the co-ordinator has ended.
func (o *eventLoop) submit(do func()) bool {
	select {
	case o.tasks <- do:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// clockTicks is Unix time in tenths of a millisecond, and monotonic: wall time counts at the start alone.
func (o *eventLoop) clockTicks() int64 {
	return o.startTicks + int64(o.Clock.Now().Sub(o.startedAt)/tick)
}

const tick = 100 * time.Microsecond

// startBalancer starts the module with its settings and the list as it was last known.
func (o *eventLoop) startBalancer() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the module: %v", r)
		}
	}()
	o.now = o.clockTicks()
	o.balancer.BeginIteration(o.now)
	o.balancer.Configure(o.plan.Seed, o.plan.Settings)
	known := o.plan.Known
	o.applyEndpointList("Persisted", known)
	o.notifyEndpointList(true, int64(known.Version), known.Hosts)
	if o.EndpointUpdates != nil {
		o.sources = newEndpointSources(o, o.EndpointUpdates, int64(known.Version), known.Hosts)
	}
	o.balancer.EndIteration()
	if o.shadowCounts != nil {
		o.logShadowCounts(0)
	}
	return nil
}

// run takes turns until all is answered after a stop. A fault of the module ends it with an error.
func (o *eventLoop) run() (err error) {
	defer func() {
		if r := recover(); r != nil {
			o.log.Error("fault", "error", fmt.Sprint(r), "stack", string(debug.Stack()))
			err = fmt.Errorf("fault in a turn: %v", r)
		}
	}()
	for {
		var wake <-chan time.Time
		switch {
		case len(o.nextEvents) > 0:
			o.iterate(nil)
			continue
		case o.timers.Len() > 0:
			at := o.timers.timers[0].at
			wait := at - o.clockTicks()
			if wait <= 0 {
				if first := o.timers.timers[0]; first == &o.stallDetector.timer && -wait < int64(stallThreshold/tick) {
					o.now = max(o.now, o.clockTicks())
					heap.Pop(&o.timers)
					o.stallDetector.fire(o) // alone it is no turn
				} else {
					o.iterate(nil)
				}
				continue
			}
			if o.alarm == nil || at < o.alarmAt { // one that comes early does no harm: most wakes are taken back
				o.alarm, o.alarmAt = o.Clock.After(time.Duration(wait)*tick), at
			}
			wake = o.alarm
		}
		if o.listenerClosed && len(o.clients) == 0 && len(o.searches) == 0 && o.openFrontends == 0 {
			return errAllAnswered
		}
		select {
		case do := <-o.tasks:
			o.iterate(do)
		case <-wake:
			o.alarm = nil
		case <-o.ctx.Done():
			return o.ctx.Err()
		}
	}
}

// iterate is one iterate of the module: all that is queued by now, the wakes that are due, EndIteration.
func (o *eventLoop) iterate(first func()) {
	late := o.catchUp()
	began := time.Now()
	defer func() { o.busyNanos.Add(int64(time.Since(began))) }()
	o.now = max(o.now, o.clockTicks())
	if o.now == o.lastDispatchAt { // what two turns send is two calls: the module tells them apart by time
		o.now++
	}
	o.balancer.BeginIteration(o.now)
	if o.enforcer != nil {
		o.enforcer.beginIteration()
	}
	if late {
		o.withdrawGoneClients()
	}
	before := o.nextEvents
	o.nextEvents, o.spareEvents = o.spareEvents[:0], nil
	for _, e := range before {
		if e.task != nil {
			e.task()
		} else {
			o.recordOutcome(e.attempt, e.outcome, nil)
		}
	}
	clear(before)
	o.spareEvents = before
	if first != nil {
		first()
	}
	for n := len(o.tasks); n > 0; n-- {
		(<-o.tasks)()
	}
	due := o.dueTimers[:0]
	for o.timers.Len() > 0 && o.timers.timers[0].at <= o.now {
		due = append(due, heap.Pop(&o.timers).(*timer))
	}
	for _, w := range due {
		if w.handler != nil { // one before it may have taken it back
			w.handler.fire(o)
		}
	}
	clear(due)
	o.dueTimers = due
	o.balancer.SetUtilization(float64(o.heldBytes+o.unsentBytes.Load()) / o.searchMemory)
	o.balancer.EndIteration()
	o.dispatchBatches()
}

// stallDetector is a wake that always is among the others while searches are open: how late it is found shows how long the process
// was held up.
type stallDetector struct{ timer }

func (p *stallDetector) fire(o *eventLoop) {
	if len(o.searches) > 0 {
		o.startTimer(&p.timer, int64(stallCheckInterval/tick), p)
	} else {
		p.handler = nil
	}
}

// armStallDetector has it come.
func (o *eventLoop) armStallDetector() {
	if o.stallDetector.handler == nil {
		o.startTimer(&o.stallDetector.timer, int64(stallCheckInterval/tick), &o.stallDetector)
	}
}

// catchUp lets sockets be read before a turn that begins long after a wake's time, until nothing more comes of it. Guards
// against a process that was held up: what its clients, its replicas and discovery did meanwhile still lies there while its
// wakes are due and slots come free: sub-requests would go out for clients that have left, to replicas that drain, and beside
// answers that have come.
func (o *eventLoop) catchUp() (late bool) {
	now := o.clockTicks()
	if o.timers.Len() == 0 || now-o.timers.timers[0].at < int64(stallThreshold/tick) || now-o.caughtUpAt < int64(catchUpInterval/tick) {
		return false
	}
	for had, looks := -1, 0; had != len(o.tasks) && looks < maxCatchUpWaits; looks++ {
		had = len(o.tasks)
		select {
		case <-o.Clock.After(catchUpWait):
		case <-o.ctx.Done():
		}
	}
	o.caughtUpAt = o.clockTicks()
	return true
}

// withdrawGoneClients withdraws the searches whose clients have left, though their readers have not said so yet.
func (o *eventLoop) withdrawGoneClients() {
	var gone []*search
	for _, s := range o.searches {
		if s.client != nil && s.client.hasHungUp() {
			gone = append(gone, s)
		}
	}
	slices.SortFunc(gone, func(s, u *search) int { return cmp.Compare(s.id, u.id) }) // the module's actions follow its calls
	for _, s := range gone {
		o.withdrawSearch(s)
	}
}

func (o *eventLoop) runAfter(wait int64, do func()) { o.startTimer(&timer{}, wait, deferredTask(do)) }

// startTimer has a wake come after a while; it is not among the wakes yet.
func (o *eventLoop) startTimer(w *timer, wait int64, do timerHandler) {
	o.timers.sequence++
	w.at, w.sequence, w.handler = o.now+max(wait, 0), o.timers.sequence, do
	heap.Push(&o.timers, w)
}

// stopTimer takes a wake back, so that it holds nothing for the rest of its wait; one that has come or never was awaited
// stays as it is.
func (o *eventLoop) stopTimer(w *timer) {
	if w.handler == nil {
		return
	}
	if w.handler = nil; w.index >= 0 {
		heap.Remove(&o.timers, w.index)
	}
}

func (o *eventLoop) runNextIteration(do func()) {
	o.nextEvents = append(o.nextEvents, iterationEvent{task: do})
}

// deferAttemptOutcome tells the module in the next turn how a sub-request ended.
func (o *eventLoop) deferAttemptOutcome(sub *attempt, outcome string) {
	o.nextEvents = append(o.nextEvents, iterationEvent{attempt: sub, outcome: outcome})
}

func (o *eventLoop) nextID() uint64 {
	o.lastID++
	return o.lastID
}

// startSearch hands a search to the module. What is held is bounded by the clients' connections: one search each.
func (o *eventLoop) startSearch(s *search) {
	if o.openNames[s.name] { // guards against two whose parts no replica can tell apart
		s.ended = true
		s.reply(searchOutcome{outcome: outcomeDuplicateID})
		return
	}
	o.openNames[s.name] = true
	if s.decodeValue != nil {
		o.valueDecoders.Store(s.name, s.decodeValue)
		o.decoderCount.Add(1)
	}
	s.deadline = o.now + int64((s.timeout-o.Clock.Now().Sub(s.arrivedAt))/tick)
	s.id, s.step = o.nextID(), 1
	o.searches[s.id] = s
	o.armStallDetector()
	o.holdBytes(s, searchOverheadBytes+len(s.text)+shardRequestOverheadBytes*len(s.shards))
	o.balancer.AddSearch(s.id, s.class, s.tenant, s.key, s.deadline-o.now, s.id, len(s.shards), s.isRetry)
	o.addShardRequests(s, s.shards, s.weights)
}

func (o *eventLoop) addShardRequests(s *search, shards []int, weights []float64) {
	from, all := len(s.shardRequests), make([]shardRequest, len(shards))
	s.shardRequests = slices.Grow(s.shardRequests, len(shards))
	names := make([]byte, 0, len(shards)*(len(s.name)+attemptNameExtra)) // in one piece
	for i, shard := range shards {
		p := &all[i]
		p.id, p.search, p.step, p.shard = o.nextID(), s, s.step, shard
		s.shardRequests = append(s.shardRequests, p)
		o.shardRequests[p.id] = p
		names = p.appendName(names)
	}
	text, own := string(names), [maxRequestIDBytes + attemptNameExtra]byte{}
	for _, p := range s.shardRequests[from:] {
		n := len(p.appendName(own[:0]))
		p.name, text = text[:n], text[n:]
	}
	for i, p := range s.shardRequests[from:] {
		o.balancer.AddShardRequest(p.id, s.id, p.shard, weights[i])
	}
	if o.enforcer != nil {
		o.enforcer.restrict(s)
	}
}

// withdrawSearch tells the module that the client has left; what it gives has to be out before anything is said to it.
func (o *eventLoop) withdrawSearch(s *search) (first []pendingWrite) {
	if s.ended {
		return nil
	}
	o.notifySearchEnd(s, outcomeClientGone)
	first = o.finishSearch(s)
	o.balancer.CancelSearch(s.id)
	return first
}

// SearchEnd is how a search ended, for those that keep sums beside the owner.
type SearchEnd struct {
	Type, Outcome int           // its class; Answered, Shed, Errored, Barred or Left
	Duration      time.Duration // since it came
	Attempts      int           // sub-requests made for it
}

func (o *eventLoop) notifySearchEnd(s *search, kind int) {
	if o.OnSearchEnd == nil {
		return
	}
	e := SearchEnd{Type: s.class, Outcome: kind, Duration: o.Clock.Now().Sub(s.arrivedAt)}
	for _, p := range s.shardRequests {
		e.Attempts += len(p.attempts)
	}
	o.OnSearchEnd(e)
}

// holdBytes counts what a search holds, against memory that follows what answers happen to be long. The module turns
// searches away when there is no room: guards against an end by the kernel.
func (o *eventLoop) holdBytes(s *search, n int) {
	s.heldBytes += int64(n)
	o.heldBytes += int64(n)
}

// finishSearch forgets a search and gives what has to be out before its final answer is, until the next one is finished.
func (o *eventLoop) finishSearch(s *search) (first []pendingWrite) {
	first = o.pendingWrites[:0]
	defer func() { o.pendingWrites = first }()
	o.holdBytes(s, -int(s.heldBytes))
	s.ended = true
	delete(o.searches, s.id)
	delete(o.openNames, s.name)
	if s.decodeValue != nil {
		o.valueDecoders.Delete(s.name)
		o.decoderCount.Add(-1)
	}
	for _, b := range s.pendingWrites {
		if !b.isWritten() {
			first = append(first, b)
		}
	}
	for _, p := range s.shardRequests {
		for _, sub := range p.attempts {
			if g := o.abandoned[sub]; g != nil {
				o.deferAttemptOutcome(sub, o.forgetAbandoned(g))
			}
			if sub.batch == nil {
				continue
			}
			// Nothing is sent after the final answer: what is begun has to be out before that is.
			if c := sub.batch; !o.recallBatch(c, s) {
				if b := (pendingWrite{c.connection.messageConn, c.message}); !b.isWritten() {
					first = append(first, b)
				}
			}
		}
		o.dropShardRequest(p)
	}
	s.shardRequests, s.text, s.shards, s.weights, s.pendingWrites = nil, nil, nil, nil, nil // a connection keeps its last search while unused
	return first
}

// dropShardRequest forgets a part once its search is over and all its sub-requests are told: until then the module may
// cancel them.
func (o *eventLoop) dropShardRequest(p *shardRequest) {
	if p.search.ended && p.unreported == 0 {
		delete(o.shardRequests, p.id)
	}
}

func (o *eventLoop) completedParts(s *search) []*shardRequest {
	in := make([]*shardRequest, 0, len(s.shardRequests))
	for _, p := range s.shardRequests {
		if p.completed && p.step == s.step {
			in = append(in, p)
		}
	}
	return in
}

// What the module asks for; see balancer.Actions.

func (o *eventLoop) AnswerSearch(id uint64, whole bool) {
	s := o.searches[id]
	if s == nil {
		return
	}
	in := o.completedParts(s)
	if more := o.followUpCount(s.class); s.step == 1 && more > 0 {
		s.firstStepComplete = whole
		for _, p := range in {
			s.firstStepShards = append(s.firstStepShards, p.shard)
		}
		slices.Sort(s.firstStepShards)
		o.runNextIteration(func() { o.startSecondStep(s, in, more) })
		return
	}
	o.notifySearchEnd(s, outcomeAnswered)
	first := o.finishSearch(s)
	s.reply(searchOutcome{outcome: outcomeAnswered, complete: whole, parts: in, pendingWrites: first})
}

func (o *eventLoop) followUpCount(qtype int) int { return o.followUpCounts[qtype] }

// startSecondStep makes the parts of the second step: at the shards with the highest scores, the lower number
// first among equals, with equal weights.
func (o *eventLoop) startSecondStep(s *search, in []*shardRequest, most int) {
	if s.ended {
		return
	}
	slices.SortFunc(in, func(p, q *shardRequest) int {
		return cmp.Or(q.scoreValue().Cmp(p.scoreValue()), cmp.Compare(p.shard, q.shard))
	})
	s.step = 2
	var shards []int
	var weights []float64
	for _, p := range in[:min(most, len(in))] {
		shards = append(shards, p.shard)
		weights = append(weights, 1/float64(min(most, len(in))))
	}
	o.addShardRequests(s, shards, weights)
}

func (o *eventLoop) ShedSearch(id uint64, retryIn int64) {
	o.endSearch(id, searchOutcome{outcome: outcomeShed, retryAfter: retryIn})
}
func (o *eventLoop) FailSearch(id uint64) { o.endSearch(id, searchOutcome{outcome: outcomeFailed}) }

func (o *eventLoop) endSearch(id uint64, r searchOutcome) {
	if s := o.searches[id]; s != nil {
		if r.refusal = o.enforcer.refusalOf(s); r.refusal != nil {
			r.outcome, r.retryAfter = outcomeResidencyRefused, 0
		}
		r.dispatched = slices.ContainsFunc(s.shardRequests, func(p *shardRequest) bool { return len(p.attempts) > 0 })
		o.notifySearchEnd(s, r.outcome)
		r.pendingWrites = o.finishSearch(s)
		s.reply(r)
	}
}

func (o *eventLoop) SetTimer(wait int64, label uint64) {
	var w *balancerTimer
	if n := len(o.spareTimers); n > 0 {
		w, o.spareTimers = o.spareTimers[n-1], o.spareTimers[:n-1]
	} else {
		w = &balancerTimer{}
	}
	w.label = label
	o.balancerTimers[label] = w
	o.startTimer(&w.timer, max(wait, 1), w)
}

func (o *eventLoop) CancelTimer(label uint64) {
	w := o.balancerTimers[label]
	if w == nil {
		return
	}
	delete(o.balancerTimers, label)
	if w.index >= 0 && len(o.spareTimers) < maxSpareTimers { // one that is due in this turn is still looked at
		o.spareTimers = append(o.spareTimers, w)
	}
	o.stopTimer(&w.timer)
}

func (o *eventLoop) WatchEndpoints() {
	select {
	case o.pollRequests <- struct{}{}:
	default: // asked already
	}
}

// ProbeReplica is answered at once with nothing: the protocol has no message for it.
func (o *eventLoop) ProbeReplica(id string) {
	o.runNextIteration(func() { o.balancer.RecordProbeResult(id, "ConnectError", 0, nil) })
}

func (o *eventLoop) LogMessage(text string) {
	o.log.Info("note", "text", strings.ToValidUTF8(text, "?"))
}
