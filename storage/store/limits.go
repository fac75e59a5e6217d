package store

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Limits of a store, in bytes. A write that exceeds one is refused with a *SizeLimitError.
const (
	MaxBytes            = 128 << 20 // all keys and values: room for 100,000 entries of a kilobyte
	MaxKeyBytes         = 1 << 10   // a key, or the name of a bucket
	MaxValueBytes       = 16 << 20  // a value: a list of 20,000 hosts is 4 MB
	MaxTransactionBytes = 64 << 20  // the keys and values of one transaction, which is in memory twice
)

// checkLimits checks a write against the limits that do not depend on what is already stored.
func (s *Store) checkLimits(bucket string, puts map[string][]byte, deletes []string) error {
	if bucket == "" || bucket == metadataBucket {
		return &SizeLimitError{s.path, fmt.Sprintf("%q cannot be used as the name of a bucket", bucket)}
	}
	err := s.checkLimit("the name of a bucket", len(bucket), MaxKeyBytes)
	totalBytes := 0
	for _, key := range slices.Concat(deletes, slices.Collect(maps.Keys(puts))) {
		if key == "" {
			return &SizeLimitError{s.path, "a key cannot be empty"}
		}
		totalBytes += len(key) + len(puts[key])
		err = errors.Join(err,
			s.checkLimit("a key", len(key), MaxKeyBytes),
			s.checkLimit("a value", len(puts[key]), MaxValueBytes))
	}
	return errors.Join(err, s.checkLimit("a write", totalBytes, MaxTransactionBytes))
}

func (s *Store) checkLimit(what string, size, limit int) error {
	if size <= limit {
		return nil
	}
	return &SizeLimitError{s.path, fmt.Sprintf("%s of %d bytes exceeds the limit of %d", what, size, limit)}
}

// checkMaxBytes checks the size of all keys and values that the store would have after a write.
func (s *Store) checkMaxBytes(totalBytes uint64) error {
	if totalBytes <= uint64(s.options.MaxBytes) {
		return nil
	}
	return &SizeLimitError{s.path, fmt.Sprintf("the write would bring the store's keys and values to %d bytes; the limit is %d", totalBytes, s.options.MaxBytes)}
}
