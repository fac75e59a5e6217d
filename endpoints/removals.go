package endpoints

import (
	"cmp"
	"slices"
)

// removalMemory is how long a removal applies to other sources' entries of the host: slower sources catch up in that time.
const removalMemory = 600 * ticksPerSecond

// removal records that a source has removed a host.
type removal struct {
	removedBy string
	at        int64
	startedMS int64 // of the incarnation that was removed; a later one is not affected
}

// Removals returns the remembered removals, sorted by id.
func (r *Registry) Removals(now int64) []Removal {
	var removals []Removal
	for id, removed := range r.removals {
		removals = append(removals, Removal{id, removed.removedBy, removed.startedMS, max(0, now-removed.at)})
	}
	slices.SortFunc(removals, func(a, b Removal) int { return cmp.Compare(a.ID, b.ID) })
	return removals
}

// recordRemovals records the removal of each of a source's hosts that newHosts, its new ones, leaves out or lists as removed.
// It deletes the removed hosts from newHosts, and forgets removals that newHosts revokes.
func (r *Registry) recordRemovals(now int64, sourceName string, hosts, newHosts map[string]Host) {
	for id, host := range hosts {
		after, isListed := newHosts[id]
		isKnown := r.removals[id].removedBy == sourceName
		if !isKnown && host.State != StateRemoved && (!isListed || after.State == StateRemoved) {
			r.removals[id] = removal{sourceName, now, host.StartedMS}
		}
	}
	for id, host := range newHosts {
		removed, isRemoved := r.removals[id]
		if host.State == StateRemoved {
			if !isRemoved {
				r.removals[id] = removal{sourceName, now, host.StartedMS}
			}
			delete(newHosts, id)
			continue
		}
		if isRemoved && (removed.removedBy == sourceName || host.StartedMS > removed.startedMS) {
			delete(r.removals, id)
		}
	}
}

// adoptRemovals adds the removals that a source remembers, if they still apply and are not known yet.
func (r *Registry) adoptRemovals(now int64, removals []Removal) {
	for _, adopted := range removals {
		_, isKnown := r.removals[adopted.ID]
		age := max(0, adopted.Age)
		if !isKnown && age < removalMemory && !r.isRevoked(adopted) {
			r.removals[adopted.ID] = removal{adopted.RemovedBy, now - age, adopted.StartedMS}
		}
	}
}

// isRevoked reports whether a removed host is listed again: by the source that removed it, or by any source with a later
// start of the host.
func (r *Registry) isRevoked(removed Removal) bool {
	for name, s := range r.sources {
		host, isListed := s.hosts[removed.ID]
		if isListed && (name == removed.RemovedBy || host.StartedMS > removed.StartedMS) {
			return true
		}
	}
	return false
}

// expireRemovals forgets removals that have expired, and the oldest ones until at most maxHostsPerSource are left.
func (r *Registry) expireRemovals(now int64) {
	for id, removed := range r.removals {
		if now >= removed.at+removalMemory {
			delete(r.removals, id)
		}
	}
	for len(r.removals) > maxHostsPerSource {
		delete(r.removals, r.oldestRemoval())
	}
}

func (r *Registry) oldestRemoval() (oldestID string) {
	for id, removed := range r.removals {
		oldest, isSet := r.removals[oldestID]
		if !isSet || removed.at < oldest.at || removed.at == oldest.at && id < oldestID {
			oldestID = id
		}
	}
	return oldestID
}
