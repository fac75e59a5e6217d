package peerreport

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

func newTestPoller(now, refresh int64, peers ...string) *Poller {
	return NewPoller(rand.New(rand.NewSource(1)), now, refresh, peers)
}

// The wait before the next poll must follow the last outcome: a peer that failed is polled again after the backoff, one
// that deferred after the wait it asked for, and this instance itself never. A peer in flight is not polled twice.
func TestPollsEachPeerByItsLastOutcome(t *testing.T) {
	p := newTestPoller(100, 0, "a", "b", "c", "d")
	require.Equal(t, []string{"a", "b", "c", "d"}, p.DuePeers(100), "all are due immediately")
	require.Empty(t, p.DuePeers(200), "all are in flight")
	require.Zero(t, p.NextPollAt(200))
	p.RecordOutcome(1000, "a", OutcomeReceived, 0)
	p.RecordOutcome(1000, "b", OutcomeDeferred, 70*second)
	p.RecordOutcome(1000, "c", OutcomeFailed, 0)
	p.RecordOutcome(1000, "d", OutcomeSelf, 0)
	p.RecordOutcome(1000, "nobody", OutcomeReceived, 0)
	require.Empty(t, p.DuePeers(1000+initialBackoff-1))
	require.Equal(t, []string{"c"}, p.DuePeers(1000+2*initialBackoff))

	waits := []int64{}
	now := int64(1000 + 2*initialBackoff)
	for range 4 { // in each round c fails once more, and a answers if it is due
		p.RecordOutcome(now, "c", OutcomeFailed, 0)
		next := p.NextPollAt(now)
		for _, name := range p.DuePeers(next) {
			if name == "a" {
				p.RecordOutcome(next, "a", OutcomeReceived, 0)
			}
		}
		waits = append(waits, next-now)
		now = max(now, next) + 20*second
		p.DuePeers(now)
	}
	require.Less(t, waits[0], int64(2*second))
	for _, status := range p.Statuses(now) {
		require.False(t, status.Name == "d" && status.NextPollAt > 0, "this instance itself is never polled again")
	}
}

// Without a refresh interval polls must end with the learning period; with one they continue at that interval.
func TestPollsAfterTheLearningPeriodOnlyWithARefreshInterval(t *testing.T) {
	require.Zero(t, newTestPoller(0, 0, "a").NextPollAt(learningPeriod))
	p := newTestPoller(0, 60*second, "a")
	p.DuePeers(0)
	p.RecordOutcome(learningPeriod, "a", OutcomeReceived, 0)
	require.GreaterOrEqual(t, p.NextPollAt(learningPeriod), int64(learningPeriod+60*second))
}
