package balancer

import (
	"math"
	"slices"
)

// ExportObservations hands out what own sub-requests have shown: the fleet and zones first, then so many replicas a call,
// those with nothing to tell left out. What was heard is not in it: a rumour would go round and count twice.
func (c *balancer) ExportObservations(from, most int, tell func(b Observation)) (next int) {
	if from == 0 {
		n, _ := c.pace.read(c.now, fleetWindow)
		tell(Observation{Scope: ScopeFleet, ShortWindow: DecayingMean{n, math.Log(c.fleetLatency())}, LongWindow: DecayingMean{n, math.Log(max(1, c.best))}})
		for zone := range c.ways {
			tell(Observation{Scope: ScopeZone, Zone: zone, ShortWindow: c.ways[zone].latency.mean(c.now, shortWindow)})
		}
	}
	to := min(len(c.list), max(from, from+most))
	for _, r := range c.list[min(from, to):to] {
		if r.lastAnswer != 0 || r.unanswered != 0 || r.connectFailures != 0 || r.consecutiveFailures != 0 {
			tell(r.observation(c.now, c.isOutlier(r)))
		}
	}
	return to % max(1, len(c.list))
}

// holders are the replicas that hold a part's shard and may be used for it. It is the one place that says who may:
// first parts, extras, copies, trials and second steps all choose among these.
func (c *balancer) holders(p *shardRequest) []*replica {
	if p.search.restriction != nil {
		return c.restrictedHolders(p)
	}
	return c.shardSetHolders(p.shard % c.sets)
}

func (c *balancer) shardSetHolders(first int) []*replica {
	if _, known := c.holding[first]; !known {
		c.holding[first] = nil
		for _, r := range c.list {
			if r.eligible && (r.shardSet-first+c.sets)%c.sets < c.reach {
				c.holding[first] = append(c.holding[first], r)
			}
		}
	}
	return c.holding[first]
}

// recordForBudget notes one now for the budget, where one is stated: elsewhere nothing would ever take it away.
func (c *balancer) recordForBudget(at *[]int64) {
	if c.settings.duration("Safety.LookBack") > 0 {
		*at = append(*at, c.now)
	}
}

func (c *balancer) RecordAttemptOutcome(part uint64, leg int, ending string, wait int64, over bool,
	report map[string]float64,
) {
	key := part<<8 | uint64(leg)
	if t := c.next[key]; t != nil {
		delete(c.next, key)
		c.attemptEnded(t, ending, wait, int64(report["RetryAfter"]*10))
	}
}

func (c *balancer) RecordProbeResult(string, string, int64, map[string]float64) {}

func (c *balancer) SetUtilization(share float64) { c.fullness = share }

func (c *balancer) isWarmedUp(r *replica) bool {
	return r.startedAt == 0 || c.now >= r.startedAt+c.settings.duration("Safety.Cold")
}

// isGossipedOutlier tells whether a replica was said to be bad and has not answered here since.
func (c *balancer) isGossipedOutlier(r *replica) bool { return c.now < r.gossipedOutlierUntil }

func (c *balancer) hasLateValue(s *search) bool {
	return c.settings.optionalNumber(c.settings.fieldName("Classes", s.queryType, "LateShare"), 0) > minLateShare
}

func (c *balancer) isRepeatable(s *search) bool {
	return s.effect == "retryable" || s.step == 1 && !slices.ContainsFunc(s.requests, (*shardRequest).mayHaveRun)
}

// gossipedSum is what hearsay adds to own answers: a count, and how far it is over the usual, of logarithms.
func (c *balancer) gossipedSum(h gossipedLatency, span, own float64) (n, slower float64) {
	age := float64(c.now - h.importedAt)
	if h.weight == 0 || age > maxGossipAge {
		return 0, 0
	}
	n = max(0, h.weight*math.Exp(-age/span)-own)
	return n, n * h.excess
}
