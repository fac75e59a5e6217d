package balancer

import (
	"slices"
)

const (
	minStartedShare    = 0.025 // of the shortest answer time: lost sooner, the part was not begun
	maxLostConnections = 2     // dropped connections, and no answer yet, that make a search suspect: one may be chance
	windowMargin       = 20    // kept off the windows of rules against rounding
)

// mayAttempt holds the rules on sending a part: how often, when a repeat is harmless, and the stated budget.
func (b *balancer) mayAttempt(p *shardRequest) bool {
	span := b.settings.duration("Safety.LookBack")
	if len(p.attempts) == 0 || span == 0 {
		return len(p.attempts) == 0 || b.mayRepeat(p)
	}
	b.taken, b.further = dropBefore(b.taken, b.now-span+windowMargin), dropBefore(b.further, b.now-span-windowMargin)
	room := b.settings.optionalNumber("Safety.ExtraFloor", 0) + b.settings.optionalNumber("Safety.FurtherRatio", 0)*float64(len(b.taken))
	return b.mayRepeat(p) && float64(len(b.further)+1) <= room
}

// mayRepeat tells whether a further sub-request is allowed and harmless.
func (b *balancer) mayRepeat(p *shardRequest) bool {
	effect, more := p.search.effect, len(p.attempts) < b.maxAttempts()
	for _, t := range p.attempts {
		if !t.mayHaveRun && t.ended || effect == "retryable" {
			continue
		}
		window := b.settings.duration(b.settings.fieldName("Classes", p.search.queryType, "RepeatWindow"))
		if effect != "dedup" || b.now-t.sentAt > window-windowMargin {
			return false
		}
	}
	return more
}

func (b *balancer) retryLost(p *shardRequest) {
	s := p.search
	if s.ended || p.completed || p.lost || p.queued || len(p.attempts) == 0 || p.isInFlight() {
		return
	}
	// Guards against a search that fells whatever takes it: lost connections and never an answer. A lost part
	// goes out again only after another of the search has answered. Harm: in a crash of many replicas a
	// search that lost two parts before its first answer is shed.
	switch fells := s.lostConnections > 0 && !s.hasAnswer; {
	case fells && (s.lostConnections >= maxLostConnections || s.awaitsCanary):
		b.fail(s)
		return
	case fells && s.isInFlight():
		return
	case b.mayRepeat(p):
		b.enqueueRequest(p)
		return
	}
	p.lost = true
	s.reachableWeight -= p.weight
	b.sendWithheld(s)
	if b.answerIfComplete(s); !s.ended && s.reachableWeight < s.neededWeight-1e-4 && !b.isAnswerable(s, s.reachableWeight) {
		b.fail(s)
	}
}

// dropBefore drops what is before a time from a list in order.
func dropBefore(list []int64, at int64) []int64 {
	i, _ := slices.BinarySearch(list, at)
	return list[i:]
}

// recordForBudget notes one now for the budget, where one is stated: elsewhere nothing would ever take it away.
func (b *balancer) recordForBudget(at *[]int64) {
	if b.settings.duration("Safety.LookBack") > 0 {
		*at = append(*at, b.now)
	}
}

func (b *balancer) isRepeatable(s *search) bool {
	return s.effect == "retryable" || s.step == 1 && !slices.ContainsFunc(s.requests, (*shardRequest).mayHaveRun)
}
