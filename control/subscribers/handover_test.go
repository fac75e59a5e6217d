package subscribers

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A status from before a partition is not mistaken for one after it, and a claimed epoch is above all epochs seen.
func TestHandoverWaitsForStatusesOfItsRound(t *testing.T) {
	now := int64(1000 * second)
	gateway := NewGateway(now, Member{Name: "a", Region: "eu", Incarnation: 1}, PlacementRules{})
	gateway.HandleStatusMessage("b", StatusMessage{View: 1, Round: 7, Epoch: 9_000_000})
	gateway.SetRecord(now, testKey, Record{Consent: 1, Revision: 1, Details: testDetails, Attachments: map[string]Attachment{"eu": {}}}, true)
	var status StatusMessage
	runThreeSeconds := func() (published bool) {
		for range 30 {
			now += second / 10
			gateway.UpdateMembers(now, []Member{{Name: "a", Region: "eu", Incarnation: 1}, {Name: "b", Region: "eu", Incarnation: 3}}, true)
			if next, publish := gateway.Tick(now, 1_000_000); publish {
				status, published = next, true
				gateway.ConfirmStatusMessage(next)
			}
		}
		return published
	}
	require.True(t, runThreeSeconds())
	require.EqualValues(t, 8, status.Round)
	gateway.HandleStatusMessage("b", StatusMessage{View: status.View, Round: 7, Epoch: 9_000_001})
	require.False(t, runThreeSeconds())
	require.False(t, gateway.IsServing())
	gateway.HandleStatusMessage("b", StatusMessage{View: status.View, Round: 8, Epoch: 9_000_002})
	require.True(t, runThreeSeconds())
	require.True(t, gateway.IsServing())
	require.EqualValues(t, 9_000_003, status.Epoch)
	// b was in another partition meanwhile and made deliveries with higher numbers.
	gateway.HandleStatusMessage("b", StatusMessage{View: status.View, Round: 9, Epoch: 9_000_004})
	require.True(t, runThreeSeconds())
	require.EqualValues(t, 9, status.Round)
	require.EqualValues(t, 9_000_005, status.Epoch)
}
