package crdt

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// An exchange sends little more than what differs, in messages of less than 64 KiB each. After a lost request it does not
// request again what it has already received.
func TestExchangeSendsOnlyTheDifferenceAndResumes(t *testing.T) {
	a, b := NewMap("a#1"), NewMap("b#1")
	for i := range 20_000 {
		_, _ = a.Put(fmt.Sprint("name", i), []byte("some value of a name"))
	}
	exchangeToEnd(t, b, a)
	for i := range 200 {
		_, _ = a.Put(fmt.Sprint("name", i), []byte("another value"))
	}
	exchange := b.NewExchange("a", 1)
	largestMessage, totalBytes, requestedBuckets := 0, 0, 0
	for step := 0; !exchange.IsDone(); step++ {
		request, ok := exchange.NextRequest()
		require.True(t, ok)
		if step%2 == 0 && step > 0 { // this request is lost; what was already received is not requested again
			exchange.RequeueRequest()
			continue
		}
		response, err := a.HandleRequest("b", request)
		require.NoError(t, err)
		message, err := cbor.Marshal(response)
		require.NoError(t, err)
		largestMessage, totalBytes = max(largestMessage, len(message)), totalBytes+len(message)
		requestedBuckets += len(request.WantedBuckets)
		_, _, err = exchange.ApplyResponse(response)
		require.NoError(t, err)
	}
	require.True(t, exchange.IsComplete())
	require.Equal(t, a.Digest(TreeNode{}), b.Digest(TreeNode{}))
	require.Less(t, largestMessage, 64<<10)
	require.Equal(t, exchange.DifferingBuckets, requestedBuckets)
	require.Less(t, totalBytes, 100<<10, "200 of 20,000 names differ; all names together are over a megabyte")
}
