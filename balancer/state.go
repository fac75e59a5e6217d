package balancer

import (
	"math"
	"math/rand"
	"slices"
)

const shareUnit = 1e-6 // the last decimal of a part's share: the platform tells six

// coordinator is what one co-ordinator holds.
type coordinator struct {
	out      Actions
	chance   *rand.Rand
	facts    siteFacts
	now      int64
	fleet    map[string]*replica
	list     []*replica         // the same, in the order of first sight
	listed   int                // how many of them may be used
	holding  map[int][]*replica // holders of the shards from each set on, kept until the list changes
	bound    bounded
	full     map[int]bool // spots that no replica may take in this turn
	flights  flights      // own sub-requests out
	order    []ordered    // room for open
	fresh    []func(keep map[string]bool)
	held     map[uint64]*search // by id
	numbers  map[uint64]*search
	queue    []*search
	waiting  []*part
	next     map[uint64]*try // what each sub-request's outcome is handed to, by part and leg
	wakes    map[uint64]woken
	label    uint64
	backlog  float64
	behind   float64 // parts waiting at the end of the last turn
	pace     sum     // logarithms of answer times
	usual    float64 // common(), kept while neither the time nor the count usualN moves
	usualN   float64
	usualAt  int64
	usualLog float64
	best     float64
	bestOf   float64 // the common time that best was last held against
	limit    float64
	longest  int // parts of the longest search seen
	bestAt   int64
	done     sum   // answered parts
	again    sum   // logarithms of answer times over the usual, of further sub-requests
	spell    sum   // time of searches from leaving the queue to the answer
	spells   []sum // the same by type
	tenants  []bucket
	ways     []way   // by zone
	taken    []int64 // searches and parts taken in the budget's window
	further  []int64 // further sub-requests in it
	askWait  int64
	parked   bool
	fullness float64 // share of the room for searches and answers that is in use
	trimmed  int64   // when the queue was last looked at
	fell     int64   // when a replica last went down under own sub-requests, as far as they show
	trialAt  int64   // when the next trial part may go to any suspect

	tryShare float64  // of the client timeout that a first try has
	left     []leaver // clients that left of late

	sets, reach int // of shards, as the site told at start

	doubtsTo   int64   // some replica was said to be bad, until then
	firstUsual float64 // answer time assumed before any is known
}

// search is one search this co-ordinator holds.
type search struct {
	id, number     uint64
	qtype          int
	tenant         int
	first          int64 // when its client's first try came
	came, left     int64 // left: when it left the queue, 0 while it waits
	due, useful    int64 // last moment for a final answer; end of the latency target
	count          int   // of its parts, in the first step
	step           int
	firstWhole     bool
	over           bool
	cut            bool // parts that an answer may lack were not sent
	sound          bool // one of its parts has answered
	ahead          bool // the rest of its parts waits for the answer to one
	beyond         bool // more than its tenant's share
	effect         string
	parts          []*part
	slab           []part              // room for parts that are still to come
	in, need, most float64             // weight in, weight for a whole answer, weight that can still come
	copies, lost   int                 // further sub-requests sent; connections dropped under its parts once begun
	bounds         *ReplicaRestriction // nil where it may use any replica

	dueWake, usefulWake uint64
}

// part is one part of a search's present step.
type part struct {
	id     uint64
	s      *search
	shard  int
	weight float64
	queued bool // waits for a slot
	in     bool
	dead   bool
	tries  []*try

	first try // room for the first sub-request, and for tries to name it
	one   [1]*try
}

// part gives room for one more part.
func (s *search) part() *part {
	if len(s.slab) == cap(s.slab) {
		s.slab = make([]part, 0, max(1, cap(s.slab)))
	}
	s.slab = s.slab[:len(s.slab)+1]
	return &s.slab[len(s.slab)-1]
}

// add takes a part in. Shares are told as rounded decimals: with the last one they are made to add up to one again.
// Guards against a whole answer that is never seen as whole: what rounding leaves grows with the parts.
func (s *search) add(p *part) {
	s.parts = append(s.parts, p)
	s.most += p.weight
	if n := len(s.parts); n == s.count && math.Abs(s.most-1) <= float64(n)*shareUnit {
		for _, p := range s.parts {
			p.weight /= s.most
		}
		s.most = 1
	}
}

// try gives room for one more sub-request.
func (p *part) try() *try {
	if len(p.tries) > 0 {
		return &try{}
	}
	p.tries = p.one[:0]
	return &p.first
}

// leaver is a search whose client left.
type leaver struct {
	qtype, tenant, count int
	first, came, at      int64
}

// lateness is what the time that a search will end by is reckoned from.
type lateness struct{ now, speed, spell float64 }

// ordered is a part with what it is sorted by.
type ordered struct {
	*part
	ease float64
}

// since drops what is before a time from a list in order.
func since(list []int64, at int64) []int64 {
	i, _ := slices.BinarySearch(list, at)
	return list[i:]
}

func (p *part) flies() bool {
	return slices.ContainsFunc(p.tries, func(t *try) bool { return !t.settled })
}

// ran tells whether a sub-request of the part may have run.
func (p *part) ran() bool {
	return slices.ContainsFunc(p.tries, func(t *try) bool { return t.maybe || !t.settled })
}

func (s *search) flies() bool { return slices.ContainsFunc(s.parts, (*part).flies) }

// try is one sub-request.
type try struct {
	p       *part
	r       *replica
	leg     int
	sent    int64
	c       *call
	out     bool // holds its slot
	settled bool // its outcome is known
	maybe   bool // it may have run
	loud    bool // out, and not for longer than the silence that was last asked for
	wake    uint64
	own     call // room for c
}

// bucket is what a tenant has left of its share.
type bucket struct {
	left float64
	at   int64
}

// way is what own answers show of a zone.
type way struct {
	pace    sum // logarithms of answer times
	heard   hearsay
	trialAt int64
}

// call is what one turn sent to one replica together.
type call struct{ parts, out int }

// replica is one entry of the list with what own sub-requests have shown of it.
type replica struct {
	id         string
	cell, zone int
	open       bool // listed, and neither draining nor gone
	since      int64
	calls      int
	turn       *call
	turnAt     int64
	tries      []*try
	pace, past sum // logarithms of answer times, in a short and a long memory
	quietSince int64
	quiet      int // parts unanswered since quietSince
	strikes    int
	refused    int // connects that failed since its last answer
	trialAt    int64
	droppedAt  int64 // when a connection to it last failed or dropped
	sentAt     int64 // the last sub-request
	credit     float64
	creditAt   int64

	answered    int64   // its last own answer, 0 for none
	short, long hearsay // of pace and past
	doubtTo     int64   // said to be bad, until then
	restTo      int64   // it refused and named this time to come back

	quietNoted int64 // the quietSince that flights knows
	loud       int   // own sub-requests out that are not silent
	timed      bool  // its suspicion ends at a time
	barred     bool  // a suspect when last looked at
	stirred    bool  // to be looked at again
}

func (r *replica) took(now int64, pace float64) {
	r.pace.add(now, paceSpan, pace)
	r.past.add(now, pastSpan, pace)
}

// dropped is 1 for the first part that a failed or dropped connection loses, and 0 for the others that it loses.
// Guards against one connection that counts as many, for the parts that were on it: they all end in one turn.
func (r *replica) dropped(now int64) int {
	if r.droppedAt == now {
		return 0
	}
	r.droppedAt = now
	return 1
}

// hearsay is a heard count of answers and how much longer than usual they took, as a mean of logarithms, as it
// was at a time; it goes on decaying.
type hearsay struct {
	n, slower float64
	at        int64
}

// sum is a decaying count and a decaying total, brought up to date when read.
type sum struct {
	n, total  float64
	at, start int64
}

func (m *sum) read(now int64, span float64) (n, total float64) {
	if m.at == 0 {
		m.at, m.start = now, now
	}
	if now > m.at {
		keep := math.Exp(-float64(now-m.at) / span)
		m.n, m.total, m.at = m.n*keep, m.total*keep, now
	}
	return m.n, m.total
}

func (m *sum) add(now int64, span, v float64) {
	m.read(now, span)
	m.n, m.total = m.n+1, m.total+v
}

// rate is the count for each tenth of a millisecond, true also while the sum is young, if not younger than
// least.
func (m *sum) rate(now int64, span, least float64) float64 {
	n, _ := m.read(now, span)
	return n / (span * (1 - math.Exp(-max(least, float64(now-m.start))/span)))
}

func (m *sum) tally(now int64, span float64) DecayingMean {
	n, total := m.read(now, span)
	if n == 0 {
		return DecayingMean{}
	}
	return DecayingMean{n, total / n}
}

// belief is what travels of a replica.
func (r *replica) belief(now int64, bad bool) Observation {
	b := Observation{
		Scope: ScopeReplica, Replica: r.id, Zone: r.zone, ReplicaStart: r.since, ConsecutiveFailures: r.strikes, ConsecutiveConnectFailures: r.refused,
		UnansweredRequests: r.quiet, LastAnswerAge: -1, Outlier: bad, ShortWindow: r.pace.tally(now, paceSpan), LongWindow: r.past.tally(now, pastSpan),
	}
	if r.quiet > 0 {
		b.SilentFor = now - r.quietSince
	}
	if r.answered > 0 {
		b.LastAnswerAge = now - r.answered
	}
	return b
}
