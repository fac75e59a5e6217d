package rollout

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is the name and location of an instance.
type Instance struct {
	Name   string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
}

// roster is the order in which the voting members apply a change. Equal digests mean equal orders.
type roster struct {
	digest   string
	order    []Instance
	position map[string]int // in order, by the instance's name
}

// zoneMembers is the voting members of one zone, in the order in which they apply a change.
type zoneMembers struct {
	name        string
	region      string
	rank        int // position of the zone within its region
	regionHash  uint64
	memberOrder []rankedInstance
}

// rankedInstance is an instance with the keys by which it is sorted.
type rankedInstance struct {
	Instance
	hash uint64  // sorts it within its zone
	key  float64 // sorts it within the whole roster; from 0 to 1
}

// newRoster orders instances by a hash of the change and their names. Any prefix of the order holds about the same
// fraction of each zone and region.
func newRoster(change string, instances []Instance) *roster {
	zones := sortedZones(change, instances)
	var order []rankedInstance
	for i, zone := range zones {
		members := zone.memberOrder
		slices.SortFunc(members, func(a, b rankedInstance) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
		})
		offset := (float64(i) + 0.5) / float64(len(zones)) // instances of equally large zones alternate
		for j := range members {
			members[j].key = (float64(j) + offset) / float64(len(members))
		}
		order = append(order, members...)
	}
	slices.SortFunc(order, func(a, b rankedInstance) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.Name, b.Name))
	})
	return rosterInOrder(order)
}

// sortedZones groups instances by zone. The zones of different regions alternate.
func sortedZones(change string, instances []Instance) []*zoneMembers {
	byName, byRegion := map[string]*zoneMembers{}, map[string][]*zoneMembers{}
	for _, instance := range instances {
		name := instance.Region + "/" + instance.Zone
		zone := byName[name]
		if zone == nil {
			zone = &zoneMembers{
				name: name, region: instance.Region, regionHash: xxhash.Sum64String(change + "\x01" + instance.Region),
			}
			byName[name] = zone
			byRegion[instance.Region] = append(byRegion[instance.Region], zone)
		}
		zone.memberOrder = append(zone.memberOrder, rankedInstance{
			Instance: instance, hash: xxhash.Sum64String(change + "\x00" + instance.Name),
		})
	}
	var zones []*zoneMembers
	for _, regionZones := range byRegion {
		slices.SortFunc(regionZones, func(a, b *zoneMembers) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(change+a.name), xxhash.Sum64String(change+b.name)), cmp.Compare(a.name, b.name))
		})
		for rank, zone := range regionZones {
			zone.rank = rank
		}
		zones = append(zones, regionZones...)
	}
	slices.SortFunc(zones, func(a, b *zoneMembers) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.regionHash, b.regionHash), cmp.Compare(a.name, b.name))
	})
	return zones
}

func rosterInOrder(order []rankedInstance) *roster {
	r := &roster{position: map[string]int{}}
	digest := xxhash.New()
	for i, ranked := range order {
		r.order = append(r.order, ranked.Instance)
		r.position[ranked.Name] = i
		_, _ = fmt.Fprintf(digest, "%q %q %q\n", ranked.Name, ranked.Region, ranked.Zone) // writes to a hash cannot fail
	}
	r.digest = fmt.Sprintf("%016x", digest.Sum64())
	return r
}
