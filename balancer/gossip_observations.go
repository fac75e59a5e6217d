package balancer

import "math"

const (
	// maxGossipWeight is the largest number of answers that gossip counts for: the same number of own answers replaces
	// it.
	maxGossipWeight = 3.0
	// maxGossipSlowness is the largest ratio of a gossiped latency to the usual one that is accepted: anything higher
	// would only let a wrong report do more harm.
	maxGossipSlowness = 8.0
	// maxGossipAge is the longest time for which gossip counts, in tenths of a millisecond: a fault seen half a minute
	// ago has often passed.
	maxGossipAge = 30 * second
	// maxGossipedSpeedup is the largest factor by which a gossiped fleet latency may be below the assumed one.
	maxGossipedSpeedup = 4.0
	// minGossipedShortest is the smallest gossiped shortest latency that is accepted, as a share of the fleet latency:
	// gossip alone never lowers the concurrency limit.
	minGossipedShortest = 0.4
)

// gossipedLatency is a count of answers and the mean logarithm of how much longer than usual they took, as imported.
// The count continues to decay.
type gossipedLatency struct {
	weight, excess float64
	importedAt     int64
}

// importLatency imports a latency measured by peers, limited to the accepted range.
func importLatency(mean DecayingMean, now int64) gossipedLatency {
	return gossipedLatency{
		weight:     min(maxGossipWeight, mean.Weight),
		excess:     max(0, min(math.Log(maxGossipSlowness), mean.Mean)),
		importedAt: now,
	}
}

// contribution returns what gossip adds to own answers: a count, reduced by the number of own answers, and the total of
// the logarithmic excess.
func (g gossipedLatency) contribution(now int64, window, ownCount float64) (count, totalExcess float64) {
	age := float64(now - g.importedAt)
	if g.weight == 0 || age > maxGossipAge {
		return 0, 0
	}
	count = max(0, g.weight*math.Exp(-age/window)-ownCount)
	return count, count * g.excess
}

// importFleetLatency replaces the assumed fleet latency by the one that peers report. A longer one than assumed is not
// accepted: it would prevent hedged attempts.
func (l *latencyEstimates) importFleetLatency(now int64, fleetLatency, shortest float64) {
	l.assumed = max(assumedLatency/maxGossipedSpeedup, min(assumedLatency, fleetLatency))
	l.cachedAt = 0
	if l.shortest == 0 && shortest > 0 {
		current := l.fleetLatency(now)
		l.shortest, l.shortestAt = min(current, max(shortest, minGossipedShortest*current)), now
	}
}

// ImportObservation replaces the previous observation of the same scope. Gossip helps a coordinator that has just
// started and knows nothing, but peers may be wrong: so gossip only makes a replica look worse, counts as few answers,
// is replaced by own answers and decays. A replica that gossip calls an outlier is chosen after the others and gets one
// request at a time until it answers this coordinator, so no peer can exclude it.
func (b *balancer) ImportObservation(observation GossipedObservation) {
	switch observation.Scope {
	case ScopeFleet:
		if observation.FleetLatency > 0 {
			b.latency.importFleetLatency(b.now, observation.FleetLatency, observation.ShortestLatency)
		}
	case ScopeZone:
		if observation.Zone >= 0 && observation.Zone < len(b.zones) {
			b.zones[observation.Zone].gossiped = importLatency(observation.ShortWindow, b.now)
		}
	case ScopeReplica:
		r := b.endpoints.byID[observation.Replica]
		if r != nil && r.startedAt == observation.ReplicaStart { // else the observation is of another incarnation
			b.importReplica(r, observation)
		}
	}
}

func (b *balancer) importReplica(r *replica, observation GossipedObservation) {
	r.latency.gossipedShort = importLatency(observation.ShortWindow, b.now)
	r.latency.gossipedLong = importLatency(observation.LongWindow, b.now)
	r.health.gossipedOutlierUntil = 0
	ownAnswers, _ := r.latency.long.read(b.now, longWindow)
	if observation.Outlier && ownAnswers < 1 {
		r.health.gossipedOutlierUntil = b.now + min(maxGossipAge, observation.OutlierDuration)
		b.outliers.gossipedUntil = max(b.outliers.gossipedUntil, r.health.gossipedOutlierUntil)
		delay := b.rng.Int63n(probeInterval) // otherwise all coordinators would probe it at the same time
		r.health.nextProbe = max(r.health.nextProbe, b.now+delay)
	}
	b.inflight.recheckAt(r, r.health.gossipedOutlierUntil)
}

// ExportObservations exports only what own attempts have shown: gossip that is passed on would count twice.
func (b *balancer) ExportObservations(from, maxReplicas int, export func(Observation)) (next int) {
	if from == 0 {
		b.exportFleetAndZones(export)
	}
	replicas := b.endpoints.replicas
	end := min(len(replicas), max(from, from+maxReplicas))
	for _, r := range replicas[min(from, end):end] {
		if r.health.hasEvidence() {
			export(b.observe(r))
		}
	}
	return end % max(1, len(replicas))
}

func (b *balancer) exportFleetAndZones(export func(Observation)) {
	count, _ := b.latency.answers.read(b.now, fleetWindow)
	export(Observation{
		Scope:       ScopeFleet,
		ShortWindow: DecayingMean{Weight: count, Mean: math.Log(b.latency.fleetLatency(b.now))},
		LongWindow:  DecayingMean{Weight: count, Mean: math.Log(max(1, b.latency.shortest))},
	})
	for zone := range b.zones {
		export(Observation{
			Scope:       ScopeZone,
			Zone:        zone,
			ShortWindow: b.zones[zone].latency.mean(b.now, shortWindow),
		})
	}
}

// hasEvidence tells whether own attempts have shown anything of a replica.
func (h *replicaHealth) hasEvidence() bool {
	return h.lastAnswer != 0 || h.unanswered != 0 || h.connectFailures != 0 || h.consecutiveFailures != 0
}

// observe returns what own attempts have shown of a replica.
func (b *balancer) observe(r *replica) Observation {
	observation := Observation{
		Scope:                      ScopeReplica,
		Replica:                    r.id,
		Zone:                       r.zone,
		ReplicaStart:               r.startedAt,
		ConsecutiveFailures:        r.health.consecutiveFailures,
		ConsecutiveConnectFailures: r.health.connectFailures,
		UnansweredRequests:         r.health.unanswered,
		LastAnswerAge:              -1,
		Outlier:                    b.isOutlier(r),
		ShortWindow:                r.latency.short.mean(b.now, shortWindow),
		LongWindow:                 r.latency.long.mean(b.now, longWindow),
	}
	if r.health.unanswered > 0 {
		observation.SilentFor = b.now - r.health.silentSince
	}
	if r.health.lastAnswer > 0 {
		observation.LastAnswerAge = b.now - r.health.lastAnswer
	}
	return observation
}
