// Package store keeps small values on disk so that they survive kill -9: buckets of keys in one file of bbolt, written
// in whole transactions that are synced before they are told as written. Open looks at every page, key and value before
// the file is used; what is damaged is put aside under another name and told, never overwritten, and what cannot be
// used is refused by an error type of its own. All waits are the caller's: only background jobs call this package.
// docs/store.md tells the options weighed.
package store

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gofrs/flock"
	bolt "go.etcd.io/bbolt"

	"chalkring/internal/advice"
)

const (
	format              = 1                     // that this program writes, and the newest it reads
	ownBucket           = "chalkring"           // the program's own bucket: what the file is, and the sum of all in it
	headKey             = "state"               // its one key
	sumBytes            = 8                     // bytes of a checksum before each value
	headBytes           = 40                    // of the state's record
	lockWait            = time.Second           // for another process to let go: one that ends does so at once
	lockLook            = 20 * time.Millisecond // between two tries for that
	asideMost           = 8                     // stores kept under other names: a fault that comes again does not fill the disk
	MaxBytes            = 128 << 20             // bytes of all keys and values: 100,000 entries of a kilobyte
	fileTimes           = 4                     // times that bound, and a little, that the file may grow to: pages half full, and
	fileMore            = 1 << 20               // room for what is rewritten
	MaxKeyBytes         = 1 << 10               // bytes of a key or of a bucket's name
	MaxValueBytes       = 16 << 20              // bytes of a value: a list of 20,000 hosts is 4 MB
	MaxTransactionBytes = 64 << 20              // bytes of one transaction: it is held in memory twice
	slackLeast          = 1 << 20               // bytes of a file under which unused ones are not worth a rewriting
	slackTimes          = 4                     // times the bytes in use at which a start writes the file anew
	compactStep         = 1 << 20               // bytes of one transaction of a rewriting
	fileMode            = 0o600                 // it may hold what tenants searched for
	folderMode          = 0o700
)

// Options are how a store is opened.
type Options struct {
	OnRecovery  func(err error)         // is told what was put aside or read as an older state; may be nil, must not wait
	Recreate    bool                    // puts what is there aside and begins with an empty store
	MaxBytes    int64                   // of all keys and values, 0 for MaxBytes
	LockTimeout time.Duration           // for another process, 0 for a second
	BeforeWrite func(step string) error // for tests: runs before a transaction is written; may wait or fail
}

// Store is an open store. Its calls are safe from any goroutine, and wait for the disk.
type Store struct {
	path string
	o    Options
	lock *flock.Flock
	turn chan struct{} // one writer at a time

	mu     sync.RWMutex // held for reading by all that use db, for writing by what changes it
	db     *bolt.DB
	broken error // why nothing can be done any more
	doubt  error // the last write's failure: the file is looked at again before the next
}

// head is the record of a store's state: the sum of all its records' checksums shows a page that is older than the rest.
type head struct {
	Format, Least uint32 // written by; needed to read it
	Records, Sum  uint64
	Bytes         uint64 // of keys and values with their checksums
	Writes        uint64
}

func (h *head) bytes() []byte {
	b := make([]byte, 0, headBytes)
	b = binary.LittleEndian.AppendUint32(b, h.Format)
	b = binary.LittleEndian.AppendUint32(b, h.Least)
	b = binary.LittleEndian.AppendUint64(b, h.Records)
	b = binary.LittleEndian.AppendUint64(b, h.Sum)
	b = binary.LittleEndian.AppendUint64(b, h.Bytes)
	return binary.LittleEndian.AppendUint64(b, h.Writes)
}

// readHead takes what it knows; a later format may have more behind it.
func readHead(b []byte) (*head, error) {
	if len(b) < headBytes {
		return nil, fmt.Errorf("the record of its state has %d bytes", len(b))
	}
	return &head{
		binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:]), binary.LittleEndian.Uint64(b[8:]),
		binary.LittleEndian.Uint64(b[16:]), binary.LittleEndian.Uint64(b[24:]), binary.LittleEndian.Uint64(b[32:]),
	}, nil
}

// Open takes the store at path, alone, or makes it with its folder. Errors are of this package's types: *Busy,
// *Newer, *UnrecognizedFileError, *Crowded, *ReadOnlyError, *Full, *Failed. A damaged one is put aside (*Aside goes to Told).
func Open(path string, o Options) (s *Store, err error) {
	if o.MaxBytes <= 0 {
		o.MaxBytes = MaxBytes
	}
	if o.LockTimeout <= 0 {
		o.LockTimeout = lockWait
	}
	if o.OnRecovery == nil {
		o.OnRecovery = func(error) {}
	}
	s = &Store{path: path, o: o, turn: make(chan struct{}, 1)}
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return nil, s.told(err)
	}
	s.lock = flock.New(path+".lock", flock.SetPermissions(fileMode))
	ctx, cancel := context.WithTimeout(context.Background(), o.LockTimeout)
	defer cancel()
	if held, err := s.lock.TryLockContext(ctx, lockLook); !held {
		s.lock.Close()
		if errors.Is(err, context.DeadlineExceeded) {
			return nil, &LockedError{path}
		}
		return nil, s.told(err)
	}
	if err := s.begin(); err != nil {
		s.lock.Close()
		return nil, s.told(err)
	}
	return s, nil
}

// begin looks at what is there, puts it aside where it has to be, and opens it.
func (s *Store) begin() error {
	if err := os.Remove(s.path + ".new"); err != nil && !errors.Is(err, fs.ErrNotExist) { // it was never in force
		return err
	}
	l, err := s.look()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		err = s.make()
	case advice.HasType[*CorruptedError](err):
		err = s.aside(err)
	case err == nil && s.o.Recreate:
		err = s.aside(errAnew)
	case err == nil && l.rewound:
		s.o.OnRecovery(&RolledBackError{s.path})
	}
	if err != nil {
		return err
	}
	if err := s.openFile(); err != nil {
		return err
	}
	if l != nil && l.head != nil && l.size > slackLeast && l.size > slackTimes*int64(l.pageSize)*int64(len(l.seen)) {
		if err := s.rewrite(); s.db == nil {
			return err
		} // one that failed has saved no room and changed nothing, as on a full disk
	}
	return nil
}

// look reads the file as it is. An empty file is one that nothing was told as written to.
func (s *Store) look() (*look, error) {
	info, err := os.Stat(s.path)
	switch {
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, &UnrecognizedFileError{s.path, "it is no file"}
	case info.Size() == 0:
		return nil, &CorruptedError{s.path, "it is empty"}
	}
	f, err := os.Open(s.path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return whole(s.path, f, info.Size())
}

// aside gives what is there another name that nothing has, and makes an empty store in its place.
func (s *Store) aside(why error) error {
	for n := 1; n <= asideMost; n++ {
		to := fmt.Sprintf("%s.aside-%d", s.path, n)
		if _, err := os.Lstat(to); !errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err := os.Rename(s.path, to); err != nil {
			return err
		}
		s.o.OnRecovery(&QuarantinedError{s.path, to, why})
		return s.make()
	}
	return &QuarantineFullError{s.path, why}
}

// make writes an empty store beside its place and then gives it its name: a start that is killed leaves no half of one.
func (s *Store) make() error {
	return s.beside(func(db *bolt.DB) error {
		return db.Update(func(tx *bolt.Tx) error {
			b, err := tx.CreateBucket([]byte(ownBucket))
			if err != nil {
				return err
			}
			record, _ := sealed(ownBucket, headKey, (&head{Format: format, Least: format}).bytes())
			return b.Put([]byte(headKey), record)
		})
	})
}

func (s *Store) beside(fill func(db *bolt.DB) error) error {
	at := s.path + ".new"
	db, err := bolt.Open(at, fileMode, s.library())
	if err != nil {
		return err
	}
	err = guarded(s.path, func() error { return fill(db) })
	if err := errors.Join(err, db.Sync(), db.Close()); err != nil {
		os.Remove(at)
		return err
	}
	if err := os.Rename(at, s.path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(s.path))
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func (s *Store) library() *bolt.Options {
	return &bolt.Options{Timeout: s.o.LockTimeout, MaxSize: int(fileTimes*s.o.MaxBytes + fileMore), NoStatistics: true}
}

func (s *Store) openFile() error {
	return guarded(s.path, func() error {
		db, err := bolt.Open(s.path, fileMode, s.library())
		if err == nil {
			s.db = db
		}
		return err
	})
}

// rewrite copies what is there into a new file and takes that. It has the store for itself.
func (s *Store) rewrite() error {
	if err := s.beside(func(db *bolt.DB) error { return bolt.Compact(db, s.db, compactStep) }); err != nil {
		return err
	}
	err := guarded(s.path, s.db.Close)
	if s.db = nil; err != nil {
		return err
	}
	return s.openFile()
}

// guarded runs what touches mapped pages. Guards against pages that go bad under the library while it runs: it panics,
// and a page that cannot be read is a fault of the machine, which is made a panic here.
func guarded(path string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if v := recover(); v != nil {
			err = &CorruptedError{path, fmt.Sprint("while it was in use: ", v)}
		}
	}()
	return do()
}

// Put writes and deletes in one transaction, and returns nil once that is on the disk: all of it or, with an error,
// nothing. After *Slow (ctx ended first) it may come to be either. What is handed over must not be changed afterwards.
func (s *Store) Put(ctx context.Context, bucket string, puts map[string][]byte, deletes []string) error {
	if err := s.fits(bucket, puts, deletes); err != nil {
		return err
	}
	if len(puts)+len(deletes) == 0 {
		return nil
	}
	select {
	case s.turn <- struct{}{}:
	case <-ctx.Done():
		return &WriteTimeoutError{s.path, ctx.Err()}
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-s.turn }()
		done <- s.told(s.write(bucket, puts, deletes))
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &WriteTimeoutError{s.path, ctx.Err()}
	}
}

func (s *Store) fits(bucket string, puts map[string][]byte, deletes []string) error {
	most := func(what string, n, most int) error {
		if n > most {
			return &SizeLimitError{s.path, fmt.Sprintf("%s of %d bytes, %d at the most", what, n, most)}
		}
		return nil
	}
	if bucket == "" || bucket == ownBucket {
		return &SizeLimitError{s.path, fmt.Sprintf("no bucket can be called %q", bucket)}
	}
	err, all := most("a bucket's name", len(bucket), MaxKeyBytes), 0
	for _, key := range slices.Concat(deletes, slices.Collect(maps.Keys(puts))) {
		if all += len(key) + len(puts[key]); key == "" {
			return &SizeLimitError{s.path, "an empty key"}
		}
		err = errors.Join(err, most("a key", len(key), MaxKeyBytes), most("a value", len(puts[key]), MaxValueBytes))
	}
	return errors.Join(err, most("a write", all, MaxTransactionBytes))
}

// write is one transaction. After one that failed the file is closed and looked at before the next: what the library
// holds in memory may differ from what came to the disk.
func (s *Store) write(bucket string, puts map[string][]byte, deletes []string) error {
	if err := s.sure(); err != nil {
		return err
	}
	s.mu.RLock()
	err := guarded(s.path, func() error {
		return s.db.Update(func(tx *bolt.Tx) error { return s.change(tx, bucket, puts, deletes) })
	})
	s.mu.RUnlock()
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.doubt = err; advice.HasType[*CorruptedError](err) {
			s.broken = err // the library's locks may be held for good
		}
	}
	return err
}

// sure brings a store that a write has failed on back to what is on the disk.
func (s *Store) sure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil || s.doubt == nil {
		return s.broken
	}
	var err error
	if s.db != nil {
		err = guarded(s.path, s.db.Close)
		s.db = nil
	}
	if err == nil {
		_, err = s.look()
	}
	if err == nil {
		err = s.openFile()
	}
	switch {
	case advice.HasType[*CorruptedError](err):
		s.broken = err
		return err
	case err != nil:
		return err
	}
	if is(s.doubt, syscall.EIO) { // pages that the system holds may never have come to the disk
		if err := s.rewrite(); err != nil {
			return err
		}
	}
	s.doubt = nil
	return nil
}

func (s *Store) change(tx *bolt.Tx, bucket string, puts map[string][]byte, deletes []string) error {
	own := tx.Bucket([]byte(ownBucket))
	value, _, err := opened([]byte(ownBucket), []byte(headKey), own.Get([]byte(headKey)))
	if err != nil {
		return &CorruptedError{s.path, err.Error()}
	}
	h, err := readHead(value)
	if err != nil {
		return &CorruptedError{s.path, err.Error()}
	}
	b, err := tx.CreateBucketIfNotExists([]byte(bucket))
	if err != nil {
		return err
	}
	drop := func(key []byte) {
		if old := b.Get(key); len(old) >= sumBytes {
			h.Sum -= binary.LittleEndian.Uint64(old)
			h.Records--
			h.Bytes -= uint64(len(key) + len(old))
		}
	}
	for _, key := range deletes {
		drop([]byte(key))
		if err := b.Delete([]byte(key)); err != nil {
			return err
		}
	}
	for _, key := range slices.Sorted(maps.Keys(puts)) {
		record, sum := sealed(bucket, key, puts[key])
		drop([]byte(key))
		if err := b.Put([]byte(key), record); err != nil {
			return err
		}
		h.Sum += sum
		h.Records++
		h.Bytes += uint64(len(key) + len(record))
	}
	if len(puts) > 0 && h.Bytes > uint64(s.o.MaxBytes) {
		return &SizeLimitError{s.path, fmt.Sprintf("the write would bring it to %d bytes, %d at the most", h.Bytes, s.o.MaxBytes)}
	}
	h.Writes++
	h.Format, h.Least = format, format
	record, _ := sealed(ownBucket, headKey, h.bytes())
	if err := own.Put([]byte(headKey), record); err != nil {
		return err
	}
	if s.o.BeforeWrite != nil {
		return s.o.BeforeWrite("write")
	}
	return nil
}

// Load calls f with each key of a bucket in order, at one moment's state, and ends at f's first error. The values are
// f's own; f may call the store.
func (s *Store) Load(bucket string, f func(key string, value []byte) error) error {
	type record struct {
		key   string
		value []byte
	}
	var all []record
	err := s.read(func(tx *bolt.Tx) error {
		b := tx.Bucket([]byte(bucket))
		if b == nil || bucket == ownBucket {
			return nil
		}
		return b.ForEach(func(k, v []byte) error {
			value, _, err := opened([]byte(bucket), k, v)
			if err != nil {
				return &CorruptedError{s.path, err.Error()}
			}
			all = append(all, record{string(k), slices.Clone(value)})
			return nil
		})
	})
	for i := 0; err == nil && i < len(all); i++ {
		err = f(all[i].key, all[i].value)
	}
	return err
}

// Get is one value; found is false where there is none.
func (s *Store) Get(bucket, key string) (value []byte, found bool, err error) {
	err = s.read(func(tx *bolt.Tx) error {
		if b := tx.Bucket([]byte(bucket)); b != nil && bucket != ownBucket {
			if v := b.Get([]byte(key)); v != nil {
				own, _, err := opened([]byte(bucket), []byte(key), v)
				if err != nil {
					return &CorruptedError{s.path, err.Error()}
				}
				value, found = slices.Clone(own), true
			}
		}
		return nil
	})
	return value, found, err
}

func (s *Store) read(do func(tx *bolt.Tx) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case s.broken != nil:
		return s.broken
	case s.db == nil:
		return s.told(s.doubt)
	}
	return s.told(guarded(s.path, func() error { return s.db.View(do) }))
}

// Close waits for the write that is on its way, until ctx ends, and lets go of the file. A write that is still on its
// way then goes on; the lock is free with its end or the process's.
func (s *Store) Close(ctx context.Context) error {
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done():
		return &WriteTimeoutError{s.path, ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.broken, errClosed) {
		return nil
	}
	var err error
	if s.db != nil && s.broken == nil {
		err = guarded(s.path, s.db.Close)
	}
	s.broken, s.db = &IOError{s.path, errClosed}, nil
	return s.told(errors.Join(err, s.lock.Close()))
}
