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

// disk is a store in memory that can be put back, and can fail.
type disk struct {
	mu   sync.Mutex
	data map[string][]byte
	fail error
}

func (d *disk) Put(_ context.Context, _ string, puts map[string][]byte, deletes []string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail != nil {
		return d.fail
	}
	for k, v := range puts {
		d.data[k] = v
	}
	for _, k := range deletes {
		delete(d.data, k)
	}
	return nil
}

func (d *disk) Load(_ string, f func(string, []byte) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.data {
		if err := f(k, bytes.Clone(v)); err != nil {
			return err
		}
	}
	return nil
}

func (d *disk) copy() *disk {
	out := &disk{data: map[string][]byte{}}
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.data {
		out.data[k] = v
	}
	return out
}

type fleet struct {
	t     *testing.T
	net   *testnet.Network
	names []string
	life  uint64
	disks map[string]*disk
	books map[string]*Replicator
	nodes map[string]*testnet.Node
	log   *lines

	opened chan struct{} // disks that are opened later
}

type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{
		t: t, net: testnet.New(1), names: names, disks: map[string]*disk{}, books: map[string]*Replicator{}, nodes: map[string]*testnet.Node{}, log: &lines{},
		opened: make(chan struct{}),
	}
	close(f.opened)
	for _, n := range names {
		f.disks[n] = &disk{data: map[string][]byte{}}
		f.start(n)
	}
	t.Cleanup(func() {
		for _, n := range names {
			f.kill(n)
		}
	})
	return f
}

func (f *fleet) start(name string) *Replicator {
	b := f.begin(name)
	<-b.Ready()
	return b
}

func (f *fleet) begin(name string) *Replicator {
	f.life++
	node := f.net.Join(name)
	f.nodes[name] = node
	d := f.disks[name]
	opened := f.opened
	f.books[name] = Start(context.Background(), Options{
		InstanceName: name, Incarnation: f.life, Transport: node, Seed: int64(f.life),
		ExchangeInterval: 50 * time.Millisecond, Logger: slog.New(slog.NewTextHandler(f.log, nil)),
		OpenStorage: func(context.Context) (Storage, error) { <-opened; return d, nil },
		Peers: func() (alive, listed []string) {
			for _, n := range f.names {
				if f.net.IsConnected(name, n) {
					alive = append(alive, n)
				}
			}
			return alive, f.names
		},
	})
	return f.books[name]
}

// kill ends an instance without a last write.
func (f *fleet) kill(name string) {
	if b := f.books[name]; b != nil {
		f.nodes[name].Leave()
		b.stop()
		<-b.done
	}
}

func (f *fleet) alike() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, n := range f.names {
			if f.books[n].Digest() != f.books[f.names[0]].Digest() {
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

func TestChangesReachAllAndDeletesAreForgottenByAll(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	seen, stop := f.books["d"].Watch("x/")
	defer stop()
	<-seen
	_, err := f.books["a"].Put("x/1", []byte("one"))
	require.NoError(t, err)
	select {
	case <-seen:
	case <-time.After(10 * time.Second):
		t.Fatal("not told")
	}
	f.alike()
	require.Equal(t, "one", value(f.books["c"], "x/1"))
	_, err = f.books["b"].Delete("x/1")
	require.NoError(t, err)
	f.alike()
	for _, b := range f.books {
		require.Eventually(t, func() bool { s := b.Stats(); return s.LiveEntries+s.Tombstones == 0 }, 20*time.Second, 10*time.Millisecond)
	}
}

func TestSidesOfAPartitionBecomeAlike(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	f.net.SetFaults(time.Millisecond, 3*time.Millisecond, 0.05)
	for i := range 300 {
		_, _ = f.books["a"].Put(fmt.Sprint(i), []byte("before"))
	}
	f.alike()
	f.net.Partition([]string{"a", "b"}, []string{"c", "d"})
	for i := range 100 {
		_, _ = f.books["a"].Delete(fmt.Sprint(i))
		_, _ = f.books["d"].Put(fmt.Sprint(i+50), []byte("d"))
		_, _ = f.books["c"].Put(fmt.Sprint("new", i), []byte("c"))
	}
	require.Eventually(t, func() bool {
		return f.books["a"].Digest() == f.books["b"].Digest() && f.books["c"].Digest() == f.books["d"].Digest()
	}, 20*time.Second, 10*time.Millisecond)
	f.net.Partition()
	f.alike()
	for _, b := range f.books {
		require.Empty(t, value(b, "7"), "deleted on one side, untouched on the other")
		e, _ := b.Get("70")
		require.Len(t, e.Siblings, 2, "deleted on one side, written on the other: the caller decides")
		require.Equal(t, "d", value(b, "120"))
		require.Equal(t, "c", value(b, "new9"))
	}
}

func TestRestartsAndOlderDisks(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	for i := range 20 {
		_, _ = f.books["a"].Put(fmt.Sprint(i), []byte("v"))
	}
	f.alike()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	require.NoError(t, f.books["b"].WaitPersisted(ctx))
	old := f.disks["b"].copy()
	for i := range 10 {
		_, _ = f.books["c"].Delete(fmt.Sprint(i))
	}
	for _, b := range f.books {
		require.Eventually(t, func() bool { s := b.Stats(); return s.LiveEntries == 10 && s.Tombstones == 0 }, 20*time.Second, 10*time.Millisecond)
	}
	for _, n := range f.names { // what the others know must outlive them
		require.NoError(t, f.books[n].WaitPersisted(ctx))
	}
	for _, n := range f.names {
		f.kill(n)
	}
	f.disks["b"] = old
	for _, n := range []string{"b", "a", "c"} {
		f.start(n)
	}
	require.Equal(t, "v", value(f.books["b"], "19"), "from disk")
	_, err := f.books["b"].Put("after", []byte("w"))
	require.NoError(t, err)
	f.alike()
	for _, b := range f.books {
		for i := range 10 {
			require.Empty(t, value(b, fmt.Sprint(i)))
		}
		require.Equal(t, "v", value(b, "12"))
		require.Equal(t, "w", value(b, "after"))
	}
}

func TestAStoreThatFailsHoldsNothingUp(t *testing.T) {
	f := newFleet(t, "a", "b")
	d := f.disks["a"]
	d.mu.Lock()
	d.fail = errors.New("no space left")
	d.mu.Unlock()
	_, err := f.books["a"].Put("x", []byte("y"))
	require.NoError(t, err)
	f.alike()
	short, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	var unkept *NotPersistedError
	require.ErrorAs(t, f.books["a"].WaitPersisted(short), &unkept)
	require.Contains(t, f.log.String(), "share_store")
	require.Contains(t, f.log.String(), "no space left")
	d.mu.Lock()
	d.fail = nil
	d.mu.Unlock()
	ctx, stop2 := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop2()
	require.NoError(t, f.books["a"].WaitPersisted(ctx))
	f.books["a"].handle("b", []byte{9, 9})
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

func TestAStormOfDeletesDoesNotWaitForWhoIsNotThere(t *testing.T) {
	f := newFleet(t, "a", "b")
	_, _ = f.books["a"].Put("before", []byte("v"))
	f.alike()
	f.net.Partition([]string{"a"}, []string{"b"})
	for i := range deadMany + 10 {
		_, err := f.books["a"].Put(fmt.Sprint(i), nil)
		require.NoError(t, err)
		_, err = f.books["a"].Delete(fmt.Sprint(i))
		require.NoError(t, err)
	}
	_, _ = f.books["a"].Delete("before")
	require.Eventually(t, func() bool { return f.books["a"].Stats().Tombstones < deadMany }, 20*time.Second, 10*time.Millisecond)
	_, _ = f.books["b"].Put("meanwhile", []byte("w"))
	f.net.Partition()
	f.alike()
	require.Empty(t, value(f.books["b"], "before"))
	require.Equal(t, "w", value(f.books["a"], "meanwhile"))
}

// A disk that comes late brings what it kept, and what was changed before stands on it afterwards.
func TestADiskThatComesLate(t *testing.T) {
	f := newFleet(t, "a", "b")
	_, _ = f.books["a"].Put("x", []byte("kept"))
	f.alike()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	require.NoError(t, f.books["a"].WaitPersisted(ctx))
	f.kill("a")
	_, _ = f.books["b"].Put("x", []byte("newer"))
	f.opened = make(chan struct{})
	a := f.begin("a")
	a.begun.Do(func() { close(a.ready) }) // as after the wait for it
	f.alike()
	close(f.opened)
	<-a.found
	require.Equal(t, "newer", value(a, "x"))
	require.NoError(t, a.WaitPersisted(ctx))
	f.kill("a")
	f.start("a")
	require.Equal(t, "newer", value(f.books["a"], "x"), "from disk")
	f.alike()
	require.Equal(t, "newer", value(f.books["b"], "x"))
}
