package membership

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"
)

const (
	ms           = 10
	PingInterval = 500 * ms       // between pings of one listed instance after the other, and of one that is doubted
	PingTimeout  = 300 * ms       // that an answer may take: the longest way round the earth and a busy machine
	fresh        = 1500 * ms      // that an answer counts for a sweep asked for after it: the gossip gives nobody up sooner after a cut
	slower       = 3              // doublings of the time between pings of one that stays doubted
	triesMost    = 3              // pings unanswered after which an instance is suspect: of ten packets one may be lost
	seatsMost    = 2 * MaxMembers // lives that a watch follows: each name's and the one before it
)

// FailureDetector decides whom an instance pings itself and what the book is told of whom. The gossip's own detection looks at one
// instance after the other: one that is cut off from 300 would count them as heard for minutes. So the first that does not
// answer makes the watch ping all listed at once, again while more are found, and those that do not answer are suspect.
// What the gossip gives up is only suspect too, until all listed have been pinged since, it has not answered, and more
// than half are heard: those that are cut off give nobody up. It is one goroutine's.
type FailureDetector struct {
	book  *Table
	dice  *rand.Rand
	seats map[string]*seat
	gone  int      // seats that are missing
	round []string // keys still to be pinged in this round
	next  int64    // when the round goes on
	sweep int64    // when the last sweep was asked for, 0 for never
	tick  int64    // when Tick was called last, 0 for never
	found bool     // one became suspect since the last sweep was asked for
	blind bool     // it was long ago: nothing counts until all have been pinged again
}

// seat is a life as the gossip names it.
type seat struct {
	m       Member
	listed  bool
	missing int64 // since when the gossip misses it, 0 if it does not
	look    uint64
	doubt   bool
	tries   int   // pings unanswered in a row
	asked   int64 // when the ping under way was sent, 0 for none
	again   int64 // when to ping it outside the round, 0 for not
	swept   int64 // when the last ping was sent of which the end counts for a sweep
}

func NewFailureDetector(book *Table, dice *rand.Rand) *FailureDetector {
	return &FailureDetector{book: book, dice: dice, seats: map[string]*seat{}}
}

// RecordNodeAlive takes from the gossip that a life is there or has changed; key is the gossip's name of it.
func (w *FailureDetector) RecordNodeAlive(now int64, key string, m Member) {
	s := w.seats[key]
	if s == nil {
		if len(w.seats) >= seatsMost || !m.IsValid() {
			return
		}
		s = &seat{listed: w.book.IsVoter(m.Name)}
		w.seats[key] = s
	} else if s.m.Incarnation != m.Incarnation {
		w.book.ApplyUpdate(now, Member{Name: s.m.Name, Incarnation: s.m.Incarnation, State: Dead}) // it says so itself
	}
	s.m = m
	if s.missing != 0 {
		s.missing, s.doubt, s.tries = 0, false, 0
		s.look++
		w.gone--
	}
	w.tell(now, s)
	if m.State.IsTerminal() {
		delete(w.seats, key)
	}
}

// tell tells the book how a seat stands.
func (w *FailureDetector) tell(now int64, s *seat) {
	m := s.m
	m.SuspicionVersion = s.look
	if !m.State.IsTerminal() && (s.doubt || s.missing != 0) {
		m.State = Suspect
	}
	w.book.ApplyUpdate(now, m)
}

// RecordNodeMissing takes from the gossip that it has given a life up.
func (w *FailureDetector) RecordNodeMissing(now int64, key string) {
	if s := w.seats[key]; s != nil && s.missing == 0 {
		s.missing, s.again = max(1, now), 0
		if s.tries < triesMost {
			s.again = now
		}
		s.look++
		w.gone++
		w.tell(now, s)
		w.sweep = max(1, now)
	}
}

// DuePings are the lives to ping now; Answered has to be called for each.
func (w *FailureDetector) DuePings(now int64) (keys []string) {
	for key, s := range w.seats {
		if s.asked == 0 && s.listed && (w.sweeps(s) || s.again != 0 && now >= s.again) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if now >= w.next {
		w.next = now + PingInterval
		if key := w.turn(); key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		w.seats[key].asked, w.seats[key].again = max(1, now), 0
	}
	return keys
}

// turn is the next of the round, which all that are listed and there are in once, in an order of chance.
func (w *FailureDetector) turn() string {
	if len(w.round) == 0 {
		for _, key := range slices.Sorted(maps.Keys(w.seats)) {
			if w.seats[key].listed {
				w.round = append(w.round, key)
			}
		}
		w.dice.Shuffle(len(w.round), func(i, j int) { w.round[i], w.round[j] = w.round[j], w.round[i] })
	}
	for len(w.round) > 0 {
		key := w.round[0]
		w.round = w.round[1:]
		if s := w.seats[key]; s != nil && s.asked == 0 && s.missing == 0 {
			return key
		}
	}
	return ""
}

// sweeps tells whether a sweep still wants to ping a seat.
func (w *FailureDetector) sweeps(s *seat) bool { return s.swept < w.sweep-fresh }

// RecordPingResult takes how a ping ended.
func (w *FailureDetector) RecordPingResult(now int64, key string, ok bool) {
	s := w.seats[key]
	if s == nil {
		return
	}
	sent := s.asked
	s.asked = 0
	if ok {
		w.answered(now, s, sent)
	} else {
		w.unanswered(now, s, sent)
	}
	w.giveUp(now)
}

func (w *FailureDetector) answered(now int64, s *seat, sent int64) {
	s.swept, s.tries = max(s.swept, sent), 0
	if s.doubt {
		s.doubt = false
		s.look++
		w.tell(now, s)
	}
	if s.missing != 0 { // guards against giving up one that lives: the gossip will have it back, or it dies later
		s.missing, s.again = max(1, now), now+PingInterval
	}
}

func (w *FailureDetector) unanswered(now int64, s *seat, sent int64) {
	s.tries++
	if s.tries < triesMost {
		s.again = now
		return
	}
	s.swept = max(s.swept, sent)
	if s.missing == 0 { // or else the gossip says when it is back
		s.again = now + PingInterval<<min(slower, s.tries-triesMost)
	}
	if !s.doubt {
		s.doubt, w.found = true, true
		s.look++
		w.tell(now, s)
	}
	if s.missing > w.sweep {
		w.sweep = max(1, now)
	}
}

// open tells whether a sweep is under way.
func (w *FailureDetector) open() bool {
	for _, s := range w.seats {
		if s.listed && w.sweeps(s) {
			return true
		}
	}
	return false
}

// Tick gives up those that are missing where that may be; to be called ten times a second. Where that was not done, the
// process was stopped or had no time, and all are looked at anew before any of them counts.
func (w *FailureDetector) Tick(now int64) {
	if w.tick != 0 && now-w.tick > MaxDetectorStaleness {
		w.blind, w.sweep = true, max(1, now)
	}
	w.tick = now
	if w.blind = w.blind && w.open(); !w.blind {
		w.book.MarkDetectorCurrent(now)
	}
	if w.found && now >= w.sweep+fresh && !w.open() { // guards against those that answered just before a cut
		w.found, w.sweep = false, now
	}
	w.giveUp(now)
}

func (w *FailureDetector) giveUp(now int64) {
	if w.gone == 0 || w.open() || !w.book.HasMajority(now) { // guards against a minority's word that all the others are gone
		return
	}
	for _, key := range slices.Sorted(maps.Keys(w.seats)) {
		s := w.seats[key]
		if s.missing == 0 || w.sweep < s.missing || s.listed && s.tries < triesMost {
			continue
		}
		over := s.m
		over.State = Dead
		w.book.ApplyUpdate(now, over)
		w.gone--
		delete(w.seats, key)
	}
}

// RejectedNode is a life, by the gossip's name, and the words on the ends of its name's lives that it is to be told.
type RejectedNode struct {
	NodeName          string
	EndedIncarnations []Member
}

// RejectedNodes are the lives that the gossip has as there but that are over in the book, or older than one that is over: they
// are to be told so, and come back as another incarnation.
func (w *FailureDetector) RejectedNodes() (all []RejectedNode) {
	for key, s := range w.seats {
		if s.missing == 0 && w.book.RequiresNewIncarnation(s.m.Name, s.m.Incarnation) {
			all = append(all, RejectedNode{key, w.book.EndedIncarnations(s.m.Name)})
		}
	}
	slices.SortFunc(all, func(x, y RejectedNode) int { return cmp.Compare(x.NodeName, y.NodeName) })
	return all
}

// NodeName is the gossip's name of a member's latest life that is there; empty where none is.
func (w *FailureDetector) NodeName(name string) (key string) {
	var best *seat
	for _, at := range slices.Sorted(maps.Keys(w.seats)) {
		s := w.seats[at]
		if s.m.Name == name && s.missing == 0 && (best == nil || cmp.Compare(s.m.Incarnation, best.m.Incarnation) > 0) {
			key, best = at, s
		}
	}
	return key
}

// IsTracked tells whether a life is followed at all, Here whether the gossip has it as there.
func (w *FailureDetector) IsTracked(key string) bool { return w.seats[key] != nil }

func (w *FailureDetector) IsPresent(key string) bool {
	return w.seats[key] != nil && w.seats[key].missing == 0
}
