package balancer

import "slices"

// replica is an entry of the endpoint list with what this coordinator's attempts have shown of it.
type replica struct {
	id             string
	shardSet, zone int   // shardSet is the last of the consecutive sets that it holds
	eligible       bool  // listed, and neither draining nor gone
	startedAt      int64 // as the list has it; 0 where it does not say

	attempts        []*attempt // in flight, in the order in which they were sent
	lastSent        int64
	batchesInFlight int
	currentBatch    *batch // to which the next attempt of this iteration is added
	currentBatchAt  int64

	latency   replicaLatency
	health    replicaHealth
	slowStart slowStartCredit
	inflight  replicaInflight
}

// batch is the attempts that one iteration sent to one replica and that travel as one call.
type batch struct{ size, inFlight int }

// restarted forgets what was learnt of a replica's former incarnation. The time of its next probe attempt and a
// Retry-After that it named stay: they only spare it.
func (r *replica) restarted(startedAt int64) {
	r.startedAt = startedAt
	r.latency = replicaLatency{}
	r.health.unanswered, r.health.consecutiveFailures, r.health.connectFailures = 0, 0, 0
	r.health.gossipedOutlierUntil = 0
}

// joinBatch adds an attempt to the batch of this iteration, or begins one where the last is full. Attempts of one batch
// count as one when replicas are compared by their load.
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
