package residency

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const testLeaseDuration = 10 * second

var threeMembers = []string{"a", "b", "c"}

// acknowledge passes an acknowledgement with a correct clock to the lease of instance a, which enforces generation 1.
func acknowledge(lease *Lease, now int64, ack LeaseAcknowledgement) bool {
	ack.WallTime = now
	return lease.HandleAcknowledgement(now, ack, 1, testLeaseDuration, second, true)
}

// Guards against a lease that counts from the arrival of a late acknowledgement: since the round began, a quorum may have
// got a newer generation.
func TestLeaseCountsFromBeginOfRound(t *testing.T) {
	lease := NewLease("a", threeMembers, true)
	nonce := lease.BeginRound(second)
	require.True(t, acknowledge(lease, 9*second, LeaseAcknowledgement{From: "b", Nonce: nonce, Generation: 1, Voter: true}))
	require.Equal(t, 11*second, int(lease.ExpiresAt()))
	require.Equal(t, uint64(1), lease.MajorityGeneration())
}

// Guards against a lease that is renewed too early after a start without stored state: this instance may have forgotten a
// generation, so its own vote does not count. Without a quorum of other votes all members have to acknowledge.
func TestMemberThatForgotNeedsAllAcknowledgements(t *testing.T) {
	lease := NewLease("a", threeMembers, false)
	nonce := lease.BeginRound(second)
	require.False(t, acknowledge(lease, 2*second, LeaseAcknowledgement{From: "b", Nonce: nonce, Generation: 1, Voter: true}))
	require.False(t, acknowledge(lease, 2*second, LeaseAcknowledgement{From: "b", Nonce: nonce, Generation: 1, Voter: true}), "it has counted already")
	require.False(t, acknowledge(lease, 2*second, LeaseAcknowledgement{From: "x", Nonce: nonce, Generation: 1, Voter: true}), "x is not a member")
	require.True(t, acknowledge(lease, 2*second, LeaseAcknowledgement{From: "c", Nonce: nonce, Generation: 1}), "all have acknowledged")
	require.False(t, acknowledge(lease, 3*second, LeaseAcknowledgement{From: "b", Nonce: lease.BeginRound(3 * second), Generation: 2, Voter: true}), "a newer generation is known")
	require.Equal(t, uint64(2), lease.HighestSeenGeneration())
}
