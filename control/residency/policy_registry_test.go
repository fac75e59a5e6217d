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
	oldZones = "generation: 3\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-1, eu-2]}"
	newZones = "generation: 4\nbeside: 3\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-2, us-1]}\n- {tenant: bolt, zones: [us-1]}"
)

func TestStricterOfCompanionPoliciesHolds(t *testing.T) {
	policy := compileTexts(t, never, oldZones, newZones)
	require.True(t, policy.allows(1, "acme", "deep", 0, "eu-2"))
	require.False(t, policy.allows(1, "acme", "deep", 0, "eu-1"))
	require.False(t, policy.allows(1, "acme", "deep", 0, "us-1"))
	require.False(t, policy.allows(1, "bolt", "deep", 0, "eu-1"))
	withoutCompanion := strings.Replace(strings.Replace(newZones, "4", "5", 1), "beside: 3\n", "", 1)
	policy = compileTexts(t, never, oldZones, newZones, withoutCompanion)
	require.True(t, policy.allows(1, "acme", "deep", 0, "us-1"))
}

func TestAddPolicyReportsMissingStaleAndConflictingPolicies(t *testing.T) {
	var registry PolicyRegistry
	changed, err := registry.AddPolicy(parsePolicy(t, newZones))
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, &MissingPolicyError{4, 3}, registry.MissingPolicy())
	changed, err = registry.AddPolicy(parsePolicy(t, oldZones))
	require.NoError(t, err)
	require.True(t, changed)
	require.Nil(t, registry.MissingPolicy())
	_, err = registry.AddPolicy(parsePolicy(t, strings.Replace(oldZones, "3", "2", 1)))
	require.True(t, advice.HasType[*StalePolicyError](err))
	changed, err = registry.AddPolicy(parsePolicy(t, strings.Replace(newZones, "us-1", "eu-1", 1)))
	require.True(t, changed)
	require.True(t, advice.HasType[*ConflictingPoliciesError](err))
	require.False(t, registry.Compile(never).allows(1, "acme", "deep", 0, "us-1"))
}

// The newest generation never falls, and policies that are added in any order, once or often, give the same registry.
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

// drawPolicies draws up to two differing policies of each of five generations.
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

// addInOrder adds policies twice: a companion that came before the policy that names it is taken the second time.
func addInOrder(t *rapid.T, policies []*Policy) *PolicyRegistry {
	registry := &PolicyRegistry{}
	for _, policy := range policies {
		before := registry.NewestGeneration()
		_, _ = registry.AddPolicy(policy) // stale and conflicting ones are among them
		require.GreaterOrEqual(t, registry.NewestGeneration(), before)
	}
	for _, policy := range policies {
		_, _ = registry.AddPolicy(policy)
	}
	return registry
}

// requireNoPolicyIsStricter checks that what is in force allows nothing that one of its policies forbids.
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
