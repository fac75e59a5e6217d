package crdt

// An anti-entropy exchange is a series of requests from one replica, the initiator, and responses from another, the
// responder. The initiator descends the digest tree where the digests differ, then requests the differing buckets and
// sends the digests of the entries that it holds in them. The responder keeps no state between two requests.

const (
	maxNodesPerRequest   = 80  // the response then has 80 times 64 digests, about 45 KiB
	maxBucketsPerRequest = 400 // on a full replica the digests of the entries in that many buckets fit TargetMessageBytes
)

// ExchangeRequest is one request of an exchange.
type ExchangeRequest struct {
	_             struct{} `cbor:",toarray"`
	ExchangeID    uint64
	RequestSeq    uint64 // numbers the requests of an exchange; the response repeats it and ExchangeID
	Actor         string
	RowVersions   []RowVersion // in the first request: the rows that the initiator holds
	First         bool
	Nodes         []TreeNode     // nodes whose children's digests are requested
	WantedBuckets []BucketDigest // buckets whose entries are requested
}

// isValid reports whether a received request can be answered; its nodes are validated one by one later.
func (r ExchangeRequest) isValid() bool {
	return isValidActor(r.Actor) && len(r.Nodes) <= maxNodesPerRequest && len(r.WantedBuckets) <= maxBucketsPerRequest &&
		len(r.RowVersions) <= MaxRows+1
}

// BucketDigest has the digests of the entries that the initiator holds in a bucket.
type BucketDigest struct {
	_            struct{} `cbor:",toarray"`
	Index        uint16
	EntryDigests []uint64
}

// ExchangeResponse answers an ExchangeRequest. The initiator requests again what does not fit the response.
type ExchangeResponse struct {
	_             struct{} `cbor:",toarray"`
	ExchangeID    uint64
	RequestSeq    uint64
	Actor         string
	EndedBefore   uint64 // if not 0, the initiator's incarnations before this one have ended, and no field below is set
	MissedDeletes bool   // the initiator was absent for so long that tombstones were collected without waiting for it
	RootDigest    uint64 // only in the first response
	Rows          []Row
	ChildDigests  [][]uint64    // for each requested node
	BucketStates  []BucketState // for as many of the requested buckets as fit, in the order requested
	Batch         Batch         // the entries of all bucket states; Known is set if there are any, and in the first response
}

// BucketState is the responder's state of a bucket, without the entries that the initiator holds too.
type BucketState struct {
	_              struct{} `cbor:",toarray"`
	Index          uint16
	EntryCount     int      // the number of entries of this bucket in the batch, after those of earlier buckets
	MissingDigests []uint64 // the initiator's digests that the responder does not hold
	HasMore        bool     // entries are missing for lack of space: the bucket must be requested again
}
