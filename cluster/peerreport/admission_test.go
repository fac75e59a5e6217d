package peerreport

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against overload when many instances restart together: of fifty peers that poll at the same moment, few are
// answered at a time, the others are deferred to different times, and all are answered in the end.
func TestPeersThatPollTogetherAreSpread(t *testing.T) {
	a := NewAdmission()
	nextPollAt, answered, now := map[string]int64{}, map[string]bool{}, int64(0)
	for ; now < 60*second && len(answered) < 50; now += second / 20 {
		serving := 0
		for i := range 50 {
			peer := fmt.Sprint("n", i)
			if nextPollAt[peer] > now || answered[peer] {
				continue
			}
			if admitted, deferral := a.Admit(now, peer); admitted {
				answered[peer] = true
				serving++
			} else {
				require.Positive(t, deferral)
				require.LessOrEqual(t, deferral, int64(maxDeferralAhead))
				nextPollAt[peer] = now + deferral
			}
		}
		require.LessOrEqual(t, serving, maxConcurrentReplies)
		for range serving {
			a.Release()
		}
	}
	require.Len(t, answered, 50)
	require.Less(t, now, int64(30*second))
}

// A peer that polls in a loop must not crowd out others: it is deferred until minPeerInterval is over.
func TestPeerThatPollsAgainAtOnceIsDeferred(t *testing.T) {
	a := NewAdmission()
	admitted, _ := a.Admit(0, "n1")
	require.True(t, admitted)
	admitted, deferral := a.Admit(1, "n1")
	require.False(t, admitted)
	require.Equal(t, int64(minPeerInterval-1), deferral)
	a.Release()
	admitted, _ = a.Admit(minPeerInterval, "n1")
	require.True(t, admitted, "the interval is over")
}

// Peer reports must not take time from searches: above maxServingLoad every poll is deferred.
func TestNoPeerIsAnsweredUnderHighLoad(t *testing.T) {
	a := NewAdmission()
	a.SetLoad(0.9)
	admitted, deferral := a.Admit(5*second, "n2")
	require.False(t, admitted, "searches take precedence")
	require.GreaterOrEqual(t, deferral, int64(minOverloadDeferral))
}

// Polls by ever new peers must not let the memory for them grow without bound.
func TestRememberedPeersAreBounded(t *testing.T) {
	a := NewAdmission()
	for i := range 4 * maxRememberedPeers {
		a.Admit(6*second, fmt.Sprint("x", i))
		a.Release()
	}
	require.LessOrEqual(t, len(a.lastAdmittedAt), maxRememberedPeers)
}
