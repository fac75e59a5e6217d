package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// What tells two fleets apart, and what leaves one its own.
func TestIdentity(t *testing.T) {
	var many, more []string
	for i := range 100 {
		many = append(many, fmt.Sprint("tenant", i))
		more = append(more, fmt.Sprint("firm", i))
	}
	type side struct {
		cluster string
		tenants []string
	}
	for name, c := range map[string]struct {
		a, b  side
		other bool
	}{
		"one customer":                        {side{"", []string{"acme", "other"}}, side{"", []string{"other", "acme"}}, false},
		"another customer":                    {side{"", []string{"acme"}}, side{"", []string{"globex"}}, true},
		"another that has a general one too":  {side{"", []string{"acme", "other"}}, side{"", []string{"globex", "other"}}, true},
		"another with one of many":            {side{"", append([]string{"acme"}, many...)}, side{"", []string{"globex"}}, true},
		"a tenant added":                      {side{"", []string{"acme"}}, side{"", []string{"acme", "globex"}}, false},
		"a tenant of many taken out":          {side{"", many}, side{"", many[1:]}, false},
		"a tenant of three renamed":           {side{"", []string{"a", "b", "c"}}, side{"", []string{"a", "b", "d"}}, false},
		"many others":                         {side{"", many}, side{"", more}, true},
		"one name for the fleet":              {side{"live", []string{"acme"}}, side{"live", []string{"globex"}}, false},
		"two fleets of a customer":            {side{"live", []string{"acme"}}, side{"trial", []string{"acme"}}, true},
		"named on one side as yet":            {side{"live", []string{"acme"}}, side{"", []string{"acme"}}, false},
		"named on one side, another customer": {side{"live", []string{"acme"}}, side{"", []string{"globex"}}, true},
		"from before":                         {side{"live", []string{"acme"}}, side{}, false},
		"no tenants":                          {side{"", nil}, side{"", []string{"acme"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := NewIdentity(c.a.cluster, c.a.tenants), NewIdentity(c.b.cluster, c.b.tenants)
			require.Equal(t, c.other, a.ConflictsWith(b))
			require.Equal(t, c.other, b.ConflictsWith(a))
			require.False(t, a.ConflictsWith(a))
			require.True(t, a.IsValid())
		})
	}
	require.False(t, Identity{}.IsSpecified())
	require.Contains(t, (&ForeignStoreError{Identity{Cluster: "live"}, Identity{Cluster: "trial"}}).Error(), `cluster "live"; this one: cluster "trial"`)
	require.NotEmpty(t, (&ForeignStoreError{}).Advice())
	require.NotEmpty(t, (&ForeignInstanceError{}).Advice())
}
