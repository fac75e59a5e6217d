package balancer

import (
	"math"
	"slices"
)

// ExportObservations hands out what own sub-requests have shown: the fleet and zones first, then so many replicas a call,
// those with nothing to tell left out. What was heard is not in it: a rumour would go round and count twice.
func (c *coordinator) ExportObservations(from, most int, tell func(b Observation)) (next int) {
	if from == 0 {
		n, _ := c.pace.read(c.now, fleetSpan)
		tell(Observation{Scope: ScopeFleet, ShortWindow: DecayingMean{n, math.Log(c.common())}, LongWindow: DecayingMean{n, math.Log(max(1, c.best))}})
		for zone := range c.ways {
			tell(Observation{Scope: ScopeZone, Zone: zone, ShortWindow: c.ways[zone].pace.tally(c.now, paceSpan)})
		}
	}
	to := min(len(c.list), max(from, from+most))
	for _, r := range c.list[min(from, to):to] {
		if r.answered != 0 || r.quiet != 0 || r.refused != 0 || r.strikes != 0 {
			tell(r.belief(c.now, c.suspect(r)))
		}
	}
	return to % max(1, len(c.list))
}

// holders are the replicas that hold a part's shard and may be used for it. It is the one place that says who may:
// first parts, extras, copies, trials and second steps all choose among these.
func (c *coordinator) holders(p *part) []*replica {
	if p.s.bounds != nil {
		return c.within(p)
	}
	return c.listing(p.shard % c.sets)
}

func (c *coordinator) listing(first int) []*replica {
	if _, known := c.holding[first]; !known {
		c.holding[first] = nil
		for _, r := range c.list {
			if r.open && (r.cell-first+c.sets)%c.sets < c.reach {
				c.holding[first] = append(c.holding[first], r)
			}
		}
	}
	return c.holding[first]
}

// count notes one now for the budget, where one is stated: elsewhere nothing would ever take it away.
func (c *coordinator) count(at *[]int64) {
	if c.facts.span("Safety.LookBack") > 0 {
		*at = append(*at, c.now)
	}
}

func (c *coordinator) RecordAttemptOutcome(part uint64, leg int, ending string, wait int64, over bool,
	report map[string]float64,
) {
	key := part<<8 | uint64(leg)
	if t := c.next[key]; t != nil {
		delete(c.next, key)
		c.landed(t, ending, wait, int64(report["RetryAfter"]*10))
	}
}

func (c *coordinator) RecordProbeResult(string, string, int64, map[string]float64) {}

func (c *coordinator) SetUtilization(share float64) { c.fullness = share }

func (c *coordinator) warm(r *replica) bool {
	return r.since == 0 || c.now >= r.since+c.facts.span("Safety.Cold")
}

// doubted tells whether a replica was said to be bad and has not answered here since.
func (c *coordinator) doubted(r *replica) bool { return c.now < r.doubtTo }

func (c *coordinator) worthLate(s *search) bool {
	return c.facts.opt(c.facts.of("Classes", s.qtype, "LateShare"), 0) > lateWorth
}

func (c *coordinator) harmless(s *search) bool {
	return s.effect == "retryable" || s.step == 1 && !slices.ContainsFunc(s.parts, (*part).ran)
}

// heard is what hearsay adds to own answers: a count, and how far it is over the usual, of logarithms.
func (c *coordinator) heard(h hearsay, span, own float64) (n, slower float64) {
	age := float64(c.now - h.at)
	if h.n == 0 || age > heardSpan {
		return 0, 0
	}
	n = max(0, h.n*math.Exp(-age/span)-own)
	return n, n * h.slower
}
