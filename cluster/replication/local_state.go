package replication

import (
	"slices"
	"strings"

	"chalkring/cluster/crdt"
)

// Put writes a value. It supersedes every sibling held here.
func (r *Replicator) Put(name string, value []byte) (crdt.Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.put(name, value)
}

// put writes a value. r.mu is held.
func (r *Replicator) put(name string, value []byte) (crdt.Entry, error) {
	entry, err := r.state.Put(name, value)
	if err == nil {
		r.recordOwnChange(name)
	}
	return entry, err
}

// Delete replaces every sibling held here by a tombstone.
func (r *Replicator) Delete(name string) (crdt.Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, err := r.state.Delete(name)
	if err == nil {
		r.recordOwnChange(name)
	}
	return entry, err
}

// Update puts the value that resolve computes from a name's state, unless write is false or resolve returns an error. It
// is atomic; with a Get and a Put instead, a change that arrives between the two would be superseded without having been
// seen. resolve must be quick and must not call the Replicator.
func (r *Replicator) Update(name string, resolve func(entry crdt.Entry) (value []byte, write bool, err error)) (crdt.Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, _ := r.state.Get(name)
	value, write, err := resolve(entry)
	if err != nil || !write {
		return entry, err
	}
	return r.put(name, value)
}

// Get returns the state of a name and whether it has a live value. Its values must not be changed.
func (r *Replicator) Get(name string) (crdt.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Get(name)
}

// ScanPrefix calls visit for each name with a live value that begins with prefix, in order, until visit returns false.
// visit must be quick, since all other calls wait for it, and must not call the Replicator.
func (r *Replicator) ScanPrefix(prefix string, visit func(crdt.Entry) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.ScanPrefix(prefix, visit)
}

// Actor returns the actor of this incarnation's changes.
func (r *Replicator) Actor() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Actor()
}

// Digest returns the digest of the whole replica: two instances with the same digest hold the same siblings.
func (r *Replicator) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Digest(crdt.TreeNode{})
}

// Stats has the size of the replica, and counters since the start.
type Stats struct {
	LiveEntries, Tombstones, StoredBytes int // names with a live value, names with none, bytes of names and values
	ExchangeBytesSent, UpdateBytesSent   uint64
}

// Stats returns the current statistics.
func (r *Replicator) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats
	stats.LiveEntries, stats.Tombstones, stats.StoredBytes = r.state.Counts()
	return stats
}

// watcher waits for changes under a prefix.
type watcher struct {
	prefix string
	signal chan struct{}
}

// Watch signals that something under prefix may have changed. One signal covers any number of changes, and the first is
// sent at once. stop ends the watch.
func (r *Replicator) Watch(prefix string) (signal <-chan struct{}, stop func()) {
	w := &watcher{prefix, make(chan struct{}, 1)}
	notify(w.signal)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[w] = true
	return w.signal, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, w)
	}
}

// recordOwnChange records a change made by this instance and queues it for sending. r.mu is held.
func (r *Replicator) recordOwnChange(name string) {
	r.recordChanges([]string{name})
	r.queueUpdates([]string{name})
}

// recordChanges marks changed names to be written to disk and signals the watchers. r.mu is held.
func (r *Replicator) recordChanges(names []string) {
	if len(names) == 0 {
		return
	}
	r.changeCount += uint64(len(names))
	for _, name := range names {
		r.dirty[name] = true
	}
	notify(r.persistSignal)
	for w := range r.watchers {
		if slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, w.prefix) }) {
			notify(w.signal)
		}
	}
}
