package membership

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxClusterNameBytes is the largest length of a cluster's name, which is part of each member's metadata.
	MaxClusterNameBytes = 40
	// maxTenantHashes is how many tenants identify a customer. If there are more, those with the smallest hashes are used.
	maxTenantHashes = 8
)

// Identity distinguishes a cluster and its customer from others: by the cluster's name if both sides have one, else by the
// tenants of the plan. An empty identity matches any other; instances and stores of older versions have one.
// docs/cluster.md lists the alternatives that were considered.
type Identity struct {
	Cluster string   `cbor:"1,keyasint,omitempty"`
	Tenants []uint32 `cbor:"2,keyasint,omitempty"` // hashes of the tenants' names, ascending
}

// NewIdentity returns the identity of a cluster with this name and these tenants in its plan; both may be empty.
func NewIdentity(cluster string, tenants []string) Identity {
	id := Identity{Cluster: cluster}
	for _, name := range tenants {
		id.Tenants = append(id.Tenants, uint32(xxhash.Sum64String(name)))
	}
	slices.Sort(id.Tenants)
	id.Tenants = slices.Compact(id.Tenants)
	id.Tenants = id.Tenants[:min(len(id.Tenants), maxTenantHashes)]
	return id
}

// IsSpecified reports whether the identity has a cluster name or tenants.
func (id Identity) IsSpecified() bool { return id.Cluster != "" || len(id.Tenants) > 0 }

// IsValid reports whether the length of the cluster's name and the number of tenants are within their limits.
func (id Identity) IsValid() bool {
	return len(id.Cluster) <= MaxClusterNameBytes && len(id.Tenants) <= maxTenantHashes
}

// ConflictsWith reports whether two identities belong to different clusters or customers: their names differ or, if either
// has no name, at most half of the tenants of the side with fewer tenants match. A match of half is not enough because
// customers may share a tenant such as "default". Adding or removing one tenant is not a conflict.
func (id Identity) ConflictsWith(other Identity) bool {
	if id.Cluster != "" && other.Cluster != "" {
		return id.Cluster != other.Cluster
	}
	fewer := min(len(id.Tenants), len(other.Tenants))
	matching := 0
	for _, hash := range id.Tenants {
		if slices.Contains(other.Tenants, hash) {
			matching++
		}
	}
	return fewer > 0 && 2*matching <= fewer
}

// String describes the identity for log lines and errors.
func (id Identity) String() string {
	var parts []string
	if id.Cluster != "" {
		parts = append(parts, fmt.Sprintf("cluster %q", id.Cluster))
	}
	if len(id.Tenants) > 0 {
		parts = append(parts, fmt.Sprintf("tenant hashes %08x", id.Tenants))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}
