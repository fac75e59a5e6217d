package store

import (
	"bytes"
	"fmt"
)

// maxTreeDepth limits the number of pages from a root to a leaf: with two entries per page, a deeper tree would fill any
// disk.
const maxTreeDepth = 32

// keyRange is the range of keys that a page may contain: low is included, high is excluded. An empty low or a nil high
// sets no limit.
type keyRange struct{ low, high []byte }

func (r keyRange) contains(key []byte) bool {
	return bytes.Compare(key, r.low) >= 0 && (r.high == nil || bytes.Compare(key, r.high) < 0)
}

// checkOrder checks that a key is in the range and, unless it is the first of its page, greater than the previous key.
func (r keyRange) checkOrder(key, previous []byte, first bool) error {
	if !first && bytes.Compare(key, previous) <= 0 || !r.contains(key) {
		return fmt.Errorf("key %.40q is out of order or outside of the page's key range", key)
	}
	return nil
}

// walkTree checks a page of a tree and all pages below it. bucket is nil in the tree of buckets.
func (in *inspection) walkTree(number uint64, keys keyRange, depth int, bucket []byte) error {
	if depth > maxTreeDepth {
		return fmt.Errorf("a tree is deeper than %d pages", maxTreeDepth)
	}
	page, header, err := in.readPage(number)
	if err != nil {
		return err
	}
	switch header.flags {
	case leafPageFlag:
		return in.checkLeaf(page, header.count, keys, bucket)
	case branchPageFlag:
		return in.walkBranch(page, header, keys, depth, bucket)
	}
	return fmt.Errorf("page %d has flags %x: it is neither a leaf nor a branch page", number, header.flags)
}

// branchEntry refers to a child page, which has no key below key.
type branchEntry struct {
	key   []byte
	child uint64
}

func (in *inspection) walkBranch(page []byte, header pageHeader, keys keyRange, depth int, bucket []byte) error {
	entries, err := decodeBranch(page, header, keys)
	if err != nil {
		return err
	}
	for i, entry := range entries {
		childKeys := keyRange{entry.key, keys.high}
		if i+1 < len(entries) {
			childKeys.high = entries[i+1].key
		}
		if err := in.walkTree(entry.child, childKeys, depth+1, bucket); err != nil {
			return err
		}
	}
	return nil
}

func decodeBranch(page []byte, header pageHeader, keys keyRange) ([]branchEntry, error) {
	if header.count == 0 || header.count > maxEntries(page) {
		return nil, fmt.Errorf("page %d cannot have %d branch entries", header.number, header.count)
	}
	var entries []branchEntry
	var previous []byte
	for i := range header.count {
		offset := pageHeaderBytes + i*pageEntryBytes
		keyOffset, keyLength := uint64(byteOrder.Uint32(page[offset:])), uint64(byteOrder.Uint32(page[offset+4:]))
		key, err := entryBytes(page, offset, keyOffset, keyLength)
		if err == nil {
			err = keys.checkOrder(key, previous, i == 0)
		}
		if err != nil {
			return nil, fmt.Errorf("page %d: %w", header.number, err)
		}
		entries = append(entries, branchEntry{key, byteOrder.Uint64(page[offset+8:])})
		previous = key
	}
	return entries, nil
}

// maxEntries returns how many entries would fit on a page if their keys and values were empty.
func maxEntries(page []byte) int { return (len(page) - pageHeaderBytes) / pageEntryBytes }

// entryBytes returns the key or value of an entry. offset counts from the entry's own position on the page.
func entryBytes(page []byte, entryOffset int, offset, length uint64) ([]byte, error) {
	offset += uint64(entryOffset)
	if offset < pageHeaderBytes || offset > uint64(len(page)) || length > uint64(len(page))-offset {
		return nil, fmt.Errorf("a key or value of %d bytes extends beyond its page", length)
	}
	return page[offset : offset+length : offset+length], nil
}

func (in *inspection) checkLeaf(page []byte, count int, keys keyRange, bucket []byte) error {
	if count > maxEntries(page) {
		return fmt.Errorf("a page of %d bytes cannot have %d entries", len(page), count)
	}
	var previous []byte
	for i := range count {
		offset := pageHeaderBytes + i*pageEntryBytes
		key, value, err := decodeLeafEntry(page, offset)
		if err != nil {
			return err
		}
		if len(key) == 0 {
			return fmt.Errorf("key %.40q is empty", key)
		}
		if err := keys.checkOrder(key, previous, i == 0); err != nil {
			return err
		}
		previous = key
		if err := in.checkLeafEntry(byteOrder.Uint32(page[offset:]), bucket, key, value); err != nil {
			return err
		}
	}
	return nil
}

func decodeLeafEntry(page []byte, entryOffset int) (key, value []byte, err error) {
	entry := page[entryOffset:]
	offset := uint64(byteOrder.Uint32(entry[4:]))
	keyLength := uint64(byteOrder.Uint32(entry[8:]))
	valueLength := uint64(byteOrder.Uint32(entry[12:]))
	if key, err = entryBytes(page, entryOffset, offset, keyLength); err != nil {
		return nil, nil, err
	}
	value, err = entryBytes(page, entryOffset, offset+keyLength, valueLength)
	return key, value, err
}

// checkLeafEntry checks an entry of a leaf page: a bucket in the tree of buckets, a record in the tree of a bucket. Buckets
// are not nested.
func (in *inspection) checkLeafEntry(flags uint32, bucket, key, value []byte) error {
	switch {
	case bucket == nil && flags == bucketEntryFlag:
		return in.checkBucket(key, value)
	case bucket != nil && flags == 0:
		return in.checkRecord(bucket, key, value)
	}
	return fmt.Errorf("key %.40q has unexpected flags %x", key, flags)
}

// checkBucket checks a bucket, whose value either refers to the root page of a tree or contains one small leaf page, the
// inline page.
func (in *inspection) checkBucket(name, value []byte) error {
	if len(value) < bucketHeaderBytes {
		return fmt.Errorf("bucket %.40q has %d bytes, too few for its header", name, len(value))
	}
	if root := byteOrder.Uint64(value); root != 0 {
		return in.walkTree(root, keyRange{}, 0, name)
	}
	page := value[bucketHeaderBytes:]
	if len(page) < pageHeaderBytes {
		return fmt.Errorf("bucket %.40q has neither a root page nor an inline page", name)
	}
	header := decodePageHeader(page)
	if header.number != 0 || header.flags != leafPageFlag || header.overflow != 0 {
		return fmt.Errorf("bucket %.40q has an invalid inline page", name)
	}
	return in.checkLeaf(page, header.count, keyRange{}, name)
}
