package store

import (
	"slices"

	bolt "go.etcd.io/bbolt"
)

// Load calls visit with each key and value of a bucket, in the order of keys, and stops at the first error of visit,
// which it returns. The values are copies from a single read transaction, which has ended by then, so visit may call the
// store.
func (s *Store) Load(bucketName string, visit func(key string, value []byte) error) error {
	type entry struct {
		key   string
		value []byte
	}
	var entries []entry
	err := s.view(bucketName, func(bucket *bolt.Bucket) error {
		return bucket.ForEach(func(key, record []byte) error {
			value, _, err := decodeRecord([]byte(bucketName), key, record)
			if err != nil {
				return &CorruptedError{s.path, err.Error()}
			}
			entries = append(entries, entry{string(key), slices.Clone(value)})
			return nil
		})
	})
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := visit(entry.key, entry.value); err != nil {
			return err
		}
	}
	return nil
}

// Get returns a copy of one value; found is false if the bucket does not have the key.
func (s *Store) Get(bucketName, key string) (value []byte, found bool, err error) {
	err = s.view(bucketName, func(bucket *bolt.Bucket) error {
		record := bucket.Get([]byte(key))
		if record == nil {
			return nil
		}
		stored, _, err := decodeRecord([]byte(bucketName), []byte(key), record)
		if err != nil {
			return &CorruptedError{s.path, err.Error()}
		}
		value, found = slices.Clone(stored), true
		return nil
	})
	return value, found, err
}

// view calls read in a read-only transaction, unless the bucket does not exist or is the store's own.
func (s *Store) view(bucketName string, read func(bucket *bolt.Bucket) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case s.fatalErr != nil:
		return s.fatalErr
	case s.db == nil:
		return classifyError(s.path, s.writeErr)
	}
	return classifyError(s.path, catchPageFaults(s.path, func() error {
		return s.db.View(func(tx *bolt.Tx) error {
			bucket := tx.Bucket([]byte(bucketName))
			if bucket == nil || bucketName == metadataBucket {
				return nil
			}
			return read(bucket)
		})
	}))
}
