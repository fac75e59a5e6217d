package membership

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	MaxClusterNameBytes = 40 // bytes of a fleet's own name: it stands in what each instance says of itself
	tenantsMost         = 8  // marks of tenants that tell a customer: of more, the least stand for all
)

// Identity tells a fleet and its customer from others: by the fleet's own name, where both sides have one, else by the
// tenants of the plan. What it does not say counts as one's own: an instance or a store from before it was kept.
// docs/fleet.md tells what else was weighed.
type Identity struct {
	Cluster string   `cbor:"1,keyasint,omitempty"`
	Tenants []uint32 `cbor:"2,keyasint,omitempty"` // marks of their names, rising
}

// NewIdentity is that of a fleet with this name of its own, or none, and these tenants in its plan, or none.
func NewIdentity(cluster string, tenants []string) Identity {
	id := Identity{Cluster: cluster}
	for _, name := range tenants {
		id.Tenants = append(id.Tenants, uint32(xxhash.Sum64String(name)))
	}
	slices.Sort(id.Tenants)
	id.Tenants = slices.Compact(id.Tenants)
	id.Tenants = id.Tenants[:min(len(id.Tenants), tenantsMost)]
	return id
}

// IsSpecified tells whether there is anything to tell it by.
func (id Identity) IsSpecified() bool { return id.Cluster != "" || len(id.Tenants) > 0 }

// IsValid tells whether it can be one that NewIdentity has made.
func (id Identity) IsValid() bool {
	return len(id.Cluster) <= MaxClusterNameBytes && len(id.Tenants) <= tenantsMost
}

// ConflictsWith tells whether two are of different fleets or customers: two names, or tenants of which half or fewer are alike.
// Guards against another customer's plan that has a general tenant such as "default" as well; one tenant that is added or
// taken out leaves a fleet its own.
func (id Identity) ConflictsWith(than Identity) bool {
	if id.Cluster != "" && than.Cluster != "" {
		return id.Cluster != than.Cluster
	}
	least := min(len(id.Tenants), len(than.Tenants))
	alike := 0
	for _, mark := range id.Tenants {
		if slices.Contains(than.Tenants, mark) {
			alike++
		}
	}
	return least > 0 && 2*alike <= least
}

func (id Identity) String() string {
	var words []string
	if id.Cluster != "" {
		words = append(words, fmt.Sprintf("cluster %q", id.Cluster))
	}
	if len(id.Tenants) > 0 {
		words = append(words, fmt.Sprintf("tenants by marks %08x", id.Tenants))
	}
	if len(words) == 0 {
		return "nothing"
	}
	return strings.Join(words, ", ")
}

// ForeignStoreError is a store that another fleet has written: nothing of it is taken, and nothing is written to it.
type ForeignStoreError struct{ Theirs, Ours Identity }

func (e *ForeignStoreError) Error() string {
	return fmt.Sprintf("fleet: the store is another fleet's or customer's (%v; this one: %v)", e.Theirs, e.Ours)
}

// Advice tells an operator what to do.
func (e *ForeignStoreError) Advice() string {
	return "Give `fleet.store` a file of this fleet's own and restart. If the store is its own, and its tenants or `fleet.cluster` were renamed, " +
		"move the file away: the other instances tell what is shared."
}

// ForeignInstanceError is an instance of another fleet at an address that this one was told of, or that reaches this one.
type ForeignInstanceError struct {
	Name, Addr   string
	Theirs, Ours Identity
}

func (e *ForeignInstanceError) Error() string {
	return fmt.Sprintf("fleet: %s at %s is of another fleet or customer (%v; this one: %v)", e.Name, e.Addr, e.Theirs, e.Ours)
}

// Advice tells an operator what to do.
func (e *ForeignInstanceError) Advice() string {
	return "Compare `fleet.join` and `fleet.via` of both, and give each fleet a key of its own. If both are of one fleet, give all its instances the same `fleet.cluster`."
}
