package coordinator

import (
	"cmp"
	"container/heap"
	"time"
)

const maxSpareTimers = 4096 // balancer timers kept for reuse: those of a few hundred open searches

// timerSet holds the event loop's timers.
type timerSet struct {
	queue    timerQueue
	balancer map[uint64]*balancerTimer // by the balancer's label
	spare    []*balancerTimer          // stopped, for reuse
	due      []*timer                  // empty; its array is reused by each iteration
	alarm    <-chan time.Time          // wakes the event loop, at or before the time of the first timer
	alarmAt  int64
}

// timer calls its handler at a given time. It may be used again once it has fired or been stopped.
type timer struct {
	at       int64
	sequence uint64
	index    int
	handler  timerHandler
}

// timerHandler is called on the event loop's goroutine when a timer fires.
type timerHandler interface{ fire(o *eventLoop) }

// deferredTask is a timer handler that is a plain function.
type deferredTask func()

// fire implements timerHandler.
func (do deferredTask) fire(*eventLoop) { do() }

// timerQueue is a heap of timers by time; equal times fire in the order of their start.
type timerQueue struct {
	timers   []*timer
	sequence uint64
}

// Len implements heap.Interface.
func (w *timerQueue) Len() int { return len(w.timers) }

// Less implements heap.Interface.
func (w *timerQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(w.timers[i].at, w.timers[j].at), cmp.Compare(w.timers[i].sequence, w.timers[j].sequence)) < 0
}

// Swap implements heap.Interface.
func (w *timerQueue) Swap(i, j int) {
	w.timers[i], w.timers[j] = w.timers[j], w.timers[i]
	w.timers[i].index, w.timers[j].index = i, j
}

// Push implements heap.Interface.
func (w *timerQueue) Push(v any) {
	v.(*timer).index = len(w.timers)
	w.timers = append(w.timers, v.(*timer))
}

// Pop implements heap.Interface.
func (w *timerQueue) Pop() any {
	last := len(w.timers) - 1
	v := w.timers[last]
	w.timers[last] = nil
	w.timers = w.timers[:last]
	v.index = -1
	return v
}

// runAfter runs a task after wait ticks.
func (loop *eventLoop) runAfter(wait int64, do func()) {
	loop.startTimer(&timer{}, wait, deferredTask(do))
}

// startTimer starts a timer, which fires after wait ticks. The timer must not be running.
func (loop *eventLoop) startTimer(timer *timer, wait int64, do timerHandler) {
	loop.timers.queue.sequence++
	timer.at, timer.sequence, timer.handler = loop.now+max(wait, 0), loop.timers.queue.sequence, do
	heap.Push(&loop.timers.queue, timer)
}

// stopTimer stops a timer and drops its handler. It does nothing to a timer that was never started or is stopped.
func (loop *eventLoop) stopTimer(timer *timer) {
	if timer.handler == nil {
		return
	}
	if timer.handler = nil; timer.index >= 0 {
		heap.Remove(&loop.timers.queue, timer.index)
	}
}

// balancerTimer is a timer that the balancer has set.
type balancerTimer struct {
	timer
	label uint64
}

// fire implements timerHandler.
func (w *balancerTimer) fire(loop *eventLoop) {
	label := w.label
	delete(loop.timers.balancer, label)
	if len(loop.timers.spare) < maxSpareTimers {
		loop.timers.spare = append(loop.timers.spare, w)
	}
	loop.balancer.HandleTimer(label)
}

// SetTimer starts the balancer's timer with a label, which fires after wait ticks. It implements balancer.Actions.
func (loop *eventLoop) SetTimer(wait int64, label uint64) {
	var free *balancerTimer
	if n := len(loop.timers.spare); n > 0 {
		free, loop.timers.spare = loop.timers.spare[n-1], loop.timers.spare[:n-1]
	} else {
		free = &balancerTimer{}
	}
	free.label = label
	loop.timers.balancer[label] = free
	loop.startTimer(&free.timer, max(wait, 1), free)
}

// CancelTimer stops the balancer's timer with a label, if it is running. It implements balancer.Actions.
func (loop *eventLoop) CancelTimer(label uint64) {
	balancerTimer := loop.timers.balancer[label]
	if balancerTimer == nil {
		return
	}
	delete(loop.timers.balancer, label)
	if balancerTimer.index >= 0 && len(loop.timers.spare) < maxSpareTimers { // a timer that is due in this iteration is not reused: the list due still refers to it
		loop.timers.spare = append(loop.timers.spare, balancerTimer)
	}
	loop.stopTimer(&balancerTimer.timer)
}
