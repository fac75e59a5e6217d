package residency

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

var testSite = Site{Tenants: []string{"acme", "bolt", "core"}, Classes: []string{"lookup", "deep"}, Zones: []string{"eu-1", "eu-2", "us-1"}, Blocks: 4}

const policyHeader = "generation: 3\ndefault: anywhere\n"

func parsePolicy(t require.TestingT, text string) *Policy {
	policy, err := ParsePolicy("file", []byte(text), testSite)
	require.NoError(t, err)
	return policy
}

func wallTime(text string) int64 {
	t, _ := time.Parse(time.RFC3339, text)
	return t.UnixMicro() / 100
}

func TestParsePolicyReportsEachFaultWithPositionAndAdvice(t *testing.T) {
	for text, want := range map[string]string{
		"default: anywhere\ncontracts: []":                                                            "generation: 0 is not a generation: write a number from 1 to 2^64-2 that rises",
		"generation: 3\ncontracts: []":                                                                "default: \"\" is neither",
		policyHeader:                                                                                  "the list of contracts is missing",
		policyHeader + "beside: 3\ncontracts: []":                                                     "[3:9] beside: 3 is not an earlier generation than 3",
		policyHeader + "lease: 10ms\ncontracts: []":                                                   "[3:8] lease: 10ms is not between 1s",
		policyHeader + "contracts:\n- {tenant: acmee, zones: [eu-1]}":                                 "[4:12] contracts[0].tenant: unknown tenant \"acmee\"",
		policyHeader + "contracts:\n- {tenant: acme, class: x, zones: [eu-1]}":                        "[4:25] contracts[0].class: unknown class \"x\"",
		policyHeader + "contracts:\n- {tenant: acme, zones: [eu-1, eu-9]}":                            "[4:32] contracts[0].zones[1]: unknown zone \"eu-9\"",
		policyHeader + "contracts:\n- {tenant: acme, zones: [eu-1, eu-1]}":                            "[4:32] contracts[0].zones[1]: zone \"eu-1\" is listed twice",
		policyHeader + "contracts:\n- {tenant: acme}":                                                 "names no zones",
		policyHeader + "contracts:\n- {block: 4, zones: [eu-1]}":                                      "[4:11] contracts[0].block: 4 is not a block number",
		policyHeader + "contracts:\n- {block: 1, tenant: acme, zones: [eu-1]}":                        "not both",
		policyHeader + "contracts:\n- {zones: [eu-1]}":                                                "neither a tenant nor a block",
		policyHeader + "contracts:\n- {tenant: acme, zones: [eu-1], from: x}":                         "is not a time such as",
		policyHeader + "contracts:\n- {tenant: acme, zones: [eu-1], otherwise: widen}":                "\"widen\" is neither refuse nor part",
		policyHeader + "contracts:\n- {tenant: acme, zones: [eu-1], after: default}":                  "after: applies only to a contract with until",
		policyHeader + "contracts:\n- {tenant: acme, zones: [eu-1]}\n- {tenant: acme, zones: [eu-2]}": "[5:3] contracts[1].from: tenant acme has two contracts at the same time: the one in line 4",
		policyHeader + "contracts:\n- {tenant: acme, zones: [eu-1], until: 2027-01-01T00:00:00Z}\n- {tenant: acme, zones: [eu-2], from: 2027-01-02T00:00:00Z}": "[5:39] contracts[1].from: tenant acme has a gap of 24h0m0s after the contract in line 4",
		policyHeader + "contracts: []\nzone: x": "unknown field",
	} {
		_, err := ParsePolicy("file", []byte(text), testSite)
		require.ErrorContains(t, err, want, text)
		require.NotEmpty(t, advice.For(err), text)
	}
}

func TestIsPolicyFile(t *testing.T) {
	require.True(t, IsPolicyFile([]byte(policyHeader+"contracts:\n- {tenant: acme, zones: [eu-1]}")))
	require.False(t, IsPolicyFile([]byte("peers:\n  name: n0")))
}

func TestDeployedPolicyFileIsValid(t *testing.T) {
	text, err := os.ReadFile("../../deploy/residency.yaml")
	require.NoError(t, err)
	require.True(t, IsPolicyFile(text))
	policy, err := ParsePolicy("deploy/residency.yaml", text, Site{})
	require.NoError(t, err)
	require.Len(t, policy.Contracts, 5)
}

func TestOnCallPageListsEachError(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	for _, err := range []advice.Provider{
		&SearchRejectedError{Reason: ReasonNoEligibleHost},
		&SearchRejectedError{Reason: ReasonLeaseExpired},
		&SearchRejectedError{Reason: ReasonContractEnded},
		&StalePolicyError{},
		&ConflictingPoliciesError{},
		&MissingPolicyError{},
		&UnreachableBlocksError{},
		&LeaseExpiredError{},
		&LeaseExpiredError{SkewedClocks: 1},
		&EnforcementOverdueError{},
		&PoliciesUnreadableError{errors.New("x")},
	} {
		require.NotEmpty(t, err.Advice())
		require.NotEmpty(t, err.Error())
		require.Contains(t, string(page), "`"+strings.TrimPrefix(fmt.Sprintf("%T", err), "*residency.")+"`", "docs/oncall.md lists it")
	}
}

func TestFindUnreachableBlocks(t *testing.T) {
	policy := parsePolicy(t, policyHeader+"contracts:\n- {tenant: acme, zones: [eu-1]}\n- {block: 3, zones: [us-1], otherwise: part}\n- {tenant: bolt, zones: [us-1]}")
	unreachable := policy.FindUnreachableBlocks(4, func(zone string, block int) bool {
		return zone == "us-1" && block != 3 || zone == "eu-1" && block == 1
	})
	require.Len(t, unreachable, 3)
	require.Equal(t, "file: [4:12] tenant acme could not reach blocks 0, 2-3: its searches there are refused", unreachable[0].Error())
	require.Equal(t, "file: [5:11] block 3 could not reach block 3: its searches there get partial answers or are refused", unreachable[1].Error())
	var asError *UnreachableBlocksError
	require.True(t, errors.As(fmt.Errorf("x: %w", unreachable[2]), &asError))
}
