package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The budget counts the requests and retries of its window; retries count a little longer.
func TestRetryBudget(t *testing.T) {
	const window = 5 * second
	budget := retryBudget{requests: []int64{0, 10, 20, 30}, retries: []int64{0}}
	budget.trim(10, window)
	require.True(t, budget.allows(1, 0.25), "1 and a quarter of 4 requests allow 2")
	require.False(t, budget.allows(0.9, 0.25))
	budget.trim(window+5, window)
	require.Equal(t, []int64{30}, budget.requests, "counted for the window minus its margin")
	require.Equal(t, []int64{0}, budget.retries, "counted for the window plus its margin")
	budget.trim(window+windowMargin+1, window)
	require.Empty(t, budget.retries)
	require.True(t, budget.allows(1, 0))
}

// Whether a request may be sent again depends on its type's effect and on whether its attempts may have run.
func TestMayRepeat(t *testing.T) {
	ran := attempt{ended: true, mayHaveRun: true, sentAt: 100 * second}
	notRun := attempt{ended: true, sentAt: 100 * second}
	inFlight := attempt{sentAt: 100 * second}
	for name, test := range map[string]struct {
		effect   string
		attempts []attempt
		after    int64
		want     bool
	}{
		"idempotent":                   {effect: effectRetryable, attempts: []attempt{ran, inFlight}, want: true},
		"idempotent, no attempts left": {effect: effectRetryable, attempts: []attempt{ran, ran, ran}},
		"key still valid": {
			effect: effectDedup, attempts: []attempt{ran}, after: second - windowMargin, want: true,
		},
		"key has expired":                    {effect: effectDedup, attempts: []attempt{ran}, after: second - windowMargin + 1},
		"key of an attempt that has not run": {effect: effectDedup, attempts: []attempt{notRun}, after: 9 * second, want: true},
		"not idempotent, may have run":       {effect: effectFragile, attempts: []attempt{notRun, ran}},
		"not idempotent, in flight":          {effect: effectFragile, attempts: []attempt{inFlight}},
		"not idempotent, has not run":        {effect: effectFragile, attempts: []attempt{notRun, notRun}, want: true},
		"not idempotent, no attempts left":   {effect: effectFragile, attempts: []attempt{notRun, notRun, notRun}},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(nil).(*balancer)
			b.settings = newSettings(map[string]string{settingMaxAttempts: "3", "Classes.0.RepeatWindow": "1000"})
			b.now = 100*second + test.after
			request := &shardRequest{search: &search{effect: test.effect}}
			for i := range test.attempts {
				request.attempts = append(request.attempts, &test.attempts[i])
			}
			require.Equal(t, test.want, b.mayRepeat(request))
		})
	}
}
