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

// The constants of the network. What the settings state is not among them.
const (
	bufferSize                = 16 << 10                // bytes: a head and most whole messages; 1,000 of them are 16 MB
	maxQueuedTasks            = 1024                    // events waiting for the owner: some for each descriptor of a usual limit
	clientQueueSize           = 4                       // answers waiting on a client's connection: clients send one at a time
	maxCoalescedBytes         = 8 << 10                 // bytes of messages that are written in one piece: a buffer holds two such
	maxCoalescedMessages      = 64                      // messages of them: a turn's calls to one replica
	replicaQueueSize          = 512                     // frames waiting on a replica's: calls of 32 streams with their cancels
	clientDescriptorShare     = 0.55                    // of the descriptors go to clients; a search rests on several replicas,
	replicaDescriptorShare    = 0.35                    // yet parts share connections; the rest is for list, log, runtime
	extraDialShare            = 0.05                    // of them, of that rest, go to further connects beside late ones
	requestReadTimeout        = 2500 * time.Millisecond // for a request to come, the first from connecting: under 3 s are owed
	clientIdleTimeout         = 3 * time.Second         // a client connection at rest is closed: usual clients ask several a second
	clientWriteTimeout        = 5 * time.Second         // a client that takes no byte of its answer so long has left
	drainSendShare            = 0.5                     // of the time in which a draining replica may get new frames: lists are late
	replicaIdleShare          = 0.7                     // of the time at which replicas close what is idle: ends that race
	acceptAfterStop           = 500 * time.Millisecond  // requests still come after a stop: the platform's 0.4 s and a little
	acceptRetryDelay          = 100 * time.Millisecond  // before accepting again with no descriptor left: some will be free
	maxClientTimeout          = time.Hour               // longest client timeout that is believed: bounds what is held
	watchInterval             = time.Second             // between calls for changes of all co-ordinators: bounds what discovery does
	maxWatchWait              = 20 * time.Second        // of one call for changes: a dead way shows
	fullListTimeout           = 2 * time.Second         // of a call for the whole list, which answers at once: a long list has so long and the slack
	watchAnswerSlack          = time.Second             // an answer later than that after the wait will not come
	minPollBackoff            = 500 * time.Millisecond  // first wait before a list that comes by itself is asked for again
	maxPollBackoff            = 3 * time.Second         // longest such wait, half of it and so much by chance: what was missed counts as told after 6 s
	maxPollDelay              = 5 * time.Second         // from the begin of an attempt that fails to the next at the latest: what was missed counts as told after 6 s
	lossSpreadPerCoordinator  = 10 * time.Millisecond   // between calls of all co-ordinators that lost discovery at once
	maxLossSpread             = 2 * time.Second         // over which they are spread at the most: what was missed counts as told after 6 s
	finalReadGrace            = 50 * time.Millisecond   // once more for a request whose time ran out: it may be there already
	stopIdleTimeout           = time.Second             // without a request as the co-ordinator stops: its client has had time to close
	killMargin                = 200 * time.Millisecond  // kept before the kill: the signal's way here, the answer's way out
	maxStopTime               = 20 * time.Second        // of answers on connections that stay open: then each ends its connection
	lingerTimeout             = time.Second             // for a client to read its last answer and close
	maxLingerBytes            = 256 << 10               // bytes read meanwhile: four of the longest bodies; more is cut off
	logQueueSize              = 1024                    // lines waiting for the log: a burst of some for each connection
	logWriteTimeout           = time.Second             // for a line to be taken: a reader that is only slow needs less
	logFlushTimeout           = 2 * time.Second         // for what is left of the log at the end: the process is to end soon
	logRepeatInterval         = time.Second             // between two lines on one thing that strangers can repeat at will
	frameReadTimeout          = 300 * time.Millisecond  // from a frame's first byte to its last: answers fit a few packets
	minDoubtDelay             = 1000                    // tenths of a millisecond under a part without a word on its connection,
	doubtLatencyFactor        = 4.0                     // or so many times the usual answer: the next call takes another
	latencyAverageWeight      = 100.0                   // answers that the usual answer's time rests on
	maxDoubtedConnections     = 2                       // connections to a replica passed over for that: a silent replica gets no more
	maxRecentIDs              = 256                     // ids of past parts kept for a connection: some seconds of answers
	maxRedialDelay            = 100 * time.Millisecond  // at most, for a connection to come up before another is tried: most take a few
	redialTimeoutParts        = 5                       // or this part of the time to connect: the last try has over half of it left
	maxParallelDials          = 3                       // connects for one connection: of those that come late one in three, one in 27 waits
	repeatWindowMargin        = 2 * time.Millisecond    // kept off the window of repeats where they leave: their way to the replica
	silenceDialTimeouts       = 2                       // times the time to connect without a word: the connection is doubted
	weightTolerance           = 0.01                    // that weights may miss 1 by: rounding of a hundred parts
	maxLoggedRejectBytes      = 200                     // bytes of a replica's words in a log line
	searchOverheadBytes       = 2 << 10                 // that a search holds, here and in the module, beside its text
	shardRequestOverheadBytes = 1 << 10                 // and each part of it, beside its value
	maxWriteWait              = 20 * time.Millisecond   // for a frame that is begun to be out: a socket takes one at once
	writeWaitYields           = 16                      // looks for it that let others run in between
	writeWaitPoll             = 100 * time.Microsecond  // between two after that
	responseHeadRoom          = 512                     // bytes for the head of an answer
	attemptNameExtra          = 24                      // bytes of a part's id behind its search's: a dot, a number, the step
	frameParameterRoom        = 256                     // bytes of a part's list that need no room of their own
	maxSpareTimers            = 4096                    // wakes that are kept for the next: those of a few hundred open searches
	shadowLogInterval         = 10 * time.Second        // between lines on what other settings would have decided otherwise
	stallCheckInterval        = 50 * time.Millisecond   // between looks at the time while searches are open: a client may be gone for 0.1 s
	stallThreshold            = 50 * time.Millisecond   // after its time a wake shows that the process was held up: no turn takes so long
	catchUpWait               = 5 * time.Millisecond    // for what lies in sockets then to be read first: a long list is read apart in some
	maxCatchUpWaits           = 10                      // such times at the most: what goes on coming is no backlog
	catchUpInterval           = 250 * time.Millisecond  // between two such looks: who has more to do than time is not held up by them too
	maxResidencyCheckDelay    = time.Hour               // after which a far wake is reckoned anew: the wall may have been set meanwhile
	maxRequestIDBytes         = 128                     // bytes of a request's id: it stands in each of its frames
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
