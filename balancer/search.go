package balancer

import (
	"math"
	"slices"
)

const (
	weightRounding = 1e-6 // the last decimal of a part's share: the platform tells six
)

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

func (b *balancer) AddShardRequest(id, number uint64, shard int, weight float64) {
	b.recordForBudget(&b.taken)
	s := b.numbers[number]
	if s == nil || s.ended {
		return
	}
	p := s.newRequest()
	p.id, p.search, p.shard, p.weight = id, s, shard, weight
	s.addRequest(p)
	if s.step == 2 {
		b.enqueueRequest(p) // the second step was let in with the first
	}
}

// cancelStep calls off what is out of the present step.
func (b *balancer) cancelStep(s *search) {
	for _, p := range s.requests {
		for _, t := range p.attempts {
			b.cancelAttempt(t)
		}
		p.lost = true
	}
}

func (b *balancer) endSearch(s *search) {
	s.ended, s.requestBuffer = true, nil
	b.cancelTimer(s.deadlineTimer)
	b.cancelTimer(s.objectiveTimer)
	b.cancelStep(s)
	delete(b.held, s.id)
	delete(b.numbers, s.number)
}

func (b *balancer) CancelSearch(id uint64) {
	if s := b.held[id]; s != nil {
		b.left = slices.DeleteFunc(b.left, func(l withdrawnSearch) bool { return b.now-l.withdrawnAt > withdrawnSearchTTL })
		b.left = append(b.left, withdrawnSearch{s.queryType, s.tenant, s.requestCount, s.clientStart, s.arrivedAt, b.now})
		b.endSearch(s)
	}
}
