package balancer

import (
	"math"
	"math/rand"
	"slices"
)

// What keeps the books of a co-ordinator: its start, its list, its searches' parts and ends. Nothing is decided here.

func New(out Actions) Balancer {
	return &balancer{
		actions: out, fleet: map[string]*replica{}, held: map[uint64]*search{},
		numbers: map[uint64]*search{}, next: map[uint64]*attempt{}, wakes: map[uint64]timerCallback{},
		holding: map[int][]*replica{}, full: map[int]bool{},
		askWait: watchRetryMin, limit: math.Inf(1), firstUsual: assumedLatency,
	}
}

func (c *balancer) BeginIteration(now int64) { c.now = now; clear(c.full) }

func (c *balancer) Configure(seed int64, settings map[string]string) {
	c.settings, c.rng = newSettings(settings), rand.New(rand.NewSource(seed))
	c.sets, c.reach = int(c.settings.number("Specifics.Sets")), int(c.settings.number("Specifics.Reach"))
	c.spells = make([]decayingSum, int(c.settings.optionalNumber("Classes.count", 0)))
	c.tenants = make([]tokenBucket, int(c.settings.optionalNumber("Tenants.count", 0)))
	if c.settings.values["Discovery"] == "subscribe" {
		c.actions.WatchEndpoints()
	}
}

func (c *balancer) maxAttempts() int {
	return int(c.settings.optionalNumber("Permissions.MaxAttempts", 1))
}

func (c *balancer) AddEndpoint(id string, zone, kind, cell int, status string, units float64, since int64) {
	c.fresh = append(c.fresh, func(keep map[string]bool) {
		keep[id] = true
		r := c.fleet[id]
		if r == nil {
			r = &replica{id: id, startedAt: since, slowStartCredit: c.rng.Float64(), slowStartUpdatedAt: c.now}
			c.fleet[id] = r
			c.list = append(c.list, r)
		} else if since > r.startedAt {
			r.startedAt, r.shortLatency, r.longLatency, r.unanswered, r.consecutiveFailures, r.connectFailures = since, decayingSum{}, decayingSum{}, 0, 0, 0
			r.gossipedShort, r.gossipedLong, r.gossipedOutlierUntil = gossipedLatency{}, gossipedLatency{}, 0
			c.flights.recheck(r)
			r.slowStartCredit, r.slowStartUpdatedAt = c.rng.Float64(), c.now
		}
		r.shardSet, r.zone, r.eligible = cell, zone, status == "healthy"
		for len(c.ways) <= zone {
			c.ways = append(c.ways, zoneLatency{})
		}
	})
}

func (c *balancer) CommitEndpoints(how string, revision int64) {
	entries := c.fresh
	c.fresh = nil
	if how == "Error" {
		c.retryWatch()
		return
	}
	c.askWait = watchRetryMin
	in := map[string]bool{}
	for _, enter := range entries {
		enter(in)
	}
	c.list = slices.DeleteFunc(c.list, func(r *replica) bool { return !r.eligible || !in[r.id] && how != "Partial" })
	clear(c.holding)
	clear(c.bound.holders)
	clear(c.fleet) // guards against growth: a replica that in left comes back as another
	for _, r := range c.list {
		c.fleet[r.id] = r
	}
	c.listed = len(c.list)
	c.flights.replicaCount = c.listed
}

func (c *balancer) AddShardRequest(id, number uint64, shard int, weight float64) {
	c.recordForBudget(&c.taken)
	s := c.numbers[number]
	if s == nil || s.ended {
		return
	}
	p := s.newRequest()
	p.id, p.search, p.shard, p.weight = id, s, shard, weight
	s.addRequest(p)
	if s.step == 2 {
		c.enqueueRequest(p) // the second step was let in with the first
	}
}

func (c *balancer) releaseSlot(t *attempt) {
	if !t.holdsSlot {
		return
	}
	c.flights.recordEnded(t)
	c.cancelTimer(t.hedgeTimer)
	if t.batch.inFlight--; t.batch.inFlight == 0 {
		t.replica.batchesInFlight--
	}
	t.replica.attempts = slices.DeleteFunc(t.replica.attempts, func(o *attempt) bool { return o == t })
}

// cancelStep calls off what is out of the present step.
func (c *balancer) cancelStep(s *search) {
	for _, p := range s.requests {
		for _, t := range p.attempts {
			c.cancelAttempt(t)
		}
		p.lost = true
	}
}

func (c *balancer) endSearch(s *search) {
	s.ended, s.requestBuffer = true, nil
	c.cancelTimer(s.deadlineTimer)
	c.cancelTimer(s.objectiveTimer)
	c.cancelStep(s)
	delete(c.held, s.id)
	delete(c.numbers, s.number)
}

func (c *balancer) CancelSearch(id uint64) {
	if s := c.held[id]; s != nil {
		c.left = slices.DeleteFunc(c.left, func(l withdrawnSearch) bool { return c.now-l.withdrawnAt > withdrawnSearchTTL })
		c.left = append(c.left, withdrawnSearch{s.queryType, s.tenant, s.requestCount, s.clientStart, s.arrivedAt, c.now})
		c.endSearch(s)
	}
}

// recordSearchDuration notes how long a search has taken since it left the queue.
func (c *balancer) recordSearchDuration(s *search) {
	c.spell.add(c.now, rateWindow, float64(c.now-s.admittedAt))
	c.spells[s.queryType].add(c.now, rateWindow, float64(c.now-s.admittedAt))
}

// recordRetryLatency notes how long a further sub-request took, as a logarithm, over the usual.
func (c *balancer) recordRetryLatency(t *attempt, pace float64) {
	if t.index > 0 {
		c.fleetLatency()
		c.again.add(c.now, longWindow, pace-c.usualLog)
	}
}
