package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Credit grows at its rate, but never to more than one attempt, however long nothing was sent.
func TestSlowStartCredit(t *testing.T) {
	var slowStart slowStartCredit
	slowStart.reset(100, 0.25)
	slowStart.refill(150, 0.01)
	require.InDelta(t, 0.75, slowStart.credit, 1e-12)
	slowStart.refill(100_000, 0.01)
	require.Equal(t, 1.0, slowStart.credit)
}
