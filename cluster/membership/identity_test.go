package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Identities must conflict for clusters of different customers or names, and must not for one customer whose tenants have
// changed: a false match would merge the state of two customers, a false conflict would split one cluster.
func TestIdentitiesConflictOnlyForDifferentClusters(t *testing.T) {
	var many, more []string
	for i := range 100 {
		many = append(many, fmt.Sprint("tenant", i))
		more = append(more, fmt.Sprint("firm", i))
	}
	type side struct {
		cluster string
		tenants []string
	}
	for name, test := range map[string]struct {
		a, b     side
		conflict bool
	}{
		"one customer":                          {side{"", []string{"acme", "other"}}, side{"", []string{"other", "acme"}}, false},
		"another customer":                      {side{"", []string{"acme"}}, side{"", []string{"globex"}}, true},
		"another customer with a shared tenant": {side{"", []string{"acme", "other"}}, side{"", []string{"globex", "other"}}, true},
		"another customer, one tenant of many":  {side{"", append([]string{"acme"}, many...)}, side{"", []string{"globex"}}, true},
		"a tenant added":                        {side{"", []string{"acme"}}, side{"", []string{"acme", "globex"}}, false},
		"a tenant of many removed":              {side{"", many}, side{"", many[1:]}, false},
		"a tenant of three renamed":             {side{"", []string{"a", "b", "c"}}, side{"", []string{"a", "b", "d"}}, false},
		"another customer with many":            {side{"", many}, side{"", more}, true},
		"one cluster name":                      {side{"live", []string{"acme"}}, side{"live", []string{"globex"}}, false},
		"two clusters of a customer":            {side{"live", []string{"acme"}}, side{"trial", []string{"acme"}}, true},
		"named on one side":                     {side{"live", []string{"acme"}}, side{"", []string{"acme"}}, false},
		"named on one side, another customer":   {side{"live", []string{"acme"}}, side{"", []string{"globex"}}, true},
		"no identity":                           {side{"live", []string{"acme"}}, side{}, false},
		"no tenants":                            {side{"", nil}, side{"", []string{"acme"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := NewIdentity(test.a.cluster, test.a.tenants), NewIdentity(test.b.cluster, test.b.tenants)
			require.Equal(t, test.conflict, a.ConflictsWith(b))
			require.Equal(t, test.conflict, b.ConflictsWith(a))
			require.False(t, a.ConflictsWith(a))
			require.True(t, a.IsValid())
		})
	}
	require.False(t, Identity{}.IsSpecified())
	require.Contains(t, (&ForeignStoreError{Identity{Cluster: "live"}, Identity{Cluster: "trial"}}).Error(), `the store has cluster "live"; this instance has cluster "trial"`)
	require.NotEmpty(t, (&ForeignStoreError{}).Advice())
	require.NotEmpty(t, (&ForeignInstanceError{}).Advice())
}
