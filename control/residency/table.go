package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// span is one contract's time with its rule.
type span struct {
	from, until int64
	rule        Rule
	thenDefault bool
}

// row is all that holds for a tenant.
type row struct {
	whole   []span
	classes map[string][]span
}

// table is one policy, compiled.
type table struct {
	tenants map[string]*row
	blocks  map[int][]span
	usual   Rule
	slack   int64
	edges   []int64 // times at which some contract begins or ends, in order
}

// CompiledPolicy is what is in force: compiled, and never changed. Its look-ups neither wait nor allocate.
type CompiledPolicy struct {
	Generation          uint64 // the newest that is known
	LeaseDuration       int64
	MaxClockSkew        int64
	HostHoldDown        int64
	EnforcementDeadline int64
	LeaseExpiry         int64 // when the lease ends, by the clock of the wall times; never where there is no fleet to hear
	Incomplete          bool  // a policy that must be held beside another is not known here

	tables []*table
	zones  map[string]int
}

// compile makes one table of a policy; zones are numbered together for all that are held.
func compile(p *Policy, zones map[string]int) *table {
	t := &table{tenants: map[string]*row{}, blocks: map[int][]span{}, usual: Rule{Restricted: p.DenyByDefault}, slack: p.MaxClockSkew}
	for i := range p.Contracts {
		c := &p.Contracts[i]
		s := span{from: c.From, until: c.Until, thenDefault: c.DefaultAfterEnd, rule: Rule{Restricted: true, AllowPartial: c.AllowPartial, KeepOnLeaseExpiry: c.KeepOnLeaseExpiry}}
		for _, zone := range c.Zones {
			n, known := zones[zone]
			if !known {
				if n = len(zones); n >= zonesMost { // such a zone is nowhere: a strict answer
					continue
				}
				zones[zone] = n
			}
			s.rule.Zones.add(n)
		}
		for _, at := range []int64{c.From, c.Until} {
			if at > 0 && at < never {
				t.edges = append(t.edges, at-p.MaxClockSkew, at+p.MaxClockSkew)
			}
		}
		if c.Block >= 0 {
			t.blocks[c.Block] = append(t.blocks[c.Block], s)
			continue
		}
		r := t.tenants[c.Tenant]
		if r == nil {
			r = &row{}
			t.tenants[c.Tenant] = r
		}
		if c.Class == "" {
			r.whole = append(r.whole, s)
			continue
		}
		if r.classes == nil {
			r.classes = map[string][]span{}
		}
		r.classes[c.Class] = append(r.classes[c.Class], s)
	}
	order := func(s []span) { slices.SortFunc(s, func(x, y span) int { return cmp.Compare(x.from, y.from) }) }
	for _, r := range t.tenants {
		order(r.whole)
		for _, s := range r.classes {
			order(s)
		}
	}
	for _, s := range t.blocks {
		order(s)
	}
	slices.Sort(t.edges)
	return t
}

// at is the rule of contracts on one thing at a time; none where no contract has begun, or where the last one says that
// the default comes after it.
func at(all []span, now int64) (r Rule, some bool) {
	for i := len(all) - 1; i >= 0; i-- {
		s := &all[i]
		switch {
		case now < s.from:
			continue
		case now < s.until:
			return s.rule, true
		case s.thenDefault:
			return Rule{}, false
		}
		return Rule{Restricted: true, ContractEnded: true, KeepOnLeaseExpiry: s.rule.KeepOnLeaseExpiry}, true
	}
	return Rule{}, false
}

// around is the stricter of what holds a little before and after a time. Guards against clocks that are apart.
func around(all []span, now, slack int64) (r Rule, some bool) {
	if len(all) == 0 {
		return r, false
	}
	if r, some = at(all, now-slack); len(all) == 1 && all[0].from == math.MinInt64 && all[0].until == never {
		return r, some
	}
	o, also := at(all, now+slack)
	return r.and(o), some || also
}

func (t *table) rule(now int64, tenant, class string, block int) Rule {
	r, some := Rule{}, false
	if own := t.tenants[tenant]; own != nil {
		r, some = around(own.whole, now, t.slack)
		if own.classes != nil {
			more, also := around(own.classes[class], now, t.slack)
			r, some = r.and(more), some || also
		}
	}
	if !some {
		r = r.and(t.usual)
	}
	if block >= 0 && len(t.blocks) > 0 {
		more, _ := around(t.blocks[block], now, t.slack)
		r = r.and(more)
	}
	return r
}

// RuleFor is what holds for a search of a tenant's class at a time, for one block of it, or with -1 without the contracts
// of blocks: the stricter of all contracts that apply.
func (s *CompiledPolicy) RuleFor(now int64, tenant, class string, block int) Rule {
	r := s.tables[0].rule(now, tenant, class, block)
	for _, t := range s.tables[1:] {
		r = r.and(t.rule(now, tenant, class, block))
	}
	if r.Restricted && (s.Incomplete || now >= s.LeaseExpiry) && !r.KeepOnLeaseExpiry {
		r.Zones, r.LeaseExpired = ZoneSet{}, true
	}
	return r
}

// IsUnrestricted tells whether a search of a tenant's class may run anywhere, on any block.
func (s *CompiledPolicy) IsUnrestricted(now int64, tenant, class string) bool {
	for _, t := range s.tables {
		if len(t.blocks) > 0 {
			return false
		}
	}
	return !s.RuleFor(now, tenant, class, -1).Restricted
}

// ZoneIndex is a zone's number, -1 for one that no contract names: nobody under contract may run there.
func (s *CompiledPolicy) ZoneIndex(name string) int {
	if n, known := s.zones[name]; known {
		return n
	}
	return -1
}

// AllowsTenantData tells whether what is kept about a tenant's searches (names, predicates, entries) may be in a zone: written
// there, or sent to an instance in it. Others hold counts and digests. All contracts on the tenant's classes bind it.
func (s *CompiledPolicy) AllowsTenantData(now int64, tenant, zone string) bool {
	n := s.ZoneIndex(zone)
	r := s.RuleFor(now, tenant, "", -1)
	if !r.AllowsZone(n) {
		return false
	}
	for _, t := range s.tables {
		if own := t.tenants[tenant]; own != nil {
			for class := range own.classes {
				if r = s.RuleFor(now, tenant, class, -1); !r.AllowsZone(n) {
					return false
				}
			}
		}
	}
	return true
}

// NextChangeAt is when time alone changes what holds: a contract's edge or the end of the lease; never where there is none.
func (s *CompiledPolicy) NextChangeAt(now int64) int64 {
	next := int64(never)
	if s.LeaseExpiry > now {
		next = s.LeaseExpiry
	}
	for _, t := range s.tables {
		if i, _ := slices.BinarySearch(t.edges, now+1); i < len(t.edges) {
			next = min(next, t.edges[i])
		}
	}
	return next
}

// Tenants are those that some contract names, in order.
func (s *CompiledPolicy) Tenants() []string {
	all := map[string]bool{}
	for _, t := range s.tables {
		for name := range t.tenants {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
