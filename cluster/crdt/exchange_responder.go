package crdt

import "slices"

// HandleRequest answers a request of an exchange; from is the instance that sent it.
func (m *Map) HandleRequest(from string, request ExchangeRequest) (ExchangeResponse, error) {
	if !request.isValid() {
		return ExchangeResponse{}, &InvalidDataError{From: from, Reason: "an exchange request has an invalid actor or is too long"}
	}
	response := ExchangeResponse{ExchangeID: request.ExchangeID, RequestSeq: request.RequestSeq, Actor: m.actor}
	name := ActorInstance(request.Actor)
	if m.isSuperseded(request.Actor) {
		response.EndedBefore = max(m.incarnationEnds[name].Before, m.known.EndedBefore(name))
		return response, nil
	}
	if request.First {
		response.MissedDeletes, response.Batch.Known = m.absentMembers[name], m.known
		response.RootDigest, response.Rows = m.Digest(TreeNode{}), m.RowsSince(request.RowVersions, TargetMessageBytes)
	}
	for _, node := range request.Nodes {
		if !node.isValid() || node.Level >= DigestTreeDepth {
			return ExchangeResponse{}, &InvalidDataError{From: from, Reason: "a requested node has no children or is not in the digest tree"}
		}
		response.ChildDigests = append(response.ChildDigests, m.childDigests(node))
	}
	m.addBucketStates(&response, request.WantedBuckets)
	return response, nil
}

func (m *Map) childDigests(node TreeNode) []uint64 {
	children := node.Children()
	digests := make([]uint64, len(children))
	for i, child := range children {
		digests[i] = m.Digest(child)
	}
	return digests
}

const (
	bucketStateOverheadBytes = 8 // approximate size of an encoded bucket state without its lists
	digestBytes              = 9 // approximate size of an encoded digest
)

// addBucketStates adds the states of the wanted buckets until the message is full.
func (m *Map) addBucketStates(response *ExchangeResponse, wanted []BucketDigest) {
	if len(wanted) == 0 {
		return
	}
	builder := batchBuilder{Batch: response.Batch}
	builder.Known = m.known
	room := TargetMessageBytes - m.known.encodedSize()
	for _, bucket := range wanted {
		state := m.addBucketState(&builder, bucket, &room)
		response.BucketStates = append(response.BucketStates, state)
		if state.HasMore || room <= 0 {
			break
		}
	}
	response.Batch = builder.Batch
}

// addBucketState adds the entries of a bucket that the initiator does not hold, and subtracts their size from room. The
// first entry of a message is added whatever its size.
func (m *Map) addBucketState(builder *batchBuilder, wanted BucketDigest, room *int) BucketState {
	state := BucketState{Index: wanted.Index, MissingDigests: slices.Clone(wanted.EntryDigests)}
	for _, held := range m.tree.records[wanted.Index] {
		if i := slices.Index(state.MissingDigests, held.digest); i >= 0 {
			state.MissingDigests = slices.Delete(state.MissingDigests, i, i+1)
			continue
		}
		if *room < held.encodedSize() && len(builder.Entries) > 0 {
			state.HasMore = true
			break
		}
		*room -= builder.add(held)
		state.EntryCount++
	}
	*room -= bucketStateOverheadBytes + digestBytes*len(state.MissingDigests)
	return state
}
