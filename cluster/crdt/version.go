package crdt

import (
	"math"
	"slices"
	"strings"
)

// Version is a version vector: for each actor in it, all changes up to the counter were seen. A dot whose actor has no
// incarnation, such as "name#", is an end mark: its counter is an incarnation, and it covers all changes of the earlier
// incarnations of that instance. With end marks a version grows with the number of instances and not with their restarts.
// A Version is sorted by actor and never modified in place.
type Version []Dot

// find returns the index of an actor and true, or false and the index at which to insert it.
func (v Version) find(actor string) (int, bool) {
	return slices.BinarySearchFunc(v, actor, func(d Dot, wanted string) int { return strings.Compare(d.Actor, wanted) })
}

// EndedBefore returns the counter of an instance's end mark, 0 if there is none. All incarnations before it are covered.
func (v Version) EndedBefore(name string) uint64 {
	if i, ok := v.find(endMark(name)); ok {
		return v[i].Counter
	}
	return 0
}

// LastCounter returns the counter of the last change of an actor that was seen, 0 if none was, and math.MaxUint64 for an
// incarnation that an end mark covers.
func (v Version) LastCounter(actor string) uint64 {
	i, ok := v.find(actor)
	if ok {
		return v[i].Counter
	}
	if len(v) == 0 || isEndMark(actor) {
		return 0
	}
	// An end mark sorts before the incarnations of its instance.
	mark := actor[:strings.LastIndexByte(actor, incarnationSeparator)+1]
	if j, ok := v[:i].find(mark); ok && ActorIncarnation(actor) < v[j].Counter {
		return math.MaxUint64
	}
	return 0
}

// Covers reports whether a change was seen.
func (v Version) Covers(d Dot) bool { return d.Counter <= v.LastCounter(d.Actor) }

// With returns a version that covers v, the dot and all earlier dots of its actor.
func (v Version) With(d Dot) Version {
	if v.Covers(d) {
		return v
	}
	i, ok := v.find(d.Actor)
	if v = slices.Clone(v); ok {
		v[i] = d
	} else {
		v = slices.Insert(v, i, d)
	}
	if isEndMark(d.Actor) {
		v = v.dropEnded()
	}
	return v
}

// dropEnded removes the incarnations that an end mark covers. It modifies v, which must not be shared yet.
func (v Version) dropEnded() Version {
	if !slices.ContainsFunc(v, func(d Dot) bool { return isEndMark(d.Actor) }) {
		return v
	}
	all := slices.Clone(v)
	return slices.DeleteFunc(v, func(d Dot) bool {
		return !isEndMark(d.Actor) && ActorIncarnation(d.Actor) < all.EndedBefore(ActorInstance(d.Actor))
	})
}

// IsCoveredBy reports whether other covers all that v covers.
func (v Version) IsCoveredBy(other Version) bool {
	for _, d := range v {
		if !other.Covers(d) {
			return false
		}
	}
	return true
}

// Join returns the least version that covers both versions.
func (v Version) Join(other Version) Version {
	if other.IsCoveredBy(v) {
		return v
	}
	if v.IsCoveredBy(other) {
		return other
	}
	joined := make(Version, 0, len(v)+len(other))
	for len(v) > 0 && len(other) > 0 {
		switch c := strings.Compare(v[0].Actor, other[0].Actor); {
		case c < 0:
			joined, v = append(joined, v[0]), v[1:]
		case c > 0:
			joined, other = append(joined, other[0]), other[1:]
		default:
			d := v[0]
			d.Counter = max(d.Counter, other[0].Counter)
			joined, v, other = append(joined, d), v[1:], other[1:]
		}
	}
	return append(append(joined, v...), other...).dropEnded()
}

// intersect returns the greatest version that both versions cover.
func (v Version) intersect(other Version) Version {
	var common Version
	for _, d := range v {
		if d.Counter = min(d.Counter, other.LastCounter(d.Actor)); d.Counter > 0 {
			common = append(common, d)
		}
	}
	for _, d := range other { // actors that v covers only by an end mark
		if _, ok := v.find(d.Actor); !ok && v.Covers(d) {
			common = common.With(d)
		}
	}
	return common.dropEnded()
}

// subtract returns the dots of v that other does not cover.
func (v Version) subtract(other Version) (rest Version) {
	for _, d := range v {
		if !other.Covers(d) {
			rest = append(rest, d)
		}
	}
	return rest
}

// isValid reports whether a received version is sorted and has valid actors and counters.
func (v Version) isValid() bool {
	for i, d := range v {
		validActor := isEndMark(d.Actor) || isValidActor(d.Actor)
		if d.Counter == 0 || !validActor || len(d.Actor) < 2 || len(d.Actor) > MaxActorBytes {
			return false
		}
		if i > 0 && v[i-1].Actor >= d.Actor {
			return false
		}
	}
	return true
}

const (
	versionOverheadBytes = 4 // approximate size of an encoded version without its dots
	dotOverheadBytes     = 8 // approximate size of an encoded dot without its actor
)

// encodedSize estimates the size of a version in a message, in bytes.
func (v Version) encodedSize() int {
	size := versionOverheadBytes
	for _, d := range v {
		size += len(d.Actor) + dotOverheadBytes
	}
	return size
}

// sharesMemory reports whether two versions are the same slice, so that results for one can be reused for the other.
func (v Version) sharesMemory(other Version) bool {
	return len(v) == len(other) && (len(v) == 0 || &v[0] == &other[0])
}
