package balancer

import "slices"

// slowStartSafetyFactor is the part of the overload factor that a warming replica may get; the rest is for chance.
const slowStartSafetyFactor = 0.8

// slowStartCredit bounds the attempts that this coordinator sends to a replica that is warming up: one costs one.
type slowStartCredit struct {
	credit    float64
	updatedAt int64
}

// reset starts with a credit between 0 and 1. It is drawn: with 0 or 1 all coordinators would send their first attempt at
// the same time.
func (s *slowStartCredit) reset(now int64, credit float64) {
	s.credit, s.updatedAt = credit, now
}

// refill adds rate per tenth of a millisecond since the last refill, up to one attempt: there is no burst after idleness.
func (s *slowStartCredit) refill(now int64, rate float64) {
	s.credit, s.updatedAt = min(1, s.credit+rate*float64(now-s.updatedAt)), now
}

func (b *balancer) isWarmedUp(r *replica) bool {
	return r.startedAt == 0 || b.now >= r.startedAt+b.settings.duration(settingSlowStart)
}

// hasSlowStartCredit protects a replica that has just started from being overloaded until it crashes again. It gets that
// multiple of this coordinator's mean answers per replica which it can surely serve by now. The means of all coordinators
// add up to what a replica really answers, so all of them together stay within its capacity, however many there are. At low
// rates a replica is hardly used while it warms up.
func (b *balancer) hasSlowStartCredit(r *replica) bool {
	if b.isWarmedUp(r) {
		return true
	}
	if r.slowStart.updatedAt < b.now {
		initial := b.settings.optionalNumber(settingSlowStartFrom, 0)
		age := float64(max(0, b.now-r.startedAt))
		capacity := initial + (1-initial)*age/float64(b.settings.duration(settingSlowStart))
		mean := b.latency.answerRate(b.now) / float64(max(1, b.endpoints.count()))
		overload := b.settings.optionalNumber(settingOverloadFactor, 1)
		r.slowStart.refill(b.now, slowStartSafetyFactor*overload*capacity*mean)
	}
	return r.slowStart.credit >= 1
}

// isSparedByGossip passes a warming replica over at random, as often as gossip keeps requests away from the other holders
// of the shard: the load that gossip takes from those must not go to a replica that is warming up.
func (b *balancer) isSparedByGossip(request *shardRequest) bool {
	all := b.holders(request)
	return slices.ContainsFunc(all[b.rng.Intn(len(all)):][:1], b.isGossipedOutlier)
}
