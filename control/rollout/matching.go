package rollout

import "github.com/cespare/xxhash/v2"

// place is a group of instances that are compared with each other: a zone, the rest of a region, or the rest of all
// instances. anyPlace stands for a region or zone that is not distinguished. The zero place is no group.
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

// matchPlaces returns for each sample the smallest place in which both sides have instances, the zero place for none.
// The places do not overlap: instances whose zone lacks a side are matched within their region, and those that are left
// then are matched with each other.
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

// hashSides returns a hash of which instance is on which side.
func hashSides(samples []Sample) uint64 {
	hash := xxhash.New()
	for i := range samples { // writes to a hash cannot fail
		_, _ = hash.WriteString(samples[i].Name)
		_, _ = hash.Write([]byte{0, byte(samples[i].side())})
	}
	return hash.Sum64()
}
