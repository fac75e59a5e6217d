package balancer

import (
	"math"
	"math/rand"
	"slices"
)

const weightRounding = 1e-6 // the last decimal of a part's share: the platform tells six

// balancer is what one co-ordinator holds.
type balancer struct {
	actions  Actions
	rng      *rand.Rand
	settings settings
	now      int64
	fleet    map[string]*replica
	list     []*replica         // the same, in the order of first sight
	listed   int                // how many of them may be used
	holding  map[int][]*replica // holders of the shards from each set on, kept until the list changes
	bound    restrictionIndex
	full     map[int]bool    // spots that no replica may take in this turn
	flights  inflightCounter // own sub-requests out
	order    []sendCandidate // room for open
	fresh    []func(keep map[string]bool)
	held     map[uint64]*search // by id
	numbers  map[uint64]*search
	queue    []*search
	waiting  []*shardRequest
	next     map[uint64]*attempt // what each sub-request's outcome is handed to, by part and leg
	wakes    map[uint64]timerCallback
	label    uint64
	backlog  float64
	behind   float64     // parts waiting at the end of the last turn
	pace     decayingSum // logarithms of answer times
	usual    float64     // common(), kept while neither the time nor the count usualN moves
	usualN   float64
	usualAt  int64
	usualLog float64
	best     float64
	bestOf   float64 // the common time that best was last held against
	limit    float64
	longest  int // parts of the longest search seen
	bestAt   int64
	done     decayingSum   // answered parts
	again    decayingSum   // logarithms of answer times over the usual, of further sub-requests
	spell    decayingSum   // time of searches from leaving the queue to the answer
	spells   []decayingSum // the same by type
	tenants  []tokenBucket
	ways     []zoneLatency // by zone
	taken    []int64       // searches and parts taken in the budget's window
	further  []int64       // further sub-requests in it
	askWait  int64
	parked   bool
	fullness float64 // share of the room for searches and answers that is in use
	trimmed  int64   // when the queue was last looked at
	fell     int64   // when a replica last went down under own sub-requests, as far as they show
	trialAt  int64   // when the next trial part may go to any suspect

	tryShare float64           // of the client timeout that a first try has
	left     []withdrawnSearch // clients that left of late

	sets, reach int // of shards, as the site told at start

	doubtsTo   int64   // some replica was said to be bad, until then
	firstUsual float64 // answer time assumed before any is known
}

// search is one search this co-ordinator holds.
type search struct {
	id, number                                     uint64
	queryType                                      int
	tenant                                         int
	clientStart                                    int64 // when its client's first try came
	arrivedAt, admittedAt                          int64 // left: when it left the queue, 0 while it waits
	deadline, objectiveEnd                         int64 // last moment for a final answer; end of the latency target
	requestCount                                   int   // of its parts, in the first step
	step                                           int
	firstStepComplete                              bool
	ended                                          bool
	reduced                                        bool // parts that an answer may lack were not sent
	hasAnswer                                      bool // one of its parts has answered
	awaitsCanary                                   bool // the rest of its parts waits for the answer to one
	overQuota                                      bool // more than its tenant's share
	effect                                         string
	requests                                       []*shardRequest
	requestBuffer                                  []shardRequest      // room for parts that are still to come
	completedWeight, neededWeight, reachableWeight float64             // weight in, weight for a whole answer, weight that can still come
	extraAttempts, lostConnections                 int                 // further sub-requests sent; connections dropped under its parts once begun
	restriction                                    *ReplicaRestriction // nil where it may use any replica

	deadlineTimer, objectiveTimer uint64
}

// shardRequest is one shardRequest of a search's present step.
type shardRequest struct {
	id        uint64
	search    *search
	shard     int
	weight    float64
	queued    bool // waits for a slot
	completed bool
	lost      bool
	attempts  []*attempt

	firstAttempt  attempt // room for the first sub-request, and for tries to name it
	attemptBuffer [1]*attempt
}

// newRequest gives room for one more newRequest.
func (s *search) newRequest() *shardRequest {
	if len(s.requestBuffer) == cap(s.requestBuffer) {
		s.requestBuffer = make([]shardRequest, 0, max(1, cap(s.requestBuffer)))
	}
	s.requestBuffer = s.requestBuffer[:len(s.requestBuffer)+1]
	return &s.requestBuffer[len(s.requestBuffer)-1]
}

// addRequest takes a part in. Shares are told as rounded decimals: with the last one they are made to addRequest up to one again.
// Guards against a whole answer that is never seen as whole: what rounding leaves grows with the parts.
func (s *search) addRequest(p *shardRequest) {
	s.requests = append(s.requests, p)
	s.reachableWeight += p.weight
	if n := len(s.requests); n == s.requestCount && math.Abs(s.reachableWeight-1) <= float64(n)*weightRounding {
		for _, p := range s.requests {
			p.weight /= s.reachableWeight
		}
		s.reachableWeight = 1
	}
}

// newAttempt gives room for one more sub-request.
func (p *shardRequest) newAttempt() *attempt {
	if len(p.attempts) > 0 {
		return &attempt{}
	}
	p.attempts = p.attemptBuffer[:0]
	return &p.firstAttempt
}

// withdrawnSearch is a search whose client left.
type withdrawnSearch struct {
	queryType, tenant, requestCount     int
	clientStart, arrivedAt, withdrawnAt int64
}

// completionEstimate is what the time that a search will end by is reckoned from.
type completionEstimate struct{ now, answerRate, searchDuration float64 }

// sendCandidate is a part with what it is sorted by.
type sendCandidate struct {
	*shardRequest
	priority float64
}

// dropBefore drops what is before a time from a list in order.
func dropBefore(list []int64, at int64) []int64 {
	i, _ := slices.BinarySearch(list, at)
	return list[i:]
}

func (p *shardRequest) isInFlight() bool {
	return slices.ContainsFunc(p.attempts, func(t *attempt) bool { return !t.ended })
}

// mayHaveRun tells whether a sub-request of the part may have run.
func (p *shardRequest) mayHaveRun() bool {
	return slices.ContainsFunc(p.attempts, func(t *attempt) bool { return t.mayHaveRun || !t.ended })
}

func (s *search) isInFlight() bool {
	return slices.ContainsFunc(s.requests, (*shardRequest).isInFlight)
}

// attempt is one sub-request.
type attempt struct {
	request    *shardRequest
	replica    *replica
	index      int
	sentAt     int64
	batch      *batch
	holdsSlot  bool // holds its slot
	ended      bool // its outcome is known
	mayHaveRun bool // it may have run
	counted    bool // out, and not for longer than the silence that was last asked for
	hedgeTimer uint64
	ownBatch   batch // room for c
}

// tokenBucket is what a tenant has left of its share.
type tokenBucket struct {
	tokens    float64
	updatedAt int64
}

// zoneLatency is what own answers show of a zone.
type zoneLatency struct {
	latency   decayingSum // logarithms of answer times
	gossiped  gossipedLatency
	nextTrial int64
}

// batch is what one turn sent to one replica together.
type batch struct{ size, inFlight int }

// replica is one entry of the list with what own sub-requests have shown of it.
type replica struct {
	id                        string
	shardSet, zone            int
	eligible                  bool // listed, and neither draining nor gone
	startedAt                 int64
	batchesInFlight           int
	currentBatch              *batch
	currentBatchAt            int64
	attempts                  []*attempt
	shortLatency, longLatency decayingSum // logarithms of answer times, in a short and a long memory
	silentSince               int64
	unanswered                int // parts unanswered since silentSince
	consecutiveFailures       int
	connectFailures           int // connects that failed since its last answer
	nextTrial                 int64
	lastConnectionLoss        int64 // when a connection to it last failed or dropped
	lastSent                  int64 // the last sub-request
	slowStartCredit           float64
	slowStartUpdatedAt        int64

	lastAnswer                  int64           // its last own answer, 0 for none
	gossipedShort, gossipedLong gossipedLatency // of pace and past
	gossipedOutlierUntil        int64           // said to be bad, until then
	retryAfter                  int64           // it refused and named this time to come back

	recordedSilence  int64 // the silentSince that flights knows
	countedAttempts  int   // own sub-requests out that are not silent
	hasExpiry        bool  // its suspicion ends at a time
	countedAsOutlier bool  // a suspect when last looked at
	needsRecheck     bool  // to be looked at again
}

func (r *replica) recordLatency(now int64, pace float64) {
	r.shortLatency.add(now, shortWindow, pace)
	r.longLatency.add(now, longWindow, pace)
}

// countConnectionLoss is 1 for the first part that a failed or countConnectionLoss connection loses, and 0 for the others that it loses.
// Guards against one connection that counts as many, for the parts that were on it: they all end in one turn.
func (r *replica) countConnectionLoss(now int64) int {
	if r.lastConnectionLoss == now {
		return 0
	}
	r.lastConnectionLoss = now
	return 1
}

// gossipedLatency is a heard count of answers and how much longer than usual they took, as a mean of logarithms, as it
// was at a time; it goes on decaying.
type gossipedLatency struct {
	weight, excess float64
	importedAt     int64
}

// decayingSum is a decaying count and a decaying total, brought up to date when read.
type decayingSum struct {
	count, total         float64
	updatedAt, startedAt int64
}

func (m *decayingSum) read(now int64, span float64) (n, total float64) {
	if m.updatedAt == 0 {
		m.updatedAt, m.startedAt = now, now
	}
	if now > m.updatedAt {
		keep := math.Exp(-float64(now-m.updatedAt) / span)
		m.count, m.total, m.updatedAt = m.count*keep, m.total*keep, now
	}
	return m.count, m.total
}

func (m *decayingSum) add(now int64, span, v float64) {
	m.read(now, span)
	m.count, m.total = m.count+1, m.total+v
}

// rate is the count for each tenth of a millisecond, true also while the sum is young, if not younger than
// least.
func (m *decayingSum) rate(now int64, span, least float64) float64 {
	n, _ := m.read(now, span)
	return n / (span * (1 - math.Exp(-max(least, float64(now-m.startedAt))/span)))
}

func (m *decayingSum) mean(now int64, span float64) DecayingMean {
	n, total := m.read(now, span)
	if n == 0 {
		return DecayingMean{}
	}
	return DecayingMean{n, total / n}
}

// observation is what travels of a replica.
func (r *replica) observation(now int64, bad bool) Observation {
	b := Observation{
		Scope: ScopeReplica, Replica: r.id, Zone: r.zone, ReplicaStart: r.startedAt, ConsecutiveFailures: r.consecutiveFailures, ConsecutiveConnectFailures: r.connectFailures,
		UnansweredRequests: r.unanswered, LastAnswerAge: -1, Outlier: bad, ShortWindow: r.shortLatency.mean(now, shortWindow), LongWindow: r.longLatency.mean(now, longWindow),
	}
	if r.unanswered > 0 {
		b.SilentFor = now - r.silentSince
	}
	if r.lastAnswer > 0 {
		b.LastAnswerAge = now - r.lastAnswer
	}
	return b
}
