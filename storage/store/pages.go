package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"

	"github.com/cespare/xxhash/v2"
)

// The form of a file of bbolt, format 2, as far as a look needs it.
const (
	boltMagic  = 0xED0CDAED
	boltFormat = 2
	pageHead   = 16 // bytes: id, flags, count, overflow
	pageItem   = 16 // bytes of an element of a leaf or branch
	metaAt     = 16 // byte of a head page where its meta begins
	metaSum    = 56 // bytes of a meta that its checksum is over
	branchPage = 1
	leafPage   = 2
	freePage   = 16
	bucketItem = 1  // flag of a leaf's element that is a bucket
	bucketHead = 16 // bytes before an inline page: root and sequence
	pageLeast  = 1 << 10
	pageMost   = 1 << 16
	depthMost  = 32 // of a tree: pages of two entries each would fill any disk by then
	freeMany   = 0xFFFF
)

var order = binary.NativeEndian

// look is one reading of a file, before the library maps it: a page that is not what it should be ends the library by
// a panic of a goroutine of its own, an endless walk, or a fault of the machine, none of which can be caught there.
type look struct {
	in       io.ReaderAt
	size     int64 // of the file
	pageSize uint64
	pages    uint64 // that are in use or were
	free     map[uint64]bool
	seen     map[uint64]bool
	rewound  bool

	head *head
	sum  uint64 // of all records
	n    uint64
	all  uint64 // bytes of them and their keys
}

// whole looks at all of a file, and returns what it holds. Errors are *Damaged, *UnrecognizedFileError, *Newer and the reader's.
func whole(path string, in io.ReaderAt, size int64) (l *look, err error) {
	l = &look{in: in, size: size, free: map[uint64]bool{}, seen: map[uint64]bool{}}
	damaged := func(format string, v ...any) (*look, error) {
		return l, &CorruptedError{path, fmt.Sprintf(format, v...)}
	}
	root, freelist, found := l.meta()
	if !found {
		if l.looksLikeOne() {
			return damaged("no head is whole")
		}
		return l, &UnrecognizedFileError{path, "it has no head of one"}
	}
	if int64(l.pages) > size/int64(l.pageSize) {
		return damaged("%d pages of %d bytes do not fit its %d bytes", l.pages, l.pageSize, size)
	}
	if err := l.freelist(freelist); err != nil {
		return damaged("list of free pages: %v", err)
	}
	if err := l.tree(root, nil, nil, 0, nil); err != nil {
		return damaged("%v", err)
	}
	switch {
	case l.head == nil:
		return damaged("the record of its state is missing")
	case l.head.Least > format:
		return l, &NewerFormatError{path, l.head.Least, format}
	case l.head.Sum != l.sum || l.head.Records != l.n || l.head.Bytes != l.all:
		return damaged("%d records are there, sum %x; written were %d, sum %x", l.n, l.sum, l.head.Records, l.head.Sum)
	}
	return l, nil
}

// meta finds the newest head that is whole.
func (l *look) meta() (root, freelist uint64, found bool) {
	var newest uint64
	good := 0
	take := func(at int64) bool {
		m := make([]byte, metaAt+metaSum+8)
		if n, _ := l.in.ReadAt(m, at); n < len(m) {
			return false
		}
		m = m[metaAt:]
		h := fnv.New64a()
		h.Write(m[:metaSum])
		size := uint64(order.Uint32(m[8:]))
		if order.Uint32(m) != boltMagic || order.Uint32(m[4:]) != boltFormat || order.Uint64(m[metaSum:]) != h.Sum64() ||
			size < pageLeast || size > pageMost || at != 0 && uint64(at) != size {
			return false
		}
		good++
		if tx := order.Uint64(m[48:]); !found || tx > newest {
			newest, found = tx, true
			l.pageSize, root, freelist, l.pages = size, order.Uint64(m[16:]), order.Uint64(m[32:]), order.Uint64(m[40:])
		}
		return true
	}
	take(0)
	for size := int64(pageLeast); size <= pageMost; size *= 2 {
		if take(size) {
			break
		}
	}
	l.rewound = found && good < 2
	return root, freelist, found
}

// looksLikeOne tells whether a file without a whole head was a store: the library's mark stands at the place of either,
// or it is a beginning of a store too short for one.
func (l *look) looksLikeOne() bool {
	for at := int64(0); at <= pageMost; at = max(pageLeast, 2*at) {
		var m [metaAt + 8]byte
		n, _ := l.in.ReadAt(m[:], at)
		if n == len(m) && (order.Uint32(m[metaAt:]) == boltMagic || order.Uint32(m[metaAt+4:]) == boltFormat && order.Uint16(m[8:]) == 4) {
			return true
		}
		if at == 0 && n < len(m) {
			return n == 0 || bytes.Equal(m[:min(n, 8)], make([]byte, min(n, 8)))
		}
	}
	return false
}

// page reads a page with what overflows it, once: a second way to one is a fault.
func (l *look) page(id uint64) (body []byte, flags uint16, count int, err error) {
	if id < 2 || id >= l.pages {
		return nil, 0, 0, fmt.Errorf("page %d is not from 2 to %d", id, l.pages)
	}
	body = make([]byte, l.pageSize)
	if _, err := l.in.ReadAt(body, int64(id*l.pageSize)); err != nil {
		return nil, 0, 0, err
	}
	if own := order.Uint64(body); own != id {
		return nil, 0, 0, fmt.Errorf("page %d calls itself %d", id, own)
	}
	over := uint64(order.Uint32(body[12:]))
	if over >= l.pages-id {
		return nil, 0, 0, fmt.Errorf("page %d goes on for %d", id, over)
	}
	for p := id; p <= id+over; p++ {
		if l.seen[p] || l.free[p] {
			return nil, 0, 0, fmt.Errorf("page %d is used twice", p)
		}
		l.seen[p] = true
	}
	if over > 0 {
		more := make([]byte, over*l.pageSize)
		if _, err := l.in.ReadAt(more, int64((id+1)*l.pageSize)); err != nil {
			return nil, 0, 0, err
		}
		body = append(body, more...)
	}
	return body, order.Uint16(body[8:]), int(order.Uint16(body[10:])), nil
}

func (l *look) freelist(id uint64) error {
	body, flags, count, err := l.page(id)
	if err != nil {
		return err
	}
	at := pageHead
	if count == freeMany {
		count, at = int(order.Uint64(body[at:])), at+8
	}
	if flags != freePage || count < 0 || count > (len(body)-at)/8 {
		return fmt.Errorf("flags %x, %d pages", flags, count)
	}
	for ; count > 0; count, at = count-1, at+8 {
		p := order.Uint64(body[at:])
		if p < 2 || p >= l.pages || l.free[p] || l.seen[p] {
			return fmt.Errorf("page %d cannot be free", p)
		}
		l.free[p] = true
	}
	return nil
}

// tree walks one bucket's pages; all keys have to rise and lie from low to below high. bucket is nil for the root.
func (l *look) tree(id uint64, low, high []byte, depth int, bucket []byte) error {
	if depth > depthMost {
		return fmt.Errorf("a tree is deeper than %d", depthMost)
	}
	body, flags, count, err := l.page(id)
	if err != nil {
		return err
	}
	switch flags {
	case leafPage:
		return l.leaf(body, count, low, high, bucket)
	case branchPage:
	default:
		return fmt.Errorf("page %d has flags %x", id, flags)
	}
	if count == 0 || count > (len(body)-pageHead)/pageItem {
		return fmt.Errorf("page %d has %d branches", id, count)
	}
	type branch struct {
		key []byte
		id  uint64
	}
	var all []branch
	for i := range count {
		at := pageHead + i*pageItem
		key, err := cut(body, at, uint64(order.Uint32(body[at:])), uint64(order.Uint32(body[at+4:])))
		if err == nil && (i > 0 && bytes.Compare(key, all[i-1].key) <= 0 || !within(key, low, high)) {
			err = fmt.Errorf("key %.40q is out of its order", key)
		}
		if err != nil {
			return fmt.Errorf("page %d: %w", id, err)
		}
		all = append(all, branch{key, order.Uint64(body[at+8:])})
	}
	for i, b := range all {
		below := high
		if i+1 < len(all) {
			below = all[i+1].key
		}
		if err := l.tree(b.id, b.key, below, depth+1, bucket); err != nil {
			return err
		}
	}
	return nil
}

// cut is a piece of a page, from a place that counts from its element.
func cut(body []byte, at int, from, n uint64) ([]byte, error) {
	from += uint64(at)
	if from < pageHead || from > uint64(len(body)) || n > uint64(len(body))-from {
		return nil, fmt.Errorf("an entry of %d bytes lies outside", n)
	}
	return body[from : from+n : from+n], nil
}

func within(key, low, high []byte) bool {
	return bytes.Compare(key, low) >= 0 && (high == nil || bytes.Compare(key, high) < 0)
}

func (l *look) leaf(body []byte, count int, low, high, bucket []byte) error {
	if count > (len(body)-pageHead)/pageItem {
		return fmt.Errorf("a page of %d bytes has %d entries", len(body), count)
	}
	var last []byte
	for i := range count {
		at := pageHead + i*pageItem
		flags, pos, size := order.Uint32(body[at:]), uint64(order.Uint32(body[at+4:])), uint64(order.Uint32(body[at+8:]))
		key, err := cut(body, at, pos, size)
		if err != nil {
			return err
		}
		value, err := cut(body, at, pos+size, uint64(order.Uint32(body[at+12:])))
		if err != nil {
			return err
		}
		if len(key) == 0 || i > 0 && bytes.Compare(key, last) <= 0 || !within(key, low, high) {
			return fmt.Errorf("key %.40q is out of its order", key)
		}
		last = key
		switch {
		case bucket == nil && flags == bucketItem:
			err = l.bucket(key, value)
		case bucket != nil && flags == 0:
			err = l.record(bucket, key, value)
		default:
			err = fmt.Errorf("key %.40q has flags %x", key, flags)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// bucket looks at a bucket: a tree of its own, or one small page in the value itself.
func (l *look) bucket(name, value []byte) error {
	if len(value) < bucketHead {
		return fmt.Errorf("bucket %.40q has %d bytes", name, len(value))
	}
	if root := order.Uint64(value); root != 0 {
		return l.tree(root, nil, nil, 0, name)
	}
	page := value[bucketHead:]
	if len(page) < pageHead || order.Uint64(page) != 0 || order.Uint16(page[8:]) != leafPage || order.Uint32(page[12:]) != 0 {
		return fmt.Errorf("bucket %.40q has no page of its own", name)
	}
	return l.leaf(page, int(order.Uint16(page[10:])), nil, nil, name)
}

// record looks at one value and adds it to the sums.
func (l *look) record(bucket, key, record []byte) error {
	value, sum, err := opened(bucket, key, record)
	if err != nil {
		return err
	}
	if string(bucket) == ownBucket {
		if string(key) != headKey {
			return fmt.Errorf("key %.40q is not the program's", key)
		}
		l.head, err = readHead(value)
		return err
	}
	l.sum += sum
	l.n++
	l.all += uint64(len(key) + len(record))
	return nil
}

// sealed puts a value's checksum before it. It is over bucket and key too: a value that strayed is found.
func sealed(bucket, key string, value []byte) (record []byte, sum uint64) {
	sum = checksum([]byte(bucket), []byte(key), value)
	record = binary.LittleEndian.AppendUint64(make([]byte, 0, sumBytes+len(value)), sum)
	return append(record, value...), sum
}

// opened is a record's value and checksum.
func opened(bucket, key, record []byte) (value []byte, sum uint64, err error) {
	if len(record) < sumBytes {
		return nil, 0, fmt.Errorf("the record of key %.40q has %d bytes", key, len(record))
	}
	value, sum = record[sumBytes:], binary.LittleEndian.Uint64(record)
	if sum != checksum(bucket, key, value) {
		return nil, 0, fmt.Errorf("the checksum of key %.40q in %.40q does not fit", key, bucket)
	}
	return value, sum, nil
}

func checksum(bucket, key, value []byte) uint64 {
	d := xxhash.New()
	var n [16]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(bucket)))
	binary.LittleEndian.PutUint64(n[8:], uint64(len(key)))
	d.Write(n[:])
	d.Write(bucket)
	d.Write(key)
	d.Write(value)
	return d.Sum64()
}
