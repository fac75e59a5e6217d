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
	memory          = 0.99 // weight of the old backlog at an arrival: the paper's memory factor

	paceSpan   = 40_000    // decay of answer times: ten answers of one replica, yet within a trouble
	pastSpan   = 100_000   // decay of answer times where a replica answers less than that: within a trouble
	thinRate   = 1e-4      // own answers of a replica under which evidence is thin: one a second
	tieChance  = 0.25      // share of it that is chance: a replica that has healed is met again
	rateSpan   = 30_000    // decay of rates: long enough for a few dozen parts
	youngSpan  = 10_000    // a sum younger than this counts as so old: the first few events show no rate
	fleetSpan  = 20_000    // decay of the common answer time: must follow a slowdown of all within seconds
	bestCreep  = 1.0 / 3e6 // rise of the shortest answer time a tenth: e-fold in 5 min, a lucky low fades
	fewAnswers = 8         // answers before a mean is believed: below, one odd part sways it
	fewSpells  = 4         // searches of a type before their time is believed: fewer bar none, some go out again
	firstPace  = 2_000     // answer time assumed before any is known: a search part of 200 ms

	slackRatio  = 2.0  // present / shortest answer time at which the cap begins to shrink: ordinary queueing
	oneReplica  = 2    // times a replica's part of the slots that it may hold itself: ordinary unevenness
	leastShare  = 0.25 // smallest slot cap, of the start: one part a replica keeps every replica measured
	leastAll    = 3.0  // parts a replica that the least caps of all together allow: they keep it busy
	sureAnswers = 30   // answers of late from which slow ones count so: fewer may be one search's own
	strainExtra = 0.5  // share of the eased extras that still go out then: as good as none with less
	strain      = 0.8  // ease under which the cap comes down to parts in flight: above them it limits nothing

	trialAll    = 1_000  // between trials of one replica by all together: half of what two cores do
	seenLeast   = 0.3    // past answers from which they tell a replica's time: one of the last 12 s
	tailRatio   = 2.0    // times the usual answer of a part that a search of many takes: it waits for the last
	fullRatio   = 16.0   // times the fleet's answer time that a full replica stands for
	priorParts  = 2.0    // answers at the fleet's time mixed into a replica's: one slow part proves nothing
	awayRatio   = 1.6    // answer time of a zone over the quickest's that makes its way slow: load seldom does
	quietRatio  = 4.0    // silence over the fleet's answer time that makes a suspect: no ordinary part takes it
	quietLeast  = 4_000  // shortest silence that counts: pauses of a few 100 ms are no fault
	quietTries  = 2      // parts unanswered meanwhile: a single one may simply be heavy
	restartSign = 2      // connects failed in a row that show a restart: one may be chance
	strikeOut   = 3      // errors or refusals in a row that make a suspect: single ones come on good days
	begunLeast  = 0.025  // of the shortest answer time: lost sooner, the part was not begun
	lostMost    = 2      // dropped connections, and no answer yet, that make a search suspect: one may be chance
	trialEach   = 3_000  // least wait between trials of any: among hundreds down each part would be one
	trialWait   = 10_000 // wait before a suspect gets a trial part: a second is a short outage

	manyHolders = 64    // holders of a shard beyond which a few drawn ones are looked at first: bounds a turn
	lookFirst   = 16    // so many of them: that none of 16 is idle where half are is one in 65,000
	trimMany    = 1_000 // searches waiting beyond which they are not looked at in each turn: 6 us a look
	trimEach    = 10    // but after this time: a ms is no delay to a client

	copyRatio   = 2.5   // age over the fleet's answer time for a second copy: beyond the 95th percentile
	aloneRatio  = 2     // times that age: a part's time-out where no copy may run beside it
	quickRatio  = 1.4   // answer time over the usual up to which another holder will do: slower makes take so
	againRatio  = 1.6   // the same, of what went out again, up to which others are no fuller than the first
	againLeast  = 0.5   // answers from which that is known: one of the last 7 s
	rescueRatio = 5.5   // age over the fleet's answer time for calling off: ordinary queues take less
	copyLeast   = 1_500 // shortest such age: under it a copy costs more than it brings
	copyAgain   = 1_000 // wait before an overdue part is looked at again
	copyParts   = 0.5   // share of a search's parts that may be copied: more overdue means a heavy search

	coldPart  = 0.8     // of the stated multiple of what a cold replica can do: the rest is for chance
	parkLook  = 200     // wait before parts that no replica may take are looked at again
	answerPad = 150     // time kept before a client's limit, beside two ticks: the final answer must not be late
	fellSpan  = 100_000 // after a fall in which each search sends one part ahead: such come again
	askFirst  = 5_000   // wait before a failed subscription is asked again
	askMost   = 80_000  // longest such wait, cut to what the rules allow
	windowPad = 20      // kept off the windows of rules against rounding
	usefulPad = 1.4     // spread of a search's time over its mean when asking whether it can still be useful
	shareSpan = 20_000  // of a tenant's rate that may come at once: bursts of a few seconds are within its share
	trySlack  = 500     // of a try's time under first tries' that shows what was spent: 50 ms are on the way
	leaveSpan = 10_000  // from a client's leaving to its new try: it comes at once
	retryLeft = 0.5     // of the latency target left to a client's new try: its first was shed or came late
	lateWorth = 0.05    // late share up to which a late answer is not worth going on for
	restMost  = 50_000  // longest that a refusing replica's own time to come back is kept to: a trial then shows
	heardMost = 3.0     // answers that hearsay weighs at the most: as many own ones replace it
	heardSlow = 8.0     // times the usual that is believed by hearsay: more would only be a larger lie
	heardSpan = 300_000 // longest that hearsay counts: a trouble of half a minute ago has often passed
	heardSway = 4.0     // times that a heard usual answer time may be under the assumed one
	heardBest = 0.4     // of the usual time, under which no heard shortest counts: alone it closes no slots
)

// askAgain guards against a list service that fails: asked again with growing waits, within the rule's time.
func (c *coordinator) askAgain() {
	wait := min(c.askWait, int64(c.facts.opt("Safety.AskWithin", askMost)*3)) // missed lists count after 6 s
	c.askWait = min(2*c.askWait, askMost)
	c.after(wait+c.chance.Int63n(wait/4+1), doing(c.out.WatchEndpoints))
}

func (c *coordinator) AddSearch(id uint64, qtype, tenant int, key string, grace int64, number uint64, count int,
	retry bool,
) {
	c.backlog = memory*c.backlog + (1-memory)*float64(len(c.queue))
	s := &search{id: id, number: number, qtype: qtype, came: c.now, first: c.now, step: 1, count: count}
	s.tenant, s.slab = tenant, make([]part, 0, count)
	s.effect, s.parts = c.facts.text[c.facts.of("Classes", qtype, "Effect")], make([]*part, 0, count)
	s.due = c.now + grace - 2*c.facts.span("Tick") - answerPad
	s.useful = c.now + min(c.usefulFor(s, grace, retry), grace) - c.facts.span("Tick")
	s.need = c.facts.nth("Specifics.NeedByClass", qtype, 1)
	c.held[id], c.numbers[number] = s, s
	c.longest = max(c.longest, count)
	c.count(&c.taken)
	s.beyond = !retry && c.beyond(tenant)
	c.queue = append(c.queue, s)
	s.dueWake = c.after(s.due-c.now, (*atDue)(s))
	s.usefulWake = c.after(s.useful-c.now, (*atUse)(s))
}

// usefulFor is how long an answer may take to be worth its full value. A new try has spent part of that: how
// much shows where less of the client's time is left than first tries have. Guards against clients that leave
// early and ask again: such a one will leave after as long again. Harm: a new try of a client that gives less
// time of its own accord counts as one that has spent it.
func (c *coordinator) usefulFor(s *search, grace int64, retry bool) int64 {
	aim := c.facts.span(c.facts.of("Classes", s.qtype, "Aim"))
	most := c.facts.span(c.facts.of("Classes", s.qtype, "Deadline"))
	c.tryShare = max(c.tryShare, min(1, float64(grace)/float64(max(1, most, grace))))
	if !retry {
		return aim
	}
	spent := int64(float64(aim) * (1 - retryLeft))
	if float64(grace) < c.tryShare*float64(most)-trySlack {
		spent = most - grace
	}
	same := func(l leaver) bool { return l.qtype == s.qtype && l.tenant == s.tenant && l.count == s.count }
	if i := slices.IndexFunc(c.left, same); i >= 0 && c.now-c.left[i].at <= leaveSpan {
		l := c.left[i]
		c.left = slices.Delete(c.left, i, i+1)
		s.first = l.first
		return min(l.first+aim-c.now, l.at-l.came-c.facts.span("Tick"))
	}
	return aim - spent
}

// Leaving the queue.

func (c *coordinator) EndIteration() {
	for i := 0; c.sendWaiting() && i < len(c.queue) && !c.busy(); {
		s := c.queue[i]
		switch {
		case s.over:
		case c.hopeless(s):
			c.shed(s)
		case c.blocked(s):
			i++
			c.parked = true
			continue
		case c.fullness >= 1 || s.useful <= c.now && !c.worthLate(s) ||
			(s.came < c.now || c.ease() < strain) && c.lateness().of(s, 0):
			c.shed(s)
		default:
			c.open(s)
		}
		if i == 0 { // the usual case moves nothing
			c.queue[0], c.queue = nil, c.queue[1:]
		} else {
			c.queue = slices.Delete(c.queue, i, i+1)
		}
	}
	c.trim()
	if c.parked {
		c.parked = false
		c.after(parkLook, doing(func() {}))
	}
}

// blocked tells whether parts that a whole answer needs have no replica to go to: such a search stands aside,
// but where less may be answered and answers are quick.
func (c *coordinator) blocked(s *search) bool {
	can := 0.0
	for _, p := range s.parts {
		if c.can(p) {
			can += p.weight
		}
	}
	return can < min(s.need, s.most)-1e-4 && (c.ease() < 1 || !c.enough(s, can))
}

// hopeless tells whether a search leaves under half a first try's time, and less than its type takes of late,
// or too few of its parts would be answered in useful time, by what own parts at their replicas have taken.
// Guards against clients that come again with next to no time, and shards whose replicas are all overloaded:
// the work would be lost. Harm: what is believed of a type or shard until it is tried again.
func (c *coordinator) hopeless(s *search) bool {
	n, total := c.spells[s.qtype].read(c.now, rateSpan)
	first := c.tryShare * float64(c.facts.span(c.facts.of("Classes", s.qtype, "Deadline")))
	if left := float64(s.due - c.now); n >= fewSpells && left < min(retryLeft*first, usefulPad*total/n) {
		return true
	}
	in, thin := 0.0, c.thin()
	for _, p := range s.parts {
		if !thin || c.inTime(p) {
			in += p.weight
		}
	}
	return !c.enough(s, in)
}

func (c *coordinator) inTime(p *part) bool {
	end := p.s.useful
	if end <= c.now {
		end = p.s.due
	}
	return tailRatio*c.wait(p) <= float64(end-c.now)
}

// wait is how long a part would take at the quickest of its shard's replicas.
func (c *coordinator) wait(p *part) float64 {
	least := math.Inf(1)
	for _, r := range c.holders(p) {
		least = min(least, c.expected(r))
	}
	return least
}

// expected is how long a replica takes: by its past answers, or the fleet's where they say too little, and by
// what is still out. After a while it is tried again: by all together, however many, ten times a second.
func (c *coordinator) expected(r *replica) float64 {
	wait := c.common()
	if c.usualN < fewAnswers { // an assumed time must not shut out what would show the true one
		wait = 0
	}
	if float64(c.now-r.sentAt) > trialAll*c.facts.num("Balancers") {
		return wait
	}
	if n, total := r.past.read(c.now, pastSpan); n >= seenLeast {
		wait = math.Exp(total / n)
	}
	for _, t := range r.tries {
		wait = max(wait, float64(c.now-t.sent))
	}
	return wait
}

// inFlight counts own parts out but silent ones and those at suspects: silence must not stop the others.
func (c *coordinator) inFlight() int { return c.flights.count(c.now, c.silence(), c.suspect) }

func (c *coordinator) busy() bool {
	slots := c.slots()
	return c.flights.flying >= slots && c.inFlight() >= slots
}

// open lets a search leave the queue: the needed parts and the extras that the backlog grants.
func (c *coordinator) open(s *search) {
	if s.left == 0 {
		if s.left = c.now; len(s.parts) > 1 && c.falls() {
			able := slices.DeleteFunc(slices.Clone(s.parts), func(p *part) bool { return !c.can(p) })
			if s.ahead = len(able) > 0; s.ahead {
				c.ask(slices.MinFunc(able, func(p, q *part) int { return cmp.Compare(c.wait(p), c.wait(q)) }))
				return
			}
		}
	}
	order := c.order[:0]
	for _, p := range s.parts { // those that can go now come first, then the heavier, ties by chance
		if len(p.tries) > 0 { // sent ahead, or in its place
			continue
		}
		o := ordered{p, p.weight + 1e-9*c.chance.Float64()}
		if c.can(p) {
			o.ease += 2
		}
		// Where no copy may run beside a part, one at a slow replica is work that nothing takes back.
		if c.facts.yes("Permissions.SecondCopies") || c.wait(p) <= c.common() {
			o.ease++
		}
		order = append(order, o)
	}
	slices.SortFunc(order, func(p, q ordered) int { return cmp.Compare(q.ease, p.ease) })
	// Where evidence is thin nothing waits here, and the backlog says nothing. Slow answers stand in for it:
	// what an answer may lack is an extra then.
	least := s.need
	if c.thin() && c.usualN >= sureAnswers && c.ease() < strain {
		least = min(least, c.facts.nth("Specifics.ClassFloor", s.qtype, 1)+2e-4)
	}
	have, n := s.in, 0
	for n < len(order) && have < least-1e-4 {
		have += order[n].weight
		n++
	}
	extras := max(0, len(order)-n-int(c.backlog)) // all that remain while the backlog is under 1
	if least < s.need {
		extras = min(extras, int(strainExtra*c.ease()*float64(len(order)-n)))
	}
	for i, o := range order[:n+extras] {
		if i < n || o.ease >= 3 { // an extra that would have to wait takes room from parts that are needed
			c.ask(o.part)
		}
		if i >= n && o.queued {
			have += o.weight
		}
	}
	if s.cut = have < s.need-1e-4; s.cut {
		s.most = have
	}
	clear(order)
	c.order = order
}

// falls tells whether replicas have gone down under own sub-requests of late. Guards, by one part of each
// search ahead of its rest, against searches that fell what takes them: with all out, one fells a replica for
// each part before its first loss is told. Covers crashes too. Harm: an answer's time to each search; not
// where copies help a part that is lost.
func (c *coordinator) falls() bool {
	return c.fell > 0 && c.now-c.fell < fellSpan && !c.facts.yes("Permissions.SecondCopies")
}

func (c *coordinator) ask(p *part) {
	if !p.queued {
		p.queued = true
		c.waiting = append(c.waiting, p)
	}
}

// sendWaiting sends parts in turn and tells whether none is left that a free slot would serve. A part that
// no replica may take just now (cold, draining) stands aside: it must not hold up the queue.
func (c *coordinator) sendWaiting() bool {
	rest, free := c.waiting[:0], true
	for i, p := range c.waiting {
		if p.s.over || p.in || p.dead {
			p.queued = false
			continue
		}
		if c.busy() {
			rest, free = append(rest, c.waiting[i:]...), false
			break
		}
		if r := c.pick(p); r != nil && c.mayTry(p) {
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

// slots is the cap of parts in flight: the design's value, less while answers take longer than they can.
func (c *coordinator) slots() int {
	n := float64(slotsPerReplica * c.listed)
	least := min(leastShare*n, leastAll*float64(c.listed)/c.facts.num("Balancers"))
	c.limit = max(1, least, min(n, c.limit))
	return int(c.limit)
}

// ease is 1 while answers take less than slackRatio times the shortest, and falls as they take longer.
func (c *coordinator) ease() float64 { return min(1, slackRatio*c.shortest()/c.common()) }

// follow moves the cap at each answer: down by how far shortest / present answer time falls short of
// 1/slackRatio, up by a little, so that it settles where parts no longer wait long at the replicas.
func (c *coordinator) follow() {
	ease := c.ease()
	if c.limit += ease - 1 + 1/math.Sqrt(c.limit); ease < strain && c.thin() {
		c.limit = min(c.limit, float64(max(c.longest, c.inFlight())))
	}
	c.slots()
}

// common is the fleet's answer time now, by the mean of logarithms: single long answers weigh little.
func (c *coordinator) common() float64 {
	n, total := c.pace.read(c.now, fleetSpan)
	if c.usualAt != c.now || c.usualN != n {
		c.usual, c.usualAt, c.usualN = math.Exp((total+math.Log(c.firstUsual))/(n+1)), c.now, n
		c.usualLog = math.Log(c.usual)
	}
	return c.usual
}

func (c *coordinator) shortest() float64 {
	now := c.common()
	if c.usualN < fewAnswers {
		return now
	}
	if c.bestAt == c.now && c.bestOf == now {
		return c.best
	}
	if c.best *= math.Exp(min(1, float64(c.now-c.bestAt)*bestCreep)); c.best == 0 || now < c.best {
		c.best = now
	}
	c.bestAt, c.bestOf = c.now, now
	return c.best
}

// able tells whether a replica may take a part now, sound or not.
func (c *coordinator) able(r *replica, p *part) bool {
	out := func(t *try) bool { return t.r == r && !t.settled }
	return c.room(r) && c.coldRoom(r) && !slices.ContainsFunc(p.tries, out)
}

// can tells whether some replica may take a part now; of many holders without a look at each.
func (c *coordinator) can(p *part) bool {
	all := c.holders(p)
	if len(all) <= manyHolders {
		return c.pick(p) != nil
	}
	if c.full[p.spot()] || float64(p.s.due-c.now) < c.best { // no answer could come: nothing crosses a final one
		return false
	}
	sound, trial, other := false, false, false
	for _, r := range all {
		bad := c.suspect(r)
		sound = sound || !bad
		if able := c.able(r, p); able && !bad {
			return true
		} else if able {
			other, trial = true, trial || c.trial(r, p)
		}
	}
	can := trial || other && !sound
	c.full[p.spot()] = !can && len(p.tries) == 0 // for this turn: bounds its time with thousands of searches
	return can
}

// trial tells whether one that is bad, or said to be, may take a part beside sound ones: it may have healed.
func (c *coordinator) trial(r *replica, p *part) bool {
	return c.now >= max(r.trialAt, c.trialAt) && len(p.tries) == 0 && p.s.effect == "retryable" &&
		(c.suspect(r) || p.s.need < p.s.most-1e-4)
}

// pick chooses a part's replica: fewest own calls out, one not tried yet if there is; ties by chance, or by
// past answers where evidence is thin. Of many, a few drawn are looked at first: an idle one has the fewest.
func (c *coordinator) pick(p *part) *replica {
	if c.full[p.spot()] || float64(p.s.due-c.now) < c.best {
		return nil
	}
	all := c.holders(p)
	if n := len(all); n > manyHolders {
		from := c.chance.Intn(n - lookFirst)
		if r, load := c.choose(p, all[from:from+lookFirst]); load < 1 && load >= 0 {
			return r
		}
	}
	r, _ := c.choose(p, all)
	if r == nil && len(p.tries) == 0 {
		c.full[p.spot()] = true
	}
	return r
}

// choose picks among some of a shard's holders, with how much that one has out.
func (c *coordinator) choose(p *part, all []*replica) (best *replica, least float64) {
	least = math.Inf(1)
	ties, sound, thin := 0, false, c.thin()
	for _, r := range all {
		bad, doubt := c.suspect(r), c.doubted(r)
		sound = sound || !bad
		if !c.able(r, p) || c.now < c.doubtsTo && !c.warm(r) && c.spared(p) {
			continue
		}
		load := float64(r.calls)
		if thin {
			load += 1 - 1/(1+c.habit(r)*(1+tieChance*c.chance.Float64()))
		}
		if bad || doubt {
			// Guards against replicas that take parts and answer none, or refuse: used only where no sound one
			// holds the shard, full or not (heard of only: or all are full), but for trial parts: it may heal.
			// On hearsay alone, a search has to have a part to spare for it.
			if load += 1e5; bad {
				load += 1e6
			}
			if c.trial(r, p) {
				load = -1
			}
		} else if c.away(r.zone) && (c.now < c.ways[r.zone].trialAt || p.s.need >= p.s.most-1e-4) {
			load += 1e5 // but for a trial part where a search has one to spare
		}
		if slices.ContainsFunc(p.tries, func(t *try) bool { return t.r == r }) {
			load += 1e4
		}
		switch {
		case load < least:
			best, least, ties = r, load, 1
		case load == least:
			if ties++; c.chance.Intn(ties) == 0 {
				best = r
			}
		}
	}
	if sound && least >= 1e6 {
		best = nil
	}
	return best, least
}

// room guards against piling up on the one sound holder of a shard: a replica's own part of the slots
// shrinks with its answers as the cap does with all answers. Parts beyond it stand aside, as do searches that
// need them. With all its parts silent one more may go: it shows whether it is slow or a connection was lost.
func (c *coordinator) room(r *replica) bool {
	best, n := c.shortest(), len(r.tries)
	if n == 0 || c.doubted(r) {
		return n == 0
	}
	share := min(1, slackRatio*best/(c.common()*c.slowness(r)))
	return float64(n) < max(1, oneReplica*slotsPerReplica*share) ||
		float64(c.now-r.tries[n-1].sent) > c.silence()
}

// thin tells whether a replica answers this co-ordinator so seldom that own parts out and the start's cap say
// nothing. Guards against slow replicas that look idle and against overload that no one co-ordinator sees.
func (c *coordinator) thin() bool {
	return c.done.rate(c.now, rateSpan, youngSpan) < thinRate*float64(c.listed)
}

// habit is a replica's answer time over the fleet's, in a longer memory.
func (c *coordinator) habit(r *replica) float64 {
	n, total := r.past.read(c.now, pastSpan)
	c.common()
	more, slower := c.heard(r.long, pastSpan, n)
	return math.Exp((total - n*c.usualLog + slower) / (n + more + 1))
}

// slowness is a replica's answer time over the fleet's, parts that are still out counted by their age.
func (c *coordinator) slowness(r *replica) float64 {
	n, total := r.pace.read(c.now, paceSpan)
	c.common()
	common := c.usualLog
	more, slower := c.heard(r.short, paceSpan, n)
	for _, t := range r.tries {
		if age := float64(c.now - t.sent); age > c.usual {
			n, total = n+1, total+math.Log(age)
		}
	}
	return math.Exp((total+slower+(more+priorParts)*common)/(n+more+priorParts) - common)
}

// away guards against a slow or lossy way to a zone, or a zone slow as a whole: its answers take far longer
// than the quickest zone's. One replica shows too little, and it is not its fault: such replicas are no
// suspects, they come after the others. Harm: a zone slow from own load alone is spared by crossing.
func (c *coordinator) away(zone int) bool {
	if len(c.ways) < 2 {
		return false
	}
	own, least := 0.0, math.Inf(1)
	c.common()
	for i := range c.ways {
		n, total := c.ways[i].pace.read(c.now, paceSpan)
		more, slower := c.heard(c.ways[i].heard, paceSpan, n)
		mean := (total + slower + (more+priorParts)*c.usualLog) / (n + more + priorParts)
		if least = min(least, mean); i == zone {
			own = mean
		}
	}
	return own-least > math.Log(awayRatio)
}

// silent tells whether a part is out so long that its answer may never come, whatever its replica answers.
func (c *coordinator) silent(t *try) bool {
	return c.suspect(t.r) || float64(c.now-t.sent) > c.silence()
}

func (c *coordinator) silence() float64 { return max(quietLeast, quietRatio*c.common()) }

func (c *coordinator) suspect(r *replica) bool {
	if r.refused > 0 || r.strikes >= strikeOut || c.now < r.restTo { // restTo: it has said so itself
		return true
	}
	return (r.quiet >= quietTries || r.quiet > 0 && c.doubted(r)) && float64(c.now-r.quietSince) > c.silence()
}

// coldRoom guards against pushing over a replica that has just started: it gets that share of the mean own
// parts a replica answers which it can surely do by now. The means of all co-ordinators add up to what one
// really answers, so all together keep to it, however many; credit starts by chance, not at once nor never.
func (c *coordinator) coldRoom(r *replica) bool {
	if c.warm(r) {
		return true
	}
	if r.creditAt < c.now {
		from := c.facts.opt("Safety.ColdFrom", 0)
		can := from + (1-from)*float64(max(0, c.now-r.since))/float64(c.facts.span("Safety.Cold"))
		mean := c.done.rate(c.now, rateSpan, youngSpan) / float64(max(1, c.listed))
		more := coldPart * c.facts.opt("Safety.FallMultiple", 1) * can * mean * float64(c.now-r.creditAt)
		r.credit, r.creditAt = min(1, r.credit+more), c.now
	}
	return r.credit >= 1
}

// mayTry holds the rules on sending a part: how often, when a repeat is harmless, and the stated budget.
func (c *coordinator) mayTry(p *part) bool {
	span := c.facts.span("Safety.LookBack")
	if len(p.tries) == 0 || span == 0 {
		return len(p.tries) == 0 || c.mayRepeat(p)
	}
	c.taken, c.further = since(c.taken, c.now-span+windowPad), since(c.further, c.now-span-windowPad)
	room := c.facts.opt("Safety.ExtraFloor", 0) + c.facts.opt("Safety.FurtherRatio", 0)*float64(len(c.taken))
	return c.mayRepeat(p) && float64(len(c.further)+1) <= room
}

// mayRepeat tells whether a further sub-request is allowed and harmless.
func (c *coordinator) mayRepeat(p *part) bool {
	effect, more := p.s.effect, len(p.tries) < c.maxTries()
	for _, t := range p.tries {
		if !t.maybe && t.settled || effect == "retryable" {
			continue
		}
		window := c.facts.span(c.facts.of("Classes", p.s.qtype, "RepeatWindow"))
		if effect != "dedup" || c.now-t.sent > window-windowPad {
			return false
		}
	}
	return more
}

func (c *coordinator) send(p *part, r *replica) {
	t := p.try()
	t.p, t.r, t.leg, t.sent, t.out = p, r, len(p.tries), c.now, true
	if t.leg > 0 {
		c.count(&c.further)
		p.s.copies++
	}
	if c.suspect(r) || c.doubted(r) {
		r.trialAt, c.trialAt = c.now+trialWait, c.now+trialEach
	} else if c.away(r.zone) {
		c.ways[r.zone].trialAt = c.now + trialWait
	}
	r.credit--
	r.sentAt = c.now
	if r.turnAt != c.now || r.turn == nil || r.turn.parts >= int(c.facts.opt("Specifics.PerCall", 1)) {
		r.turn, r.turnAt = &t.own, c.now
		r.calls++
	}
	t.c = r.turn
	t.c.parts++
	t.c.out++
	if r.quiet == 0 {
		r.quietSince = c.now
	}
	r.quiet++
	p.tries, r.tries = append(p.tries, t), append(r.tries, t)
	c.flights.sent(t)
	patience := p.s.due - c.now + answerPad
	if c.facts.yes("Permissions.SecondCopies") || c.facts.yes("Permissions.Cancelling") {
		t.wake = c.after(c.overdueAfter(), (*atOverdue)(t))
	} else if !c.facts.yes("Permissions.Cancelling") && len(p.tries) < c.maxTries() && p.s.effect != "fragile" {
		patience = min(patience, aloneRatio*c.overdueAfter())
	}
	c.out.SendAttempt(p.id, r.id, patience)
	c.next[p.id<<8|uint64(t.leg)] = t
}

// quick tells whether a replica has nothing of ours out and would answer soon. It has to be known as no
// slower than usual, until what went out again was answered quickly of late: then a little slower, or not
// known, will do. Guards against parts that stay where nothing answers, since the other holder is slower than
// the mean by its make alone. Harm: until enough shows that those others are as full.
func (c *coordinator) quick(r *replica) bool {
	if n, total := c.again.read(c.now, pastSpan); n < againLeast || total > n*math.Log(againRatio) {
		n, total = r.past.read(c.now, pastSpan)
		return n >= seenLeast && total/n <= c.usualLog && len(r.tries) == 0
	}
	return c.habit(r) <= quickRatio && len(r.tries) == 0
}

func (c *coordinator) overdueAfter() int64 { return int64(max(copyLeast, copyRatio*c.common())) }

// overdue guards against every kind of silence or slowness of one replica, whatever its cause: a part that
// takes far longer than parts do now gets a second copy elsewhere. Harm: where the part itself is heavy.
func (c *coordinator) overdue(t *try) {
	p := t.p
	if t.settled || p.s.over || p.in || p.dead {
		return
	}
	alone, age := !c.facts.yes("Permissions.SecondCopies"), float64(c.now-t.sent)
	if !alone {
		c.ways[t.r.zone].pace.add(c.now, paceSpan, math.Log(age))
	}
	r := c.pick(p)
	lacking, heavy := c.short(p.s)
	if alone && lacking && !heavy && !p.s.cut && c.ease() >= strain {
		c.standIn(p.s)
	}
	if r == nil || c.suspect(r) || !c.mayTry(p) || p.queued || !lacking ||
		!c.suspect(t.r) && (len(c.queue) > 0 && !c.silent(t) || heavy) ||
		alone && (age < rescueRatio*c.common() || !c.quick(r) || c.ease() < strain) {
		t.wake = c.after(copyAgain, (*atOverdue)(t))
		return
	}
	if alone { // it goes out again once its end is told
		c.cancel(t)
		return
	}
	c.send(p, r)
}

// short tells whether the parts in and those out on time fall short of a whole answer, and whether so many
// are long out, or were copied, that it is the search that is heavy and not a replica that is slow.
func (c *coordinator) short(s *search) (lacking, heavy bool) {
	have, long, sent := s.in, 0.0, 0.0
	for _, p := range s.parts {
		onTime := func(t *try) bool { return t.out && c.now-t.sent < c.overdueAfter() && !c.suspect(t.r) }
		switch {
		case len(p.tries) == 0:
			continue
		case !p.in && slices.ContainsFunc(p.tries, onTime):
			have += p.weight
		case !p.in && c.now-p.tries[0].sent >= c.overdueAfter() && !c.suspect(p.tries[0].r):
			long++
		}
		sent++
	}
	return have < s.need-1e-4, max(long, float64(s.copies+1)) > math.Ceil(copyParts*sent)
}

// landed is what every sub-request leaves behind for its outcome.
func (c *coordinator) landed(t *try, ending string, wait, again int64) {
	c.release(t)
	c.flights.stir(t.r)
	t.settled = true
	p, r, s := t.p, t.r, t.p.s
	pace := math.Log(float64(max(1, wait)))
	switch ending {
	case "Ok":
		if r.refused >= restartSign && c.warm(r) {
			r.since, r.credit, r.creditAt = c.now, c.chance.Float64(), c.now // back before the list says so
		}
		t.maybe, r.strikes, r.refused, r.doubtTo, r.restTo, r.answered = true, 0, 0, 0, 0, c.now
		r.quiet, r.quietSince = len(r.tries), c.now
		c.flights.heard(r)
		r.took(c.now, pace)
		c.ways[r.zone].pace.add(c.now, paceSpan, pace)
		c.pace.add(c.now, fleetSpan, pace)
		c.follow()
		c.done.add(c.now, rateSpan, 1)
		c.retook(t, pace)
		if !p.in && !p.dead && !s.over {
			first := !s.sound
			p.in, s.sound = true, true
			s.in += p.weight
			for _, o := range p.tries {
				c.cancel(o)
			}
			c.check(s)
			if s.ahead {
				if s.ahead = false; !s.over && s.step == 1 {
					c.open(s)
				}
			}
			for i := 0; first && i < len(s.parts); i++ { // any later one has left none to wait for it
				c.missed(s.parts[i])
			}
		}
		return
	case "Canceled", "TimedOut":
		t.maybe = true
		if ending == "TimedOut" { // what was called off was measured then
			r.took(c.now, pace)
		}
	case "Failed", "QueueFull":
		if ending == "QueueFull" {
			r.took(c.now, math.Log(fullRatio*c.common()))
		}
		t.maybe, r.restTo = ending == "Failed", max(r.restTo, c.now+min(restMost, again))
		c.flights.until(r, r.restTo)
		r.trialAt, r.strikes = max(r.trialAt, r.restTo), r.strikes+1
	case "ConnectError":
		r.refused, c.fell = r.refused+r.dropped(c.now), c.now
	case "ResetByPeer": // guards against lost connections: their replica has not died for that
		t.maybe, r.strikes = true, r.strikes+r.dropped(c.now)
		if float64(wait) > begunLeast*c.shortest() { // sooner is the way's doing, not the part's
			s.lost, c.fell = s.lost+1, c.now
		}
	}
	if c.suspect(r) && r.trialAt <= c.now {
		r.trialAt = c.now + trialWait
	}
	c.missed(p)
}

func (c *coordinator) missed(p *part) {
	s := p.s
	if s.over || p.in || p.dead || p.queued || len(p.tries) == 0 || p.flies() {
		return
	}
	// Guards against a search that fells whatever takes it: lost connections and never an answer. A lost part
	// goes out again only after another of the search has answered. Harm: in a crash of many replicas a
	// search that lost two parts before its first answer is shed.
	switch fells := s.lost > 0 && !s.sound; {
	case fells && (s.lost >= lostMost || s.ahead):
		c.giveUp(s)
		return
	case fells && s.flies():
		return
	case c.mayRepeat(p):
		c.ask(p)
		return
	}
	p.dead = true
	s.most -= p.weight
	c.standIn(s)
	if c.check(s); !s.over && s.most < s.need-1e-4 && !c.enough(s, s.most) {
		c.giveUp(s)
	}
}

// standIn sends a part that was held back, at the quickest replica, in the place of one that is lost or late.
func (c *coordinator) standIn(s *search) {
	sent := func(q *part) bool { return len(q.tries) > 0 || q.queued || q.dead }
	if held := slices.DeleteFunc(slices.Clone(s.parts), sent); len(held) > 0 {
		q := slices.MinFunc(held, func(p, q *part) int { return cmp.Compare(c.wait(p), c.wait(q)) })
		if c.ask(q); s.cut {
			s.most += q.weight
		}
	}
}

func (c *coordinator) cancel(t *try) {
	if !t.out || !c.facts.yes("Permissions.Cancelling") {
		return
	}
	if age := float64(c.now - t.sent); age > c.common() {
		pace := math.Log(age)
		c.retook(t, pace)
		t.r.took(c.now, pace)
	}
	c.release(t)
	c.out.CancelAttempt(t.p.id, t.leg)
}

// enough tells whether an answer may go out from so much, marked whole or not: never under the least share.
func (c *coordinator) enough(s *search, have float64) bool {
	least := c.facts.nth("Specifics.ClassFloor", s.qtype, 1)
	if s.step == 2 && least >= c.facts.nth("Specifics.NeedByClass", s.qtype, 1) {
		least = 1
	}
	return have > 0 && have >= min(least+1e-6, s.need-1e-6)
}

// check answers as soon as enough is in, or when all that can come has come.
func (c *coordinator) check(s *search) {
	if s.in >= s.need-1e-6 || s.most < s.need-1e-4 && s.in >= s.most-1e-6 && c.enough(s, s.in) {
		c.answer(s)
	}
}

func (c *coordinator) answer(s *search) {
	whole := s.in >= s.need-1e-6
	if s.step == 1 {
		s.firstWhole = whole
		c.spent(s)
	}
	c.out.AnswerSearch(s.id, whole && s.firstWhole)
	if s.step == 1 && c.facts.nth("Specifics.FollowUp", s.qtype, 0) > 0 {
		c.drop(s)
		s.step, s.parts, s.in, s.most, s.need, s.copies = 2, nil, 0, 0, 1, 0
		return
	}
	c.end(s)
}

// giveUp ends a search at once with the best that is true of it, shedding where asking again harms nothing.
func (c *coordinator) giveUp(s *search) {
	if !s.over && c.enough(s, s.in) {
		c.answer(s)
	}
	if !s.over && s.left > 0 && s.step == 1 {
		c.spent(s) // took this long at least: answers alone would flatter
	}
	if !s.over && c.harmless(s) {
		c.shed(s)
	} else if !s.over {
		c.out.FailSearch(s.id)
		c.end(s)
	}
}

func (c *coordinator) shed(s *search) {
	advice := int64(0)
	if c.facts.yes("Permissions.RetryAfter") {
		wait := c.behind / c.speed()
		if c.fullness >= 1 { // room comes as answers go out
			wait = max(wait, c.common())
		}
		advice = min(int64(wait), c.facts.span("Permissions.MaxRetryAfter"))
	}
	c.out.ShedSearch(s.id, advice)
	c.end(s)
}

// pastUse looks at a search whose latency target ends: an answer short of whole goes out where the type
// allows one, and a search that is worth nothing late makes room.
func (c *coordinator) pastUse(s *search) {
	if !s.over && c.enough(s, s.in) {
		c.answer(s)
	} else if !s.over && !c.worthLate(s) {
		c.giveUp(s)
	}
}

// Shedding. It acts while searches wait for a slot, and on arrival while answers are slow.

// speed is how many parts are answered in a tenth; while rates are young, by Little's law.
func (c *coordinator) speed() float64 {
	return max(c.done.rate(c.now, rateSpan, youngSpan), float64(c.inFlight())/c.common(), 1e-4)
}

// lateness gives what tells whether a search with so many parts before it would be answered after its target.
// It holds while no part is sent or lands: what a turn asks of each waiting search is worked out once.
func (c *coordinator) lateness() lateness {
	n, total := c.spell.read(c.now, rateSpan)
	return lateness{float64(c.now), c.speed(), usefulPad * total / (n + 1)}
}

func (l lateness) of(s *search, ahead float64) bool {
	return l.now+ahead/l.speed+l.spell > float64(s.useful)
}

// trim guards against overload: what cannot be answered in useful time, or held, is shed while its client
// can still ask again, beyond a tenant's share first. Harm: a wait judged too long sheds needlessly.
func (c *coordinator) trim() {
	if len(c.queue) > trimMany && c.now < c.trimmed+trimEach {
		return
	}
	c.trimmed = c.now
	ahead, over := len(c.waiting), 0
	if len(c.queue) > 0 {
		late := c.lateness()
		for _, s := range c.queue {
			if !s.over && (s.beyond || c.fullness >= 1 || late.of(s, float64(ahead))) {
				c.shed(s)
			}
			if s.over {
				over++
			} else {
				ahead += len(s.parts)
			}
		}
	}
	if c.behind = float64(ahead); over > 0 {
		c.queue = slices.DeleteFunc(c.queue, func(s *search) bool { return s.over })
	}
}

// beyond takes one of a tenant's share, a bucket filled at this part of its rate; true where none was left.
func (c *coordinator) beyond(tenant int) bool {
	quota := c.facts.opt(c.facts.of("Tenants", tenant, "QuotaPerS"), 0) / c.facts.num("Balancers") / 10_000
	if tenant >= len(c.tenants) || quota == 0 {
		return false
	}
	b := &c.tenants[tenant]
	b.left = min(b.left+quota*float64(c.now-b.at), 1+quota*shareSpan)
	b.at = c.now
	if b.left < 1 {
		return true
	}
	b.left--
	return false
}

// ImportObservation takes a heard belief in, in the place of the one before. Guards against a start that knows nothing,
// and against peers that are wrong: hearsay only takes from a replica, weighs heardMost answers at the most,
// gives way to own ones, and fades. A replica said to be bad comes after the others, with one part at a time,
// until it answers here: no peer can take it away.
func (c *coordinator) ImportObservation(h GossipedObservation) {
	take := func(t DecayingMean) hearsay {
		return hearsay{min(heardMost, t.Weight), max(0, min(math.Log(heardSlow), t.Mean)), c.now}
	}
	switch r := c.fleet[h.Replica]; {
	case h.Scope == ScopeFleet && h.FleetLatency > 0:
		c.firstUsual, c.usualAt = max(firstPace/heardSway, min(firstPace, h.FleetLatency)), 0 // longer would bar copies
		if c.best == 0 && h.ShortestLatency > 0 {
			c.best, c.bestAt = min(c.common(), max(h.ShortestLatency, heardBest*c.common())), c.now
		}
	case h.Scope == ScopeZone && h.Zone >= 0 && h.Zone < len(c.ways):
		c.ways[h.Zone].heard = take(h.ShortWindow)
	case h.Scope == ScopeReplica && r != nil && r.since == h.ReplicaStart:
		r.short, r.long, r.doubtTo = take(h.ShortWindow), take(h.LongWindow), 0
		if n, _ := r.past.read(c.now, pastSpan); h.Outlier && n < 1 {
			r.doubtTo = c.now + min(heardSpan, h.OutlierDuration)
			c.doubtsTo = max(c.doubtsTo, r.doubtTo)
			r.trialAt = max(r.trialAt, c.now+c.chance.Int63n(trialWait)) // not all learners' trials at once
		}
		c.flights.until(r, r.doubtTo)
	}
}

// spared passes a cold replica over by chance, as often as hearsay keeps parts from other holders of the
// shard: what it takes from those must not push a cold one.
func (c *coordinator) spared(p *part) bool {
	all := c.holders(p)
	return slices.ContainsFunc(all[c.chance.Intn(len(all)):][:1], c.doubted)
}
