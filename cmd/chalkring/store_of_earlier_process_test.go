package main

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/control/rollout"
	"chalkring/storage/store"
)

// A store that an earlier process still has open is opened once that has closed it. The contracts in it are in force from
// then on, and its state of changes, which could not be read at the start, is not overwritten.
func TestStoreOfAnEarlierProcess(t *testing.T) {
	t.Parallel()
	addrs, dir := freeAddrs(t, "a"), t.TempDir()
	path := filepath.Join(dir, "kept.db")
	held, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	const policy = "00000000000000000002-0"
	require.NoError(t, held.Put(t.Context(), residencyBucket, map[string][]byte{policy: []byte(strictPolicy)}, nil))
	a := startInstance(t, dir, "a", addrs, true) // waits for the store as long as any start
	runner := &rolloutRunner{clusterInstance: a.sharing}
	runner.load()
	require.Contains(t, a.logText(), "is locked by another process")
	require.NoError(t, held.Close(t.Context()))
	select {
	case <-a.sharing.opened:
	case <-time.After(testTimeout):
		t.Fatal("the store is not opened")
	}
	require.NotNil(t, a.sharing.store)
	a.eventually("the stored policy is in force", func() bool { return a.allows("east") && !a.allows("west") && a.guard.Policy().Generation == 2 })
	_, found, err := a.sharing.store.Get(residencyBucket, policy)
	require.NoError(t, err)
	require.True(t, found, a.logText())
	runner.state.Running = &rollout.Change{Number: 1}
	require.Error(t, runner.save(), "the stored state is unknown")
	_, found, err = a.sharing.store.Get(rolloutBucket, stateKey)
	require.NoError(t, err)
	require.False(t, found)
}
