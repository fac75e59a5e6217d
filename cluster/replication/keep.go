package replication

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/internal/scheduler"
)

// Keys in the store's bucket.
const (
	entryKey = "e/" // and the name
	knownKey = "known"
)

// restore takes in what the store kept.
func (b *Replicator) restore(ctx context.Context, _ *scheduler.Allowance) error {
	begin := func() { b.readyOnce.Do(func() { close(b.ready) }) }
	late := time.AfterFunc(storageTimeout, begin)
	defer func() {
		late.Stop()
		close(b.restored)
		begin()
	}()
	if b.options.OpenStorage == nil {
		return nil
	}
	disk, err := b.options.OpenStorage(ctx)
	if err != nil || disk == nil {
		if err != nil && ctx.Err() == nil {
			b.logFailure("share_store", b.options.InstanceName, &UnreadableStateError{StoreBucket, err})
		}
		return nil
	}
	var entries []crdt.Entry
	var known crdt.Version
	var bad error
	err = disk.Load(StoreBucket, func(key string, value []byte) error {
		var err error
		if name, ok := strings.CutPrefix(key, entryKey); ok {
			var e crdt.Entry
			if err = cbor.Unmarshal(value, &e); err == nil && e.Name != name {
				err = errors.New("an entry under another's name")
			}
			entries = append(entries, e)
		} else if key == knownKey {
			err = cbor.Unmarshal(value, &known)
		}
		if err != nil && bad == nil {
			bad = &UnreadableStateError{key, err}
		}
		return nil
	})
	if bad == nil && err != nil {
		bad = &UnreadableStateError{StoreBucket, err}
	}
	b.mu.Lock()
	b.storage = disk
	if bad != nil {
		// What is missing must not pass as superseded: without the Known all of it is learnt anew.
		known = nil
	}
	err = b.state.Restore(entries, known)
	name := crdt.ActorName(b.state.Actor())
	last := known.EndedBefore(name)
	for _, d := range known {
		if crdt.ActorName(d.Actor) == name {
			last = max(last, crdt.ActorIncarnation(d.Actor))
		}
	}
	if last >= crdt.ActorIncarnation(b.state.Actor()) {
		// Guards against a clock that was put back: a life must be later than the one before.
		for _, e := range b.state.BeginIncarnation(last+1, "") {
			b.recordOwnChange(e.Name)
		}
	}
	names := make([]string, len(entries))
	var same []string // as on the disk
	for i, e := range entries {
		if names[i] = e.Name; !b.dirty[e.Name] && bad == nil && err == nil {
			same = append(same, e.Name)
		}
	}
	b.recordChanges(names)
	for _, n := range same {
		delete(b.dirty, n)
	}
	b.mu.Unlock()
	if err := errors.Join(bad, err); err != nil {
		b.logFailure("share_store", b.options.InstanceName, err)
	}
	return nil
}

// persistLoop writes changes to the store, until ctx ends: the entries, and with the last of them the Known, in one transaction
// where they fit, so that the Known on disk never says more than the entries there.
func (b *Replicator) persistLoop(ctx context.Context, _ *scheduler.Allowance) error {
	select {
	case <-b.restored:
	case <-ctx.Done():
		return nil
	}
	if b.storage == nil {
		return nil
	}
	wait := minPersistBackoff
	for {
		select {
		case <-b.persistSignal:
		case <-ctx.Done():
			return nil
		}
		pause := persistInterval
		if err := b.persistOnce(ctx); err != nil {
			if ctx.Err() == nil {
				b.logFailure("share_store", b.options.InstanceName, &NotPersistedError{err})
			}
			pause, wait = wait, min(2*wait, maxPersistBackoff)
			notify(b.persistSignal)
		} else {
			wait = minPersistBackoff
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *Replicator) persistOnce(ctx context.Context) error {
	b.mu.Lock()
	known, changes, whole := b.state.KnownVersion(), b.changeCount, true
	names := make([]string, 0, len(b.dirty))
	for n := range b.dirty {
		names = append(names, n)
	}
	clear(b.dirty)
	puts, deletes, bytes := map[string][]byte{}, []string(nil), 0
	var failed error
	for i, n := range names {
		e, ok := b.state.StorableEntry(n)
		if !ok {
			deletes = append(deletes, entryKey+n)
			continue
		}
		value, err := cbor.Marshal(e)
		if err != nil {
			failed = err
			continue
		}
		puts[entryKey+n] = value
		if bytes += len(value) + len(n); bytes > maxTransactionBytes && i+1 < len(names) {
			// The rest goes next, and the Known with it.
			for _, m := range names[i+1:] {
				b.dirty[m] = true
			}
			whole, names = false, names[:i+1]
			notify(b.persistSignal)
			break
		}
	}
	same := slices.Equal(known, b.persistedKnown)
	b.mu.Unlock()
	if failed != nil {
		return failed
	}
	if whole && !same {
		value, err := cbor.Marshal(known)
		if err != nil {
			return err
		}
		puts[knownKey] = value
	}
	var err error
	if !whole {
		deletes = nil // what is gone may be told as old by the Known alone: with it
	}
	if len(puts) > 0 || len(deletes) > 0 {
		err = b.storage.Put(ctx, StoreBucket, puts, deletes)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || !whole {
		for _, n := range names {
			if _, put := puts[entryKey+n]; err != nil || !put {
				b.dirty[n] = true
			}
		}
	}
	if err == nil && whole {
		b.persistedKnown, b.persistedCount = known, max(b.persistedCount, changes)
	}
	b.persistError = err
	if err == nil {
		close(b.persistAttempted)
		b.persistAttempted = make(chan struct{})
	}
	return err
}
