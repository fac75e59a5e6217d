package subscribers

import (
	"fmt"
	"strings"
)

const (
	// KeyPrefix is the prefix of the names of subscriptions in the shared map.
	KeyPrefix = "sub/"

	maxNameBytes   = 128 // of a tenant, an id or a search type
	maxRegionBytes = 64
)

// Key identifies a subscription. IDs are unique within a tenant. The tags fix the names in structured logs.
type Key struct {
	Tenant string `json:"Tenant"`
	ID     string `json:"ID"`
}

// EntryName returns the name of the subscription's entry in the shared map.
func (k Key) EntryName() string { return KeyPrefix + k.Tenant + "/" + k.ID }

func (k Key) String() string { return k.Tenant + "/" + k.ID }

// ParseKey parses the name of an entry of the shared map and reports whether the entry is a subscription.
func ParseKey(name string) (Key, bool) {
	rest, hasPrefix := strings.CutPrefix(name, KeyPrefix)
	tenant, id, complete := strings.Cut(rest, "/")
	key := Key{tenant, id}
	return key, hasPrefix && complete && key.validate() == ""
}

// validate returns what is wrong with a key, empty if it is valid.
func (k Key) validate() string {
	if reason := validateName("tenant", k.Tenant); reason != "" {
		return reason
	}
	return validateName("id", k.ID)
}

func validateName(field, name string) string {
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, isForbiddenInName) {
		return fmt.Sprintf("%s %.40q is not 1 to %d printable ASCII characters without spaces and slashes", field, name, maxNameBytes)
	}
	return ""
}

func isForbiddenInName(r rune) bool { return r <= ' ' || r > '~' || r == '/' }

func isRegion(name string) bool {
	return name != "" && len(name) <= maxRegionBytes && !strings.ContainsAny(name, " /")
}
