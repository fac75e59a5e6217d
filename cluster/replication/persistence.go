package replication

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/internal/scheduler"
)

// Storage keeps records by bucket and key; package store implements it.
type Storage interface {
	// Put applies all changes in one transaction and returns once they are on disk.
	Put(ctx context.Context, bucket string, puts map[string][]byte, deletes []string) error
	// Load calls visit for each record of a bucket, until it returns an error.
	Load(bucket string, visit func(key string, value []byte) error) error
}

// StoreBucket is the bucket of this package.
const StoreBucket = "share"

// Keys in the bucket.
const (
	entryKeyPrefix = "e/"    // followed by the name: a crdt.Entry
	knownKey       = "known" // the known version
)

const (
	persistInterval     = 20 * time.Millisecond  // time over which changes are collected for one transaction
	minPersistBackoff   = 200 * time.Millisecond // wait after a failed transaction; doubles with each further failure
	maxPersistBackoff   = 10 * time.Second
	maxTransactionBytes = 32 << 20 // the store holds a transaction in memory
)

// WaitPersisted waits until all changes made so far are on disk. Without a storage it waits only until it is known that
// there is none.
func (r *Replicator) WaitPersisted(ctx context.Context) error {
	select {
	case <-r.restored:
	case <-ctx.Done():
		return &NotPersistedError{ctx.Err()}
	}
	r.mu.Lock()
	wanted := r.changeCount
	r.mu.Unlock()
	for {
		transactionDone, lastErr, done := r.persistProgress(wanted)
		if done {
			return nil
		}
		select {
		case <-transactionDone:
		case <-ctx.Done():
			return &NotPersistedError{errors.Join(ctx.Err(), lastErr)}
		case <-r.ctx.Done():
			return &NotPersistedError{r.ctx.Err()}
		}
	}
}

// persistProgress reports whether as many changes as wanted are on disk, or there is no storage. It also returns the
// channel that is closed with the next successful transaction, and the error of the last transaction.
func (r *Replicator) persistProgress(wanted uint64) (transactionDone <-chan struct{}, lastErr error, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.transactionDone, r.persistError, r.storage == nil || r.persistedCount >= wanted
}

// persistLoop is the job that writes changes to the storage, until ctx ends.
func (r *Replicator) persistLoop(ctx context.Context, _ *scheduler.Allowance) error {
	select {
	case <-r.restored:
	case <-ctx.Done():
		return nil
	}
	if r.storage == nil {
		return nil
	}
	backoff := minPersistBackoff
	for {
		select {
		case <-r.persistSignal:
		case <-ctx.Done():
			return nil
		}
		pause := persistInterval
		if err := r.persistOnce(ctx); err != nil {
			if ctx.Err() == nil {
				r.logFailure(eventStore, "instance", r.options.InstanceName, &NotPersistedError{err})
			}
			pause, backoff = backoff, min(2*backoff, maxPersistBackoff)
			notify(r.persistSignal)
		} else {
			backoff = minPersistBackoff
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
}

// transaction is one write to the storage.
type transaction struct {
	names   []string // names whose state it writes or deletes
	puts    map[string][]byte
	deletes []string
	// complete is set if the transaction contains all changes. Only then does it write the known version too, which must
	// not cover more than the entries on disk.
	complete     bool
	known        crdt.Version
	knownChanged bool
	changeCount  uint64 // number of changes on disk after it, if it is complete
}

// persistOnce writes the changes made so far, as many as fit one transaction.
func (r *Replicator) persistOnce(ctx context.Context) error {
	tx, err := r.beginTransaction()
	if err != nil {
		return err
	}
	if !tx.complete {
		// Once an entry is deleted, only the known version shows that it was superseded, so both are written together.
		tx.deletes = nil
	} else if tx.knownChanged {
		value, err := cbor.Marshal(tx.known)
		if err != nil {
			return err
		}
		tx.puts[knownKey] = value
	}
	if len(tx.puts) > 0 || len(tx.deletes) > 0 {
		err = r.storage.Put(ctx, StoreBucket, tx.puts, tx.deletes)
	}
	r.endTransaction(tx, err)
	return err
}

// beginTransaction collects the changed names, as many as fit one transaction.
func (r *Replicator) beginTransaction() (transaction, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.state.KnownVersion()
	tx := transaction{
		puts: map[string][]byte{}, complete: true, known: known, knownChanged: !slices.Equal(known, r.persistedKnown), changeCount: r.changeCount,
	}
	for name := range r.dirty {
		tx.names = append(tx.names, name)
	}
	clear(r.dirty)
	bytes := 0
	var failed error
	for i, name := range tx.names {
		entry, ok := r.state.StorableEntry(name)
		if !ok {
			tx.deletes = append(tx.deletes, entryKeyPrefix+name)
			continue
		}
		value, err := cbor.Marshal(entry)
		if err != nil {
			failed = err
			continue
		}
		tx.puts[entryKeyPrefix+name] = value
		if bytes += len(value) + len(name); bytes > maxTransactionBytes && i+1 < len(tx.names) {
			r.markDirty(tx.names[i+1:])
			tx.complete, tx.names = false, tx.names[:i+1]
			notify(r.persistSignal)
			break
		}
	}
	return tx, failed
}

// endTransaction records the outcome of a transaction. Names that it did not write are marked dirty again.
func (r *Replicator) endTransaction(tx transaction, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.persistError = err
	if err != nil {
		r.markDirty(tx.names)
		return
	}
	if tx.complete {
		r.persistedKnown, r.persistedCount = tx.known, max(r.persistedCount, tx.changeCount)
	} else {
		r.markDirty(slices.DeleteFunc(tx.names, func(name string) bool {
			_, written := tx.puts[entryKeyPrefix+name]
			return written
		}))
	}
	close(r.transactionDone)
	r.transactionDone = make(chan struct{})
}

// markDirty marks names as changed since the last transaction. r.mu is held.
func (r *Replicator) markDirty(names []string) {
	for _, name := range names {
		r.dirty[name] = true
	}
}
