package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is where an instance stands.
type Instance struct {
	Name   string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
}

// roster is the order in which the instances listed take a change, the same for all that agree on it.
type roster struct {
	digest string
	order  []Instance
	at     map[string]int
}

// newRoster orders instances by a hash of change and name, each zone's and region's evenly through the whole.
func newRoster(change string, all []Instance) *roster {
	type ranked struct {
		Instance
		key  float64
		hash uint64
	}
	zones, regions := map[string][]ranked{}, map[string][]string{}
	for _, p := range all {
		zone := p.Region + "/" + p.Zone
		if zones[zone] == nil {
			regions[p.Region] = append(regions[p.Region], zone)
		}
		zones[zone] = append(zones[zone], ranked{Instance: p, hash: xxhash.Sum64String(change + "\x00" + p.Name)})
	}
	// Zones take their turns in an order of their own, one of each region after another.
	type turn struct {
		zone string
		row  int
		hash uint64
	}
	var turns []turn
	for region, of := range regions {
		slices.SortFunc(of, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(change+a), xxhash.Sum64String(change+b)), cmp.Compare(a, b))
		})
		for i, zone := range of {
			turns = append(turns, turn{zone, i, xxhash.Sum64String(change + "\x01" + region)})
		}
	}
	slices.SortFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.row, b.row), cmp.Compare(a.hash, b.hash), cmp.Compare(a.zone, b.zone))
	})
	var line []ranked
	for i, t := range turns {
		of := zones[t.zone]
		slices.SortFunc(of, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name)) })
		for j := range of {
			of[j].key = (float64(j) + (float64(i)+0.5)/float64(len(turns))) / float64(len(of))
		}
		line = append(line, of...)
	}
	slices.SortFunc(line, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.Name, b.Name)) })
	r := &roster{at: map[string]int{}}
	sum := xxhash.New()
	for i, p := range line {
		r.order = append(r.order, p.Instance)
		r.at[p.Name] = i
		fmt.Fprintf(sum, "%q %q %q\n", p.Name, p.Region, p.Zone)
	}
	r.digest = fmt.Sprintf("%016x", sum.Sum64())
	return r
}

// step is one batch of a stage: those that restart at once, and how long it is watched until the next.
type step struct {
	to    int // how many of the roster have the change then
	watch int64
}

// steps are a change's stages over n instances; a stage with more than may restart together is several.
func (c *Change) steps(n int) (all []step) {
	had, most := 0, max(1, int(c.MaxConcurrentFraction*float64(n)))
	for _, s := range c.Stages {
		to := min(n, max(s.Count, int(math.Ceil(s.Fraction*float64(n)-1e-9))))
		if to <= had {
			if k := len(all); k > 0 { // adds nobody: those that have it are watched longer
				all[k-1].watch = max(all[k-1].watch, s.WatchDuration)
			}
			continue
		}
		for had < to {
			had = min(to, had+most)
			all = append(all, step{to: had})
		}
		all[len(all)-1].watch = s.WatchDuration
	}
	return all
}

// stepAtPosition is the step, counted from 1, in which the instance at a place of the roster takes the change.
func stepAtPosition(all []step, place int) int {
	for i, s := range all {
		if place < s.to {
			return i + 1
		}
	}
	return len(all)
}
