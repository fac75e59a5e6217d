package coordinator

import (
	"container/heap"
	"context"
	"fmt"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chalkring/balancer"
	"chalkring/control/shadow"
	"chalkring/coordinator/plan"
)

const (
	maxQueuedTasks  = 1024                   // tasks that wait for the event loop: several for each descriptor of a usual limit
	catchUpWait     = 5 * time.Millisecond   // for sockets to be read before an iteration after a stall: decoding a long list takes several milliseconds
	maxCatchUpWaits = 10                     // such waits in a row: what keeps coming after them is no backlog
	catchUpInterval = 250 * time.Millisecond // between two catch-ups: an overloaded process is not delayed further by them
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

// iterationEvent is what a turn begins with: something to do, or a sub-request that has ended.
type iterationEvent struct {
	task    func()
	attempt *attempt
	outcome string
}

const tick = 100 * time.Microsecond

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
