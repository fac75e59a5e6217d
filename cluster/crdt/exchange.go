package crdt

import (
	"errors"
	"slices"
)

const (
	TargetMessageBytes   = 48 << 10 // about what a message holds: under 64 KiB with its frame; one name's siblings may be more
	maxNodesPerRequest   = 80       // ranges asked of at once: 80 answers of 64 sums
	maxBucketsPerRequest = 400      // buckets asked of at once
	entryOverheadBytes   = 24       // bytes of an entry beside names and values, at least
)

// BucketDigest is what the asker holds in a bucket.
type BucketDigest struct {
	_            struct{} `cbor:",toarray"`
	Index        uint16
	EntryDigests []uint64
}

// ExchangeRequest is a question in an exchange. The one who answers keeps nothing between two.
type ExchangeRequest struct {
	_             struct{} `cbor:",toarray"`
	ExchangeID    uint64   // the exchange
	RequestSeq    uint64   // the question in it; both are named again by the answer
	Actor         string
	RowVersions   []RowVersion // in the first one: rows that the asker has
	First         bool
	Nodes         []TreeNode     // ranges whose children's digests are asked
	WantedBuckets []BucketDigest // buckets whose names are asked
}

// BucketState is the state of a bucket, but for what the asker has told that it holds.
type BucketState struct {
	_              struct{} `cbor:",toarray"`
	Index          uint16
	EntryCount     int      // entries, of the answer's batch in order
	MissingDigests []uint64 // of the asker's sums those that are not held
	HasMore        bool     // the entries are not all: ask again
}

// ExchangeResponse is the answer to an Ask; what it leaves out is asked again.
type ExchangeResponse struct {
	_             struct{} `cbor:",toarray"`
	ExchangeID    uint64
	RequestSeq    uint64
	Actor         string
	EndedBefore   uint64 // the asker's lives before this one are taken as over
	MissedDeletes bool   // the asker was away for so long that deletes were forgotten without it
	RootDigest    uint64 // in the answer to a first one: of all names
	Rows          []Row
	ChildDigests  [][]uint64
	BucketStates  []BucketState
	Batch         Batch // the entries of the states; its Known is there with them, and in the answer to a first one
}

// HandleRequest answers a question.
func (l *Map) HandleRequest(from string, a ExchangeRequest) (ExchangeResponse, error) {
	if !isValidActor(a.Actor) || len(a.Nodes) > maxNodesPerRequest || len(a.WantedBuckets) > maxBucketsPerRequest || len(a.RowVersions) > MaxRows+1 {
		return ExchangeResponse{}, &InvalidDataError{from, "a question that cannot be used"}
	}
	out := ExchangeResponse{ExchangeID: a.ExchangeID, RequestSeq: a.RequestSeq, Actor: l.actor}
	if name := ActorName(a.Actor); l.isSuperseded(a.Actor) {
		out.EndedBefore = max(l.incarnationEnds[name].Before, l.known.EndedBefore(name))
		return out, nil
	}
	if a.First {
		out.MissedDeletes, out.Batch.Known, out.RootDigest, out.Rows = l.absentMembers[ActorName(a.Actor)], l.known, l.Digest(TreeNode{}), l.RowsSince(a.RowVersions, TargetMessageBytes)
	}
	for _, n := range a.Nodes {
		if !n.isValid() || n.Level >= DigestTreeDepth {
			return ExchangeResponse{}, &InvalidDataError{from, "a range that there is not"}
		}
		children := n.Children()
		sums := make([]uint64, len(children))
		for i, c := range children {
			sums[i] = l.Digest(c)
		}
		out.ChildDigests = append(out.ChildDigests, sums)
	}
	room := TargetMessageBytes
	p := batchBuilder{Batch: out.Batch}
	if len(a.WantedBuckets) > 0 {
		p.Known = l.known // what entries say alone is shortened by it
		room -= l.known.encodedSize()
	}
	for _, b := range a.WantedBuckets {
		h := BucketState{Index: b.Index, MissingDigests: slices.Clone(b.EntryDigests)}
		for _, n := range l.tree.records[b.Index] {
			if i := slices.Index(h.MissingDigests, n.digest); i >= 0 {
				h.MissingDigests = slices.Delete(h.MissingDigests, i, i+1)
				continue
			}
			if room < n.encodedSize() && len(p.Entries) > 0 {
				h.HasMore = true
				break
			}
			room -= p.add(n)
			h.EntryCount++
		}
		room -= 8 + 9*len(h.MissingDigests)
		if out.BucketStates = append(out.BucketStates, h); h.HasMore || room <= 0 {
			break
		}
	}
	out.Batch = p.Batch
	return out, nil
}

func (e Entry) encodedSize() int {
	n := e.payloadBytes() + entryOverheadBytes + e.CausalContext.encodedSize()
	for _, s := range e.Siblings {
		n += len(s.Dot.Actor) + 16
	}
	return n
}

// Exchange brings a ledger up to another's state, and the other up to this one's as far as it lacks what is here. It is
// the asker's side, and has one question out at a time. One that was cut goes on where it was with Again. When it is
// over, the ledger knows all that the other knew as it began.
type Exchange struct {
	replica          *Map
	peer             string
	id               uint64
	requestSeq       uint64
	peerActor        string // the other's life; of another life the whole must be asked
	peerKnown        Version
	started          bool
	failed           bool
	pendingNodes     []TreeNode
	pendingBuckets   []uint16
	request          ExchangeRequest
	awaitingResponse bool
	requestedDigests map[uint16]uint64 // digests of the buckets asked of

	DifferingBuckets int      // buckets that were not the same
	MissedDeletes    bool     // this instance was away for so long that deletes were forgotten without it
	UnsyncedNames    []string // then: names with own changes that the other had not seen, and that are kept
}

// NewExchange begins an exchange with an instance; run is a number that this instance gave no other exchange.
func (l *Map) NewExchange(peer string, run uint64) *Exchange {
	return &Exchange{replica: l, peer: peer, id: run}
}

// Peer is the instance asked.
func (x *Exchange) Peer() string { return x.peer }

// NextRequest is the next question; none while one is out, or at the end.
func (x *Exchange) NextRequest() (ExchangeRequest, bool) {
	if x.awaitingResponse || x.IsDone() {
		return ExchangeRequest{}, false
	}
	x.requestSeq++
	a := ExchangeRequest{ExchangeID: x.id, RequestSeq: x.requestSeq, Actor: x.replica.actor}
	switch {
	case !x.started:
		a.First, a.RowVersions = true, x.replica.RowVersions()
	case len(x.pendingBuckets) > 0 && (len(x.pendingNodes) == 0 || len(x.pendingBuckets) >= maxBucketsPerRequest):
		// Buckets first once there are enough of them, so that what waits stays short.
		n := min(len(x.pendingBuckets), maxBucketsPerRequest)
		x.requestedDigests = make(map[uint16]uint64, n)
		for _, b := range x.pendingBuckets[:n] {
			w := BucketDigest{Index: b}
			for _, h := range x.replica.tree.records[b] {
				w.EntryDigests = append(w.EntryDigests, h.digest)
			}
			x.requestedDigests[b] = x.replica.Digest(TreeNode{Level: DigestTreeDepth, Index: b})
			a.WantedBuckets = append(a.WantedBuckets, w)
		}
		x.pendingBuckets = x.pendingBuckets[n:]
	default:
		n := min(len(x.pendingNodes), maxNodesPerRequest)
		a.Nodes, x.pendingNodes = x.pendingNodes[:n:n], x.pendingNodes[n:]
	}
	x.request, x.awaitingResponse = a, true
	return a, true
}

// RetryRequest puts the question that is out back: its answer was lost, or may have been.
func (x *Exchange) RetryRequest() {
	if !x.awaitingResponse {
		return
	}
	x.awaitingResponse = false
	x.pendingNodes = append(x.pendingNodes, x.request.Nodes...)
	for _, w := range x.request.WantedBuckets {
		x.pendingBuckets = append(x.pendingBuckets, w.Index)
	}
	x.request = ExchangeRequest{}
}

// IsDone tells whether the exchange is over.
func (x *Exchange) IsDone() bool {
	return x.started && !x.awaitingResponse && len(x.pendingNodes) == 0 && len(x.pendingBuckets) == 0
}

// IsComplete tells whether it is over and all of the other's state could be taken.
func (x *Exchange) IsComplete() bool { return x.IsDone() && !x.failed }

// ErrPeerRestarted says that the other began a new life in the middle: the exchange is begun anew.
var ErrPeerRestarted = errors.New("ledger: the other began a new life in the middle")

// ApplyResponse takes an answer in. It tells the names that have changed here and what the other lacks. An answer to another question
// than the one that is out is ignored.
func (x *Exchange) ApplyResponse(a ExchangeResponse) (changed, lacks []string, err error) {
	if !x.awaitingResponse || a.ExchangeID != x.id || a.RequestSeq != x.request.RequestSeq {
		return nil, nil, nil
	}
	l, ask := x.replica, x.request
	if !isValidActor(a.Actor) || ActorName(a.Actor) != x.peer || !a.Batch.Known.isValid() {
		return nil, nil, &InvalidDataError{x.peer, "an answer that cannot be used"}
	}
	if a.EndedBefore > ActorIncarnation(l.actor) {
		return nil, nil, &SupersededError{x.peer, a.EndedBefore}
	}
	if x.started && a.Actor != x.peerActor || l.isSuperseded(a.Actor) {
		// Guards against one that came back with an older disk in the middle: it no longer holds what it said it knew.
		return nil, nil, ErrPeerRestarted
	}
	if len(a.ChildDigests) != len(ask.Nodes) || len(a.BucketStates) > len(ask.WantedBuckets) || len(ask.WantedBuckets) > 0 && len(a.BucketStates) == 0 {
		return nil, nil, &InvalidDataError{x.peer, "an answer to another question"}
	}
	if ask.First {
		if err := l.checkSuperseded(x.peer, a.Batch.Known); err != nil {
			return nil, nil, err
		}
		x.started, x.peerActor, x.peerKnown = true, a.Actor, l.internVersion(a.Batch.Known)
		if err := l.MergeRows(x.peer, a.Rows); err != nil {
			return nil, nil, err
		}
		if a.MissedDeletes {
			x.MissedDeletes = true
			l.records.Scan(func(name string, h *record) bool {
				if slices.ContainsFunc(h.Siblings, func(s Sibling) bool {
					return ActorName(s.Dot.Actor) == ActorName(l.actor) && !x.peerKnown.Covers(s.Dot)
				}) {
					x.UnsyncedNames = append(x.UnsyncedNames, name)
				}
				return true
			})
		}
		if a.RootDigest != l.Digest(TreeNode{}) {
			x.pendingNodes = append(x.pendingNodes, TreeNode{})
		}
	}
	x.awaitingResponse, x.request = false, ExchangeRequest{}
	for i, sums := range a.ChildDigests {
		children := ask.Nodes[i].Children()
		if len(sums) != len(children) {
			x.pendingNodes = append(x.pendingNodes, ask.Nodes[i])
			return nil, nil, &InvalidDataError{x.peer, "digests of another range"}
		}
		for j, c := range children {
			if l.Digest(c) == sums[j] {
				continue
			}
			if c.Level < DigestTreeDepth {
				x.pendingNodes = append(x.pendingNodes, c)
			} else {
				x.pendingBuckets = append(x.pendingBuckets, c.Index)
				x.DifferingBuckets++
			}
		}
	}
	var errs []error
	rest := a.Batch
	rest.Known = x.peerKnown.Join(a.Batch.Known)
	unders, err := l.batchContexts(x.peer, rest)
	if err != nil {
		return nil, nil, err
	}
	for i, w := range ask.WantedBuckets {
		if i >= len(a.BucketStates) || a.BucketStates[i].Index != w.Index {
			x.pendingBuckets = append(x.pendingBuckets, w.Index)
			continue
		}
		n := a.BucketStates[i].EntryCount
		if n < 0 || n > len(rest.Entries) || len(rest.ContextIndexes) != len(rest.Entries) {
			errs = append(errs, &InvalidDataError{x.peer, "fewer entries than it says"})
			break
		}
		part := Batch{Entries: rest.Entries[:n:n], ContextIndexes: rest.ContextIndexes[:n:n]}
		rest.Entries, rest.ContextIndexes = rest.Entries[n:], rest.ContextIndexes[n:]
		did, miss, err := x.applyBucket(w, a.BucketStates[i], part, unders)
		changed, lacks = append(changed, did...), append(lacks, miss...)
		if err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		x.failed = true
		return changed, lacks, errors.Join(errs[:min(len(errs), maxReportedErrors)]...)
	}
	if x.IsComplete() {
		l.known, l.baseContextStale = l.known.Join(x.peerKnown), true
		l.settleIncarnationEnds()
	}
	return changed, lacks, nil
}

// applyBucket takes in the other's state of a applyBucket: with what it knew as the exchange began, a name that it does not hold is
// one whose changes up to there are superseded.
func (x *Exchange) applyBucket(w BucketDigest, s BucketState, b Batch, unders []batchContext) (changed, lacks []string, err error) {
	l := x.replica
	same := l.Digest(TreeNode{Level: DigestTreeDepth, Index: w.Index}) == x.requestedDigests[w.Index]
	theirs := map[uint64]bool{}
	for _, sum := range w.EntryDigests {
		theirs[sum] = true
	}
	if !s.HasMore {
		sent := map[string]bool{}
		for _, e := range b.Entries {
			sent[e.Name] = true
		}
		for _, sum := range s.MissingDigests {
			delete(theirs, sum)
			for _, h := range l.tree.records[w.Index] {
				if h.digest == sum && !sent[h.Name] {
					b.Entries, b.ContextIndexes = append(b.Entries, Entry{Name: h.Name}), append(b.ContextIndexes, 0)
				}
			}
		}
	}
	for _, e := range b.Entries {
		if bucketOf(e.Name) != w.Index {
			return nil, nil, &InvalidDataError{x.peer, "a name in another's place"}
		}
		theirs[e.computeDigest()] = true
	}
	changed, err = l.mergeEntries(x.peer, b.Entries, b.ContextIndexes, unders)
	if err != nil {
		return changed, nil, err
	}
	if s.HasMore || !same {
		// What was changed here meanwhile was not in the question, so that the answer does not speak of it.
		x.pendingBuckets = append(x.pendingBuckets, w.Index)
		return changed, nil, nil
	}
	for _, h := range l.tree.records[w.Index] {
		if !theirs[h.digest] {
			lacks = append(lacks, h.Name)
		}
	}
	return changed, lacks, nil
}

// ID is the number of the exchange.
func (x *Exchange) ID() uint64 { return x.id }

// HasStarted tells whether the other has answered.
func (x *Exchange) HasStarted() bool { return x.started }
