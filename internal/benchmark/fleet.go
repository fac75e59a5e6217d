// Package benchmark measures what the project claims, on loopback sockets with the stand-ins of package fake. Each
// measurement is a function of a seed that ends by itself within a minute; Measures names them.
package benchmark

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chalkring/coordinator/plan"

	"chalkring/coordinator"
	"chalkring/internal/fake"
)

// Result is what a measurement found: the fields of its line, and each aim that was missed.
type Result struct {
	Fields      map[string]any
	MissedGoals []string
}

// Measurements are the measurements by name.
var Measurements = map[string]func(ctx context.Context, seed int64) (Result, error){
	"clients":     MeasureClients,
	"counts":      MeasureCounts,
	"fleet":       MeasureGossip,
	"learning":    MeasureLearning,
	"ledger":      MeasureLedger,
	"membership":  MeasureMembership,
	"memory":      MeasureMemory,
	"ordinary":    MeasureOrdinarySearch,
	"owners":      MeasureEventLoops,
	"peers":       MeasurePeerCost,
	"rollout":     MeasureRollout,
	"opensearch":  MeasureOpenSearch,
	"recovery":    MeasureRecovery,
	"residency":   MeasureResidency,
	"subscribers": MeasureSubscribers,
	"versions":    MeasureVersions,
}

const (
	sets  = 8 // of shards
	reach = 2 // sets that a host holds

	searchKind = "search" // of hosts that speak the API
)

// The types of the lab's searches: whole at three quarters of the parts, or at all.
const (
	quickPicks = "quick-picks"
	fullMatch  = "full-match"
)

// settings are those of the lab's co-ordinators, so many of them at work.
func settings(coordinators int) map[string]any {
	class := func(name string) map[string]any {
		return map[string]any{"Name": name, "Aim": 1000.0, "Deadline": 3000.0, "Effect": "retryable", "LateShare": 0.5}
	}
	return map[string]any{
		"Family": "fanout", "Discovery": "subscribe", "Balancers": coordinators, "Tick": 5.0,
		"FailureDomains": []string{"hall"}, "MachineTypes": []string{"std", searchKind},
		"Classes": []any{class(quickPicks), class(fullMatch)},
		"Specifics": map[string]any{
			"Sets": sets, "Reach": reach, "Ranges": sets, "PerCall": 1,
			"NeedByClass": []float64{0.75, 1}, "ClassFloor": []float64{0.75, 1}, "FollowUp": []int{0, 0},
		},
		"Permissions": map[string]any{
			"MaxAttempts": 3, "ConnIdle": 60000.0, "DialTimeout": 250.0, "StreamsPerConn": 32,
			"SecondCopies": true, "Cancelling": true, "RetryAfter": true, "MaxRetryAfter": 500.0,
		},
		"Safety": map[string]any{
			"Cold": 10000.0, "ColdFrom": 0.3, "FallMultiple": 3.0, "Fall": 2000.0,
			"DrainGrace": 2000.0, "AskWithin": 10000.0,
		},
	}
}

// fleet is a set of stand-in hosts with discovery.
type fleet struct {
	hosts   []*fake.Host
	search  []*fake.SearchHost
	entries []fake.Endpoint
	list    *fake.DiscoveryServer
}

// newFleet starts hosts, two a set and more where there are more; kind gives what the i-th does with its parts.
func newFleet(n int, kind func(i int) func(p fake.ShardRequest)) (*fleet, error) {
	f := &fleet{}
	for i := range n {
		h, err := fake.NewHost(fmt.Sprintf("h-%02d", i), i%sets, false, kind(i))
		if err != nil {
			f.close()
			return nil, err
		}
		f.hosts = append(f.hosts, h)
		f.entries = append(f.entries, fake.Endpoint{
			ID: h.ID, Addr: h.Listener.Addr().String(), Zone: "hall", Kind: "std",
			State: "up", Cell: h.Cell,
		})
	}
	var err error
	f.list, err = fake.NewDiscoveryServer(f.entries)
	return f, err
}

// soundFleet starts hosts that answer all in 2 to 4 ms.
func soundFleet(n int, seed int64) (*fleet, error) {
	return newFleet(n, func(i int) func(p fake.ShardRequest) {
		wait := uniform(seed+int64(i), 2*time.Millisecond, 4*time.Millisecond)
		return func(p fake.ShardRequest) { time.AfterFunc(wait(), p.ReplyGood) }
	})
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.Close()
	}
	for _, h := range f.search {
		h.Close()
	}
	if f.list != nil {
		f.list.Close()
	}
}

// node is one co-ordinator at work.
type node struct {
	name  string
	addr  string
	stop  context.CancelFunc
	ended chan error
}

// start runs a co-ordinator in this process until it is stopped.
func (f *fleet) start(name string, seed uint64, coordinators int, peers *coordinator.PeerOptions,
	fronts ...coordinator.Frontend,
) (*node, error) {
	return f.startWith(name, seed, coordinators, func(m *coordinator.Options) { m.Peers, m.Frontends = peers, fronts })
}

// startWith runs one with more means.
func (f *fleet) startWith(name string, seed uint64, coordinators int, more func(m *coordinator.Options)) (*node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	facts, _ := json.Marshal(settings(coordinators))
	plan, err := plan.Parse(fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, name, ln.Addr(),
		f.list.Listener.Addr(), seed, f.list.KnownEndpoints(), facts))
	if err != nil {
		ln.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{name: name, addr: ln.Addr().String(), stop: stop, ended: make(chan error, 1)}
	means := coordinator.Options{
		Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: coordinator.SystemClock{},
		Logger:    coordinator.NewLogger(io.Discard, false, slog.LevelError),
		HostKinds: map[string]coordinator.HostKind{searchKind: {Index: "members"}},
	}
	more(&means)
	go func() { n.ended <- coordinator.Serve(ctx, plan, means) }()
	return n, nil
}

// end stops a co-ordinator and waits for it.
func (n *node) end() error {
	n.stop()
	select {
	case err := <-n.ended:
		return err
	case <-time.After(20 * time.Second):
		return errors.New(n.name + " does not end")
	}
}

// schedule draws searches at a rate for so long: two thirds quick-picks, one third full-match, over all shards.
func schedule(seed int64, name string, rate float64, length, patience time.Duration) []fake.Search {
	chance := rand.New(rand.NewSource(seed))
	var all []fake.Search
	shards := make([]int, sets)
	for i := range shards {
		shards[i] = i
	}
	for at := time.Duration(0); ; {
		at += time.Duration(chance.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return all
		}
		s := fake.Search{
			At: at, ID: fmt.Sprintf("%s-%d", name, len(all)), Type: quickPicks, Shards: shards,
			Patience: patience,
		}
		if chance.Intn(3) == 0 {
			s.Type = fullMatch
		}
		all = append(all, s)
	}
}

// worth is what an answer is worth to its client: all within the latency target, half after it.
func worth(status int, took time.Duration) float64 {
	switch {
	case status != 200:
		return 0
	case took > time.Second:
		return 0.5
	}
	return 1
}

// uniform draws service times; safe for many workers.
func uniform(seed int64, least, most time.Duration) func() time.Duration {
	chance, mu := rand.New(rand.NewSource(seed)), sync.Mutex{}
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return least + time.Duration(chance.Int63n(int64(most-least)))
	}
}

// tally counts by name; safe for all.
type tally struct {
	mu sync.Mutex
	n  map[string]int
	on atomic.Bool
}

func (t *tally) add(name string) {
	if t.on.Load() {
		t.mu.Lock()
		t.n[name]++
		t.mu.Unlock()
	}
}
