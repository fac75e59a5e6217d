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

// restartWithStore starts another coordinator on the rig's hosts, with a store at path and a stand-in for discovery
// that gives only the answers that the test sends.
func (r *rig) restartWithStore(path string, options store.Options) *rig {
	return r.restartWithStoreAndUpdates(path, options, nil)
}

// restartWithStoreAndUpdates does the same, with updates from other sources of endpoint lists.
func (r *rig) restartWithStoreAndUpdates(path string, options store.Options, updates <-chan endpoints.Update) *rig {
	ln := listen(r.t)
	ctx, cancel := context.WithCancel(context.Background())
	restarted := &rig{t: r.t, replicas: r.replicas, list: startDiscovery(r.t), addr: ln.Addr().String(), stop: cancel, ended: make(chan error, 1), log: &logBuffer{}}
	plan := *r.plan
	plan.Discovery = restarted.list.Listener.Addr().String()
	restarted.plan = &plan
	log, started := NewLogger(restarted.log, false, slog.LevelInfo), make(chan *eventLoop, 1)
	persistence := newPersistence(path, true, options, scheduler.Budget{}, restarted.plan, SystemClock{}, log)
	go func() {
		err := Serve(ctx, restarted.plan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{}, Logger: log,
			Persistence: persistence, EndpointUpdates: persistence.PrependStoredUpdate(ctx, updates, func(name string) bool { return name == "hosts.yaml" }), onStart: started,
		})
		persistence.Close()
		restarted.ended <- err
	}()
	restarted.loop = <-started
	r.t.Cleanup(cancel)
	return restarted
}

func (r *rig) persistence() *Persistence { return r.loop.Persistence }

// writeStore writes values into a store in the form in which an earlier run would have written them.
func writeStore(t *testing.T, path string, values map[string]any) {
	s, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	encoded := map[string][]byte{}
	for key, v := range values {
		encoded[key], err = cbor.Marshal(v)
		require.NoError(t, err)
	}
	require.NoError(t, s.Put(context.Background(), stateBucket, encoded, nil))
	require.NoError(t, s.Close(context.Background()))
}

// storedHosts returns hosts in the form in which earlier versions stored them.
func storedHosts(hosts ...endpoints.Host) (stored []recovery.Host) {
	for _, host := range hosts {
		stored = append(stored, recovery.Host{Host: host})
	}
	return stored
}

// currentHosts returns the hosts in the event loop's current endpoint list.
func (r *rig) currentHosts() string {
	found := make(chan string, 1)
	require.True(r.t, r.loop.submit(func() {
		hosts := ""
		for _, hostID := range []string{"a0", "a1", "b0", "b1", "c0"} {
			if h := r.loop.replicas.byID[hostID]; h != nil && !h.removed {
				hosts += hostID + " "
			}
		}
		found <- hosts
	}))
	return <-found
}

// attemptsOn sends n searches and returns how many attempts a host got.
func (r *rig) attemptsOn(host string, n int) int {
	before, c := r.replicas[host].CountRequests(), r.connect()
	for i := range n {
		c.expect(fmt.Sprint(r.addr, "-", before, "-", i), "all", 200, completeAnswer)
	}
	return r.replicas[host].CountRequests() - before
}

// Observations and the endpoint list survive a planned restart without discovery. Guards against a hanging host that
// gets attempts again after a restart, and against a host that discovery had removed and the plan brings back.
func TestRestartRestoresObservations(t *testing.T) {
	first := start(t, 256, nil)
	path := filepath.Join(t.TempDir(), "kept")
	r := first.restartWithStore(path, store.Options{})
	r.logged("event=store ")
	r.list.Responses <- fmt.Sprintf(`{"version":9,"full":false,"servers":[%s]}`, strings.ReplaceAll(r.entry("b1", "up"), `"up"`, `"removed"`))
	r.eventually("b1 is removed", func() bool { return r.currentHosts() == "a0 a1 b0 " })
	r.replicas["a0"].SetHandler(func(fake.ShardRequest) {}) // never answers
	r.attemptsOn("a0", 12)
	require.True(t, r.hasObservation("a0"))
	r.shutDown()
	require.NotContains(t, r.log.String(), "store_failed")

	cold := first.restartWithStore(filepath.Join(t.TempDir(), "none"), store.Options{})
	cold.logged("event=store ")
	require.Equal(t, "a0 a1 b0 b1 ", cold.currentHosts())
	r = first.restartWithStore(path, store.Options{})
	r.logged("event=observations_imported peer=#store")
	r.eventually("b1 stays removed", func() bool { return r.currentHosts() == "a0 a1 b0 " })
	withObservations, without := r.attemptsOn("a0", 6), cold.attemptsOn("a0", 6)
	require.Less(t, withObservations, without)
	r.shutDown()
	cold.shutDown()
	s, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	defer s.Close(context.Background())
	events, err := store.NewEventLog(s, eventBucket, 0)
	require.NoError(t, err)
	kinds := map[string]int{}
	require.NoError(t, events.ForEach(0, "", func(event store.Event) bool { kinds[event.Kind]++; return true }))
	require.Equal(t, 2, kinds["start"])
	require.Equal(t, 2, kinds["stop"])
	require.Positive(t, kinds["list"])
}

// A disk that takes seconds for each write, or fails each write, delays neither searches nor the shutdown. Failed
// writes are logged.
func TestSlowDiskDelaysNothing(t *testing.T) {
	first := start(t, 256, nil)
	for name, disk := range map[string]func() error{
		"slow": func() error { time.Sleep(5 * time.Second); return nil },
		"full": func() error { return syscall.ENOSPC },
	} {
		var isFaulty atomic.Bool
		r := first.restartWithStore(filepath.Join(t.TempDir(), "kept"), store.Options{BeforeWrite: func(string) error {
			if isFaulty.Load() {
				return disk()
			}
			return nil
		}})
		r.logged("event=store ")
		isFaulty.Store(true)
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

// Each further start within a minute restores less, down to nothing: guards against stored state that crashes each
// start. If another process holds the store, or it cannot be read, the coordinator starts as without a store.
func TestStartWithUnusableStore(t *testing.T) {
	first := start(t, 256, nil)
	path, now := filepath.Join(t.TempDir(), "kept"), time.Now().UnixMilli()
	list := recovery.EndpointList{SavedAt: now, PlanVersion: 7, DiscoveryVersion: 8, Hosts: storedHosts(first.host("a0"), first.host("b0"), endpoints.Host{ID: "c0", Addr: "127.0.0.1:1", Weight: 1})}
	crashed := func(n int) recovery.StartRecord {
		s := recovery.StartRecord{}
		for range n {
			s, _ = s.RecordStart(time.Now().UnixMilli(), true)
		}
		return s
	}
	for crashes, want := range []string{"a0 b0 c0 ", "a0 b0 c0 ", "a0 b0 c0 ", "a0 a1 b0 b1 ", "a0 a1 b0 b1 "} {
		writeStore(t, path, map[string]any{listKey: list, startsKey: crashed(crashes)})
		r := first.restartWithStore(path, store.Options{})
		r.logged("event=store ")
		r.eventually(want, func() bool { return r.currentHosts() == want })
		r.attemptsOn("b0", 2)
		require.Equal(t, crashes >= 2, strings.Contains(r.log.String(), "event=crash_loop"))
		require.Equal(t, crashes == 4, strings.Contains(r.log.String(), "event=store_recovered"))
		r.shutDown()
	}
	held, err := store.Open(path, store.Options{})
	require.NoError(t, err)
	for want, at := range map[string]string{"locked by another process": path, "is not a store": filepath.Join(filepath.Dir(path), "plan.json")} {
		if at != path {
			text, _ := json.Marshal(list)
			require.NoError(t, os.WriteFile(at, text, 0o600))
		}
		r := first.restartWithStore(at, store.Options{LockTimeout: 100 * time.Millisecond})
		r.attemptsOn("b0", 2)
		r.logged("event=store_unavailable")
		require.Contains(t, r.log.String(), want)
		if at == path { // the other process releases it
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
	list, observations := recovery.EndpointList{SavedAt: now}, recovery.Observations{SavedAt: now, Head: peerreport.ReportHeader{Peer: "n", HostCount: 10_000}}
	for i := range 10_000 {
		hostID := fmt.Sprint("host-", i)
		list.Hosts = append(list.Hosts, storedHosts(endpoints.Host{ID: hostID, Addr: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Zone: "hall", Kind: "std", Weight: 1})...)
		observations.Entries = append(observations.Entries, peerreport.Observation{HostID: hostID, ShortSamples: 40, LongSamples: 80, ShortLogSlowdown: 120, LongLogSlowdown: 90, AgeMs: 300})
	}
	s, err := store.Open(filepath.Join(b.TempDir(), "kept"), store.Options{})
	require.NoError(b, err)
	defer s.Close(context.Background())
	persistence := &Persistence{log: newAsyncLogger(SystemClock{}, slog.DiscardHandler)}
	bytes := 0
	for b.Loop() {
		puts := map[string][]byte{}
		for key, v := range map[string]any{listKey: list, observationsKey: observations} {
			puts[key], err = cbor.Marshal(v)
			require.NoError(b, err)
			bytes += len(puts[key])
		}
		require.NoError(b, s.Put(context.Background(), stateBucket, puts, nil))
		storedList, storedObservations := readStored[recovery.EndpointList](persistence, s, listKey), readStored[recovery.Observations](persistence, s, observationsKey)
		restored := recovery.Restore(now+1, recovery.TrustAll, 0, &storedList, &storedObservations)
		require.Len(b, restored.Observations.Entries, 10_000)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes")
}

// The stored state of another deployment's coordinator is not restored. Guards against searches that are sent to
// another customer's hosts.
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
	require.Equal(t, before, one.parts(), "attempts on the other deployment's hosts")
	r.shutDown()
	require.Contains(t, r.log.String(), `what="endpoint list and observations"`)
	r = two.restartWithStore(path, store.Options{}) // the store is the second deployment's from then on
	r.logged("believes=all listed=0 notes=4")
	r.shutDown()
}
