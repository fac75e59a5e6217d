// Package fanout runs a region's fan-out gateway, which carries out what package subscribers decides.
//
// It reads subscriptions from a watched file, accepts them from an embedder's calls, keeps them in the replicated
// store, runs the standing searches as background work of the coordinator, and delivers the values that have changed. A
// Gateway is a frontend of the coordinator. docs/subscribers.md states the rules.
package fanout

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chalkring/cluster/crdt"
	"chalkring/control/subscribers"
	"chalkring/coordinator"
	"chalkring/internal/scheduler"
)

const (
	// maxWarningsPerSecond limits the warnings whose causes lie outside this instance, such as a receiver's errors or
	// another instance's records; those beyond it are only counted.
	maxWarningsPerSecond = 10

	// maxRememberedReports limits the stale lines, and the invalid entries, that are remembered as reported.
	maxRememberedReports = 1024
)

// ReplicatedStore is the store that the instances share; replication.Replicator implements it.
type ReplicatedStore interface {
	Ready() <-chan struct{}
	Get(name string) (crdt.Entry, bool)
	Put(name string, value []byte) (crdt.Entry, error)
	Delete(name string) (crdt.Entry, error)
	ScanPrefix(prefix string, f func(crdt.Entry) bool)
	Update(name string, f func(e crdt.Entry) (value []byte, write bool, err error)) (crdt.Entry, error)
	Watch(prefix string) (<-chan struct{}, func())
	WaitPersisted(ctx context.Context) error
}

// Membership is the current membership of the cluster, as far as gateways need it.
type Membership struct {
	Members     []subscribers.Member // alive gateways, including this one
	Zones       []string             // of all known instances, also those that are not gateways: each holds the list
	HasMajority bool                 // more than half of the voting members are alive
	Complete    bool                 // all voting members are alive
}

// Options are the dependencies of a gateway.
type Options struct {
	Self             subscribers.Member
	Store            ReplicatedStore
	Membership       func() Membership
	Rules            func() subscribers.PlacementRules // where tenants may be served; nil if they may be served anywhere
	FilePath         string                            // of the region's file; empty for none
	Deliver          DeliverFunc                       // nil for HTTP to the address in the region's file
	Log              *slog.Logger
	Seed             int64
	OnDrained        func()                           // called once no subscriber is served here any more; may be nil
	ReplicationBytes func() (stored int, sent uint64) // in the store, and sent to replicate it; may be nil
}

// Gateway is a running fan-out gateway. Its exported methods are safe for concurrent use.
type Gateway struct {
	options Options
	log     *slog.Logger

	warnings           *rate.Limiter
	suppressedWarnings atomic.Int64
	listedCount        atomic.Int64 // subscribed and unsubscribed entries
	tasks              chan func()  // for Serve's goroutine to run

	loop loopState // used only by Serve's goroutine
}

// loopState is the state that only Serve's goroutine uses.
type loopState struct {
	searches      *coordinator.SearchAPI
	pool          *scheduler.Pool
	list          *subscribers.List
	decisions     *subscribers.Gateway
	lastJobNumber uint64 // number of the last standing search

	// The region's file.
	file               *subscribers.RegionFile
	fileAcceptedAt     time.Time
	fileApplied        bool                       // the file was applied, and neither it nor the list has changed since
	lastFileCheck      time.Time                  // zero if a check is due at once
	reportedStaleLines map[subscribers.Key]uint64 // consent of the unsubscription, for each stale line that was reported

	// The replicated store.
	listChanged     bool
	statusesChanged bool
	unapplied       []crdt.Entry // scanned but not applied yet
	lastScan        time.Time
	scanInterval    time.Duration
	statusDigests   map[string]uint64
	reportedInvalid map[string]uint64 // digests of invalid entries that were reported
	lastCleanup     time.Time

	// Shutdown, load and logging.
	draining       bool
	drainingSince  time.Time
	lastBusyTime   time.Duration
	lastLoadSample time.Time
	wasServing     bool
	statsChanged   bool
	lastStatsLog   time.Time
	conflictCount  int
}

// New returns a gateway. It starts when the coordinator runs it as a frontend.
func New(options Options) *Gateway {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Rules == nil {
		options.Rules = func() subscribers.PlacementRules { return subscribers.PlacementRules{} }
	}
	return &Gateway{
		options: options, log: options.Log, warnings: rate.NewLimiter(maxWarningsPerSecond, maxWarningsPerSecond),
		tasks: make(chan func(), 64),
		loop: loopState{
			list: subscribers.NewList(), scanInterval: minScanInterval,
			reportedStaleLines: map[subscribers.Key]uint64{}, reportedInvalid: map[string]uint64{}, statusDigests: map[string]uint64{},
		},
	}
}

// warnLimited logs a warning, at a rate of at most maxWarningsPerSecond. The next one that is logged states how many were
// left out.
func (g *Gateway) warnLimited(event string, attributes ...any) {
	if !g.warnings.Allow() {
		g.suppressedWarnings.Add(1)
		return
	}
	if suppressed := g.suppressedWarnings.Swap(0); suppressed > 0 {
		attributes = append(attributes, "left_out", suppressed)
	}
	g.log.Warn(event, attributes...)
}

func wallMS() uint64 { return uint64(time.Now().UnixMilli()) }

// now returns the time for package subscribers, in tenths of a millisecond. It is the wall-clock time, so that a
// subscriber's searches run at the same times on all gateways.
func now() int64 { return time.Now().UnixMicro() / 100 }
