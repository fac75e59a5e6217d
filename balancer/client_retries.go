package balancer

import (
	"slices"
)

const (
	clientTimeoutSlack  = 500    // of a try's time under first tries' that shows what was spent: 50 ms are on the way
	withdrawnSearchTTL  = 10_000 // from a client's leaving to its new try: it comes at once
	retryObjectiveShare = 0.5    // of the latency target left to a client's new try: its first was shed or came late
)

// objectiveFor is how long an answer may take to be worth its full value. A new try has spent part of that: how
// much shows where less of the client's time is left than first tries have. Guards against clients that leave
// early and ask again: such a one will leave after as long again. Harm: a new try of a client that gives less
// time of its own accord counts as one that has spent it.
func (b *balancer) objectiveFor(s *search, grace int64, retry bool) int64 {
	aim := b.settings.duration(b.settings.fieldName("Classes", s.queryType, "Aim"))
	most := b.settings.duration(b.settings.fieldName("Classes", s.queryType, "Deadline"))
	b.tryShare = max(b.tryShare, min(1, float64(grace)/float64(max(1, most, grace))))
	if !retry {
		return aim
	}
	spent := int64(float64(aim) * (1 - retryObjectiveShare))
	if float64(grace) < b.tryShare*float64(most)-clientTimeoutSlack {
		spent = most - grace
	}
	same := func(l withdrawnSearch) bool {
		return l.queryType == s.queryType && l.tenant == s.tenant && l.requestCount == s.requestCount
	}
	if i := slices.IndexFunc(b.left, same); i >= 0 && b.now-b.left[i].withdrawnAt <= withdrawnSearchTTL {
		l := b.left[i]
		b.left = slices.Delete(b.left, i, i+1)
		s.clientStart = l.clientStart
		return min(l.clientStart+aim-b.now, l.withdrawnAt-l.arrivedAt-b.settings.duration("Tick"))
	}
	return aim - spent
}

// withdrawnSearch is a search whose client left.
type withdrawnSearch struct {
	queryType, tenant, requestCount     int
	clientStart, arrivedAt, withdrawnAt int64
}
