package balancer

import (
	"cmp"
	"slices"
)

const (
	minOverloadAnswers = 30      // answers of late from which slow ones count so: fewer may be one search's own
	overloadExtraShare = 0.5     // share of the eased extras that still go out then: as good as none with less
	canaryWindow       = 100_000 // after a fall in which each search sends one part ahead: such come again
)

// admit lets a search leave the queue: the needed parts and the extras that the backlog grants.
func (b *balancer) admit(s *search) {
	if s.admittedAt == 0 {
		if s.admittedAt = b.now; len(s.requests) > 1 && b.sendsCanary() {
			able := slices.DeleteFunc(slices.Clone(s.requests), func(p *shardRequest) bool { return !b.canSend(p) })
			if s.awaitsCanary = len(able) > 0; s.awaitsCanary {
				b.enqueueRequest(slices.MinFunc(able, func(p, q *shardRequest) int {
					return cmp.Compare(b.shortestExpectedLatency(p), b.shortestExpectedLatency(q))
				}))
				return
			}
		}
	}
	order := b.order[:0]
	for _, p := range s.requests { // those that can go now come first, then the heavier, ties by chance
		if len(p.attempts) > 0 { // sent ahead, or in its place
			continue
		}
		o := sendCandidate{p, p.weight + 1e-9*b.rng.Float64()}
		if b.canSend(p) {
			o.priority += 2
		}
		// Where no copy may run beside a part, one at a slow replica is work that nothing takes back.
		if b.settings.isEnabled("Permissions.SecondCopies") || b.shortestExpectedLatency(p) <= b.fleetLatency() {
			o.priority++
		}
		order = append(order, o)
	}
	slices.SortFunc(order, func(p, q sendCandidate) int { return cmp.Compare(q.priority, p.priority) })
	// Where evidence is thin nothing waits here, and the backlog says nothing. Slow answers stand in for it:
	// what an answer may lack is an extra then.
	least := s.neededWeight
	if b.hasThinEvidence() && b.usualN >= minOverloadAnswers && b.loadFactor() < overloadLoadFactor {
		least = min(least, b.settings.listNumber("Specifics.ClassFloor", s.queryType, 1)+2e-4)
	}
	have, n := s.completedWeight, 0
	for n < len(order) && have < least-1e-4 {
		have += order[n].weight
		n++
	}
	extras := max(0, len(order)-n-int(b.backlog)) // all that remain while the backlog is under 1
	if least < s.neededWeight {
		extras = min(extras, int(overloadExtraShare*b.loadFactor()*float64(len(order)-n)))
	}
	for i, o := range order[:n+extras] {
		if i < n || o.priority >= 3 { // an extra that would have to wait takes room from parts that are needed
			b.enqueueRequest(o.shardRequest)
		}
		if i >= n && o.queued {
			have += o.weight
		}
	}
	if s.reduced = have < s.neededWeight-1e-4; s.reduced {
		s.reachableWeight = have
	}
	clear(order)
	b.order = order
}

// sendsCanary tells whether replicas have gone down under own sub-requests of late. Guards, by one part of each
// search ahead of its rest, against searches that fell what takes them: with all out, one fells a replica for
// each part before its first loss is told. Covers crashes too. Harm: an answer's time to each search; not
// where copies help a part that is lost.
func (b *balancer) sendsCanary() bool {
	return b.fell > 0 && b.now-b.fell < canaryWindow && !b.settings.isEnabled("Permissions.SecondCopies")
}

func (b *balancer) enqueueRequest(p *shardRequest) {
	if !p.queued {
		p.queued = true
		b.waiting = append(b.waiting, p)
	}
}

// sendWaiting sends parts in turn and tells whether none is left that a free slot would serve. A part that
// no replica may take just now (cold, draining) stands aside: it must not hold up the queue.
func (b *balancer) sendWaiting() bool {
	rest, free := b.waiting[:0], true
	for i, p := range b.waiting {
		if p.search.ended || p.completed || p.lost {
			p.queued = false
			continue
		}
		if b.isAtLimit() {
			rest, free = append(rest, b.waiting[i:]...), false
			break
		}
		if r := b.selectReplica(p); r != nil && b.mayAttempt(p) {
			p.queued = false
			b.send(p, r)
			continue
		}
		b.parked = true
		rest = append(rest, p)
	}
	b.waiting = rest
	return free
}

// sendWithheld sends a part that was held back, at the quickest replica, in the place of one that is lost or late.
func (b *balancer) sendWithheld(s *search) {
	sent := func(q *shardRequest) bool { return len(q.attempts) > 0 || q.queued || q.lost }
	if held := slices.DeleteFunc(slices.Clone(s.requests), sent); len(held) > 0 {
		q := slices.MinFunc(held, func(p, q *shardRequest) int {
			return cmp.Compare(b.shortestExpectedLatency(p), b.shortestExpectedLatency(q))
		})
		if b.enqueueRequest(q); s.reduced {
			s.reachableWeight += q.weight
		}
	}
}

// sendCandidate is a part with what it is sorted by.
type sendCandidate struct {
	*shardRequest
	priority float64
}
