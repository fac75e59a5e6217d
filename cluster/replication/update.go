package replication

import "chalkring/cluster/crdt"

// Update puts what f makes of a name's state, in one step: guards against a change that comes between a Get and a Put and
// would be superseded without having been seen. f must be quick and must not call the Book.
func (b *Replicator) Update(name string, f func(e crdt.Entry) (value []byte, write bool, err error)) (crdt.Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, _ := b.state.Get(name)
	value, write, err := f(e)
	if err != nil || !write {
		return e, err
	}
	if e, err = b.state.Put(name, value); err == nil {
		b.recordOwnChange(name)
	}
	return e, err
}
