package balancer

// woken is what a wake leaves behind: a step that goes on then.
type woken interface{ woken(c *coordinator) }

type doing func()

func (do doing) woken(*coordinator) { do() }

// The steps of searches and sub-requests are what they wait with: a wake of theirs needs no room of its own.
type (
	atDue     search
	atUse     search
	atOverdue try
)

func (s *atDue) woken(c *coordinator)     { c.giveUp((*search)(s)) }
func (s *atUse) woken(c *coordinator)     { c.pastUse((*search)(s)) }
func (t *atOverdue) woken(c *coordinator) { c.overdue((*try)(t)) }

func (c *coordinator) after(wait int64, do woken) uint64 {
	c.label++
	c.wakes[c.label] = do
	c.out.SetTimer(max(wait, 1), c.label)
	return c.label
}

// unwake takes a wake back. Guards against memory that follows rate times client timeout: a wake holds its
// search with all values that are in.
func (c *coordinator) unwake(label uint64) {
	if c.wakes[label] != nil {
		delete(c.wakes, label)
		c.out.CancelTimer(label)
	}
}

func (c *coordinator) HandleTimer(label uint64) {
	if do := c.wakes[label]; do != nil {
		delete(c.wakes, label)
		do.woken(c)
	}
}
