package crdt

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Dot names one change: the Nth of an actor. An actor is one life of one instance, so that an instance that comes back
// with an older disk never gives a dot twice.
type Dot struct {
	_       struct{} `cbor:",toarray"`
	Actor   string   // instance name # life
	Counter uint64   // from 1 on
}

func (d Dot) compare(o Dot) int {
	if c := cmp.Compare(d.Actor, o.Actor); c != 0 {
		return c
	}
	return cmp.Compare(d.Counter, o.Counter)
}

// ActorName is the instance that an actor was a life of.
func ActorName(actor string) string { return actor[:max(0, strings.LastIndexByte(actor, '#'))] }

// ActorIncarnation is the number of an actor's life, 0 where it has none. A later life has a greater one.
func ActorIncarnation(actor string) uint64 {
	n, err := strconv.ParseUint(actor[strings.LastIndexByte(actor, '#')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// FormatActor names a life of an instance.
func FormatActor(name string, life uint64) string { return name + "#" + strconv.FormatUint(life, 10) }

// Version says which changes were seen: of each actor in it all up to its N. An actor without a life, as in "name#", stands
// for all lives of that instance before the Nth: so a version grows with the instances and not with their restarts. It is
// in order of actors, and is never changed in place.
type Version []Dot

func (v Version) find(actor string) (int, bool) {
	return slices.BinarySearchFunc(v, actor, func(d Dot, a string) int { return strings.Compare(d.Actor, a) })
}

func isEndMark(actor string) bool { return strings.HasSuffix(actor, "#") }

// EndedBefore is the life before which all lives of an instance are covered, 0 for none.
func (v Version) EndedBefore(name string) uint64 {
	if i, ok := v.find(name + "#"); ok {
		return v[i].Counter
	}
	return 0
}

// LastCounter is the last change of an actor that was seen, 0 for none.
func (v Version) LastCounter(actor string) uint64 {
	i, ok := v.find(actor)
	if ok {
		return v[i].Counter
	}
	// The mark lies before the lives of its instance, so that it is near.
	if len(v) == 0 || isEndMark(actor) {
		return 0
	}
	if j, ok := v[:i].find(actor[:strings.LastIndexByte(actor, '#')+1]); ok && ActorIncarnation(actor) < v[j].Counter {
		return math.MaxUint64
	}
	return 0
}

// Covers tells whether a change was seen.
func (v Version) Covers(d Dot) bool { return d.Counter <= v.LastCounter(d.Actor) }

// With is v and d and all before it.
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

// dropEnded leaves out the lives that a mark covers; v is changed.
func (v Version) dropEnded() Version {
	marks := false
	for _, d := range v {
		marks = marks || isEndMark(d.Actor)
	}
	if !marks {
		return v
	}
	old := slices.Clone(v)
	return slices.DeleteFunc(v, func(d Dot) bool {
		return !isEndMark(d.Actor) && ActorIncarnation(d.Actor) < old.EndedBefore(ActorName(d.Actor))
	})
}

// IsCoveredBy tells whether o has seen all that v has.
func (v Version) IsCoveredBy(o Version) bool {
	for _, d := range v {
		if !o.Covers(d) {
			return false
		}
	}
	return true
}

// Join is what either has seen.
func (v Version) Join(o Version) Version {
	if o.IsCoveredBy(v) {
		return v
	}
	if v.IsCoveredBy(o) {
		return o
	}
	out := make(Version, 0, len(v)+len(o))
	for len(v) > 0 && len(o) > 0 {
		switch c := strings.Compare(v[0].Actor, o[0].Actor); {
		case c < 0:
			out, v = append(out, v[0]), v[1:]
		case c > 0:
			out, o = append(out, o[0]), o[1:]
		default:
			d := v[0]
			d.Counter = max(d.Counter, o[0].Counter)
			out, v, o = append(out, d), v[1:], o[1:]
		}
	}
	return append(append(out, v...), o...).dropEnded()
}

// intersect is what both have seen.
func (v Version) intersect(o Version) Version {
	var out Version
	for _, d := range v {
		if d.Counter = min(d.Counter, o.LastCounter(d.Actor)); d.Counter > 0 {
			out = append(out, d)
		}
	}
	for _, d := range o { // what v has by a mark only
		if _, ok := v.find(d.Actor); !ok && v.Covers(d) {
			out = out.With(d)
		}
	}
	return out.dropEnded()
}

// subtract is what of v the other has not seen, as v says it.
func (v Version) subtract(o Version) (rest Version) {
	for _, d := range v {
		if !o.Covers(d) {
			rest = append(rest, d)
		}
	}
	return rest
}

// isValid tells whether a version from outside can be used.
func (v Version) isValid() bool {
	for i, d := range v {
		if d.Counter == 0 || !isEndMark(d.Actor) && !isValidActor(d.Actor) || len(d.Actor) < 2 || len(d.Actor) > MaxActorBytes ||
			i > 0 && v[i-1].Actor >= d.Actor {
			return false
		}
	}
	return true
}

func isValidActor(a string) bool {
	return ActorName(a) != "" && len(a) <= MaxActorBytes && ActorIncarnation(a) > 0
}
