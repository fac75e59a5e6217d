package replication

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
	"chalkring/internal/testnet"
)

// memoryStorage is a store in memory that can be put back, and can fail.
type memoryStorage struct {
	mu       sync.Mutex
	data     map[string][]byte
	putError error
}

func (d *memoryStorage) Put(_ context.Context, _ string, puts map[string][]byte, deletes []string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.putError != nil {
		return d.putError
	}
	for k, v := range puts {
		d.data[k] = v
	}
	for _, k := range deletes {
		delete(d.data, k)
	}
	return nil
}

func (d *memoryStorage) Load(_ string, f func(string, []byte) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.data {
		if err := f(k, bytes.Clone(v)); err != nil {
			return err
		}
	}
	return nil
}

func (d *memoryStorage) copy() *memoryStorage {
	out := &memoryStorage{data: map[string][]byte{}}
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.data {
		out.data[k] = v
	}
	return out
}

type testCluster struct {
	t               *testing.T
	network         *testnet.Network
	names           []string
	lastIncarnation uint64
	storages        map[string]*memoryStorage
	replicators     map[string]*Replicator
	nodes           map[string]*testnet.Node
	log             *logBuffer

	storageOpened chan struct{} // disks that are opened later
}

type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newTestCluster(t *testing.T, names ...string) *testCluster {
	f := &testCluster{
		t: t, network: testnet.New(1), names: names, storages: map[string]*memoryStorage{}, replicators: map[string]*Replicator{}, nodes: map[string]*testnet.Node{}, log: &logBuffer{},
		storageOpened: make(chan struct{}),
	}
	close(f.storageOpened)
	for _, n := range names {
		f.storages[n] = &memoryStorage{data: map[string][]byte{}}
		f.start(n)
	}
	t.Cleanup(func() {
		for _, n := range names {
			f.kill(n)
		}
	})
	return f
}

func (f *testCluster) start(name string) *Replicator {
	b := f.begin(name)
	<-b.Ready()
	return b
}

func (f *testCluster) begin(name string) *Replicator {
	f.lastIncarnation++
	node := f.network.Join(name)
	f.nodes[name] = node
	d := f.storages[name]
	opened := f.storageOpened
	f.replicators[name] = Start(context.Background(), Options{
		InstanceName: name, Incarnation: f.lastIncarnation, Transport: node, Seed: int64(f.lastIncarnation),
		ExchangeInterval: 50 * time.Millisecond, Logger: slog.New(slog.NewTextHandler(f.log, nil)),
		OpenStorage: func(context.Context) (Storage, error) { <-opened; return d, nil },
		Peers: func() (alive, listed []string) {
			for _, n := range f.names {
				if f.network.IsConnected(name, n) {
					alive = append(alive, n)
				}
			}
			return alive, f.names
		},
	})
	return f.replicators[name]
}

// kill ends an instance without a last write.
func (f *testCluster) kill(name string) {
	if b := f.replicators[name]; b != nil {
		f.nodes[name].Leave()
		b.cancel()
		<-b.stopped
	}
}

func (f *testCluster) requireEqualReplicas() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, n := range f.names {
			if f.replicators[n].Digest() != f.replicators[f.names[0]].Digest() {
				return false
			}
		}
		return true
	}, 20*time.Second, 10*time.Millisecond)
}

func value(b *Replicator, name string) string {
	e, ok := b.Get(name)
	if !ok {
		return ""
	}
	return string(e.Siblings[0].Value)
}

func TestChangesReachAllAndTombstonesAreCollected(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c", "d")
	seen, stop := f.replicators["d"].Watch("x/")
	defer stop()
	<-seen
	_, err := f.replicators["a"].Put("x/1", []byte("one"))
	require.NoError(t, err)
	select {
	case <-seen:
	case <-time.After(10 * time.Second):
		t.Fatal("not told")
	}
	f.requireEqualReplicas()
	require.Equal(t, "one", value(f.replicators["c"], "x/1"))
	_, err = f.replicators["b"].Delete("x/1")
	require.NoError(t, err)
	f.requireEqualReplicas()
	for _, b := range f.replicators {
		require.Eventually(t, func() bool { s := b.Stats(); return s.LiveEntries+s.Tombstones == 0 }, 20*time.Second, 10*time.Millisecond)
	}
}

func TestSidesOfPartitionConverge(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c", "d")
	f.network.SetFaults(time.Millisecond, 3*time.Millisecond, 0.05)
	for i := range 300 {
		_, _ = f.replicators["a"].Put(fmt.Sprint(i), []byte("before"))
	}
	f.requireEqualReplicas()
	f.network.Partition([]string{"a", "b"}, []string{"c", "d"})
	for i := range 100 {
		_, _ = f.replicators["a"].Delete(fmt.Sprint(i))
		_, _ = f.replicators["d"].Put(fmt.Sprint(i+50), []byte("d"))
		_, _ = f.replicators["c"].Put(fmt.Sprint("new", i), []byte("c"))
	}
	require.Eventually(t, func() bool {
		return f.replicators["a"].Digest() == f.replicators["b"].Digest() && f.replicators["c"].Digest() == f.replicators["d"].Digest()
	}, 20*time.Second, 10*time.Millisecond)
	f.network.Partition()
	f.requireEqualReplicas()
	for _, b := range f.replicators {
		require.Empty(t, value(b, "7"), "deleted on one side, untouched on the other")
		e, _ := b.Get("70")
		require.Len(t, e.Siblings, 2, "deleted on one side, written on the other: the caller decides")
		require.Equal(t, "d", value(b, "120"))
		require.Equal(t, "c", value(b, "new9"))
	}
}

func TestRestartsWithOlderDisk(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c")
	for i := range 20 {
		_, _ = f.replicators["a"].Put(fmt.Sprint(i), []byte("v"))
	}
	f.requireEqualReplicas()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	require.NoError(t, f.replicators["b"].WaitPersisted(ctx))
	old := f.storages["b"].copy()
	for i := range 10 {
		_, _ = f.replicators["c"].Delete(fmt.Sprint(i))
	}
	for _, b := range f.replicators {
		require.Eventually(t, func() bool { s := b.Stats(); return s.LiveEntries == 10 && s.Tombstones == 0 }, 20*time.Second, 10*time.Millisecond)
	}
	for _, n := range f.names { // what the others know must outlive them
		require.NoError(t, f.replicators[n].WaitPersisted(ctx))
	}
	for _, n := range f.names {
		f.kill(n)
	}
	f.storages["b"] = old
	for _, n := range []string{"b", "a", "c"} {
		f.start(n)
	}
	require.Equal(t, "v", value(f.replicators["b"], "19"), "from disk")
	_, err := f.replicators["b"].Put("after", []byte("w"))
	require.NoError(t, err)
	f.requireEqualReplicas()
	for _, b := range f.replicators {
		for i := range 10 {
			require.Empty(t, value(b, fmt.Sprint(i)))
		}
		require.Equal(t, "v", value(b, "12"))
		require.Equal(t, "w", value(b, "after"))
	}
}

func TestFailingStorageDelaysNothing(t *testing.T) {
	f := newTestCluster(t, "a", "b")
	d := f.storages["a"]
	d.mu.Lock()
	d.putError = errors.New("no space left")
	d.mu.Unlock()
	_, err := f.replicators["a"].Put("x", []byte("y"))
	require.NoError(t, err)
	f.requireEqualReplicas()
	short, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	var unkept *NotPersistedError
	require.ErrorAs(t, f.replicators["a"].WaitPersisted(short), &unkept)
	require.Contains(t, f.log.String(), "share_store")
	require.Contains(t, f.log.String(), "no space left")
	d.mu.Lock()
	d.putError = nil
	d.mu.Unlock()
	ctx, stop2 := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop2()
	require.NoError(t, f.replicators["a"].WaitPersisted(ctx))
	f.replicators["a"].handleMessage("b", []byte{9, 9})
	require.Contains(t, f.log.String(), "share_message")
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	for _, e := range []interface {
		error
		Advice() string
	}{unkept, &UnreadableStateError{"k", err}, &ExchangeInterruptedError{"b", err}, &InvalidMessageError{"b", err}, &LongAbsenceError{"b", nil}, &crdt.TooLargeError{}, &crdt.CapacityExceededError{}, &crdt.SupersededError{}, &crdt.InvalidDataError{}, &crdt.TooManySiblingsError{}} {
		require.NotEmpty(t, e.Advice())
		require.NotEmpty(t, e.Error())
		require.Contains(t, string(page), "`"+strings.SplitN(fmt.Sprintf("%T", e), ".", 2)[1]+"`")
	}
}

func TestManyTombstonesDoNotWaitForAbsentMembers(t *testing.T) {
	f := newTestCluster(t, "a", "b")
	_, _ = f.replicators["a"].Put("before", []byte("v"))
	f.requireEqualReplicas()
	f.network.Partition([]string{"a"}, []string{"b"})
	for i := range tombstoneHighWatermark + 10 {
		_, err := f.replicators["a"].Put(fmt.Sprint(i), nil)
		require.NoError(t, err)
		_, err = f.replicators["a"].Delete(fmt.Sprint(i))
		require.NoError(t, err)
	}
	_, _ = f.replicators["a"].Delete("before")
	require.Eventually(t, func() bool { return f.replicators["a"].Stats().Tombstones < tombstoneHighWatermark }, 20*time.Second, 10*time.Millisecond)
	_, _ = f.replicators["b"].Put("meanwhile", []byte("w"))
	f.network.Partition()
	f.requireEqualReplicas()
	require.Empty(t, value(f.replicators["b"], "before"))
	require.Equal(t, "w", value(f.replicators["a"], "meanwhile"))
}

// A disk that comes late brings what it kept, and what was changed before stands on it afterwards.
func TestStorageThatOpensLate(t *testing.T) {
	f := newTestCluster(t, "a", "b")
	_, _ = f.replicators["a"].Put("x", []byte("kept"))
	f.requireEqualReplicas()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	require.NoError(t, f.replicators["a"].WaitPersisted(ctx))
	f.kill("a")
	_, _ = f.replicators["b"].Put("x", []byte("newer"))
	f.storageOpened = make(chan struct{})
	a := f.begin("a")
	a.readyOnce.Do(func() { close(a.ready) }) // as after the wait for it
	f.requireEqualReplicas()
	close(f.storageOpened)
	<-a.restored
	require.Equal(t, "newer", value(a, "x"))
	require.NoError(t, a.WaitPersisted(ctx))
	f.kill("a")
	f.start("a")
	require.Equal(t, "newer", value(f.replicators["a"], "x"), "from disk")
	f.requireEqualReplicas()
	require.Equal(t, "newer", value(f.replicators["b"], "x"))
}
