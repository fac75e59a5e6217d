package residency

import (
	"bytes"
	"maps"
	"slices"
)

// maxConflictingPolicies limits how many policies of one generation with different texts are kept: enough for one
// per region. With more of them the compiled policy is Incomplete.
const maxConflictingPolicies = 4

// PolicyRegistry holds the policies that apply: all known texts of the newest generation, and the companion generations
// that these name. Policies may be added in any order, and repeatedly. But one that was ignored as stale has to be added
// again once a newer policy names it as its companion. A PolicyRegistry is not safe for concurrent use. The zero value is
// empty and ready to use.
type PolicyRegistry struct {
	newest       uint64
	byGeneration map[uint64][]*Policy // known policies of each generation, sorted by text
	overflowed   map[uint64]bool      // generations with more conflicting policies than are kept
}

// AddPolicy adds a policy and reports whether that changes the rules. The error is meant for the operator. With a
// StalePolicyError the policy is ignored. With a ConflictingPoliciesError it is kept together with the other policy of
// its generation, up to maxConflictingPolicies, and both apply.
func (r *PolicyRegistry) AddPolicy(policy *Policy) (changed bool, err error) {
	if r.byGeneration == nil {
		r.byGeneration, r.overflowed = map[uint64][]*Policy{}, map[uint64]bool{}
	}
	generation := policy.Generation
	if generation < r.newest && !r.requiredGenerations()[generation] {
		return false, &StalePolicyError{policy.Source, generation, r.newest}
	}
	known := r.byGeneration[generation]
	switch {
	case slices.ContainsFunc(known, func(other *Policy) bool { return bytes.Equal(other.Text, policy.Text) }):
		return false, nil
	case len(known) >= maxConflictingPolicies:
		changed = !r.overflowed[generation]
		r.overflowed[generation] = true
		return changed, &ConflictingPoliciesError{policy.Source, generation}
	case len(known) > 0:
		err = &ConflictingPoliciesError{policy.Source, generation}
	}
	known = append(slices.Clone(known), policy)
	slices.SortFunc(known, func(a, b *Policy) int { return bytes.Compare(a.Text, b.Text) })
	r.byGeneration[generation] = known
	r.newest = max(r.newest, generation)
	r.dropUnneeded()
	return true, err
}

// dropUnneeded removes the generations that no longer apply.
func (r *PolicyRegistry) dropUnneeded() {
	required := r.requiredGenerations()
	for generation := range r.byGeneration {
		if !required[generation] {
			delete(r.byGeneration, generation)
			delete(r.overflowed, generation)
		}
	}
}

// requiredGenerations returns the generations that apply: the newest and the companions that its policies name.
func (r *PolicyRegistry) requiredGenerations() map[uint64]bool {
	required := map[uint64]bool{r.newest: true}
	for _, policy := range r.byGeneration[r.newest] {
		if policy.CompanionGeneration > 0 {
			required[policy.CompanionGeneration] = true
		}
	}
	return required
}

// NewestGeneration returns the newest known generation, 0 for none.
func (r *PolicyRegistry) NewestGeneration() uint64 { return r.newest }

// Policies returns all kept policies, the oldest generation first.
func (r *PolicyRegistry) Policies() (policies []*Policy) {
	for _, generation := range slices.Sorted(maps.Keys(r.byGeneration)) {
		policies = append(policies, r.byGeneration[generation]...)
	}
	return policies
}

// MissingPolicy returns an error for the oldest required generation that is not known, nil if all are known.
func (r *PolicyRegistry) MissingPolicy() *MissingPolicyError {
	for _, generation := range slices.Sorted(maps.Keys(r.requiredGenerations())) {
		if len(r.byGeneration[generation]) == 0 && generation > 0 {
			return &MissingPolicyError{r.newest, generation}
		}
	}
	return nil
}

// Compile compiles the policies that apply, with a lease that lasts until leaseExpiry. It returns nil while no policy is
// known. If policies state different durations, the stricter one applies.
func (r *PolicyRegistry) Compile(leaseExpiry int64) *CompiledPolicy {
	if r.newest == 0 {
		return nil
	}
	compiled := &CompiledPolicy{
		Generation: r.newest, LeaseExpiry: leaseExpiry, LeaseDuration: maxLeaseDuration,
		Incomplete:  len(r.overflowed) > 0 || r.MissingPolicy() != nil,
		zoneIndexes: map[string]int{},
	}
	for _, policy := range r.Policies() {
		compiled.tables = append(compiled.tables, compilePolicy(policy, compiled.zoneIndexes))
		compiled.LeaseDuration = min(compiled.LeaseDuration, policy.LeaseDuration)
		compiled.MaxClockSkew = max(compiled.MaxClockSkew, policy.MaxClockSkew)
		compiled.HostHoldDown = max(compiled.HostHoldDown, policy.HostHoldDown)
		if policy.Generation == r.newest {
			compiled.EnforcementDeadline = earlierDeadline(compiled.EnforcementDeadline, policy.EnforcementDeadline)
		}
	}
	return compiled
}

// earlierDeadline returns the earlier of two deadlines; 0 stands for no deadline.
func earlierDeadline(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
