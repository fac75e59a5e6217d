package residency

// maxZones limits the distinct zones that the policies of a CompiledPolicy name together: a ZoneSet has a bit for each.
const maxZones = 256

// ZoneSet is a set of zones, by the indexes that CompiledPolicy.ZoneIndex gives.
type ZoneSet [maxZones / 64]uint64

func (z *ZoneSet) add(index int) { z[index/64] |= 1 << (index % 64) }

// Contains reports whether a zone is in the set. A negative index is no zone and is in no set.
func (z *ZoneSet) Contains(index int) bool {
	return index >= 0 && index < maxZones && z[index/64]&(1<<(index%64)) != 0
}

func (z ZoneSet) intersect(other ZoneSet) ZoneSet {
	for i := range z {
		z[i] &= other[i]
	}
	return z
}

// Rule states where the shard requests of a search may run at one time.
type Rule struct {
	Zones             ZoneSet // where they may run, if Restricted
	Restricted        bool    // some contract or the default limits the zones; otherwise they may run anywhere
	AllowPartial      bool    // a partial answer is acceptable if a block cannot be reached and the search type allows it
	KeepOnLeaseExpiry bool    // the known policy still applies after the lease has expired
	ContractEnded     bool    // a contract has ended and nothing follows it: nothing may run
	LeaseExpired      bool    // the lease has expired or a policy is missing: nothing may run
}

// AllowsZone reports whether a shard request may run in a zone; -1 stands for no zone.
func (r *Rule) AllowsZone(zone int) bool { return !r.Restricted || r.Zones.Contains(zone) }

// strictest combines two rules so that both are met.
func (r Rule) strictest(other Rule) Rule {
	switch {
	case !other.Restricted:
		return r
	case !r.Restricted:
		return other
	}
	return Rule{
		Zones:             r.Zones.intersect(other.Zones),
		Restricted:        true,
		AllowPartial:      r.AllowPartial && other.AllowPartial,
		KeepOnLeaseExpiry: r.KeepOnLeaseExpiry && other.KeepOnLeaseExpiry,
		ContractEnded:     r.ContractEnded || other.ContractEnded,
		LeaseExpired:      r.LeaseExpired || other.LeaseExpired,
	}
}
