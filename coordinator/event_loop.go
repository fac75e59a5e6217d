package coordinator

import (
	"container/heap"
	"context"
	"fmt"
	"runtime/debug"
	"strings"
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

// eventLoop owns the balancer and all state of searches, replicas and clients. Only its own goroutine touches its fields,
// but for tasks, log, ctx, the discovery requests and what is atomic. Client connections, replica connections and discovery
// submit tasks to it. It waits for tasks and for its next timer alone, so they may wait for it. At most maxQueuedTasks
// tasks wait; while there are so many, sockets are not read.
type eventLoop struct {
	Options
	log      *asyncLogger
	plan     *plan.Plan
	balancer balancer.Balancer
	group    *errgroup.Group // of all goroutines of the coordinator
	ctx      context.Context
	tasks    chan func()

	startedAt  time.Time
	startTicks int64 // Unix time of the start, in ticks
	now        int64 // ticks, of this iteration

	rules       dispatchRules
	events      eventBuffer
	timers      timerSet
	searches    searchTable
	replicas    replicaTable
	descriptors descriptorBudget
	clients     clientTable
	decoders    valueDecoders
	discovery   discoveryRequests
	stop        stopState

	hasEndpoints bool         // a list with hosts has been in force
	busyNanos    atomic.Int64 // spent in iterations

	peers        *peerExchange            // nil where peers are not allowed
	sources      *endpointSources         // nil where discovery is the only source of lists
	searchAPI    *SearchAPI               // nil where there is no other frontend
	shadowCounts *shadow.DivergenceCounts // nil without shadow settings
	enforcer     *residencyEnforcer       // nil without residency contracts
}

// eventBuffer holds what the next iteration begins with.
type eventBuffer struct {
	next  []iterationEvent
	spare []iterationEvent // empty; its array is reused for the iteration after that
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
		case len(loop.events.next) > 0:
			loop.iterate(nil)
			continue
		case loop.timers.queue.Len() > 0:
			at := loop.timers.queue.timers[0].at
			wait := at - loop.clockTicks()
			if wait <= 0 {
				if first := loop.timers.queue.timers[0]; first == &loop.timers.stall.timer && -wait < int64(stallThreshold/tick) {
					loop.now = max(loop.now, loop.clockTicks())
					heap.Pop(&loop.timers.queue)
					loop.timers.stall.fire(loop) // alone it needs no iteration
				} else {
					loop.iterate(nil)
				}
				continue
			}
			if loop.timers.alarm == nil || at < loop.timers.alarmAt { // an early alarm does no harm: most timers are stopped
				loop.timers.alarm, loop.timers.alarmAt = loop.Clock.After(time.Duration(wait)*tick), at
			}
			wake = loop.timers.alarm
		}
		if loop.clients.listenerClosed && len(loop.clients.connections) == 0 && len(loop.searches.byID) == 0 && loop.clients.openFrontends == 0 {
			return errAllAnswered
		}
		select {
		case do := <-loop.tasks:
			loop.iterate(do)
		case <-wake:
			loop.timers.alarm = nil
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
	if loop.now == loop.replicas.lastDispatchAt { // the balancer distinguishes the batches of two iterations by time
		loop.now++
	}
	loop.balancer.BeginIteration(loop.now)
	if loop.enforcer != nil {
		loop.enforcer.beginIteration()
	}
	if late {
		loop.withdrawGoneClients()
	}
	before := loop.events.next
	loop.events.next, loop.events.spare = loop.events.spare[:0], nil
	for _, e := range before {
		if e.task != nil {
			e.task()
		} else {
			loop.recordOutcome(e.attempt, e.outcome, nil)
		}
	}
	clear(before)
	loop.events.spare = before
	if first != nil {
		first()
	}
	for n := len(loop.tasks); n > 0; n-- {
		(<-loop.tasks)()
	}
	due := loop.timers.due[:0]
	for loop.timers.queue.Len() > 0 && loop.timers.queue.timers[0].at <= loop.now {
		due = append(due, heap.Pop(&loop.timers.queue).(*timer))
	}
	for _, w := range due {
		if w.handler != nil { // an earlier one may have stopped it
			w.handler.fire(loop)
		}
	}
	clear(due)
	loop.timers.due = due
	loop.balancer.SetUtilization(float64(loop.searches.heldBytes+loop.searches.unsentBytes.Load()) / loop.searches.memoryLimit)
	loop.balancer.EndIteration()
	loop.dispatchBatches()
}

// catchUp lets sockets be read before a turn that begins long after a wake's time, until nothing more comes of it. Guards
// against a process that was held up: what its clients, its replicas and discovery did meanwhile still lies there while its
// wakes are due and slots come free: sub-requests would go out for clients that have left, to replicas that drain, and beside
// answers that have come.
func (loop *eventLoop) catchUp() (late bool) {
	now := loop.clockTicks()
	if loop.timers.queue.Len() == 0 || now-loop.timers.queue.timers[0].at < int64(stallThreshold/tick) || now-loop.timers.caughtUpAt < int64(catchUpInterval/tick) {
		return false
	}
	for had, looks := -1, 0; had != len(loop.tasks) && looks < maxCatchUpWaits; looks++ {
		had = len(loop.tasks)
		select {
		case <-loop.Clock.After(catchUpWait):
		case <-loop.ctx.Done():
		}
	}
	loop.timers.caughtUpAt = loop.clockTicks()
	return true
}

func (loop *eventLoop) runNextIteration(do func()) {
	loop.events.next = append(loop.events.next, iterationEvent{task: do})
}

// deferAttemptOutcome tells the module in the next turn how a sub-request ended.
func (loop *eventLoop) deferAttemptOutcome(attempt *attempt, outcome string) {
	loop.events.next = append(loop.events.next, iterationEvent{attempt: attempt, outcome: outcome})
}

func (loop *eventLoop) nextID() uint64 {
	loop.searches.lastID++
	return loop.searches.lastID
}

func (loop *eventLoop) WatchEndpoints() {
	select {
	case loop.discovery.polls <- struct{}{}:
	default: // requested already
	}
}

// ProbeReplica is answered at once with nothing: the protocol has no message for it.
func (loop *eventLoop) ProbeReplica(id string) {
	loop.runNextIteration(func() { loop.balancer.RecordProbeResult(id, "ConnectError", 0, nil) })
}

func (loop *eventLoop) LogMessage(text string) {
	loop.log.Info("note", "text", strings.ToValidUTF8(text, "?"))
}
