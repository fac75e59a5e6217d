// Package rollout applies a change of settings or of the program to a cluster in stages. There is no leader: each
// instance runs a Controller over the same replicated entries and decides about its own restart.
//
// An operator writes a change file (change_file.go) on one or more instances. Their Controllers publish the change as
// an entry, and every instance then works on the change with the highest number (active_change.go). The instances vote
// for the order in which they apply it (roster_vote.go), vote to open one step after another (stages.go), and need
// permits from a majority before they restart (permits.go, restart.go). Instances with the change are compared with
// those without it (regression.go); a verdict stops the change or rolls it back (verdicts.go).
//
// The package does no I/O. Its caller reads the change file, replicates the entries and restarts the process. Times
// are in tenths of a millisecond on the clock that the caller passes in. docs/rollout.md explains the rules and the
// reasons for them.
package rollout

import "time"

const (
	timeUnit = 100 * time.Microsecond        // unit of all times in this package
	second   = int64(time.Second / timeUnit) // one second in that unit
)
