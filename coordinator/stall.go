package coordinator

import (
	"container/heap"
	"context"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

const (
	catchUpWait     = 5 * time.Millisecond   // for sockets to be read before an iteration after a stall; decoding a long list takes several milliseconds
	maxCatchUpWaits = 10                     // such waits in a row for tasks; those that keep arriving after them are not a backlog of the stall
	maxListWaits    = 40                     // such waits in a row for an answer of discovery that has arrived to be applied
	catchUpInterval = 250 * time.Millisecond // between two catch-ups, so that they do not delay an overloaded process further

	stallCheckInterval = 50 * time.Millisecond // between two heartbeats: a client may have left 0.1 s before a stall is noticed
	stallThreshold     = 50 * time.Millisecond // lateness of a timer that shows a stalled process: no iteration takes so long

	lateReadMargin = 100 * time.Millisecond // after a stall, in which sockets may still be read late
)

// stallTracker knows when the event loop last ran and when the process last stalled, that is, was suspended or got no
// processor. All times are ticks of the event loop's clock. Only the event loop changes it, except for tellsReceiveTimes; any
// goroutine may read the atomic fields.
type stallTracker struct {
	heartbeat  timer                 // runs all the time: its lateness shows that the process stalled, also when it had nothing to do
	lastRunAt  atomic.Int64          // 0 before the start
	lastStall  atomic.Pointer[stall] // nil before the first stall
	caughtUpAt int64                 // when sockets were last read before an iteration

	tellsReceiveTimes atomic.Bool // the system has told when it received bytes, so that 0 means just now
}

// stall is a time in which the process may not have read a socket, in ticks. A message that was read soon after it may have
// arrived at any time during it.
type stall struct{ from, until int64 }

// mayHaveHeld reports whether a message that was read at the given time may have arrived during the stall.
func (s stall) mayHaveHeld(readAt int64) bool {
	return readAt >= s.from && readAt <= s.until+int64(lateReadMargin/tick)
}

// earliestArrival returns the earliest time at which a message may have arrived that was read at the given time: the time
// of the read itself or, if it followed a stall, the stall's start. Any goroutine may call it.
func (s *stallTracker) earliestArrival(readAt int64) int64 {
	lastRunAt := s.lastRunAt.Load() // first: if the event loop notices a stall meanwhile, lastStall has it
	last := s.lastStall.Load()
	switch {
	case last != nil && last.mayHaveHeld(readAt):
		return last.from
	case isStall(lastRunAt, readAt): // not noticed yet
		return lastRunAt
	default:
		return readAt
	}
}

// isStall reports whether the process may have stalled if its event loop has not run between two times; lastRunAt is 0
// before its start.
func isStall(lastRunAt, now int64) bool {
	return lastRunAt > 0 && now-lastRunAt > int64((stallCheckInterval+stallThreshold)/tick)
}

// earliestArrivalAt is the tracker's earliestArrival for a time of the clock. Any goroutine may call it.
func (loop *eventLoop) earliestArrivalAt(readAt time.Time) time.Time {
	ticks := loop.ticksAt(readAt)
	return readAt.Add(-time.Duration(ticks-loop.stalls.earliestArrival(ticks)) * tick)
}

// arrivalBetween returns when the last bytes arrived that were read from a connection, if that was between two times: when
// the system received them or, if the system does not tell, the earliest of these times. Any goroutine may call it.
func (loop *eventLoop) arrivalBetween(earliest, latest time.Time, conn net.Conn) time.Time {
	receivedAgo, ok := lastReceivedAgo(conn)
	if receivedAgo > 0 {
		loop.stalls.tellsReceiveTimes.Store(true)
	}
	if !ok || !loop.stalls.tellsReceiveTimes.Load() {
		return earliest
	}
	receivedAt := loop.Clock.Now().Add(-receivedAgo)
	switch {
	case receivedAt.Before(earliest):
		return earliest
	case receivedAt.After(latest):
		return latest
	default:
		return receivedAt
	}
}

// startHeartbeat starts the heartbeat, which goes on until the event loop ends.
func (loop *eventLoop) startHeartbeat() {
	loop.stalls.lastRunAt.Store(loop.now)
	loop.startTimer(&loop.stalls.heartbeat, int64(stallCheckInterval/tick), &loop.stalls)
}

// fire implements timerHandler. It is called once for each heartbeat.
func (s *stallTracker) fire(loop *eventLoop) {
	loop.startTimer(&s.heartbeat, int64(stallCheckInterval/tick), s)
}

// beat handles a due heartbeat without an iteration. It returns false, and does nothing, if the heartbeat is so late that
// the process has stalled.
func (loop *eventLoop) beat() bool {
	now := loop.clockTicks()
	if now-loop.stalls.heartbeat.at >= int64(stallThreshold/tick) {
		return false
	}
	loop.now = max(loop.now, now)
	heap.Pop(&loop.timers.queue)
	loop.stalls.fire(loop)
	loop.stalls.lastRunAt.Store(loop.now)
	return true
}

// noticeStall reports whether the process has stalled since the event loop last ran. It records and logs the stall.
func (loop *eventLoop) noticeStall() bool {
	now := loop.clockTicks()
	if loop.timers.queue.Len() == 0 || now-loop.timers.queue.timers[0].at < int64(stallThreshold/tick) {
		return false
	}
	from := loop.stalls.lastRunAt.Load()
	loop.stalls.lastStall.Store(&stall{from: from, until: now})
	stalledFor := time.Duration(now-from) * tick
	loop.log.warnLimited("stalled", "stalled", "seconds", stalledFor.Seconds(), "searches", len(loop.searches.byID))
	return true
}

// catchUp waits for sockets to be read before the iteration that follows a stall, and reports whether it did: not so if
// it did a moment ago. After a stall, timers are due while messages that clients, replicas and discovery sent meanwhile are
// still unread. Without the wait, attempts would be sent for clients that have left, to replicas that are draining, and for
// shard requests whose answers have arrived.
func (loop *eventLoop) catchUp() bool {
	if loop.clockTicks()-loop.stalls.caughtUpAt < int64(catchUpInterval/tick) {
		return false
	}
	for queued, waits := -1, 0; loop.isBehind(queued, waits); waits++ {
		queued = len(loop.tasks)
		select {
		case <-loop.Clock.After(catchUpWait):
		case <-loop.ctx.Done():
		}
	}
	loop.stalls.caughtUpAt = loop.clockTicks()
	stalled := loop.stalls.lastStall.Load()
	loop.stalls.lastStall.Store(&stall{from: stalled.from, until: loop.stalls.caughtUpAt})
	return true
}

// isBehind reports whether messages that arrived during a stall may still be unread, after so many waits of a catch-up and
// with so many tasks queued before the last one.
func (loop *eventLoop) isBehind(queuedBefore, waits int) bool {
	if waits < maxCatchUpWaits && len(loop.tasks) != queuedBefore {
		return true
	}
	return waits < maxListWaits && loop.ctx.Err() == nil && loop.discovery.hasNews()
}

// awaitCatchUp returns at once unless the process may have stalled since the event loop last ran. Then it returns once the
// event loop has caught up, or when ctx is done. Writers call it before they send attempts, which were decided on before the
// stall: the event loop takes back those that may no longer be sent.
func (loop *eventLoop) awaitCatchUp(ctx context.Context) {
	for isStall(loop.stalls.lastRunAt.Load(), loop.clockTicks()) {
		hasRun := make(chan struct{})
		if !loop.submit(func() { close(hasRun) }) {
			return
		}
		select {
		case <-hasRun:
		case <-ctx.Done():
			return
		}
	}
}

// renewUnsentBatches encodes the batches anew that were decided on before a stall and are not sent yet: they state the time
// that their clients had left before it.
func (loop *eventLoop) renewUnsentBatches() {
	for _, hostID := range slices.Sorted(maps.Keys(loop.replicas.byID)) {
		for _, conn := range loop.replicas.byID[hostID].connections {
			for _, attempt := range slices.Clone(conn.attempts) {
				batch := attempt.batch
				isFirst := batch != nil && batch.attempts[0] == attempt
				if isFirst && batch.message.buffer != nil && batch.message.recall() {
					loop.queueBatch(batch)
				}
			}
		}
	}
}
