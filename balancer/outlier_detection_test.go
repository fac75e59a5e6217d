package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A replica that rejects requests with a Retry-After gets no requests until then, and gets requests again afterwards.
func TestRetryAfterIsRespected(t *testing.T) {
	s := newScenario(t, "start a/0 b/0\nwhen b Ok 20")
	s.replies["a"] = []string{OutcomeQueueFull, "1"}
	s.outcomeReport = map[string]float64{reportRetryAfter: 2000}
	s.runLines("mark steady 60 30 1 4000 0")
	require.Equal(t, 1, s.countSentTo("a"))
	s.replies["a"], s.outcomeReport = []string{OutcomeOK, "20"}, nil
	s.runLines("mark steady 100 30 1 4000 0")
	require.Greater(t, s.countSentTo("a"), 20)
}

// Single failures and single unanswered attempts do not make an outlier; expired evidence does not count either.
func TestReplicaHealthEvidence(t *testing.T) {
	const now = 100 * second
	for name, test := range map[string]struct {
		health                replicaHealth
		hasFailed, unanswered bool
	}{
		"no evidence":                    {},
		"two failures":                   {health: replicaHealth{consecutiveFailures: 2}},
		"three failures":                 {health: replicaHealth{consecutiveFailures: 3}, hasFailed: true},
		"a failed connect":               {health: replicaHealth{connectFailures: 1}, hasFailed: true},
		"Retry-After in the future":      {health: replicaHealth{retryAfter: now + 1}, hasFailed: true},
		"Retry-After reached":            {health: replicaHealth{retryAfter: now}},
		"one unanswered":                 {health: replicaHealth{unanswered: 1}},
		"two unanswered":                 {health: replicaHealth{unanswered: 2}, unanswered: true},
		"one unanswered, gossiped":       {health: replicaHealth{unanswered: 1, gossipedOutlierUntil: now + 1}, unanswered: true},
		"one unanswered, gossip expired": {health: replicaHealth{unanswered: 1, gossipedOutlierUntil: now}},
		"none unanswered, gossiped":      {health: replicaHealth{gossipedOutlierUntil: now + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.hasFailed, test.health.hasFailed(now))
			require.Equal(t, test.unanswered, test.health.isUnanswered(now))
		})
	}
}

// An answer clears all evidence against a replica; what else is in flight counts as unanswered since then.
func TestReplicaHealthClearedByAnswer(t *testing.T) {
	health := replicaHealth{
		consecutiveFailures: 5, connectFailures: 2, retryAfter: 90, gossipedOutlierUntil: 90, unanswered: 4, silentSince: 10,
	}
	health.recordAnswer(50, 3)
	require.Equal(t, replicaHealth{unanswered: 3, silentSince: 50, lastAnswer: 50}, health)
}

// All attempts that one lost connection ends in one iteration count as a single loss.
func TestConnectionLossCountsOnce(t *testing.T) {
	var health replicaHealth
	require.Equal(t, 1, health.countConnectionLoss(50))
	require.Equal(t, 0, health.countConnectionLoss(50))
	require.Equal(t, 1, health.countConnectionLoss(51))
}
