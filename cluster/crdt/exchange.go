package crdt

// Exchange is the initiator's side of an anti-entropy exchange: it merges the peer's state into the replica and returns
// what the peer lacks of the replica's state. One request is outstanding at a time; after a lost one, RequeueRequest
// resumes the exchange. Once it is complete, the replica's known version covers all that the peer knew when the exchange
// began. Like its Map, an Exchange is not safe for concurrent use.
type Exchange struct {
	replica    *Map
	peer       string
	id         uint64
	requestSeq uint64

	started   bool    // the peer has answered the first request
	failed    bool    // some of the peer's state could not be merged
	peerActor string  // of the first response; a later incarnation of the peer may not hold what this one held
	peerKnown Version // the peer's known version when the exchange began

	pendingNodes   []TreeNode // nodes whose children have not been compared yet
	pendingBuckets []uint16   // buckets that have yet to be requested

	request          ExchangeRequest // the outstanding one
	awaitingResponse bool
	requestedDigests map[uint16]uint64 // by bucket of the outstanding request: its digest when the request was made

	// DifferingBuckets is the number of buckets that differed.
	DifferingBuckets int
	// MissedDeletes is set if this instance was absent for so long that tombstones were collected without waiting for it.
	MissedDeletes bool
	// UnsyncedNames are set together with MissedDeletes: names with changes of this instance that the peer had not seen.
	// The changes are kept.
	UnsyncedNames []string
}

// NewExchange begins an exchange with an instance. This instance must not use the same id for another exchange.
func (m *Map) NewExchange(peer string, id uint64) *Exchange {
	return &Exchange{replica: m, peer: peer, id: id}
}

// Peer returns the name of the other instance.
func (x *Exchange) Peer() string { return x.peer }

// ID returns the id given to NewExchange.
func (x *Exchange) ID() uint64 { return x.id }

// HasStarted reports whether the peer has answered the first request.
func (x *Exchange) HasStarted() bool { return x.started }

// IsDone reports whether nothing is left to request.
func (x *Exchange) IsDone() bool {
	return x.started && !x.awaitingResponse && len(x.pendingNodes) == 0 && len(x.pendingBuckets) == 0
}

// IsComplete reports whether the exchange is done and all of the peer's state was merged.
func (x *Exchange) IsComplete() bool { return x.IsDone() && !x.failed }

// NextRequest returns the next request. It returns false while a request is outstanding, and once the exchange is done.
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
		// Buckets are requested first once they fill a request, so that the list of pending ones stays short.
		request.WantedBuckets = x.takePendingBuckets()
	default:
		n := min(len(x.pendingNodes), maxNodesPerRequest)
		request.Nodes, x.pendingNodes = x.pendingNodes[:n:n], x.pendingNodes[n:]
	}
	x.request, x.awaitingResponse = request, true
	return request, true
}

// takePendingBuckets removes the next buckets to request from the pending ones and returns them with the digests of the
// entries held now.
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

// RequeueRequest withdraws the outstanding request, whose response may have been lost. Later requests ask for the same
// again.
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
