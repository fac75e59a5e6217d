package residency

import (
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
)

// A policy file with each of its keys is read to these values. Its text is the stored form: it is kept as it is.
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
	require.Equal(t, []int64{5 * second, second / 2, 600 * second}, []int64{p.LeaseDuration, p.MaxClockSkew, p.HostHoldDown}, "where they are left out")
}

// leaseStep is one event of a lease's history and the state that it leaves, which other instances are told.
type leaseStep struct {
	Event  string   `json:"event"`
	Asks   []string `json:"asks,omitempty"`
	Until  int64    `json:"until"`
	Agreed uint64   `json:"agreed"`
	Ahead  uint64   `json:"ahead"`
	Sure   bool     `json:"sure"`
	Apart  int      `json:"apart"`
}

// The lease itself is never stored: an instance that starts begins without one. Its state over a history of rounds and
// answers, with what a restart brings back, is the golden one.
func TestGoldenLeaseState(t *testing.T) {
	const second, span, slack = int64(10_000), int64(100_000), int64(10_000)
	var got []leaseStep
	listed := []string{"c", "a", "b", "e", "d"}
	l := NewLease("a", listed, false)
	note := func(event string, asks []string) {
		got = append(got, leaseStep{event, asks, l.ExpiresAt(), l.MajorityGeneration(), l.HighestSeenGeneration(), l.IsVoter(), l.CountSkewedClocks()})
	}
	answer := func(event, from string, now int64, nonce, generation uint64, wall int64, sure bool) {
		l.HandleAcknowledgement(now, LeaseAcknowledgement{From: from, Nonce: nonce, Generation: generation, WallTime: wall, Voter: sure}, 2, span, slack, true)
		note(event, nil)
	}
	note("a start that has forgotten", nil)
	n := l.BeginRound(second)
	note("first round", l.SelectPeers())
	answer("a sure answer", "b", 2*second, n, 2, 2*second, true)
	answer("the same again", "b", 2*second, n, 2, 2*second, true)
	answer("a clock that is apart", "c", 2*second, n, 2, 9*second, true)
	answer("another sure answer", "d", 2*second, n, 2, 2*second, true)
	answer("a third, more than half", "e", 3*second, n, 2, 3*second, true)
	n = l.BeginRound(5 * second)
	answer("an older generation", "b", 6*second, n, 1, 6*second, true)
	answer("one that has not learned yet", "c", 6*second, n, 2, 6*second, false)
	answer("a second sure one", "d", 6*second, n, 2, 6*second, true)
	answer("a third, more than half have it", "e", 6*second, n, 2, 6*second, true)
	n = l.BeginRound(8 * second)
	answer("a newer generation", "b", 9*second, n, 3, 9*second, true)
	answer("an answer after it", "c", 9*second, n, 2, 9*second, true)
	l = NewLease("a", listed, true)
	note("a start that knows what it knew", nil)
	l = NewLease("a", []string{"a"}, false)
	l.RenewSoleMember(second, span)
	require.Empty(t, l.SelectPeers())
	note("listed alone", nil)
	golden.RequireJSON(t, "lease-history.json", got)
	require.Equal(t, span/3, RenewalInterval(span))
}
