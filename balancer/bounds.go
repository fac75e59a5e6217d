package balancer

const (
	spotsMost  = 1 << 16 // spots whose replicas are kept: some dozen kinds of bounds over a thousand shards
	groupShift = 32      // bits of a spot that are the shard's: shards are counted in thousands
)

// bounded keeps which replicas searches that are bound may use, by spot.
type bounded struct {
	last    int // group that was given; none is given twice, so that a spot means one thing
	holding map[int][]*replica
}

// spot is a part's shard, told apart for searches that are bound alike.
func (p *part) spot() int {
	if p.s.bounds == nil {
		return p.shard
	}
	return p.shard | p.s.bounds.group<<groupShift
}

// within are the replicas that hold a part's shard and that its search's bounds leave.
func (c *coordinator) within(p *part) []*replica {
	spot := p.spot()
	all, known := c.bound.holding[spot]
	if !known {
		for _, r := range c.listing(p.shard % c.sets) {
			if p.s.bounds.Allows(p.shard, r.id) {
				all = append(all, r)
			}
		}
		if len(c.bound.holding) >= spotsMost {
			clear(c.bound.holding)
		}
		c.bound.holding[spot] = all
	}
	return all
}

// RestrictReplicas does not ask whether calling off is allowed: guards against a part that runs on where it may not, and against an
// answer from there that would count.
func (c *coordinator) RestrictReplicas(id uint64, to *ReplicaRestriction, lacks func(shard int) (end bool)) {
	s := c.held[id]
	if s == nil || s.over {
		return
	}
	if s.bounds = to; to != nil && to.group == 0 {
		if c.bound.holding == nil {
			c.bound.holding = map[int][]*replica{}
		}
		c.bound.last++
		to.group = c.bound.last
	}
	end, lost := false, false
	for _, p := range s.parts {
		if to == nil || p.in || p.dead {
			continue
		}
		out := false
		for _, t := range p.tries {
			if t.out && !to.Allows(p.shard, t.r.id) {
				c.release(t)
				c.out.CancelAttempt(p.id, t.leg)
			}
			out = out || t.out
		}
		if !out && len(c.within(p)) == 0 {
			if !s.cut || p.queued || len(p.tries) > 0 { // what a cut search does not count on is not in most
				s.most -= p.weight
			}
			p.dead, lost = true, true
			end = lacks(p.shard) || end
		}
	}
	switch {
	case end:
		c.out.FailSearch(s.id)
		c.end(s)
	case lost:
		if s.left > 0 {
			c.standIn(s)
		}
		if c.check(s); !s.over && s.most < s.need-1e-4 && !c.enough(s, s.most) {
			c.giveUp(s)
		}
	}
}
