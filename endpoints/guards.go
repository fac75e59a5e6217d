package endpoints

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
)

const (
	// maxDropShare is the share of a source's hosts that one update may drop without confirmation: enough for one of three zones.
	maxDropShare = 0.34
	// maxFreeDrops is how many hosts an update may always drop: in a small cluster, one or two may be above the share.
	maxFreeDrops = 2
	// holdBackTime is how long an update that drops more is held back: time for a correction by the source or an operator.
	holdBackTime = 30 * ticksPerSecond
)

// dropsTooMany reports whether dropping this many of a list's hosts at once is suspicious.
func dropsTooMany(dropped, total int) bool {
	return dropped > maxFreeDrops && float64(dropped) > maxDropShare*float64(total)
}

// holdBackReason returns why an update has to be held back: it drops too many of its source's hosts at once, or the last
// holder of a block set. The file may have been truncated at the end of a line, or the source may have lost its state. The
// reason is empty if the update need not be held back.
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

// newlyUncoveredSet returns the first block set that has a holder now and would have none if the source had hostsAfter.
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

// UncoveredSets returns the block sets without a holder that is up, ascending.
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

// holdBack holds an update back. It replaces an update that is already held, without extending the time.
func (s *source) holdBack(now int64, update Update, reason string) {
	if s.held == nil {
		s.heldUntil = now + holdBackTime
	}
	s.held, s.heldReason = &update, reason
}

// mergeIntoHeld applies a later partial update to the source's held update, and returns the result as a complete update.
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

// HeldBackSources returns the reason for each source whose last update is held back, and for each source that is still kept
// but will be removed at its retireAt.
func (r *Registry) HeldBackSources() map[string]string {
	reasons := map[string]string{}
	for name, s := range r.sources {
		switch {
		case s.held != nil:
			reasons[name] = s.heldReason
		case s.retireAt > 0:
			reasons[name] = "is kept for now, since it lists many hosts that no other source lists"
		}
	}
	return reasons
}
