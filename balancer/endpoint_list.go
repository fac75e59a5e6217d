package balancer

import (
	"slices"
)

const (
	watchRetryMin = 5_000  // wait before a failed subscription is asked again
	watchRetryMax = 80_000 // longest such wait, cut to what the rules allow
)

// retryWatch guards against a list service that fails: asked again with growing waits, within the rule's time.
func (b *balancer) retryWatch() {
	wait := min(b.askWait, int64(b.settings.optionalNumber("Safety.AskWithin", watchRetryMax)*3)) // missed lists count after 6 s
	b.askWait = min(2*b.askWait, watchRetryMax)
	b.setTimer(wait+b.rng.Int63n(wait/4+1), timerFunc(b.actions.WatchEndpoints))
}

func (b *balancer) AddEndpoint(id string, zone, kind, cell int, status string, units float64, since int64) {
	b.fresh = append(b.fresh, func(keep map[string]bool) {
		keep[id] = true
		r := b.fleet[id]
		if r == nil {
			r = &replica{id: id, startedAt: since, slowStartCredit: b.rng.Float64(), slowStartUpdatedAt: b.now}
			b.fleet[id] = r
			b.list = append(b.list, r)
		} else if since > r.startedAt {
			r.startedAt, r.shortLatency, r.longLatency, r.unanswered, r.consecutiveFailures, r.connectFailures = since, decayingSum{}, decayingSum{}, 0, 0, 0
			r.gossipedShort, r.gossipedLong, r.gossipedOutlierUntil = gossipedLatency{}, gossipedLatency{}, 0
			b.flights.recheck(r)
			r.slowStartCredit, r.slowStartUpdatedAt = b.rng.Float64(), b.now
		}
		r.shardSet, r.zone, r.eligible = cell, zone, status == "healthy"
		for len(b.ways) <= zone {
			b.ways = append(b.ways, zoneLatency{})
		}
	})
}

func (b *balancer) CommitEndpoints(how string, revision int64) {
	entries := b.fresh
	b.fresh = nil
	if how == "Error" {
		b.retryWatch()
		return
	}
	b.askWait = watchRetryMin
	in := map[string]bool{}
	for _, enter := range entries {
		enter(in)
	}
	b.list = slices.DeleteFunc(b.list, func(r *replica) bool { return !r.eligible || !in[r.id] && how != "Partial" })
	clear(b.holding)
	clear(b.bound.holders)
	clear(b.fleet) // guards against growth: a replica that in left comes back as another
	for _, r := range b.list {
		b.fleet[r.id] = r
	}
	b.listed = len(b.list)
	b.flights.replicaCount = b.listed
}

// holders are the replicas that hold a part's shard and may be used for it. It is the one place that says who may:
// first parts, extras, copies, trials and second steps all choose among these.
func (b *balancer) holders(p *shardRequest) []*replica {
	if p.search.restriction != nil {
		return b.restrictedHolders(p)
	}
	return b.shardSetHolders(p.shard % b.sets)
}

func (b *balancer) shardSetHolders(first int) []*replica {
	if _, known := b.holding[first]; !known {
		b.holding[first] = nil
		for _, r := range b.list {
			if r.eligible && (r.shardSet-first+b.sets)%b.sets < b.reach {
				b.holding[first] = append(b.holding[first], r)
			}
		}
	}
	return b.holding[first]
}

func (b *balancer) RecordProbeResult(string, string, int64, map[string]float64) {}
