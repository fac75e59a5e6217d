package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
)

// Each search's end is told once, with its class and its sub-requests, also where its client leaves.
func TestSearchEndNotifications(t *testing.T) {
	r := start(t, 256, nil)
	ends := make(chan SearchEnd, 4)
	r.loop.submit(func() { r.loop.OnSearchEnd = func(e SearchEnd) { ends <- e } })
	r.call().want("s1", "all", 200, wholeOfAll)
	e := <-ends
	require.Equal(t, [3]int{1, OutcomeAnswered, 4}, [3]int{e.Type, e.Outcome, e.Attempts})
	require.Positive(t, e.Duration)
	for _, h := range r.replicas {
		h.SetHandler(func(fake.ShardRequest) {})
	}
	c := r.call().send(request("s2", "all", "", fourParts))
	r.eventually("parts of the second search", func() bool { return r.parts() >= 8 })
	c.Close()
	e = <-ends
	require.Equal(t, OutcomeClientGone, e.Outcome)
	require.NotEqual(t, OutcomeResidencyRefused, e.Outcome)
	require.GreaterOrEqual(t, e.Attempts, 4)
	r.end()
	require.Empty(t, ends)
}
