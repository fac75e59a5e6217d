package balancer

import (
	"math"
)

const (
	compactRatio      = 2  // entries for each live one at which a record is cleared of the others
	compactMinEntries = 64 // entries that are not worth it
)

// agedList is what happened at times that only rise, and a mark before the first that is not older than a limit. The
// mark moves as time and the limit do; each move is told.
type agedList[T any] struct {
	entries  []T
	times    []int64
	boundary int
}

func (m *agedList[T]) push(at int64, v T) {
	m.entries, m.times = append(m.entries, v), append(m.times, at)
}

func (m *agedList[T]) moveBoundary(now int64, limit float64, told func(v T, at int64, older bool)) {
	for ; m.boundary < len(m.entries) && float64(now-m.times[m.boundary]) > limit; m.boundary++ {
		told(m.entries[m.boundary], m.times[m.boundary], true)
	}
	for ; m.boundary > 0 && float64(now-m.times[m.boundary-1]) <= limit; m.boundary-- {
		told(m.entries[m.boundary-1], m.times[m.boundary-1], false)
	}
}

// compact drops what is not live, once that is most of it.
func (m *agedList[T]) compact(most int, live func(v T, at int64) bool) {
	if len(m.entries) <= compactRatio*most+compactMinEntries {
		return
	}
	n, mark := 0, m.boundary
	for i, v := range m.entries {
		if i == m.boundary {
			mark = n
		}
		if live(v, m.times[i]) {
			m.entries[n], m.times[n] = v, m.times[i]
			n++
		}
	}
	if m.boundary == len(m.entries) {
		mark = n
	}
	clear(m.entries[n:])
	m.entries, m.times, m.boundary = m.entries[:n], m.times[:n], mark
}

// inflightCounter keeps the count of own sub-requests in flight that are neither silent nor at a suspect. It is kept as they
// go out and land, as silence passes its limit, and as replicas become suspects and are none any more: what asks for
// it does not look at each. What silence and suspects are is told by who asks.
type inflightCounter struct {
	total        int                // all that are out
	attempts     agedList[*attempt] // by when they went out
	silences     agedList[*replica] // by since when they have been silent
	counted      int                // those out that are not silent
	atOutliers   int                // those of them at suspects
	rechecks     []*replica         // to be looked at again
	expiring     []*replica         // whose suspicion ends at a time
	nextExpiry   int64              // the first such time
	replicaCount int                // replicas in quiet, about
}

func (f *inflightCounter) recordSent(t *attempt) {
	f.total++
	f.attempts.push(t.sentAt, t)
	f.setCounted(t, true)
	f.recordSilence(t.replica)
}

// recordEnded takes a sub-request out of flight.
func (f *inflightCounter) recordEnded(t *attempt) {
	f.total--
	f.setCounted(t, false)
	t.holdsSlot = false
	f.attempts.compact(f.total, func(t *attempt, _ int64) bool { return t.holdsSlot })
}

// setCounted counts a sub-request as loud or as not.
func (f *inflightCounter) setCounted(t *attempt, loud bool) {
	if t.counted == loud || !t.holdsSlot {
		return
	}
	n := -1
	if t.counted = loud; loud {
		n = 1
	}
	f.counted += n
	if t.replica.countedAttempts += n; t.replica.countedAsOutlier {
		f.atOutliers += n
	}
}

// recordSilence notes since when a replica has been silent.
func (f *inflightCounter) recordSilence(r *replica) {
	if f.recheck(r); len(f.silences.entries) == 0 || r.recordedSilence != r.silentSince {
		r.recordedSilence = r.silentSince
		f.silences.push(r.silentSince, r)
		f.silences.compact(f.replicaCount, func(r *replica, at int64) bool { return r.unanswered > 0 && r.silentSince == at })
	}
}

// recheck has a replica looked at again.
func (f *inflightCounter) recheck(r *replica) {
	if !r.needsRecheck {
		r.needsRecheck = true
		f.rechecks = append(f.rechecks, r)
	}
}

// recheckAt has a replica looked at again at a time.
func (f *inflightCounter) recheckAt(r *replica, at int64) {
	f.recheck(r)
	if f.nextExpiry == 0 || at < f.nextExpiry {
		f.nextExpiry = at
	}
	if !r.hasExpiry {
		r.hasExpiry = true
		f.expiring = append(f.expiring, r)
	}
}

func (f *inflightCounter) count(now int64, silence float64, suspect func(r *replica) bool) int {
	f.attempts.moveBoundary(now, silence, func(t *attempt, _ int64, older bool) { f.setCounted(t, !older) })
	f.silences.moveBoundary(now, silence, func(r *replica, at int64, _ bool) {
		if r.silentSince == at {
			f.recheck(r)
		}
	})
	if f.nextExpiry > 0 && now >= f.nextExpiry {
		f.nextExpiry = math.MaxInt64
		rest := f.expiring[:0]
		for _, r := range f.expiring {
			f.recheck(r)
			if r.hasExpiry = now < max(r.retryAfter, r.gossipedOutlierUntil); r.hasExpiry {
				rest = append(rest, r)
				for _, at := range []int64{r.retryAfter, r.gossipedOutlierUntil} {
					if at > now {
						f.nextExpiry = min(f.nextExpiry, at)
					}
				}
			}
		}
		clear(f.expiring[len(rest):])
		f.expiring = rest
	}
	for _, r := range f.rechecks {
		r.needsRecheck = false
		if barred := suspect(r); barred != r.countedAsOutlier {
			r.countedAsOutlier = barred
			if barred {
				f.atOutliers += r.countedAttempts
			} else {
				f.atOutliers -= r.countedAttempts
			}
		}
	}
	clear(f.rechecks)
	f.rechecks = f.rechecks[:0]
	return f.counted - f.atOutliers
}
