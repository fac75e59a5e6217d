package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/membership"
	"chalkring/config"
	"chalkring/control/residency"
	"chalkring/control/rollout"
	"chalkring/storage/store"
)

// goldenChange has every field set. One setting alone: a map's order is not fixed in the stored form.
func goldenChange(number uint64) *rollout.Change {
	return &rollout.Change{
		Name: "shorter-aim", Number: number, BaseNumber: number - 1, Settings: map[string]string{"Classes.0.Aim": "5"},
		Program: rollout.Program{Path: "/opt/chalkring-2", Version: "2.0"},
		Stages:  []rollout.Stage{{Count: 1, WatchDuration: 600_000}, {Fraction: 0.5, WatchDuration: 1_200_000}},
		WarmUp:  300_000, MaxConcurrentFraction: 0.25, ReadyTimeout: 100_000, SilenceTimeout: 50_000, MinSearches: 1000,
		RegressionLimits: rollout.RegressionLimits{
			Served: 0.01, Late: 0.02, Shed: 0.03, Median: 0.04, Tail: 0.05, SubRequests: 0.06, Connections: 1.5, Memory: 1.25,
			Restarts: 2, Unreachable: 3, FalseStopProbability: 0.001,
		},
		OnRegression: rollout.OrderRollBack,
	}
}

// goldenRolloutStates are the forms in which an instance keeps what it runs.
func goldenRolloutStates() map[string]rolloutState {
	return map[string]rolloutState{
		"rollout-standing.hex": {
			Running: goldenChange(7), Previous: goldenChange(6), Attempt: &restartAttempt{Target: goldenChange(8), Epoch: 3, Starts: 1, ReadyTimeout: 100_000},
			RunningEpoch: 2, UnplannedStarts: 4, EndedCleanly: true, FailedEpoch: 5, FailedNumber: 9, FailureReason: "did not serve in time",
		},
		"rollout-standing-empty.hex": {},
	}
}

// storedSharing shares nothing with others and has an open store at path.
func storedSharing(t *testing.T, path string) *clusterInstance {
	kept, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, kept.Close(context.Background())) })
	s := &clusterInstance{
		file: config.Cluster{Name: "east-0", StoreFile: path}, log: slog.New(slog.DiscardHandler), ctx: t.Context(),
		opened: make(chan struct{}), store: kept,
	}
	close(s.opened)
	return s
}

// What an instance keeps of changes is written as the golden bytes under bucket rollout, key standing, and read back.
func TestGoldenRolloutState(t *testing.T) {
	for name, value := range goldenRolloutStates() {
		s := storedSharing(t, filepath.Join(t.TempDir(), "fleet.db"))
		require.NoError(t, (&rolloutRunner{clusterInstance: s, state: value}).save())
		now, found, err := s.store.Get("rollout", "standing")
		require.NoError(t, err)
		require.True(t, found)
		golden.RequireHex(t, name, now)
		want := golden.ReadHex(t, name)

		read := storedSharing(t, filepath.Join(t.TempDir(), "fleet.db"))
		require.NoError(t, read.store.Put(t.Context(), "rollout", map[string][]byte{"standing": want}, nil))
		st := &rolloutRunner{clusterInstance: read}
		st.load()
		require.Equal(t, value, st.state, name)
		require.Equal(t, value.EndedCleanly, st.isStateKnown, name)
	}
}

// The incarnation and the fleet's identity are written as the golden bytes under bucket fleet.
func TestGoldenFleetBucket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	l := ofCustomer(t, path, "acme", func(f *config.Cluster) { f.ClusterName = "live" })
	life, found, err := l.sharing.store.Get("fleet", "life")
	require.NoError(t, err)
	require.True(t, found)
	require.Len(t, life, 8)
	incarnation := l.sharing.members.Self().Incarnation
	for i := range 8 {
		require.Equal(t, byte(incarnation>>(56-8*i)), life[i], "the highest byte first")
	}
	now, found, err := l.sharing.store.Get("fleet", "whose")
	require.NoError(t, err)
	require.True(t, found)
	golden.RequireHex(t, "fleet-identity.hex", now)
	want := golden.ReadHex(t, "fleet-identity.hex")
	var keys []string
	require.NoError(t, l.sharing.store.Load("fleet", func(key string, _ []byte) error { keys = append(keys, key); return nil }))
	require.Equal(t, []string{"life", "whose"}, keys)
	l.sharing.leave()

	var identity membership.Identity
	require.NoError(t, cbor.Unmarshal(want, &identity))
	require.Equal(t, membership.NewIdentity("live", []string{"acme"}), identity)
	s := storedSharing(t, filepath.Join(t.TempDir(), "fleet.db"))
	require.NoError(t, s.store.Put(t.Context(), "fleet", map[string][]byte{"whose": want}, nil))
	s.identity = identity
	require.NoError(t, s.checkIdentity(s.store))
	s.identity = membership.NewIdentity("trial", []string{"acme"})
	var others *membership.ForeignStoreError
	require.ErrorAs(t, s.checkIdentity(s.store), &others)
	require.Equal(t, identity, others.Theirs)
}

// Policies are kept as their files' text under bucket residency, keyed by generation and place.
func TestGoldenResidencyBucket(t *testing.T) {
	begin := func(s *clusterInstance) *residencyService {
		return &residencyService{sharing: s, store: s.store, saveResults: make(chan saveResult, 1)}
	}
	s := storedSharing(t, filepath.Join(t.TempDir(), "fleet.db"))
	c := begin(s)
	texts := []string{loosePolicy, strings.Replace(strictPolicy, "generation: 2", "generation: 2\nbeside: 1", 1)}
	texts = append(texts, strings.Replace(texts[1], "lease: 2s", "lease: 3s", 1)) // another wording of one generation
	for _, text := range texts {
		p, err := residency.ParsePolicy("file", []byte(text), residency.Site{})
		require.NoError(t, err)
		c.addPolicy(p)
	}
	c.savePolicies()
	require.NoError(t, (<-c.saveResults).err)
	now := map[string]string{}
	require.NoError(t, s.store.Load("residency", func(key string, value []byte) error { now[key] = string(value); return nil }))
	golden.RequireJSON(t, "residency-bucket.json", now)

	read := storedSharing(t, filepath.Join(t.TempDir(), "fleet.db"))
	puts := map[string][]byte{}
	for key, value := range now {
		puts[key] = []byte(value)
	}
	require.NoError(t, read.store.Put(t.Context(), "residency", puts, nil))
	again := begin(read)
	require.True(t, again.loadStored())
	require.Equal(t, uint64(2), again.storedGeneration)
	require.Equal(t, c.digest, again.digest)
	var held []string
	for _, p := range again.registry.Policies() {
		held = append(held, string(p.Text))
	}
	require.ElementsMatch(t, texts, held)
}

// Questions, answers and policies of the lease that instances send one another.
func TestGoldenResidencyMessages(t *testing.T) {
	require.Equal(t, 'Z', residencyTopic)
	for name, value := range map[string]residencyMessage{
		"lease-question.hex": {Kind: leaseQuestion, Nonce: 4, Generation: 2, Digest: 0x0102030405060708},
		"lease-answer.hex":   {Kind: leaseAcknowledgement, Nonce: 4, Generation: 2, Digest: 0x0102030405060708, WallTime: 17_000_000_000_000, Voter: true},
		"lease-policy.hex":   {Kind: policyTransfer, PolicyText: []byte(loosePolicy)},
	} {
		now, err := cbor.Marshal(value)
		require.NoError(t, err)
		golden.RequireHex(t, name, now)
		want := golden.ReadHex(t, name)
		var got residencyMessage
		require.NoError(t, cbor.Unmarshal(want, &got))
		require.Equal(t, value, got, name)
	}
}

// What a child sends to its supervisor, a message in a line, and the names of the environment that both use.
func TestGoldenSupervisorLines(t *testing.T) {
	values := []supervisorMessage{
		{Serving: true},
		{Next: &successor{Program: "/opt/chalkring-2", ReadyTimeout: 10 * time.Second, AfterExit: true}},
		{Serving: true, Next: &successor{Program: "/opt/chalkring", ReadyTimeout: 1500 * time.Millisecond}},
	}
	from, to, err := os.Pipe()
	require.NoError(t, err)
	defer from.Close()
	for _, value := range values {
		require.NoError(t, notifySupervisor(to, value))
	}
	require.NoError(t, to.Close())
	now, err := io.ReadAll(from)
	require.NoError(t, err)
	golden.Require(t, "keeper-lines.jsonl", now)
	for i, line := range strings.Split(strings.TrimSpace(string(golden.Read(t, "keeper-lines.jsonl"))), "\n") {
		var got supervisorMessage
		require.NoError(t, json.Unmarshal([]byte(line), &got))
		require.Equal(t, values[i], got)
	}
	require.Equal(t, []string{"CHALKRING_KEPT", "CHALKRING_FELL", "CHALKRING_OWN"}, []string{programEnv, failureEnv, installedProgramEnv})
	require.Equal(t, []int{3, 4}, []int{listenerFd, supervisorFd})
}
