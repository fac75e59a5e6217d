// Package replication synchronizes the instances' replicas of a crdt.Map over the network and keeps them on disk. An
// instance sends fresh changes at once to a few other instances, and each receiver forwards those that are new to it. In
// addition, each instance compares its replica with another instance's every second by their digest trees (anti-entropy)
// and exchanges what differs. If there is a store, changes are written to it. All of this is background work within
// budgets of package scheduler. docs/replication.md gives the rules and figures.
package replication

import (
	"context"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"chalkring/cluster/crdt"
	"chalkring/internal/scheduler"
)

// Options configure a Replicator.
type Options struct {
	InstanceName string
	Incarnation  uint64 // must be greater with each start, for example the start time in ns
	Transport    Transport
	// Peers returns the other instances that are reachable now, and all members of the cluster, reachable or not.
	Peers func() (alive, members []string)
	// OpenStorage waits until the storage is open, and returns nil if there is none. If OpenStorage is nil there is none.
	OpenStorage      func(ctx context.Context) (Storage, error)
	Logger           *slog.Logger // nil discards
	Seed             int64
	ExchangeInterval time.Duration // between two rounds of exchanges, 0 for defaultExchangeInterval
}

const defaultExchangeInterval = time.Second

// DefaultBytesPerSecond is the budget of each of three kinds of jobs: exchanges as initiator, responses, and updates.
const DefaultBytesPerSecond = 2 << 20

// Replicator holds the replica of one instance. Its methods may be called from any goroutine. Only WaitPersisted and
// Close wait for a disk, and none waits for another instance.
type Replicator struct {
	options   Options
	pool      *scheduler.Pool
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	stopped   chan struct{} // closed once all background work has ended
	ready     chan struct{} // see Ready
	readyOnce sync.Once
	restored  chan struct{} // closed once the storage has been read or is known to be missing

	mu       sync.Mutex // guards the fields below
	state    *crdt.Map
	rng      *rand.Rand
	watchers map[*watcher]bool
	stats    Stats

	pendingUpdates  []string // names with changes to send at once
	isPendingUpdate map[string]bool
	updateSignal    chan struct{}

	storage         Storage // set before restored is closed
	dirty           map[string]bool
	persistSignal   chan struct{}
	persistedKnown  crdt.Version  // the known version on disk
	changeCount     uint64        // changes so far
	persistedCount  uint64        // the part of changeCount that is on disk
	persistError    error         // of the last transaction
	transactionDone chan struct{} // closed and replaced with each successful transaction

	lastExchangeID  uint64
	openExchanges   map[string]*openExchange              // by peer
	responseWaiters map[uint64]chan crdt.ExchangeResponse // by exchange id
	contactedPeers  map[string]bool                       // reachable peers already chosen for an exchange

	lastAliveAt        map[string]time.Duration // when each instance was last seen alive
	incarnationBegunAt time.Duration
	lastCollectAt      time.Duration
	lastRowAt          time.Duration
	lastRowKnown       crdt.Version
	lastLoggedAt       map[string]time.Duration // by event and subject
}

// Start starts replication, which ends with ctx or Close.
func Start(ctx context.Context, options Options) *Replicator {
	r := newReplicator(ctx, options)
	options.Transport.Handle(Topic, r.handleMessage)
	go func() {
		defer close(r.stopped)
		_ = r.pool.Run(r.ctx)
	}()
	r.scheduleJobs()
	return r
}

// newReplicator returns a replicator without background work.
func newReplicator(ctx context.Context, options Options) *Replicator {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.ExchangeInterval <= 0 {
		options.ExchangeInterval = defaultExchangeInterval
	}
	r := &Replicator{
		options: options, startedAt: time.Now(),
		stopped: make(chan struct{}), ready: make(chan struct{}), restored: make(chan struct{}),
		state: crdt.NewMap(crdt.FormatActor(options.InstanceName, max(1, options.Incarnation))),
		rng:   rand.New(rand.NewSource(options.Seed)), watchers: map[*watcher]bool{},
		isPendingUpdate: map[string]bool{}, updateSignal: make(chan struct{}, 1),
		dirty: map[string]bool{}, persistSignal: make(chan struct{}, 1), transactionDone: make(chan struct{}),
		openExchanges: map[string]*openExchange{}, responseWaiters: map[uint64]chan crdt.ExchangeResponse{},
		contactedPeers: map[string]bool{}, lastAliveAt: map[string]time.Duration{}, lastLoggedAt: map[string]time.Duration{},
		incarnationBegunAt: -minIncarnationInterval, lastRowAt: -rowIntervals * options.ExchangeInterval,
	}
	r.lastExchangeID = r.rng.Uint64() >> 1
	r.ctx, r.cancel = context.WithCancel(ctx)
	schedule := scheduler.NewSchedule(rand.New(rand.NewSource(options.Seed+1)), map[string]scheduler.Budget{
		jobExchange: {BytesPerSecond: DefaultBytesPerSecond},
		jobResponse: {BytesPerSecond: DefaultBytesPerSecond, MaxConcurrent: maxConcurrentResponses},
		jobUpdate:   {BytesPerSecond: DefaultBytesPerSecond},
	})
	r.pool = scheduler.NewPool(systemClock{}, schedule, func(job string, err error) { r.logFailure(eventJob, "job", job, err) })
	return r
}

// Kinds of the background jobs, which the budgets refer to. In the log, jobNamePrefix precedes them.
const (
	jobRestore  = "restore"
	jobExchange = "exchange"
	jobResponse = "response"
	jobUpdate   = "update"
	jobPersist  = "persist"
	jobCollect  = "collect"

	jobNamePrefix = "replication "
)

// exchangeJitterDivisor makes the jitter of exchanges a quarter of their interval, so that the instances do not all begin
// their rounds at the same moments.
const exchangeJitterDivisor = 4

// scheduleJobs starts the background work.
func (r *Replicator) scheduleJobs() {
	interval := r.options.ExchangeInterval
	r.addJob(r.restore, scheduler.Job{Kind: jobRestore, Priority: scheduler.PriorityUrgent})
	r.addJob(r.runExchanges, scheduler.Job{
		Kind: jobExchange, Priority: scheduler.PriorityNormal,
		Interval: schedulerTicks(interval), Jitter: schedulerTicks(interval) / exchangeJitterDivisor,
	})
	r.addJob(r.sendUpdates, scheduler.Job{Kind: jobUpdate, Priority: scheduler.PriorityUrgent})
	r.addJob(r.persistLoop, scheduler.Job{Kind: jobPersist, Priority: scheduler.PriorityUrgent})
	r.addJob(r.collectTombstones, scheduler.Job{
		Kind: jobCollect, Priority: scheduler.PriorityIdle, Interval: collectIntervals * schedulerTicks(interval),
	})
}

func (r *Replicator) addJob(run func(context.Context, *scheduler.Allowance) error, job scheduler.Job) {
	job.Name = jobNamePrefix + job.Kind
	if _, err := r.pool.Add(job, run); err != nil {
		r.logFailure(eventJob, "job", job.Name, err)
	}
}

// schedulerTicks converts a duration to the scheduler's unit, a tenth of a millisecond.
func schedulerTicks(d time.Duration) int64 { return int64(d / (100 * time.Microsecond)) }

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// elapsed is the time since the start.
func (r *Replicator) elapsed() time.Duration { return time.Since(r.startedAt) }

// Close waits until all changes are on disk, at most until ctx ends, and then ends the background work.
func (r *Replicator) Close(ctx context.Context) error {
	err := r.WaitPersisted(ctx)
	r.cancel()
	<-r.stopped
	return err
}

// Ready returns a channel that is closed once the state on disk has been merged or is known to be missing, or after
// storageTimeout: a hanging disk must not prevent an instance from replicating. A Put made before the merge has not seen
// the state on disk.
func (r *Replicator) Ready() <-chan struct{} { return r.ready }

func (r *Replicator) isReady() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}

// shuffledPeers returns the other instances that are reachable now, in random order, and all members.
func (r *Replicator) shuffledPeers() (alive, members []string) {
	peers, members := r.options.Peers()
	for _, name := range peers {
		if name != r.options.InstanceName {
			alive = append(alive, name)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive, members
}

// notify sends a signal without blocking. One signal covers any number of events.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
