package balancer

import "slices"

const (
	// clientTimeoutSlack is how much less time than first attempts a client's retry must leave to show what its client has
	// spent, in tenths of a millisecond: 50 ms may be spent on the way.
	clientTimeoutSlack = 50 * millisecond
	// withdrawnSearchTTL is the longest time from a client's withdrawal to its retry, in tenths of a millisecond: it comes
	// at once.
	withdrawnSearchTTL = 1 * second
	// retryObjectiveShare is the share of the latency objective that is left to a client's retry where nothing shows how
	// much is: its first attempt was shed or answered late.
	retryObjectiveShare = 0.5
)

// clientRetries is what is known of how long clients wait.
type clientRetries struct {
	firstAttemptShare float64           // of the client timeout, that first attempts leave
	withdrawn         []withdrawnSearch // searches that clients withdrew lately
}

type withdrawnSearch struct {
	queryType, tenant, requestCount     int
	clientStart, arrivedAt, withdrawnAt int64
}

// recordTimeout takes in how much of the client timeout a search leaves.
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

// takeWithdrawn returns and forgets the withdrawn search that a retry is taken to repeat.
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

// objectiveFor is how long an answer may take to have its full value. A client's retry has spent a part of the objective:
// how much shows where it leaves less time than first attempts do, or where its search was withdrawn. A client that left
// early and comes again will leave after as long again, and an answer after that has no value. A retry of a client that
// leaves less time of its own accord counts as one that has spent it.
func (b *balancer) objectiveFor(s *search, timeLeft int64, isRetry bool) int64 {
	objective := b.settings.queryTypeDuration(s.queryType, fieldObjective)
	clientTimeout := b.settings.queryTypeDuration(s.queryType, fieldDeadline)
	b.clients.recordTimeout(timeLeft, clientTimeout)
	if !isRetry {
		return objective
	}
	if withdrawn, found := b.clients.takeWithdrawn(s, b.now); found {
		s.clientStart = withdrawn.clientStart
		patience := withdrawn.withdrawnAt - withdrawn.arrivedAt - b.settings.duration(settingTick)
		return min(withdrawn.clientStart+objective-b.now, patience)
	}
	spent := int64(float64(objective) * (1 - retryObjectiveShare))
	if float64(timeLeft) < b.clients.firstAttemptShare*float64(clientTimeout)-clientTimeoutSlack {
		spent = clientTimeout - timeLeft
	}
	return objective - spent
}
