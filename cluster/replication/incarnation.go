package replication

import (
	"errors"
	"time"

	"chalkring/cluster/crdt"
	"chalkring/internal/advice"
)

// minIncarnationInterval limits how often two processes with the same name supersede each other.
const minIncarnationInterval = 10 * time.Second

// handleSuperseded continues as a new incarnation if err is a crdt.SupersededError, which says that other instances
// consider this one ended. It reports whether err is one.
func (r *Replicator) handleSuperseded(err error) bool {
	var superseded *crdt.SupersededError
	if !errors.As(err, &superseded) {
		return false
	}
	if kept, begun := r.beginIncarnation(superseded); begun {
		r.options.Logger.Warn(eventSuperseded, advice.LogAttrs(superseded, "kept", len(kept))...)
	}
	return true
}

// beginIncarnation begins a new incarnation, unless the last one began less than minIncarnationInterval ago, and returns
// the entries whose changes it reissued.
func (r *Replicator) beginIncarnation(superseded *crdt.SupersededError) (kept []crdt.Entry, begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	if now-r.incarnationBegunAt < minIncarnationInterval {
		return nil, false
	}
	r.incarnationBegunAt = now
	peer := superseded.From // an instance, or an actor if the error is about a stateMessage
	if crdt.ActorIncarnation(peer) > 0 {
		peer = crdt.ActorInstance(peer)
	}
	incarnation := max(superseded.EndedBefore, crdt.ActorIncarnation(r.state.Actor())) + 1
	kept = r.state.BeginIncarnation(incarnation, peer)
	clear(r.openExchanges)
	for _, entry := range kept {
		r.recordOwnChange(entry.Name)
	}
	return kept, true
}

// ensureLaterIncarnation begins a later incarnation if known, the version read from disk, shows that the current one is not
// later than all earlier ones of this instance. That happens after the clock was set back. r.mu is held.
func (r *Replicator) ensureLaterIncarnation(known crdt.Version) {
	actor := r.state.Actor()
	name := crdt.ActorInstance(actor)
	last := known.EndedBefore(name)
	for _, dot := range known {
		if crdt.ActorInstance(dot.Actor) == name {
			last = max(last, crdt.ActorIncarnation(dot.Actor))
		}
	}
	if last < crdt.ActorIncarnation(actor) {
		return
	}
	const noPeer = ""
	for _, entry := range r.state.BeginIncarnation(last+1, noPeer) {
		r.recordOwnChange(entry.Name)
	}
}
