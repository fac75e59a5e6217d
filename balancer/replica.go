package balancer

import "slices"

// replica is an entry of the endpoint list together with what this coordinator's attempts have shown of it.
type replica struct {
	id             string
	shardSet, zone int   // shardSet is the last of the consecutive sets that it holds
	eligible       bool  // listed, and neither draining nor gone
	startedAt      int64 // as given by the endpoint list, 0 if unknown

	attempts        []*attempt // in flight, in the order of sending
	lastSent        int64
	batchesInFlight int
	currentBatch    *batch // to which the next attempt of this iteration is added
	currentBatchAt  int64

	latency   replicaLatency
	health    replicaHealth
	slowStart slowStartCredit
	inflight  replicaInflight
}

// batch is a group of attempts that one iteration sends to one replica in a single call.
type batch struct{ size, inFlight int }

// resetForRestart clears what was learnt of a replica's previous incarnation. The time of its next probe attempt and
// its Retry-After stay: they only protect it.
func (r *replica) resetForRestart(startedAt int64) {
	r.startedAt = startedAt
	r.latency = replicaLatency{}
	r.health.unanswered, r.health.consecutiveFailures, r.health.connectFailures = 0, 0, 0
	r.health.gossipedOutlierUntil = 0
}

// joinBatch adds an attempt to the batch of this iteration, or starts a new batch if the last one is full. Attempts of
// one batch count as one when the load of replicas is compared.
func (r *replica) joinBatch(a *attempt, now int64, maxSize int) {
	if r.currentBatchAt != now || r.currentBatch == nil || r.currentBatch.size >= maxSize {
		r.currentBatch, r.currentBatchAt = &a.ownBatch, now
		r.batchesInFlight++
	}
	a.batch = r.currentBatch
	a.batch.size++
	a.batch.inFlight++
}

func (r *replica) leaveBatch(a *attempt) {
	if a.batch.inFlight--; a.batch.inFlight == 0 {
		r.batchesInFlight--
	}
}

func (r *replica) removeAttempt(a *attempt) {
	r.attempts = slices.DeleteFunc(r.attempts, func(other *attempt) bool { return other == a })
}
