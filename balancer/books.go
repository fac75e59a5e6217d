package balancer

import (
	"math"
	"math/rand"
	"slices"
)

// What keeps the books of a co-ordinator: its start, its list, its searches' parts and ends. Nothing is decided here.

func New(out Actions) Balancer {
	return &coordinator{
		out: out, fleet: map[string]*replica{}, held: map[uint64]*search{},
		numbers: map[uint64]*search{}, next: map[uint64]*try{}, wakes: map[uint64]woken{},
		holding: map[int][]*replica{}, full: map[int]bool{},
		askWait: askFirst, limit: math.Inf(1), firstUsual: firstPace,
	}
}

func (c *coordinator) BeginIteration(now int64) { c.now = now; clear(c.full) }

func (c *coordinator) Configure(seed int64, settings map[string]string) {
	c.facts, c.chance = newFacts(settings), rand.New(rand.NewSource(seed))
	c.sets, c.reach = int(c.facts.num("Specifics.Sets")), int(c.facts.num("Specifics.Reach"))
	c.spells = make([]sum, int(c.facts.opt("Classes.count", 0)))
	c.tenants = make([]bucket, int(c.facts.opt("Tenants.count", 0)))
	if c.facts.text["Discovery"] == "subscribe" {
		c.out.WatchEndpoints()
	}
}

func (c *coordinator) maxTries() int { return int(c.facts.opt("Permissions.MaxAttempts", 1)) }

func (c *coordinator) AddEndpoint(id string, zone, kind, cell int, status string, units float64, since int64) {
	c.fresh = append(c.fresh, func(keep map[string]bool) {
		keep[id] = true
		r := c.fleet[id]
		if r == nil {
			r = &replica{id: id, since: since, credit: c.chance.Float64(), creditAt: c.now}
			c.fleet[id] = r
			c.list = append(c.list, r)
		} else if since > r.since {
			r.since, r.pace, r.past, r.quiet, r.strikes, r.refused = since, sum{}, sum{}, 0, 0, 0
			r.short, r.long, r.doubtTo = hearsay{}, hearsay{}, 0
			c.flights.stir(r)
			r.credit, r.creditAt = c.chance.Float64(), c.now
		}
		r.cell, r.zone, r.open = cell, zone, status == "healthy"
		for len(c.ways) <= zone {
			c.ways = append(c.ways, way{})
		}
	})
}

func (c *coordinator) CommitEndpoints(how string, revision int64) {
	entries := c.fresh
	c.fresh = nil
	if how == "Error" {
		c.askAgain()
		return
	}
	c.askWait = askFirst
	in := map[string]bool{}
	for _, enter := range entries {
		enter(in)
	}
	c.list = slices.DeleteFunc(c.list, func(r *replica) bool { return !r.open || !in[r.id] && how != "Partial" })
	clear(c.holding)
	clear(c.bound.holding)
	clear(c.fleet) // guards against growth: a replica that in left comes back as another
	for _, r := range c.list {
		c.fleet[r.id] = r
	}
	c.listed = len(c.list)
	c.flights.quiets = c.listed
}

func (c *coordinator) AddShardRequest(id, number uint64, shard int, weight float64) {
	c.count(&c.taken)
	s := c.numbers[number]
	if s == nil || s.over {
		return
	}
	p := s.part()
	p.id, p.s, p.shard, p.weight = id, s, shard, weight
	s.add(p)
	if s.step == 2 {
		c.ask(p) // the second step was let in with the first
	}
}

func (c *coordinator) release(t *try) {
	if !t.out {
		return
	}
	c.flights.landed(t)
	c.unwake(t.wake)
	if t.c.out--; t.c.out == 0 {
		t.r.calls--
	}
	t.r.tries = slices.DeleteFunc(t.r.tries, func(o *try) bool { return o == t })
}

// drop calls off what is out of the present step.
func (c *coordinator) drop(s *search) {
	for _, p := range s.parts {
		for _, t := range p.tries {
			c.cancel(t)
		}
		p.dead = true
	}
}

func (c *coordinator) end(s *search) {
	s.over, s.slab = true, nil
	c.unwake(s.dueWake)
	c.unwake(s.usefulWake)
	c.drop(s)
	delete(c.held, s.id)
	delete(c.numbers, s.number)
}

func (c *coordinator) CancelSearch(id uint64) {
	if s := c.held[id]; s != nil {
		c.left = slices.DeleteFunc(c.left, func(l leaver) bool { return c.now-l.at > leaveSpan })
		c.left = append(c.left, leaver{s.qtype, s.tenant, s.count, s.first, s.came, c.now})
		c.end(s)
	}
}

// spent notes how long a search has taken since it left the queue.
func (c *coordinator) spent(s *search) {
	c.spell.add(c.now, rateSpan, float64(c.now-s.left))
	c.spells[s.qtype].add(c.now, rateSpan, float64(c.now-s.left))
}

// retook notes how long a further sub-request took, as a logarithm, over the usual.
func (c *coordinator) retook(t *try, pace float64) {
	if t.leg > 0 {
		c.common()
		c.again.add(c.now, pastSpan, pace-c.usualLog)
	}
}
