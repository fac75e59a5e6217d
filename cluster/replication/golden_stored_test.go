package replication

import (
	"context"
	"encoding/hex"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
)

const goldenBucket = "share-bucket.json" // hex-encoded values by key, written by one instance

// bucketCheckingStorage fails the test if a call names a bucket other than "share".
type bucketCheckingStorage struct {
	*memoryStorage
	t *testing.T
}

func (s *bucketCheckingStorage) Put(ctx context.Context, bucket string, puts map[string][]byte, deletes []string) error {
	if bucket != "share" {
		s.t.Errorf("got bucket %q; want \"share\"", bucket)
	}
	return s.memoryStorage.Put(ctx, bucket, puts, deletes)
}

func (s *bucketCheckingStorage) Load(bucket string, visit func(string, []byte) error) error {
	if bucket != "share" {
		s.t.Errorf("got bucket %q; want \"share\"", bucket)
	}
	return s.memoryStorage.Load(bucket, visit)
}

// restoredFrom returns a replicator that has merged the state in a storage. It has no background work, since the collect
// job makes a row at some point, and that changes the known version.
func restoredFrom(t *testing.T, incarnation uint64, storage *memoryStorage) *Replicator {
	replicator := newReplicator(context.Background(), Options{
		InstanceName: "east-0", Incarnation: incarnation, Seed: 1,
		OpenStorage: func(context.Context) (Storage, error) { return &bucketCheckingStorage{storage, t}, nil },
	})
	require.NoError(t, replicator.restore(context.Background(), nil))
	require.True(t, replicator.isReady())
	return replicator
}

func goldenStorage(t *testing.T) *memoryStorage {
	storage := newMemoryStorage()
	for key, value := range golden.ReadJSON[map[string]string](t, goldenBucket) {
		var err error
		storage.data[key], err = hex.DecodeString(value)
		require.NoError(t, err)
	}
	return storage
}

// The changes that an instance makes are written as in the golden bucket, byte for byte.
func TestGoldenBucketWritten(t *testing.T) {
	storage := newMemoryStorage()
	replicator := restoredFrom(t, 1_700_000_000_000_000_000, storage)
	for _, nameAndValue := range [][2]string{{"x/one", "first"}, {"x/one", "second"}, {"x/two", ""}, {"y", "gone"}, {"zones/eu-1", "\x00\xff"}} {
		_, err := replicator.Put(nameAndValue[0], []byte(nameAndValue[1]))
		require.NoError(t, err)
	}
	_, err := replicator.Delete("y")
	require.NoError(t, err)
	require.NoError(t, replicator.persistOnce(context.Background()))
	got := map[string]string{}
	for key, value := range storage.copy().data {
		got[key] = hex.EncodeToString(value)
	}
	golden.RequireJSON(t, goldenBucket, got)
}

// A later incarnation of the instance restores the golden bucket and holds what was written.
func TestGoldenBucketRead(t *testing.T) {
	replicator := restoredFrom(t, 1_700_000_000_000_000_001, goldenStorage(t))
	actor := "east-0#1700000000000000000"
	for name, want := range map[string]crdt.Sibling{
		"x/one":      {Dot: crdt.Dot{Actor: actor, Counter: 2}, Value: []byte("second")},
		"x/two":      {Dot: crdt.Dot{Actor: actor, Counter: 3}, Value: []byte{}},
		"zones/eu-1": {Dot: crdt.Dot{Actor: actor, Counter: 5}, Value: []byte("\x00\xff")},
	} {
		entry, ok := replicator.Get(name)
		require.True(t, ok, name)
		require.Equal(t, name, entry.Name)
		require.Equal(t, []crdt.Sibling{want}, entry.Siblings)
	}
	_, ok := replicator.Get("y")
	require.False(t, ok)
	require.Equal(t, crdt.Version{{Actor: actor, Counter: 6}}, replicator.state.KnownVersion(), "the known version, which has its own key")
}
