package membership

import "fmt"

// ForeignStoreError reports a store file written by another cluster. The store is neither read nor written.
type ForeignStoreError struct{ Theirs, Ours Identity }

func (e *ForeignStoreError) Error() string {
	return fmt.Sprintf("fleet: the store belongs to another cluster or customer (the store has %v; this instance has %v)", e.Theirs, e.Ours)
}

// Advice tells an operator what to do.
func (e *ForeignStoreError) Advice() string {
	return "Set `fleet.store` to a file of this cluster's own and restart. If this cluster wrote the file before its tenants or `fleet.cluster` were renamed, " +
		"move the file away: the other instances have copies of the shared data."
}

// ForeignInstanceError reports an instance of another cluster: one at a configured address, or one that contacts this
// instance.
type ForeignInstanceError struct {
	Name, Addr   string
	Theirs, Ours Identity
}

func (e *ForeignInstanceError) Error() string {
	return fmt.Sprintf("fleet: %s at %s belongs to another cluster or customer (it has %v; this instance has %v)", e.Name, e.Addr, e.Theirs, e.Ours)
}

// Advice tells an operator what to do.
func (e *ForeignInstanceError) Advice() string {
	return "Compare `fleet.join` and `fleet.via` of both instances, and give each cluster its own key. If both belong to one cluster, give all its instances the same `fleet.cluster`."
}
