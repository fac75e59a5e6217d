package gossip

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// A message of the largest size must reach the topic's handler whole, and Send must return an error for a larger message or
// an unknown receiver.
func TestSendDeliversToTheTopicsHandler(t *testing.T) {
	t.Parallel()
	nodes := startCluster(t, newTestNetwork(), "a", "b")
	received := make(chan []byte, 10)
	nodes[1].Handle(7, func(from string, body []byte) { received <- append([]byte(from+":"), body...) })
	largest := bytes.Repeat([]byte("x"), MaxBodyBytes)
	require.NoError(t, nodes[0].Send(t.Context(), "b", 7, largest))
	require.Equal(t, append([]byte("a:"), largest...), <-received)
	require.True(t, advice.HasType[*MessageTooLargeError](nodes[0].Send(t.Context(), "b", 7, make([]byte, MaxBodyBytes+1))))
	require.True(t, advice.HasType[*PeerUnavailableError](nodes[0].Send(t.Context(), "x", 7, nil)))
}
