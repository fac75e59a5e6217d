package crdt

import "github.com/cespare/xxhash/v2"

// The tree of digests: names fall by their hash into 65,536 buckets; the sums of 16 buckets make a leaf's parent, 64 of
// those the next, and 64 of those the root. A sum is the wrapped sum of what is below, so that a change costs four
// additions. Names are spread by hash and not by range, so that no prefix makes one part of the tree deep.
const (
	DigestTreeDepth = 3 // below the root
	bucketCount     = 1 << 16
)

var (
	levelWidths  = [DigestTreeDepth + 1]int{1, 64, 64 * 64, bucketCount}
	levelFanouts = [DigestTreeDepth]int{64, 64, 16} // children of a node of that level
)

// TreeNode is a range of names: Level 0 is all of them, Level 3 a bucket.
type TreeNode struct {
	_     struct{} `cbor:",toarray"`
	Level uint8
	Index uint16
}

func (n TreeNode) isValid() bool {
	return int(n.Level) <= DigestTreeDepth && int(n.Index) < levelWidths[n.Level]
}

// Children are the ranges that make up this one.
func (n TreeNode) Children() []TreeNode {
	if n.Level >= DigestTreeDepth {
		return nil
	}
	f := levelFanouts[n.Level]
	out := make([]TreeNode, f)
	for i := range out {
		out[i] = TreeNode{Level: n.Level + 1, Index: uint16(int(n.Index)*f + i)}
	}
	return out
}

// Digest stands for the siblings of all names in a range: the same ones have the same digest.
func (l *Map) Digest(n TreeNode) uint64 { return l.tree.digests[n.Level][n.Index] }

type digestTree struct {
	digests [DigestTreeDepth + 1]map[uint16]uint64
	records map[uint16][]*record
}

func (t *digestTree) init() {
	for i := range t.digests {
		t.digests[i] = map[uint16]uint64{}
	}
	t.records = map[uint16][]*record{}
}

func bucketOf(name string) uint16 { return uint16(xxhash.Sum64String(name) >> 48) }

func (t *digestTree) addDigest(bucket uint16, sum uint64) {
	i := int(bucket)
	for level := DigestTreeDepth; level >= 0; level-- {
		if s := t.digests[level][uint16(i)] + sum; s != 0 {
			t.digests[level][uint16(i)] = s
		} else {
			delete(t.digests[level], uint16(i))
		}
		if level > 0 {
			i /= levelFanouts[level-1]
		}
	}
}

func (t *digestTree) insert(h *record) {
	if h.digest == 0 {
		return
	}
	t.addDigest(h.bucket, h.digest)
	t.records[h.bucket] = append(t.records[h.bucket], h)
}

func (t *digestTree) remove(h *record) {
	if h.digest == 0 {
		return
	}
	t.addDigest(h.bucket, -h.digest)
	list := t.records[h.bucket]
	for i := range list {
		if list[i] == h {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			list = list[:len(list)-1]
			break
		}
	}
	if len(list) == 0 {
		delete(t.records, h.bucket)
	} else {
		t.records[h.bucket] = list
	}
}
