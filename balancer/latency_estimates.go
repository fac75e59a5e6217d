package balancer

import "math"

// Windows of the estimates: e-fold times of the decay, in tenths of a millisecond.
const (
	shortWindow = 4 * second  // latency of a replica or zone: about ten answers, yet short compared with a fault
	longWindow  = 10 * second // latency of a replica that answers rarely: still short compared with a fault
	rateWindow  = 3 * second  // rates and search durations: long enough for a few dozen shard requests
	minRateAge  = 1 * second  // smallest age that a rate is computed with: the first few events show no rate
	fleetWindow = 2 * second  // fleet latency: it must follow a slowdown of all replicas within seconds
)

const (
	// assumedLatency is the fleet latency assumed before any answer, in tenths of a millisecond: a shard request of 200
	// ms.
	assumedLatency = 200 * millisecond
	// minFleetAnswers is the number of answers from which the fleet latency is used: with fewer, a single unusual
	// request would distort it.
	minFleetAnswers = 8
	// minReplicaAnswers is the decayed number of answers from which a replica's long-term latency is used: one answer
	// within the last 12 s.
	minReplicaAnswers = 0.3
	// minSearchDurations is the number of searches of a type from which their mean duration is used. A mean of fewer
	// never leads to a rejection, so some searches are sent again once the count has decayed.
	minSearchDurations = 4
	// tailLatencyRatio is the assumed ratio of the latency of the last of many answers to a search to the usual
	// latency.
	tailLatencyRatio = 2.0
	// priorWeight is the number of answers at the fleet latency that are mixed into the estimate for a replica or zone:
	// one slow request proves nothing.
	priorWeight = 2.0
	// shortestLatencyGrowth is the growth rate of the shortest latency, per tenth of a millisecond: a factor of e in 5
	// min, so that an accidentally low value fades.
	shortestLatencyGrowth = 1.0 / (300 * second)
	// sparseAnswerRate is the rate of answers per replica, per tenth of a millisecond, below which answers are sparse:
	// one a second.
	sparseAnswerRate = 1.0 / second
	// slowReplicaProbeInterval is the interval at which all coordinators together send attempts to a replica that looks
	// too slow, in tenths of a millisecond: ten a second are half of what two cores serve.
	slowReplicaProbeInterval = 100 * millisecond
)

// latencyEstimates holds what answers have shown of all replicas together and of searches. Latencies are averaged as
// logarithms, so that single long answers have little weight.
type latencyEstimates struct {
	answers      decayingSum // logarithms of answer times
	fleetAnswers float64     // decayed count of answers when the fleet latency was last computed

	cachedLatency    float64 // fleet latency at cachedAt, for fleetAnswers
	cachedLogLatency float64
	cachedAt         int64

	shortest             float64 // shortest fleet latency seen, 0 if none yet
	shortestAt           int64
	shortestComparedWith float64 // fleet latency that shortest was last compared with

	assumed float64 // fleet latency assumed before any answer

	answerCount decayingSum   // answers; used for their rate
	retries     decayingSum   // log of the ratio of latency to fleet latency, of retries and hedged attempts
	durations   decayingSum   // of searches, from admission to their answer
	byQueryType []decayingSum // durations of the searches of each query type
}

// fleetLatency returns the current latency of all replicas, in tenths of a millisecond.
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

// shortestLatency returns the fleet latency at almost no load: the shortest of the last minutes.
func (l *latencyEstimates) shortestLatency(now int64) float64 {
	current := l.fleetLatency(now)
	if l.fleetAnswers < minFleetAnswers {
		return current
	}
	if l.shortestAt == now && l.shortestComparedWith == current {
		return l.shortest
	}
	l.shortest *= math.Exp(min(1, float64(now-l.shortestAt)*shortestLatencyGrowth))
	if l.shortest == 0 || current < l.shortest {
		l.shortest = current
	}
	l.shortestAt, l.shortestComparedWith = now, current
	return l.shortest
}

// answerRate returns the number of answers per tenth of a millisecond.
func (l *latencyEstimates) answerRate(now int64) float64 {
	return l.answerCount.rate(now, rateWindow, minRateAge)
}

// recordRetry records the latency of an attempt that is not the first of its shard request.
func (l *latencyEstimates) recordRetry(now int64, logLatency float64) {
	l.retries.add(now, longWindow, logLatency-l.logFleetLatency(now))
}

// recordDuration records how long a search has taken since its admission.
func (l *latencyEstimates) recordDuration(now int64, s *search) {
	duration := float64(now - s.admittedAt)
	l.durations.add(now, rateWindow, duration)
	l.byQueryType[s.queryType].add(now, rateWindow, duration)
}

// replicaLatency holds what answers and gossip have shown of a replica: logarithms of answer times in two windows.
type replicaLatency struct {
	short, long                 decayingSum
	gossipedShort, gossipedLong gossipedLatency
}

func (l *replicaLatency) record(now int64, logLatency float64) {
	l.short.add(now, shortWindow, logLatency)
	l.long.add(now, longWindow, logLatency)
}

// hasSparseAnswers tells whether replicas answer this coordinator so rarely that its requests in flight and the initial
// concurrency limit show nothing. Judged by these alone, slow replicas would look idle, and no single coordinator would
// notice an overload; so decisions that depend on load then use past answers instead.
func (b *balancer) hasSparseAnswers() bool {
	return b.latency.answerRate(b.now) < sparseAnswerRate*float64(b.endpoints.count())
}

// slowness returns the ratio of a replica's latency to the fleet latency. Attempts in flight count with their age.
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

// longTermSlowness returns the ratio of a replica's latency to the fleet latency in the longer window.
func (b *balancer) longTermSlowness(r *replica) float64 {
	count, total := r.latency.long.read(b.now, longWindow)
	logFleet := b.latency.logFleetLatency(b.now)
	gossiped, excess := r.latency.gossipedLong.contribution(b.now, longWindow, count)
	return math.Exp((total - count*logFleet + excess) / (count + gossiped + 1))
}

// expectedLatency returns how long a replica would take for a request: judged by its past answers, or by those of the
// fleet if it has too few, and by its attempts in flight. A replica avoided because of this estimate would never be
// seen to recover. So a replica that has not been used for a while is assumed to have the fleet latency again, and all
// coordinators together try it ten times a second.
func (b *balancer) expectedLatency(r *replica) float64 {
	expected := b.latency.fleetLatency(b.now)
	if b.latency.fleetAnswers < minFleetAnswers { // an assumed latency must not prevent measuring the true one
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

// shortestExpectedLatency returns how long a shard request would take at the fastest of its holders.
func (b *balancer) shortestExpectedLatency(request *shardRequest) float64 {
	shortest := math.Inf(1)
	for _, r := range b.holders(request) {
		shortest = min(shortest, b.expectedLatency(r))
	}
	return shortest
}
