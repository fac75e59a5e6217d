package balancer

import "math"

const (
	sparse = 2  // entries for each live one at which a record is cleared of the others
	slack  = 64 // entries that are not worth it
)

// record is what happened at times that only rise, and a mark before the first that is not older than a limit. The
// mark moves as time and the limit do; each move is told.
type record[T any] struct {
	list []T
	at   []int64
	mark int
}

func (m *record[T]) add(at int64, v T) { m.list, m.at = append(m.list, v), append(m.at, at) }

func (m *record[T]) move(now int64, limit float64, told func(v T, at int64, older bool)) {
	for ; m.mark < len(m.list) && float64(now-m.at[m.mark]) > limit; m.mark++ {
		told(m.list[m.mark], m.at[m.mark], true)
	}
	for ; m.mark > 0 && float64(now-m.at[m.mark-1]) <= limit; m.mark-- {
		told(m.list[m.mark-1], m.at[m.mark-1], false)
	}
}

// clean drops what is not live, once that is most of it.
func (m *record[T]) clean(most int, live func(v T, at int64) bool) {
	if len(m.list) <= sparse*most+slack {
		return
	}
	n, mark := 0, m.mark
	for i, v := range m.list {
		if i == m.mark {
			mark = n
		}
		if live(v, m.at[i]) {
			m.list[n], m.at[n] = v, m.at[i]
			n++
		}
	}
	if m.mark == len(m.list) {
		mark = n
	}
	clear(m.list[n:])
	m.list, m.at, m.mark = m.list[:n], m.at[:n], mark
}

// flights keeps the count of own sub-requests in flight that are neither silent nor at a suspect. It is kept as they
// go out and land, as silence passes its limit, and as replicas become suspects and are none any more: what asks for
// it does not look at each. What silence and suspects are is told by who asks.
type flights struct {
	flying int              // all that are out
	out    record[*try]     // by when they went out
	quiet  record[*replica] // by since when they have been silent
	loud   int              // those out that are not silent
	barred int              // those of them at suspects
	stirs  []*replica       // to be looked at again
	timed  []*replica       // whose suspicion ends at a time
	next   int64            // the first such time
	quiets int              // replicas in quiet, about
}

func (f *flights) sent(t *try) {
	f.flying++
	f.out.add(t.sent, t)
	f.turn(t, true)
	f.heard(t.r)
}

// landed takes a sub-request out of flight.
func (f *flights) landed(t *try) {
	f.flying--
	f.turn(t, false)
	t.out = false
	f.out.clean(f.flying, func(t *try, _ int64) bool { return t.out })
}

// turn counts a sub-request as loud or as not.
func (f *flights) turn(t *try, loud bool) {
	if t.loud == loud || !t.out {
		return
	}
	n := -1
	if t.loud = loud; loud {
		n = 1
	}
	f.loud += n
	if t.r.loud += n; t.r.barred {
		f.barred += n
	}
}

// heard notes since when a replica has been silent.
func (f *flights) heard(r *replica) {
	if f.stir(r); len(f.quiet.list) == 0 || r.quietNoted != r.quietSince {
		r.quietNoted = r.quietSince
		f.quiet.add(r.quietSince, r)
		f.quiet.clean(f.quiets, func(r *replica, at int64) bool { return r.quiet > 0 && r.quietSince == at })
	}
}

// stir has a replica looked at again.
func (f *flights) stir(r *replica) {
	if !r.stirred {
		r.stirred = true
		f.stirs = append(f.stirs, r)
	}
}

// until has a replica looked at again at a time.
func (f *flights) until(r *replica, at int64) {
	f.stir(r)
	if f.next == 0 || at < f.next {
		f.next = at
	}
	if !r.timed {
		r.timed = true
		f.timed = append(f.timed, r)
	}
}

func (f *flights) count(now int64, silence float64, suspect func(r *replica) bool) int {
	f.out.move(now, silence, func(t *try, _ int64, older bool) { f.turn(t, !older) })
	f.quiet.move(now, silence, func(r *replica, at int64, _ bool) {
		if r.quietSince == at {
			f.stir(r)
		}
	})
	if f.next > 0 && now >= f.next {
		f.next = math.MaxInt64
		rest := f.timed[:0]
		for _, r := range f.timed {
			f.stir(r)
			if r.timed = now < max(r.restTo, r.doubtTo); r.timed {
				rest = append(rest, r)
				for _, at := range []int64{r.restTo, r.doubtTo} {
					if at > now {
						f.next = min(f.next, at)
					}
				}
			}
		}
		clear(f.timed[len(rest):])
		f.timed = rest
	}
	for _, r := range f.stirs {
		r.stirred = false
		if barred := suspect(r); barred != r.barred {
			r.barred = barred
			if barred {
				f.barred += r.loud
			} else {
				f.barred -= r.loud
			}
		}
	}
	clear(f.stirs)
	f.stirs = f.stirs[:0]
	return f.loud - f.barred
}
