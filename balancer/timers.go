package balancer

// timerCallback runs when its timer fires.
type timerCallback interface{ run(b *balancer) }

type timerFunc func()

func (f timerFunc) run(*balancer) { f() }

// Searches and attempts are their own callbacks, with one type for each kind of timer, so that setting a timer
// allocates nothing.
type (
	deadlineCallback  search
	objectiveCallback search
	hedgeCallback     attempt
)

func (s *deadlineCallback) run(b *balancer)  { b.fail((*search)(s)) }
func (s *objectiveCallback) run(b *balancer) { b.objectiveReached((*search)(s)) }
func (a *hedgeCallback) run(b *balancer)     { b.hedgeAttempt((*attempt)(a)) }

// timerTable holds the callbacks of the active timers, by label.
type timerTable struct {
	callbacks map[uint64]timerCallback
	lastLabel uint64
}

func (t *timerTable) add(callback timerCallback) (label uint64) {
	t.lastLabel++
	t.callbacks[t.lastLabel] = callback
	return t.lastLabel
}

// remove removes and returns the callback of a timer, nil if the timer is no longer set.
func (t *timerTable) remove(label uint64) timerCallback {
	callback := t.callbacks[label]
	if callback != nil {
		delete(t.callbacks, label)
	}
	return callback
}

func (b *balancer) setTimer(wait int64, callback timerCallback) (label uint64) {
	label = b.timers.add(callback)
	b.actions.SetTimer(max(wait, 1), label)
	return label
}

// cancelTimer cancels a timer that may already have fired. A timer keeps its search and everything received for it in
// memory: without cancelling, memory would grow with the request rate times the client timeout.
func (b *balancer) cancelTimer(label uint64) {
	if b.timers.remove(label) != nil {
		b.actions.CancelTimer(label)
	}
}

func (b *balancer) HandleTimer(label uint64) {
	if callback := b.timers.remove(label); callback != nil {
		callback.run(b)
	}
}
