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

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/cluster/replication"
	"chalkring/control/subscribers"
	"chalkring/coordinator"
	"chalkring/internal/clustertest"
	"chalkring/internal/fake"
)

// testTimeout limits how long a test waits for a condition. No test depends on a condition being met sooner.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// isolatedTransport is the network of an instance without peers.
type isolatedTransport struct{}

func (isolatedTransport) Send(context.Context, string, byte, []byte) error { return context.Canceled }
func (isolatedTransport) Handle(byte, func(string, []byte))                {}

// fakeDisk stores values in memory until it is marked as full.
type fakeDisk struct {
	sync.Mutex
	values map[string][]byte
	full   bool
}

func (d *fakeDisk) Put(_ context.Context, _ string, puts map[string][]byte, deletes []string) error {
	d.Lock()
	defer d.Unlock()
	if d.full {
		return os.ErrPermission
	}
	maps.Copy(d.values, puts)
	for _, name := range deletes {
		delete(d.values, name)
	}
	return nil
}

func (d *fakeDisk) Load(_ string, visit func(string, []byte) error) error {
	d.Lock()
	defer d.Unlock()
	for _, name := range slices.Sorted(maps.Keys(d.values)) {
		if err := visit(name, d.values[name]); err != nil {
			return err
		}
	}
	return nil
}

// testSite is what an instance uses and what remains when it is restarted: hosts, a disk, the region's file and a
// receiver.
type testSite struct {
	t                *testing.T
	disk             *fakeDisk
	path             string
	receiver         *httptest.Server
	discovery        *fake.DiscoveryServer
	valueVersion     atomic.Int64 // in the hosts' values of block 0
	rejectDeliveries atomic.Bool  // the receiver records deliveries but replies with an error

	mu       sync.Mutex
	received []DeliveryMessage
	log      strings.Builder
}

func newTestSite(t *testing.T) *testSite {
	s := &testSite{t: t, disk: &fakeDisk{values: map[string][]byte{}}, path: filepath.Join(t.TempDir(), "eu.yaml")}
	s.receiver = httptest.NewServer(http.HandlerFunc(s.receive))
	t.Cleanup(s.receiver.Close)
	var endpoints []fake.Endpoint
	for i := range 8 {
		host, err := fake.NewHost(fmt.Sprint("h", i), i, false, s.answer)
		require.NoError(t, err)
		t.Cleanup(host.Close)
		endpoints = append(endpoints, fake.Endpoint{ID: host.ID, Addr: host.Listener.Addr().String(), Zone: "hall", Kind: "std", State: "up", Cell: host.Cell})
	}
	var err error
	s.discovery, err = fake.NewDiscoveryServer(endpoints)
	require.NoError(t, err)
	t.Cleanup(s.discovery.Close)
	return s
}

// answer is a host's answer to a shard request.
func (s *testSite) answer(request fake.ShardRequest) {
	version := s.valueVersion.Load()
	if request.Shard > 0 {
		version = 0 // only block 0 changes
	}
	request.Reply("good", "1", fmt.Sprint(request.Text, " ", version))
}

// receive is the receiver's HTTP handler.
func (s *testSite) receive(w http.ResponseWriter, request *http.Request) {
	var message DeliveryMessage
	if json.NewDecoder(request.Body).Decode(&message) != nil || request.URL.Path != "/"+message.Tenant {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, message)
	if s.rejectDeliveries.Load() {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// Write collects the log.
func (s *testSite) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(p)
}

// logged returns a condition that holds once the log contains a text.
func (s *testSite) logged(text string) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return strings.Contains(s.log.String(), text)
	}
}

// start starts an instance; stop stops it and waits until it has ended.
func (s *testSite) start(incarnation uint64) (gateway *Gateway, store *replication.Replicator, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	sitePlan := s.plan(listener)
	ctx, cancel := context.WithCancel(context.Background())
	store = replication.Start(context.Background(), replication.Options{
		InstanceName: "n0", Incarnation: incarnation, Transport: isolatedTransport{}, Peers: func() (a, b []string) { return nil, []string{"n0"} },
		OpenStorage: func(context.Context) (replication.Storage, error) { return s.disk, nil },
	})
	log := slog.New(slog.NewTextHandler(s, nil))
	gateway = s.newGateway(incarnation, store, log)
	ended := make(chan error, 1)
	go func() {
		ended <- coordinator.Serve(ctx, sitePlan, coordinator.Options{
			Listener: listener, Dial: (&net.Dialer{}).DialContext, Clock: coordinator.SystemClock{},
			Logger: log, Frontends: []coordinator.Frontend{gateway},
		})
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		select {
		case err := <-ended:
			require.NoError(s.t, err)
		case <-time.After(testTimeout):
			s.t.Error("the instance was still running 20 s after it was stopped")
		}
		closing, cancelClosing := context.WithTimeout(context.Background(), time.Second)
		defer cancelClosing()
		_ = store.Close(closing) // fails in the test with a full disk
		httpClient.CloseIdleConnections()
	})
	s.t.Cleanup(stop)
	return gateway, store, stop
}

func (s *testSite) plan(listener net.Listener) *plan.Plan {
	settings, err := json.Marshal(clustertest.DefaultSettings(1, []string{"hall"}))
	require.NoError(s.t, err)
	sitePlan, err := plan.Parse(fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":%s,"settings":%s}`,
		listener.Addr(), s.discovery.Listener.Addr(), s.discovery.KnownEndpoints(), settings))
	require.NoError(s.t, err)
	return sitePlan
}

// newGateway returns a gateway without peers. Instances are in two zones, and the tenant "other" is allowed in one of
// them.
func (s *testSite) newGateway(incarnation uint64, store ReplicatedStore, log *slog.Logger) *Gateway {
	self := subscribers.Member{Name: "n0", Region: "eu", Incarnation: incarnation}
	return New(Options{
		Self: self, Store: store, FilePath: s.path, Log: log,
		Membership: func() Membership {
			return Membership{Members: []subscribers.Member{self}, Zones: []string{"eu-1", "us-1"}, HasMajority: true, Complete: true}
		},
		Rules: func() subscribers.PlacementRules {
			return subscribers.PlacementRules{AllowsTenantData: func(tenant, zone string) bool { return tenant != "other" || zone == "eu-1" }}
		},
	})
}

// writeFile replaces the region's file.
func (s *testSite) writeFile(generation int, lines ...string) {
	text := fmt.Sprintf("region: eu\ngeneration: %d\ndeliver: %s/{tenant}\ncount: %d\nsubscriptions:\n%s\n", generation, s.receiver.URL, len(lines), strings.Join(lines, "\n"))
	require.NoError(s.t, os.WriteFile(s.path+".new", []byte(text), 0o600))
	require.NoError(s.t, os.Rename(s.path+".new", s.path))
}

// deliveries returns the deliveries to one subscriber so far.
func (s *testSite) deliveries(id string) (messages []DeliveryMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, message := range s.received {
		if message.ID == id {
			messages = append(messages, message)
		}
	}
	return messages
}

func (s *testSite) lastDelivery(id string) DeliveryMessage {
	messages := s.deliveries(id)
	return messages[len(messages)-1]
}

func (s *testSite) await(what string, condition func() bool) {
	s.t.Helper()
	require.Eventually(s.t, condition, testTimeout, 20*time.Millisecond, what)
}
