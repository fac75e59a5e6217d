package crdt

import "github.com/cespare/xxhash/v2"

// The digest tree: the hash of a name selects one of 65,536 buckets. 16 buckets share a parent, 64 of the parents share a
// node of the next level, and 64 of those nodes share the root. The digest of a node is the wrapping sum of its
// children's digests, so that a change costs four additions. Names are distributed by hash and not by range, so that
// names with a common prefix are not concentrated in one part of the tree.
const (
	// DigestTreeDepth is the number of levels below the root; the nodes of the lowest level are the buckets.
	DigestTreeDepth = 3
	bucketCount     = 1 << 16
	bucketHashShift = 64 - 16 // the top 16 bits of a name's hash are the index of its bucket
)

var (
	levelWidths  = [DigestTreeDepth + 1]int{1, 64, 64 * 64, bucketCount} // number of nodes on each level
	levelFanouts = [DigestTreeDepth]int{64, 64, 16}                      // number of children of a node on each level
)

// TreeNode is a node of the digest tree: Level 0 is the root, level DigestTreeDepth a bucket.
type TreeNode struct {
	_     struct{} `cbor:",toarray"`
	Level uint8
	Index uint16
}

func (n TreeNode) isValid() bool {
	return int(n.Level) <= DigestTreeDepth && int(n.Index) < levelWidths[n.Level]
}

func bucketNode(bucket uint16) TreeNode { return TreeNode{Level: DigestTreeDepth, Index: bucket} }

// Children returns the children of a node, none for a bucket.
func (n TreeNode) Children() []TreeNode {
	if n.Level >= DigestTreeDepth {
		return nil
	}
	fanout := levelFanouts[n.Level]
	children := make([]TreeNode, fanout)
	for i := range children {
		children[i] = TreeNode{Level: n.Level + 1, Index: uint16(int(n.Index)*fanout + i)}
	}
	return children
}

// Digest returns the digest of the siblings of all names below a node: equal states have equal digests.
func (m *Map) Digest(node TreeNode) uint64 { return m.tree.digests[node.Level][node.Index] }

// digestTree stores only the nodes whose digest is not 0.
type digestTree struct {
	digests [DigestTreeDepth + 1]map[uint16]uint64
	records map[uint16][]*record // by bucket, in no particular order
}

func newDigestTree() digestTree {
	tree := digestTree{records: map[uint16][]*record{}}
	for level := range tree.digests {
		tree.digests[level] = map[uint16]uint64{}
	}
	return tree
}

func bucketOf(name string) uint16 { return uint16(xxhash.Sum64String(name) >> bucketHashShift) }

// addDigest adds a digest to those of a bucket and of all nodes above it.
func (t *digestTree) addDigest(bucket uint16, digest uint64) {
	index := int(bucket)
	for level := DigestTreeDepth; level >= 0; level-- {
		if sum := t.digests[level][uint16(index)] + digest; sum != 0 {
			t.digests[level][uint16(index)] = sum
		} else {
			delete(t.digests[level], uint16(index))
		}
		if level > 0 {
			index /= levelFanouts[level-1]
		}
	}
}

func (t *digestTree) insert(inserted *record) {
	if inserted.digest == 0 {
		return
	}
	t.addDigest(inserted.bucket, inserted.digest)
	t.records[inserted.bucket] = append(t.records[inserted.bucket], inserted)
}

func (t *digestTree) remove(removed *record) {
	if removed.digest == 0 {
		return
	}
	t.addDigest(removed.bucket, -removed.digest)
	bucket := t.records[removed.bucket]
	for i := range bucket {
		if bucket[i] == removed {
			last := len(bucket) - 1
			bucket[i] = bucket[last]
			bucket[last] = nil
			bucket = bucket[:last]
			break
		}
	}
	if len(bucket) == 0 {
		delete(t.records, removed.bucket)
	} else {
		t.records[removed.bucket] = bucket
	}
}
