package balancer

// timerCallback is what a wake leaves behind: a step that goes on then.
type timerCallback interface{ run(b *balancer) }

type timerFunc func()

func (do timerFunc) run(*balancer) { do() }

// The steps of searches and sub-requests are what they wait with: a wake of theirs needs no room of its own.
type (
	deadlineCallback  search
	objectiveCallback search
	hedgeCallback     attempt
)

func (s *deadlineCallback) run(b *balancer) { b.fail((*search)(s)) }

func (s *objectiveCallback) run(b *balancer) { b.objectiveReached((*search)(s)) }

func (t *hedgeCallback) run(b *balancer) { b.hedgeAttempt((*attempt)(t)) }

func (b *balancer) setTimer(wait int64, do timerCallback) uint64 {
	b.label++
	b.wakes[b.label] = do
	b.actions.SetTimer(max(wait, 1), b.label)
	return b.label
}

// cancelTimer takes a wake back. Guards against memory that follows rate times client timeout: a wake holds its
// search with all values that are in.
func (b *balancer) cancelTimer(label uint64) {
	if b.wakes[label] != nil {
		delete(b.wakes, label)
		b.actions.CancelTimer(label)
	}
}

func (b *balancer) HandleTimer(label uint64) {
	if do := b.wakes[label]; do != nil {
		delete(b.wakes, label)
		do.run(b)
	}
}
