package balancer

import "math"

const (
	// outlierFailures is the number of errors or rejections in a row that make an outlier: single ones occur on good days.
	outlierFailures = 3
	// silenceRatio is the silence over the fleet latency that makes an outlier: no ordinary request takes so long.
	silenceRatio = 4.0
	// minSilence is the shortest silence that counts, in tenths of a millisecond: pauses of a few 100 ms are no fault.
	minSilence = 400 * millisecond
	// minUnanswered is the number of unanswered requests that make an outlier: a single one may simply be heavy.
	minUnanswered = 2
	// restartConnectFailures is the number of connects failed in a row that show a restart: one may be chance.
	restartConnectFailures = 2
	// probeInterval is the wait before an outlier gets a probe attempt, in tenths of a millisecond: a second is a short
	// outage.
	probeInterval = 1 * second
	// probeSpacing is the least wait between probe attempts at any outliers, in tenths of a millisecond: with hundreds of
	// outliers each request would be one otherwise.
	probeSpacing = 300 * millisecond
	// maxRetryAfter is the longest that a replica's own Retry-After is kept to, in tenths of a millisecond: a probe attempt
	// shows its state then.
	maxRetryAfter = 5 * second
	// minStartedShare is the share of the shortest latency after which a request whose connection was dropped counts as
	// begun: sooner the loss is the network's doing, not the request's.
	minStartedShare = 0.025
	// queueFullLatencyRatio is the latency over the fleet latency that a rejection for a full queue stands for.
	queueFullLatencyRatio = 16.0
)

// replicaHealth is the evidence for and against a replica.
type replicaHealth struct {
	consecutiveFailures int // errors, rejections and dropped connections since its last answer
	connectFailures     int // failed connects since its last answer
	unanswered          int // attempts unanswered since silentSince
	silentSince         int64
	lastAnswer          int64 // 0 for none
	lastConnectionLoss  int64 // when a connect last failed or a connection was dropped

	retryAfter           int64 // it named this time to come back
	gossipedOutlierUntil int64
	nextProbe            int64
}

// outlierDetector is what concerns all outliers together.
type outlierDetector struct {
	nextProbe     int64 // when the next probe attempt may go to any outlier
	gossipedUntil int64 // until when gossip calls some replica an outlier
	lastCrash     int64 // when a replica last seemed to crash under this coordinator's attempts, 0 for never
}

func (h *replicaHealth) recordSent(now int64) {
	if h.unanswered == 0 {
		h.silentSince = now
	}
	h.unanswered++
}

// recordAnswer clears what spoke against a replica: any answer shows that it works.
func (h *replicaHealth) recordAnswer(now int64, inFlight int) {
	h.consecutiveFailures, h.connectFailures = 0, 0
	h.gossipedOutlierUntil, h.retryAfter = 0, 0
	h.lastAnswer = now
	h.unanswered, h.silentSince = inFlight, now
}

// countConnectionLoss returns 1 for the first attempt that a failed or dropped connection ends, and 0 for the others that
// it ends: they all end in one iteration, and one connection must not count as many.
func (h *replicaHealth) countConnectionLoss(now int64) int {
	if h.lastConnectionLoss == now {
		return 0
	}
	h.lastConnectionLoss = now
	return 1
}

// hasFailed tells whether a replica has failed, or has named a time to come back that is not reached.
func (h *replicaHealth) hasFailed(now int64) bool {
	return h.connectFailures > 0 || h.consecutiveFailures >= outlierFailures || now < h.retryAfter
}

// isUnanswered tells whether so many attempts are unanswered that a long silence makes an outlier; what gossip calls one
// needs a single attempt.
func (h *replicaHealth) isUnanswered(now int64) bool {
	return h.unanswered >= minUnanswered || h.unanswered > 0 && now < h.gossipedOutlierUntil
}

// isOutlier tells whether a replica is to be avoided: connects to it fail, it returns errors or rejections, or it is
// silent. Such a replica takes requests and answers none, and looks idle while it does. It covers crashed and hung servers,
// lost networks and overload that rejects. Any answer ends it. It may hit a healthy replica behind a lossy network.
func (b *balancer) isOutlier(r *replica) bool {
	if r.health.hasFailed(b.now) {
		return true
	}
	return r.health.isUnanswered(b.now) && float64(b.now-r.health.silentSince) > b.silenceThreshold()
}

// isGossipedOutlier tells whether gossip calls a replica an outlier and it has not answered here since.
func (b *balancer) isGossipedOutlier(r *replica) bool { return b.now < r.health.gossipedOutlierUntil }

// silenceThreshold is the time without an answer from which an attempt or a replica is silent.
func (b *balancer) silenceThreshold() float64 {
	return max(minSilence, silenceRatio*b.latency.fleetLatency(b.now))
}

// isSilent tells whether an attempt has been in flight for so long that its answer may never come, whatever its replica
// answers to others.
func (b *balancer) isSilent(a *attempt) bool {
	return b.isOutlier(a.replica) || float64(b.now-a.sentAt) > b.silenceThreshold()
}

// mayProbe tells whether an outlier may take a shard request although healthy replicas could: it may have recovered, and
// only an answer shows that. The request must be idempotent and not have been sent yet, and where only gossip calls the
// replica an outlier the search must have requests to spare.
func (b *balancer) mayProbe(r *replica, request *shardRequest) bool {
	if b.now < max(r.health.nextProbe, b.outliers.nextProbe) || len(request.attempts) > 0 {
		return false
	}
	return request.search.effect == effectRetryable && (b.isOutlier(r) || request.search.canSpareRequests())
}

// scheduleProbe sets when a replica gets its next probe attempt, now that one goes to it.
func (b *balancer) scheduleProbe(r *replica) {
	if b.isOutlier(r) || b.isGossipedOutlier(r) {
		r.health.nextProbe, b.outliers.nextProbe = b.now+probeInterval, b.now+probeSpacing
	} else if b.isZoneDegraded(r.zone) {
		b.zones[r.zone].nextProbe = b.now + probeInterval
	}
}

// recordFailure takes in what the failed end of an attempt shows of its replica and its search.
func (b *balancer) recordFailure(a *attempt, outcome string, wait, retryAfter int64) {
	health, logLatency := &a.replica.health, logOf(wait)
	switch outcome {
	case OutcomeCanceled:
		a.mayHaveRun = true // its latency was recorded when it was cancelled
	case OutcomeTimedOut:
		a.mayHaveRun = true
		a.replica.latency.record(b.now, logLatency)
	case OutcomeFailed:
		a.mayHaveRun = true
		b.recordRejection(a.replica, retryAfter)
	case OutcomeQueueFull:
		a.replica.latency.record(b.now, math.Log(queueFullLatencyRatio*b.latency.fleetLatency(b.now)))
		b.recordRejection(a.replica, retryAfter)
	case OutcomeConnectError:
		health.connectFailures += health.countConnectionLoss(b.now)
		b.outliers.lastCrash = b.now
	case OutcomeResetByPeer: // not a failed connect: a replica need not have died for that
		a.mayHaveRun = true
		health.consecutiveFailures += health.countConnectionLoss(b.now)
		if float64(wait) > minStartedShare*b.latency.shortestLatency(b.now) { // sooner, no request had been begun
			a.request.search.lostConnections++
			b.outliers.lastCrash = b.now
		}
	}
	if b.isOutlier(a.replica) && health.nextProbe <= b.now {
		health.nextProbe = b.now + probeInterval
	}
}

// recordRejection takes in an error or a rejection. The replica is left alone for the time that it names itself.
func (b *balancer) recordRejection(r *replica, retryAfter int64) {
	health := &r.health
	health.retryAfter = max(health.retryAfter, b.now+min(maxRetryAfter, retryAfter))
	b.inflight.recheckAt(r, health.retryAfter)
	health.nextProbe = max(health.nextProbe, health.retryAfter)
	health.consecutiveFailures++
}

// RecordProbeResult does nothing: health checks are not used, since attempts show more.
func (b *balancer) RecordProbeResult(string, string, int64, map[string]float64) {}
