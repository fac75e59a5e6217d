// Package rollout moves a change of settings or of the program through a cluster in stages. There is no coordinator:
// each instance runs a Controller over the same replicated entries and decides about its own restart.
//
// An operator writes a change file (change_file.go) on one or more instances. The Controller publishes the change it
// holds as an entry, and from then on every instance works on the change with the highest number (active_change.go).
// The instances vote for an order among themselves (roster_vote.go), vote to open one step after another (stages.go),
// and ask a majority for a permit before they restart (permits.go, restart.go). Instances with the change are compared
// with those without it (regression.go); a verdict stops the change or rolls it back (verdicts.go).
//
// The package does no I/O. Its caller reads the change file, replicates the entries and restarts the process. Times
// are tenths of a millisecond on the clock that the caller passes in. docs/rollout.md has the rules and the reasons for
// them.
package rollout

import "time"

const (
	timeUnit = 100 * time.Microsecond        // unit of all times of this package
	second   = int64(time.Second / timeUnit) // one second in that unit
)
