package subscribers

import (
	"cmp"
	"container/heap"
)

const (
	// maxInFlight limits the searches and deliveries of a gateway.
	maxInFlight = 256

	// maxClockSetBack is how far the clock may be set back without effect on the schedule. A search that is due later than
	// its interval plus maxClockSetBack from now is scheduled again.
	maxClockSetBack = 600 * second
)

// DueSearch is a standing search to start now.
type DueSearch struct {
	Key     Key
	Consent uint64
	Details
	Period int64 // number of the interval since 1970, shifted by the subscriber's offset

	subscription *subscription
}

// StartDueSearches returns at most limit searches to start now, each of which the caller ends by CompleteSearch, and
// when the next search is due, 0 if none is scheduled.
func (g *Gateway) StartDueSearches(now int64, limit int) (searches []DueSearch, next int64) {
	for len(g.schedule) > 0 && g.schedule[0].nextSearchAt <= now && len(searches) < limit && g.inFlight < maxInFlight {
		s := g.schedule[0]
		if !g.allowsTenantHere(s.key.Tenant) { // no longer: a contract has taken effect, or the lease on the policy has expired
			g.scheduleNext(s, now)
			continue
		}
		g.schedule.remove(s)
		s.searching = true
		g.inFlight++
		g.stats.Searches++
		searches = append(searches, DueSearch{s.key, s.Consent, s.Details, s.period(now), s})
	}
	if len(g.schedule) > 0 {
		first := g.schedule[0]
		next = first.nextSearchAt
		if next > now+maxClockSetBack+first.Details.Interval {
			g.scheduleNext(first, now)
		}
	}
	return searches, next
}

func (g *Gateway) allowsTenantHere(tenant string) bool {
	return g.rules.AllowsTenantData == nil || g.rules.AllowsTenantData(tenant, g.self.Zone)
}

// scheduleNext sets the time of the next search. Each subscriber has an offset within its interval, the same on all
// gateways, so that the searches of a gone gateway's subscribers are spread over the interval on the others.
func (g *Gateway) scheduleNext(s *subscription, from int64) {
	interval := s.Details.Interval
	sinceLast := ((from-s.offset())%interval + interval) % interval
	s.nextSearchAt = from + interval - sinceLast
	if s.scheduleIndex >= 0 {
		heap.Fix(&g.schedule, s.scheduleIndex)
	} else if s.served && !s.searching {
		heap.Push(&g.schedule, s)
	}
}

func (s *subscription) offset() int64 { return int64(s.hash % uint64(s.Details.Interval)) }

func (s *subscription) period(now int64) int64 { return (now - s.offset()) / s.Details.Interval }

// searchSchedule is a heap of the subscriptions served here that are not being searched, ordered by their next search.
type searchSchedule []*subscription

// remove removes a subscription, if it is in the schedule.
func (h *searchSchedule) remove(s *subscription) {
	if s.scheduleIndex >= 0 {
		heap.Remove(h, s.scheduleIndex)
	}
}

// Len is part of heap.Interface.
func (h searchSchedule) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h searchSchedule) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].nextSearchAt, h[j].nextSearchAt), cmp.Compare(h[i].hash, h[j].hash)) < 0
}

// Swap is part of heap.Interface.
func (h searchSchedule) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].scheduleIndex, h[j].scheduleIndex = i, j
}

// Push is part of heap.Interface.
func (h *searchSchedule) Push(value any) {
	s := value.(*subscription)
	s.scheduleIndex = len(*h)
	*h = append(*h, s)
}

// Pop is part of heap.Interface.
func (h *searchSchedule) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last], s.scheduleIndex = nil, -1
	*h = (*h)[:last]
	return s
}
