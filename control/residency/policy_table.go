package residency

import (
	"cmp"
	"math"
	"slices"
)

// contractPeriod is one contract as a table holds it: its rule and the period in which the rule applies.
type contractPeriod struct {
	from, until     int64
	rule            Rule
	defaultAfterEnd bool
}

// contractTimeline holds the contracts on one subject in order of time.
type contractTimeline []contractPeriod

// tenantContracts are the contracts on one tenant.
type tenantContracts struct {
	allClasses contractTimeline
	byClass    map[string]contractTimeline
}

// policyTable is one compiled policy.
type policyTable struct {
	tenants      map[string]*tenantContracts
	blocks       map[int]contractTimeline
	defaultRule  Rule
	maxClockSkew int64
	changeTimes  []int64 // when a contract begins or ends by the fastest or slowest allowed clock, in ascending order
}

// compilePolicy compiles a policy to a table. It adds the zones of its contracts to zoneIndexes, which all tables of a
// CompiledPolicy share.
func compilePolicy(policy *Policy, zoneIndexes map[string]int) *policyTable {
	table := &policyTable{
		tenants: map[string]*tenantContracts{}, blocks: map[int]contractTimeline{},
		defaultRule: Rule{Restricted: policy.DenyByDefault}, maxClockSkew: policy.MaxClockSkew,
	}
	for i := range policy.Contracts {
		contract := &policy.Contracts[i]
		table.addContract(contract, contract.compile(zoneIndexes))
	}
	table.sort()
	return table
}

func (c *Contract) compile(zoneIndexes map[string]int) contractPeriod {
	period := contractPeriod{
		from: c.From, until: c.Until, defaultAfterEnd: c.DefaultAfterEnd,
		rule: Rule{Restricted: true, AllowPartial: c.AllowPartial, KeepOnLeaseExpiry: c.KeepOnLeaseExpiry},
	}
	for _, zone := range c.Zones {
		index, known := zoneIndexes[zone]
		if !known {
			index = len(zoneIndexes)
			if index >= maxZones { // left out of the set, which only makes the rule stricter
				continue
			}
			zoneIndexes[zone] = index
		}
		period.rule.Zones.add(index)
	}
	return period
}

func (t *policyTable) addContract(contract *Contract, period contractPeriod) {
	for _, change := range []int64{contract.From, contract.Until} {
		if change > 0 && change < never {
			t.changeTimes = append(t.changeTimes, change-t.maxClockSkew, change+t.maxClockSkew)
		}
	}
	if contract.Block >= 0 {
		t.blocks[contract.Block] = append(t.blocks[contract.Block], period)
		return
	}
	tenant := t.tenants[contract.Tenant]
	if tenant == nil {
		tenant = &tenantContracts{}
		t.tenants[contract.Tenant] = tenant
	}
	if contract.Class == "" {
		tenant.allClasses = append(tenant.allClasses, period)
		return
	}
	if tenant.byClass == nil {
		tenant.byClass = map[string]contractTimeline{}
	}
	tenant.byClass[contract.Class] = append(tenant.byClass[contract.Class], period)
}

func (t *policyTable) sort() {
	for _, tenant := range t.tenants {
		tenant.allClasses.sort()
		for _, timeline := range tenant.byClass {
			timeline.sort()
		}
	}
	for _, timeline := range t.blocks {
		timeline.sort()
	}
	slices.Sort(t.changeTimes)
}

func (l contractTimeline) sort() {
	slices.SortFunc(l, func(a, b contractPeriod) int { return cmp.Compare(a.from, b.from) })
}

// ruleAt returns the rule at the time now. No rule exists if no contract has begun, or if the last one has ended and the
// policy's default applies after it.
func (l contractTimeline) ruleAt(now int64) (rule Rule, exists bool) {
	for i := len(l) - 1; i >= 0; i-- {
		period := &l[i]
		switch {
		case now < period.from:
			continue
		case now < period.until:
			return period.rule, true
		case period.defaultAfterEnd:
			return Rule{}, false
		}
		return Rule{Restricted: true, ContractEnded: true, KeepOnLeaseExpiry: period.rule.KeepOnLeaseExpiry}, true
	}
	return Rule{}, false
}

// ruleAround returns the strictest combination of the two rules that apply maxClockSkew before now and maxClockSkew after
// it, since the clocks of other instances may be behind or ahead by that much.
func (l contractTimeline) ruleAround(now, maxClockSkew int64) (rule Rule, exists bool) {
	if len(l) == 0 {
		return rule, false
	}
	rule, exists = l.ruleAt(now - maxClockSkew)
	if l.isPermanent() {
		return rule, exists
	}
	later, laterExists := l.ruleAt(now + maxClockSkew)
	return rule.strictest(later), exists || laterExists
}

// isPermanent reports whether the timeline is a single contract without a beginning or an end.
func (l contractTimeline) isPermanent() bool {
	return len(l) == 1 && l[0].from == math.MinInt64 && l[0].until == never
}

// ruleFor returns the strictest combination of all contracts of the policy that apply to a tenant's class and to a block;
// -1 stands for no block.
func (t *policyTable) ruleFor(now int64, tenant, class string, block int) Rule {
	rule, exists := Rule{}, false
	if contracts := t.tenants[tenant]; contracts != nil {
		rule, exists = contracts.allClasses.ruleAround(now, t.maxClockSkew)
		if contracts.byClass != nil {
			classRule, classExists := contracts.byClass[class].ruleAround(now, t.maxClockSkew)
			rule, exists = rule.strictest(classRule), exists || classExists
		}
	}
	if !exists {
		rule = rule.strictest(t.defaultRule)
	}
	if block >= 0 && len(t.blocks) > 0 {
		blockRule, _ := t.blocks[block].ruleAround(now, t.maxClockSkew)
		rule = rule.strictest(blockRule)
	}
	return rule
}
