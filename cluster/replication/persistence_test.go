package replication

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After all instances were killed and one started again with an older disk, no deleted entry comes back and no other is
// lost.
func TestRestartsWithOlderDisk(t *testing.T) {
	c := newTestCluster(t, "a", "b", "c")
	for i := range 20 {
		_, _ = c.replicators["a"].Put(fmt.Sprint(i), []byte("v"))
	}
	c.requireEqualReplicas()
	requirePersisted(t, c.replicators["b"])
	older := c.storages["b"].copy()
	for i := range 10 {
		_, _ = c.replicators["c"].Delete(fmt.Sprint(i))
	}
	for _, replicator := range c.replicators {
		c.requireEventually(func() bool { stats := replicator.Stats(); return stats.LiveEntries == 10 && stats.Tombstones == 0 })
	}
	for _, name := range c.names { // the known versions of the other instances must survive the kill
		requirePersisted(t, c.replicators[name])
	}
	for _, name := range c.names {
		c.kill(name)
	}
	c.storages["b"] = older
	for _, name := range []string{"b", "a", "c"} {
		c.start(name)
	}
	require.Equal(t, "v", value(c.replicators["b"], "19"), "from disk")
	_, err := c.replicators["b"].Put("after", []byte("w"))
	require.NoError(t, err)
	c.requireEqualReplicas()
	for _, replicator := range c.replicators {
		for i := range 10 {
			require.Empty(t, value(replicator, fmt.Sprint(i)))
		}
		require.Equal(t, "v", value(replicator, "12"))
		require.Equal(t, "w", value(replicator, "after"))
	}
}

// While the storage refuses writes, changes still reach the other instances and WaitPersisted returns the error. The
// changes are written once the storage works again.
func TestFailingStorageDelaysNothing(t *testing.T) {
	c := newTestCluster(t, "a", "b")
	c.storages["a"].failPuts(errors.New("no space left"))
	_, err := c.replicators["a"].Put("x", []byte("y"))
	require.NoError(t, err)
	c.requireEqualReplicas()
	short, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var notPersisted *NotPersistedError
	require.ErrorAs(t, c.replicators["a"].WaitPersisted(short), &notPersisted)
	require.Contains(t, c.log.String(), eventStore)
	require.Contains(t, c.log.String(), "no space left")
	c.storages["a"].failPuts(nil)
	requirePersisted(t, c.replicators["a"])
}

// The state in a storage that opens late is merged, and changes made before that are written to it afterwards.
func TestStorageThatOpensLate(t *testing.T) {
	c := newTestCluster(t, "a", "b")
	_, _ = c.replicators["a"].Put("x", []byte("kept"))
	c.requireEqualReplicas()
	requirePersisted(t, c.replicators["a"])
	c.kill("a")
	_, _ = c.replicators["b"].Put("x", []byte("newer"))
	c.storageOpened = make(chan struct{})
	late := c.startWithoutWaiting("a")
	late.readyOnce.Do(func() { close(late.ready) }) // what storageTimeout does
	c.requireEqualReplicas()
	close(c.storageOpened)
	<-late.restored
	require.Equal(t, "newer", value(late, "x"))
	requirePersisted(t, late)
	c.kill("a")
	c.start("a")
	require.Equal(t, "newer", value(c.replicators["a"], "x"), "from disk")
	c.requireEqualReplicas()
	require.Equal(t, "newer", value(c.replicators["b"], "x"))
}
