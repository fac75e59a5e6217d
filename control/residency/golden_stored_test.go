package residency

import (
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
)

// Parses a policy file that has every key. Instances store its text as it is, so the parsed policy keeps it unchanged.
func TestGoldenPolicyFile(t *testing.T) {
	text := golden.Read(t, "policy.yaml")
	require.True(t, IsPolicyFile(text))
	p, err := ParsePolicy("policy.yaml", text, Site{Tenants: []string{"acme"}, Classes: []string{"deep"}, Zones: []string{"eu-1", "eu-2", "us-1"}, Blocks: 4})
	require.NoError(t, err)
	require.Equal(t, string(text), string(p.Text))
	require.Equal(t, "policy.yaml", p.Source)
	require.Equal(t, []uint64{5, 4}, []uint64{p.Generation, p.CompanionGeneration})
	require.True(t, p.DenyByDefault)
	const second, day = 10_000, 86_400 * 10_000
	const december = int64(17_960_832_000_000) // 2026-12-01T00:00:00Z in tenths of a millisecond
	require.Equal(t, december+4*day, p.EnforcementDeadline)
	require.Equal(t, []int64{12 * second, 1.5 * second, 90 * second}, []int64{p.LeaseDuration, p.MaxClockSkew, p.HostHoldDown})
	require.Equal(t, []Contract{
		{Tenant: "acme", Block: -1, Zones: []string{"eu-1", "eu-2"}, From: december, Until: december + 365*day, AllowPartial: true, KeepOnLeaseExpiry: true, DefaultAfterEnd: true},
		{Tenant: "acme", Class: "deep", Block: -1, Zones: []string{"eu-1"}, From: -1 << 63, Until: 1<<63 - 1},
		{Block: 3, Zones: []string{"us-1"}, From: -1 << 63, Until: december + 182*day + 10*3600*second},
	}, p.Contracts)

	p, err = ParsePolicy("defaults", []byte("generation: 1\ndefault: anywhere\ncontracts: []\n"), Site{})
	require.NoError(t, err)
	require.False(t, p.DenyByDefault)
	require.Zero(t, p.CompanionGeneration)
	require.Zero(t, p.EnforcementDeadline)
	require.Equal(t, []int64{5 * second, second / 2, 600 * second}, []int64{p.LeaseDuration, p.MaxClockSkew, p.HostHoldDown}, "defaults")
}

// leaseStep is one event of a lease's history and the state after it, which the lease shows to other instances.
type leaseStep struct {
	Event                 string   `json:"event"`
	Peers                 []string `json:"asks,omitempty"`
	ExpiresAt             int64    `json:"until"`
	MajorityGeneration    uint64   `json:"agreed"`
	HighestSeenGeneration uint64   `json:"ahead"`
	Voter                 bool     `json:"sure"`
	SkewedClocks          int      `json:"apart"`
}

// A lease is never stored: an instance starts without one. The golden file has its state over a history of rounds and
// acknowledgements, and after starts with and without stored policies.
func TestGoldenLeaseState(t *testing.T) {
	const second, leaseDuration, clockSkew = int64(10_000), int64(100_000), int64(10_000)
	var got []leaseStep
	listed := []string{"c", "a", "b", "e", "d"}
	l := NewLease("a", listed, false)
	record := func(event string, peers []string) {
		got = append(got, leaseStep{event, peers, l.ExpiresAt(), l.MajorityGeneration(), l.HighestSeenGeneration(), l.IsVoter(), l.CountSkewedClocks()})
	}
	acknowledge := func(event, from string, now int64, nonce, generation uint64, wallTime int64, voter bool) {
		l.HandleAcknowledgement(now, LeaseAcknowledgement{From: from, Nonce: nonce, Generation: generation, WallTime: wallTime, Voter: voter}, 2, leaseDuration, clockSkew, true)
		record(event, nil)
	}
	record("a start that has forgotten", nil)
	n := l.BeginRound(second)
	record("first round", l.SelectPeers())
	acknowledge("a sure answer", "b", 2*second, n, 2, 2*second, true)
	acknowledge("the same again", "b", 2*second, n, 2, 2*second, true)
	acknowledge("a clock that is apart", "c", 2*second, n, 2, 9*second, true)
	acknowledge("another sure answer", "d", 2*second, n, 2, 2*second, true)
	acknowledge("a third, more than half", "e", 3*second, n, 2, 3*second, true)
	n = l.BeginRound(5 * second)
	acknowledge("an older generation", "b", 6*second, n, 1, 6*second, true)
	acknowledge("one that has not learned yet", "c", 6*second, n, 2, 6*second, false)
	acknowledge("a second sure one", "d", 6*second, n, 2, 6*second, true)
	acknowledge("a third, more than half have it", "e", 6*second, n, 2, 6*second, true)
	n = l.BeginRound(8 * second)
	acknowledge("a newer generation", "b", 9*second, n, 3, 9*second, true)
	acknowledge("an answer after it", "c", 9*second, n, 2, 9*second, true)
	l = NewLease("a", listed, true)
	record("a start that knows what it knew", nil)
	l = NewLease("a", []string{"a"}, false)
	l.RenewSoleMember(second, leaseDuration)
	require.Empty(t, l.SelectPeers())
	record("listed alone", nil)
	golden.RequireJSON(t, "lease-history.json", got)
	require.Equal(t, leaseDuration/3, RenewalInterval(leaseDuration))
}
