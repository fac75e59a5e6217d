package store

import (
	"errors"
	"fmt"
	"io"
)

// inspection checks a whole file with plain reads before bbolt maps it. bbolt trusts the pages that it maps: a damaged
// page causes a panic in one of bbolt's own goroutines, an endless walk or a memory fault, none of which can be caught.
// The inspection reads each page once and checks its number, its entries, the order of its keys and each value's
// checksum.
type inspection struct {
	file      io.ReaderAt
	fileSize  int64
	pageSize  uint64
	pageCount uint64 // pages that are in use or were in use earlier
	freePages map[uint64]bool
	usedPages map[uint64]bool

	rolledBack bool         // only one of the two meta pages is valid, perhaps the older one
	state      *stateRecord // as stored
	counted    stateRecord  // Records, Checksum and Bytes of the records that were read
}

// inspect checks the file and returns what it found, even if it returns an error as well. The errors are *CorruptedError,
// *UnrecognizedFileError and *NewerFormatError.
func inspect(path string, file io.ReaderAt, fileSize int64) (*inspection, error) {
	in := &inspection{file: file, fileSize: fileSize, freePages: map[uint64]bool{}, usedPages: map[uint64]bool{}}
	meta, found := in.newestMeta()
	if !found {
		if in.resemblesStore() {
			return in, &CorruptedError{path, "neither of its two meta pages is valid"}
		}
		return in, &UnrecognizedFileError{path, "it has no meta page"}
	}
	in.pageSize, in.pageCount = meta.pageSize, meta.pageCount
	if err := in.checkPages(meta); err != nil {
		return in, &CorruptedError{path, err.Error()}
	}
	if in.state.MinReader > currentFormat {
		return in, &NewerFormatError{path, in.state.MinReader, currentFormat}
	}
	if err := in.checkTotals(); err != nil {
		return in, &CorruptedError{path, err.Error()}
	}
	return in, nil
}

// checkPages walks all pages that the meta page refers to, and reads the state record.
func (in *inspection) checkPages(meta metaPage) error {
	if int64(in.pageCount) > in.fileSize/int64(in.pageSize) {
		return fmt.Errorf("its meta page counts %d pages of %d bytes, but the file has %d bytes", in.pageCount, in.pageSize, in.fileSize)
	}
	if err := in.readFreelist(meta.freelist); err != nil {
		return fmt.Errorf("list of free pages: %w", err)
	}
	if err := in.walkTree(meta.root, keyRange{}, 0, nil); err != nil {
		return err
	}
	if in.state == nil {
		return errors.New("the state record is missing")
	}
	return nil
}

func (in *inspection) checkTotals() error {
	state, counted := in.state, &in.counted
	if state.Checksum == counted.Checksum && state.Records == counted.Records && state.Bytes == counted.Bytes {
		return nil
	}
	return fmt.Errorf("it has %d records with checksum %x; its state record counts %d with checksum %x",
		counted.Records, counted.Checksum, state.Records, state.Checksum)
}

// checkRecord checks one key and value of a bucket and adds them to the totals.
func (in *inspection) checkRecord(bucket, key, record []byte) error {
	value, sum, err := decodeRecord(bucket, key, record)
	if err != nil {
		return err
	}
	if string(bucket) != metadataBucket {
		in.counted.add(string(key), record, sum)
		return nil
	}
	if string(key) != stateKey {
		return fmt.Errorf("unknown key %.40q in bucket %q", key, metadataBucket)
	}
	in.state, err = decodeState(value)
	return err
}

// needsCompaction reports whether most of the file is unused. It is false for a file that was just created, for which
// the inspection is nil or incomplete.
func (in *inspection) needsCompaction() bool {
	if in == nil || in.state == nil {
		return false
	}
	usedBytes := int64(in.pageSize) * int64(len(in.usedPages))
	return in.fileSize > minCompactionSize && in.fileSize > compactionFactor*usedBytes
}
