package residency

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// compileTexts compiles a registry to which policies with these texts are added in order.
func compileTexts(t require.TestingT, leaseExpiry int64, texts ...string) *CompiledPolicy {
	var registry PolicyRegistry
	for _, text := range texts {
		changed, err := registry.AddPolicy(parsePolicy(t, text))
		require.NoError(t, err)
		require.True(t, changed)
	}
	return registry.Compile(leaseExpiry)
}

func (p *CompiledPolicy) allows(now int64, tenant, class string, block int, zone string) bool {
	rule := p.RuleFor(now, tenant, class, block)
	return rule.AllowsZone(p.ZoneIndex(zone))
}

// permanentAndTemporaryContracts has contracts on tenants, a class and a block, some of them with a beginning or an end.
const permanentAndTemporaryContracts = policyHeader + `contracts:
- {tenant: acme, zones: [eu-1, eu-2], otherwise: part}
- {tenant: acme, class: deep, zones: [eu-2, us-1]}
- {tenant: bolt, zones: [eu-1], until: 2027-01-01T00:00:00Z}
- {tenant: core, zones: [eu-1], from: 2026-06-01T00:00:00Z, until: 2027-01-01T00:00:00Z, after: default}
- {block: 2, zones: [eu-1, us-1]}`

func TestStrictestContractHolds(t *testing.T) {
	policy := compileTexts(t, never, permanentAndTemporaryContracts)
	now := wallTime("2026-12-01T00:00:00Z")
	for _, test := range []struct {
		tenant, class string
		block         int
		wantZones     string
	}{
		{"acme", "lookup", 0, "eu-1 eu-2"},
		{"acme", "lookup", 2, "eu-1"},
		{"acme", "deep", 0, "eu-2"},
		{"acme", "deep", 2, ""},
		{"bolt", "deep", 0, "eu-1"},
		{"else", "lookup", 0, "eu-1 eu-2 us-1 us-9"},
		{"else", "lookup", 2, "eu-1 us-1"},
	} {
		var zones []string
		for _, zone := range []string{"eu-1", "eu-2", "us-1", "us-9"} {
			if policy.allows(now, test.tenant, test.class, test.block, zone) {
				zones = append(zones, zone)
			}
		}
		require.Equal(t, test.wantZones, strings.Join(zones, " "), test)
	}
	require.True(t, policy.RuleFor(now, "acme", "lookup", 0).AllowPartial)
	require.False(t, policy.RuleFor(now, "acme", "deep", 0).AllowPartial, "one of the two contracts does not allow partial answers")
	require.False(t, policy.IsUnrestricted(now, "else", "deep"))
}

func TestTenantDataKeepsToContractsOfAllClasses(t *testing.T) {
	policy := compileTexts(t, never, permanentAndTemporaryContracts)
	now := wallTime("2026-12-01T00:00:00Z")
	require.True(t, policy.AllowsTenantData(now, "acme", "eu-2"))
	require.False(t, policy.AllowsTenantData(now, "acme", "eu-1"), "the contract on the class deep does not allow it")
	require.True(t, policy.AllowsTenantData(now, "else", "us-9"))
}

func TestContractBeginAndEnd(t *testing.T) {
	policy := compileTexts(t, never, permanentAndTemporaryContracts)
	afterEnd := wallTime("2028-01-01T00:00:00Z")
	require.True(t, policy.RuleFor(afterEnd, "bolt", "deep", 0).ContractEnded)
	require.False(t, policy.allows(afterEnd, "bolt", "deep", 0, "eu-1"), "nothing is allowed after an end that nothing follows")
	require.True(t, policy.allows(afterEnd, "core", "deep", 0, "us-1"))
	begin := wallTime("2026-06-01T00:00:00Z")
	require.True(t, policy.allows(begin-policy.MaxClockSkew-1, "core", "deep", 0, "us-1"))
	require.False(t, policy.allows(begin-policy.MaxClockSkew, "core", "deep", 0, "us-1"), "by a clock that is ahead the contract has begun")
	require.Equal(t, begin-policy.MaxClockSkew, policy.NextChangeAt(begin-second))
}

func TestDenyByDefault(t *testing.T) {
	policy := compileTexts(t, never, "generation: 1\ndefault: nowhere\ncontracts: []")
	require.False(t, policy.allows(wallTime("2026-12-01T00:00:00Z"), "else", "deep", 0, "eu-1"))
}

func TestDenyAll(t *testing.T) {
	require.False(t, DenyAll().allows(1, "acme", "deep", 0, "eu-1"))
	require.False(t, DenyAll().IsUnrestricted(1, "acme", "deep"))
}

func TestExpiredLeaseRejectsTenantsUnderContract(t *testing.T) {
	policy := compileTexts(t, 100, policyHeader+"contracts:\n- {tenant: acme, zones: [eu-1]}\n- {tenant: bolt, zones: [eu-1], lease_ends: keep}")
	require.True(t, policy.allows(99, "acme", "deep", 0, "eu-1"))
	require.False(t, policy.allows(100, "acme", "deep", 0, "eu-1"))
	require.True(t, policy.allows(100, "bolt", "deep", 0, "eu-1"))
	require.True(t, policy.allows(100, "core", "deep", 0, "us-1"))
	require.Equal(t, int64(100), policy.NextChangeAt(7))
}

func TestMissingCompanionRejectsTenantsUnderContract(t *testing.T) {
	policy := compileTexts(t, never, policyHeader+"beside: 2\ncontracts:\n- {tenant: acme, zones: [eu-1]}")
	require.True(t, policy.Incomplete)
	require.False(t, policy.allows(1, "acme", "deep", 0, "eu-1"))
}

// compileMaxContracts returns a policy with as many contracts as a file may have.
func compileMaxContracts(t testing.TB) *CompiledPolicy {
	var text strings.Builder
	text.WriteString("generation: 1\ndefault: anywhere\ncontracts:\n")
	for i := range maxContracts {
		fmt.Fprintf(&text, "- {tenant: tenant-%d, zones: [eu-%d, eu-9]}\n", i, i%7)
	}
	policy, err := ParsePolicy("many", []byte(text.String()), Site{})
	require.NoError(t, err)
	var registry PolicyRegistry
	_, err = registry.AddPolicy(policy)
	require.NoError(t, err)
	return registry.Compile(never)
}

// sampleTenantNames returns tenants to look up in the policy of compileMaxContracts. Some have no contract there.
func sampleTenantNames() []string {
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%d", i*17)
	}
	return names
}

func TestLookupAllocatesNothing(t *testing.T) {
	policy, names := compileMaxContracts(t), sampleTenantNames()
	zone := policy.ZoneIndex("eu-9")
	lookups, allowed := 0, 0
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		rule := policy.RuleFor(5, names[lookups%len(names)], "deep", 3)
		lookups++
		if rule.Restricted && rule.AllowsZone(zone) {
			allowed++
		}
	}))
	require.Positive(t, allowed)
}

func BenchmarkLookup(b *testing.B) {
	policy, names := compileMaxContracts(b), sampleTenantNames()
	zone := policy.ZoneIndex("eu-9")
	allowed := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if rule := policy.RuleFor(5, names[i%len(names)], "deep", 3); rule.AllowsZone(zone) {
			allowed++
		}
	}
}
