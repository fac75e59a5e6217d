package replication

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/internal/scheduler"
)

// storageTimeout is how long the replicator waits for its storage before it is ready without it. The stored state is
// merged once the storage is open.
const storageTimeout = 10 * time.Second

// restore is the job that merges the stored state.
func (r *Replicator) restore(ctx context.Context, _ *scheduler.Allowance) error {
	setReady := func() { r.readyOnce.Do(func() { close(r.ready) }) }
	timeout := time.AfterFunc(storageTimeout, setReady)
	defer func() {
		timeout.Stop()
		close(r.restored)
		setReady()
	}()
	if r.options.OpenStorage == nil {
		return nil
	}
	storage, err := r.options.OpenStorage(ctx)
	if err != nil && ctx.Err() == nil {
		r.logFailure(eventStore, "instance", r.options.InstanceName, &UnreadableStateError{StoreBucket, err})
	}
	if err != nil || storage == nil {
		return nil
	}
	stored := loadState(storage)
	if err := r.applyStoredState(storage, stored); err != nil {
		r.logFailure(eventStore, "instance", r.options.InstanceName, err)
	}
	return nil
}

// storedState is the state read from a storage.
type storedState struct {
	entries []crdt.Entry
	known   crdt.Version
	err     error // about the first record that cannot be used, or why the storage could not be read
}

var errWrongName = errors.New("the entry is stored under another name's key")

func loadState(storage Storage) (stored storedState) {
	loadErr := storage.Load(StoreBucket, func(key string, value []byte) error {
		if err := stored.addRecord(key, value); err != nil && stored.err == nil {
			stored.err = &UnreadableStateError{key, err}
		}
		return nil
	})
	if stored.err == nil && loadErr != nil {
		stored.err = &UnreadableStateError{StoreBucket, loadErr}
	}
	return stored
}

// addRecord decodes a record. Other keys are ignored.
func (s *storedState) addRecord(key string, value []byte) error {
	if key == knownKey {
		return cbor.Unmarshal(value, &s.known)
	}
	name, ok := strings.CutPrefix(key, entryKeyPrefix)
	if !ok {
		return nil
	}
	var entry crdt.Entry
	err := cbor.Unmarshal(value, &entry)
	if err == nil && entry.Name != name {
		err = errWrongName
	}
	s.entries = append(s.entries, entry)
	return err
}

// applyStoredState merges the stored state into the replica, and marks the stored names whose state is no longer the one
// on disk to be written again. If part of the stored state cannot be used, its known version is ignored: what is missing
// must not count as superseded, so that the other instances send it again.
func (r *Replicator) applyStoredState(storage Storage, stored storedState) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storage = storage
	known := stored.known
	if stored.err != nil {
		known = nil
	}
	mergeErr := r.state.Restore(stored.entries, known)
	r.ensureLaterIncarnation(known)
	err := errors.Join(stored.err, mergeErr)
	names := make([]string, len(stored.entries))
	var unchanged []string // names whose state on disk is the same as in the replica
	for i, entry := range stored.entries {
		names[i] = entry.Name
		if !r.dirty[entry.Name] && err == nil {
			unchanged = append(unchanged, entry.Name)
		}
	}
	r.recordChanges(names)
	for _, name := range unchanged {
		delete(r.dirty, name)
	}
	return err
}
