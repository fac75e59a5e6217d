package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A change signals a watch on another instance and reaches all instances. A deleted name leaves no tombstone behind once
// all have seen the delete.
func TestChangesReachAllAndTombstonesAreCollected(t *testing.T) {
	c := newTestCluster(t, "a", "b", "c", "d")
	changed, stop := c.replicators["d"].Watch("x/")
	defer stop()
	<-changed
	_, err := c.replicators["a"].Put("x/1", []byte("one"))
	require.NoError(t, err)
	select {
	case <-changed:
	case <-time.After(10 * time.Second):
		t.Fatal("the watch was not signalled")
	}
	c.requireEqualReplicas()
	require.Equal(t, "one", value(c.replicators["c"], "x/1"))
	_, err = c.replicators["b"].Delete("x/1")
	require.NoError(t, err)
	c.requireEqualReplicas()
	for _, replicator := range c.replicators {
		c.requireEventually(func() bool { stats := replicator.Stats(); return stats.LiveEntries+stats.Tombstones == 0 })
	}
}

// After a partition all instances hold the changes of both sides. Where both sides changed the same name, the changes are
// kept as siblings.
func TestSidesOfPartitionConverge(t *testing.T) {
	c := newTestCluster(t, "a", "b", "c", "d")
	c.network.SetFaults(time.Millisecond, 3*time.Millisecond, 0.05)
	for i := range 300 {
		_, _ = c.replicators["a"].Put(fmt.Sprint(i), []byte("before"))
	}
	c.requireEqualReplicas()
	c.network.Partition([]string{"a", "b"}, []string{"c", "d"})
	for i := range 100 {
		_, _ = c.replicators["a"].Delete(fmt.Sprint(i))
		_, _ = c.replicators["d"].Put(fmt.Sprint(i+50), []byte("d"))
		_, _ = c.replicators["c"].Put(fmt.Sprint("new", i), []byte("c"))
	}
	c.requireEventually(func() bool {
		return c.replicators["a"].Digest() == c.replicators["b"].Digest() && c.replicators["c"].Digest() == c.replicators["d"].Digest()
	})
	c.network.Partition()
	c.requireEqualReplicas()
	for _, replicator := range c.replicators {
		require.Empty(t, value(replicator, "7"), "deleted on one side, unchanged on the other")
		entry, _ := replicator.Get("70")
		require.Len(t, entry.Siblings, 2, "deleted on one side, written on the other: the caller decides")
		require.Equal(t, "d", value(replicator, "120"))
		require.Equal(t, "c", value(replicator, "new9"))
	}
}

// From tombstoneHighWatermark on, tombstones are collected without waiting for a member that is cut off. When it returns,
// it brings no deleted entry back, and the others receive its changes.
func TestManyTombstonesDoNotWaitForAbsentMembers(t *testing.T) {
	c := newTestCluster(t, "a", "b")
	_, _ = c.replicators["a"].Put("before", []byte("v"))
	c.requireEqualReplicas()
	c.network.Partition([]string{"a"}, []string{"b"})
	for i := range tombstoneHighWatermark + 10 {
		_, err := c.replicators["a"].Put(fmt.Sprint(i), nil)
		require.NoError(t, err)
		_, err = c.replicators["a"].Delete(fmt.Sprint(i))
		require.NoError(t, err)
	}
	_, _ = c.replicators["a"].Delete("before")
	c.requireEventually(func() bool { return c.replicators["a"].Stats().Tombstones < tombstoneHighWatermark })
	_, _ = c.replicators["b"].Put("meanwhile", []byte("w"))
	c.network.Partition()
	c.requireEqualReplicas()
	require.Empty(t, value(c.replicators["b"], "before"))
	require.Equal(t, "w", value(c.replicators["a"], "meanwhile"))
}

func TestInvalidMessageIsLogged(t *testing.T) {
	c := newTestCluster(t, "a", "b")
	c.replicators["a"].handleMessage("b", []byte{9, 9})
	require.Contains(t, c.log.String(), eventMessage)
}
