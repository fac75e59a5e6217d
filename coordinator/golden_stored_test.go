package coordinator

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkring/internal/golden"

	"chalkring/coordinator/plan"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
	"chalkring/endpoints"
	"chalkring/internal/scheduler"
	"chalkring/storage/recovery"
	"chalkring/storage/store"
)

const goldenStore = "coordinator-store-v1.db"

// goldenNow is the time, in Unix milliseconds, at which the golden store is opened: two seconds after its list and
// observations were written.
const goldenNow = 1_700_000_002_000

// fixedClock always returns goldenNow.
type fixedClock struct{}

func (fixedClock) Now() time.Time                       { return time.UnixMilli(goldenNow) }
func (fixedClock) After(time.Duration) <-chan time.Time { return nil }

// goldenDeployment returns a plan in which everything that is part of a deployment's identity is fixed.
func goldenDeployment(t *testing.T) *plan.Plan {
	plan, err := parsePlan([]byte(`{"name":"golden","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":64},"known":{"version":3,"full":true,"servers":[
{"id":"a","addr":"127.0.0.1:2","zone":"east","kind":"std","cell":0,"state":"up"},
{"id":"b","addr":"127.0.0.1:3","zone":"west","kind":"std","cell":1,"state":"up"}]},
"settings":{"Family":"fanout","Discovery":"subscribe","Balancers":1,"Tick":5.0,"FailureDomains":["east","west"],"MachineTypes":["std"],
"Classes":[{"Name":"lookup","Aim":1500.0,"Deadline":5000.0,"Effect":"retryable","LateShare":0.1}],
"Tenants":[{"Name":"acme","QuotaPerS":10.0}],
"Specifics":{"Sets":2,"Reach":1,"Ranges":4,"PerCall":1,"NeedByClass":[1],"ClassFloor":[1],"FollowUp":[0]},
"Permissions":{"MaxAttempts":3,"ConnIdle":15000.0,"DialTimeout":250.0,"StreamsPerConn":32,"SecondCopies":true,"Cancelling":true},
"Safety":{}}}`))
	require.NoError(t, err)
	return plan
}

// goldenList returns the endpoint list in the golden store.
func goldenList() recovery.EndpointList {
	return recovery.EndpointList{
		SavedAt: goldenNow - 2000, PlanVersion: 3, DiscoveryVersion: 9,
		Hosts: storedHosts(
			endpoints.Host{ID: "a", Addr: "127.0.0.1:2", Zone: "east", Kind: "std", State: endpoints.StateUp, Weight: 1, StartedMS: 1_699_999_000_000},
			endpoints.Host{ID: "b", Addr: "127.0.0.1:3", Zone: "west", Kind: "std", Cell: 1, State: endpoints.StateDraining, Weight: 1},
		),
		Removals: []recovery.Removal{{ID: "c", RemovedBy: "discovery", RemovedAt: goldenNow - 12_000}},
	}
}

// goldenObservations returns the observations in the golden store.
func goldenObservations() recovery.Observations {
	return recovery.Observations{
		SavedAt: goldenNow - 2000,
		Head: peerreport.ReportHeader{
			Peer: "golden", Locality: "east", Serial: 7, ListVersion: 9, AgeMs: 100, AnswerCount: 800, FleetLatency: 150, MinLatency: 20, HostCount: 1,
			Zones: []peerreport.ZoneObservation{{Name: "east", Samples: 500, LogSlowdown: -3}},
		},
		Entries: []peerreport.Observation{{HostID: "a", ShortSamples: 11, LongSamples: 12, ShortLogSlowdown: -13, LongLogSlowdown: 14, AgeMs: 19}},
	}
}

// openGoldenStore opens a store as a start of the golden deployment does.
func openGoldenStore(t *testing.T, path string) *Persistence {
	persistence := newPersistence(path, true, store.Options{}, scheduler.Budget{}, goldenDeployment(t), fixedClock{}, slog.New(slog.DiscardHandler))
	t.Cleanup(persistence.Close)
	_, err := persistence.WaitForStore(t.Context())
	require.NoError(t, err)
	return persistence
}

// writeGoldenStore creates a store as a run with a planned stop leaves it.
func writeGoldenStore(t *testing.T, path string) {
	persistence := openGoldenStore(t, path)
	values := map[string][]byte{}
	for key, v := range map[string]any{"list": goldenList(), "notes": goldenObservations(), "starts": recovery.StartRecord{}.RecordPlannedStop()} {
		text, err := cbor.Marshal(v)
		require.NoError(t, err)
		values[key] = text
	}
	require.NoError(t, persistence.store.Put(t.Context(), "kept", values, nil))
	persistence.RecordEvent("stop", "planned")
	require.NoError(t, persistence.flushEvents(t.Context()))
	persistence.Close()
}

// A store file that an earlier build has written is restored: its list, observations and events are there. Guards
// against a change of the stored form that an upgrade could not read.
func TestGoldenCoordinatorStore(t *testing.T) {
	if golden.Updating() {
		path := filepath.Join(t.TempDir(), "kept.db")
		writeGoldenStore(t, path)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		golden.Write(t, goldenStore, text)
	}
	path := filepath.Join(t.TempDir(), "kept.db")
	require.NoError(t, os.WriteFile(path, golden.Read(t, goldenStore), 0o600))
	persistence := openGoldenStore(t, path)
	require.Empty(t, persistence.restored.Discarded)
	require.NotNil(t, persistence.restored.Update)
	require.Equal(t, goldenList().Hosts, storedHosts(persistence.restored.Update.Hosts...))
	require.Equal(t, []endpoints.Removal{{ID: "c", RemovedBy: "discovery", Age: 120_000}}, persistence.restored.Update.Removals)
	require.NotNil(t, persistence.restored.Observations)
	require.Equal(t, goldenObservations().Entries, persistence.restored.Observations.Entries)
	require.NoError(t, persistence.flushEvents(t.Context()))
	var events []store.Event
	require.NoError(t, persistence.events.ForEach(0, "", func(event store.Event) bool { events = append(events, event); return true }))
	require.Equal(t, []store.Event{
		{Sequence: 0, UnixMs: goldenNow, Kind: "start", Message: "believes all: 0 hosts listed, notes of 0"},
		{Sequence: 1, UnixMs: goldenNow, Kind: "stop", Message: "planned"},
		{Sequence: 2, UnixMs: goldenNow, Kind: "start", Message: "believes all: 2 hosts listed, notes of 1"},
	}, events)
}

// A start writes exactly these bytes to the bucket kept, and its event to the bucket events.
func TestGoldenCoordinatorStart(t *testing.T) {
	persistence := openGoldenStore(t, filepath.Join(t.TempDir(), "kept.db"))
	require.NoError(t, persistence.flushEvents(t.Context()))
	for bucket, keys := range map[string][]string{"kept": {"starts", "whose"}, "events": {"00000000", "next"}} {
		var got []string
		require.NoError(t, persistence.store.Load(bucket, func(key string, value []byte) error {
			got = append(got, key)
			golden.RequireHex(t, bucket+"-"+key+".hex", value)
			return nil
		}))
		require.Equal(t, keys, got, bucket)
	}
	identity, found, err := persistence.store.Get("kept", "whose")
	require.NoError(t, err)
	require.True(t, found)
	var text string
	require.NoError(t, cbor.Unmarshal(identity, &text))
	require.Equal(t, persistence.identity, text)
}

// A running coordinator writes its list and observations under these keys and in these forms, and a planned stop clears
// the record of starts.
func TestGoldenCoordinatorBucketOfARun(t *testing.T) {
	first := start(t, 256, nil)
	path := filepath.Join(t.TempDir(), "kept.db")
	r := first.restartWithStore(path, store.Options{})
	r.logged("event=store ")
	r.list.Responses <- fmt.Sprintf(`{"version":9,"full":false,"servers":[%s]}`, strings.ReplaceAll(r.entry("b1", "up"), `"up"`, `"removed"`))
	r.eventually("b1 is removed", func() bool { return r.currentHosts() == "a0 a1 b0 " })
	r.shutDown()
	s, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	defer s.Close(context.Background())
	values := map[string][]byte{}
	require.NoError(t, s.Load("kept", func(key string, value []byte) error { values[key] = value; return nil }))
	require.Len(t, values, 4)
	require.Equal(t, "82f6f4", hex.EncodeToString(values["starts"]), "no starts, store not quarantined")
	require.NotEmpty(t, values["whose"])
	var list []any // time, the plan's version, discovery's version, hosts, removals
	require.NoError(t, cbor.Unmarshal(values["list"], &list))
	require.Len(t, list, 5)
	hosts, ok := list[3].([]any)
	require.True(t, ok)
	require.Len(t, hosts, 3)
	host, ok := hosts[0].(map[any]any)
	require.True(t, ok)
	require.Len(t, host, 11, "DrainedBy is left out where no source drains the host")
	for _, name := range []string{"ID", "Addr", "Zone", "Kind", "Cell", "State", "Weight", "StartedMS", "Line", "Column", "ListedBy"} {
		require.Contains(t, host, name)
	}
	require.Equal(t, []any{uint64(7), uint64(9)}, list[1:3], "the versions of the plan and of discovery")
	removals, ok := list[4].([]any)
	require.True(t, ok)
	require.Len(t, removals, 1)
	require.Equal(t, "b1", removals[0].([]any)[0])
	var observations []any // time, header, entries
	require.NoError(t, cbor.Unmarshal(values["notes"], &observations))
	require.Len(t, observations, 3)
	header, ok := observations[1].([]any)
	require.True(t, ok)
	require.Len(t, header, 10)
}
