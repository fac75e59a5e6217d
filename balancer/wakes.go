package balancer

// timerCallback is what a wake leaves behind: a step that goes on then.
type timerCallback interface{ run(c *balancer) }

type timerFunc func()

func (do timerFunc) run(*balancer) { do() }

// The steps of searches and sub-requests are what they wait with: a wake of theirs needs no room of its own.
type (
	deadlineCallback  search
	objectiveCallback search
	hedgeCallback     attempt
)

func (s *deadlineCallback) run(c *balancer)  { c.fail((*search)(s)) }
func (s *objectiveCallback) run(c *balancer) { c.objectiveReached((*search)(s)) }
func (t *hedgeCallback) run(c *balancer)     { c.hedgeAttempt((*attempt)(t)) }

func (c *balancer) setTimer(wait int64, do timerCallback) uint64 {
	c.label++
	c.wakes[c.label] = do
	c.actions.SetTimer(max(wait, 1), c.label)
	return c.label
}

// cancelTimer takes a wake back. Guards against memory that follows rate times client timeout: a wake holds its
// search with all values that are in.
func (c *balancer) cancelTimer(label uint64) {
	if c.wakes[label] != nil {
		delete(c.wakes, label)
		c.actions.CancelTimer(label)
	}
}

func (c *balancer) HandleTimer(label uint64) {
	if do := c.wakes[label]; do != nil {
		delete(c.wakes, label)
		do.run(c)
	}
}
