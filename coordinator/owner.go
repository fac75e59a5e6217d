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

func (w *balancerTimer) fire(loop *eventLoop) {
	label := w.label
	delete(loop.balancerTimers, label)
	if len(loop.spareTimers) < maxSpareTimers {
		loop.spareTimers = append(loop.spareTimers, w)
	}
	loop.balancer.HandleTimer(label)
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
func (loop *eventLoop) submit(do func()) bool {
	select {
	case loop.tasks <- do:
		return true
	case <-loop.ctx.Done():
		return false
	}
}

// clockTicks is Unix time in tenths of a millisecond, and monotonic: wall time counts at the start alone.
func (loop *eventLoop) clockTicks() int64 {
	return loop.startTicks + int64(loop.Clock.Now().Sub(loop.startedAt)/tick)
}

const tick = 100 * time.Microsecond

// startBalancer starts the module with its settings and the list as it was last known.
func (loop *eventLoop) startBalancer() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the module: %v", r)
		}
	}()
	loop.now = loop.clockTicks()
	loop.balancer.BeginIteration(loop.now)
	loop.balancer.Configure(loop.plan.Seed, loop.plan.Settings)
	known := loop.plan.Known
	loop.applyEndpointList("Persisted", known)
	loop.notifyEndpointList(true, int64(known.Version), known.Hosts)
	if loop.EndpointUpdates != nil {
		loop.sources = newEndpointSources(loop, loop.EndpointUpdates, int64(known.Version), known.Hosts)
	}
	loop.balancer.EndIteration()
	if loop.shadowCounts != nil {
		loop.logShadowCounts(0)
	}
	return nil
}

// run takes turns until all is answered after a stop. A fault of the module ends it with an error.
func (loop *eventLoop) run() (err error) {
	defer func() {
		if r := recover(); r != nil {
			loop.log.Error("fault", "error", fmt.Sprint(r), "stack", string(debug.Stack()))
			err = fmt.Errorf("fault in a turn: %v", r)
		}
	}()
	for {
		var wake <-chan time.Time
		switch {
		case len(loop.nextEvents) > 0:
			loop.iterate(nil)
			continue
		case loop.timers.Len() > 0:
			at := loop.timers.timers[0].at
			wait := at - loop.clockTicks()
			if wait <= 0 {
				if first := loop.timers.timers[0]; first == &loop.stallDetector.timer && -wait < int64(stallThreshold/tick) {
					loop.now = max(loop.now, loop.clockTicks())
					heap.Pop(&loop.timers)
					loop.stallDetector.fire(loop) // alone it is no turn
				} else {
					loop.iterate(nil)
				}
				continue
			}
			if loop.alarm == nil || at < loop.alarmAt { // one that comes early does no harm: most wakes are taken back
				loop.alarm, loop.alarmAt = loop.Clock.After(time.Duration(wait)*tick), at
			}
			wake = loop.alarm
		}
		if loop.listenerClosed && len(loop.clients) == 0 && len(loop.searches) == 0 && loop.openFrontends == 0 {
			return errAllAnswered
		}
		select {
		case do := <-loop.tasks:
			loop.iterate(do)
		case <-wake:
			loop.alarm = nil
		case <-loop.ctx.Done():
			return loop.ctx.Err()
		}
	}
}

// iterate is one iterate of the module: all that is queued by now, the wakes that are due, EndIteration.
func (loop *eventLoop) iterate(first func()) {
	late := loop.catchUp()
	began := time.Now()
	defer func() { loop.busyNanos.Add(int64(time.Since(began))) }()
	loop.now = max(loop.now, loop.clockTicks())
	if loop.now == loop.lastDispatchAt { // what two turns send is two calls: the module tells them apart by time
		loop.now++
	}
	loop.balancer.BeginIteration(loop.now)
	if loop.enforcer != nil {
		loop.enforcer.beginIteration()
	}
	if late {
		loop.withdrawGoneClients()
	}
	before := loop.nextEvents
	loop.nextEvents, loop.spareEvents = loop.spareEvents[:0], nil
	for _, e := range before {
		if e.task != nil {
			e.task()
		} else {
			loop.recordOutcome(e.attempt, e.outcome, nil)
		}
	}
	clear(before)
	loop.spareEvents = before
	if first != nil {
		first()
	}
	for n := len(loop.tasks); n > 0; n-- {
		(<-loop.tasks)()
	}
	due := loop.dueTimers[:0]
	for loop.timers.Len() > 0 && loop.timers.timers[0].at <= loop.now {
		due = append(due, heap.Pop(&loop.timers).(*timer))
	}
	for _, w := range due {
		if w.handler != nil { // one before it may have taken it back
			w.handler.fire(loop)
		}
	}
	clear(due)
	loop.dueTimers = due
	loop.balancer.SetUtilization(float64(loop.heldBytes+loop.unsentBytes.Load()) / loop.searchMemory)
	loop.balancer.EndIteration()
	loop.dispatchBatches()
}

// stallDetector is a wake that always is among the others while searches are open: how late it is found shows how long the process
// was held up.
type stallDetector struct{ timer }

func (p *stallDetector) fire(loop *eventLoop) {
	if len(loop.searches) > 0 {
		loop.startTimer(&p.timer, int64(stallCheckInterval/tick), p)
	} else {
		p.handler = nil
	}
}

// armStallDetector has it come.
func (loop *eventLoop) armStallDetector() {
	if loop.stallDetector.handler == nil {
		loop.startTimer(&loop.stallDetector.timer, int64(stallCheckInterval/tick), &loop.stallDetector)
	}
}

// catchUp lets sockets be read before a turn that begins long after a wake's time, until nothing more comes of it. Guards
// against a process that was held up: what its clients, its replicas and discovery did meanwhile still lies there while its
// wakes are due and slots come free: sub-requests would go out for clients that have left, to replicas that drain, and beside
// answers that have come.
func (loop *eventLoop) catchUp() (late bool) {
	now := loop.clockTicks()
	if loop.timers.Len() == 0 || now-loop.timers.timers[0].at < int64(stallThreshold/tick) || now-loop.caughtUpAt < int64(catchUpInterval/tick) {
		return false
	}
	for had, looks := -1, 0; had != len(loop.tasks) && looks < maxCatchUpWaits; looks++ {
		had = len(loop.tasks)
		select {
		case <-loop.Clock.After(catchUpWait):
		case <-loop.ctx.Done():
		}
	}
	loop.caughtUpAt = loop.clockTicks()
	return true
}

// withdrawGoneClients withdraws the searches whose clients have left, though their readers have not said so yet.
func (loop *eventLoop) withdrawGoneClients() {
	var gone []*search
	for _, s := range loop.searches {
		if s.client != nil && s.client.hasHungUp() {
			gone = append(gone, s)
		}
	}
	slices.SortFunc(gone, func(s, u *search) int { return cmp.Compare(s.id, u.id) }) // the module's actions follow its calls
	for _, s := range gone {
		loop.withdrawSearch(s)
	}
}

func (loop *eventLoop) runAfter(wait int64, do func()) {
	loop.startTimer(&timer{}, wait, deferredTask(do))
}

// startTimer has a wake come after a while; it is not among the wakes yet.
func (loop *eventLoop) startTimer(timer *timer, wait int64, do timerHandler) {
	loop.timers.sequence++
	timer.at, timer.sequence, timer.handler = loop.now+max(wait, 0), loop.timers.sequence, do
	heap.Push(&loop.timers, timer)
}

// stopTimer takes a wake back, so that it holds nothing for the rest of its wait; one that has come or never was awaited
// stays as it is.
func (loop *eventLoop) stopTimer(timer *timer) {
	if timer.handler == nil {
		return
	}
	if timer.handler = nil; timer.index >= 0 {
		heap.Remove(&loop.timers, timer.index)
	}
}

func (loop *eventLoop) runNextIteration(do func()) {
	loop.nextEvents = append(loop.nextEvents, iterationEvent{task: do})
}

// deferAttemptOutcome tells the module in the next turn how a sub-request ended.
func (loop *eventLoop) deferAttemptOutcome(attempt *attempt, outcome string) {
	loop.nextEvents = append(loop.nextEvents, iterationEvent{attempt: attempt, outcome: outcome})
}

func (loop *eventLoop) nextID() uint64 {
	loop.lastID++
	return loop.lastID
}

// startSearch hands a search to the module. What is held is bounded by the clients' connections: one search each.
func (loop *eventLoop) startSearch(search *search) {
	if loop.openNames[search.name] { // guards against two whose parts no replica can tell apart
		search.ended = true
		search.reply(searchOutcome{outcome: outcomeDuplicateID})
		return
	}
	loop.openNames[search.name] = true
	if search.decodeValue != nil {
		loop.valueDecoders.Store(search.name, search.decodeValue)
		loop.decoderCount.Add(1)
	}
	search.deadline = loop.now + int64((search.timeout-loop.Clock.Now().Sub(search.arrivedAt))/tick)
	search.id, search.step = loop.nextID(), 1
	loop.searches[search.id] = search
	loop.armStallDetector()
	loop.holdBytes(search, searchOverheadBytes+len(search.text)+shardRequestOverheadBytes*len(search.shards))
	loop.balancer.AddSearch(search.id, search.class, search.tenant, search.key, search.deadline-loop.now, search.id, len(search.shards), search.isRetry)
	loop.addShardRequests(search, search.shards, search.weights)
}

func (loop *eventLoop) addShardRequests(search *search, shards []int, weights []float64) {
	from, all := len(search.shardRequests), make([]shardRequest, len(shards))
	search.shardRequests = slices.Grow(search.shardRequests, len(shards))
	names := make([]byte, 0, len(shards)*(len(search.name)+attemptNameExtra)) // in one piece
	for i, shard := range shards {
		request := &all[i]
		request.id, request.search, request.step, request.shard = loop.nextID(), search, search.step, shard
		search.shardRequests = append(search.shardRequests, request)
		loop.shardRequests[request.id] = request
		names = request.appendName(names)
	}
	text, own := string(names), [maxRequestIDBytes + attemptNameExtra]byte{}
	for _, request := range search.shardRequests[from:] {
		n := len(request.appendName(own[:0]))
		request.name, text = text[:n], text[n:]
	}
	for i, request := range search.shardRequests[from:] {
		loop.balancer.AddShardRequest(request.id, search.id, request.shard, weights[i])
	}
	if loop.enforcer != nil {
		loop.enforcer.restrict(search)
	}
}

// withdrawSearch tells the module that the client has left; what it gives has to be out before anything is said to it.
func (loop *eventLoop) withdrawSearch(search *search) (first []pendingWrite) {
	if search.ended {
		return nil
	}
	loop.notifySearchEnd(search, outcomeClientGone)
	first = loop.finishSearch(search)
	loop.balancer.CancelSearch(search.id)
	return first
}

// SearchEnd is how a search ended, for those that keep sums beside the owner.
type SearchEnd struct {
	Type, Outcome int           // its class; Answered, Shed, Errored, Barred or Left
	Duration      time.Duration // since it came
	Attempts      int           // sub-requests made for it
}

func (loop *eventLoop) notifySearchEnd(search *search, kind int) {
	if loop.OnSearchEnd == nil {
		return
	}
	e := SearchEnd{Type: search.class, Outcome: kind, Duration: loop.Clock.Now().Sub(search.arrivedAt)}
	for _, request := range search.shardRequests {
		e.Attempts += len(request.attempts)
	}
	loop.OnSearchEnd(e)
}

// holdBytes counts what a search holds, against memory that follows what answers happen to be long. The module turns
// searches away when there is no room: guards against an end by the kernel.
func (loop *eventLoop) holdBytes(search *search, n int) {
	search.heldBytes += int64(n)
	loop.heldBytes += int64(n)
}

// finishSearch forgets a search and gives what has to be out before its final answer is, until the next one is finished.
func (loop *eventLoop) finishSearch(search *search) (first []pendingWrite) {
	first = loop.pendingWrites[:0]
	defer func() { loop.pendingWrites = first }()
	loop.holdBytes(search, -int(search.heldBytes))
	search.ended = true
	delete(loop.searches, search.id)
	delete(loop.openNames, search.name)
	if search.decodeValue != nil {
		loop.valueDecoders.Delete(search.name)
		loop.decoderCount.Add(-1)
	}
	for _, write := range search.pendingWrites {
		if !write.isWritten() {
			first = append(first, write)
		}
	}
	for _, request := range search.shardRequests {
		for _, attempt := range request.attempts {
			if abandoned := loop.abandoned[attempt]; abandoned != nil {
				loop.deferAttemptOutcome(attempt, loop.forgetAbandoned(abandoned))
			}
			if attempt.batch == nil {
				continue
			}
			// Nothing is sent after the final answer: what is begun has to be out before that is.
			if batch := attempt.batch; !loop.recallBatch(batch, search) {
				if write := (pendingWrite{batch.connection.messageConn, batch.message}); !write.isWritten() {
					first = append(first, write)
				}
			}
		}
		loop.dropShardRequest(request)
	}
	search.shardRequests, search.text, search.shards, search.weights, search.pendingWrites = nil, nil, nil, nil, nil // a connection keeps its last search while unused
	return first
}

// dropShardRequest forgets a part once its search is over and all its sub-requests are told: until then the module may
// cancel them.
func (loop *eventLoop) dropShardRequest(request *shardRequest) {
	if request.search.ended && request.unreported == 0 {
		delete(loop.shardRequests, request.id)
	}
}

func (loop *eventLoop) completedParts(search *search) []*shardRequest {
	in := make([]*shardRequest, 0, len(search.shardRequests))
	for _, request := range search.shardRequests {
		if request.completed && request.step == search.step {
			in = append(in, request)
		}
	}
	return in
}

// What the module asks for; see balancer.Actions.

func (loop *eventLoop) AnswerSearch(id uint64, whole bool) {
	search := loop.searches[id]
	if search == nil {
		return
	}
	in := loop.completedParts(search)
	if more := loop.followUpCount(search.class); search.step == 1 && more > 0 {
		search.firstStepComplete = whole
		for _, request := range in {
			search.firstStepShards = append(search.firstStepShards, request.shard)
		}
		slices.Sort(search.firstStepShards)
		loop.runNextIteration(func() { loop.startSecondStep(search, in, more) })
		return
	}
	loop.notifySearchEnd(search, outcomeAnswered)
	first := loop.finishSearch(search)
	search.reply(searchOutcome{outcome: outcomeAnswered, complete: whole, parts: in, pendingWrites: first})
}

func (loop *eventLoop) followUpCount(qtype int) int { return loop.followUpCounts[qtype] }

// startSecondStep makes the parts of the second step: at the shards with the highest scores, the lower number
// first among equals, with equal weights.
func (loop *eventLoop) startSecondStep(search *search, in []*shardRequest, most int) {
	if search.ended {
		return
	}
	slices.SortFunc(in, func(request, q *shardRequest) int {
		return cmp.Or(q.scoreValue().Cmp(request.scoreValue()), cmp.Compare(request.shard, q.shard))
	})
	search.step = 2
	var shards []int
	var weights []float64
	for _, request := range in[:min(most, len(in))] {
		shards = append(shards, request.shard)
		weights = append(weights, 1/float64(min(most, len(in))))
	}
	loop.addShardRequests(search, shards, weights)
}

func (loop *eventLoop) ShedSearch(id uint64, retryIn int64) {
	loop.endSearch(id, searchOutcome{outcome: outcomeShed, retryAfter: retryIn})
}

func (loop *eventLoop) FailSearch(id uint64) {
	loop.endSearch(id, searchOutcome{outcome: outcomeFailed})
}

func (loop *eventLoop) endSearch(id uint64, outcome searchOutcome) {
	if search := loop.searches[id]; search != nil {
		if outcome.refusal = loop.enforcer.refusalOf(search); outcome.refusal != nil {
			outcome.outcome, outcome.retryAfter = outcomeResidencyRefused, 0
		}
		outcome.dispatched = slices.ContainsFunc(search.shardRequests, func(request *shardRequest) bool { return len(request.attempts) > 0 })
		loop.notifySearchEnd(search, outcome.outcome)
		outcome.pendingWrites = loop.finishSearch(search)
		search.reply(outcome)
	}
}

func (loop *eventLoop) SetTimer(wait int64, label uint64) {
	var w *balancerTimer
	if n := len(loop.spareTimers); n > 0 {
		w, loop.spareTimers = loop.spareTimers[n-1], loop.spareTimers[:n-1]
	} else {
		w = &balancerTimer{}
	}
	w.label = label
	loop.balancerTimers[label] = w
	loop.startTimer(&w.timer, max(wait, 1), w)
}

func (loop *eventLoop) CancelTimer(label uint64) {
	w := loop.balancerTimers[label]
	if w == nil {
		return
	}
	delete(loop.balancerTimers, label)
	if w.index >= 0 && len(loop.spareTimers) < maxSpareTimers { // one that is due in this turn is still looked at
		loop.spareTimers = append(loop.spareTimers, w)
	}
	loop.stopTimer(&w.timer)
}

func (loop *eventLoop) WatchEndpoints() {
	select {
	case loop.pollRequests <- struct{}{}:
	default: // asked already
	}
}

// ProbeReplica is answered at once with nothing: the protocol has no message for it.
func (loop *eventLoop) ProbeReplica(id string) {
	loop.runNextIteration(func() { loop.balancer.RecordProbeResult(id, "ConnectError", 0, nil) })
}

func (loop *eventLoop) LogMessage(text string) {
	loop.log.Info("note", "text", strings.ToValidUTF8(text, "?"))
}
