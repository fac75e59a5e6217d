package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// One tenant's use of its quota does not reduce another tenant's quota.
func TestTenantQuotasAreIndependent(t *testing.T) {
	s := newScenario(t, "facts Tenants.count=2 Tenants.0.QuotaPerS=10 Tenants.1.QuotaPerS=10\nstart a/0 b/1\nat 10000")
	b := s.state()
	s.iterate(func() {
		for range 100 {
			b.exceedsQuota(0)
		}
		require.True(t, b.exceedsQuota(0))
		require.False(t, b.exceedsQuota(1))
	})
}

// A bucket fills at its rate and holds at most one token plus a burst of two seconds.
func TestTokenBucket(t *testing.T) {
	const rate = 5.0 / second
	var bucket tokenBucket
	taken := func(now int64) (count int) {
		for bucket.take(now, rate) {
			count++
		}
		return count
	}
	require.Equal(t, 11, taken(1_000*second))
	require.Equal(t, 0, taken(1_000*second))
	require.Equal(t, 5, taken(1_001*second))
}
