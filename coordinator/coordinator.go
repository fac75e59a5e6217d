// Package coordinator runs one chalkring coordinator on sockets: clients, replicas, discovery and peers. An event loop owns
// the balancer, which decides; this package carries its decisions out. docs/architecture.md describes how the files fit.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"chalkring/balancer"
	"chalkring/control/shadow"
	"chalkring/coordinator/plan"
	"chalkring/endpoints"
)

// Clock tells the time and wakes.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// SystemClock is the machine's.
type SystemClock struct{}

func (SystemClock) Now() time.Time { return time.Now() }

func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Options is what a co-ordinator works with.
type Options struct {
	Listener    net.Listener
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	Clock       Clock
	Logger      *slog.Logger      // lines are handed to its handler by one goroutine
	PlanUpdates <-chan *plan.Plan // that follow the first, as Reloads hands them on; may be nil

	HostKinds       map[string]HostKind     // kinds of host that speak the OpenSearch-style API; may be nil
	Frontends       []Frontend              // other ways in for clients; may be none
	Peers           *PeerOptions            // what an installation allows beside the plan; may be nil
	EndpointUpdates <-chan endpoints.Update // of hosts, from other sources than discovery; may be nil, and may be closed
	Persistence     *Persistence            // what is kept on disk; then Lists are its Lists; may be nil

	Residency   *ResidencyGuard // contracts on where parts may run; nil for none
	OnSearchEnd func(SearchEnd) // is told each search's end in a turn, so it may not wait; nil for none

	onStart chan<- *eventLoop // for tests that count what is held
}

// Serve works until ctx ends and all that was taken is answered; then it returns nil, and no goroutine of
// it is left.
func Serve(ctx context.Context, p *plan.Plan, options Options) (err error) {
	g, work := errgroup.WithContext(context.WithoutCancel(ctx))
	stopping, cancel := context.WithCancel(work)
	defer cancel()
	loop := &eventLoop{
		plan: p, Options: options, log: newAsyncLogger(options.Clock, options.Logger.Handler()), group: g, ctx: work, tasks: make(chan func(), maxQueuedTasks),
		startedAt: options.Clock.Now(), searches: map[uint64]*search{}, openNames: map[string]bool{}, shardRequests: map[uint64]*shardRequest{}, balancerTimers: map[uint64]*balancerTimer{},
		abandoned: map[*attempt]*abandonedAttempt{},
		replicas:  map[string]*replica{}, pollRequests: make(chan struct{}, 1), discoveryMoves: make(chan string), maxSockets: p.MaxSockets,
		blockCount: p.BlockCount(), streamsPerConnection: int(p.Number("Permissions.StreamsPerConn")), attemptsPerBatch: int(p.Number("Specifics.PerCall")),
		maxAttempts: int(p.Number("Permissions.MaxAttempts")), clients: map[*messageConn]bool{},
		searchMemory: p.SearchMemory(),
	}
	for i := range p.Count("Classes") {
		v, _ := strconv.ParseFloat(p.List("Specifics.FollowUp")[i], 64)
		loop.followUpCounts = append(loop.followUpCounts, int(v))
		loop.keyedClasses = append(loop.keyedClasses, p.Settings[fmt.Sprintf("Classes.%d.Effect", i)] == "dedup")
		loop.repeatWindows = append(loop.repeatWindows, int64(p.Duration(fmt.Sprintf("Classes.%d.RepeatWindow", i))/tick))
	}
	loop.allowsSecondCopies = p.Settings["Permissions.SecondCopies"] == "true" || p.Settings["Permissions.SecondCopies"] == "1"
	loop.startTicks = loop.startedAt.UnixMicro() / 100
	f := &clientListener{loop: loop, limiter: newConnectionLimiter(int(clientDescriptorShare * float64(p.MaxSockets))), classes: p.PositionsByName("Classes"), tenants: p.PositionsByName("Tenants"), stopping: stopping}
	if loop.balancer = balancer.New(loop); p.ShadowSettings != nil {
		loop.shadowCounts = &shadow.DivergenceCounts{}
		loop.balancer = shadow.New(loop, p.Settings, p.ShadowSettings, loop.shadowCounts, balancer.New)
	}
	if options.Persistence != nil {
		options.Peers = options.Persistence.withBudget(options.Peers)
	}
	if options.Peers != nil {
		loop.peers = newPeerExchange(loop, options.Peers)
	}
	if options.Residency != nil {
		loop.enforcer = newResidencyEnforcer(loop, options.Residency)
		defer loop.enforcer.close()
	}
	if len(options.Frontends) > 0 {
		loop.searchAPI, loop.openFrontends = newSearchAPI(loop), len(options.Frontends)
		f.limiter.resize(int(clientDescriptorShare*float64(p.MaxSockets)) - loop.searchAPI.MaxConnections)
	}
	if err := loop.startBalancer(); err != nil {
		options.Listener.Close()
		return err
	}
	if options.onStart != nil {
		options.onStart <- loop
	}
	g.Go(func() error { return loop.log.run(work) })
	g.Go(loop.run)
	if loop.peers != nil {
		loop.peers.run()
	}
	if options.Persistence != nil {
		options.Persistence.run(loop, ctx)
	}
	g.Go(f.accept)
	for _, front := range options.Frontends {
		g.Go(func() error {
			err := front.Serve(work, stopping, loop.searchAPI)
			loop.submit(func() { loop.openFrontends-- })
			return err
		})
	}
	if loop.sources != nil {
		g.Go(loop.sources.run)
	}
	g.Go(loop.followDiscovery)
	g.Go(func() error { return f.reload(options.PlanUpdates) })
	g.Go(func() error { return loop.shutDown(ctx, cancel) })
	loop.log.Info("serving", "name", p.Name, "listen", options.Listener.Addr().String(), "discovery", p.Discovery,
		"sockets", p.MaxSockets, "memory_mb", p.MemoryMB, "cores", p.Cores)
	if err = g.Wait(); errors.Is(err, errAllAnswered) {
		err = nil
	}
	options.Logger.Info("stopped", "name", p.Name, "error", err)
	return err
}
