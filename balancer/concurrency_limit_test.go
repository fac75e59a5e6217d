package balancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// The limit starts at its upper bound, and for any number of replicas and coordinators at least one attempt may be in
// flight.
func TestConcurrencyLimitBounds(t *testing.T) {
	for name, test := range map[string]struct {
		limit     float64
		replicas  int
		balancers float64
		want      int
	}{
		"initial":                     {limit: math.Inf(1), replicas: 10, balancers: 1, want: 40},
		"lowest of few coordinators":  {limit: 0, replicas: 10, balancers: 1, want: 10},
		"lowest of many coordinators": {limit: 0, replicas: 100, balancers: 60, want: 5},
		"at least one":                {limit: 0, replicas: 10, balancers: 600, want: 1},
		"within the bounds":           {limit: 17.5, replicas: 10, balancers: 1, want: 17},
		"one if no replica is left":   {limit: 40, replicas: 0, balancers: 1, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := concurrencyLimiter{limit: test.limit}
			require.Equal(t, test.want, limiter.clamp(test.replicas, test.balancers))
		})
	}
}

// The limit settles where the decrease for a low latency gradient equals the increase.
func TestConcurrencyLimitAdjusts(t *testing.T) {
	limiter := concurrencyLimiter{limit: 40}
	limiter.adjust(1)
	require.Greater(t, limiter.limit, 40.0)
	for range 1000 {
		limiter.adjust(0.75)
	}
	require.InDelta(t, 16, limiter.limit, 0.1)
	limiter.largestSearch = 8
	limiter.lowerTo(5)
	require.Equal(t, 8.0, limiter.limit, "the largest search fits")
	limiter.lowerTo(9)
	require.Equal(t, 8.0, limiter.limit)
}
