// Package residency decides in which zones the shard requests of a tenant's searches may run.
//
// A Policy is one version of the operator's file of contracts; its version number, the generation, rises with each
// change. A PolicyRegistry holds the policies that apply and compiles them into a CompiledPolicy: an immutable table with
// look-ups of under 100 ns. A Lease holds the time until which this instance is certain that no newer policy has taken
// effect without its knowledge. HostZones states which zone a host is in.
//
// The package has no I/O. All times and durations are in tenths of a millisecond (ticks); wall times count from 1970,
// and clocks are passed in by the caller. Wherever the package cannot be certain, it denies. docs/residency.md states
// the rules.
package residency

import (
	"math"
	"time"
)

const (
	tick   = 100 * time.Microsecond // unit of all times and durations of this package
	second = 10_000                 // in ticks
	never  = math.MaxInt64          // a time that is never reached
)

// ticksFromMicroseconds converts to the unit of this package.
func ticksFromMicroseconds(microseconds int64) int64 {
	return microseconds / tick.Microseconds()
}

// durationFromTicks is the inverse, for messages.
func durationFromTicks(ticks int64) time.Duration { return time.Duration(ticks) * tick }
