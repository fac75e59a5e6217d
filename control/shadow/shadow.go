// Package shadow compares the balancer's decisions under the active settings with the shadow settings, a second set that
// is not active yet. The balancer decides by the active settings alone; each of its actions is checked against both sets,
// and divergences are counted by kind.
//
// A Comparator sits between the balancer and the code that carries out its actions, and changes nothing. The package has
// no I/O: its clock is the time of the balancer's iterations, in tenths of a millisecond.
package shadow

import "sync/atomic"

// Kinds of decisions that may diverge.
const (
	KindRetryAfter        = iota // the Retry-After that the client of a shed search gets
	KindHedgedAttempt            // an attempt while another one of the same shard request is in flight
	KindExtraShardRequest        // a shard request beyond those that a complete answer needs
	KindPartialAnswer            // whether the shard requests answered so far allow an answer, and whether it is complete
	KindAttemptLimit             // an attempt beyond the maximum
	KindRetryBudget              // a retry beyond the budget
	KindSlowStart                // an attempt at a replica in its slow start
	KindDraining                 // an attempt at a draining replica after the grace period
	kindCount
)

// KindNames are the names of the kinds in metrics and logs.
var KindNames = [kindCount]string{"retry_after", "second_copy", "extra", "answer_in_part", "attempts", "budget", "cold_share", "drain"}

// DivergenceCounts counts the decisions that diverge, by kind. It is safe for concurrent use.
type DivergenceCounts [kindCount]atomic.Int64

// Total returns the number of divergences of all kinds.
func (c *DivergenceCounts) Total() (total int64) {
	for kind := range c {
		total += c[kind].Load()
	}
	return total
}
