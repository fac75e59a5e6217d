package balancer

import (
	"math"
)

const (
	shortWindow              = 40_000    // decay of answer times: ten answers of one replica, yet within a trouble
	longWindow               = 100_000   // decay of answer times where a replica answers less than that: within a trouble
	thinEvidenceRate         = 1e-4      // own answers of a replica under which evidence is thin: one a second
	rateWindow               = 30_000    // decay of rates: long enough for a few dozen parts
	minRateAge               = 10_000    // a sum younger than this counts as so old: the first few events show no rate
	fleetWindow              = 20_000    // decay of the common answer time: must follow a slowdown of all within seconds
	shortestLatencyGrowth    = 1.0 / 3e6 // rise of the shortest answer time a tenth: e-fold in 5 min, a lucky low fades
	minFleetAnswers          = 8         // answers before a mean is believed: below, one odd part sways it
	minSearchDurations       = 4         // searches of a type before their time is believed: fewer bar none, some go out again
	assumedLatency           = 2_000     // answer time assumed before any is known: a search part of 200 ms
	slowReplicaTrialInterval = 1_000     // between trials of one replica by all together: half of what two cores do
	minReplicaAnswers        = 0.3       // past answers from which they tell a replica's time: one of the last 12 s
	tailLatencyRatio         = 2.0       // times the usual answer of a part that a search of many takes: it waits for the last
	queueFullLatencyRatio    = 16.0      // times the fleet's answer time that a full replica stands for
	priorWeight              = 2.0       // answers at the fleet's time mixed into a replica's: one slow part proves nothing
)

// shortestExpectedLatency is how long a part would take at the quickest of its shard's replicas.
func (b *balancer) shortestExpectedLatency(p *shardRequest) float64 {
	least := math.Inf(1)
	for _, r := range b.holders(p) {
		least = min(least, b.expectedLatency(r))
	}
	return least
}

// expectedLatency is how long a replica takes: by its past answers, or the fleet's where they say too little, and by
// what is still out. After a while it is tried again: by all together, however many, ten times a second.
func (b *balancer) expectedLatency(r *replica) float64 {
	wait := b.fleetLatency()
	if b.usualN < minFleetAnswers { // an assumed time must not shut out what would show the true one
		wait = 0
	}
	if float64(b.now-r.lastSent) > slowReplicaTrialInterval*b.settings.number("Balancers") {
		return wait
	}
	if n, total := r.longLatency.read(b.now, longWindow); n >= minReplicaAnswers {
		wait = math.Exp(total / n)
	}
	for _, t := range r.attempts {
		wait = max(wait, float64(b.now-t.sentAt))
	}
	return wait
}

// fleetLatency is the fleet's answer time now, by the mean of logarithms: single long answers weigh little.
func (b *balancer) fleetLatency() float64 {
	n, total := b.pace.read(b.now, fleetWindow)
	if b.usualAt != b.now || b.usualN != n {
		b.usual, b.usualAt, b.usualN = math.Exp((total+math.Log(b.firstUsual))/(n+1)), b.now, n
		b.usualLog = math.Log(b.usual)
	}
	return b.usual
}

func (b *balancer) shortestLatency() float64 {
	now := b.fleetLatency()
	if b.usualN < minFleetAnswers {
		return now
	}
	if b.bestAt == b.now && b.bestOf == now {
		return b.best
	}
	if b.best *= math.Exp(min(1, float64(b.now-b.bestAt)*shortestLatencyGrowth)); b.best == 0 || now < b.best {
		b.best = now
	}
	b.bestAt, b.bestOf = b.now, now
	return b.best
}

// hasThinEvidence tells whether a replica answers this co-ordinator so seldom that own parts out and the start's cap say
// nothing. Guards against slow replicas that look idle and against overload that no one co-ordinator sees.
func (b *balancer) hasThinEvidence() bool {
	return b.done.rate(b.now, rateWindow, minRateAge) < thinEvidenceRate*float64(b.listed)
}

// longTermSlowness is a replica's answer time over the fleet's, in a longer memory.
func (b *balancer) longTermSlowness(r *replica) float64 {
	n, total := r.longLatency.read(b.now, longWindow)
	b.fleetLatency()
	more, slower := b.gossipedSum(r.gossipedLong, longWindow, n)
	return math.Exp((total - n*b.usualLog + slower) / (n + more + 1))
}

// slowness is a replica's answer time over the fleet's, parts that are still out counted by their age.
func (b *balancer) slowness(r *replica) float64 {
	n, total := r.shortLatency.read(b.now, shortWindow)
	b.fleetLatency()
	common := b.usualLog
	more, slower := b.gossipedSum(r.gossipedShort, shortWindow, n)
	for _, t := range r.attempts {
		if age := float64(b.now - t.sentAt); age > b.usual {
			n, total = n+1, total+math.Log(age)
		}
	}
	return math.Exp((total+slower+(more+priorWeight)*common)/(n+more+priorWeight) - common)
}

// recordSearchDuration notes how long a search has taken since it left the queue.
func (b *balancer) recordSearchDuration(s *search) {
	b.spell.add(b.now, rateWindow, float64(b.now-s.admittedAt))
	b.spells[s.queryType].add(b.now, rateWindow, float64(b.now-s.admittedAt))
}

// recordRetryLatency notes how long a further sub-request took, as a logarithm, over the usual.
func (b *balancer) recordRetryLatency(t *attempt, pace float64) {
	if t.index > 0 {
		b.fleetLatency()
		b.again.add(b.now, longWindow, pace-b.usualLog)
	}
}
