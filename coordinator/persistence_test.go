package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
	"chalkring/endpoints"
	"chalkring/internal/fake"
	"chalkring/internal/scheduler"
	"chalkring/storage/recovery"
	"chalkring/storage/store"
)

// restartWithStore serves a coordinator on a rig's hosts with a store at a path and without discovery.
func (r *rig) restartWithStore(path string, options store.Options) *rig {
	ln := listen(r.t)
	ctx, cancel := context.WithCancel(context.Background())
	more := &rig{t: r.t, replicas: r.replicas, list: script(r.t), addr: ln.Addr().String(), stop: cancel, ended: make(chan error, 1), log: &logBuffer{}}
	plan := *r.plan
	plan.Discovery = more.list.Listener.Addr().String()
	more.plan = &plan
	log, look := NewLogger(more.log, false, slog.LevelInfo), make(chan *eventLoop, 1)
	persistence := newPersistence(path, true, options, scheduler.Budget{}, more.plan, SystemClock{}, log)
	go func() {
		err := Serve(ctx, more.plan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{}, Logger: log,
			Persistence: persistence, EndpointUpdates: persistence.PrependStoredUpdate(ctx, nil), onStart: look,
		})
		persistence.Close()
		more.ended <- err
	}()
	more.loop = <-look
	r.t.Cleanup(cancel)
	return more
}

func (r *rig) persistence() *Persistence { return r.loop.Persistence }

// writeStore writes into a store as an earlier run would have.
func writeStore(t *testing.T, path string, puts map[string]any) {
	s, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	all := map[string][]byte{}
	for key, v := range puts {
		all[key], err = cbor.Marshal(v)
		require.NoError(t, err)
	}
	require.NoError(t, s.Put(context.Background(), stateBucket, all, nil))
	require.NoError(t, s.Close(context.Background()))
}

// hostsInForce returns the hosts that the event loop works with.
func (r *rig) hostsInForce() string {
	found := make(chan string, 1)
	require.True(r.t, r.loop.submit(func() {
		on := ""
		for _, hostID := range []string{"a0", "a1", "b0", "b1", "c0"} {
			if h := r.loop.replicas.byID[hostID]; h != nil && !h.removed {
				on += hostID + " "
			}
		}
		found <- on
	}))
	return <-found
}

// attemptsOn sends so many searches and returns how many attempts a host got.
func (r *rig) attemptsOn(host string, n int) int {
	before, c := r.replicas[host].CountRequests(), r.connect()
	for i := range n {
		c.expect(fmt.Sprint(r.addr, "-", before, "-", i), "all", 200, completeAnswer)
	}
	return r.replicas[host].CountRequests() - before
}

// Observations and the endpoint list survive a planned restart without discovery: a hanging host still gets next to
// nothing, and a host that discovery had removed does not return by the plan.
func TestRestartRestoresObservations(t *testing.T) {
	first := start(t, 256, nil)
	path := filepath.Join(t.TempDir(), "kept")
	r := first.restartWithStore(path, store.Options{})
	r.logged("event=store ")
	r.list.Responses <- fmt.Sprintf(`{"version":9,"full":false,"servers":[%s]}`, strings.ReplaceAll(r.entry("b1", "up"), `"up"`, `"removed"`))
	r.eventually("b1 is off", func() bool { return r.hostsInForce() == "a0 a1 b0 " })
	r.replicas["a0"].SetHandler(func(fake.ShardRequest) {}) // hangs
	r.attemptsOn("a0", 12)
	require.True(t, r.isSuspected("a0"))
	r.shutDown()
	require.NotContains(t, r.log.String(), "store_failed")

	cold := first.restartWithStore(filepath.Join(t.TempDir(), "none"), store.Options{})
	cold.logged("event=store ")
	require.Equal(t, "a0 a1 b0 b1 ", cold.hostsInForce())
	r = first.restartWithStore(path, store.Options{})
	r.logged("event=observations_imported peer=#store")
	r.eventually("b1 stays off", func() bool { return r.hostsInForce() == "a0 a1 b0 " })
	known, unknown := r.attemptsOn("a0", 6), cold.attemptsOn("a0", 6)
	require.Less(t, known, unknown)
	r.shutDown()
	cold.shutDown()
	s, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	defer s.Close(context.Background())
	j, err := store.NewEventLog(s, eventBucket, 0)
	require.NoError(t, err)
	kinds := map[string]int{}
	require.NoError(t, j.ForEach(0, "", func(event store.Event) bool { kinds[event.Kind]++; return true }))
	require.Equal(t, 2, kinds["start"])
	require.Equal(t, 2, kinds["stop"])
	require.Positive(t, kinds["list"])
}

// With a disk that takes seconds for a write, or fails each, searches and shutdown go on as ever, and it is logged.
func TestSlowDiskDelaysNothing(t *testing.T) {
	first := start(t, 256, nil)
	for name, disk := range map[string]func() error{
		"slow": func() error { time.Sleep(5 * time.Second); return nil },
		"full": func() error { return syscall.ENOSPC },
	} {
		var bad atomic.Bool
		r := first.restartWithStore(filepath.Join(t.TempDir(), "kept"), store.Options{BeforeWrite: func(string) error {
			if bad.Load() {
				return disk()
			}
			return nil
		}})
		r.logged("event=store ")
		bad.Store(true)
		written := make(chan error, 1)
		go func() { written <- r.persistence().write(r.loop.ctx, r.loop, nil, false) }()
		r.attemptsOn("a0", 20)
		stopped := time.Now()
		r.shutDown()
		require.Less(t, time.Since(stopped), 3*time.Second, name)
		require.Error(t, <-written, name)
		if name == "full" {
			require.Contains(t, r.log.String(), "event=store_failed")
			require.Contains(t, r.log.String(), "Make room")
		}
	}
}

// Several starts within a minute restore less each time, down to nothing; a store that another process has, or that
// cannot be read, leaves a start as without one.
func TestStartWithUnusableStore(t *testing.T) {
	first := start(t, 256, nil)
	path, now := filepath.Join(t.TempDir(), "kept"), time.Now().UnixMilli()
	list := recovery.EndpointList{SavedAt: now, PlanVersion: 7, DiscoveryVersion: 8, Hosts: []endpoints.Host{first.member("a0"), {ID: "c0", Addr: "127.0.0.1:1", Weight: 1}}}
	crashed := func(n int) recovery.StartRecord {
		s := recovery.StartRecord{}
		for range n {
			s, _ = s.RecordStart(time.Now().UnixMilli(), true)
		}
		return s
	}
	for crashes, want := range []string{"a0 a1 b0 b1 c0 ", "a0 a1 b0 b1 c0 ", "a0 a1 b0 b1 c0 ", "a0 a1 b0 b1 ", "a0 a1 b0 b1 "} {
		writeStore(t, path, map[string]any{listKey: list, startsKey: crashed(crashes)})
		r := first.restartWithStore(path, store.Options{})
		r.logged("event=store ")
		r.eventually(want, func() bool { return r.hostsInForce() == want })
		r.attemptsOn("b0", 2)
		require.Equal(t, crashes >= 2, strings.Contains(r.log.String(), "event=crash_loop"))
		require.Equal(t, crashes == 4, strings.Contains(r.log.String(), "event=store_recovered"))
		r.shutDown()
	}
	held, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	for want, at := range map[string]string{"held by another process": path, "no store": filepath.Join(filepath.Dir(path), "plan.json")} {
		if at != path {
			text, _ := json.Marshal(list)
			require.NoError(t, os.WriteFile(at, text, 0o600))
		}
		r := first.restartWithStore(at, store.Options{LockTimeout: 100 * time.Millisecond})
		r.attemptsOn("b0", 2)
		r.logged("event=store_unavailable")
		require.Contains(t, r.log.String(), want)
		if at == path { // it is let go of
			require.NoError(t, held.Close(context.Background()))
			r.logged("event=store ")
		}
		r.shutDown()
	}
	first.shutDown()
}

// BenchmarkPersistence writes and reads the stored state of 10,000 hosts.
func BenchmarkPersistence(b *testing.B) {
	now := time.Now().UnixMilli()
	list, notes := recovery.EndpointList{SavedAt: now}, recovery.Observations{SavedAt: now, Head: peerreport.ReportHeader{Peer: "n", HostCount: 10_000}}
	for i := range 10_000 {
		hostID := fmt.Sprint("host-", i)
		list.Hosts = append(list.Hosts, endpoints.Host{ID: hostID, Addr: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Zone: "hall", Kind: "std", Weight: 1})
		notes.Entries = append(notes.Entries, peerreport.Observation{HostID: hostID, ShortSamples: 40, LongSamples: 80, ShortLogSlowdown: 120, LongLogSlowdown: 90, AgeMs: 300})
	}
	s, err := store.Open(filepath.Join(b.TempDir(), "kept"), store.Options{})
	require.NoError(b, err)
	defer s.Close(context.Background())
	persistence := &Persistence{log: newAsyncLogger(SystemClock{}, slog.DiscardHandler)}
	bytes := 0
	for b.Loop() {
		puts := map[string][]byte{}
		for key, v := range map[string]any{listKey: list, observationsKey: notes} {
			puts[key], err = cbor.Marshal(v)
			require.NoError(b, err)
			bytes += len(puts[key])
		}
		require.NoError(b, s.Put(context.Background(), stateBucket, puts, nil))
		l, n := readStored[recovery.EndpointList](persistence, s, listKey), readStored[recovery.Observations](persistence, s, observationsKey)
		weighed := recovery.Restore(now+1, recovery.TrustAll, 0, &l, &n)
		require.Len(b, weighed.Observations.Entries, 10_000)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes")
}

// The store of another deployment's coordinator is not restored: no search goes to its hosts.
func TestStoreOfAnotherDeployment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	one := start(t, 256, nil)
	r := one.restartWithStore(path, store.Options{})
	r.logged("event=store ")
	r.list.Responses <- `{"version":9,"full":false,"servers":[` + strings.ReplaceAll(r.entry("b1", "up"), `"up"`, `"draining"`) + `]}`
	r.logged("version=9")
	r.attemptsOn("a0", 3)
	r.shutDown()
	two := start(t, 256, func(settings map[string]any) { settingAt(settings, "Tenants", 1)["Name"] = "globex" })
	r = two.restartWithStore(path, store.Options{})
	r.logged("event=store ")
	before := one.parts()
	r.attemptsOn("a0", 8)
	require.Equal(t, before, one.parts(), "parts at the other deployment's hosts")
	r.shutDown()
	require.Contains(t, r.log.String(), `what="endpoint list and observations"`)
	r = two.restartWithStore(path, store.Options{}) // and is its own from then on
	r.logged("believes=all listed=0 notes=4")
	r.shutDown()
}
