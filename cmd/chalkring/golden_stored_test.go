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

// goldenStanding are the forms in which an instance keeps what it runs.
func goldenStanding() map[string]standing {
	return map[string]standing{
		"rollout-standing.hex": {
			Runs: goldenChange(7), Before: goldenChange(6), Try: &try{To: goldenChange(8), Turn: 3, Count: 1, Ready: 100_000},
			Turn: 2, Starts: 4, Clean: true, Failed: 5, Number: 9, Why: "did not serve in time",
		},
		"rollout-standing-empty.hex": {},
	}
}

// storedSharing shares nothing with others and has an open store at path.
func storedSharing(t *testing.T, path string) *sharing {
	kept, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, kept.Close(context.Background())) })
	s := &sharing{
		file: config.Cluster{Name: "east-0", StoreFile: path}, log: slog.New(slog.DiscardHandler), ctx: t.Context(),
		opened: make(chan struct{}), store: kept,
	}
	close(s.opened)
	return s
}

// What an instance keeps of changes is written as the golden bytes under bucket rollout, key standing, and read back.
func TestGoldenRolloutState(t *testing.T) {
	for name, value := range goldenStanding() {
		s := storedSharing(t, filepath.Join(t.TempDir(), "fleet.db"))
		require.NoError(t, (&stages{sharing: s, state: value}).save())
		now, found, err := s.store.Get("rollout", "standing")
		require.NoError(t, err)
		require.True(t, found)
		golden.RequireHex(t, name, now)
		want := golden.ReadHex(t, name)

		read := storedSharing(t, filepath.Join(t.TempDir(), "fleet.db"))
		require.NoError(t, read.store.Put(t.Context(), "rollout", map[string][]byte{"standing": want}, nil))
		st := &stages{sharing: read}
		st.load()
		require.Equal(t, value, st.state, name)
		require.Equal(t, value.Clean, st.kept, name)
	}
}

// The incarnation and the fleet's identity are written as the golden bytes under bucket fleet.
func TestGoldenFleetBucket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	l := ofCustomer(t, path, "acme", func(f *config.Cluster) { f.ClusterName = "live" })
	life, found, err := l.s.store.Get("fleet", "life")
	require.NoError(t, err)
	require.True(t, found)
	require.Len(t, life, 8)
	incarnation := l.s.book.Self().Incarnation
	for i := range 8 {
		require.Equal(t, byte(incarnation>>(56-8*i)), life[i], "the highest byte first")
	}
	now, found, err := l.s.store.Get("fleet", "whose")
	require.NoError(t, err)
	require.True(t, found)
	golden.RequireHex(t, "fleet-identity.hex", now)
	want := golden.ReadHex(t, "fleet-identity.hex")
	var keys []string
	require.NoError(t, l.s.store.Load("fleet", func(key string, _ []byte) error { keys = append(keys, key); return nil }))
	require.Equal(t, []string{"life", "whose"}, keys)
	l.s.leave()

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
	begin := func(s *sharing) *contracts {
		return &contracts{s: s, disk: s.store, done: make(chan saveDone, 1)}
	}
	s := storedSharing(t, filepath.Join(t.TempDir(), "fleet.db"))
	c := begin(s)
	texts := []string{contractsOne, strings.Replace(contractsTwo, "generation: 2", "generation: 2\nbeside: 1", 1)}
	texts = append(texts, strings.Replace(texts[1], "lease: 2s", "lease: 3s", 1)) // another wording of one generation
	for _, text := range texts {
		p, err := residency.ParsePolicy("file", []byte(text), residency.Site{})
		require.NoError(t, err)
		c.tell(p)
	}
	c.save()
	require.NoError(t, (<-c.done).err)
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
	require.True(t, again.load())
	require.Equal(t, uint64(2), again.saved)
	require.Equal(t, c.sum, again.sum)
	var held []string
	for _, p := range again.book.Policies() {
		held = append(held, string(p.Text))
	}
	require.ElementsMatch(t, texts, held)
}

// Questions, answers and policies of the lease that instances send one another.
func TestGoldenResidencyMessages(t *testing.T) {
	require.Equal(t, 'Z', zonesTopic)
	for name, value := range map[string]zonesWord{
		"lease-question.hex": {Kind: zonesQuestion, Nonce: 4, Generation: 2, Sum: 0x0102030405060708},
		"lease-answer.hex":   {Kind: zonesAnswer, Nonce: 4, Generation: 2, Sum: 0x0102030405060708, Wall: 17_000_000_000_000, Sure: true},
		"lease-policy.hex":   {Kind: zonesPolicy, Text: []byte(contractsOne)},
	} {
		now, err := cbor.Marshal(value)
		require.NoError(t, err)
		golden.RequireHex(t, name, now)
		want := golden.ReadHex(t, name)
		var got zonesWord
		require.NoError(t, cbor.Unmarshal(want, &got))
		require.Equal(t, value, got, name)
	}
}

// What a serving process tells its keeper, a line each, and the names that both know each other by.
func TestGoldenKeeperLines(t *testing.T) {
	values := []said{
		{Serving: true},
		{Next: &next{Program: "/opt/chalkring-2", Ready: 10 * time.Second, After: true}},
		{Serving: true, Next: &next{Program: "/opt/chalkring", Ready: 1500 * time.Millisecond}},
	}
	from, to, err := os.Pipe()
	require.NoError(t, err)
	defer from.Close()
	for _, value := range values {
		require.NoError(t, tellKeeper(to, value))
	}
	require.NoError(t, to.Close())
	now, err := io.ReadAll(from)
	require.NoError(t, err)
	golden.Require(t, "keeper-lines.jsonl", now)
	for i, line := range strings.Split(strings.TrimSpace(string(golden.Read(t, "keeper-lines.jsonl"))), "\n") {
		var got said
		require.NoError(t, json.Unmarshal([]byte(line), &got))
		require.Equal(t, values[i], got)
	}
	require.Equal(t, []string{"CHALKRING_KEPT", "CHALKRING_FELL", "CHALKRING_OWN"}, []string{keptEnv, fellEnv, ownEnv})
	require.Equal(t, []int{3, 4}, []int{listenerFd, keeperFd})
}
