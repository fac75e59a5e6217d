package residency

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/internal/advice"
)

const (
	oldPolicy = "generation: 3\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-1, eu-2]}"
	newPolicy = "generation: 4\nbeside: 3\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-2, us-1]}\n- {tenant: bolt, zones: [us-1]}"
)

func TestStricterOfCompanionPoliciesHolds(t *testing.T) {
	policy := compileTexts(t, never, oldPolicy, newPolicy)
	require.True(t, policy.allows(1, "acme", "deep", 0, "eu-2"))
	require.False(t, policy.allows(1, "acme", "deep", 0, "eu-1"))
	require.False(t, policy.allows(1, "acme", "deep", 0, "us-1"))
	require.False(t, policy.allows(1, "bolt", "deep", 0, "eu-1"))
	withoutCompanion := strings.Replace(strings.Replace(newPolicy, "4", "5", 1), "beside: 3\n", "", 1)
	policy = compileTexts(t, never, oldPolicy, newPolicy, withoutCompanion)
	require.True(t, policy.allows(1, "acme", "deep", 0, "us-1"))
}

func TestAddPolicyReportsMissingStaleAndConflictingPolicies(t *testing.T) {
	var registry PolicyRegistry
	changed, err := registry.AddPolicy(parsePolicy(t, newPolicy))
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, &MissingPolicyError{4, 3}, registry.MissingPolicy())
	changed, err = registry.AddPolicy(parsePolicy(t, oldPolicy))
	require.NoError(t, err)
	require.True(t, changed)
	require.Nil(t, registry.MissingPolicy())
	_, err = registry.AddPolicy(parsePolicy(t, strings.Replace(oldPolicy, "3", "2", 1)))
	require.True(t, advice.HasType[*StalePolicyError](err))
	changed, err = registry.AddPolicy(parsePolicy(t, strings.Replace(newPolicy, "us-1", "eu-1", 1)))
	require.True(t, changed)
	require.True(t, advice.HasType[*ConflictingPoliciesError](err))
	require.False(t, registry.Compile(never).allows(1, "acme", "deep", 0, "us-1"))
}

// The newest generation never falls, and the order and number of additions of policies do not change the registry.
func TestOrderOfPoliciesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policies := drawPolicies(t)
		if len(policies) == 0 {
			return
		}
		first := addInOrder(t, policies)
		second := addInOrder(t, rapid.Permutation(append(slices.Clone(policies), policies[0])).Draw(t, "order"))
		require.Equal(t, first.Policies(), second.Policies())
		require.Equal(t, first.Compile(never), second.Compile(never))
		requireNoPolicyIsStricter(t, first)
	})
}

// drawPolicies draws up to two different policies of each of five generations.
func drawPolicies(t *rapid.T) (policies []*Policy) {
	for generation := 1; generation <= 5; generation++ {
		for n := rapid.IntRange(0, 2).Draw(t, "policies"); n > 0; n-- {
			text := fmt.Sprintf("generation: %d\nbeside: %d\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [%s]}\n# %d", generation,
				rapid.IntRange(0, generation-1).Draw(t, "companion"), rapid.SampledFrom(testSite.Zones).Draw(t, "zone"), n)
			policies = append(policies, parsePolicy(t, text))
		}
	}
	return policies
}

// addInOrder adds all policies in order, and then once more: a companion may be stale until a policy that names it has
// been added.
func addInOrder(t *rapid.T, policies []*Policy) *PolicyRegistry {
	registry := &PolicyRegistry{}
	for _, policy := range policies {
		before := registry.NewestGeneration()
		_, _ = registry.AddPolicy(policy) // some are stale or conflicting
		require.GreaterOrEqual(t, registry.NewestGeneration(), before)
	}
	for _, policy := range policies {
		_, _ = registry.AddPolicy(policy)
	}
	return registry
}

// requireNoPolicyIsStricter checks that the registry's compiled policy allows nothing that one of its policies forbids.
func requireNoPolicyIsStricter(t *rapid.T, registry *PolicyRegistry) {
	for _, zone := range testSite.Zones {
		allowed := registry.Compile(never).allows(1, "acme", "deep", 0, zone)
		for _, policy := range registry.Policies() {
			single := PolicyRegistry{}
			_, err := single.AddPolicy(policy)
			require.NoError(t, err)
			if compiled := single.Compile(never); !compiled.Incomplete {
				require.True(t, !allowed || compiled.allows(1, "acme", "deep", 0, zone))
			}
		}
	}
}
