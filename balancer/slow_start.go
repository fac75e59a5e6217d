package balancer

import "slices"

// slowStartSafetyFactor is the part of the overload factor that a warming replica may get; the rest allows for random
// variation.
const slowStartSafetyFactor = 0.8

// slowStartCredit limits the attempts that this coordinator sends to a replica that is warming up: each attempt costs
// one credit.
type slowStartCredit struct {
	credit    float64
	updatedAt int64
}

// reset starts with a credit between 0 and 1. It is random: with a fixed 0 or 1 all coordinators would send their first
// attempt at the same time.
func (s *slowStartCredit) reset(now int64, credit float64) {
	s.credit, s.updatedAt = credit, now
}

// refill adds rate per tenth of a millisecond since the last refill, up to one attempt: there is no burst after idle
// time.
func (s *slowStartCredit) refill(now int64, rate float64) {
	s.credit, s.updatedAt = min(1, s.credit+rate*float64(now-s.updatedAt)), now
}

func (b *balancer) isWarmedUp(r *replica) bool {
	return r.startedAt == 0 || b.now >= r.startedAt+b.settings.duration(settingSlowStart)
}

// hasSlowStartCredit protects a replica that has just started from being overloaded and crashing again. This
// coordinator sends it a multiple of the mean rate at which replicas answer this coordinator: the multiple that the
// replica can safely serve by now. The means of all coordinators add up to what a replica really answers, so all of
// them together stay within its capacity, however many there are. At low request rates a replica is hardly used while
// it warms up.
func (b *balancer) hasSlowStartCredit(r *replica) bool {
	if b.isWarmedUp(r) {
		return true
	}
	if r.slowStart.updatedAt < b.now {
		initialCapacity := b.settings.optionalNumber(settingSlowStartFrom, 0)
		age := float64(max(0, b.now-r.startedAt))
		capacity := initialCapacity + (1-initialCapacity)*age/float64(b.settings.duration(settingSlowStart))
		meanRate := b.latency.answerRate(b.now) / float64(max(1, b.endpoints.count()))
		overloadFactor := b.settings.optionalNumber(settingOverloadFactor, 1)
		r.slowStart.refill(b.now, slowStartSafetyFactor*overloadFactor*capacity*meanRate)
	}
	return r.slowStart.credit >= 1
}

// isDivertedByGossip tells whether a request is to pass over a warming replica. It is true at random, as often as
// gossip keeps requests away from the other holders of the shard: the load that gossip diverts from those must not go
// to a replica that is warming up.
func (b *balancer) isDivertedByGossip(request *shardRequest) bool {
	all := b.holders(request)
	return slices.ContainsFunc(all[b.rng.Intn(len(all)):][:1], b.isGossipedOutlier)
}
