// Package shadow compares the balancer's decisions under the settings in force with another set of settings that is not
// in force yet. The balancer decides as before; each of its actions is checked against both sets, and where they differ
// on it, that is counted by kind.
//
// A Comparator stands between the balancer and what carries its actions out, and changes nothing. The package has no
// I/O: its clock is the time of the balancer's iterations, in tenths of a millisecond.
package shadow

import "sync/atomic"

// Kinds of decisions that may differ.
const (
	KindRetryAfter     = iota // a time after which a client may retry
	KindHedgedRequest         // an attempt beside another one of its shard request
	KindExtraPart             // a shard request beyond those that a complete answer needs
	KindPartialAnswer         // an answer that lacks parts, is complete with fewer, or is not given
	KindAttemptLimit          // an attempt beyond the maximum
	KindRetryBudget           // a retry beyond the budget
	KindSlowStartShare        // an attempt at a replica that counts as warming up
	KindDraining              // an attempt at a draining replica, after the grace period
	kindCount
)

// KindNames are the kinds' names in metrics and logs.
var KindNames = [kindCount]string{"retry_after", "second_copy", "extra", "answer_in_part", "attempts", "budget", "cold_share", "drain"}

// DivergenceCounts counts the decisions that differ, by kind. It is safe for concurrent use.
type DivergenceCounts [kindCount]atomic.Int64

// Total returns how many decisions differ, of all kinds.
func (c *DivergenceCounts) Total() (total int64) {
	for kind := range c {
		total += c[kind].Load()
	}
	return total
}
