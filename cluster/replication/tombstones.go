package replication

import (
	"context"
	"slices"
	"time"

	"chalkring/cluster/crdt"
	"chalkring/internal/scheduler"
)

const (
	// AbsenceTimeout is how long tombstones wait for a member that is not alive.
	AbsenceTimeout = 24 * time.Hour
	// ForgetTimeout is how long an instance that is neither a member nor alive is remembered.
	ForgetTimeout = 7 * 24 * time.Hour
	// tombstoneHighWatermark is the number of tombstones from which on no absent member is waited for, so that deletes
	// stay possible.
	tombstoneHighWatermark = crdt.MaxTombstones * 3 / 4
)

const (
	collectIntervals = 2 // exchange intervals between two collections
	rowIntervals     = 2 // exchange intervals between two rows of this instance

	// A collection compares the rows of all instances with each other. In a large cluster there are fewer of them.
	smallClusterSize        = 10                     // instances up to which collections come at their interval
	collectDelayPerInstance = 100 * time.Millisecond // more between two collections for each further instance
)

// collectTombstones is the job that drops causally stable tombstones and makes this instance's row.
func (r *Replicator) collectTombstones(context.Context, *scheduler.Allowance) error {
	if !r.isReady() {
		return nil
	}
	alive, members := r.shuffledPeers()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	r.recordAlive(now, alive, members)
	_, tombstones, _ := r.state.Counts()
	isFull := tombstones >= tombstoneHighWatermark
	extraInstances := max(0, len(r.lastAliveAt)-smallClusterSize)
	if now-r.lastCollectAt < time.Duration(extraInstances)*collectDelayPerInstance && !isFull {
		return nil
	}
	r.lastCollectAt = now
	counting, absent := r.stabilityMembers(now, members, isFull)
	r.state.SetMembers(counting, absent)
	collected := r.state.CollectTombstones()
	r.recordChanges(collected)
	if isFull && len(absent) > 0 && len(collected) > 0 {
		r.options.Logger.Warn(eventTombstones, "held", tombstones, "collected", len(collected), "absent", absent)
	}
	r.makeRow(now)
	return nil
}

// recordAlive notes when instances were last alive; a member counts as alive when it is first named. r.mu is held.
func (r *Replicator) recordAlive(now time.Duration, alive, members []string) {
	for _, name := range members {
		if _, ok := r.lastAliveAt[name]; !ok {
			r.lastAliveAt[name] = now
		}
	}
	for _, name := range alive {
		r.lastAliveAt[name] = now
	}
}

// stabilityMembers returns the instances that count for causal stability, and those of them that are absent for too long
// to be waited for. It forgets instances that are gone. r.mu is held.
func (r *Replicator) stabilityMembers(now time.Duration, members []string, isFull bool) (counting, absent []string) {
	for name, lastAlive := range r.lastAliveAt {
		silence := now - lastAlive
		if silence > ForgetTimeout && !slices.Contains(members, name) {
			delete(r.lastAliveAt, name)
			r.state.ForgetInstance(name)
			continue
		}
		counting = append(counting, name)
		if silence > AbsenceTimeout || isFull && silence > 0 {
			absent = append(absent, name)
		}
	}
	return counting, absent
}

// makeRow makes a new row if the known version has grown. While the disk may hold more of earlier incarnations there is
// none, since a row says that all of them is part of the state. r.mu is held.
func (r *Replicator) makeRow(now time.Duration) {
	select {
	case <-r.restored:
	default:
		return
	}
	if slices.Equal(r.state.KnownVersion(), r.lastRowKnown) || now-r.lastRowAt < rowIntervals*r.options.ExchangeInterval {
		return
	}
	r.lastRowAt, r.lastRowKnown = now, r.state.NextRow().Known
}
