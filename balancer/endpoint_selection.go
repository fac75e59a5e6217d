package balancer

import (
	"math"
	"slices"
)

const (
	tieRandomShare  = 0.25 // share of it that is chance: a replica that has healed is met again
	sampleThreshold = 64   // holders of a shard beyond which a few drawn ones are looked at first: bounds a turn
	sampleSize      = 16   // so many of them: that none of 16 is idle where half are is one in 65,000
)

// hasCapacity tells whether a replica may take a part now, sound or not.
func (b *balancer) hasCapacity(r *replica, p *shardRequest) bool {
	out := func(t *attempt) bool { return t.replica == r && !t.ended }
	return b.belowReplicaLimit(r) && b.hasSlowStartCredit(r) && !slices.ContainsFunc(p.attempts, out)
}

// canSend tells whether some replica may take a part now; of many holders without a look at each.
func (b *balancer) canSend(p *shardRequest) bool {
	all := b.holders(p)
	if len(all) <= sampleThreshold {
		return b.selectReplica(p) != nil
	}
	if b.full[p.spot()] || float64(p.search.deadline-b.now) < b.best { // no answer could come: nothing crosses a final one
		return false
	}
	sound, trial, other := false, false, false
	for _, r := range all {
		bad := b.isOutlier(r)
		sound = sound || !bad
		if able := b.hasCapacity(r, p); able && !bad {
			return true
		} else if able {
			other, trial = true, trial || b.mayTrial(r, p)
		}
	}
	can := trial || other && !sound
	b.full[p.spot()] = !can && len(p.attempts) == 0 // for this turn: bounds its time with thousands of searches
	return can
}

// selectReplica chooses a part's replica: fewest own calls out, one not tried yet if there is; ties by chance, or by
// past answers where evidence is thin. Of many, a few drawn are looked at first: an idle one has the fewest.
func (b *balancer) selectReplica(p *shardRequest) *replica {
	if b.full[p.spot()] || float64(p.search.deadline-b.now) < b.best {
		return nil
	}
	all := b.holders(p)
	if n := len(all); n > sampleThreshold {
		from := b.rng.Intn(n - sampleSize)
		if r, load := b.selectAmong(p, all[from:from+sampleSize]); load < 1 && load >= 0 {
			return r
		}
	}
	r, _ := b.selectAmong(p, all)
	if r == nil && len(p.attempts) == 0 {
		b.full[p.spot()] = true
	}
	return r
}

// selectAmong picks among some of a shard's holders, with how much that one has out.
func (b *balancer) selectAmong(p *shardRequest, all []*replica) (best *replica, least float64) {
	least = math.Inf(1)
	ties, sound, thin := 0, false, b.hasThinEvidence()
	for _, r := range all {
		bad, doubt := b.isOutlier(r), b.isGossipedOutlier(r)
		sound = sound || !bad
		if !b.hasCapacity(r, p) || b.now < b.doubtsTo && !b.isWarmedUp(r) && b.isSparedByGossip(p) {
			continue
		}
		load := float64(r.batchesInFlight)
		if thin {
			load += 1 - 1/(1+b.longTermSlowness(r)*(1+tieRandomShare*b.rng.Float64()))
		}
		if bad || doubt {
			// Guards against replicas that take parts and answer none, or refuse: used only where no sound one
			// holds the shard, full or not (heard of only: or all are full), but for trial parts: it may heal.
			// On hearsay alone, a search has to have a part to spare for it.
			if load += 1e5; bad {
				load += 1e6
			}
			if b.mayTrial(r, p) {
				load = -1
			}
		} else if b.isZoneDegraded(r.zone) && (b.now < b.ways[r.zone].nextTrial || p.search.neededWeight >= p.search.reachableWeight-1e-4) {
			load += 1e5 // but for a trial part where a search has one to spare
		}
		if slices.ContainsFunc(p.attempts, func(t *attempt) bool { return t.replica == r }) {
			load += 1e4
		}
		switch {
		case load < least:
			best, least, ties = r, load, 1
		case load == least:
			if ties++; b.rng.Intn(ties) == 0 {
				best = r
			}
		}
	}
	if sound && least >= 1e6 {
		best = nil
	}
	return best, least
}
