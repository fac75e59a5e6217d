package residency

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// Parses a policy file that has every key, and one with as few keys as possible.
func TestGoldenResidencyFile(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	require.True(t, IsPolicyFile(text))
	p, err := ParsePolicy("every_key.yaml", text, testSite)
	require.NoError(t, err)
	p.document = nil
	require.Equal(t, &Policy{
		Source: "every_key.yaml", Generation: 12, CompanionGeneration: 11, EnforcementDeadline: wallTime("2026-12-01T12:00:00Z"), DenyByDefault: true, LeaseDuration: 60_000,
		MaxClockSkew: 4000, HostHoldDown: 5_400_000, Text: text, Contracts: []Contract{
			{
				Tenant: "acme", Class: "lookup", Block: -1, Zones: []string{"eu-1", "eu-2"}, From: wallTime("2026-06-30T22:00:00Z"),
				Until: wallTime("2027-06-30T22:00:00Z"), AllowPartial: true, KeepOnLeaseExpiry: true, DefaultAfterEnd: true,
			},
			{Block: 3, Zones: []string{"us-1"}, From: math.MinInt64, Until: never},
		},
	}, p)

	text, err = os.ReadFile(filepath.Join("testdata", "fewest_keys.yaml"))
	require.NoError(t, err)
	p, err = ParsePolicy("fewest_keys.yaml", text, testSite)
	require.NoError(t, err)
	p.document = nil
	require.Equal(t, &Policy{Source: "fewest_keys.yaml", Generation: 1, LeaseDuration: 50_000, MaxClockSkew: 5000, HostHoldDown: 6_000_000, Text: text}, p)
}

// The golden file has the error texts of invalid policy files, with position and advice. A value of the wrong type is not
// among them, since the YAML package names Go types in that text.
func TestGoldenResidencyFileFaults(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	var all strings.Builder
	for _, change := range [][2]string{
		{"generation: 12", "generation: 0"},
		{"beside: 11", "beside: 12"},
		{"in_force_by: 2026-12-01T12:00:00Z", "in_force_by: soon"},
		{"default: nowhere", "default: here"},
		{"lease: 6s", "lease: 10ms"},
		{"clocks: 400ms", "clocks: x"},
		{"host_rest: 9m", "host_rest: 1000h"},
		{"tenant: acme", "tenant: acmee"},
		{"class: lookup", "class: x"},
		{"[eu-1, eu-2]", "[eu-1, eu-9]"},
		{"[eu-1, eu-2]", "[eu-1, eu-1]"},
		{"[us-1]", "[]"},
		{"until: 2027", "until: 2026"},
		{"otherwise: part", "otherwise: widen"},
		{"lease_ends: keep", "lease_ends: go"},
		{"after: default", "after: all"},
		{"after: refuse", "after: default"},
		{"block: 3", "block: 4"},
		{"block: 3", "class: lookup"},
		{"clocks:", "clock:"},
	} {
		require.Contains(t, string(text), change[0])
		_, err := ParsePolicy("policy.yaml", []byte(strings.Replace(string(text), change[0], change[1], 1)), testSite)
		require.Error(t, err, change[1])
		fmt.Fprintf(&all, "%s -> %s\n  %s\n", change[0], change[1], strings.ReplaceAll(advice.Describe(err), "\n", "\n  "))
	}
	for _, more := range []string{
		"", "contracts:\n- {tenant: acme, zones: [eu-1]}\n- {tenant: acme, zones: [eu-2]}",
		"contracts:\n- {tenant: acme, zones: [eu-1], until: 2027-01-01T00:00:00Z}\n- {tenant: acme, zones: [eu-2], from: 2027-01-02T00:00:00Z}",
		"contracts:\n- {block: 1, tenant: acme, zones: [eu-1]}", "contracts:\n- {zones: [eu-1]}",
	} {
		_, err := ParsePolicy("policy.yaml", []byte(policyHeader+more), testSite)
		require.Error(t, err)
		fmt.Fprintf(&all, "%s\n  %s\n", more, strings.ReplaceAll(advice.Describe(err), "\n", "\n  "))
	}
	golden.Require(t, "file_faults.txt", all.String())
}

// The golden file has the errors that appear in the log, in responses to clients and in the output of `chalkring check`,
// with their advice.
func TestGoldenResidencyErrors(t *testing.T) {
	var all strings.Builder
	for _, err := range []error{
		&SearchRejectedError{Tenant: "acme", Block: 3, Reason: ReasonNoEligibleHost, Generation: 12},
		&SearchRejectedError{Tenant: "acme", Block: -1, Reason: ReasonLeaseExpired, Generation: 12}, &SearchRejectedError{Tenant: "acme", Block: -1, Reason: ReasonContractEnded, Generation: 12},
		&StalePolicyError{Source: "policy.yaml", Generation: 11, NewestGeneration: 12}, &ConflictingPoliciesError{Source: "policy.yaml", Generation: 12}, &MissingPolicyError{Generation: 12, CompanionGeneration: 11},
		&LeaseExpiredError{Generation: 12, Reachable: 1, Listed: 3}, &LeaseExpiredError{Generation: 12, Reachable: 1, Listed: 3, SkewedClocks: 2},
		&EnforcementOverdueError{Generation: 12, Deadline: "2026-12-01T12:00:00Z"}, &PoliciesUnreadableError{errors.New("why")},
		&UnreachableBlocksError{Source: "policy.yaml", Line: 9, Column: 5, Subject: "block 3", Blocks: []int{1, 2, 3, 7}},
		&UnreachableBlocksError{Source: "policy.yaml", Line: 9, Column: 5, Subject: "tenant acme, class lookup", Blocks: []int{4}, AllowPartial: true},
	} {
		fmt.Fprintln(&all, advice.Describe(err))
	}
	golden.Require(t, "errors.txt", all.String())
}
