package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// newWeightedSearch makes a search with one request for each weight.
func newWeightedSearch(neededWeight float64, weights ...float64) *search {
	s := &search{step: 1, neededWeight: neededWeight, requestCount: len(weights)}
	for _, weight := range weights {
		request := s.newRequest()
		request.search, request.weight = s, weight
		s.addRequest(request)
	}
	return s
}

// Weights that fall short of 1 by rounding are scaled to add up to 1; others stay unchanged.
func TestSearchWeights(t *testing.T) {
	s := newWeightedSearch(1, 0.333333, 0.333333, 0.333333)
	require.Equal(t, 1.0, s.reachableWeight)
	require.InDelta(t, 1.0/3, s.requests[0].weight, 1e-15)
	s = newWeightedSearch(0.5, 0.25, 0.25)
	require.Equal(t, 0.5, s.reachableWeight)
	require.Equal(t, 0.25, s.requests[0].weight)
	require.False(t, s.canSpareRequests())
	s = newWeightedSearch(0.6, 0.25, 0.25, 0.25, 0.25)
	require.True(t, s.canSpareRequests())
	require.True(t, s.isShort(0.5))
	require.False(t, s.isShort(0.75))
	s.completedWeight = 0.5
	require.False(t, s.isComplete())
	s.completedWeight = 0.6
	require.True(t, s.isComplete())
}

// The storage for requests grows without moving those already in use.
func TestSearchRequestsAreNotMoved(t *testing.T) {
	s := newWeightedSearch(1, 0.2, 0.2, 0.2, 0.2, 0.2)
	require.Len(t, s.requests, 5)
	for i, request := range s.requests {
		request.id = uint64(i)
	}
	for i, request := range s.requests {
		require.Equal(t, uint64(i), request.id)
	}
}

// A client may send a search again if it is idempotent or no part of it may have run.
func TestSearchIsRepeatable(t *testing.T) {
	for name, test := range map[string]struct {
		effect  string
		step    int
		attempt attempt
		want    bool
	}{
		"idempotent":               {effect: effectRetryable, step: 2, attempt: attempt{mayHaveRun: true}, want: true},
		"nothing has run":          {effect: effectFragile, step: 1, attempt: attempt{ended: true}, want: true},
		"a request may have run":   {effect: effectFragile, step: 1, attempt: attempt{ended: true, mayHaveRun: true}},
		"a request is in flight":   {effect: effectDedup, step: 1},
		"the first step has ended": {effect: effectDedup, step: 2, attempt: attempt{ended: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newWeightedSearch(1, 1)
			s.effect, s.step = test.effect, test.step
			s.requests[0].attempts = []*attempt{&test.attempt}
			require.Equal(t, test.want, s.isRepeatable())
		})
	}
}
