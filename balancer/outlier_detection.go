package balancer

const (
	silenceRatio           = 4.0    // silence over the fleet's answer time that makes a suspect: no ordinary part takes it
	minSilence             = 4_000  // shortest silence that counts: pauses of a few 100 ms are no fault
	minUnanswered          = 2      // parts unanswered meanwhile: a single one may simply be heavy
	restartConnectFailures = 2      // connects failed in a row that show a restart: one may be chance
	outlierFailures        = 3      // errors or refusals in a row that make a suspect: single ones come on good days
	trialSpacing           = 3_000  // least wait between trials of any: among hundreds down each part would be one
	trialInterval          = 10_000 // wait before a suspect gets a trial part: a second is a short outage
	maxRetryAfter          = 50_000 // longest that a refusing replica's own time to come back is kept to: a trial then shows
)

// mayTrial tells whether one that is bad, or said to be, may take a part beside sound ones: it may have healed.
func (b *balancer) mayTrial(r *replica, p *shardRequest) bool {
	return b.now >= max(r.nextTrial, b.trialAt) && len(p.attempts) == 0 && p.search.effect == "retryable" &&
		(b.isOutlier(r) || p.search.neededWeight < p.search.reachableWeight-1e-4)
}

// isSilent tells whether a part is out so long that its answer may never come, whatever its replica answers.
func (b *balancer) isSilent(t *attempt) bool {
	return b.isOutlier(t.replica) || float64(b.now-t.sentAt) > b.silenceThreshold()
}

func (b *balancer) silenceThreshold() float64 { return max(minSilence, silenceRatio*b.fleetLatency()) }

func (b *balancer) isOutlier(r *replica) bool {
	if r.connectFailures > 0 || r.consecutiveFailures >= outlierFailures || b.now < r.retryAfter { // retryAfter: it has said so itself
		return true
	}
	return (r.unanswered >= minUnanswered || r.unanswered > 0 && b.isGossipedOutlier(r)) && float64(b.now-r.silentSince) > b.silenceThreshold()
}

// countConnectionLoss is 1 for the first part that a failed or countConnectionLoss connection loses, and 0 for the others that it loses.
// Guards against one connection that counts as many, for the parts that were on it: they all end in one turn.
func (r *replica) countConnectionLoss(now int64) int {
	if r.lastConnectionLoss == now {
		return 0
	}
	r.lastConnectionLoss = now
	return 1
}

// isGossipedOutlier tells whether a replica was said to be bad and has not answered here since.
func (b *balancer) isGossipedOutlier(r *replica) bool { return b.now < r.gossipedOutlierUntil }
