// Package subscribers keeps the lists of regional fan-out gateways: who is subscribed to which standing search, which
// gateway serves which subscriber, and how deliveries are numbered.
//
// Regions change their lists independently and merge them through package crdt. What several instances wrote at the same
// time is decided on reading, in the same way on all of them, and never written back. A Record is what the shared map
// holds of a subscriber, a List is an instance's view of all of them, a RegionFile is an operator's file, and a Gateway
// decides what one instance serves.
//
// The package has no I/O. Times and durations are in tenths of a millisecond (ticks) of a clock that is passed in, wall
// times in milliseconds where a name ends in MS. docs/subscribers.md states the rules and the options considered.
package subscribers

import "time"

const (
	tick   = 100 * time.Microsecond // unit of times and durations
	second = 10_000                 // in ticks
	day    = 86_400 * second
)
