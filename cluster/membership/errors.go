package membership

import "fmt"

// ForeignStoreError reports a store that another cluster has written: nothing is read from it or written to it.
type ForeignStoreError struct{ Theirs, Ours Identity }

func (e *ForeignStoreError) Error() string {
	return fmt.Sprintf("fleet: the store belongs to another cluster or customer (%v; this one: %v)", e.Theirs, e.Ours)
}

// Advice tells an operator what to do.
func (e *ForeignStoreError) Advice() string {
	return "Set `fleet.store` to a file of this cluster's own and restart. If the store is its own, and its tenants or `fleet.cluster` were renamed, " +
		"move the file away: the other instances have a copy of what is shared."
}

// ForeignInstanceError reports an instance of another cluster, at an address that this one was given or that contacts it.
type ForeignInstanceError struct {
	Name, Addr   string
	Theirs, Ours Identity
}

func (e *ForeignInstanceError) Error() string {
	return fmt.Sprintf("fleet: %s at %s belongs to another cluster or customer (%v; this one: %v)", e.Name, e.Addr, e.Theirs, e.Ours)
}

// Advice tells an operator what to do.
func (e *ForeignInstanceError) Advice() string {
	return "Compare `fleet.join` and `fleet.via` of both, and give each cluster a key of its own. If both belong to one cluster, give all its instances the same `fleet.cluster`."
}
