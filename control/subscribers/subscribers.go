// Package subscribers keeps the lists of regional fan-out gateways: who is subscribed to which standing search, which
// gateway serves which subscriber, and how deliveries are numbered.
//
// Regions change their lists independently and merge them through package crdt. Concurrent writes are resolved when an
// entry is read, in the same way on all instances, and the result is not written back. A Record is what the shared map
// holds about a subscriber, a List is an instance's view of all subscribers, a RegionFile is an operator's list for one
// region, and a Gateway decides which subscribers an instance serves.
//
// The package does no I/O. Times and durations are in tenths of a millisecond of a clock that is passed in; names that
// end in MS hold wall-clock times in milliseconds. docs/subscribers.md states the rules and the options considered.
package subscribers

import "time"

const (
	timeUnit = 100 * time.Microsecond // unit of times and durations
	second   = 10_000                 // in units of timeUnit
	day      = 86_400 * second
)
