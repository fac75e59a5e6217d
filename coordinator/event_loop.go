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
	maxQueuedTasks       = 1024 // tasks waiting for the event loop: several for each descriptor at a usual limit
	maxQueuedListUpdates = 16   // updates of the endpoint list waiting for it: sources send one after another
)

// eventLoop owns the balancer and all state of searches, replicas and clients. Only its own goroutine accesses its fields,
// except for tasks, log, ctx, the discovery requests and atomic fields. Client connections, replica connections and
// discovery submit tasks to it. It blocks only on tasks and its next timer, so those goroutines may block on it without a
// deadlock. At most maxQueuedTasks tasks are queued; while the queue is full, sockets are not read. Updates of the endpoint
// list have a queue of their own, which goes first.
type eventLoop struct {
	Options
	log      *asyncLogger
	plan     *plan.Plan
	balancer balancer.Balancer
	group    *errgroup.Group // of all goroutines of the coordinator
	ctx      context.Context
	tasks    chan func()
	updates  chan func() // of the endpoint list

	startedAt  time.Time
	startTicks int64 // Unix time of the start, in ticks
	now        int64 // ticks, of this iteration

	rules       dispatchRules
	events      eventBuffer
	timers      timerSet
	stalls      stallTracker
	searches    searchTable
	replicas    replicaTable
	descriptors descriptorBudget
	clients     clientTable
	decoders    valueDecoders
	discovery   discoveryRequests
	stop        stopState

	hasEndpoints bool         // an endpoint list with hosts has been applied
	busyNanos    atomic.Int64 // spent in iterations

	peers        *peerExchange            // nil without peers
	sources      *endpointSources         // nil if discovery is the only source of endpoint lists
	searchAPI    *SearchAPI               // nil without other frontends
	shadowCounts *shadow.DivergenceCounts // nil without shadow settings
	enforcer     *residencyEnforcer       // nil without residency contracts
}

// eventBuffer holds the events that are handled at the start of the next iteration.
type eventBuffer struct {
	next  []iterationEvent
	spare []iterationEvent // empty; its array is reused for the iteration after that
}

// iterationEvent is an event deferred to the next iteration: a task, or the outcome of an attempt.
type iterationEvent struct {
	task    func()
	attempt *attempt
	outcome string
}

// tick is the balancer's unit of time. Times of the event loop are ticks of Unix time.
const tick = 100 * time.Microsecond

// submit queues a task for the event loop and returns false if the coordinator has ended. It blocks while maxQueuedTasks
// tasks are queued. Any goroutine except the event loop's may call it.
func (loop *eventLoop) submit(task func()) bool { return loop.submitTo(loop.tasks, task) }

// submitListUpdate queues an update of the endpoint list, which is applied before all queued tasks. Otherwise it is submit.
func (loop *eventLoop) submitListUpdate(update func()) bool {
	return loop.submitTo(loop.updates, update)
}

func (loop *eventLoop) submitTo(queue chan<- func(), task func()) bool {
	select {
	case queue <- task:
		return true
	case <-loop.ctx.Done():
		return false
	}
}

// clockTicks returns Unix time in ticks. It is monotonic: wall time is read only at the start.
func (loop *eventLoop) clockTicks() int64 { return loop.ticksAt(loop.Clock.Now()) }

// ticksAt returns a time of the clock in ticks.
func (loop *eventLoop) ticksAt(at time.Time) int64 {
	return loop.startTicks + int64(at.Sub(loop.startedAt)/tick)
}

// startBalancer configures the balancer with the settings and the last known endpoint list. It returns an error if the
// balancer panics.
func (loop *eventLoop) startBalancer() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("balancer panicked while it was configured: %v", r)
		}
	}()
	loop.now = loop.clockTicks()
	loop.balancer.BeginIteration(loop.now)
	loop.balancer.Configure(loop.plan.Seed, loop.plan.Settings)
	loop.startHeartbeat()
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

// run runs iterations until, after a stop, every search is answered. A panic in an iteration ends it with an error.
func (loop *eventLoop) run() (err error) {
	defer func() {
		if r := recover(); r != nil {
			loop.log.Error("fault", "error", fmt.Sprint(r), "stack", string(debug.Stack()))
			err = fmt.Errorf("panic in an iteration of the event loop: %v", r)
		}
	}()
	for {
		if len(loop.events.next) > 0 {
			loop.iterate(nil, nil)
			continue
		}
		if loop.handleOverdueTimer() {
			continue
		}
		alarm := loop.timers.alarm
		if loop.timers.queue.Len() == 0 {
			alarm = nil
		}
		if loop.isFinished() {
			return errAllAnswered
		}
		select {
		case task := <-loop.tasks:
			loop.iterate(nil, task)
		case update := <-loop.updates:
			loop.iterate(update, nil)
		case <-alarm:
			loop.timers.alarm = nil
		case <-loop.ctx.Done():
			return loop.ctx.Err()
		}
	}
}

// handleOverdueTimer runs an iteration if the first timer is due and returns true. Otherwise it sets the alarm for that
// timer and returns false. A due heartbeat needs no iteration, unless it is late.
func (loop *eventLoop) handleOverdueTimer() bool {
	if loop.timers.queue.Len() == 0 {
		return false
	}
	first := loop.timers.queue.timers[0]
	wait := first.at - loop.clockTicks()
	if wait > 0 {
		loop.setAlarm(first.at, time.Duration(wait)*tick)
		return false
	}
	if first != &loop.stalls.heartbeat || !loop.beat() {
		loop.iterate(nil, nil)
	}
	return true
}

// setAlarm sets the alarm that wakes the event loop after wait, at the tick at. An alarm that is already set for an earlier
// time is kept: most timers are stopped before they fire, and an early alarm does no harm.
func (loop *eventLoop) setAlarm(at int64, wait time.Duration) {
	if loop.timers.alarm == nil || at < loop.timers.alarmAt {
		loop.timers.alarm, loop.timers.alarmAt = loop.Clock.After(wait), at
	}
}

// isFinished reports whether, after a stop, all clients have left and all searches are answered.
func (loop *eventLoop) isFinished() bool {
	clients := &loop.clients
	return clients.listenerClosed && len(clients.connections) == 0 && clients.openFrontends == 0 && len(loop.searches.byID) == 0
}

// iterate runs one iteration: it applies the queued updates of the endpoint list, handles deferred events, all queued tasks
// and all due timers, and then dispatches the batches of attempts that the balancer has sent. The update and the task, which
// may be nil, have been taken off the queues and come first of their kind.
func (loop *eventLoop) iterate(update, task func()) {
	hasCaughtUp := loop.noticeStall() && loop.catchUp()
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
	queued := len(loop.tasks) // what comes later waits for the next iteration, which notices a stall that comes first
	loop.applyListUpdates(update)
	if hasCaughtUp {
		loop.withdrawGoneClients()
	}
	loop.runDeferredEvents()
	if task != nil {
		task()
	}
	for range queued {
		(<-loop.tasks)()
	}
	loop.fireDueTimers()
	if hasCaughtUp {
		loop.renewUnsentBatches()
	}
	loop.stalls.lastRunAt.Store(loop.now) // from here on, writers may send what the event loop has left in their queues
	loop.balancer.SetUtilization(float64(loop.searches.heldBytes+loop.searches.unsentBytes.Load()) / loop.searches.memoryLimit)
	loop.balancer.EndIteration()
	loop.dispatchBatches()
}

// applyListUpdates applies the updates of the endpoint list: the first, unless it is nil, and all queued ones. They go before
// all else, so that nothing is decided by a list that was out of date when the iteration began.
func (loop *eventLoop) applyListUpdates(first func()) {
	if first != nil {
		first()
	}
	for n := len(loop.updates); n > 0; n-- {
		(<-loop.updates)()
	}
}

// runDeferredEvents handles the events that were deferred to this iteration.
func (loop *eventLoop) runDeferredEvents() {
	events := loop.events.next
	loop.events.next, loop.events.spare = loop.events.spare[:0], nil
	for _, event := range events {
		if event.task != nil {
			event.task()
		} else {
			loop.recordOutcome(event.attempt, event.outcome, nil)
		}
	}
	clear(events)
	loop.events.spare = events
}

// fireDueTimers fires the timers that are due when it is called. Timers that these start fire in the next iteration at
// the earliest.
func (loop *eventLoop) fireDueTimers() {
	due := loop.timers.due[:0]
	for loop.timers.queue.Len() > 0 && loop.timers.queue.timers[0].at <= loop.now {
		due = append(due, heap.Pop(&loop.timers.queue).(*timer))
	}
	for _, dueTimer := range due {
		if dueTimer.handler != nil { // an earlier timer may have stopped it
			dueTimer.handler.fire(loop)
		}
	}
	clear(due)
	loop.timers.due = due
}

// runNextIteration defers a task to the start of the next iteration.
func (loop *eventLoop) runNextIteration(task func()) {
	loop.events.next = append(loop.events.next, iterationEvent{task: task})
}

// deferAttemptOutcome reports an attempt's outcome to the balancer in the next iteration.
func (loop *eventLoop) deferAttemptOutcome(attempt *attempt, outcome string) {
	loop.events.next = append(loop.events.next, iterationEvent{attempt: attempt, outcome: outcome})
}

// nextID returns an id for a search or a shard request.
func (loop *eventLoop) nextID() uint64 {
	loop.searches.lastID++
	return loop.searches.lastID
}

// WatchEndpoints requests a watch call for changes of the endpoint list. It implements balancer.Actions.
func (loop *eventLoop) WatchEndpoints() {
	select {
	case loop.discovery.polls <- struct{}{}:
	default: // requested already
	}
}

// ProbeReplica reports a failed probe at once, since the protocol has no health check. It implements balancer.Actions.
func (loop *eventLoop) ProbeReplica(hostID string) {
	loop.runNextIteration(func() { loop.balancer.RecordProbeResult(hostID, "ConnectError", 0, nil) })
}

// LogMessage logs a message of the balancer. It implements balancer.Actions.
func (loop *eventLoop) LogMessage(text string) {
	loop.log.Info("balancer_message", "text", strings.ToValidUTF8(text, "?"))
}
