package crdt

import "github.com/cespare/xxhash/v2"

// The digest tree: names fall by their hash into 65,536 buckets; 16 buckets have a parent, 64 of those the next, and 64 of
// those the root. The digest of a node is the wrapping sum of those below it, so that a change costs four additions. Names
// are spread by hash and not by range, so that no prefix fills one part of the tree.
const (
	// DigestTreeDepth is the number of levels below the root; nodes of that level are the buckets.
	DigestTreeDepth = 3
	bucketCount     = 1 << 16
	bucketHashShift = 64 - 16 // a bucket is the top 16 bits of a name's hash
)

var (
	levelWidths  = [DigestTreeDepth + 1]int{1, 64, 64 * 64, bucketCount} // nodes of each level
	levelFanouts = [DigestTreeDepth]int{64, 64, 16}                      // children of a node of each level
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

// Children returns the nodes below this one, none for a bucket.
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

// Digest stands for the siblings of all names below a node: equal states have equal digests.
func (m *Map) Digest(node TreeNode) uint64 { return m.tree.digests[node.Level][node.Index] }

// digestTree keeps only the nodes whose digest is not 0.
type digestTree struct {
	digests [DigestTreeDepth + 1]map[uint16]uint64
	records map[uint16][]*record // by bucket, in no order
}

func newDigestTree() digestTree {
	tree := digestTree{records: map[uint16][]*record{}}
	for level := range tree.digests {
		tree.digests[level] = map[uint16]uint64{}
	}
	return tree
}

func bucketOf(name string) uint16 { return uint16(xxhash.Sum64String(name) >> bucketHashShift) }

// addDigest adds to the digests of a bucket and of all nodes above it.
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
