package balancer

import (
	"math"
)

const (
	maxGossipWeight     = 3.0     // answers that hearsay weighs at the most: as many own ones replace it
	maxGossipSlowness   = 8.0     // times the usual that is believed by hearsay: more would only be a larger lie
	maxGossipAge        = 300_000 // longest that hearsay counts: a trouble of half a minute ago has often passed
	maxGossipedSpeedup  = 4.0     // times that a heard usual answer time may be under the assumed one
	minGossipedShortest = 0.4     // of the usual time, under which no heard shortest counts: alone it closes no slots
)

// ImportObservation takes a heard belief in, in the place of the one before. Guards against a start that knows nothing,
// and against peers that are wrong: hearsay only takes from a replica, weighs maxGossipWeight answers at the most,
// gives way to own ones, and fades. A replica said to be bad comes after the others, with one part at a time,
// until it answers here: no peer can take it away.
func (b *balancer) ImportObservation(h GossipedObservation) {
	take := func(t DecayingMean) gossipedLatency {
		return gossipedLatency{min(maxGossipWeight, t.Weight), max(0, min(math.Log(maxGossipSlowness), t.Mean)), b.now}
	}
	switch r := b.fleet[h.Replica]; {
	case h.Scope == ScopeFleet && h.FleetLatency > 0:
		b.firstUsual, b.usualAt = max(assumedLatency/maxGossipedSpeedup, min(assumedLatency, h.FleetLatency)), 0 // longer would bar copies
		if b.best == 0 && h.ShortestLatency > 0 {
			b.best, b.bestAt = min(b.fleetLatency(), max(h.ShortestLatency, minGossipedShortest*b.fleetLatency())), b.now
		}
	case h.Scope == ScopeZone && h.Zone >= 0 && h.Zone < len(b.ways):
		b.ways[h.Zone].gossiped = take(h.ShortWindow)
	case h.Scope == ScopeReplica && r != nil && r.startedAt == h.ReplicaStart:
		r.gossipedShort, r.gossipedLong, r.gossipedOutlierUntil = take(h.ShortWindow), take(h.LongWindow), 0
		if n, _ := r.longLatency.read(b.now, longWindow); h.Outlier && n < 1 {
			r.gossipedOutlierUntil = b.now + min(maxGossipAge, h.OutlierDuration)
			b.doubtsTo = max(b.doubtsTo, r.gossipedOutlierUntil)
			r.nextTrial = max(r.nextTrial, b.now+b.rng.Int63n(trialInterval)) // not all learners' trials at once
		}
		b.flights.recheckAt(r, r.gossipedOutlierUntil)
	}
}

// gossipedLatency is a heard count of answers and how much longer than usual they took, as a mean of logarithms, as it
// was at a time; it goes on decaying.
type gossipedLatency struct {
	weight, excess float64
	importedAt     int64
}

// observation is what travels of a replica.
func (r *replica) observation(now int64, bad bool) Observation {
	b := Observation{
		Scope: ScopeReplica, Replica: r.id, Zone: r.zone, ReplicaStart: r.startedAt, ConsecutiveFailures: r.consecutiveFailures, ConsecutiveConnectFailures: r.connectFailures,
		UnansweredRequests: r.unanswered, LastAnswerAge: -1, Outlier: bad, ShortWindow: r.shortLatency.mean(now, shortWindow), LongWindow: r.longLatency.mean(now, longWindow),
	}
	if r.unanswered > 0 {
		b.SilentFor = now - r.silentSince
	}
	if r.lastAnswer > 0 {
		b.LastAnswerAge = now - r.lastAnswer
	}
	return b
}

// ExportObservations hands out what own sub-requests have shown: the fleet and zones first, then so many replicas a call,
// those with nothing to tell left out. What was heard is not in it: a rumour would go round and count twice.
func (b *balancer) ExportObservations(from, most int, tell func(b Observation)) (next int) {
	if from == 0 {
		n, _ := b.pace.read(b.now, fleetWindow)
		tell(Observation{Scope: ScopeFleet, ShortWindow: DecayingMean{n, math.Log(b.fleetLatency())}, LongWindow: DecayingMean{n, math.Log(max(1, b.best))}})
		for zone := range b.ways {
			tell(Observation{Scope: ScopeZone, Zone: zone, ShortWindow: b.ways[zone].latency.mean(b.now, shortWindow)})
		}
	}
	to := min(len(b.list), max(from, from+most))
	for _, r := range b.list[min(from, to):to] {
		if r.lastAnswer != 0 || r.unanswered != 0 || r.connectFailures != 0 || r.consecutiveFailures != 0 {
			tell(r.observation(b.now, b.isOutlier(r)))
		}
	}
	return to % max(1, len(b.list))
}

// gossipedSum is what hearsay adds to own answers: a count, and how far it is over the usual, of logarithms.
func (b *balancer) gossipedSum(h gossipedLatency, span, own float64) (n, slower float64) {
	age := float64(b.now - h.importedAt)
	if h.weight == 0 || age > maxGossipAge {
		return 0, 0
	}
	n = max(0, h.weight*math.Exp(-age/span)-own)
	return n, n * h.excess
}
