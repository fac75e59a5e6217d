package balancer

import (
	"math"
	"slices"
)

const (
	// weightRounding is the unit of the last decimal place of a request's weight: the protocols send six decimals.
	weightRounding = 1e-6
	// weightTolerance is how far weights may fall short before requests count as missing: many rounded weights add up
	// to less than their true sum.
	weightTolerance = 1e-4
)

// search is a search that has no final answer yet.
type search struct {
	id, number        uint64
	queryType, tenant int

	clientStart  int64 // arrival of its client's first attempt, as far as known
	arrivedAt    int64
	admittedAt   int64 // 0 while it is queued
	deadline     int64 // latest time for a final answer
	objectiveEnd int64 // end of the latency objective

	requestCount      int // of the first step, as announced
	step              int // 1 or 2
	firstStepComplete bool
	ended             bool
	reduced           bool // fewer requests were sent than a complete answer needs, as a partial one will do
	hasAnswer         bool // at least one of its requests was answered
	awaitsCanary      bool // its other requests wait for the answer to one
	overQuota         bool // it is beyond its tenant's quota
	effect            string

	requests      []*shardRequest // of the current step
	requestBuffer []shardRequest  // preallocated for requests still to be added

	completedWeight float64 // weight of the answers so far
	neededWeight    float64 // weight of a complete answer
	reachableWeight float64 // weight that can still be reached

	extraAttempts   int                 // retries and hedged attempts
	lostConnections int                 // connections dropped after its requests had begun to run
	restriction     *ReplicaRestriction // nil if it may use any replica

	deadlineTimer, objectiveTimer uint64
}

// shardRequest is the part of a search's current step that one shard answers.
type shardRequest struct {
	id        uint64
	search    *search
	shard     int
	weight    float64 // share of the complete answer
	queued    bool    // waiting for a slot and a replica
	completed bool
	lost      bool // its answer can no longer come, or is no longer wanted
	attempts  []*attempt

	// Storage for the first attempt and for the slice that refers to it, so that they need no allocation of their own.
	firstAttempt  attempt
	attemptBuffer [1]*attempt
}

// attempt is a shard request sent once to a replica.
type attempt struct {
	request    *shardRequest
	replica    *replica
	index      int // among the attempts of its request
	sentAt     int64
	batch      *batch
	holdsSlot  bool // in flight
	ended      bool // the outcome is known
	mayHaveRun bool
	counted    bool // counted by inflightCounter as in flight and not silent
	hedgeTimer uint64
	ownBatch   batch // storage for a batch that starts with this attempt
}

// searchTable holds the open searches and the attempts whose outcomes are awaited.
type searchTable struct {
	byID     map[uint64]*search
	byNumber map[uint64]*search
	attempts map[uint64]*attempt // by attemptKey
}

func newSearchTable() searchTable {
	return searchTable{byID: map[uint64]*search{}, byNumber: map[uint64]*search{}, attempts: map[uint64]*attempt{}}
}

func (t *searchTable) add(s *search) { t.byID[s.id], t.byNumber[s.number] = s, s }

func (t *searchTable) remove(s *search) {
	delete(t.byID, s.id)
	delete(t.byNumber, s.number)
}

// attemptKey is the key of an attempt. A request has fewer than 256 attempts.
func attemptKey(request uint64, index int) uint64 { return request<<8 | uint64(index) }

// newRequest returns storage for one more request.
func (s *search) newRequest() *shardRequest {
	if len(s.requestBuffer) == cap(s.requestBuffer) {
		s.requestBuffer = make([]shardRequest, 0, max(1, cap(s.requestBuffer)))
	}
	s.requestBuffer = s.requestBuffer[:len(s.requestBuffer)+1]
	return &s.requestBuffer[len(s.requestBuffer)-1]
}

// addRequest adds a request. Weights are rounded decimals. When the last request is added they are scaled to add up to
// 1 again; otherwise an answer with all of them would not count as complete, since the rounding error grows with their
// number.
func (s *search) addRequest(request *shardRequest) {
	s.requests = append(s.requests, request)
	s.reachableWeight += request.weight
	count := len(s.requests)
	if count == s.requestCount && math.Abs(s.reachableWeight-1) <= float64(count)*weightRounding {
		for _, r := range s.requests {
			r.weight /= s.reachableWeight
		}
		s.reachableWeight = 1
	}
}

// beginSecondStep starts the second step, whose requests the protocol derives from the answer to the first. The second
// step needs all of its requests.
func (s *search) beginSecondStep() {
	s.step, s.requests, s.extraAttempts = 2, nil, 0
	s.completedWeight, s.reachableWeight, s.neededWeight = 0, 0, 1
}

// isComplete tells whether the answers so far make up a complete answer.
func (s *search) isComplete() bool { return s.completedWeight >= s.neededWeight-weightRounding }

// isShort tells whether a weight is too little for a complete answer.
func (s *search) isShort(weight float64) bool { return weight < s.neededWeight-weightTolerance }

// canSpareRequests tells whether a complete answer needs fewer requests than can still be answered.
func (s *search) canSpareRequests() bool { return s.neededWeight < s.reachableWeight-weightTolerance }

func (s *search) isInFlight() bool {
	return slices.ContainsFunc(s.requests, (*shardRequest).isInFlight)
}

// isRepeatable tells whether the client may safely send the search again: it is idempotent, or no part of it has run.
func (s *search) isRepeatable() bool {
	return s.effect == effectRetryable || s.step == 1 && !slices.ContainsFunc(s.requests, (*shardRequest).mayHaveRun)
}

// newAttempt returns storage for one more attempt.
func (r *shardRequest) newAttempt() *attempt {
	if len(r.attempts) > 0 {
		return &attempt{}
	}
	r.attempts = r.attemptBuffer[:0]
	return &r.firstAttempt
}

// isOpen tells whether the answer to the request is still wanted.
func (r *shardRequest) isOpen() bool { return !r.search.ended && !r.completed && !r.lost }

func (r *shardRequest) isInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended })
}

// mayHaveRun tells whether an attempt of the request may have run.
func (r *shardRequest) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun || !a.ended })
}

// wasSentTo tells whether an attempt of the request was sent to a replica.
func (r *shardRequest) wasSentTo(target *replica) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.replica == target })
}

func (b *balancer) AddShardRequest(id, number uint64, shard int, weight float64) {
	b.recordRequest()
	s := b.searches.byNumber[number]
	if s == nil || s.ended {
		return
	}
	request := s.newRequest()
	request.id, request.search, request.shard, request.weight = id, s, shard, weight
	s.addRequest(request)
	if s.step == 2 {
		b.enqueueRequest(request) // the second step was admitted with the first
	}
}

// CancelSearch ends a search whose client has disconnected, and remembers it in case the client sends it again.
func (b *balancer) CancelSearch(id uint64) {
	if s := b.searches.byID[id]; s != nil {
		b.clients.recordWithdrawn(s, b.now)
		b.endSearch(s)
	}
}

// endSearch releases what a search holds. The search must have got its final answer or been withdrawn.
func (b *balancer) endSearch(s *search) {
	s.ended, s.requestBuffer = true, nil
	b.cancelTimer(s.deadlineTimer)
	b.cancelTimer(s.objectiveTimer)
	b.cancelStep(s)
	b.searches.remove(s)
}

// cancelStep cancels the attempts in flight of the current step.
func (b *balancer) cancelStep(s *search) {
	for _, request := range s.requests {
		for _, a := range request.attempts {
			b.cancelAttempt(a)
		}
		request.lost = true
	}
}
