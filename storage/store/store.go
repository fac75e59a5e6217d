// Package store keeps small values in one file on disk, so that they survive kill -9 and loss of power. The file is a
// bbolt database: buckets of keys, changed in transactions that are synced before Put returns.
//
// Open inspects every page, key and value before the file is used. A damaged file is quarantined: it is renamed, an
// empty store takes its place, and Options.OnRecovery is called. A file that cannot be used is refused with an error
// type of this package and is left unchanged. Every call may wait for the disk, so only background jobs use this
// package. docs/store.md compares the designs that were considered.
package store

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gofrs/flock"
	bolt "go.etcd.io/bbolt"
)

const (
	defaultLockTimeout = time.Second           // a process that is shutting down releases the lock well within it
	lockRetryInterval  = 20 * time.Millisecond // time between two attempts to take the lock
	fileMode           = 0o600                 // values may contain what tenants searched for
	folderMode         = 0o700
)

// Options configure how a store is opened. The zero value is ready to use.
type Options struct {
	// OnRecovery is called by Open with a *QuarantinedError or a *RolledBackError. It may be nil and must not block.
	OnRecovery func(err error)
	// Recreate quarantines an existing file, even an undamaged one, and starts with an empty store.
	Recreate bool
	// MaxBytes limits the total size of all keys and values; 0 stands for the constant MaxBytes.
	MaxBytes int64
	// LockTimeout is how long Open waits for another process to release the store; 0 stands for one second.
	LockTimeout time.Duration
	// BeforeWrite is for tests: it is called in each transaction before the commit, and may block or fail the transaction.
	BeforeWrite func(step string) error
}

func (o Options) withDefaults() Options {
	if o.MaxBytes <= 0 {
		o.MaxBytes = MaxBytes
	}
	if o.LockTimeout <= 0 {
		o.LockTimeout = defaultLockTimeout
	}
	if o.OnRecovery == nil {
		o.OnRecovery = func(error) {}
	}
	return o
}

// Store is an open store. Its methods may be called from any goroutine and wait for the disk.
type Store struct {
	path       string
	options    Options
	lock       *flock.Flock
	writerSlot chan struct{} // holds one element while a write is in progress

	mu       sync.RWMutex // read-locked while db is used, write-locked while the fields below change
	db       *bolt.DB     // nil after Close, or while a failed write has left the file closed
	fatalErr error        // once set, every further call fails with it
	writeErr error        // of the last write if it failed; the file is then inspected again before the next write
}

// Open opens the store at path for this process alone, and creates it and its folder if they are missing. A damaged
// file is quarantined. The errors are *LockedError, *NewerFormatError, *UnrecognizedFileError, *QuarantineFullError,
// *ReadOnlyError, *DiskFullError and *IOError.
func Open(path string, options Options) (*Store, error) {
	s := &Store{path: path, options: options.withDefaults(), writerSlot: make(chan struct{}, 1)}
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return nil, classifyError(path, err)
	}
	if err := s.acquireLock(); err != nil {
		return nil, err
	}
	if err := s.openFile(); err != nil {
		_ = s.lock.Close() // the error to report is the one above
		return nil, classifyError(path, err)
	}
	return s, nil
}

// acquireLock locks the lock file beside the store. The system releases the lock when the process ends, for any reason.
func (s *Store) acquireLock() error {
	s.lock = flock.New(s.path+".lock", flock.SetPermissions(fileMode))
	ctx, cancel := context.WithTimeout(context.Background(), s.options.LockTimeout)
	defer cancel()
	locked, err := s.lock.TryLockContext(ctx, lockRetryInterval)
	if locked {
		return nil
	}
	_ = s.lock.Close() // not locked: there is nothing to release
	if errors.Is(err, context.DeadlineExceeded) {
		return &LockedError{s.path}
	}
	return classifyError(s.path, err)
}

// Close waits until the write in progress has ended and then releases the file. If ctx ends first, it returns a
// *WriteTimeoutError: the store stays open, the write continues, and the lock is released by a later Close or by the end
// of the process.
func (s *Store) Close(ctx context.Context) error {
	select {
	case s.writerSlot <- struct{}{}:
		defer func() { <-s.writerSlot }()
	case <-ctx.Done():
		return &WriteTimeoutError{s.path, ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.fatalErr, errClosed) {
		return nil
	}
	var err error
	if s.db != nil && s.fatalErr == nil {
		err = catchPageFaults(s.path, s.db.Close)
	}
	s.fatalErr, s.db = &IOError{s.path, errClosed}, nil
	return classifyError(s.path, errors.Join(err, s.lock.Close()))
}
