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
	replacementSuffix = ".new" // of a file that is written beside the store and then takes its name

	// The file may grow to the limit of keys and values times fileSizeFactor, plus fileSizeExtra bytes: pages may be
	// half full, and a transaction writes the pages it changes anew before the old ones are free.
	fileSizeFactor = 4
	fileSizeExtra  = 1 << 20

	minCompactionSize  = 1 << 20 // bytes of a file below which its unused pages are not worth a compaction
	compactionFactor   = 4       // file size over bytes in use from which on Open compacts the file
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

// createEmpty puts a store without values at the store's path.
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

// compact copies the values into a new file, which replaces the present one. No other call may use the store meanwhile.
// After a failure s.db is nil if the present file has been closed.
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

// replaceFile has fill write a new database beside the store, syncs it and renames it to the store's path. A process
// that is killed meanwhile leaves the store's path as it was.
func (s *Store) replaceFile(fill func(db *bolt.DB) error) error {
	replacement := s.path + replacementSuffix
	db, err := bolt.Open(replacement, fileMode, s.boltOptions())
	if err != nil {
		return err
	}
	err = catchPageFaults(s.path, func() error { return fill(db) })
	if err := errors.Join(err, db.Sync(), db.Close()); err != nil {
		_ = os.Remove(replacement) // the next start removes it too; the error to report is the one above
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

// catchPageFaults runs what reads or writes mapped pages, and returns a *CorruptedError where pages go bad while the
// database is in use: bbolt panics on a page that it cannot make sense of, and a mapped page that the system cannot
// read is a memory fault, which is turned into a panic here.
func catchPageFaults(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = &CorruptedError{path, fmt.Sprint("while in use: ", cause)}
		}
	}()
	return do()
}
