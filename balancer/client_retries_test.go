package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A client's retry is recognized by the type, tenant and size of the withdrawn search, for a short time and only once.
func TestWithdrawnSearches(t *testing.T) {
	withdrawn := &search{queryType: 1, tenant: 2, requestCount: 3, clientStart: 10, arrivedAt: 20}
	for name, test := range map[string]struct {
		search search
		after  int64
		found  bool
	}{
		"the same":         {search: search{queryType: 1, tenant: 2, requestCount: 3}, after: withdrawnSearchTTL, found: true},
		"too late":         {search: search{queryType: 1, tenant: 2, requestCount: 3}, after: withdrawnSearchTTL + 1},
		"of another type":  {search: search{queryType: 0, tenant: 2, requestCount: 3}},
		"of another size":  {search: search{queryType: 1, tenant: 2, requestCount: 4}},
		"of other tenants": {search: search{queryType: 1, tenant: 0, requestCount: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			var clients clientRetries
			clients.recordWithdrawn(withdrawn, 100)
			got, found := clients.takeWithdrawn(&test.search, 100+test.after)
			require.Equal(t, test.found, found)
			if found {
				require.Equal(t, withdrawnSearch{
					queryType: 1, tenant: 2, requestCount: 3, clientStart: 10, arrivedAt: 20, withdrawnAt: 100,
				}, got)
				_, again := clients.takeWithdrawn(&test.search, 100+test.after)
				require.False(t, again)
			}
		})
	}
}

// First attempts are assumed to leave the largest share of the client timeout that any search has left, and never more
// than the whole timeout.
func TestFirstAttemptShare(t *testing.T) {
	var clients clientRetries
	clients.recordTimeout(1500, 2000)
	clients.recordTimeout(500, 2000)
	require.Equal(t, 0.75, clients.firstAttemptShare)
	clients.recordTimeout(3000, 2000)
	require.Equal(t, 1.0, clients.firstAttemptShare)
}
