package balancer

import "slices"

const (
	// clientTimeoutSlack is how much less time a client's retry may leave than a first attempt, in tenths of a
	// millisecond, before the difference counts as time that the client has already spent: up to 50 ms may be lost on
	// the network.
	clientTimeoutSlack = 50 * millisecond
	// withdrawnSearchTTL is the longest time between the withdrawal of a search and the retry of its client, in tenths
	// of a millisecond: a client that retries does so at once.
	withdrawnSearchTTL = 1 * second
	// retryObjectiveShare is the share of the latency objective that a client's retry is assumed to have left if
	// nothing shows the actual share: its first attempt was shed or answered late.
	retryObjectiveShare = 0.5
)

// clientRetries holds what is known about how long clients wait.
type clientRetries struct {
	firstAttemptShare float64           // share of the client timeout that first attempts leave: the largest seen
	withdrawn         []withdrawnSearch // searches that clients have recently withdrawn
}

type withdrawnSearch struct {
	queryType, tenant, requestCount     int
	clientStart, arrivedAt, withdrawnAt int64
}

// recordTimeout records how much of the client timeout is left when a search arrives.
func (c *clientRetries) recordTimeout(timeLeft, clientTimeout int64) {
	share := min(1, float64(timeLeft)/float64(max(1, clientTimeout, timeLeft)))
	c.firstAttemptShare = max(c.firstAttemptShare, share)
}

func (c *clientRetries) recordWithdrawn(s *search, now int64) {
	c.withdrawn = slices.DeleteFunc(c.withdrawn, func(w withdrawnSearch) bool {
		return now-w.withdrawnAt > withdrawnSearchTTL
	})
	c.withdrawn = append(c.withdrawn, withdrawnSearch{
		queryType: s.queryType, tenant: s.tenant, requestCount: s.requestCount,
		clientStart: s.clientStart, arrivedAt: s.arrivedAt, withdrawnAt: now,
	})
}

// takeWithdrawn removes and returns the withdrawn search that a retry is assumed to repeat.
func (c *clientRetries) takeWithdrawn(s *search, now int64) (withdrawn withdrawnSearch, found bool) {
	i := slices.IndexFunc(c.withdrawn, func(w withdrawnSearch) bool {
		return w.queryType == s.queryType && w.tenant == s.tenant && w.requestCount == s.requestCount
	})
	if i < 0 || now-c.withdrawn[i].withdrawnAt > withdrawnSearchTTL {
		return withdrawnSearch{}, false
	}
	withdrawn = c.withdrawn[i]
	c.withdrawn = slices.Delete(c.withdrawn, i, i+1)
	return withdrawn, true
}

// objectiveFor returns how long an answer may take and still have its full value. A client's retry has already spent a
// part of the objective. That part is known in two cases. If the client withdrew the search before, the objective
// counts from its first attempt; besides, the client is expected to leave again after the same wait, and a later answer
// has no value. If the retry leaves less time than first attempts do, it has spent what is missing from the client
// timeout; a retry by a client that simply uses a shorter timeout is treated in the same way.
func (b *balancer) objectiveFor(s *search, timeLeft int64, isRetry bool) int64 {
	objective := b.settings.queryTypeDuration(s.queryType, fieldObjective)
	clientTimeout := b.settings.queryTypeDuration(s.queryType, fieldDeadline)
	b.clients.recordTimeout(timeLeft, clientTimeout)
	if !isRetry {
		return objective
	}
	if withdrawn, found := b.clients.takeWithdrawn(s, b.now); found {
		s.clientStart = withdrawn.clientStart
		lastWait := withdrawn.withdrawnAt - withdrawn.arrivedAt - b.settings.duration(settingTick)
		return min(withdrawn.clientStart+objective-b.now, lastWait)
	}
	spent := int64(float64(objective) * (1 - retryObjectiveShare))
	if float64(timeLeft) < b.clients.firstAttemptShare*float64(clientTimeout)-clientTimeoutSlack {
		spent = clientTimeout - timeLeft
	}
	return objective - spent
}
