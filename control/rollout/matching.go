package rollout

import "github.com/cespare/xxhash/v2"

// place is a group of instances that are compared with each other: a zone, a region, or all of them. anyPlace stands
// for the parts that are not distinguished. The zero place is none.
type place struct{ region, zone string }

const anyPlace = "*"

// Sides of the comparison, as indexes.
const (
	baselineSide = iota // instances without the change
	changeSide          // instances with it
	sideCount
)

func (s *Sample) side() int {
	if s.HasChange {
		return changeSide
	}
	return baselineSide
}

// matchPlaces assigns each sample the smallest place in which both sides have instances, the zero place for none. The
// places do not overlap: what is left of a region once its matched zones are taken is matched by region, and the rest as
// one.
func matchPlaces(samples []Sample) []place {
	matched := make([]place, len(samples))
	for _, placeOf := range []func(sample *Sample) place{
		func(sample *Sample) place { return place{sample.Region, sample.Zone} },
		func(sample *Sample) place { return place{sample.Region, anyPlace} },
		func(*Sample) place { return place{anyPlace, anyPlace} },
	} {
		sides := map[place][sideCount]bool{}
		for i := range samples {
			if matched[i] == (place{}) {
				has := sides[placeOf(&samples[i])]
				has[samples[i].side()] = true
				sides[placeOf(&samples[i])] = has
			}
		}
		for i := range samples {
			if candidate := placeOf(&samples[i]); matched[i] == (place{}) && sides[candidate] == [sideCount]bool{true, true} {
				matched[i] = candidate
			}
		}
	}
	return matched
}

// hashSides is a hash of which instance is on which side.
func hashSides(samples []Sample) uint64 {
	hash := xxhash.New()
	for i := range samples { // a hash takes every write
		_, _ = hash.WriteString(samples[i].Name)
		_, _ = hash.Write([]byte{0, byte(samples[i].side())})
	}
	return hash.Sum64()
}
