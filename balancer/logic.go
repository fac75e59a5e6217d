// Package balancer decides for one co-ordinator: which searches wait, how many parts are sent, to whom, what
// is sent again, and when the answer goes out. A protocol makes one with New, hands it events by the calls
// of Coordinator and carries out what it asks by Out; both stand in iface.go. Nothing happens but in such a
// call, and the same calls give the same actions. docs/design.md tells what departs from TOFEC, and when.
package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Times are tenths of a millisecond. What a co-ordinator holds stands in state.go.
const (
	slotsPerReplica = 4    // parts in flight for each listed replica: the design's starting value
	backlogMemory   = 0.99 // weight of the old backlog at an arrival: the paper's backlogMemory factor

	shortWindow           = 40_000    // decay of answer times: ten answers of one replica, yet within a trouble
	longWindow            = 100_000   // decay of answer times where a replica answers less than that: within a trouble
	thinEvidenceRate      = 1e-4      // own answers of a replica under which evidence is thin: one a second
	tieRandomShare        = 0.25      // share of it that is chance: a replica that has healed is met again
	rateWindow            = 30_000    // decay of rates: long enough for a few dozen parts
	minRateAge            = 10_000    // a sum younger than this counts as so old: the first few events show no rate
	fleetWindow           = 20_000    // decay of the common answer time: must follow a slowdown of all within seconds
	shortestLatencyGrowth = 1.0 / 3e6 // rise of the shortest answer time a tenth: e-fold in 5 min, a lucky low fades
	minFleetAnswers       = 8         // answers before a mean is believed: below, one odd part sways it
	minSearchDurations    = 4         // searches of a type before their time is believed: fewer bar none, some go out again
	assumedLatency        = 2_000     // answer time assumed before any is known: a search part of 200 ms

	toleratedLatencyRatio = 2.0  // present / shortest answer time at which the cap begins to shrink: ordinary queueing
	replicaLimitFactor    = 2    // times a replica's part of the slots that it may hold itself: ordinary unevenness
	minLimitShare         = 0.25 // smallest slot cap, of the start: one part a replica keeps every replica measured
	minLimitPerReplica    = 3.0  // parts a replica that the least caps of all together allow: they keep it busy
	minOverloadAnswers    = 30   // answers of late from which slow ones count so: fewer may be one search's own
	overloadExtraShare    = 0.5  // share of the eased extras that still go out then: as good as none with less
	overloadLoadFactor    = 0.8  // ease under which the cap comes down to parts in flight: above them it limits nothing

	slowReplicaTrialInterval = 1_000  // between trials of one replica by all together: half of what two cores do
	minReplicaAnswers        = 0.3    // past answers from which they tell a replica's time: one of the last 12 s
	tailLatencyRatio         = 2.0    // times the usual answer of a part that a search of many takes: it waits for the last
	queueFullLatencyRatio    = 16.0   // times the fleet's answer time that a full replica stands for
	priorWeight              = 2.0    // answers at the fleet's time mixed into a replica's: one slow part proves nothing
	zoneDegradedRatio        = 1.6    // answer time of a zone over the quickest's that makes its way slow: load seldom does
	silenceRatio             = 4.0    // silence over the fleet's answer time that makes a suspect: no ordinary part takes it
	minSilence               = 4_000  // shortest silence that counts: pauses of a few 100 ms are no fault
	minUnanswered            = 2      // parts unanswered meanwhile: a single one may simply be heavy
	restartConnectFailures   = 2      // connects failed in a row that show a restart: one may be chance
	outlierFailures          = 3      // errors or refusals in a row that make a suspect: single ones come on good days
	minStartedShare          = 0.025  // of the shortest answer time: lost sooner, the part was not begun
	maxLostConnections       = 2      // dropped connections, and no answer yet, that make a search suspect: one may be chance
	trialSpacing             = 3_000  // least wait between trials of any: among hundreds down each part would be one
	trialInterval            = 10_000 // wait before a suspect gets a trial part: a second is a short outage

	sampleThreshold    = 64    // holders of a shard beyond which a few drawn ones are looked at first: bounds a turn
	sampleSize         = 16    // so many of them: that none of 16 is idle where half are is one in 65,000
	evictScanThreshold = 1_000 // searches waiting beyond which they are not looked at in each turn: 6 us a look
	evictScanInterval  = 10    // but after this time: a ms is no delay to a client

	hedgeDelayRatio   = 2.5   // age over the fleet's answer time for a second copy: beyond the 95th percentile
	timeoutRatio      = 2     // times that age: a part's time-out where no copy may run beside it
	quickLatencyRatio = 1.4   // answer time over the usual up to which another holder will do: slower makes take so
	quickRetryRatio   = 1.6   // the same, of what went out again, up to which others are no fuller than the first
	minRetryAnswers   = 0.5   // answers from which that is known: one of the last 7 s
	rescueDelayRatio  = 5.5   // age over the fleet's answer time for calling off: ordinary queues take less
	minHedgeDelay     = 1_500 // shortest such age: under it a copy costs more than it brings
	hedgeRecheckDelay = 1_000 // wait before an overdue part is looked at again
	maxHedgedShare    = 0.5   // share of a search's parts that may be copied: more overdue means a heavy search

	slowStartSafetyFactor = 0.8     // of the stated multiple of what a cold replica can do: the rest is for chance
	parkedRecheckDelay    = 200     // wait before parts that no replica may take are looked at again
	answerMargin          = 150     // time kept before a client's limit, beside two ticks: the final answer must not be late
	canaryWindow          = 100_000 // after a fall in which each search sends one part ahead: such come again
	watchRetryMin         = 5_000   // wait before a failed subscription is asked again
	watchRetryMax         = 80_000  // longest such wait, cut to what the rules allow
	windowMargin          = 20      // kept off the windows of rules against rounding
	durationSpread        = 1.4     // spread of a search's time over its mean when asking whether it can still be useful
	quotaBurst            = 20_000  // of a tenant's rate that may come at once: bursts of a few seconds are within its share
	clientTimeoutSlack    = 500     // of a try's time under first tries' that shows what was spent: 50 ms are on the way
	withdrawnSearchTTL    = 10_000  // from a client's leaving to its new try: it comes at once
	retryObjectiveShare   = 0.5     // of the latency target left to a client's new try: its first was shed or came late
	minLateShare          = 0.05    // late share up to which a late answer is not worth going on for
	maxRetryAfter         = 50_000  // longest that a refusing replica's own time to come back is kept to: a trial then shows
	maxGossipWeight       = 3.0     // answers that hearsay weighs at the most: as many own ones replace it
	maxGossipSlowness     = 8.0     // times the usual that is believed by hearsay: more would only be a larger lie
	maxGossipAge          = 300_000 // longest that hearsay counts: a trouble of half a minute ago has often passed
	maxGossipedSpeedup    = 4.0     // times that a heard usual answer time may be under the assumed one
	minGossipedShortest   = 0.4     // of the usual time, under which no heard shortest counts: alone it closes no slots
)

// retryWatch guards against a list service that fails: asked again with growing waits, within the rule's time.
func (c *balancer) retryWatch() {
	wait := min(c.askWait, int64(c.settings.optionalNumber("Safety.AskWithin", watchRetryMax)*3)) // missed lists count after 6 s
	c.askWait = min(2*c.askWait, watchRetryMax)
	c.setTimer(wait+c.rng.Int63n(wait/4+1), timerFunc(c.actions.WatchEndpoints))
}

func (c *balancer) AddSearch(id uint64, qtype, tenant int, key string, grace int64, number uint64, count int,
	retry bool,
) {
	c.backlog = backlogMemory*c.backlog + (1-backlogMemory)*float64(len(c.queue))
	s := &search{id: id, number: number, queryType: qtype, arrivedAt: c.now, clientStart: c.now, step: 1, requestCount: count}
	s.tenant, s.requestBuffer = tenant, make([]shardRequest, 0, count)
	s.effect, s.requests = c.settings.values[c.settings.fieldName("Classes", qtype, "Effect")], make([]*shardRequest, 0, count)
	s.deadline = c.now + grace - 2*c.settings.duration("Tick") - answerMargin
	s.objectiveEnd = c.now + min(c.objectiveFor(s, grace, retry), grace) - c.settings.duration("Tick")
	s.neededWeight = c.settings.listNumber("Specifics.NeedByClass", qtype, 1)
	c.held[id], c.numbers[number] = s, s
	c.longest = max(c.longest, count)
	c.recordForBudget(&c.taken)
	s.overQuota = !retry && c.exceedsQuota(tenant)
	c.queue = append(c.queue, s)
	s.deadlineTimer = c.setTimer(s.deadline-c.now, (*deadlineCallback)(s))
	s.objectiveTimer = c.setTimer(s.objectiveEnd-c.now, (*objectiveCallback)(s))
}

// objectiveFor is how long an answer may take to be worth its full value. A new try has spent part of that: how
// much shows where less of the client's time is left than first tries have. Guards against clients that leave
// early and ask again: such a one will leave after as long again. Harm: a new try of a client that gives less
// time of its own accord counts as one that has spent it.
func (c *balancer) objectiveFor(s *search, grace int64, retry bool) int64 {
	aim := c.settings.duration(c.settings.fieldName("Classes", s.queryType, "Aim"))
	most := c.settings.duration(c.settings.fieldName("Classes", s.queryType, "Deadline"))
	c.tryShare = max(c.tryShare, min(1, float64(grace)/float64(max(1, most, grace))))
	if !retry {
		return aim
	}
	spent := int64(float64(aim) * (1 - retryObjectiveShare))
	if float64(grace) < c.tryShare*float64(most)-clientTimeoutSlack {
		spent = most - grace
	}
	same := func(l withdrawnSearch) bool {
		return l.queryType == s.queryType && l.tenant == s.tenant && l.requestCount == s.requestCount
	}
	if i := slices.IndexFunc(c.left, same); i >= 0 && c.now-c.left[i].withdrawnAt <= withdrawnSearchTTL {
		l := c.left[i]
		c.left = slices.Delete(c.left, i, i+1)
		s.clientStart = l.clientStart
		return min(l.clientStart+aim-c.now, l.withdrawnAt-l.arrivedAt-c.settings.duration("Tick"))
	}
	return aim - spent
}

// Leaving the queue.

func (c *balancer) EndIteration() {
	for i := 0; c.sendWaiting() && i < len(c.queue) && !c.isAtLimit(); {
		s := c.queue[i]
		switch {
		case s.ended:
		case c.cannotMeetDeadline(s):
			c.shed(s)
		case c.hasNoEligibleReplica(s):
			i++
			c.parked = true
			continue
		case c.fullness >= 1 || s.objectiveEnd <= c.now && !c.hasLateValue(s) ||
			(s.arrivedAt < c.now || c.loadFactor() < overloadLoadFactor) && c.estimateCompletion().isLate(s, 0):
			c.shed(s)
		default:
			c.admit(s)
		}
		if i == 0 { // the usual case moves nothing
			c.queue[0], c.queue = nil, c.queue[1:]
		} else {
			c.queue = slices.Delete(c.queue, i, i+1)
		}
	}
	c.evictExpired()
	if c.parked {
		c.parked = false
		c.setTimer(parkedRecheckDelay, timerFunc(func() {}))
	}
}

// hasNoEligibleReplica tells whether parts that a whole answer needs have no replica to go to: such a search stands aside,
// but where less may be answered and answers are quick.
func (c *balancer) hasNoEligibleReplica(s *search) bool {
	can := 0.0
	for _, p := range s.requests {
		if c.canSend(p) {
			can += p.weight
		}
	}
	return can < min(s.neededWeight, s.reachableWeight)-1e-4 && (c.loadFactor() < 1 || !c.isAnswerable(s, can))
}

// cannotMeetDeadline tells whether a search leaves under half a first try's time, and less than its type takes of late,
// or too few of its parts would be answered in useful time, by what own parts at their replicas have taken.
// Guards against clients that come again with next to no time, and shards whose replicas are all overloaded:
// the work would be lost. Harm: what is believed of a type or shard until it is tried again.
func (c *balancer) cannotMeetDeadline(s *search) bool {
	n, total := c.spells[s.queryType].read(c.now, rateWindow)
	first := c.tryShare * float64(c.settings.duration(c.settings.fieldName("Classes", s.queryType, "Deadline")))
	if left := float64(s.deadline - c.now); n >= minSearchDurations && left < min(retryObjectiveShare*first, durationSpread*total/n) {
		return true
	}
	in, thin := 0.0, c.hasThinEvidence()
	for _, p := range s.requests {
		if !thin || c.canMeetDeadline(p) {
			in += p.weight
		}
	}
	return !c.isAnswerable(s, in)
}

func (c *balancer) canMeetDeadline(p *shardRequest) bool {
	end := p.search.objectiveEnd
	if end <= c.now {
		end = p.search.deadline
	}
	return tailLatencyRatio*c.shortestExpectedLatency(p) <= float64(end-c.now)
}

// shortestExpectedLatency is how long a part would take at the quickest of its shard's replicas.
func (c *balancer) shortestExpectedLatency(p *shardRequest) float64 {
	least := math.Inf(1)
	for _, r := range c.holders(p) {
		least = min(least, c.expectedLatency(r))
	}
	return least
}

// expectedLatency is how long a replica takes: by its past answers, or the fleet's where they say too little, and by
// what is still out. After a while it is tried again: by all together, however many, ten times a second.
func (c *balancer) expectedLatency(r *replica) float64 {
	wait := c.fleetLatency()
	if c.usualN < minFleetAnswers { // an assumed time must not shut out what would show the true one
		wait = 0
	}
	if float64(c.now-r.lastSent) > slowReplicaTrialInterval*c.settings.number("Balancers") {
		return wait
	}
	if n, total := r.longLatency.read(c.now, longWindow); n >= minReplicaAnswers {
		wait = math.Exp(total / n)
	}
	for _, t := range r.attempts {
		wait = max(wait, float64(c.now-t.sentAt))
	}
	return wait
}

// effectiveInFlight counts own parts out but silent ones and those at suspects: silence must not stop the others.
func (c *balancer) effectiveInFlight() int {
	return c.flights.count(c.now, c.silenceThreshold(), c.isOutlier)
}

func (c *balancer) isAtLimit() bool {
	slots := c.concurrencyLimit()
	return c.flights.total >= slots && c.effectiveInFlight() >= slots
}

// admit lets a search leave the queue: the needed parts and the extras that the backlog grants.
func (c *balancer) admit(s *search) {
	if s.admittedAt == 0 {
		if s.admittedAt = c.now; len(s.requests) > 1 && c.sendsCanary() {
			able := slices.DeleteFunc(slices.Clone(s.requests), func(p *shardRequest) bool { return !c.canSend(p) })
			if s.awaitsCanary = len(able) > 0; s.awaitsCanary {
				c.enqueueRequest(slices.MinFunc(able, func(p, q *shardRequest) int {
					return cmp.Compare(c.shortestExpectedLatency(p), c.shortestExpectedLatency(q))
				}))
				return
			}
		}
	}
	order := c.order[:0]
	for _, p := range s.requests { // those that can go now come first, then the heavier, ties by chance
		if len(p.attempts) > 0 { // sent ahead, or in its place
			continue
		}
		o := sendCandidate{p, p.weight + 1e-9*c.rng.Float64()}
		if c.canSend(p) {
			o.priority += 2
		}
		// Where no copy may run beside a part, one at a slow replica is work that nothing takes back.
		if c.settings.isEnabled("Permissions.SecondCopies") || c.shortestExpectedLatency(p) <= c.fleetLatency() {
			o.priority++
		}
		order = append(order, o)
	}
	slices.SortFunc(order, func(p, q sendCandidate) int { return cmp.Compare(q.priority, p.priority) })
	// Where evidence is thin nothing waits here, and the backlog says nothing. Slow answers stand in for it:
	// what an answer may lack is an extra then.
	least := s.neededWeight
	if c.hasThinEvidence() && c.usualN >= minOverloadAnswers && c.loadFactor() < overloadLoadFactor {
		least = min(least, c.settings.listNumber("Specifics.ClassFloor", s.queryType, 1)+2e-4)
	}
	have, n := s.completedWeight, 0
	for n < len(order) && have < least-1e-4 {
		have += order[n].weight
		n++
	}
	extras := max(0, len(order)-n-int(c.backlog)) // all that remain while the backlog is under 1
	if least < s.neededWeight {
		extras = min(extras, int(overloadExtraShare*c.loadFactor()*float64(len(order)-n)))
	}
	for i, o := range order[:n+extras] {
		if i < n || o.priority >= 3 { // an extra that would have to wait takes room from parts that are needed
			c.enqueueRequest(o.shardRequest)
		}
		if i >= n && o.queued {
			have += o.weight
		}
	}
	if s.reduced = have < s.neededWeight-1e-4; s.reduced {
		s.reachableWeight = have
	}
	clear(order)
	c.order = order
}

// sendsCanary tells whether replicas have gone down under own sub-requests of late. Guards, by one part of each
// search ahead of its rest, against searches that fell what takes them: with all out, one fells a replica for
// each part before its first loss is told. Covers crashes too. Harm: an answer's time to each search; not
// where copies help a part that is lost.
func (c *balancer) sendsCanary() bool {
	return c.fell > 0 && c.now-c.fell < canaryWindow && !c.settings.isEnabled("Permissions.SecondCopies")
}

func (c *balancer) enqueueRequest(p *shardRequest) {
	if !p.queued {
		p.queued = true
		c.waiting = append(c.waiting, p)
	}
}

// sendWaiting sends parts in turn and tells whether none is left that a free slot would serve. A part that
// no replica may take just now (cold, draining) stands aside: it must not hold up the queue.
func (c *balancer) sendWaiting() bool {
	rest, free := c.waiting[:0], true
	for i, p := range c.waiting {
		if p.search.ended || p.completed || p.lost {
			p.queued = false
			continue
		}
		if c.isAtLimit() {
			rest, free = append(rest, c.waiting[i:]...), false
			break
		}
		if r := c.selectReplica(p); r != nil && c.mayAttempt(p) {
			p.queued = false
			c.send(p, r)
			continue
		}
		c.parked = true
		rest = append(rest, p)
	}
	c.waiting = rest
	return free
}

// concurrencyLimit is the cap of parts in flight: the design's value, less while answers take longer than they can.
func (c *balancer) concurrencyLimit() int {
	n := float64(slotsPerReplica * c.listed)
	least := min(minLimitShare*n, minLimitPerReplica*float64(c.listed)/c.settings.number("Balancers"))
	c.limit = max(1, least, min(n, c.limit))
	return int(c.limit)
}

// loadFactor is 1 while answers take less than toleratedLatencyRatio times the shortest, and falls as they take longer.
func (c *balancer) loadFactor() float64 {
	return min(1, toleratedLatencyRatio*c.shortestLatency()/c.fleetLatency())
}

// adjustLimit moves the cap at each answer: down by how far shortest / present answer time falls short of
// 1/toleratedLatencyRatio, up by a little, so that it settles where parts no longer wait long at the replicas.
func (c *balancer) adjustLimit() {
	ease := c.loadFactor()
	if c.limit += ease - 1 + 1/math.Sqrt(c.limit); ease < overloadLoadFactor && c.hasThinEvidence() {
		c.limit = min(c.limit, float64(max(c.longest, c.effectiveInFlight())))
	}
	c.concurrencyLimit()
}

// fleetLatency is the fleet's answer time now, by the mean of logarithms: single long answers weigh little.
func (c *balancer) fleetLatency() float64 {
	n, total := c.pace.read(c.now, fleetWindow)
	if c.usualAt != c.now || c.usualN != n {
		c.usual, c.usualAt, c.usualN = math.Exp((total+math.Log(c.firstUsual))/(n+1)), c.now, n
		c.usualLog = math.Log(c.usual)
	}
	return c.usual
}

func (c *balancer) shortestLatency() float64 {
	now := c.fleetLatency()
	if c.usualN < minFleetAnswers {
		return now
	}
	if c.bestAt == c.now && c.bestOf == now {
		return c.best
	}
	if c.best *= math.Exp(min(1, float64(c.now-c.bestAt)*shortestLatencyGrowth)); c.best == 0 || now < c.best {
		c.best = now
	}
	c.bestAt, c.bestOf = c.now, now
	return c.best
}

// hasCapacity tells whether a replica may take a part now, sound or not.
func (c *balancer) hasCapacity(r *replica, p *shardRequest) bool {
	out := func(t *attempt) bool { return t.replica == r && !t.ended }
	return c.belowReplicaLimit(r) && c.hasSlowStartCredit(r) && !slices.ContainsFunc(p.attempts, out)
}

// canSend tells whether some replica may take a part now; of many holders without a look at each.
func (c *balancer) canSend(p *shardRequest) bool {
	all := c.holders(p)
	if len(all) <= sampleThreshold {
		return c.selectReplica(p) != nil
	}
	if c.full[p.spot()] || float64(p.search.deadline-c.now) < c.best { // no answer could come: nothing crosses a final one
		return false
	}
	sound, trial, other := false, false, false
	for _, r := range all {
		bad := c.isOutlier(r)
		sound = sound || !bad
		if able := c.hasCapacity(r, p); able && !bad {
			return true
		} else if able {
			other, trial = true, trial || c.mayTrial(r, p)
		}
	}
	can := trial || other && !sound
	c.full[p.spot()] = !can && len(p.attempts) == 0 // for this turn: bounds its time with thousands of searches
	return can
}

// mayTrial tells whether one that is bad, or said to be, may take a part beside sound ones: it may have healed.
func (c *balancer) mayTrial(r *replica, p *shardRequest) bool {
	return c.now >= max(r.nextTrial, c.trialAt) && len(p.attempts) == 0 && p.search.effect == "retryable" &&
		(c.isOutlier(r) || p.search.neededWeight < p.search.reachableWeight-1e-4)
}

// selectReplica chooses a part's replica: fewest own calls out, one not tried yet if there is; ties by chance, or by
// past answers where evidence is thin. Of many, a few drawn are looked at first: an idle one has the fewest.
func (c *balancer) selectReplica(p *shardRequest) *replica {
	if c.full[p.spot()] || float64(p.search.deadline-c.now) < c.best {
		return nil
	}
	all := c.holders(p)
	if n := len(all); n > sampleThreshold {
		from := c.rng.Intn(n - sampleSize)
		if r, load := c.selectAmong(p, all[from:from+sampleSize]); load < 1 && load >= 0 {
			return r
		}
	}
	r, _ := c.selectAmong(p, all)
	if r == nil && len(p.attempts) == 0 {
		c.full[p.spot()] = true
	}
	return r
}

// selectAmong picks among some of a shard's holders, with how much that one has out.
func (c *balancer) selectAmong(p *shardRequest, all []*replica) (best *replica, least float64) {
	least = math.Inf(1)
	ties, sound, thin := 0, false, c.hasThinEvidence()
	for _, r := range all {
		bad, doubt := c.isOutlier(r), c.isGossipedOutlier(r)
		sound = sound || !bad
		if !c.hasCapacity(r, p) || c.now < c.doubtsTo && !c.isWarmedUp(r) && c.isSparedByGossip(p) {
			continue
		}
		load := float64(r.batchesInFlight)
		if thin {
			load += 1 - 1/(1+c.longTermSlowness(r)*(1+tieRandomShare*c.rng.Float64()))
		}
		if bad || doubt {
			// Guards against replicas that take parts and answer none, or refuse: used only where no sound one
			// holds the shard, full or not (heard of only: or all are full), but for trial parts: it may heal.
			// On hearsay alone, a search has to have a part to spare for it.
			if load += 1e5; bad {
				load += 1e6
			}
			if c.mayTrial(r, p) {
				load = -1
			}
		} else if c.isZoneDegraded(r.zone) && (c.now < c.ways[r.zone].nextTrial || p.search.neededWeight >= p.search.reachableWeight-1e-4) {
			load += 1e5 // but for a trial part where a search has one to spare
		}
		if slices.ContainsFunc(p.attempts, func(t *attempt) bool { return t.replica == r }) {
			load += 1e4
		}
		switch {
		case load < least:
			best, least, ties = r, load, 1
		case load == least:
			if ties++; c.rng.Intn(ties) == 0 {
				best = r
			}
		}
	}
	if sound && least >= 1e6 {
		best = nil
	}
	return best, least
}

// belowReplicaLimit guards against piling up on the one sound holder of a shard: a replica's own part of the slots
// shrinks with its answers as the cap does with all answers. Parts beyond it stand aside, as do searches that
// need them. With all its parts silent one more may go: it shows whether it is slow or a connection was lost.
func (c *balancer) belowReplicaLimit(r *replica) bool {
	best, n := c.shortestLatency(), len(r.attempts)
	if n == 0 || c.isGossipedOutlier(r) {
		return n == 0
	}
	share := min(1, toleratedLatencyRatio*best/(c.fleetLatency()*c.slowness(r)))
	return float64(n) < max(1, replicaLimitFactor*slotsPerReplica*share) ||
		float64(c.now-r.attempts[n-1].sentAt) > c.silenceThreshold()
}

// hasThinEvidence tells whether a replica answers this co-ordinator so seldom that own parts out and the start's cap say
// nothing. Guards against slow replicas that look idle and against overload that no one co-ordinator sees.
func (c *balancer) hasThinEvidence() bool {
	return c.done.rate(c.now, rateWindow, minRateAge) < thinEvidenceRate*float64(c.listed)
}

// longTermSlowness is a replica's answer time over the fleet's, in a longer memory.
func (c *balancer) longTermSlowness(r *replica) float64 {
	n, total := r.longLatency.read(c.now, longWindow)
	c.fleetLatency()
	more, slower := c.gossipedSum(r.gossipedLong, longWindow, n)
	return math.Exp((total - n*c.usualLog + slower) / (n + more + 1))
}

// slowness is a replica's answer time over the fleet's, parts that are still out counted by their age.
func (c *balancer) slowness(r *replica) float64 {
	n, total := r.shortLatency.read(c.now, shortWindow)
	c.fleetLatency()
	common := c.usualLog
	more, slower := c.gossipedSum(r.gossipedShort, shortWindow, n)
	for _, t := range r.attempts {
		if age := float64(c.now - t.sentAt); age > c.usual {
			n, total = n+1, total+math.Log(age)
		}
	}
	return math.Exp((total+slower+(more+priorWeight)*common)/(n+more+priorWeight) - common)
}

// isZoneDegraded guards against a slow or lossy way to a zone, or a zone slow as a whole: its answers take far longer
// than the quickest zone's. One replica shows too little, and it is not its fault: such replicas are no
// suspects, they come after the others. Harm: a zone slow from own load alone is spared by crossing.
func (c *balancer) isZoneDegraded(zone int) bool {
	if len(c.ways) < 2 {
		return false
	}
	own, least := 0.0, math.Inf(1)
	c.fleetLatency()
	for i := range c.ways {
		n, total := c.ways[i].latency.read(c.now, shortWindow)
		more, slower := c.gossipedSum(c.ways[i].gossiped, shortWindow, n)
		mean := (total + slower + (more+priorWeight)*c.usualLog) / (n + more + priorWeight)
		if least = min(least, mean); i == zone {
			own = mean
		}
	}
	return own-least > math.Log(zoneDegradedRatio)
}

// isSilent tells whether a part is out so long that its answer may never come, whatever its replica answers.
func (c *balancer) isSilent(t *attempt) bool {
	return c.isOutlier(t.replica) || float64(c.now-t.sentAt) > c.silenceThreshold()
}

func (c *balancer) silenceThreshold() float64 { return max(minSilence, silenceRatio*c.fleetLatency()) }

func (c *balancer) isOutlier(r *replica) bool {
	if r.connectFailures > 0 || r.consecutiveFailures >= outlierFailures || c.now < r.retryAfter { // retryAfter: it has said so itself
		return true
	}
	return (r.unanswered >= minUnanswered || r.unanswered > 0 && c.isGossipedOutlier(r)) && float64(c.now-r.silentSince) > c.silenceThreshold()
}

// hasSlowStartCredit guards against pushing over a replica that has just started: it gets that share of the mean own
// parts a replica answers which it can surely do by now. The means of all co-ordinators add up to what one
// really answers, so all together keep to it, however many; credit starts by chance, not at once nor never.
func (c *balancer) hasSlowStartCredit(r *replica) bool {
	if c.isWarmedUp(r) {
		return true
	}
	if r.slowStartUpdatedAt < c.now {
		from := c.settings.optionalNumber("Safety.ColdFrom", 0)
		can := from + (1-from)*float64(max(0, c.now-r.startedAt))/float64(c.settings.duration("Safety.Cold"))
		mean := c.done.rate(c.now, rateWindow, minRateAge) / float64(max(1, c.listed))
		more := slowStartSafetyFactor * c.settings.optionalNumber("Safety.FallMultiple", 1) * can * mean * float64(c.now-r.slowStartUpdatedAt)
		r.slowStartCredit, r.slowStartUpdatedAt = min(1, r.slowStartCredit+more), c.now
	}
	return r.slowStartCredit >= 1
}

// mayAttempt holds the rules on sending a part: how often, when a repeat is harmless, and the stated budget.
func (c *balancer) mayAttempt(p *shardRequest) bool {
	span := c.settings.duration("Safety.LookBack")
	if len(p.attempts) == 0 || span == 0 {
		return len(p.attempts) == 0 || c.mayRepeat(p)
	}
	c.taken, c.further = dropBefore(c.taken, c.now-span+windowMargin), dropBefore(c.further, c.now-span-windowMargin)
	room := c.settings.optionalNumber("Safety.ExtraFloor", 0) + c.settings.optionalNumber("Safety.FurtherRatio", 0)*float64(len(c.taken))
	return c.mayRepeat(p) && float64(len(c.further)+1) <= room
}

// mayRepeat tells whether a further sub-request is allowed and harmless.
func (c *balancer) mayRepeat(p *shardRequest) bool {
	effect, more := p.search.effect, len(p.attempts) < c.maxAttempts()
	for _, t := range p.attempts {
		if !t.mayHaveRun && t.ended || effect == "retryable" {
			continue
		}
		window := c.settings.duration(c.settings.fieldName("Classes", p.search.queryType, "RepeatWindow"))
		if effect != "dedup" || c.now-t.sentAt > window-windowMargin {
			return false
		}
	}
	return more
}

func (c *balancer) send(p *shardRequest, r *replica) {
	t := p.newAttempt()
	t.request, t.replica, t.index, t.sentAt, t.holdsSlot = p, r, len(p.attempts), c.now, true
	if t.index > 0 {
		c.recordForBudget(&c.further)
		p.search.extraAttempts++
	}
	if c.isOutlier(r) || c.isGossipedOutlier(r) {
		r.nextTrial, c.trialAt = c.now+trialInterval, c.now+trialSpacing
	} else if c.isZoneDegraded(r.zone) {
		c.ways[r.zone].nextTrial = c.now + trialInterval
	}
	r.slowStartCredit--
	r.lastSent = c.now
	if r.currentBatchAt != c.now || r.currentBatch == nil || r.currentBatch.size >= int(c.settings.optionalNumber("Specifics.PerCall", 1)) {
		r.currentBatch, r.currentBatchAt = &t.ownBatch, c.now
		r.batchesInFlight++
	}
	t.batch = r.currentBatch
	t.batch.size++
	t.batch.inFlight++
	if r.unanswered == 0 {
		r.silentSince = c.now
	}
	r.unanswered++
	p.attempts, r.attempts = append(p.attempts, t), append(r.attempts, t)
	c.flights.recordSent(t)
	patience := p.search.deadline - c.now + answerMargin
	if c.settings.isEnabled("Permissions.SecondCopies") || c.settings.isEnabled("Permissions.Cancelling") {
		t.hedgeTimer = c.setTimer(c.hedgeDelay(), (*hedgeCallback)(t))
	} else if !c.settings.isEnabled("Permissions.Cancelling") && len(p.attempts) < c.maxAttempts() && p.search.effect != "fragile" {
		patience = min(patience, timeoutRatio*c.hedgeDelay())
	}
	c.actions.SendAttempt(p.id, r.id, patience)
	c.next[p.id<<8|uint64(t.index)] = t
}

// isQuickAndIdle tells whether a replica has nothing of ours out and would answer soon. It has to be known as no
// slower than usual, until what went out again was answered quickly of late: then a little slower, or not
// known, will do. Guards against parts that stay where nothing answers, since the other holder is slower than
// the mean by its make alone. Harm: until enough shows that those others are as full.
func (c *balancer) isQuickAndIdle(r *replica) bool {
	if n, total := c.again.read(c.now, longWindow); n < minRetryAnswers || total > n*math.Log(quickRetryRatio) {
		n, total = r.longLatency.read(c.now, longWindow)
		return n >= minReplicaAnswers && total/n <= c.usualLog && len(r.attempts) == 0
	}
	return c.longTermSlowness(r) <= quickLatencyRatio && len(r.attempts) == 0
}

func (c *balancer) hedgeDelay() int64 {
	return int64(max(minHedgeDelay, hedgeDelayRatio*c.fleetLatency()))
}

// hedgeAttempt guards against every kind of silence or slowness of one replica, whatever its cause: a part that
// takes far longer than parts do now gets a second copy elsewhere. Harm: where the part itself is heavy.
func (c *balancer) hedgeAttempt(t *attempt) {
	p := t.request
	if t.ended || p.search.ended || p.completed || p.lost {
		return
	}
	alone, age := !c.settings.isEnabled("Permissions.SecondCopies"), float64(c.now-t.sentAt)
	if !alone {
		c.ways[t.replica.zone].latency.add(c.now, shortWindow, math.Log(age))
	}
	r := c.selectReplica(p)
	lacking, heavy := c.completionOutlook(p.search)
	if alone && lacking && !heavy && !p.search.reduced && c.loadFactor() >= overloadLoadFactor {
		c.sendWithheld(p.search)
	}
	if r == nil || c.isOutlier(r) || !c.mayAttempt(p) || p.queued || !lacking ||
		!c.isOutlier(t.replica) && (len(c.queue) > 0 && !c.isSilent(t) || heavy) ||
		alone && (age < rescueDelayRatio*c.fleetLatency() || !c.isQuickAndIdle(r) || c.loadFactor() < overloadLoadFactor) {
		t.hedgeTimer = c.setTimer(hedgeRecheckDelay, (*hedgeCallback)(t))
		return
	}
	if alone { // it goes out again once its end is told
		c.cancelAttempt(t)
		return
	}
	c.send(p, r)
}

// completionOutlook tells whether the parts in and those out on time fall completionOutlook of a whole answer, and whether so many
// are long out, or were copied, that it is the search that is heavy and not a replica that is slow.
func (c *balancer) completionOutlook(s *search) (lacking, heavy bool) {
	have, long, sent := s.completedWeight, 0.0, 0.0
	for _, p := range s.requests {
		onTime := func(t *attempt) bool {
			return t.holdsSlot && c.now-t.sentAt < c.hedgeDelay() && !c.isOutlier(t.replica)
		}
		switch {
		case len(p.attempts) == 0:
			continue
		case !p.completed && slices.ContainsFunc(p.attempts, onTime):
			have += p.weight
		case !p.completed && c.now-p.attempts[0].sentAt >= c.hedgeDelay() && !c.isOutlier(p.attempts[0].replica):
			long++
		}
		sent++
	}
	return have < s.neededWeight-1e-4, max(long, float64(s.extraAttempts+1)) > math.Ceil(maxHedgedShare*sent)
}

// attemptEnded is what every sub-request leaves behind for its outcome.
func (c *balancer) attemptEnded(t *attempt, ending string, wait, again int64) {
	c.releaseSlot(t)
	c.flights.recheck(t.replica)
	t.ended = true
	p, r, s := t.request, t.replica, t.request.search
	pace := math.Log(float64(max(1, wait)))
	switch ending {
	case "Ok":
		if r.connectFailures >= restartConnectFailures && c.isWarmedUp(r) {
			r.startedAt, r.slowStartCredit, r.slowStartUpdatedAt = c.now, c.rng.Float64(), c.now // back before the list says so
		}
		t.mayHaveRun, r.consecutiveFailures, r.connectFailures, r.gossipedOutlierUntil, r.retryAfter, r.lastAnswer = true, 0, 0, 0, 0, c.now
		r.unanswered, r.silentSince = len(r.attempts), c.now
		c.flights.recordSilence(r)
		r.recordLatency(c.now, pace)
		c.ways[r.zone].latency.add(c.now, shortWindow, pace)
		c.pace.add(c.now, fleetWindow, pace)
		c.adjustLimit()
		c.done.add(c.now, rateWindow, 1)
		c.recordRetryLatency(t, pace)
		if !p.completed && !p.lost && !s.ended {
			first := !s.hasAnswer
			p.completed, s.hasAnswer = true, true
			s.completedWeight += p.weight
			for _, o := range p.attempts {
				c.cancelAttempt(o)
			}
			c.answerIfComplete(s)
			if s.awaitsCanary {
				if s.awaitsCanary = false; !s.ended && s.step == 1 {
					c.admit(s)
				}
			}
			for i := 0; first && i < len(s.requests); i++ { // any later one has left none to wait for it
				c.retryLost(s.requests[i])
			}
		}
		return
	case "Canceled", "TimedOut":
		t.mayHaveRun = true
		if ending == "TimedOut" { // what was called off was measured then
			r.recordLatency(c.now, pace)
		}
	case "Failed", "QueueFull":
		if ending == "QueueFull" {
			r.recordLatency(c.now, math.Log(queueFullLatencyRatio*c.fleetLatency()))
		}
		t.mayHaveRun, r.retryAfter = ending == "Failed", max(r.retryAfter, c.now+min(maxRetryAfter, again))
		c.flights.recheckAt(r, r.retryAfter)
		r.nextTrial, r.consecutiveFailures = max(r.nextTrial, r.retryAfter), r.consecutiveFailures+1
	case "ConnectError":
		r.connectFailures, c.fell = r.connectFailures+r.countConnectionLoss(c.now), c.now
	case "ResetByPeer": // guards against lost connections: their replica has not died for that
		t.mayHaveRun, r.consecutiveFailures = true, r.consecutiveFailures+r.countConnectionLoss(c.now)
		if float64(wait) > minStartedShare*c.shortestLatency() { // sooner is the way's doing, not the part's
			s.lostConnections, c.fell = s.lostConnections+1, c.now
		}
	}
	if c.isOutlier(r) && r.nextTrial <= c.now {
		r.nextTrial = c.now + trialInterval
	}
	c.retryLost(p)
}

func (c *balancer) retryLost(p *shardRequest) {
	s := p.search
	if s.ended || p.completed || p.lost || p.queued || len(p.attempts) == 0 || p.isInFlight() {
		return
	}
	// Guards against a search that fells whatever takes it: lost connections and never an answer. A lost part
	// goes out again only after another of the search has answered. Harm: in a crash of many replicas a
	// search that lost two parts before its first answer is shed.
	switch fells := s.lostConnections > 0 && !s.hasAnswer; {
	case fells && (s.lostConnections >= maxLostConnections || s.awaitsCanary):
		c.fail(s)
		return
	case fells && s.isInFlight():
		return
	case c.mayRepeat(p):
		c.enqueueRequest(p)
		return
	}
	p.lost = true
	s.reachableWeight -= p.weight
	c.sendWithheld(s)
	if c.answerIfComplete(s); !s.ended && s.reachableWeight < s.neededWeight-1e-4 && !c.isAnswerable(s, s.reachableWeight) {
		c.fail(s)
	}
}

// sendWithheld sends a part that was held back, at the quickest replica, in the place of one that is lost or late.
func (c *balancer) sendWithheld(s *search) {
	sent := func(q *shardRequest) bool { return len(q.attempts) > 0 || q.queued || q.lost }
	if held := slices.DeleteFunc(slices.Clone(s.requests), sent); len(held) > 0 {
		q := slices.MinFunc(held, func(p, q *shardRequest) int {
			return cmp.Compare(c.shortestExpectedLatency(p), c.shortestExpectedLatency(q))
		})
		if c.enqueueRequest(q); s.reduced {
			s.reachableWeight += q.weight
		}
	}
}

func (c *balancer) cancelAttempt(t *attempt) {
	if !t.holdsSlot || !c.settings.isEnabled("Permissions.Cancelling") {
		return
	}
	if age := float64(c.now - t.sentAt); age > c.fleetLatency() {
		pace := math.Log(age)
		c.recordRetryLatency(t, pace)
		t.replica.recordLatency(c.now, pace)
	}
	c.releaseSlot(t)
	c.actions.CancelAttempt(t.request.id, t.index)
}

// isAnswerable tells whether an answer may go out from so much, marked whole or not: never under the least share.
func (c *balancer) isAnswerable(s *search, have float64) bool {
	least := c.settings.listNumber("Specifics.ClassFloor", s.queryType, 1)
	if s.step == 2 && least >= c.settings.listNumber("Specifics.NeedByClass", s.queryType, 1) {
		least = 1
	}
	return have > 0 && have >= min(least+1e-6, s.neededWeight-1e-6)
}

// answerIfComplete answers as soon as enough is in, or when all that can come has come.
func (c *balancer) answerIfComplete(s *search) {
	if s.completedWeight >= s.neededWeight-1e-6 || s.reachableWeight < s.neededWeight-1e-4 && s.completedWeight >= s.reachableWeight-1e-6 && c.isAnswerable(s, s.completedWeight) {
		c.answer(s)
	}
}

func (c *balancer) answer(s *search) {
	whole := s.completedWeight >= s.neededWeight-1e-6
	if s.step == 1 {
		s.firstStepComplete = whole
		c.recordSearchDuration(s)
	}
	c.actions.AnswerSearch(s.id, whole && s.firstStepComplete)
	if s.step == 1 && c.settings.listNumber("Specifics.FollowUp", s.queryType, 0) > 0 {
		c.cancelStep(s)
		s.step, s.requests, s.completedWeight, s.reachableWeight, s.neededWeight, s.extraAttempts = 2, nil, 0, 0, 1, 0
		return
	}
	c.endSearch(s)
}

// fail ends a search at once with the best that is true of it, shedding where asking again harms nothing.
func (c *balancer) fail(s *search) {
	if !s.ended && c.isAnswerable(s, s.completedWeight) {
		c.answer(s)
	}
	if !s.ended && s.admittedAt > 0 && s.step == 1 {
		c.recordSearchDuration(s) // took this long at least: answers alone would flatter
	}
	if !s.ended && c.isRepeatable(s) {
		c.shed(s)
	} else if !s.ended {
		c.actions.FailSearch(s.id)
		c.endSearch(s)
	}
}

func (c *balancer) shed(s *search) {
	advice := int64(0)
	if c.settings.isEnabled("Permissions.RetryAfter") {
		wait := c.behind / c.answerRate()
		if c.fullness >= 1 { // room comes as answers go out
			wait = max(wait, c.fleetLatency())
		}
		advice = min(int64(wait), c.settings.duration("Permissions.MaxRetryAfter"))
	}
	c.actions.ShedSearch(s.id, advice)
	c.endSearch(s)
}

// objectiveReached looks at a search whose latency target ends: an answer short of whole goes out where the type
// allows one, and a search that is worth nothing late makes room.
func (c *balancer) objectiveReached(s *search) {
	if !s.ended && c.isAnswerable(s, s.completedWeight) {
		c.answer(s)
	} else if !s.ended && !c.hasLateValue(s) {
		c.fail(s)
	}
}

// Shedding. It acts while searches wait for a slot, and on arrival while answers are slow.

// answerRate is how many parts are answered in a tenth; while rates are young, by Little's law.
func (c *balancer) answerRate() float64 {
	return max(c.done.rate(c.now, rateWindow, minRateAge), float64(c.effectiveInFlight())/c.fleetLatency(), 1e-4)
}

// estimateCompletion gives what tells whether a search with so many parts before it would be answered after its target.
// It holds while no part is sent or lands: what a turn asks of each waiting search is worked out once.
func (c *balancer) estimateCompletion() completionEstimate {
	n, total := c.spell.read(c.now, rateWindow)
	return completionEstimate{float64(c.now), c.answerRate(), durationSpread * total / (n + 1)}
}

func (l completionEstimate) isLate(s *search, ahead float64) bool {
	return l.now+ahead/l.answerRate+l.searchDuration > float64(s.objectiveEnd)
}

// evictExpired guards against overload: what cannot be answered in useful time, or held, is shed while its client
// can still ask again, beyond a tenant's share first. Harm: a wait judged too long sheds needlessly.
func (c *balancer) evictExpired() {
	if len(c.queue) > evictScanThreshold && c.now < c.trimmed+evictScanInterval {
		return
	}
	c.trimmed = c.now
	ahead, over := len(c.waiting), 0
	if len(c.queue) > 0 {
		late := c.estimateCompletion()
		for _, s := range c.queue {
			if !s.ended && (s.overQuota || c.fullness >= 1 || late.isLate(s, float64(ahead))) {
				c.shed(s)
			}
			if s.ended {
				over++
			} else {
				ahead += len(s.requests)
			}
		}
	}
	if c.behind = float64(ahead); over > 0 {
		c.queue = slices.DeleteFunc(c.queue, func(s *search) bool { return s.ended })
	}
}

// exceedsQuota takes one of a tenant's share, a bucket filled at this part of its rate; true where none was left.
func (c *balancer) exceedsQuota(tenant int) bool {
	quota := c.settings.optionalNumber(c.settings.fieldName("Tenants", tenant, "QuotaPerS"), 0) / c.settings.number("Balancers") / 10_000
	if tenant >= len(c.tenants) || quota == 0 {
		return false
	}
	b := &c.tenants[tenant]
	b.tokens = min(b.tokens+quota*float64(c.now-b.updatedAt), 1+quota*quotaBurst)
	b.updatedAt = c.now
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// ImportObservation takes a heard belief in, in the place of the one before. Guards against a start that knows nothing,
// and against peers that are wrong: hearsay only takes from a replica, weighs maxGossipWeight answers at the most,
// gives way to own ones, and fades. A replica said to be bad comes after the others, with one part at a time,
// until it answers here: no peer can take it away.
func (c *balancer) ImportObservation(h GossipedObservation) {
	take := func(t DecayingMean) gossipedLatency {
		return gossipedLatency{min(maxGossipWeight, t.Weight), max(0, min(math.Log(maxGossipSlowness), t.Mean)), c.now}
	}
	switch r := c.fleet[h.Replica]; {
	case h.Scope == ScopeFleet && h.FleetLatency > 0:
		c.firstUsual, c.usualAt = max(assumedLatency/maxGossipedSpeedup, min(assumedLatency, h.FleetLatency)), 0 // longer would bar copies
		if c.best == 0 && h.ShortestLatency > 0 {
			c.best, c.bestAt = min(c.fleetLatency(), max(h.ShortestLatency, minGossipedShortest*c.fleetLatency())), c.now
		}
	case h.Scope == ScopeZone && h.Zone >= 0 && h.Zone < len(c.ways):
		c.ways[h.Zone].gossiped = take(h.ShortWindow)
	case h.Scope == ScopeReplica && r != nil && r.startedAt == h.ReplicaStart:
		r.gossipedShort, r.gossipedLong, r.gossipedOutlierUntil = take(h.ShortWindow), take(h.LongWindow), 0
		if n, _ := r.longLatency.read(c.now, longWindow); h.Outlier && n < 1 {
			r.gossipedOutlierUntil = c.now + min(maxGossipAge, h.OutlierDuration)
			c.doubtsTo = max(c.doubtsTo, r.gossipedOutlierUntil)
			r.nextTrial = max(r.nextTrial, c.now+c.rng.Int63n(trialInterval)) // not all learners' trials at once
		}
		c.flights.recheckAt(r, r.gossipedOutlierUntil)
	}
}

// isSparedByGossip passes a cold replica over by chance, as often as hearsay keeps parts from other holders of the
// shard: what it takes from those must not push a cold one.
func (c *balancer) isSparedByGossip(p *shardRequest) bool {
	all := c.holders(p)
	return slices.ContainsFunc(all[c.rng.Intn(len(all)):][:1], c.isGossipedOutlier)
}
