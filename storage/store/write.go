package store

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"syscall"

	bolt "go.etcd.io/bbolt"

	"chalkring/internal/advice"
)

// Put stores the values of puts and deletes the keys of deletes in one transaction, deletes first. It returns nil once
// the transaction is on the disk. After an error nothing has changed, except after a *WriteTimeoutError: ctx ended first,
// and the transaction may still be committed or fail. The caller must not change the arguments after the call.
func (s *Store) Put(ctx context.Context, bucket string, puts map[string][]byte, deletes []string) error {
	if err := s.checkLimits(bucket, puts, deletes); err != nil {
		return err
	}
	if len(puts)+len(deletes) == 0 {
		return nil
	}
	select {
	case s.writerSlot <- struct{}{}:
	case <-ctx.Done():
		return &WriteTimeoutError{s.path, ctx.Err()}
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-s.writerSlot }()
		done <- classifyError(s.path, s.write(bucket, puts, deletes))
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &WriteTimeoutError{s.path, ctx.Err()}
	}
}

// write runs one transaction; the caller holds the writer slot. It remembers a failure in s.writeErr, since what bbolt
// has in memory may then differ from what is on the disk.
func (s *Store) write(bucket string, puts map[string][]byte, deletes []string) error {
	if err := s.reopenAfterFailure(); err != nil {
		return err
	}
	s.mu.RLock()
	err := catchPageFaults(s.path, func() error {
		return s.db.Update(func(tx *bolt.Tx) error { return s.applyWrite(tx, bucket, puts, deletes) })
	})
	s.mu.RUnlock()
	if err == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeErr = err
	if advice.HasType[*CorruptedError](err) {
		s.fatalErr = err // bbolt panicked, and may never release its locks
	}
	return err
}

// reopenAfterFailure inspects and reopens the file after a failed write, so that memory agrees with the disk again.
func (s *Store) reopenAfterFailure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fatalErr != nil || s.writeErr == nil {
		return s.fatalErr
	}
	if err := s.inspectAndReopen(); err != nil {
		if advice.HasType[*CorruptedError](err) {
			s.fatalErr = err
		}
		return err
	}
	// After an I/O error the system's page cache may have pages that were never written to the disk and never will be.
	if isErrno(s.writeErr, syscall.EIO) {
		if err := s.compact(); err != nil {
			return err
		}
	}
	s.writeErr = nil
	return nil
}

func (s *Store) inspectAndReopen() error {
	if s.db != nil {
		err := catchPageFaults(s.path, s.db.Close)
		s.db = nil
		if err != nil {
			return err
		}
	}
	if _, err := s.inspectFile(); err != nil {
		return err
	}
	return s.openDatabase()
}

func (s *Store) applyWrite(tx *bolt.Tx, bucketName string, puts map[string][]byte, deletes []string) error {
	metadata := tx.Bucket([]byte(metadataBucket))
	state, err := getState(metadata)
	if err != nil {
		return &CorruptedError{s.path, err.Error()}
	}
	bucket, err := tx.CreateBucketIfNotExists([]byte(bucketName))
	if err != nil {
		return err
	}
	for _, key := range deletes {
		state.subtract(key, bucket.Get([]byte(key)))
		if err := bucket.Delete([]byte(key)); err != nil {
			return err
		}
	}
	for _, key := range slices.Sorted(maps.Keys(puts)) {
		record, sum := encodeRecord(bucketName, key, puts[key])
		state.subtract(key, bucket.Get([]byte(key)))
		if err := bucket.Put([]byte(key), record); err != nil {
			return err
		}
		state.add(key, record, sum)
	}
	if len(puts) > 0 { // a store over its limit still accepts deletes
		if err := s.checkMaxBytes(state.Bytes); err != nil {
			return err
		}
	}
	state.Writes++
	state.Format, state.MinReader = currentFormat, currentFormat
	if err := putState(metadata, state); err != nil {
		return err
	}
	if s.options.BeforeWrite != nil {
		return s.options.BeforeWrite("write")
	}
	return nil
}

// subtract removes a key's previous record from the totals. The record is empty if the key is new.
func (r *stateRecord) subtract(key string, record []byte) {
	if len(record) < checksumBytes {
		return
	}
	r.Checksum -= binary.LittleEndian.Uint64(record)
	r.Records--
	r.Bytes -= uint64(len(key) + len(record))
}

func (r *stateRecord) add(key string, record []byte, sum uint64) {
	r.Checksum += sum
	r.Records++
	r.Bytes += uint64(len(key) + len(record))
}
