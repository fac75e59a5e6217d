package endpoints

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
)

const (
	// maxDropShare is the share of a source's hosts that one update may drop without confirmation: one zone of three.
	maxDropShare = 0.34
	// maxFreeDrops is how many hosts may be dropped in any case: small clusters lose one or two.
	maxFreeDrops = 2
	// holdBackTime is how long an update that drops more is held back: time for the next update, or for an operator.
	holdBackTime = 30 * ticksPerSecond
)

// dropsTooMany reports whether dropping so many of a list's hosts at once is suspicious.
func dropsTooMany(dropped, total int) bool {
	return dropped > maxFreeDrops && float64(dropped) > maxDropShare*float64(total)
}

// holdBackReason returns why an update has to be held back, empty if it has not: it drops too many of its source's hosts at
// once, or the last holder of a block set. Such a file may have been truncated at the end of a line, and such a source may
// have lost its state.
func (r *Registry) holdBackReason(s *source, update Update) string {
	hostsAfter := s.hostsAfter(update)
	total, dropped := 0, 0
	for id, host := range s.hosts {
		if host.State == StateRemoved {
			continue
		}
		total++
		if after, isListed := hostsAfter[id]; !isListed || after.State == StateRemoved {
			dropped++
		}
	}
	if dropsTooMany(dropped, total) {
		return fmt.Sprintf("drops %d of %d hosts", dropped, total)
	}
	if r.rules.BlockSets == 0 || len(r.list) == 0 {
		return ""
	}
	if set, isUncovered := r.newlyUncoveredSet(s, hostsAfter); isUncovered {
		return fmt.Sprintf("leaves block set %d without a holder", set)
	}
	return ""
}

// newlyUncoveredSet returns the first block set that has a holder now and would have none with these hosts of a source.
func (r *Registry) newlyUncoveredSet(s *source, hostsAfter map[string]Host) (set int, found bool) {
	uncoveredNow := r.UncoveredSets()
	coveredAfter := r.coveredSets(func(yield func(Host) bool) {
		for id, endpoint := range r.list { // the hosts of other sources stay
			if _, isOwn := s.hosts[id]; !isOwn && endpoint.State == StateUp && !yield(endpoint.Host) {
				return
			}
		}
		for _, host := range hostsAfter {
			if host.State == StateUp && !yield(host) {
				return
			}
		}
	})
	for set, isCovered := range coveredAfter {
		if !isCovered && !slices.Contains(uncoveredNow, set) {
			return set, true
		}
	}
	return 0, false
}

// UncoveredSets returns the block sets that no host that is up holds, ascending.
func (r *Registry) UncoveredSets() (sets []int) {
	covered := r.coveredSets(func(yield func(Host) bool) {
		for _, endpoint := range r.list {
			if endpoint.State == StateUp && !yield(endpoint.Host) {
				return
			}
		}
	})
	for set, isCovered := range covered {
		if !isCovered {
			sets = append(sets, set)
		}
	}
	return sets
}

// coveredSets returns for each block set whether one of the hosts holds it.
func (r *Registry) coveredSets(hosts iter.Seq[Host]) []bool {
	setCount := r.rules.BlockSets
	covered := make([]bool, setCount)
	for host := range hosts {
		for offset := range r.rules.SetsPerHost {
			set := ((host.Cell-offset)%setCount + setCount) % setCount
			covered[set] = true
		}
	}
	return covered
}

// holdBack holds an update back. A later one takes its place and does not prolong the time.
func (s *source) holdBack(now int64, update Update, reason string) {
	if s.held == nil {
		s.heldUntil = now + holdBackTime
	}
	s.held, s.heldReason = &update, reason
}

// mergeIntoHeld returns the source's held update with a later partial update applied to it, as one complete update.
func mergeIntoHeld(s *source, partial Update) Update {
	hosts := map[string]Host{}
	if s.held.Partial {
		maps.Copy(hosts, s.hosts)
	}
	for _, host := range append(slices.Clone(s.held.Hosts), partial.Hosts...) {
		hosts[host.ID] = host
	}
	merged := partial
	merged.Partial, merged.Confirmed = false, partial.Confirmed || s.held.Confirmed
	merged.Hosts = slices.SortedFunc(maps.Values(hosts), func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return merged
}

// HeldBackSources returns the sources whose last update is held back, and those that are about to be removed, with the
// reason.
func (r *Registry) HeldBackSources() map[string]string {
	reasons := map[string]string{}
	for name, s := range r.sources {
		switch {
		case s.held != nil:
			reasons[name] = s.heldReason
		case s.retireAt > 0:
			reasons[name] = "lists hosts that no other source does"
		}
	}
	return reasons
}
