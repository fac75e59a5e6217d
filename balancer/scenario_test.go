package balancer

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each scenario in testdata meets its expectations, and a second run with the same events gives the same actions.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		t.Run(filepath.Base(file), func(t *testing.T) {
			first := playActions(t, string(text))
			require.True(t, slices.Equal(first, playActions(t, string(text))), "different actions for the same events")
		})
	}
}

// No part of a search is kept in memory once it has its final answer, however long its client would have waited:
// otherwise memory would grow with the request rate times the client timeout.
func TestEndedSearchesHoldNothing(t *testing.T) {
	b := playToEnd(t, "start a/0 b/0 c/1 d/1\nwhen a,b,c Ok 20\nwhen d Failed 5\nsteady 400 10 1 60000 0,1,0,1").state()
	require.Empty(t, b.searches.byID)
	require.Empty(t, b.searches.byNumber)
	require.Empty(t, b.searches.attempts)
	require.Zero(t, b.inflight.total)
	require.LessOrEqual(t, len(b.inflight.attempts.entries), compactMinEntries, "attempts that have ended")
	require.Empty(t, b.timers.callbacks)
}

// Replicas that have left are removed, whether a partial or a complete list reports it.
func TestDepartedReplicasAreForgotten(t *testing.T) {
	b := New(nil).(*balancer)
	b.Configure(1, map[string]string{settingShardSets: "1", settingSetsPerReplica: "1"})
	id := func(n int) string { return fmt.Sprint("r", n) }
	for i := range 100 {
		b.BeginIteration(int64(i + 1))
		b.AddEndpoint(id(2*i), 0, 0, 0, StatusHealthy, 1, 0)
		b.AddEndpoint(id(2*i+1), 0, 0, 0, StatusHealthy, 1, 0)
		b.AddEndpoint(id(2*i-2), 0, 0, 0, "deregistered", 1, 0)
		b.CommitEndpoints(ListPartial, int64(i))
		require.LessOrEqual(t, len(b.endpoints.replicas), 3)
		b.AddEndpoint(id(2*i), 0, 0, 0, StatusHealthy, 1, 0)
		b.CommitEndpoints(ListComplete, int64(i))
		require.Len(t, b.endpoints.replicas, 1)
		require.Len(t, b.endpoints.byID, 1)
		require.Equal(t, 1, b.endpoints.count())
	}
}
