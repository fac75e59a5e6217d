package crdt

// Exchange is the initiator's side of an anti-entropy exchange: it brings the replica up to the peer's state, and says what
// the peer lacks of this one's. It has one request outstanding at a time, and after a lost one it resumes with
// RetryRequest. When it is complete, the replica's known version covers all that the peer knew as the exchange began. Like
// its Map it is not safe for concurrent use.
type Exchange struct {
	replica    *Map
	peer       string
	id         uint64
	requestSeq uint64

	started   bool    // the peer has answered the first request
	failed    bool    // some of the peer's state could not be taken in
	peerActor string  // an incarnation of the peer that began later does not hold what this one did
	peerKnown Version // the peer's known version as the exchange began

	pendingNodes   []TreeNode // nodes whose children have not been compared yet
	pendingBuckets []uint16   // buckets to request

	request          ExchangeRequest // the outstanding one
	awaitingResponse bool
	requestedDigests map[uint16]uint64 // digests of the outstanding request's buckets as it was made

	// DifferingBuckets is the number of buckets that differed.
	DifferingBuckets int
	// MissedDeletes is set if this instance was absent for so long that tombstones were collected without it.
	MissedDeletes bool
	// UnsyncedNames are set with MissedDeletes: names with changes of this instance that the peer had not seen. They are
	// kept.
	UnsyncedNames []string
}

// NewExchange begins an exchange with an instance. The id must be one that this instance gave no other exchange.
func (m *Map) NewExchange(peer string, id uint64) *Exchange {
	return &Exchange{replica: m, peer: peer, id: id}
}

// Peer returns the name of the other instance.
func (x *Exchange) Peer() string { return x.peer }

// ID returns the number of the exchange.
func (x *Exchange) ID() uint64 { return x.id }

// HasStarted reports whether the peer has answered the first request.
func (x *Exchange) HasStarted() bool { return x.started }

// IsDone reports whether nothing is left to request.
func (x *Exchange) IsDone() bool {
	return x.started && !x.awaitingResponse && len(x.pendingNodes) == 0 && len(x.pendingBuckets) == 0
}

// IsComplete reports whether the exchange is done and all of the peer's state was taken in.
func (x *Exchange) IsComplete() bool { return x.IsDone() && !x.failed }

// NextRequest returns the next request. There is none while one is outstanding, or at the end.
func (x *Exchange) NextRequest() (ExchangeRequest, bool) {
	if x.awaitingResponse || x.IsDone() {
		return ExchangeRequest{}, false
	}
	x.requestSeq++
	request := ExchangeRequest{ExchangeID: x.id, RequestSeq: x.requestSeq, Actor: x.replica.actor}
	switch {
	case !x.started:
		request.First, request.RowVersions = true, x.replica.RowVersions()
	case len(x.pendingBuckets) > 0 && (len(x.pendingNodes) == 0 || len(x.pendingBuckets) >= maxBucketsPerRequest):
		// Buckets go first once they fill a request, so that the list of pending ones stays short.
		request.WantedBuckets = x.takePendingBuckets()
	default:
		n := min(len(x.pendingNodes), maxNodesPerRequest)
		request.Nodes, x.pendingNodes = x.pendingNodes[:n:n], x.pendingNodes[n:]
	}
	x.request, x.awaitingResponse = request, true
	return request, true
}

// takePendingBuckets takes the next buckets to request, with what is held in them now.
func (x *Exchange) takePendingBuckets() []BucketDigest {
	n := min(len(x.pendingBuckets), maxBucketsPerRequest)
	wanted := make([]BucketDigest, 0, n)
	x.requestedDigests = make(map[uint16]uint64, n)
	for _, bucket := range x.pendingBuckets[:n] {
		digest := BucketDigest{Index: bucket}
		for _, held := range x.replica.tree.records[bucket] {
			digest.EntryDigests = append(digest.EntryDigests, held.digest)
		}
		x.requestedDigests[bucket] = x.replica.Digest(bucketNode(bucket))
		wanted = append(wanted, digest)
	}
	x.pendingBuckets = x.pendingBuckets[n:]
	return wanted
}

// RequeueRequest withdraws the outstanding request, whose response was or may have been lost. What it asked for is part of
// later requests.
func (x *Exchange) RequeueRequest() {
	if !x.awaitingResponse {
		return
	}
	x.awaitingResponse = false
	x.pendingNodes = append(x.pendingNodes, x.request.Nodes...)
	for _, bucket := range x.request.WantedBuckets {
		x.pendingBuckets = append(x.pendingBuckets, bucket.Index)
	}
	x.request = ExchangeRequest{}
}
