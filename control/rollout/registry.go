package rollout

import (
	"maps"
	"slices"
	"strings"
)

const (
	maxChanges          = 16   // changes that are kept; none before the base of the active one is used
	maxDigestsPerNumber = 4    // changes of one number that are kept; two of them stop the rollout already
	maxInstances        = 4096 // instances that are tracked, ten times the largest cluster
)

// registry holds the immutable entries that this instance knows: changes and rosters. It is bounded by maxChanges and
// maxDigestsPerNumber.
type registry struct {
	changes map[uint64]map[string]*Change // by number and digest
	rosters map[string][]Instance         // by key
}

func newRegistry() registry {
	return registry{changes: map[uint64]map[string]*Change{}, rosters: map[string][]Instance{}}
}

// addChange records a change unless there are too many of its number. Above maxChanges, the lowest numbers are removed.
func (r *registry) addChange(digest string, change *Change) {
	number := change.Number
	if len(r.changes[number]) < maxDigestsPerNumber {
		r.setChange(digest, change)
	}
	for len(r.changes) > maxChanges {
		delete(r.changes, slices.Min(slices.Collect(maps.Keys(r.changes))))
	}
}

func (r *registry) setChange(digest string, change *Change) {
	if r.changes[change.Number] == nil {
		r.changes[change.Number] = map[string]*Change{}
	}
	r.changes[change.Number][digest] = change
}

func (r *registry) addRoster(key string, instances []Instance) {
	if len(r.rosters) < maxDigestsPerNumber*maxChanges && len(instances) <= maxInstances {
		r.rosters[key] = instances
	}
}

// highestNumber returns the highest number of a known change, 0 for none.
func (r *registry) highestNumber() (highest uint64) {
	for number := range r.changes {
		highest = max(highest, number)
	}
	return highest
}

// digests returns the digests of all changes of one number, sorted.
func (r *registry) digests(number uint64) []string {
	return slices.Sorted(maps.Keys(r.changes[number]))
}

// change returns the change of a number. It is nil for an unknown number and for 0, the instances' own files.
func (r *registry) change(number uint64) *Change {
	if digests := r.digests(number); len(digests) > 0 {
		return r.changes[number][digests[0]]
	}
	return nil
}

// removeObsolete removes what is not needed for the active change: the changes before its base, and the rosters of
// earlier changes. It returns their keys.
func (r *registry) removeObsolete(active *Change) (keys []string) {
	for number, digests := range r.changes {
		if number >= active.BaseNumber {
			continue
		}
		for digest := range digests {
			keys = append(keys, changeKey(number, digest))
		}
		delete(r.changes, number)
	}
	for key := range r.rosters {
		if number, _, ok := parseKeySuffix(strings.TrimPrefix(key, rosterPrefix)); ok && number < active.Number {
			keys = append(keys, key)
			delete(r.rosters, key)
		}
	}
	return keys
}
