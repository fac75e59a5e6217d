package balancer

import "math"

const (
	// outlierFailures is the number of consecutive errors or rejections that make an outlier: single ones occur in
	// normal operation.
	outlierFailures = 3
	// silenceRatio is the ratio of silence to fleet latency that makes an outlier: no ordinary request takes this long.
	silenceRatio = 4.0
	// minSilence is the shortest silence that counts, in tenths of a millisecond: pauses of a few 100 ms are not a
	// fault.
	minSilence = 400 * millisecond
	// minUnanswered is the number of unanswered requests that make an outlier: a single one may simply be heavy.
	minUnanswered = 2
	// restartConnectFailures is the number of consecutive failed connects that indicate a restart: one may be chance.
	restartConnectFailures = 2
	// probeInterval is the wait before an outlier gets a probe attempt, in tenths of a millisecond: a second is a short
	// outage.
	probeInterval = 1 * second
	// probeSpacing is the shortest wait between probe attempts at any outliers, in tenths of a millisecond: otherwise,
	// with hundreds of outliers, every request would be a probe attempt.
	probeSpacing = 300 * millisecond
	// maxRetryAfter is the longest time for which a replica's own Retry-After is respected, in tenths of a millisecond:
	// after that a probe attempt shows its state.
	maxRetryAfter = 5 * second
	// minStartedShare is the share of the shortest latency after which a request whose connection was dropped is
	// assumed to have been started: an earlier loss is caused by the network, not by the request.
	minStartedShare = 0.025
	// queueFullLatencyRatio is the latency that is recorded for a rejection because of a full queue, as a ratio to the
	// fleet latency.
	queueFullLatencyRatio = 16.0
)

// replicaHealth is the evidence for and against a replica.
type replicaHealth struct {
	consecutiveFailures int // errors, rejections and dropped connections since its last answer
	connectFailures     int // failed connects since its last answer
	unanswered          int // attempts unanswered since silentSince
	silentSince         int64
	lastAnswer          int64 // 0 if none
	lastConnectionLoss  int64 // when a connect last failed or a connection was dropped

	retryAfter           int64 // when it accepts requests again, by its own Retry-After
	gossipedOutlierUntil int64
	nextProbe            int64
}

// outlierDetector holds the state that concerns all outliers together.
type outlierDetector struct {
	nextProbe     int64 // earliest time of the next probe attempt at any outlier
	gossipedUntil int64 // time until which gossip calls some replica an outlier
	lastCrash     int64 // when a replica last seemed to crash under this coordinator's attempts, 0 for never
}

func (h *replicaHealth) recordSent(now int64) {
	if h.unanswered == 0 {
		h.silentSince = now
	}
	h.unanswered++
}

// recordAnswer clears the evidence against a replica: any answer shows that it works.
func (h *replicaHealth) recordAnswer(now int64, inFlight int) {
	h.consecutiveFailures, h.connectFailures = 0, 0
	h.gossipedOutlierUntil, h.retryAfter = 0, 0
	h.lastAnswer = now
	h.unanswered, h.silentSince = inFlight, now
}

// countConnectionLoss returns 1 for the first attempt that a failed or dropped connection ends, and 0 for the others:
// they all end in one iteration, and a single connection must not count several times.
func (h *replicaHealth) countConnectionLoss(now int64) int {
	if h.lastConnectionLoss == now {
		return 0
	}
	h.lastConnectionLoss = now
	return 1
}

// hasFailed tells whether a replica has failed, or has asked for no requests until a time that is not reached yet.
func (h *replicaHealth) hasFailed(now int64) bool {
	return h.connectFailures > 0 || h.consecutiveFailures >= outlierFailures || now < h.retryAfter
}

// isUnanswered tells whether enough attempts are unanswered for a long silence to make the replica an outlier; if
// gossip calls it an outlier, a single attempt is enough.
func (h *replicaHealth) isUnanswered(now int64) bool {
	return h.unanswered >= minUnanswered || h.unanswered > 0 && now < h.gossipedOutlierUntil
}

// isOutlier tells whether a replica is to be avoided: connects to it fail, it returns errors or rejections, or it is
// silent. A silent replica accepts requests without answering them, and looks idle meanwhile. This covers crashed and
// hung servers, network outages, and overload that leads to rejections. After any answer the replica counts as healthy
// again. A healthy replica behind a lossy network may be taken for an outlier.
func (b *balancer) isOutlier(r *replica) bool {
	if r.health.hasFailed(b.now) {
		return true
	}
	return r.health.isUnanswered(b.now) && float64(b.now-r.health.silentSince) > b.silenceThreshold()
}

// isGossipedOutlier tells whether gossip calls a replica an outlier and the replica has not answered this coordinator
// since.
func (b *balancer) isGossipedOutlier(r *replica) bool { return b.now < r.health.gossipedOutlierUntil }

// silenceThreshold returns the time without an answer after which an attempt or a replica is silent.
func (b *balancer) silenceThreshold() float64 {
	return max(minSilence, silenceRatio*b.latency.fleetLatency(b.now))
}

// isSilent tells whether an attempt has been in flight for so long that its answer may never come, even if its replica
// answers other requests.
func (b *balancer) isSilent(a *attempt) bool {
	return b.isOutlier(a.replica) || float64(b.now-a.sentAt) > b.silenceThreshold()
}

// mayProbe tells whether an outlier may get a shard request although healthy replicas could take it: it may have
// recovered, and only an answer shows that. The request must be idempotent and not have been sent yet; if only gossip
// calls the replica an outlier, the search must also have requests to spare.
func (b *balancer) mayProbe(r *replica, request *shardRequest) bool {
	if b.now < max(r.health.nextProbe, b.outliers.nextProbe) || len(request.attempts) > 0 {
		return false
	}
	return request.search.effect == effectRetryable && (b.isOutlier(r) || request.search.canSpareRequests())
}

// scheduleProbe sets the time of the next probe attempt at a replica, as one is being sent to it.
func (b *balancer) scheduleProbe(r *replica) {
	if b.isOutlier(r) || b.isGossipedOutlier(r) {
		r.health.nextProbe, b.outliers.nextProbe = b.now+probeInterval, b.now+probeSpacing
	} else if b.isZoneDegraded(r.zone) {
		b.zones[r.zone].nextProbe = b.now + probeInterval
	}
}

// recordFailure records what the failure of an attempt shows of its replica and its search.
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
	case OutcomeResetByPeer: // not a failed connect: the replica may still be running
		a.mayHaveRun = true
		health.consecutiveFailures += health.countConnectionLoss(b.now)
		// If the connection was dropped sooner, no request had been started.
		if float64(wait) > minStartedShare*b.latency.shortestLatency(b.now) {
			a.request.search.lostConnections++
			b.outliers.lastCrash = b.now
		}
	}
	if b.isOutlier(a.replica) && health.nextProbe <= b.now {
		health.nextProbe = b.now + probeInterval
	}
}

// recordRejection records an error or a rejection. The replica gets no requests for the time that it asked for.
func (b *balancer) recordRejection(r *replica, retryAfter int64) {
	health := &r.health
	health.retryAfter = max(health.retryAfter, b.now+min(maxRetryAfter, retryAfter))
	b.inflight.recheckAt(r, health.retryAfter)
	health.nextProbe = max(health.nextProbe, health.retryAfter)
	health.consecutiveFailures++
}

// RecordProbeResult does nothing: health checks are not used, since attempts show more.
func (b *balancer) RecordProbeResult(string, string, int64, map[string]float64) {}
