package coordinator

import (
	"cmp"
	"math/big"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"chalkring/control/residency"
)

// secondStepSuffix marks the names of attempts of the second step.
const secondStepSuffix = ".r"

const (
	searchOverheadBytes       = 2 << 10 // memory that a search takes here and in the balancer, besides its text
	shardRequestOverheadBytes = 1 << 10 // memory that each of its shard requests takes, besides its value
	attemptNameExtra          = 24      // bytes by which an attempt's name is longer than its search's: a dot, a number, the step
)

// searchTable is the open searches and the memory that they take. Only the event loop's goroutine may use it, except for
// unsentBytes.
type searchTable struct {
	byID          map[uint64]*search
	names         map[string]bool
	recent        recentNames // of searches that have ended without an answer and may have run
	shardRequests map[uint64]*shardRequest
	lastID        uint64         // of searches and shard requests
	pendingWrites []pendingWrite // the array that finishSearch reuses for what it returns

	memoryLimit float64      // bytes for open searches and their answers
	heldBytes   int64        // of all open searches
	unsentBytes atomic.Int64 // of answers that are not completely written to their clients
}

// search is one search from its request to its final answer. A frontend creates it and sets reply, which is called with
// that answer on the event loop's goroutine. Once startSearch has been called, only the event loop may use the rest.
type search struct {
	name, key     string
	text          []byte
	class, tenant int
	isRetry       bool
	arrivedAt     time.Time     // when its request was read; once it is started, when the request arrived at this machine
	timeout       time.Duration // the client's, from the request's arrival
	shards        []int
	weights       []float64
	reply         func(r searchOutcome)
	client        *clientConnection // that waits for the answer; nil for other frontends
	decodeValue   decodeFunc        // checks and decodes a replica's values; nil for none

	id                uint64
	deadline          int64
	step              int
	firstStepComplete bool
	firstStepShards   []int // completed in the first step
	shardRequests     []*shardRequest
	ended             bool
	heldBytes         int64
	reservedBytes     int            // of the memory for clients' requests
	pendingWrites     []pendingWrite // of attempts that were given up during their write

	restricted bool                           // a residency contract forbids some hosts for its shard requests
	refusal    *residency.SearchRejectedError // why some of its shard requests can run on no host; nil if all can
}

// shardRequest is the request of one step of a search to one shard.
type shardRequest struct {
	id         uint64
	search     *search
	step       int
	shard      int
	completed  bool
	score      []byte
	value      []byte
	decoded    any // what the search's decoder made of value
	attempts   []*attempt
	unreported int    // attempts whose outcome has not been reported to the balancer
	name       string // the name of its attempts on the wire

	firstAttempt   attempt     // the first attempt: saves an allocation
	inlineAttempts [1]*attempt // the array of attempts while there is one: saves an allocation
}

// appendName appends the name that its attempts have on the wire.
func (p *shardRequest) appendName(dst []byte) []byte {
	dst = strconv.AppendInt(append(append(dst, p.search.name...), '.'), int64(p.shard), 10)
	if p.step == 2 {
		dst = append(dst, secondStepSuffix...)
	}
	return dst
}

// scoreValue returns its score as a number, of any size.
func (p *shardRequest) scoreValue() *big.Int {
	n, _ := new(big.Int).SetString(string(p.score), 10)
	return n
}

// isSettled says whether it needs no more answers.
func (p *shardRequest) isSettled() bool {
	return p.completed || p.search.ended || p.step != p.search.step
}

// startSearch hands a search to the balancer. The number of open searches is bounded by the number of client connections,
// each of which has at most one.
func (loop *eventLoop) startSearch(search *search) {
	if loop.searches.names[search.name] || loop.searches.recent.has(search.name) { // replicas could not tell the attempts of the two searches apart
		search.ended = true
		search.releaseCopies()
		search.reply(searchOutcome{outcome: outcomeDuplicateID})
		return
	}
	loop.searches.names[search.name] = true
	if search.decodeValue != nil {
		loop.decoders.add(search.name, search.decodeValue)
	}
	search.arrivedAt = loop.arrivalOf(search)
	search.deadline = loop.ticksAt(search.arrivedAt.Add(search.timeout))
	search.id, search.step = loop.nextID(), 1
	loop.searches.byID[search.id] = search
	loop.holdBytes(search, searchOverheadBytes+len(search.text)+shardRequestOverheadBytes*len(search.shards))
	loop.balancer.AddSearch(search.id, search.class, search.tenant, search.key, search.deadline-loop.now, search.id, len(search.shards), search.isRetry)
	loop.addShardRequests(search, search.shards, search.weights)
}

// arrivalOf returns when a search's request arrived at this machine, since its client counts its time from when it sent the
// request. That is when the request was read, unless it may have waited unread during a stall.
func (loop *eventLoop) arrivalOf(search *search) time.Time {
	earliest := loop.earliestArrivalAt(search.arrivedAt)
	if search.client == nil || !earliest.Before(search.arrivedAt) {
		return earliest
	}
	return loop.arrivalBetween(earliest, search.arrivedAt, search.client.conn)
}

// addShardRequests adds the shard requests of a search's step, with as few allocations as possible.
func (loop *eventLoop) addShardRequests(search *search, shards []int, weights []float64) {
	from, all := len(search.shardRequests), make([]shardRequest, len(shards))
	search.shardRequests = slices.Grow(search.shardRequests, len(shards))
	names := make([]byte, 0, len(shards)*(len(search.name)+attemptNameExtra)) // in one allocation
	for i, shard := range shards {
		request := &all[i]
		request.id, request.search, request.step, request.shard = loop.nextID(), search, search.step, shard
		search.shardRequests = append(search.shardRequests, request)
		loop.searches.shardRequests[request.id] = request
		names = request.appendName(names)
	}
	text, scratch := string(names), [maxRequestIDBytes + attemptNameExtra]byte{}
	for _, request := range search.shardRequests[from:] {
		n := len(request.appendName(scratch[:0]))
		request.name, text = text[:n], text[n:]
	}
	for i, request := range search.shardRequests[from:] {
		loop.balancer.AddShardRequest(request.id, search.id, request.shard, weights[i])
	}
	if loop.enforcer != nil {
		loop.enforcer.restrict(search)
	}
}

// holdBytes adds to the memory that a search takes. The balancer sheds searches when memory is short, so that the kernel
// does not kill the process when answers are long.
func (loop *eventLoop) holdBytes(search *search, n int) {
	search.heldBytes += int64(n)
	loop.searches.heldBytes += int64(n)
}

// followUpCount returns how many shard requests the second step of a class has, 0 for no second step.
func (loop *eventLoop) followUpCount(class int) int { return loop.rules.followUpCounts[class] }

// startSecondStep adds the shard requests of the second step, with equal weights: those of the shards with the highest
// scores, lower shards first among equals.
func (loop *eventLoop) startSecondStep(search *search, completed []*shardRequest, maxShards int) {
	if search.ended {
		return
	}
	slices.SortFunc(completed, func(a, b *shardRequest) int {
		return cmp.Or(b.scoreValue().Cmp(a.scoreValue()), cmp.Compare(a.shard, b.shard))
	})
	search.step = 2
	best := completed[:min(maxShards, len(completed))]
	var shards []int
	var weights []float64
	for _, request := range best {
		shards = append(shards, request.shard)
		weights = append(weights, 1/float64(len(best)))
	}
	loop.addShardRequests(search, shards, weights)
}

// completedParts returns the completed shard requests of the current step, in the search's order.
func (loop *eventLoop) completedParts(search *search) []*shardRequest {
	completed := make([]*shardRequest, 0, len(search.shardRequests))
	for _, request := range search.shardRequests {
		if request.completed && request.step == search.step {
			completed = append(completed, request)
		}
	}
	return completed
}
