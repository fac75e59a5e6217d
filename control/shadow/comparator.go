package shadow

import (
	"slices"

	"chalkring/balancer"
)

// maxKeptTimes limits the length of a list of times that is kept for a retry budget. A coordinator handles far fewer
// requests in the budget's window.
const maxKeptTimes = 1e6

// firstStep is the only step of a search whose shard requests and answer are compared.
const firstStep = 1

// Comparator wraps a balancer and compares its decisions. It forwards all calls in both directions unchanged. Like the
// balancer it belongs to one goroutine.
type Comparator struct {
	balancer.Balancer
	actions        balancer.Actions
	counts         *DivergenceCounts
	active, shadow settings
	now            int64

	searches         map[uint64]*search
	searchesByNumber map[uint64]*search
	shardRequests    map[uint64]*shardRequest
	replicas         map[string]*replica
	listed           map[string]bool // hosts in the endpoint list that is being received
	requestTimes     []int64         // when searches and shard requests were added, for the retry budget
	retryTimes       []int64         // when retries were sent, for the retry budget
}

type search struct {
	id, number     uint64
	searchType     int
	step           int
	sentWeight     float64 // of the shard requests of the first step that have been sent
	answeredWeight float64 // of the shard requests of the first step that have been answered
	shardRequests  []uint64
}

type shardRequest struct {
	search   *search
	weight   float64
	attempts int
	inFlight int
	answered bool
}

type replica struct {
	startedAt     int64
	drainingSince int64 // 0 if it is not draining
}

// New returns a comparator around the balancer that newBalancer creates. Active are the settings that the balancer starts
// with, and shadow those that its decisions are compared with. Actions carries out the decisions.
func New(actions balancer.Actions, active, shadow map[string]string, counts *DivergenceCounts, newBalancer func(actions balancer.Actions) balancer.Balancer) *Comparator {
	c := &Comparator{
		actions: actions, counts: counts, active: active, shadow: shadow, searches: map[uint64]*search{}, searchesByNumber: map[uint64]*search{},
		shardRequests: map[uint64]*shardRequest{}, replicas: map[string]*replica{}, listed: map[string]bool{},
	}
	c.Balancer = newBalancer(c)
	return c
}

// BeginIteration is part of balancer.Balancer.
func (c *Comparator) BeginIteration(now int64) {
	c.now = now
	c.Balancer.BeginIteration(now)
}

// AddEndpoint is part of balancer.Balancer.
func (c *Comparator) AddEndpoint(id string, zone, kind, cell int, status string, units float64, since int64) {
	c.listed[id] = true
	r := c.replicas[id]
	if r == nil {
		r = &replica{}
		c.replicas[id] = r
	}
	r.startedAt = max(r.startedAt, since)
	if status == "healthy" {
		r.drainingSince = 0
	} else if r.drainingSince == 0 {
		r.drainingSince = c.now
	}
	c.Balancer.AddEndpoint(id, zone, kind, cell, status, units, since)
}

// CommitEndpoints is part of balancer.Balancer. It forgets unlisted replicas once they have drained for twice the longer of
// the two grace periods.
func (c *Comparator) CommitEndpoints(how string, revision int64) {
	grace := max(c.active.duration(drainGraceSetting), c.shadow.duration(drainGraceSetting))
	isComplete := how != "Partial" && how != "Error"
	for id, r := range c.replicas {
		if c.listed[id] {
			continue
		}
		if isComplete && r.drainingSince == 0 {
			r.drainingSince = c.now
		}
		if r.drainingSince > 0 && c.now > r.drainingSince+2*grace {
			delete(c.replicas, id)
		}
	}
	clear(c.listed)
	c.Balancer.CommitEndpoints(how, revision)
}

// AddSearch is part of balancer.Balancer.
func (c *Comparator) AddSearch(id uint64, searchType, tenant int, key string, grace int64, number uint64, count int, retry bool) {
	s := &search{id: id, number: number, searchType: searchType, step: firstStep}
	c.searches[id], c.searchesByNumber[number] = s, s
	c.requestTimes = c.appendNow(c.requestTimes)
	c.Balancer.AddSearch(id, searchType, tenant, key, grace, number, count, retry)
}

// AddShardRequest is part of balancer.Balancer.
func (c *Comparator) AddShardRequest(id, number uint64, shard int, weight float64) {
	c.requestTimes = c.appendNow(c.requestTimes)
	if s := c.searchesByNumber[number]; s != nil {
		c.shardRequests[id] = &shardRequest{search: s, weight: weight}
		s.shardRequests = append(s.shardRequests, id)
	}
	c.Balancer.AddShardRequest(id, number, shard, weight)
}

// CancelSearch is part of balancer.Balancer.
func (c *Comparator) CancelSearch(id uint64) {
	c.Balancer.CancelSearch(id)
	c.endSearch(c.searches[id])
}

// RecordAttemptOutcome is part of balancer.Balancer.
func (c *Comparator) RecordAttemptOutcome(id uint64, attempt int, outcome string, wait int64, requestDone bool, report map[string]float64) {
	if r := c.shardRequests[id]; r != nil {
		r.inFlight--
		if outcome == "Ok" && !r.answered && r.search.step == firstStep {
			r.answered = true
			r.search.answeredWeight += r.weight
		}
	}
	c.Balancer.RecordAttemptOutcome(id, attempt, outcome, wait, requestDone, report)
}

// SendAttempt is part of balancer.Actions.
func (c *Comparator) SendAttempt(id uint64, to string, timeout int64) {
	if r := c.shardRequests[id]; r != nil {
		c.compareAttempt(r, c.replicas[to])
		r.attempts++
		r.inFlight++
	}
	c.actions.SendAttempt(id, to, timeout)
}

// AnswerSearch is part of balancer.Actions.
func (c *Comparator) AnswerSearch(id uint64, complete bool) {
	if s := c.searches[id]; s != nil {
		if s.step == firstStep {
			c.compareAnswer(s)
		}
		s.step++
		hasFollowUp := c.active.floatAt(followUpSetting, s.searchType, 0) != 0
		if s.step > firstStep+1 || !hasFollowUp {
			c.endSearch(s)
		}
	}
	c.actions.AnswerSearch(id, complete)
}

// ShedSearch is part of balancer.Actions.
func (c *Comparator) ShedSearch(id uint64, retryIn int64) {
	c.countIf(KindRetryAfter, c.shadow.retryAfter(retryIn) != c.active.retryAfter(retryIn) ||
		c.active.bool(retryAfterSetting) != c.shadow.bool(retryAfterSetting))
	c.endUnanswered(c.searches[id])
	c.actions.ShedSearch(id, retryIn)
}

// FailSearch is part of balancer.Actions.
func (c *Comparator) FailSearch(id uint64) {
	c.endUnanswered(c.searches[id])
	c.actions.FailSearch(id)
}

// CancelAttempt is part of balancer.Actions.
func (c *Comparator) CancelAttempt(id uint64, attempt int) { c.actions.CancelAttempt(id, attempt) }

// SetTimer is part of balancer.Actions.
func (c *Comparator) SetTimer(wait int64, label uint64) { c.actions.SetTimer(wait, label) }

// CancelTimer is part of balancer.Actions.
func (c *Comparator) CancelTimer(label uint64) { c.actions.CancelTimer(label) }

// ProbeReplica is part of balancer.Actions.
func (c *Comparator) ProbeReplica(replica string) { c.actions.ProbeReplica(replica) }

// WatchEndpoints is part of balancer.Actions.
func (c *Comparator) WatchEndpoints() { c.actions.WatchEndpoints() }

// LogMessage is part of balancer.Actions.
func (c *Comparator) LogMessage(text string) { c.actions.LogMessage(text) }

// appendNow appends the time of this iteration. Times that both retry budgets no longer look at are dropped once they
// make up more than half of the list. At maxKeptTimes the oldest time is dropped in any case.
func (c *Comparator) appendNow(times []int64) []int64 {
	window := max(c.active.duration(retryWindowSetting), c.shadow.duration(retryWindowSetting))
	if window == 0 {
		return times
	}
	expired := len(times) - countAfter(times, c.now-window)
	if expired > len(times)/2 || len(times) >= maxKeptTimes {
		times = slices.Clone(times[min(max(expired, 1), len(times)):])
	}
	return append(times, c.now)
}

// endUnanswered ends a search without an answer. The shadow settings might have allowed one, given the shard requests
// that have been answered.
func (c *Comparator) endUnanswered(s *search) {
	if s != nil && s.step == firstStep {
		c.compareAnswer(s)
	}
	c.endSearch(s)
}

func (c *Comparator) endSearch(s *search) {
	if s == nil {
		return
	}
	delete(c.searches, s.id)
	delete(c.searchesByNumber, s.number)
	for _, id := range s.shardRequests {
		delete(c.shardRequests, id)
	}
}
