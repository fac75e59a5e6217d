package balancer

import "math"

const (
	compactRatio      = 2  // entries per live entry above which a list is compacted
	compactMinEntries = 64 // lists with fewer entries are not worth compacting
)

// agedList holds entries in the order of their times, with a boundary between those older than a limit and the others.
// The boundary moves as time passes and as the limit changes.
type agedList[T any] struct {
	entries  []T
	times    []int64
	boundary int // index of the first entry that is not older than the limit
}

// push adds an entry. Its time must not be earlier than that of the previous entry.
func (l *agedList[T]) push(at int64, entry T) {
	l.entries, l.times = append(l.entries, entry), append(l.times, at)
}

// moveBoundary updates the boundary and reports each entry that it passes.
func (l *agedList[T]) moveBoundary(now int64, limit float64, passed func(entry T, at int64, older bool)) {
	for ; l.boundary < len(l.entries) && float64(now-l.times[l.boundary]) > limit; l.boundary++ {
		passed(l.entries[l.boundary], l.times[l.boundary], true)
	}
	for ; l.boundary > 0 && float64(now-l.times[l.boundary-1]) <= limit; l.boundary-- {
		passed(l.entries[l.boundary-1], l.times[l.boundary-1], false)
	}
}

// compact removes the entries that are no longer live once they are most of the list; liveCount is approximately the
// number of live entries.
func (l *agedList[T]) compact(liveCount int, isLive func(entry T, at int64) bool) {
	if len(l.entries) <= compactRatio*liveCount+compactMinEntries {
		return
	}
	kept, boundary := 0, l.boundary
	for i, entry := range l.entries {
		if i == l.boundary {
			boundary = kept
		}
		if isLive(entry, l.times[i]) {
			l.entries[kept], l.times[kept] = entry, l.times[i]
			kept++
		}
	}
	if l.boundary == len(l.entries) {
		boundary = kept
	}
	clear(l.entries[kept:])
	l.entries, l.times, l.boundary = l.entries[:kept], l.times[:kept], boundary
}

// inflightCounter keeps the number of attempts in flight that are neither silent nor at an outlier. It is updated as
// attempts are sent and end, as silence passes its threshold, and as replicas become outliers and recover, so that
// reading it does not examine each attempt. The caller of count decides what counts as silence and as an outlier.
type inflightCounter struct {
	total      int                // attempts in flight
	attempts   agedList[*attempt] // by the time at which they were sent
	counted    int                // attempts in flight that are not silent
	atOutliers int                // those of counted that are at outliers

	silences     agedList[*replica] // by the time since which they have been silent
	replicaCount int                // approximate number of live entries in silences

	rechecks   []*replica // may have become outliers, or recovered
	expiring   []*replica // outliers for a reason that ends at a known time
	nextExpiry int64      // the earliest such time
}

// replicaInflight is the state that the counter keeps for each replica.
type replicaInflight struct {
	counted          int   // attempts in flight that are not silent
	countedAsOutlier bool  // it was an outlier when last checked
	needsRecheck     bool  // listed in rechecks
	hasExpiry        bool  // listed in expiring
	recordedSilence  int64 // the silentSince last added to silences
}

func (c *inflightCounter) recordSent(a *attempt) {
	c.total++
	c.attempts.push(a.sentAt, a)
	c.setCounted(a, true)
	c.recordSilence(a.replica)
}

func (c *inflightCounter) recordEnded(a *attempt) {
	c.total--
	c.setCounted(a, false)
	a.holdsSlot = false
	c.attempts.compact(c.total, func(a *attempt, _ int64) bool { return a.holdsSlot })
}

// setCounted adds an attempt in flight to the count or removes it from the count.
func (c *inflightCounter) setCounted(a *attempt, counted bool) {
	if a.counted == counted || !a.holdsSlot {
		return
	}
	change := -1
	if counted {
		change = 1
	}
	a.counted = counted
	c.counted += change
	a.replica.inflight.counted += change
	if a.replica.inflight.countedAsOutlier {
		c.atOutliers += change
	}
}

// recordSilence records since when a replica has been silent.
func (c *inflightCounter) recordSilence(r *replica) {
	c.recheck(r)
	since := r.health.silentSince
	if len(c.silences.entries) > 0 && r.inflight.recordedSilence == since {
		return
	}
	r.inflight.recordedSilence = since
	c.silences.push(since, r)
	c.silences.compact(c.replicaCount, func(r *replica, at int64) bool {
		return r.health.unanswered > 0 && r.health.silentSince == at
	})
}

// recheck makes the next count check whether a replica is an outlier.
func (c *inflightCounter) recheck(r *replica) {
	if !r.inflight.needsRecheck {
		r.inflight.needsRecheck = true
		c.rechecks = append(c.rechecks, r)
	}
}

// recheckAt makes the next count check a replica, and again once a time is reached.
func (c *inflightCounter) recheckAt(r *replica, at int64) {
	c.recheck(r)
	if c.nextExpiry == 0 || at < c.nextExpiry {
		c.nextExpiry = at
	}
	if !r.inflight.hasExpiry {
		r.inflight.hasExpiry = true
		c.expiring = append(c.expiring, r)
	}
}

// count returns the number of attempts in flight that have not been silent for longer than a threshold and are not at
// an outlier.
func (c *inflightCounter) count(now int64, silence float64, isOutlier func(r *replica) bool) int {
	c.attempts.moveBoundary(now, silence, func(a *attempt, _ int64, older bool) { c.setCounted(a, !older) })
	c.silences.moveBoundary(now, silence, func(r *replica, at int64, _ bool) {
		if r.health.silentSince == at {
			c.recheck(r)
		}
	})
	if c.nextExpiry > 0 && now >= c.nextExpiry {
		c.recheckExpiring(now)
	}
	for _, r := range c.rechecks {
		r.inflight.needsRecheck = false
		c.setOutlier(r, isOutlier(r))
	}
	clear(c.rechecks)
	c.rechecks = c.rechecks[:0]
	return c.counted - c.atOutliers
}

// recheckExpiring marks for a recheck the replicas whose time may have been reached, and determines the next such time.
func (c *inflightCounter) recheckExpiring(now int64) {
	c.nextExpiry = math.MaxInt64
	pending := c.expiring[:0]
	for _, r := range c.expiring {
		c.recheck(r)
		retryAfter, gossipedUntil := r.health.retryAfter, r.health.gossipedOutlierUntil
		r.inflight.hasExpiry = now < max(retryAfter, gossipedUntil)
		if !r.inflight.hasExpiry {
			continue
		}
		pending = append(pending, r)
		if retryAfter > now {
			c.nextExpiry = min(c.nextExpiry, retryAfter)
		}
		if gossipedUntil > now {
			c.nextExpiry = min(c.nextExpiry, gossipedUntil)
		}
	}
	clear(c.expiring[len(pending):])
	c.expiring = pending
}

func (c *inflightCounter) setOutlier(r *replica, isOutlier bool) {
	if isOutlier == r.inflight.countedAsOutlier {
		return
	}
	r.inflight.countedAsOutlier = isOutlier
	if isOutlier {
		c.atOutliers += r.inflight.counted
	} else {
		c.atOutliers -= r.inflight.counted
	}
}
