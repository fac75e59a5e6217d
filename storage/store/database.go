package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"

	bolt "go.etcd.io/bbolt"
)

const (
	replacementSuffix = ".new" // of a file that is written beside the store and then renamed to its path

	// The file may grow to fileSizeFactor times Options.MaxBytes plus fileSizeExtra bytes: pages may be half full, and a
	// transaction writes new copies of the pages it changes before the old ones become free.
	fileSizeFactor = 4
	fileSizeExtra  = 1 << 20

	minCompactionSize  = 1 << 20 // bytes; a smaller file is not compacted
	compactionFactor   = 4       // Open compacts a file that is this many times larger than its used pages
	compactionTxnBytes = 1 << 20 // bytes copied in one transaction of a compaction
)

func (s *Store) boltOptions() *bolt.Options {
	return &bolt.Options{
		Timeout:      s.options.LockTimeout,
		MaxSize:      int(fileSizeFactor*s.options.MaxBytes + fileSizeExtra),
		NoStatistics: true,
	}
}

func (s *Store) openDatabase() error {
	return catchPageFaults(s.path, func() error {
		db, err := bolt.Open(s.path, fileMode, s.boltOptions())
		if err == nil {
			s.db = db
		}
		return err
	})
}

// createEmpty creates a store without values at the store's path.
func (s *Store) createEmpty() error {
	return s.replaceFile(func(db *bolt.DB) error {
		return db.Update(func(tx *bolt.Tx) error {
			metadata, err := tx.CreateBucket([]byte(metadataBucket))
			if err != nil {
				return err
			}
			return putState(metadata, &stateRecord{Format: currentFormat, MinReader: currentFormat})
		})
	})
}

// compact copies the values into a new file, which replaces the current one. No other call may use the store meanwhile.
// After a failure s.db is nil if the current file has been closed.
func (s *Store) compact() error {
	copyValues := func(db *bolt.DB) error { return bolt.Compact(db, s.db, compactionTxnBytes) }
	if err := s.replaceFile(copyValues); err != nil {
		return err
	}
	err := catchPageFaults(s.path, s.db.Close)
	s.db = nil
	if err != nil {
		return err
	}
	return s.openDatabase()
}

// replaceFile creates a database beside the store, calls fill to write it, syncs it and renames it to the store's path.
// If the process is killed before the rename, the file at the store's path is unchanged.
func (s *Store) replaceFile(fill func(db *bolt.DB) error) error {
	replacement := s.path + replacementSuffix
	db, err := bolt.Open(replacement, fileMode, s.boltOptions())
	if err != nil {
		return err
	}
	err = catchPageFaults(s.path, func() error { return fill(db) })
	if err := errors.Join(err, db.Sync(), db.Close()); err != nil {
		_ = os.Remove(replacement) // if this fails, the next Open removes it; the error to report is the one above
		return err
	}
	if err := os.Rename(replacement, s.path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(s.path))
}

// syncFolder makes a rename in the folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// catchPageFaults calls do, which reads or writes mapped pages, and returns a *CorruptedError if a page turns out to be
// damaged while the database is in use: bbolt panics on a page that it cannot decode, and a mapped page that the system
// cannot read is a memory fault, which is converted into a panic here.
func catchPageFaults(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = &CorruptedError{path, fmt.Sprint("found while in use: ", cause)}
		}
	}()
	return do()
}
