package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

// removalMemory is how long a removal is remembered after the last source has stopped listing the host, and how long no
// other source's statement revokes it: slower sources catch up in that time.
const removalMemory = 600 * ticksPerSecond

// removal records that a source has removed a host.
type removal struct {
	at        int64
	startedMS int64 // of the incarnation that was removed; a later one is not affected
	forgetAt  int64 // when it is forgotten if no source lists the host
}

// Removals returns the remembered removals, sorted by id and source.
func (r *Registry) Removals(now int64) []Removal {
	var removals []Removal
	for id, bySource := range r.removals {
		for sourceName, removed := range bySource {
			removals = append(removals, Removal{id, sourceName, removed.startedMS, max(0, now-removed.at)})
		}
	}
	slices.SortFunc(removals, func(a, b Removal) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.RemovedBy, b.RemovedBy))
	})
	return removals
}

// recordRemovals records the removal of each of a source's hosts that newHosts, its new ones, leaves out or lists as removed.
// It deletes the removed hosts from newHosts.
func (r *Registry) recordRemovals(now int64, sourceName string, hosts, newHosts map[string]Host) {
	for id, host := range hosts {
		if _, isListed := newHosts[id]; !isListed {
			r.addRemoval(id, sourceName, removal{now, host.StartedMS, now + removalMemory})
		}
	}
	for id, host := range newHosts {
		if host.State == StateRemoved {
			startedMS := max(host.StartedMS, hosts[id].StartedMS)
			r.addRemoval(id, sourceName, removal{now, startedMS, now + removalMemory})
			delete(newHosts, id)
		}
	}
}

// addRemoval adds a removal. What is removed is the incarnation in use: the source's own entry may have no start, or an earlier
// one than another source's. If the source has removed the host before, only its incarnation may become later.
func (r *Registry) addRemoval(id, sourceName string, removed removal) {
	for _, s := range r.sources {
		removed.startedMS = max(removed.startedMS, s.hosts[id].StartedMS)
	}
	if known, isKnown := r.removals[id][sourceName]; isKnown {
		known.startedMS = max(known.startedMS, removed.startedMS)
		removed = known
	}
	if r.removals[id] == nil {
		r.removals[id] = map[string]removal{}
	}
	r.removals[id][sourceName] = removed
}

// revokeRemovals forgets the removals that an accepted list of a source revokes: the source's own ones of hosts that it lists,
// those of an earlier incarnation, and those by other sources that are older than removalMemory if the source has just added or
// changed the host and the other source's list no longer names it as removed. Time alone revokes none, since an entry that is
// older than the removal says nothing new.
func (r *Registry) revokeRemovals(now int64, s *source, newHosts map[string]Host) {
	for id, bySource := range r.removals {
		host, isListed := newHosts[id]
		if !isListed {
			continue
		}
		isNewStatement := s.version != noVersion && !host.equal(s.hosts[id])
		maps.DeleteFunc(bySource, func(sourceName string, removed removal) bool {
			isOutlived := isNewStatement && now >= removed.at+removalMemory && !r.listsAsRemoved(sourceName, id)
			return sourceName == s.name || host.StartedMS > removed.startedMS || isOutlived
		})
		r.dropIfEmpty(id)
	}
}

// adoptRemovals adds the removals that a source remembers, if they still apply and are not known yet. They last for another
// removalMemory, since sources that list the host may not have answered yet.
func (r *Registry) adoptRemovals(now int64, removals []Removal) {
	for _, adopted := range removals {
		if !r.isRevoked(adopted) {
			r.addRemoval(adopted.ID, adopted.RemovedBy, removal{now - max(0, adopted.Age), adopted.StartedMS, now + removalMemory})
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

// isRemoved reports whether a source has removed the host.
func (r *Registry) isRemoved(id string) bool { return len(r.removals[id]) > 0 }

// forgetRemovalsBy forgets the removals by a source that is no longer used.
func (r *Registry) forgetRemovalsBy(sourceName string) {
	for id, bySource := range r.removals {
		delete(bySource, sourceName)
		r.dropIfEmpty(id)
	}
}

func (r *Registry) dropIfEmpty(id string) {
	if len(r.removals[id]) == 0 {
		delete(r.removals, id)
	}
}

// expireRemovals forgets removals of hosts that no source has listed for removalMemory, and until at most maxHostsPerSource are
// left, the oldest ones, first those of hosts that no source lists.
func (r *Registry) expireRemovals(now int64) {
	count := 0
	for id, bySource := range r.removals {
		if !r.isListed(id) {
			maps.DeleteFunc(bySource, func(_ string, removed removal) bool { return now >= removed.forgetAt })
		}
		count += len(bySource)
		r.dropIfEmpty(id)
	}
	if count <= maxHostsPerSource {
		return
	}
	leastNeededFirst := r.Removals(now)
	slices.SortStableFunc(leastNeededFirst, func(a, b Removal) int {
		return cmp.Or(compareBools(r.isListed(a.ID), r.isListed(b.ID)), cmp.Compare(b.Age, a.Age))
	})
	for _, removed := range leastNeededFirst[:count-maxHostsPerSource] {
		delete(r.removals[removed.ID], removed.RemovedBy)
		r.dropIfEmpty(removed.ID)
	}
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// isListed reports whether a source's list has the host, in whatever state.
func (r *Registry) isListed(id string) bool {
	for _, s := range r.sources {
		if _, isListed := s.hosts[id]; isListed || s.removed[id] {
			return true
		}
	}
	return false
}

// listsAsRemoved reports whether a source's last complete list has the host as removed.
func (r *Registry) listsAsRemoved(sourceName, id string) bool {
	s := r.sources[sourceName]
	return s != nil && s.removed[id]
}
