package replication

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/testnet"
)

const (
	testTimeout = 20 * time.Second
	testPoll    = 10 * time.Millisecond
)

// memoryStorage is an in-memory Storage that can be copied and made to fail.
type memoryStorage struct {
	mu       sync.Mutex
	data     map[string][]byte
	putError error
}

func newMemoryStorage() *memoryStorage { return &memoryStorage{data: map[string][]byte{}} }

func (s *memoryStorage) Put(_ context.Context, _ string, puts map[string][]byte, deletes []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.putError != nil {
		return s.putError
	}
	maps.Copy(s.data, puts)
	for _, key := range deletes {
		delete(s.data, key)
	}
	return nil
}

func (s *memoryStorage) Load(_ string, visit func(string, []byte) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.data {
		if err := visit(key, bytes.Clone(value)); err != nil {
			return err
		}
	}
	return nil
}

func (s *memoryStorage) copy() *memoryStorage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &memoryStorage{data: maps.Clone(s.data)}
}

func (s *memoryStorage) failPuts(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putError = err
}

// logBuffer collects the log of a cluster.
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

// testCluster is a few instances on an in-memory network.
type testCluster struct {
	t               *testing.T
	network         *testnet.Network
	names           []string
	lastIncarnation uint64
	storages        map[string]*memoryStorage
	replicators     map[string]*Replicator
	nodes           map[string]*testnet.Node
	log             *logBuffer
	storageOpened   chan struct{} // the storages of starting instances open once it is closed
}

func newTestCluster(t *testing.T, names ...string) *testCluster {
	c := &testCluster{
		t: t, network: testnet.New(1), names: names, storages: map[string]*memoryStorage{}, replicators: map[string]*Replicator{},
		nodes: map[string]*testnet.Node{}, log: &logBuffer{}, storageOpened: make(chan struct{}),
	}
	close(c.storageOpened)
	for _, name := range names {
		c.storages[name] = newMemoryStorage()
		c.start(name)
	}
	t.Cleanup(func() {
		for _, name := range names {
			c.kill(name)
		}
	})
	return c
}

// start starts an instance and waits until it is ready.
func (c *testCluster) start(name string) *Replicator {
	replicator := c.startWithoutWaiting(name)
	<-replicator.Ready()
	return replicator
}

func (c *testCluster) startWithoutWaiting(name string) *Replicator {
	c.lastIncarnation++
	c.nodes[name] = c.network.Join(name)
	storage, opened := c.storages[name], c.storageOpened
	c.replicators[name] = Start(context.Background(), Options{
		InstanceName: name, Incarnation: c.lastIncarnation, Transport: c.nodes[name], Seed: int64(c.lastIncarnation),
		ExchangeInterval: 50 * time.Millisecond, Logger: slog.New(slog.NewTextHandler(c.log, nil)),
		OpenStorage: func(context.Context) (Storage, error) { <-opened; return storage, nil },
		Peers: func() (alive, members []string) {
			for _, other := range c.names {
				if c.network.IsConnected(name, other) {
					alive = append(alive, other)
				}
			}
			return alive, c.names
		},
	})
	return c.replicators[name]
}

// kill ends an instance without waiting until its changes are on disk.
func (c *testCluster) kill(name string) {
	if replicator := c.replicators[name]; replicator != nil {
		c.nodes[name].Leave()
		replicator.cancel()
		<-replicator.stopped
	}
}

func (c *testCluster) requireEqualReplicas() {
	c.t.Helper()
	c.requireEventually(func() bool {
		first := c.replicators[c.names[0]].Digest()
		for _, name := range c.names {
			if c.replicators[name].Digest() != first {
				return false
			}
		}
		return true
	})
}

func (c *testCluster) requireEventually(condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, testTimeout, testPoll)
}

func requirePersisted(t *testing.T, replicator *Replicator) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, replicator.WaitPersisted(ctx))
}

// value returns the value of a name's first sibling, "" if no sibling is live.
func value(replicator *Replicator, name string) string {
	entry, ok := replicator.Get(name)
	if !ok {
		return ""
	}
	return string(entry.Siblings[0].Value)
}
