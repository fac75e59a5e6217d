package recovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
	"chalkring/endpoints"
)

const now = int64(1_800_000_000_000)

// storedState returns a list and observations that were stored at now.
func storedState() (*EndpointList, *Observations) {
	list := NewEndpointList(now, 7, 8, []endpoints.Endpoint{{Host: endpoints.Host{ID: "h1", Addr: "a:1", Weight: 1, Line: 3}}},
		[]endpoints.Removal{{ID: "h2", RemovedBy: "discovery", StartedMS: 5, Age: 20_000}})
	observations := &Observations{
		SavedAt: now,
		Head:    peerreport.ReportHeader{Peer: "n", AgeMs: 300, HostCount: 1},
		Entries: []peerreport.Observation{{HostID: "h1", IsOutlier: true}},
	}
	return &list, observations
}

// Guards against stored state that is used although it is too old, older than the plan, or suspected of causing a crash
// loop, and against state that is discarded without such a reason.
func TestRestoreByAgeAndTrustLevel(t *testing.T) {
	for _, c := range []struct {
		name                           string
		now                            int64
		level                          TrustLevel
		planVersion                    int64
		trustsList, trustsObservations bool
	}{
		{"fresh", now + 2000, TrustAll, 8, true, true},
		{"a stop of 31 s", now + 31_000, TrustAll, 8, true, false},
		{"the age of observations when they were saved counts too", now + maxObservationAgeMs - 200, TrustAll, 8, true, false},
		{"a stop of two weeks", now + 2*maxListAgeMs, TrustAll, 8, false, false},
		{"a newer plan", now + 2000, TrustAll, 9, false, true},
		{"the clock was set back", now - 24*3_600_000, TrustAll, 8, true, false},
		{"third start in a crash loop", now + 2000, TrustWithoutObservations, 8, true, false},
		{"fourth start in a crash loop", now + 2000, TrustWithoutEndpoints, 8, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, observations := storedState()
			restored := Restore(c.now, c.level, c.planVersion, list, observations)
			require.Equal(t, c.trustsList, restored.Update != nil)
			require.Equal(t, c.trustsObservations, restored.Observations != nil)
			require.Equal(t, c.name == "fresh", len(restored.Discarded) == 0)
		})
	}
	require.Empty(t, Restore(now, TrustAll, 8, nil, nil))
}

// Guards against ages that leave out the time between the save and the restart.
func TestRestoredAges(t *testing.T) {
	list, observations := storedState()
	restored := Restore(now+2000, TrustAll, 8, list, observations)
	require.EqualValues(t, 2300, restored.Observations.Head.AgeMs)
	require.Equal(t, []endpoints.Removal{{ID: "h2", RemovedBy: "discovery", StartedMS: 5, Age: 40_000}}, restored.Update.Removals)
	require.Zero(t, restored.Update.Hosts[0].Line)
}

// Guards against stored observations that are used although their number differs from their header.
func TestObservationsValidate(t *testing.T) {
	list, observations := storedState()
	require.NoError(t, Restore(now+2000, TrustAll, 8, list, observations).Observations.Validate())
	observations.Head.HostCount = 2
	require.Error(t, observations.Validate())
}

// Guards against a restored list that package endpoints rejects, and against a slower source that brings back a host
// which was removed before the restart.
func TestRegistryAcceptsRestoredList(t *testing.T) {
	list, observations := storedState()
	restored := Restore(now+2000, TrustAll, 8, list, observations)
	registry := endpoints.NewRegistry(endpoints.Rules{})
	_, err := registry.Apply(1, *restored.Update)
	require.NoError(t, err)
	_, err = registry.Apply(2, endpoints.Update{
		Source: "slow", Rank: endpoints.RankFile, Version: 1,
		Hosts: []endpoints.Host{{ID: "h2", Addr: "a:2", Weight: 1, StartedMS: 5}},
	})
	require.NoError(t, err)
	require.Len(t, registry.List(), 1)
}
