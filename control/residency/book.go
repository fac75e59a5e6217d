package residency

import (
	"maps"
	"slices"
)

// PolicyRegistry keeps the policies that count: the newest generation, in each wording that is known, and the one it stands
// beside. It is one goroutine's. The same policies told in any order, once or often, leave the same book.
type PolicyRegistry struct {
	top  uint64
	held map[uint64][]*Policy // by generation; several that differ are all held
	torn map[uint64]bool      // generations with more wordings than are held
}

// AddPolicy takes a policy. A Stale one changes nothing; one that Differs from another of its generation holds beside it. The
// error says what an operator has to know, also where something has changed.
func (b *PolicyRegistry) AddPolicy(p *Policy) (changed bool, err error) {
	if b.held == nil {
		b.held, b.torn = map[uint64][]*Policy{}, map[uint64]bool{}
	}
	if p.Generation < b.top && !b.wanted()[p.Generation] {
		return false, &StalePolicyError{p.Source, p.Generation, b.top}
	}
	of := b.held[p.Generation]
	switch {
	case slices.ContainsFunc(of, func(o *Policy) bool { return string(o.Text) == string(p.Text) }):
		return false, nil
	case len(of) >= rivalsMost:
		changed = !b.torn[p.Generation]
		b.torn[p.Generation] = true
		return changed, &ConflictingPoliciesError{p.Source, p.Generation}
	case len(of) > 0:
		err = &ConflictingPoliciesError{p.Source, p.Generation}
	}
	of = append(slices.Clone(of), p)
	slices.SortFunc(of, func(x, y *Policy) int { return slices.Compare(x.Text, y.Text) })
	b.held[p.Generation], b.top = of, max(b.top, p.Generation)
	wanted := b.wanted()
	for g := range b.held {
		if !wanted[g] {
			delete(b.held, g)
			delete(b.torn, g)
		}
	}
	return true, err
}

// wanted are the generations that hold: the newest, and those that its wordings stand beside.
func (b *PolicyRegistry) wanted() map[uint64]bool {
	all := map[uint64]bool{b.top: true}
	for _, p := range b.held[b.top] {
		if p.CompanionGeneration > 0 {
			all[p.CompanionGeneration] = true
		}
	}
	return all
}

// NewestGeneration is the newest that is known, 0 for none.
func (b *PolicyRegistry) NewestGeneration() uint64 { return b.top }

// Policies are all that are held, the older generation first.
func (b *PolicyRegistry) Policies() (all []*Policy) {
	for _, g := range slices.Sorted(maps.Keys(b.held)) {
		all = append(all, b.held[g]...)
	}
	return all
}

// MissingPolicy names a policy that must be held and is not known; nil where there is none.
func (b *PolicyRegistry) MissingPolicy() *MissingPolicyError {
	for _, g := range slices.Sorted(maps.Keys(b.wanted())) {
		if len(b.held[g]) == 0 && g > 0 {
			return &MissingPolicyError{b.top, g}
		}
	}
	return nil
}

// Compile is what is in force with a lease that ends then; nil while no policy is known. Of times that policies state
// differently the stricter holds.
func (b *PolicyRegistry) Compile(until int64) *CompiledPolicy {
	if b.top == 0 {
		return nil
	}
	s := &CompiledPolicy{Generation: b.top, LeaseExpiry: until, Incomplete: len(b.torn) > 0 || b.MissingPolicy() != nil, zones: map[string]int{}, LeaseDuration: leaseMost}
	for _, p := range b.Policies() {
		s.tables = append(s.tables, compile(p, s.zones))
		s.LeaseDuration, s.MaxClockSkew, s.HostHoldDown = min(s.LeaseDuration, p.LeaseDuration), max(s.MaxClockSkew, p.MaxClockSkew), max(s.HostHoldDown, p.HostHoldDown)
		if p.Generation == b.top && p.EnforcementDeadline > 0 && (s.EnforcementDeadline == 0 || p.EnforcementDeadline < s.EnforcementDeadline) {
			s.EnforcementDeadline = p.EnforcementDeadline
		}
	}
	return s
}

// DenyAll is in force where no policy is known: nobody's parts run anywhere.
func DenyAll() *CompiledPolicy {
	zones := map[string]int{}
	return &CompiledPolicy{LeaseExpiry: never, LeaseDuration: leaseMost, zones: zones, tables: []*table{compile(&Policy{DenyByDefault: true}, zones)}}
}

// DiffersOnlyInLease tells whether a standing differs from another in the end of its lease alone.
func (s *CompiledPolicy) DiffersOnlyInLease(o *CompiledPolicy) bool {
	return o != nil && s.Incomplete == o.Incomplete && len(s.tables) == len(o.tables) && &s.tables[0] == &o.tables[0]
}

// WithLeaseExpiry is the same with another end of the lease.
func (s *CompiledPolicy) WithLeaseExpiry(until int64) *CompiledPolicy {
	own := *s
	own.LeaseExpiry = until
	return &own
}
