package rollout

import "slices"

// How often an instance publishes its status message while only times and counters in it change.
const (
	statusIntervalsPerSilence = 20          // messages within a silence timeout
	minStatusInterval         = second / 5  // bounds the load on the replication
	maxStatusInterval         = 5 * second  // bounds the age of the counters that are compared
	idleStatusInterval        = 10 * second // before the first change
)

func (c *Controller) statusInterval() int64 {
	if c.active == nil {
		return idleStatusInterval
	}
	return min(maxStatusInterval, max(minStatusInterval, c.active.SilenceTimeout/statusIntervalsPerSilence))
}

// updateServingTime updates how long the instance has served. Counters are not published before the end of its warm-up,
// since the cost of a restart is not a cost of the change.
func (c *Controller) updateServingTime() {
	if c.servingSince >= 0 {
		c.status.ServingFor = c.now - c.servingSince
	}
	if c.status.ServingFor < c.active.WarmUp || c.status.ServingFor < 0 {
		c.status.Stats = nil
	}
}

// publishStatus publishes this instance's status message if it has changed or the status interval has passed.
func (c *Controller) publishStatus(previousGrants []PermitGrant) {
	isWarmedUp := c.active == nil || c.now-c.servingSince >= c.active.WarmUp
	if c.stats != nil && c.servingSince >= 0 && isWarmedUp {
		c.status.Stats = c.stats
	}
	c.status.PermitGrants = c.permits.sortedGrants()
	hasNews := c.statusChanged || c.status.Sequence == 0 || !slices.Equal(previousGrants, c.status.PermitGrants)
	if !hasNews && c.now-c.publishedAt < c.statusInterval() {
		return
	}
	c.status.Sequence++
	c.publishedAt, c.statusChanged = c.now, false
	c.decision.Put[StatusMessageKey(c.initial.Self.Name)] = encodeEntry(&c.status)
}
