package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
)

// Each search's end is told once, with its class and its sub-requests, also where its client leaves.
func TestEndsAreTold(t *testing.T) {
	r := start(t, 256, nil)
	ends := make(chan End, 4)
	r.owner.post(func() { r.owner.Ends = func(e End) { ends <- e } })
	r.call().want("s1", "all", 200, wholeOfAll)
	e := <-ends
	require.Equal(t, [3]int{1, Answered, 4}, [3]int{e.Type, e.Kind, e.Subs})
	require.Positive(t, e.Took)
	for _, h := range r.replicas {
		h.Set(func(fake.Part) {})
	}
	c := r.call().send(request("s2", "all", "", fourParts))
	r.eventually("parts of the second search", func() bool { return r.parts() >= 8 })
	c.Close()
	e = <-ends
	require.Equal(t, Left, e.Kind)
	require.NotEqual(t, Barred, e.Kind)
	require.GreaterOrEqual(t, e.Subs, 4)
	r.end()
	require.Empty(t, ends)
}
