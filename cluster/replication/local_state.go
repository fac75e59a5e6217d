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

// put writes a value; r.mu is held.
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

// Update puts the value that resolve makes of a name's state, unless write is false or there is an error. It is one step: a
// change that came between a Get and a Put would be superseded without having been seen. resolve must be quick and must
// not call the Replicator.
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
// visit must be quick, since everything else waits for it, and must not call the Replicator.
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

// Digest stands for all that is held: two instances with the same digest hold the same.
func (r *Replicator) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Digest(crdt.TreeNode{})
}

// Stats are the size of the replica and counters since the start.
type Stats struct {
	LiveEntries, Tombstones, StoredBytes int // names with a value, names remembered without one, bytes of names and values
	ExchangeBytesSent, UpdateBytesSent   uint64
}

// Stats returns the present statistics.
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

// Watch signals that something under prefix may have changed; one signal stands for any number of changes, and there is one
// at the beginning. The returned function ends the watch.
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

// recordOwnChange notes a change made here; r.mu is held.
func (r *Replicator) recordOwnChange(name string) {
	r.recordChanges([]string{name})
	r.queueUpdates([]string{name})
}

// recordChanges notes changed names for the disk and the watchers; r.mu is held.
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
