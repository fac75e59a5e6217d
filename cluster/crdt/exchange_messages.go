package crdt

// An anti-entropy exchange is a series of requests of one replica, the initiator, and responses of another. The initiator
// descends the digest tree where the digests differ, then asks for the buckets that differ with the digests of the entries
// it holds. The responder keeps nothing between two requests.

const (
	maxNodesPerRequest   = 80  // a response then has 80 times 64 digests, about 45 KiB
	maxBucketsPerRequest = 400 // the entries' digests of that many buckets fit TargetMessageBytes on a full replica
)

// ExchangeRequest is one request of an exchange.
type ExchangeRequest struct {
	_             struct{} `cbor:",toarray"`
	ExchangeID    uint64
	RequestSeq    uint64 // of the request in its exchange; the response repeats both numbers
	Actor         string
	RowVersions   []RowVersion // the rows that the initiator has, in the first request
	First         bool
	Nodes         []TreeNode     // nodes whose children's digests are wanted
	WantedBuckets []BucketDigest // buckets whose entries are wanted
}

// isValid reports whether a request from outside can be answered; its nodes are checked one by one.
func (r ExchangeRequest) isValid() bool {
	return isValidActor(r.Actor) && len(r.Nodes) <= maxNodesPerRequest && len(r.WantedBuckets) <= maxBucketsPerRequest &&
		len(r.RowVersions) <= MaxRows+1
}

// BucketDigest is what the initiator holds in a bucket.
type BucketDigest struct {
	_            struct{} `cbor:",toarray"`
	Index        uint16
	EntryDigests []uint64
}

// ExchangeResponse answers an ExchangeRequest. What it leaves out for lack of room is requested again.
type ExchangeResponse struct {
	_             struct{} `cbor:",toarray"`
	ExchangeID    uint64
	RequestSeq    uint64
	Actor         string
	EndedBefore   uint64 // if not 0, the initiator's incarnations before this one are regarded as ended, and nothing else is set
	MissedDeletes bool   // the initiator was absent for so long that tombstones were collected without it
	RootDigest    uint64 // in the first response
	Rows          []Row
	ChildDigests  [][]uint64    // for each requested node
	BucketStates  []BucketState // for the first of the requested buckets, in their order
	Batch         Batch         // the entries of all bucket states; Known is set with them and in the first response
}

// BucketState is the responder's state of a bucket without the entries that the initiator holds too.
type BucketState struct {
	_              struct{} `cbor:",toarray"`
	Index          uint16
	EntryCount     int      // how many of the batch's next entries belong to this bucket
	MissingDigests []uint64 // the initiator's digests that the responder does not hold
	HasMore        bool     // the entries are not all: the bucket must be requested again
}
