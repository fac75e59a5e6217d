package balancer

// batch is what one turn sent to one replica together.
type batch struct{ size, inFlight int }

// replica is one entry of the list with what own sub-requests have shown of it.
type replica struct {
	id                        string
	shardSet, zone            int
	eligible                  bool // listed, and neither draining nor gone
	startedAt                 int64
	batchesInFlight           int
	currentBatch              *batch
	currentBatchAt            int64
	attempts                  []*attempt
	shortLatency, longLatency decayingSum // logarithms of answer times, in a short and a long memory
	silentSince               int64
	unanswered                int // parts unanswered since silentSince
	consecutiveFailures       int
	connectFailures           int // connects that failed since its last answer
	nextTrial                 int64
	lastConnectionLoss        int64 // when a connection to it last failed or dropped
	lastSent                  int64 // the last sub-request
	slowStartCredit           float64
	slowStartUpdatedAt        int64

	lastAnswer                  int64           // its last own answer, 0 for none
	gossipedShort, gossipedLong gossipedLatency // of pace and past
	gossipedOutlierUntil        int64           // said to be bad, until then
	retryAfter                  int64           // it refused and named this time to come back

	recordedSilence  int64 // the silentSince that flights knows
	countedAttempts  int   // own sub-requests out that are not silent
	hasExpiry        bool  // its suspicion ends at a time
	countedAsOutlier bool  // a suspect when last looked at
	needsRecheck     bool  // to be looked at again
}

func (r *replica) recordLatency(now int64, pace float64) {
	r.shortLatency.add(now, shortWindow, pace)
	r.longLatency.add(now, longWindow, pace)
}
