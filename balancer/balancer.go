package balancer

import (
	"math"
	"math/rand"
)

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

func New(out Actions) Balancer {
	return &balancer{
		actions: out, fleet: map[string]*replica{}, held: map[uint64]*search{},
		numbers: map[uint64]*search{}, next: map[uint64]*attempt{}, wakes: map[uint64]timerCallback{},
		holding: map[int][]*replica{}, full: map[int]bool{},
		askWait: watchRetryMin, limit: math.Inf(1), firstUsual: assumedLatency,
	}
}

func (b *balancer) BeginIteration(now int64) { b.now = now; clear(b.full) }

func (b *balancer) Configure(seed int64, settings map[string]string) {
	b.settings, b.rng = newSettings(settings), rand.New(rand.NewSource(seed))
	b.sets, b.reach = int(b.settings.number("Specifics.Sets")), int(b.settings.number("Specifics.Reach"))
	b.spells = make([]decayingSum, int(b.settings.optionalNumber("Classes.count", 0)))
	b.tenants = make([]tokenBucket, int(b.settings.optionalNumber("Tenants.count", 0)))
	if b.settings.values["Discovery"] == "subscribe" {
		b.actions.WatchEndpoints()
	}
}
