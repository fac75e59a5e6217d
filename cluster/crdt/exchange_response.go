package crdt

import "slices"

// ApplyResponse merges a response into the replica. It returns the names that changed, and the names whose state the peer
// lacks. A response to a request other than the outstanding one is ignored. The error is ErrPeerRestarted, a
// SupersededError, or the errors of what could not be merged.
func (x *Exchange) ApplyResponse(response ExchangeResponse) (changed, lacking []string, err error) {
	if !x.awaitingResponse || response.ExchangeID != x.id || response.RequestSeq != x.request.RequestSeq {
		return nil, nil, nil
	}
	if err := x.checkResponse(response); err != nil {
		return nil, nil, err
	}
	request := x.request
	if request.First {
		if err := x.applyFirstResponse(response); err != nil {
			return nil, nil, err
		}
	}
	x.awaitingResponse, x.request = false, ExchangeRequest{}
	if err := x.compareChildren(request.Nodes, response.ChildDigests); err != nil {
		return nil, nil, err
	}
	changed, lacking, refused, err := x.applyBuckets(request.WantedBuckets, response)
	if err != nil {
		return nil, nil, err
	}
	if len(refused) > 0 {
		x.failed = true
		return changed, lacking, joinErrors(refused)
	}
	if x.IsComplete() {
		x.replica.raiseKnown(x.peerKnown)
		x.replica.settleIncarnationEnds()
	}
	return changed, lacking, nil
}

// checkResponse refuses a response that does not match the outstanding request or the peer's incarnation.
func (x *Exchange) checkResponse(response ExchangeResponse) error {
	if !isValidActor(response.Actor) || ActorInstance(response.Actor) != x.peer || !response.Batch.Known.isValid() {
		return &InvalidDataError{From: x.peer, Reason: "an exchange response has an invalid actor or known version"}
	}
	if response.EndedBefore > ActorIncarnation(x.replica.actor) {
		return &SupersededError{From: x.peer, EndedBefore: response.EndedBefore}
	}
	if x.started && response.Actor != x.peerActor || x.replica.isSuperseded(response.Actor) {
		// A peer that restarted with an older disk may no longer hold what its known version covered.
		return ErrPeerRestarted
	}
	wantedBuckets, buckets := len(x.request.WantedBuckets), len(response.BucketStates)
	fitsRequest := len(response.ChildDigests) == len(x.request.Nodes) && buckets <= wantedBuckets && (wantedBuckets == 0 || buckets > 0)
	if !fitsRequest {
		return &InvalidDataError{From: x.peer, Reason: "an exchange response has digests for fewer or more nodes than requested, no bucket states although some were requested, or too many"}
	}
	return nil
}

// applyFirstResponse stores the peer's known version at the beginning of the exchange, and merges its rows.
func (x *Exchange) applyFirstResponse(response ExchangeResponse) error {
	replica := x.replica
	if err := replica.checkSuperseded(x.peer, response.Batch.Known); err != nil {
		return err
	}
	x.started, x.peerActor, x.peerKnown = true, response.Actor, replica.internVersion(response.Batch.Known)
	if err := replica.MergeRows(x.peer, response.Rows); err != nil {
		return err
	}
	if response.MissedDeletes {
		x.MissedDeletes = true
		x.UnsyncedNames = append(x.UnsyncedNames, replica.namesWithOwnChangesBeyond(x.peerKnown)...)
	}
	if response.RootDigest != replica.Digest(TreeNode{}) {
		x.pendingNodes = append(x.pendingNodes, TreeNode{})
	}
	return nil
}

// namesWithOwnChangesBeyond returns the names that have siblings written by any incarnation of this instance and not
// covered by a version.
func (m *Map) namesWithOwnChangesBeyond(version Version) (names []string) {
	ownName := ActorInstance(m.actor)
	m.records.Scan(func(name string, held *record) bool {
		if slices.ContainsFunc(held.Siblings, func(s Sibling) bool {
			return ActorInstance(s.Dot.Actor) == ownName && !version.Covers(s.Dot)
		}) {
			names = append(names, name)
		}
		return true
	})
	return names
}

// compareChildren compares the peer's digests of the nodes' children with the replica's, and adds those that differ to
// the pending nodes and buckets.
func (x *Exchange) compareChildren(nodes []TreeNode, childDigests [][]uint64) error {
	for i, digests := range childDigests {
		children := nodes[i].Children()
		if len(digests) != len(children) {
			x.pendingNodes = append(x.pendingNodes, nodes[i])
			return &InvalidDataError{From: x.peer, Reason: "an exchange response has more or fewer digests for a node than the node has children"}
		}
		for j, child := range children {
			if x.replica.Digest(child) == digests[j] {
				continue
			}
			if child.Level < DigestTreeDepth {
				x.pendingNodes = append(x.pendingNodes, child)
			} else {
				x.pendingBuckets = append(x.pendingBuckets, child.Index)
				x.DifferingBuckets++
			}
		}
	}
	return nil
}

// applyBuckets merges the states of the requested buckets; buckets that are not in the response become pending again.
// refused has the errors of single buckets and entries, err concerns the whole response.
func (x *Exchange) applyBuckets(wanted []BucketDigest, response ExchangeResponse) (changed, lacking []string, refused []error, err error) {
	rest := response.Batch
	rest.Known = x.peerKnown.Join(rest.Known)
	contexts, err := x.replica.batchContexts(x.peer, rest)
	if err != nil {
		return nil, nil, nil, err
	}
	for i, bucket := range wanted {
		if i >= len(response.BucketStates) || response.BucketStates[i].Index != bucket.Index {
			x.pendingBuckets = append(x.pendingBuckets, bucket.Index)
			continue
		}
		state := response.BucketStates[i]
		n := state.EntryCount
		if n < 0 || n > len(rest.Entries) || len(rest.ContextIndexes) != len(rest.Entries) {
			refused = append(refused, &InvalidDataError{From: x.peer, Reason: "the entries of an exchange response do not match its bucket states"})
			break
		}
		part := Batch{Entries: rest.Entries[:n:n], ContextIndexes: rest.ContextIndexes[:n:n]}
		rest.Entries, rest.ContextIndexes = rest.Entries[n:], rest.ContextIndexes[n:]
		bucketChanged, bucketLacking, err := x.applyBucket(bucket, state, part, contexts)
		changed, lacking = append(changed, bucketChanged...), append(lacking, bucketLacking...)
		if err != nil {
			refused = append(refused, err)
		}
	}
	return changed, lacking, refused, nil
}

// applyBucket merges the peer's state of a bucket. A name that the peer does not hold is merged as an entry without
// siblings: with the peer's known version as its context, it supersedes the changes that the peer had seen.
func (x *Exchange) applyBucket(
	requested BucketDigest, state BucketState, part Batch, contexts []batchContext,
) (changed, lacking []string, err error) {
	replica, bucket := x.replica, requested.Index
	unchangedSinceRequest := replica.Digest(bucketNode(bucket)) == x.requestedDigests[bucket]
	peerDigests := map[uint64]bool{}
	for _, digest := range requested.EntryDigests {
		peerDigests[digest] = true
	}
	if !state.HasMore {
		for _, digest := range state.MissingDigests {
			delete(peerDigests, digest)
		}
		for _, name := range x.missingNames(state, part.Entries) {
			part.Entries, part.ContextIndexes = append(part.Entries, Entry{Name: name}), append(part.ContextIndexes, 0)
		}
	}
	for _, entry := range part.Entries {
		if bucketOf(entry.Name) != bucket {
			return nil, nil, &InvalidDataError{From: x.peer, Reason: "an exchange response has an entry in another bucket than the one its name belongs to"}
		}
		peerDigests[entry.computeDigest()] = true
	}
	changed, err = replica.mergeEntries(x.peer, part.Entries, part.ContextIndexes, contexts)
	if err != nil {
		return changed, nil, err
	}
	if state.HasMore || !unchangedSinceRequest {
		// A change made here since the request was not in it, so the response does not show whether the peer has it.
		x.pendingBuckets = append(x.pendingBuckets, bucket)
		return changed, nil, nil
	}
	for _, held := range replica.tree.records[bucket] {
		if !peerDigests[held.digest] {
			lacking = append(lacking, held.Name)
		}
	}
	return changed, lacking, nil
}

// missingNames returns the names held here that the peer does not hold: it lacks their digest and sent no other state of
// them.
func (x *Exchange) missingNames(state BucketState, received []Entry) (names []string) {
	for _, digest := range state.MissingDigests {
		for _, held := range x.replica.tree.records[state.Index] {
			if held.digest != digest {
				continue
			}
			if !slices.ContainsFunc(received, func(e Entry) bool { return e.Name == held.Name }) {
				names = append(names, held.Name)
			}
		}
	}
	return names
}
