package residency

import (
	"maps"
	"slices"
)

// CompiledPolicy holds all policies that apply, compiled for look-ups, and the expiry of the lease under which they are
// enforced. It is immutable and may be shared between goroutines. Its look-ups neither block nor allocate.
type CompiledPolicy struct {
	Generation          uint64 // newest known generation
	LeaseDuration       int64
	MaxClockSkew        int64
	HostHoldDown        int64
	EnforcementDeadline int64 // wall time; 0 for none
	LeaseExpiry         int64 // wall time; math.MaxInt64 if no lease is needed
	Incomplete          bool  // a required policy is missing here, or more policies conflict than are kept

	tables      []*policyTable
	zoneIndexes map[string]int
}

// DenyAll returns the policy to enforce while none is known: no shard request may run anywhere.
func DenyAll() *CompiledPolicy {
	zoneIndexes := map[string]int{}
	table := compilePolicy(&Policy{DenyByDefault: true}, zoneIndexes)
	return &CompiledPolicy{LeaseExpiry: never, LeaseDuration: maxLeaseDuration, zoneIndexes: zoneIndexes, tables: []*policyTable{table}}
}

// WithLeaseExpiry returns the same policy with a different lease expiry.
func (p *CompiledPolicy) WithLeaseExpiry(leaseExpiry int64) *CompiledPolicy {
	renewed := *p
	renewed.LeaseExpiry = leaseExpiry
	return &renewed
}

// DiffersOnlyInLease reports whether other, which may be nil, is the same policy apart from its lease expiry. Copies that
// WithLeaseExpiry returns share one array of tables, so it compares where the arrays begin.
func (p *CompiledPolicy) DiffersOnlyInLease(other *CompiledPolicy) bool {
	return other != nil && p.Incomplete == other.Incomplete && len(p.tables) == len(other.tables) && &p.tables[0] == &other.tables[0]
}

// RuleFor returns the rule at the time now for a tenant's searches of a class: the strictest combination of all
// contracts that apply. These include the contracts on the given block; -1 stands for no block.
func (p *CompiledPolicy) RuleFor(now int64, tenant, class string, block int) Rule {
	rule := p.tables[0].ruleFor(now, tenant, class, block)
	for _, table := range p.tables[1:] {
		rule = rule.strictest(table.ruleFor(now, tenant, class, block))
	}
	if rule.Restricted && (p.Incomplete || now >= p.LeaseExpiry) && !rule.KeepOnLeaseExpiry {
		rule.Zones, rule.LeaseExpired = ZoneSet{}, true
	}
	return rule
}

// IsUnrestricted reports whether a tenant's searches of a class may run anywhere, on any block.
func (p *CompiledPolicy) IsUnrestricted(now int64, tenant, class string) bool {
	for _, table := range p.tables {
		if len(table.blocks) > 0 {
			return false
		}
	}
	return !p.RuleFor(now, tenant, class, -1).Restricted
}

// ZoneIndex returns the index of a zone in a ZoneSet, or -1 for a zone that no contract names: no restricted search may
// run there.
func (p *CompiledPolicy) ZoneIndex(name string) int {
	if index, known := p.zoneIndexes[name]; known {
		return index
	}
	return -1
}

// AllowsTenantData reports whether stored data about a tenant's searches (names, predicates, entries) may be written in a
// zone or sent to an instance there. The contracts on all classes of the tenant apply. Counts and digests are exempt.
func (p *CompiledPolicy) AllowsTenantData(now int64, tenant, zone string) bool {
	index := p.ZoneIndex(zone)
	rule := p.RuleFor(now, tenant, "", -1)
	if !rule.AllowsZone(index) {
		return false
	}
	for _, table := range p.tables {
		contracts := table.tenants[tenant]
		if contracts == nil {
			continue
		}
		for class := range contracts.byClass {
			if rule = p.RuleFor(now, tenant, class, -1); !rule.AllowsZone(index) {
				return false
			}
		}
	}
	return true
}

// NextChangeAt returns the next time at which the rules change without a new policy: a contract begins or ends, or the
// lease expires. It returns math.MaxInt64 if no such change is ahead.
func (p *CompiledPolicy) NextChangeAt(now int64) int64 {
	next := int64(never)
	if p.LeaseExpiry > now {
		next = p.LeaseExpiry
	}
	for _, table := range p.tables {
		if i, _ := slices.BinarySearch(table.changeTimes, now+1); i < len(table.changeTimes) {
			next = min(next, table.changeTimes[i])
		}
	}
	return next
}

// Tenants returns the sorted names of all tenants that have contracts.
func (p *CompiledPolicy) Tenants() []string {
	tenants := map[string]bool{}
	for _, table := range p.tables {
		for name := range table.tenants {
			tenants[name] = true
		}
	}
	return slices.Sorted(maps.Keys(tenants))
}
