package balancer

import "math"

// Windows of the estimates: e-fold times of the decay, in tenths of a millisecond.
const (
	shortWindow = 4 * second  // latency of a replica or zone: about ten answers, yet short against a fault
	longWindow  = 10 * second // latency of a replica that answers seldom: still short against a fault
	rateWindow  = 3 * second  // rates and search durations: long enough for a few dozen shard requests
	minRateAge  = 1 * second  // a younger rate counts as so old: its first few events show no rate
	fleetWindow = 2 * second  // fleet latency: it must follow a slowdown of all replicas within seconds
)

const (
	// assumedLatency is the fleet latency before any answer, in tenths of a millisecond: a shard request of 200 ms.
	assumedLatency = 200 * millisecond
	// minFleetAnswers is the number of answers from which the fleet latency is believed: below, one odd request sways it.
	minFleetAnswers = 8
	// minReplicaAnswers is the decayed number of answers from which a replica's long-term latency is believed: one answer
	// within the last 12 s.
	minReplicaAnswers = 0.3
	// minSearchDurations is the number of searches of a type from which their duration is believed. As fewer never bar a
	// search, some go out again once the count has decayed.
	minSearchDurations = 4
	// tailLatencyRatio is the latency of the last of a search's many requests over the usual one.
	tailLatencyRatio = 2.0
	// priorWeight is the number of answers at the fleet latency that are mixed into the estimate of a replica or zone: one
	// slow request proves nothing.
	priorWeight = 2.0
	// shortestLatencyGrowth raises the shortest latency, per tenth of a millisecond: by e in 5 min, so that a lucky low
	// value fades.
	shortestLatencyGrowth = 1.0 / (300 * second)
	// thinEvidenceRate is the rate of answers per replica, per tenth of a millisecond, under which evidence is thin: one a
	// second.
	thinEvidenceRate = 1.0 / second
	// slowReplicaProbeInterval is the time between two attempts that all coordinators together send to a replica that looks
	// too slow, in tenths of a millisecond: ten a second are half of what two cores serve.
	slowReplicaProbeInterval = 100 * millisecond
)

// latencyEstimates is what answers have shown of all replicas together, and of searches. Latencies are averaged as
// logarithms, so that single long answers weigh little.
type latencyEstimates struct {
	answers      decayingSum // logarithms of answer times
	fleetAnswers float64     // count of answers, decayed, when the fleet latency was last worked out

	cachedLatency    float64 // fleet latency at cachedAt, for fleetAnswers
	cachedLogLatency float64
	cachedAt         int64

	shortest    float64 // shortest fleet latency seen, 0 for none yet
	shortestAt  int64
	shortestFor float64 // fleet latency that shortest was last compared with

	assumed float64 // fleet latency before any answer

	answerCount decayingSum   // answers, for their rate
	retries     decayingSum   // logarithms of the latency of retries and hedged attempts over the fleet latency
	durations   decayingSum   // of searches, from admission to their answer
	byQueryType []decayingSum // durations of the searches of each query type
}

// fleetLatency is the present latency of all replicas, in tenths of a millisecond.
func (l *latencyEstimates) fleetLatency(now int64) float64 {
	count, total := l.answers.read(now, fleetWindow)
	if l.cachedAt != now || l.fleetAnswers != count {
		l.cachedLatency = math.Exp((total + math.Log(l.assumed)) / (count + 1))
		l.cachedAt, l.fleetAnswers = now, count
		l.cachedLogLatency = math.Log(l.cachedLatency)
	}
	return l.cachedLatency
}

func (l *latencyEstimates) logFleetLatency(now int64) float64 {
	l.fleetLatency(now)
	return l.cachedLogLatency
}

// shortestLatency is the fleet latency with next to no load: the shortest of the last minutes.
func (l *latencyEstimates) shortestLatency(now int64) float64 {
	present := l.fleetLatency(now)
	if l.fleetAnswers < minFleetAnswers {
		return present
	}
	if l.shortestAt == now && l.shortestFor == present {
		return l.shortest
	}
	l.shortest *= math.Exp(min(1, float64(now-l.shortestAt)*shortestLatencyGrowth))
	if l.shortest == 0 || present < l.shortest {
		l.shortest = present
	}
	l.shortestAt, l.shortestFor = now, present
	return l.shortest
}

// answerRate is the number of answers per tenth of a millisecond.
func (l *latencyEstimates) answerRate(now int64) float64 {
	return l.answerCount.rate(now, rateWindow, minRateAge)
}

// recordRetry records the latency of an attempt that is not a shard request's first.
func (l *latencyEstimates) recordRetry(now int64, logLatency float64) {
	l.retries.add(now, longWindow, logLatency-l.logFleetLatency(now))
}

// recordDuration records how long a search has taken since its admission.
func (l *latencyEstimates) recordDuration(now int64, s *search) {
	duration := float64(now - s.admittedAt)
	l.durations.add(now, rateWindow, duration)
	l.byQueryType[s.queryType].add(now, rateWindow, duration)
}

// replicaLatency is what answers, and gossip, have shown of a replica: logarithms of answer times in two windows.
type replicaLatency struct {
	short, long                 decayingSum
	gossipedShort, gossipedLong gossipedLatency
}

func (l *replicaLatency) record(now int64, logLatency float64) {
	l.short.add(now, shortWindow, logLatency)
	l.long.add(now, longWindow, logLatency)
}

// hasThinEvidence tells whether a replica answers this coordinator so seldom that its requests in flight and the initial
// concurrency limit say nothing. Slow replicas would look idle then, and overload would be seen by no single coordinator;
// decisions that depend on it use past answers instead.
func (b *balancer) hasThinEvidence() bool {
	return b.latency.answerRate(b.now) < thinEvidenceRate*float64(b.endpoints.count())
}

// slowness is a replica's latency over the fleet latency. Attempts in flight count by their age.
func (b *balancer) slowness(r *replica) float64 {
	count, total := r.latency.short.read(b.now, shortWindow)
	logFleet := b.latency.logFleetLatency(b.now)
	gossiped, excess := r.latency.gossipedShort.contribution(b.now, shortWindow, count)
	for _, a := range r.attempts {
		if age := float64(b.now - a.sentAt); age > b.latency.cachedLatency {
			count, total = count+1, total+math.Log(age)
		}
	}
	mean := (total + excess + (gossiped+priorWeight)*logFleet) / (count + gossiped + priorWeight)
	return math.Exp(mean - logFleet)
}

// longTermSlowness is a replica's latency over the fleet latency in the longer window.
func (b *balancer) longTermSlowness(r *replica) float64 {
	count, total := r.latency.long.read(b.now, longWindow)
	logFleet := b.latency.logFleetLatency(b.now)
	gossiped, excess := r.latency.gossipedLong.contribution(b.now, longWindow, count)
	return math.Exp((total - count*logFleet + excess) / (count + gossiped + 1))
}

// expectedLatency is how long a replica would take for a request: by its past answers, or the fleet's where they are too
// few, and by what is still in flight. A replica that is avoided for it would never be seen to recover: if it has not been
// used for a while it is taken at the fleet's latency again, so that all coordinators together try it ten times a second.
func (b *balancer) expectedLatency(r *replica) float64 {
	expected := b.latency.fleetLatency(b.now)
	if b.latency.fleetAnswers < minFleetAnswers { // an assumed latency must not bar what would show the true one
		expected = 0
	}
	if float64(b.now-r.lastSent) > slowReplicaProbeInterval*b.settings.number(settingBalancers) {
		return expected
	}
	if count, total := r.latency.long.read(b.now, longWindow); count >= minReplicaAnswers {
		expected = math.Exp(total / count)
	}
	for _, a := range r.attempts {
		expected = max(expected, float64(b.now-a.sentAt))
	}
	return expected
}

// shortestExpectedLatency is how long a shard request would take at the quickest of its holders.
func (b *balancer) shortestExpectedLatency(request *shardRequest) float64 {
	shortest := math.Inf(1)
	for _, r := range b.holders(request) {
		shortest = min(shortest, b.expectedLatency(r))
	}
	return shortest
}
