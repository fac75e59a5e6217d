package replication

import (
	"context"
	"slices"
	"time"

	"chalkring/cluster/crdt"
	"chalkring/internal/scheduler"
)

const (
	// AbsenceTimeout is how long tombstones are kept for a member that is not alive.
	AbsenceTimeout = 24 * time.Hour
	// ForgetTimeout is how long an instance that is neither a member nor alive is remembered.
	ForgetTimeout = 7 * 24 * time.Hour
	// tombstoneHighWatermark is the number of tombstones at which they are collected without waiting for any absent
	// member, so that deletes stay possible.
	tombstoneHighWatermark = crdt.MaxTombstones * 3 / 4
)

const (
	collectIntervals = 2 // exchange intervals between two collections
	rowIntervals     = 2 // exchange intervals between two rows that this instance makes

	// A collection compares the rows of all instances with each other, so a large cluster collects less often.
	smallClusterSize        = 10                     // up to that many instances, collections run at their interval
	collectDelayPerInstance = 100 * time.Millisecond // added to the minimum time between two collections for each further instance
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
	atHighWatermark := tombstones >= tombstoneHighWatermark
	extraInstances := max(0, len(r.lastAliveAt)-smallClusterSize)
	if now-r.lastCollectAt < time.Duration(extraInstances)*collectDelayPerInstance && !atHighWatermark {
		return nil
	}
	r.lastCollectAt = now
	required, absent := r.stabilityMembers(now, members, atHighWatermark)
	r.state.SetMembers(required, absent)
	collected := r.state.CollectTombstones()
	r.recordChanges(collected)
	if atHighWatermark && len(absent) > 0 && len(collected) > 0 {
		r.options.Logger.Warn(eventTombstones, "held", tombstones, "collected", len(collected), "absent", absent)
	}
	r.makeRow(now)
	return nil
}

// recordAlive records when instances were last alive. A member counts as alive when it first appears. r.mu is held.
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

// stabilityMembers returns the instances that causal stability depends on, and those of them that have been absent for so
// long that collections no longer wait for them. It forgets instances that are gone. r.mu is held.
func (r *Replicator) stabilityMembers(now time.Duration, members []string, atHighWatermark bool) (required, absent []string) {
	for name, lastAlive := range r.lastAliveAt {
		silence := now - lastAlive
		if silence > ForgetTimeout && !slices.Contains(members, name) {
			delete(r.lastAliveAt, name)
			r.state.ForgetInstance(name)
			continue
		}
		required = append(required, name)
		if silence > AbsenceTimeout || atHighWatermark && silence > 0 {
			absent = append(absent, name)
		}
	}
	return required, absent
}

// makeRow makes a new row if the known version has changed. It makes none until the state on disk is restored, since a
// row states that all changes of earlier incarnations are part of the replica. r.mu is held.
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
