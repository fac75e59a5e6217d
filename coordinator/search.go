package coordinator

import (
	"cmp"
	"math/big"
	"slices"
	"strconv"
	"time"

	"chalkring/control/residency"
)

const (
	searchOverheadBytes       = 2 << 10 // that a search holds here and in the balancer, beside its text
	shardRequestOverheadBytes = 1 << 10 // that each of its shard requests holds, beside its value
	attemptNameExtra          = 24      // bytes of an attempt's name beyond its search's: a dot, a number, the step
)

// search is one search from its request to its final answer. The front that took it makes it; reply is
// what it leaves for that answer.
type search struct {
	name, key     string
	text          []byte
	class, tenant int
	isRetry       bool
	arrivedAt     time.Time
	timeout       time.Duration // of the client, from came
	shards        []int
	weights       []float64
	reply         func(r searchOutcome)
	client        *clientConnection                          // who waits for it; nil on other fronts
	decodeValue   func(shard int, value []byte) (any, error) // what a value has to pass to be in; nil for none

	id                uint64
	deadline          int64
	step              int
	firstStepComplete bool
	firstStepShards   []int // shards that were in at the end of the first step
	shardRequests     []*shardRequest
	ended             bool
	heldBytes         int64          // that it holds
	pendingWrites     []pendingWrite // frames of sub-requests given up whose last byte was not out then

	restricted bool                           // its parts may not run everywhere
	refusal    *residency.SearchRejectedError // why some of them can run nowhere
}

// shardRequest is one shardRequest of a search's step.
type shardRequest struct {
	id         uint64
	search     *search
	step       int
	shard      int
	completed  bool
	score      []byte
	value      []byte
	decoded    any // what the search's check made of value
	attempts   []*attempt
	unreported int    // sub-requests whose outcome the module has not heard
	name       string // of its sub-requests on the wire

	firstAttempt   attempt // room for the first, and for subs to name it
	inlineAttempts [1]*attempt
}

// appendName adds its sub-requests' id on the wire.
func (p *shardRequest) appendName(dst []byte) []byte {
	dst = strconv.AppendInt(append(append(dst, p.search.name...), '.'), int64(p.shard), 10)
	if p.step == 2 {
		dst = append(dst, ".r"...)
	}
	return dst
}

// scoreValue is its score as a number.
func (p *shardRequest) scoreValue() *big.Int {
	n, _ := new(big.Int).SetString(string(p.score), 10)
	return n
}

// isSettled tells that the part needs no more.
func (p *shardRequest) isSettled() bool {
	return p.completed || p.search.ended || p.step != p.search.step
}

// startSearch hands a search to the module. What is held is bounded by the clients' connections: one search each.
func (loop *eventLoop) startSearch(search *search) {
	if loop.openNames[search.name] { // guards against two whose parts no replica can tell apart
		search.ended = true
		search.reply(searchOutcome{outcome: outcomeDuplicateID})
		return
	}
	loop.openNames[search.name] = true
	if search.decodeValue != nil {
		loop.valueDecoders.Store(search.name, search.decodeValue)
		loop.decoderCount.Add(1)
	}
	search.deadline = loop.now + int64((search.timeout-loop.Clock.Now().Sub(search.arrivedAt))/tick)
	search.id, search.step = loop.nextID(), 1
	loop.searches[search.id] = search
	loop.armStallDetector()
	loop.holdBytes(search, searchOverheadBytes+len(search.text)+shardRequestOverheadBytes*len(search.shards))
	loop.balancer.AddSearch(search.id, search.class, search.tenant, search.key, search.deadline-loop.now, search.id, len(search.shards), search.isRetry)
	loop.addShardRequests(search, search.shards, search.weights)
}

func (loop *eventLoop) addShardRequests(search *search, shards []int, weights []float64) {
	from, all := len(search.shardRequests), make([]shardRequest, len(shards))
	search.shardRequests = slices.Grow(search.shardRequests, len(shards))
	names := make([]byte, 0, len(shards)*(len(search.name)+attemptNameExtra)) // in one piece
	for i, shard := range shards {
		request := &all[i]
		request.id, request.search, request.step, request.shard = loop.nextID(), search, search.step, shard
		search.shardRequests = append(search.shardRequests, request)
		loop.shardRequests[request.id] = request
		names = request.appendName(names)
	}
	text, own := string(names), [maxRequestIDBytes + attemptNameExtra]byte{}
	for _, request := range search.shardRequests[from:] {
		n := len(request.appendName(own[:0]))
		request.name, text = text[:n], text[n:]
	}
	for i, request := range search.shardRequests[from:] {
		loop.balancer.AddShardRequest(request.id, search.id, request.shard, weights[i])
	}
	if loop.enforcer != nil {
		loop.enforcer.restrict(search)
	}
}

// holdBytes counts what a search holds, against memory that follows what answers happen to be long. The module turns
// searches away when there is no room: guards against an end by the kernel.
func (loop *eventLoop) holdBytes(search *search, n int) {
	search.heldBytes += int64(n)
	loop.heldBytes += int64(n)
}

func (loop *eventLoop) followUpCount(qtype int) int { return loop.followUpCounts[qtype] }

// startSecondStep makes the parts of the second step: at the shards with the highest scores, the lower number
// first among equals, with equal weights.
func (loop *eventLoop) startSecondStep(search *search, in []*shardRequest, most int) {
	if search.ended {
		return
	}
	slices.SortFunc(in, func(request, q *shardRequest) int {
		return cmp.Or(q.scoreValue().Cmp(request.scoreValue()), cmp.Compare(request.shard, q.shard))
	})
	search.step = 2
	var shards []int
	var weights []float64
	for _, request := range in[:min(most, len(in))] {
		shards = append(shards, request.shard)
		weights = append(weights, 1/float64(min(most, len(in))))
	}
	loop.addShardRequests(search, shards, weights)
}

func (loop *eventLoop) completedParts(search *search) []*shardRequest {
	in := make([]*shardRequest, 0, len(search.shardRequests))
	for _, request := range search.shardRequests {
		if request.completed && request.step == search.step {
			in = append(in, request)
		}
	}
	return in
}
