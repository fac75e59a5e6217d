package balancer

import (
	"slices"
)

const (
	slowStartSafetyFactor = 0.8 // of the stated multiple of what a cold replica can do: the rest is for chance
)

// hasSlowStartCredit guards against pushing over a replica that has just started: it gets that share of the mean own
// parts a replica answers which it can surely do by now. The means of all co-ordinators add up to what one
// really answers, so all together keep to it, however many; credit starts by chance, not at once nor never.
func (b *balancer) hasSlowStartCredit(r *replica) bool {
	if b.isWarmedUp(r) {
		return true
	}
	if r.slowStartUpdatedAt < b.now {
		from := b.settings.optionalNumber("Safety.ColdFrom", 0)
		can := from + (1-from)*float64(max(0, b.now-r.startedAt))/float64(b.settings.duration("Safety.Cold"))
		mean := b.done.rate(b.now, rateWindow, minRateAge) / float64(max(1, b.listed))
		more := slowStartSafetyFactor * b.settings.optionalNumber("Safety.FallMultiple", 1) * can * mean * float64(b.now-r.slowStartUpdatedAt)
		r.slowStartCredit, r.slowStartUpdatedAt = min(1, r.slowStartCredit+more), b.now
	}
	return r.slowStartCredit >= 1
}

// isSparedByGossip passes a cold replica over by chance, as often as hearsay keeps parts from other holders of the
// shard: what it takes from those must not push a cold one.
func (b *balancer) isSparedByGossip(p *shardRequest) bool {
	all := b.holders(p)
	return slices.ContainsFunc(all[b.rng.Intn(len(all)):][:1], b.isGossipedOutlier)
}

func (b *balancer) isWarmedUp(r *replica) bool {
	return r.startedAt == 0 || b.now >= r.startedAt+b.settings.duration("Safety.Cold")
}
