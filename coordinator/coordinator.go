// Package coordinator runs one chalkring coordinator on sockets: clients, replicas, discovery and peers. An event loop owns
// the balancer, which makes the decisions; this package carries them out. docs/architecture.md describes how the files fit
// together.
package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"chalkring/balancer"
	"chalkring/control/shadow"
	"chalkring/coordinator/plan"
	"chalkring/endpoints"
)

// Clock is a coordinator's source of time. Deadlines of sockets always use the system's clock, whatever the Clock.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel on which the current time is sent after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Options are the dependencies of a coordinator. Listener, Dial, Clock and Logger are required; all others may be nil or
// empty.
type Options struct {
	Listener    net.Listener // for clients; Serve closes it
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	Clock       Clock
	Logger      *slog.Logger      // its handler is called by one goroutine only
	PlanUpdates <-chan *plan.Plan // reloaded plans, as Plan.WatchReloads sends them

	HostKinds       map[string]HostKind     // kinds of host that speak the OpenSearch-style API, by the endpoint list's kind
	Frontends       []Frontend              // further APIs for clients
	Peers           *PeerOptions            // coordinators that exchange observations
	EndpointUpdates <-chan endpoints.Update // hosts from sources other than discovery; may be closed
	Persistence     *Persistence            // state on disk; if set, EndpointUpdates has to come from its PrependStoredUpdate

	Residency   *ResidencyGuard // contracts on where shard requests may run
	OnSearchEnd func(SearchEnd) // called at each search's end on the event loop's goroutine, so it must not block

	onStart chan<- *eventLoop // receives the event loop, for tests that inspect it
}

// Serve serves until ctx ends and every search is answered; then it returns nil, with all of its goroutines ended. It
// returns an error if the balancer cannot be configured with the plan or an iteration of the event loop panics.
func Serve(ctx context.Context, initial *plan.Plan, options Options) (err error) {
	group, work := errgroup.WithContext(context.WithoutCancel(ctx))
	stopping, stop := context.WithCancel(work)
	defer stop()
	loop := newEventLoop(work, group, initial, options)
	listener := newClientListener(loop, stopping)
	loop.attachOptional(options)
	if loop.enforcer != nil {
		defer loop.enforcer.close()
	}
	if loop.searchAPI != nil {
		loop.searchAPI.requests = listener.control
		listener.limiter.resize(maxClientConnections(initial) - loop.searchAPI.MaxConnections)
	}
	if err := loop.startBalancer(); err != nil {
		options.Listener.Close()
		return err
	}
	if options.onStart != nil {
		options.onStart <- loop
	}
	loop.startGoroutines(ctx, stopping, stop, listener, options)
	loop.log.Info("serving", "name", initial.Name, "listen", options.Listener.Addr().String(), "discovery", initial.Discovery,
		"sockets", initial.MaxSockets, "memory_mb", initial.MemoryMB, "cores", initial.Cores)
	if err = group.Wait(); errors.Is(err, errAllAnswered) {
		err = nil
	}
	options.Logger.Info("stopped", "name", initial.Name, "error", err)
	return err
}

func newEventLoop(ctx context.Context, group *errgroup.Group, initial *plan.Plan, options Options) *eventLoop {
	loop := &eventLoop{
		Options: options, log: newAsyncLogger(options.Clock, options.Logger.Handler()), plan: initial, group: group, ctx: ctx,
		tasks: make(chan func(), maxQueuedTasks), updates: make(chan func(), maxQueuedListUpdates), startedAt: options.Clock.Now(), rules: newDispatchRules(initial),
		timers: timerSet{balancer: map[uint64]*balancerTimer{}},
		searches: searchTable{
			byID: map[uint64]*search{}, names: map[string]bool{}, shardRequests: map[uint64]*shardRequest{},
			memoryLimit: initial.SearchMemory(),
		},
		replicas:    replicaTable{byID: map[string]*replica{}, abandoned: map[*attempt]*abandonedAttempt{}},
		descriptors: descriptorBudget{limit: initial.MaxSockets},
		clients:     clientTable{connections: map[*messageConn]bool{}},
		discovery:   discoveryRequests{polls: make(chan struct{}, 1), moves: make(chan string)},
	}
	loop.startTicks = loop.startedAt.UnixMicro() / int64(tick/time.Microsecond)
	if loop.balancer = balancer.New(loop); initial.ShadowSettings != nil {
		loop.shadowCounts = &shadow.DivergenceCounts{}
		loop.balancer = shadow.New(loop, initial.Settings, initial.ShadowSettings, loop.shadowCounts, balancer.New)
	}
	return loop
}

// attachOptional sets up the parts of the coordinator that options enable: peers, residency and other frontends.
func (loop *eventLoop) attachOptional(options Options) {
	peers := options.Peers
	if options.Persistence != nil {
		peers = options.Persistence.withBudget(peers)
	}
	if peers != nil {
		loop.peers = newPeerExchange(loop, peers)
	}
	if options.Residency != nil {
		loop.enforcer = newResidencyEnforcer(loop, options.Residency)
	}
	if len(options.Frontends) > 0 {
		loop.searchAPI, loop.clients.openFrontends = newSearchAPI(loop), len(options.Frontends)
	}
}

// startGoroutines starts all goroutines of the coordinator. stopping is done once no new connections are accepted; stop
// cancels it.
func (loop *eventLoop) startGoroutines(ctx, stopping context.Context, stop context.CancelFunc, listener *clientListener,
	options Options,
) {
	group := loop.group
	group.Go(func() error { return loop.log.run(loop.ctx) })
	group.Go(loop.run)
	if loop.peers != nil {
		loop.peers.run()
	}
	if options.Persistence != nil {
		options.Persistence.run(loop, ctx)
	}
	group.Go(listener.accept)
	for _, frontend := range options.Frontends {
		group.Go(func() error {
			err := frontend.Serve(loop.ctx, stopping, loop.searchAPI)
			loop.submit(func() { loop.clients.openFrontends-- })
			return err
		})
	}
	if loop.sources != nil {
		group.Go(loop.sources.run)
	}
	group.Go(loop.followDiscovery)
	group.Go(func() error { return listener.reload(options.PlanUpdates) })
	group.Go(func() error { return loop.shutDown(ctx, stop) })
}
