package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

// The layout of a bbolt file, version 2: the parts that the inspection needs. Integers are in the machine's byte order.
const (
	boltMagic   = 0xED0CDAED
	boltVersion = 2

	minPageSize = 1 << 10 // bytes; a file has the page size of the system that created it
	maxPageSize = 1 << 16 // bytes

	metaPages         = 2  // pages 0 and 1, which transactions write alternately
	metaBytes         = 56 // the part of a meta page, after the page header, that its checksum covers
	metaChecksumBytes = 8  // length of that checksum, which follows

	pageHeaderBytes   = 16 // page number, flags, entry count, overflow
	pageEntryBytes    = 16 // header of an entry in a leaf or branch page
	pageNumberBytes   = 8  // an entry of the list of free pages
	bucketHeaderBytes = 16 // root page and sequence number, before a bucket's inline page

	// Flags of a page, which tell its kind.
	branchPageFlag   = 1
	leafPageFlag     = 2
	metaPageFlag     = 4
	freelistPageFlag = 16

	bucketEntryFlag = 1 // flag of a leaf page's entry that is a bucket

	// freelistCountFollows replaces the entry count of a free list that is too long for that field: the count is then its
	// first entry.
	freelistCountFollows = 0xFFFF
)

var byteOrder = binary.NativeEndian

// metaPage is a decoded meta page: the root of one state of the file.
type metaPage struct {
	pageSize      uint64
	root          uint64 // page number of the tree of buckets
	freelist      uint64 // page number of the list of free pages
	pageCount     uint64
	transactionID uint64 // the meta page with the higher one has the newer state
}

// pageHeader is at the start of each page.
type pageHeader struct {
	number   uint64
	flags    uint16
	count    int    // of entries
	overflow uint64 // further pages that belong to this one
}

func decodePageHeader(page []byte) pageHeader {
	return pageHeader{
		number:   byteOrder.Uint64(page),
		flags:    byteOrder.Uint16(page[8:]),
		count:    int(byteOrder.Uint16(page[10:])),
		overflow: uint64(byteOrder.Uint32(page[12:])),
	}
}

// newestMeta returns the newer of the valid meta pages. The first meta page is at the start of the file, the second
// after one page. The page size is not known yet, so the second is looked for at each possible size.
func (in *inspection) newestMeta() (newest metaPage, found bool) {
	validPages := 0
	if meta, ok := in.readMeta(0); ok {
		newest, found = meta, true
		validPages++
	}
	for offset := int64(minPageSize); offset <= maxPageSize; offset *= 2 {
		meta, ok := in.readMeta(offset)
		if !ok {
			continue
		}
		if !found || meta.transactionID > newest.transactionID {
			newest, found = meta, true
		}
		validPages++
		break
	}
	in.rolledBack = found && validPages < metaPages
	return newest, found
}

func (in *inspection) readMeta(offset int64) (meta metaPage, ok bool) {
	page := make([]byte, pageHeaderBytes+metaBytes+metaChecksumBytes)
	if n, _ := in.file.ReadAt(page, offset); n < len(page) {
		return metaPage{}, false
	}
	body := page[pageHeaderBytes:]
	digest := fnv.New64a()
	digest.Write(body[:metaBytes])
	meta = metaPage{
		pageSize:      uint64(byteOrder.Uint32(body[8:])),
		root:          byteOrder.Uint64(body[16:]),
		freelist:      byteOrder.Uint64(body[32:]),
		pageCount:     byteOrder.Uint64(body[40:]),
		transactionID: byteOrder.Uint64(body[48:]),
	}
	ok = byteOrder.Uint32(body) == boltMagic && byteOrder.Uint32(body[4:]) == boltVersion &&
		byteOrder.Uint64(body[metaBytes:]) == digest.Sum64() &&
		meta.pageSize >= minPageSize && meta.pageSize <= maxPageSize &&
		(offset == 0 || uint64(offset) == meta.pageSize)
	return meta, ok
}

// resemblesStore reports whether a file without a valid meta page seems to have been a store: bbolt's magic number or
// version is at the position of a meta page, or the file is too short for one and starts with zeros, as a store does.
func (in *inspection) resemblesStore() bool {
	for offset := int64(0); offset <= maxPageSize; offset = max(minPageSize, 2*offset) {
		var page [pageHeaderBytes + 8]byte
		n, _ := in.file.ReadAt(page[:], offset)
		if n == len(page) {
			magic, version := byteOrder.Uint32(page[pageHeaderBytes:]), byteOrder.Uint32(page[pageHeaderBytes+4:])
			if magic == boltMagic || version == boltVersion && decodePageHeader(page[:]).flags == metaPageFlag {
				return true
			}
		} else if offset == 0 {
			start := page[:min(n, 8)]
			return bytes.Equal(start, make([]byte, len(start)))
		}
	}
	return false
}

// readPage reads a page with its overflow pages. A page may be read only once: a second reference to it is an error.
func (in *inspection) readPage(number uint64) (page []byte, header pageHeader, err error) {
	if number < metaPages || number >= in.pageCount {
		return nil, header, fmt.Errorf("page %d is out of range: expected a page number from %d to below %d", number, metaPages, in.pageCount)
	}
	page = make([]byte, in.pageSize)
	if _, err := in.file.ReadAt(page, int64(number*in.pageSize)); err != nil {
		return nil, header, err
	}
	header = decodePageHeader(page)
	if header.number != number {
		return nil, header, fmt.Errorf("page %d has number %d in its header", number, header.number)
	}
	if header.overflow >= in.pageCount-number {
		return nil, header, fmt.Errorf("page %d has %d overflow pages, which are not all in the file", number, header.overflow)
	}
	for used := number; used <= number+header.overflow; used++ {
		if in.usedPages[used] || in.freePages[used] {
			return nil, header, fmt.Errorf("page %d is used twice, or is in use and also listed as free", used)
		}
		in.usedPages[used] = true
	}
	if header.overflow > 0 {
		overflow := make([]byte, header.overflow*in.pageSize)
		if _, err := in.file.ReadAt(overflow, int64((number+1)*in.pageSize)); err != nil {
			return nil, header, err
		}
		page = append(page, overflow...)
	}
	return page, header, nil
}

func (in *inspection) readFreelist(number uint64) error {
	page, header, err := in.readPage(number)
	if err != nil {
		return err
	}
	count, offset := header.count, pageHeaderBytes
	if count == freelistCountFollows {
		count = int(byteOrder.Uint64(page[offset:]))
		offset += pageNumberBytes
	}
	if header.flags != freelistPageFlag || count < 0 || count > (len(page)-offset)/pageNumberBytes {
		return fmt.Errorf("invalid page header: flags %x, %d entries", header.flags, count)
	}
	for ; count > 0; count, offset = count-1, offset+pageNumberBytes {
		free := byteOrder.Uint64(page[offset:])
		if free < metaPages || free >= in.pageCount || in.freePages[free] || in.usedPages[free] {
			return fmt.Errorf("page %d cannot be free: it is out of range, in use or listed twice", free)
		}
		in.freePages[free] = true
	}
	return nil
}
