package replication

import (
	"context"
	"encoding/hex"
	"log/slog"
	"testing"
	"time"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
	"chalkring/internal/testnet"
)

const goldenBucket = "share-bucket.json" // values in hex by key, from one instance

// bucketCheckingStorage is a disk that knows which bucket it is asked for.
type bucketCheckingStorage struct {
	*memoryStorage
	t *testing.T
}

func (d *bucketCheckingStorage) Put(ctx context.Context, bucket string, puts map[string][]byte, deletes []string) error {
	if bucket != "share" {
		d.t.Errorf("bucket %q", bucket)
	}
	return d.memoryStorage.Put(ctx, bucket, puts, deletes)
}

func (d *bucketCheckingStorage) Load(bucket string, f func(string, []byte) error) error {
	if bucket != "share" {
		d.t.Errorf("bucket %q", bucket)
	}
	return d.memoryStorage.Load(bucket, f)
}

func startOnStorage(t *testing.T, life uint64, d *memoryStorage) *Replicator {
	b := Start(context.Background(), Options{
		InstanceName: "east-0", Incarnation: life, Transport: testnet.New(1).Join("east-0"), Seed: 1,
		ExchangeInterval: 50 * time.Millisecond, Logger: slog.New(slog.DiscardHandler),
		OpenStorage: func(context.Context) (Storage, error) { return &bucketCheckingStorage{d, t}, nil },
		Peers:       func() (alive, listed []string) { return nil, []string{"east-0", "west-0"} },
	})
	<-b.Ready()
	return b
}

func goldenStorage(t *testing.T) *memoryStorage {
	d := &memoryStorage{data: map[string][]byte{}}
	for key, value := range golden.ReadJSON[map[string]string](t, goldenBucket) {
		var err error
		d.data[key], err = hex.DecodeString(value)
		require.NoError(t, err)
	}
	return d
}

// An instance that puts and deletes writes the golden bucket, byte for byte.
func TestGoldenBucketWritten(t *testing.T) {
	d := &memoryStorage{data: map[string][]byte{}}
	b := startOnStorage(t, 1_700_000_000_000_000_000, d)
	for _, kv := range [][2]string{{"x/one", "first"}, {"x/one", "second"}, {"x/two", ""}, {"y", "gone"}, {"zones/eu-1", "\x00\xff"}} {
		_, err := b.Put(kv[0], []byte(kv[1]))
		require.NoError(t, err)
	}
	_, err := b.Delete("y")
	require.NoError(t, err)
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	require.NoError(t, b.WaitPersisted(ctx))
	b.cancel()
	<-b.stopped
	got := map[string]string{}
	for key, value := range d.copy().data {
		got[key] = hex.EncodeToString(value)
	}
	golden.RequireJSON(t, goldenBucket, got)
}

// A later life of the instance reads the golden bucket and holds what was written.
func TestGoldenBucketRead(t *testing.T) {
	b := startOnStorage(t, 1_700_000_000_000_000_001, goldenStorage(t))
	defer func() { b.cancel(); <-b.stopped }()
	actor := "east-0#1700000000000000000"
	for name, want := range map[string]crdt.Sibling{
		"x/one":      {Dot: crdt.Dot{Actor: actor, Counter: 2}, Value: []byte("second")},
		"x/two":      {Dot: crdt.Dot{Actor: actor, Counter: 3}, Value: []byte{}},
		"zones/eu-1": {Dot: crdt.Dot{Actor: actor, Counter: 5}, Value: []byte("\x00\xff")},
	} {
		e, ok := b.Get(name)
		require.True(t, ok, name)
		require.Equal(t, name, e.Name)
		require.Equal(t, []crdt.Sibling{want}, e.Siblings)
	}
	_, ok := b.Get("y")
	require.False(t, ok)
	b.mu.Lock()
	defer b.mu.Unlock()
	require.Equal(t, crdt.Version{{Actor: actor, Counter: 6}}, b.state.KnownVersion(), "what the instance has seen, from its own key")
}
