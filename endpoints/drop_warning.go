package endpoints

import (
	"fmt"
	"slices"
)

const (
	// maxDropShare is the share of a source's hosts that one update may drop without a warning: enough for one of three zones.
	maxDropShare = 0.34
	// maxFreeDrops is how many hosts an update may always drop: in a small cluster, one or two may be above the share.
	maxFreeDrops = 2
)

// dropsTooMany reports whether dropping this many of a list's hosts at once is suspicious.
func dropsTooMany(dropped, total int) bool {
	return dropped > maxFreeDrops && float64(dropped) > maxDropShare*float64(total)
}

// dropWarning returns what is suspicious about an accepted update: it dropped many of its source's hosts at once, or left a
// block set without a holder. A file may have been truncated at the end of a line, or the source may have lost its state.
// The update counts all the same, since a host that its source has withdrawn must get nothing new.
func (r *Registry) dropWarning(hostsBefore, hostsAfter map[string]Host, uncoveredBefore []int) string {
	dropped := 0
	for id := range hostsBefore {
		if _, isListed := hostsAfter[id]; !isListed {
			dropped++
		}
	}
	if dropsTooMany(dropped, len(hostsBefore)) {
		return fmt.Sprintf("drops %d of %d hosts", dropped, len(hostsBefore))
	}
	for _, set := range r.UncoveredSets() {
		if !slices.Contains(uncoveredBefore, set) {
			return fmt.Sprintf("leaves block set %d without a holder", set)
		}
	}
	return ""
}

// UncoveredSets returns the block sets without a holder that is up, ascending.
func (r *Registry) UncoveredSets() (sets []int) {
	setCount := r.rules.BlockSets
	isCovered := make([]bool, setCount)
	for _, endpoint := range r.list {
		if setCount == 0 || endpoint.State != StateUp {
			continue
		}
		for offset := range r.rules.SetsPerHost {
			set := ((endpoint.Cell-offset)%setCount + setCount) % setCount
			isCovered[set] = true
		}
	}
	for set := range isCovered {
		if !isCovered[set] {
			sets = append(sets, set)
		}
	}
	return sets
}
