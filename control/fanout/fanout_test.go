package fanout

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/cluster/crdt"
	"chalkring/cluster/replication"
	"chalkring/control/subscribers"
	"chalkring/coordinator"
	"chalkring/internal/advice"
	"chalkring/internal/clustertest"
	"chalkring/internal/fake"
)

const testTimeout = 20 * time.Second // for what has to come; no verdict rests on anything coming sooner

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// isolatedTransport is the network of an instance that is alone.
type isolatedTransport struct{}

func (isolatedTransport) Send(context.Context, string, byte, []byte) error { return context.Canceled }
func (isolatedTransport) Handle(byte, func(string, []byte))                {}

// disk keeps what it is given until it is full.
type disk struct {
	sync.Mutex
	held map[string][]byte
	full bool
}

func (d *disk) Put(_ context.Context, _ string, puts map[string][]byte, deletes []string) error {
	d.Lock()
	defer d.Unlock()
	if d.full {
		return os.ErrPermission
	}
	maps.Copy(d.held, puts)
	for _, name := range deletes {
		delete(d.held, name)
	}
	return nil
}

func (d *disk) Load(_ string, f func(string, []byte) error) error {
	d.Lock()
	defer d.Unlock()
	for _, name := range slices.Sorted(maps.Keys(d.held)) {
		if err := f(name, d.held[name]); err != nil {
			return err
		}
	}
	return nil
}

// testSite is what outlives an instance: hosts, a disk, the region's file and a receiver.
type testSite struct {
	t                *testing.T
	disk             *disk
	path             string
	receiver         *httptest.Server
	discovery        *fake.DiscoveryServer
	valueVersion     atomic.Int64 // that hosts say
	rejectDeliveries atomic.Bool  // the receiver takes deliveries and says that it has not

	mu       sync.Mutex
	received []DeliveryMessage
	log      strings.Builder
}

func newTestSite(t *testing.T) *testSite {
	s := &testSite{t: t, disk: &disk{held: map[string][]byte{}}, path: filepath.Join(t.TempDir(), "eu.yaml")}
	s.receiver = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var d DeliveryMessage
		if json.NewDecoder(r.Body).Decode(&d) != nil || r.URL.Path != "/"+d.Tenant {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.received = append(s.received, d); s.rejectDeliveries.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	t.Cleanup(s.receiver.Close)
	var entries []fake.Endpoint
	for i := range 8 {
		h, err := fake.NewHost(fmt.Sprint("h", i), i, false, func(p fake.ShardRequest) {
			word := s.valueVersion.Load()
			if p.Shard > 0 {
				word = 0 // one block changes
			}
			p.Reply("good", "1", fmt.Sprint(p.Text, " ", word))
		})
		require.NoError(t, err)
		t.Cleanup(h.Close)
		entries = append(entries, fake.Endpoint{ID: h.ID, Addr: h.Listener.Addr().String(), Zone: "hall", Kind: "std", State: "up", Cell: h.Cell})
	}
	var err error
	s.discovery, err = fake.NewDiscoveryServer(entries)
	require.NoError(t, err)
	t.Cleanup(s.discovery.Close)
	return s
}

func (s *testSite) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(p)
}

func (s *testSite) logged(text string) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return strings.Contains(s.log.String(), text)
	}
}

// start starts an instance; the call given back ends it.
func (s *testSite) start(life uint64) (g *Gateway, book *replication.Replicator, end func()) {
	settings, err := json.Marshal(clustertest.DefaultSettings(1, []string{"hall"}))
	require.NoError(s.t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	plan, err := coordinator.Parse(fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":%s,"settings":%s}`, ln.Addr(), s.discovery.Listener.Addr(), s.discovery.KnownEndpoints(), settings))
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	book = replication.Start(context.Background(), replication.Options{
		InstanceName: "n0", Incarnation: life, Transport: isolatedTransport{}, Peers: func() (a, b []string) { return nil, []string{"n0"} },
		OpenStorage: func(context.Context) (replication.Storage, error) { return s.disk, nil },
	})
	me := subscribers.Member{Name: "n0", Region: "eu", Incarnation: life}
	log := slog.New(slog.NewTextHandler(s, nil))
	g = New(Options{
		Self: me, Store: book, FilePath: s.path, Log: log,
		Membership: func() Membership { return Membership{[]subscribers.Member{me}, []string{"eu-1", "us-1"}, true, true} },
		Rules: func() subscribers.PlacementRules {
			return subscribers.PlacementRules{AllowsTenantData: func(tenant, zone string) bool { return tenant != "other" || zone == "eu-1" }}
		},
	})
	ended := make(chan error, 1)
	go func() {
		ended <- plan.Serve(ctx, coordinator.Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: coordinator.SystemClock{},
			Logger: log, Frontends: []coordinator.Frontend{g},
		})
	}()
	end = sync.OnceFunc(func() {
		stop()
		select {
		case err := <-ended:
			require.NoError(s.t, err)
		case <-time.After(testTimeout):
			s.t.Error("does not end")
		}
		closing, over := context.WithTimeout(context.Background(), time.Second)
		defer over()
		_ = book.Close(closing)
		httpClient.CloseIdleConnections()
	})
	s.t.Cleanup(end)
	return g, book, end
}

func (s *testSite) writeFile(generation int, lines ...string) {
	text := fmt.Sprintf("region: eu\ngeneration: %d\ndeliver: %s/{tenant}\ncount: %d\nsubscriptions:\n%s\n", generation, s.receiver.URL, len(lines), strings.Join(lines, "\n"))
	require.NoError(s.t, os.WriteFile(s.path+".new", []byte(text), 0o600))
	require.NoError(s.t, os.Rename(s.path+".new", s.path))
}

// deliveries are those to one subscriber so far.
func (s *testSite) deliveries(id string) (all []DeliveryMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.received {
		if d.ID == id {
			all = append(all, d)
		}
	}
	return all
}

func (s *testSite) await(what string, ok func() bool) {
	s.t.Helper()
	require.Eventually(s.t, ok, testTimeout, 20*time.Millisecond, what)
}

func TestDeliversWhatChanged(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	one, two := "- {tenant: acme, id: s1, type: full-match, query: a, every: 1s}", "- {tenant: acme, id: s2, type: full-match, query: b, every: 1s}"
	s.writeFile(1, one, two)
	g, book, end := s.start(1)
	s.await("first of both", func() bool { return len(s.deliveries("s1")) > 0 && len(s.deliveries("s2")) > 0 })
	first := s.deliveries("s1")[0]
	require.Len(t, first.Values, clustertest.BlockCount, "at first all is new")
	s.rejectDeliveries.Store(true)
	s.valueVersion.Add(1)
	s.await("the same number again", func() bool { return len(s.deliveries("s1")) >= 3 })
	s.rejectDeliveries.Store(false)
	got := s.deliveries("s1")
	require.Len(t, got[1].Values, 1, "only what changed")
	require.Equal(t, got[1], got[2], "one number has one content")
	require.Positive(t, got[1].Number.Compare(first.Number))
	require.Equal(t, first.Number, got[1].Previous)

	key := subscribers.Key{Tenant: "acme", ID: "s1"}
	require.NoError(t, g.Unsubscribe(t.Context(), key))
	_, on := g.Get(key)
	require.False(t, on)
	s.writeFile(2, one, two)
	s.await("the line is told", s.logged("consent: 2"))
	before := s.deliveries("s2")
	s.valueVersion.Add(1)
	s.await("the other goes on", func() bool { return len(s.deliveries("s2")) > len(before) })
	s.await("noted", func() bool {
		e, _ := book.Get(subscribers.Key{Tenant: "acme", ID: "s2"}.LedgerKey())
		r, _ := subscribers.ResolveEntry(e)
		return len(r.Checkpoint.Values) > 0
	})
	end()

	quiet := len(s.deliveries("s1"))
	last := s.deliveries("s2")[len(s.deliveries("s2"))-1]
	s.valueVersion.Add(1)
	g, _, _ = s.start(2) // with its disk, and the file that still has both lines
	s.await("goes on", func() bool { return s.deliveries("s2")[len(s.deliveries("s2"))-1].Number.Epoch > last.Number.Epoch })
	now := s.deliveries("s2")[len(s.deliveries("s2"))-1]
	require.Len(t, now.Values, 1, "what was delivered before the restart is not again")
	require.Len(t, s.deliveries("s1"), quiet, "unsubscribed stays so")
	require.NoError(t, g.Subscribe(t.Context(), key, subscribers.Details{Type: "full-match", Query: "a", Interval: subscribers.MinInterval}))
	s.await("anew", func() bool { return len(s.deliveries("s1")) > quiet })
	require.EqualValues(t, 2, s.deliveries("s1")[quiet].Consent)
	s.writeFile(3, two)
	s.await("calls stay", func() bool { _, on := g.Get(key); return on })
	s.writeFile(4)
	s.await("taken out", func() bool { _, on := g.Get(subscribers.Key{Tenant: "acme", ID: "s2"}); return !on })
}

// With a full disk a call says that it is not kept, and what is held is served on.
func TestFullDiskIsTold(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s.writeFile(1, "- {tenant: acme, id: s1, type: full-match, query: a, every: 1s}")
	g, _, _ := s.start(1)
	s.await("served", func() bool { return len(s.deliveries("s1")) > 0 })
	s.disk.Lock()
	s.disk.full = true
	s.disk.Unlock()
	ctx, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer stop()
	err := g.Unsubscribe(ctx, subscribers.Key{Tenant: "acme", ID: "s1"})
	var unkept *replication.NotPersistedError
	require.ErrorAs(t, err, &unkept)
	require.NotEmpty(t, advice.For(err))
	_, on := g.Get(subscribers.Key{Tenant: "acme", ID: "s1"})
	require.False(t, on, "all the same it is off")
}

func TestUnusableEntriesAndFilesAreTold(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s.writeFile(5, "- {tenant: acme, id: s1, type: full-match, query: a, every: 1s}", "- {tenant: nobody, id: s2, type: full-match, query: a, every: 1s}")
	g, book, _ := s.start(1)
	s.await("served", func() bool { return len(s.deliveries("s1")) > 0 })
	s.await("not searched", s.logged("subscriber_search_failed"))
	_, err := book.Update(subscribers.Key{Tenant: "acme", ID: "s3"}.LedgerKey(), func(crdt.Entry) ([]byte, bool, error) { return []byte("?"), true, nil })
	require.NoError(t, err)
	s.await("unread", s.logged("subscriber_entry_invalid"))
	s.writeFile(4)
	s.await("older", s.logged("has generation 4, 5 is in force"))
	require.NoError(t, os.WriteFile(s.path, []byte("region: us\ngeneration: 6\ncount: 0\n"), 0o600))
	s.await("another's", s.logged("region us's"))
	require.NoError(t, os.WriteFile(s.path, []byte("region: eu\ngeneration: 6\ncount: 1\n"), 0o600))
	s.await("half", s.logged("the file is not whole"))
	_, on := g.Get(subscribers.Key{Tenant: "acme", ID: "s1"})
	require.True(t, on)
	var bound *ZoneForbiddenError
	elsewhere := subscribers.Key{Tenant: "other", ID: "s4"}
	require.ErrorAs(t, g.Subscribe(t.Context(), elsewhere, subscribers.Details{Type: "full-match", Interval: subscribers.MinInterval}), &bound)
	s.writeFile(7, "- {tenant: other, id: s4, type: full-match, query: a, every: 1s}")
	s.await("barred", s.logged("may not be in zone"))
	_, there := book.Get(elsewhere.LedgerKey())
	require.False(t, there, "nothing of it is kept")
}

// Each failure says what to do, and stands on the on-call page.
func TestFailuresSayWhatToDo(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	for _, err := range []error{
		&subscribers.InvalidRecordError{}, &subscribers.InvalidSubscriptionError{}, &subscribers.NotSubscribedError{}, &subscribers.ListFullError{}, &subscribers.StaleFileError{},
		&subscribers.StaleLineError{}, &subscribers.InvalidLineError{}, &RegionMismatchError{}, &DeliveryFailedError{Err: os.ErrClosed}, &SearchFailedError{}, &ZoneForbiddenError{},
	} {
		require.NotEmpty(t, advice.For(fmt.Errorf("wrapped: %w", err)))
		require.Contains(t, string(page), "`"+strings.TrimPrefix(fmt.Sprintf("%T", err), "*")+"`")
	}
}

func TestExampleCanBeUsed(t *testing.T) {
	f, err := ReadRegionFile("../../deploy/subscribers.yaml")
	require.NoError(t, err)
	require.Len(t, f.Lines, 2)
	require.EqualValues(t, 2, f.Lines[subscribers.Key{Tenant: "acme", ID: "all-picks"}].Consent)
	require.True(t, IsRegionFile("../../deploy/subscribers.yaml"))
	require.False(t, IsRegionFile("../../deploy/fleet.yaml"))
}
