package subscribers

import (
	"fmt"
	"strings"
)

const (
	// KeyPrefix begins the shared map's names of subscriptions.
	KeyPrefix = "sub/"

	maxNameBytes   = 128 // of a tenant, an id or a search type
	maxRegionBytes = 64
)

// Key names a subscription. Ids are unique within a tenant. The tags keep the form that structured logs have.
type Key struct {
	Tenant string `json:"Tenant"`
	ID     string `json:"ID"`
}

// LedgerKey returns the key's name in the shared map.
func (k Key) LedgerKey() string { return KeyPrefix + k.Tenant + "/" + k.ID }

func (k Key) String() string { return k.Tenant + "/" + k.ID }

// ParseKey reads a name of the shared map and reports whether it names a subscription.
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
		return fmt.Sprintf("%s %.40q is not 1 to %d letters without blanks and strokes", field, name, maxNameBytes)
	}
	return ""
}

func isForbiddenInName(r rune) bool { return r <= ' ' || r > '~' || r == '/' }

func isRegion(name string) bool {
	return name != "" && len(name) <= maxRegionBytes && !strings.ContainsAny(name, " /")
}
