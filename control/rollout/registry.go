package rollout

import (
	"maps"
	"slices"
	"strings"
)

const (
	maxChanges          = 16   // changes that are kept: only those since the base of the active one are used
	maxDigestsPerNumber = 4    // different changes of one number that are kept: two already stop it
	maxInstances        = 4096 // instances that are tracked, ten times the largest cluster
)

// registry holds the immutable entries, changes and rosters, that this instance knows. It is bounded by maxChanges
// and maxDigestsPerNumber.
type registry struct {
	changes map[uint64]map[string]*Change // by number and digest
	rosters map[string][]Instance         // by key
}

func newRegistry() registry {
	return registry{changes: map[uint64]map[string]*Change{}, rosters: map[string][]Instance{}}
}

// addChange records a change unless its number has too many already. Past maxChanges the lowest numbers are dropped.
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

// highestNumber is the highest number of a change that is known, 0 for none.
func (r *registry) highestNumber() (highest uint64) {
	for number := range r.changes {
		highest = max(highest, number)
	}
	return highest
}

// digests are those of the changes of one number, sorted.
func (r *registry) digests(number uint64) []string {
	return slices.Sorted(maps.Keys(r.changes[number]))
}

// change is the change of a number, nil for an unknown one and for 0, the instances' own files.
func (r *registry) change(number uint64) *Change {
	if digests := r.digests(number); len(digests) > 0 {
		return r.changes[number][digests[0]]
	}
	return nil
}

// removeObsolete drops what nobody needs for a change: the changes before its base and the rosters of earlier changes.
// It returns their keys.
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
