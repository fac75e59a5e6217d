package peerreport

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Fifty peers poll at one moment: a few are answered at a time, the others come back at spread times, and all are
// answered in the end.
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

func TestNobodyIsAnsweredUnderLoad(t *testing.T) {
	a := NewAdmission()
	a.SetLoad(0.9)
	admitted, deferral := a.Admit(5*second, "n2")
	require.False(t, admitted, "searches go first")
	require.GreaterOrEqual(t, deferral, int64(minOverloadDeferral))
}

func TestRememberedPeersAreBounded(t *testing.T) {
	a := NewAdmission()
	for i := range 4 * maxRememberedPeers {
		a.Admit(6*second, fmt.Sprint("x", i))
		a.Release()
	}
	require.LessOrEqual(t, len(a.lastAdmittedAt), maxRememberedPeers)
}
