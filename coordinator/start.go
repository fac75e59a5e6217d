// Package coordinator is one chalkring co-ordinator on sockets. Read its plan, then Serve it: the decision
// module in package balancer decides, this package carries out. docs/architecture.md tells how the files fit.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"chalkring/coordinator/plan"

	"golang.org/x/sync/errgroup"

	"chalkring/balancer"
	"chalkring/control/shadow"
	"chalkring/endpoints"
)

// The constants of the network. What the settings state is not among them.
const (
	bufferSize   = 16 << 10                // bytes: a head and most whole messages; 1,000 of them are 16 MB
	queueRoom    = 1024                    // events waiting for the owner: some for each descriptor of a usual limit
	clientRoom   = 4                       // answers waiting on a client's connection: clients send one at a time
	togetherMost = 8 << 10                 // bytes of messages that are written in one piece: a buffer holds two such
	togetherRoom = 64                      // messages of them: a turn's calls to one replica
	replicaRoom  = 512                     // frames waiting on a replica's: calls of 32 streams with their cancels
	clientShare  = 0.55                    // of the descriptors go to clients; a search rests on several replicas,
	replicaShare = 0.35                    // yet parts share connections; the rest is for list, log, runtime
	besideShare  = 0.05                    // of them, of that rest, go to further connects beside late ones
	headTime     = 2500 * time.Millisecond // for a request to come, the first from connecting: under 3 s are owed
	quietTime    = 3 * time.Second         // a client connection at rest is closed: usual clients ask several a second
	clientStall  = 5 * time.Second         // a client that takes no byte of its answer so long has left
	graceShare   = 0.5                     // of the time in which a draining replica may get new frames: lists are late
	idleShare    = 0.7                     // of the time at which replicas close what is idle: ends that race
	takeOn       = 500 * time.Millisecond  // requests still come after a stop: the platform's 0.4 s and a little
	acceptPause  = 100 * time.Millisecond  // before accepting again with no descriptor left: some will be free
	longWait     = time.Hour               // longest client timeout that is believed: bounds what is held
	watchEach    = time.Second             // between calls for changes of all co-ordinators: bounds what discovery does
	watchMost    = 20 * time.Second        // of one call for changes: a dead way shows
	watchWhole   = 2 * time.Second         // of a call for the whole list, which answers at once: a long list has so long and the slack
	watchSlack   = time.Second             // an answer later than that after the wait will not come
	askPause     = 500 * time.Millisecond  // first wait before a list that comes by itself is asked for again
	askPauseMost = 3 * time.Second         // longest such wait, half of it and so much by chance: what was missed counts as told after 6 s
	askLate      = 5 * time.Second         // from the begin of an attempt that fails to the next at the latest: what was missed counts as told after 6 s
	lossEach     = 10 * time.Millisecond   // between calls of all co-ordinators that lost discovery at once
	lossMost     = 2 * time.Second         // over which they are spread at the most: what was missed counts as told after 6 s
	lateLook     = 50 * time.Millisecond   // once more for a request whose time ran out: it may be there already
	stopQuiet    = time.Second             // without a request as the co-ordinator stops: its client has had time to close
	killPad      = 200 * time.Millisecond  // kept before the kill: the signal's way here, the answer's way out
	stopMost     = 20 * time.Second        // of answers on connections that stay open: then each ends its connection
	lingerTime   = time.Second             // for a client to read its last answer and close
	lingerMost   = 256 << 10               // bytes read meanwhile: four of the longest bodies; more is cut off
	logRoom      = 1024                    // lines waiting for the log: a burst of some for each connection
	logStall     = time.Second             // for a line to be taken: a reader that is only slow needs less
	logLast      = 2 * time.Second         // for what is left of the log at the end: the process is to end soon
	logEach      = time.Second             // between two lines on one thing that strangers can repeat at will
	frameTime    = 300 * time.Millisecond  // from a frame's first byte to its last: answers fit a few packets
	doubtLeast   = 1000                    // tenths of a millisecond under a part without a word on its connection,
	doubtTimes   = 4.0                     // or so many times the usual answer: the next call takes another
	usualCount   = 100.0                   // answers that the usual answer's time rests on
	doubtMost    = 2                       // connections to a replica passed over for that: a silent replica gets no more
	pastRoom     = 256                     // ids of past parts kept for a connection: some seconds of answers
	dialAgain    = 100 * time.Millisecond  // at most, for a connection to come up before another is tried: most take a few
	dialParts    = 5                       // or this part of the time to connect: the last try has over half of it left
	dialMost     = 3                       // connects for one connection: of those that come late one in three, one in 27 waits
	windowPad    = 2 * time.Millisecond    // kept off the window of repeats where they leave: their way to the replica
	silentDials  = 2                       // times the time to connect without a word: the connection is doubted
	weightSlack  = 0.01                    // that weights may miss 1 by: rounding of a hundred parts
	wordsMost    = 200                     // bytes of a replica's words in a log line
	searchBytes  = 2 << 10                 // that a search holds, here and in the module, beside its text
	partBytes    = 1 << 10                 // and each part of it, beside its value
	begunMost    = 20 * time.Millisecond   // for a frame that is begun to be out: a socket takes one at once
	begunTries   = 16                      // looks for it that let others run in between
	begunLook    = 100 * time.Microsecond  // between two after that
	headRoom     = 512                     // bytes for the head of an answer
	nameMore     = 24                      // bytes of a part's id behind its search's: a dot, a number, the step
	listMost     = 256                     // bytes of a part's list that need no room of their own
	spareMost    = 4096                    // wakes that are kept for the next: those of a few hundred open searches
	shadowEach   = 10 * time.Second        // between lines on what other settings would have decided otherwise
	pulseEach    = 50 * time.Millisecond   // between looks at the time while searches are open: a client may be gone for 0.1 s
	heldUp       = 50 * time.Millisecond   // after its time a wake shows that the process was held up: no turn takes so long
	heldLook     = 5 * time.Millisecond    // for what lies in sockets then to be read first: a long list is read apart in some
	heldLooks    = 10                      // such times at the most: what goes on coming is no backlog
	heldEach     = 250 * time.Millisecond  // between two such looks: who has more to do than time is not held up by them too
	lookAgain    = time.Hour               // after which a far wake is reckoned anew: the wall may have been set meanwhile
	nameMost     = 128                     // bytes of a request's id: it stands in each of its frames
)

// Clock tells the time and wakes.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// SystemClock is the machine's.
type SystemClock struct{}

func (SystemClock) Now() time.Time                         { return time.Now() }
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

	look chan<- *owner // for tests that count what is held
}

// Serve works until ctx ends and all that was taken is answered; then it returns nil, and no goroutine of
// it is left.
func Serve(ctx context.Context, p *plan.Plan, m Options) (err error) {
	g, work := errgroup.WithContext(context.WithoutCancel(ctx))
	stopping, stop := context.WithCancel(work)
	defer stop()
	o := &owner{
		plan: p, Options: m, log: newNotes(m.Clock, m.Logger.Handler()), g: g, ctx: work, queue: make(chan func(), queueRoom),
		start: m.Clock.Now(), searches: map[uint64]*search{}, names: map[string]bool{}, parts: map[uint64]*part{}, timers: map[uint64]*moduleWake{},
		lingering: map[*subRequest]*lingering{},
		fleet:     map[string]*replica{}, asks: make(chan struct{}, 1), moves: make(chan string), sockets: p.MaxSockets,
		blocks: p.BlockCount(), streams: int(p.Number("Permissions.StreamsPerConn")), perCall: int(p.Number("Specifics.PerCall")),
		maxAttempts: int(p.Number("Permissions.MaxAttempts")), clients: map[*link]bool{},
		room: p.SearchMemory(),
	}
	for i := range p.Count("Classes") {
		v, _ := strconv.ParseFloat(p.List("Specifics.FollowUp")[i], 64)
		o.followUps = append(o.followUps, int(v))
		o.keyed = append(o.keyed, p.Settings[fmt.Sprintf("Classes.%d.Effect", i)] == "dedup")
		o.windows = append(o.windows, int64(p.Duration(fmt.Sprintf("Classes.%d.RepeatWindow", i))/tenth))
	}
	o.copies = p.Settings["Permissions.SecondCopies"] == "true" || p.Settings["Permissions.SecondCopies"] == "1"
	o.base = o.start.UnixMicro() / 100
	f := &front{o: o, gate: newGate(int(clientShare * float64(p.MaxSockets))), classes: p.PositionsByName("Classes"), tenants: p.PositionsByName("Tenants"), stopping: stopping}
	if o.module = balancer.New(o); p.ShadowSettings != nil {
		o.counts = &shadow.DivergenceCounts{}
		o.module = shadow.New(o, p.Settings, p.ShadowSettings, o.counts, balancer.New)
	}
	if m.Persistence != nil {
		m.Peers = m.Persistence.peers(m.Peers)
	}
	if m.Peers != nil {
		o.peers = newLearner(o, m.Peers)
	}
	if m.Residency != nil {
		o.zones = newBounding(o, m.Residency)
		defer o.zones.leave()
	}
	if len(m.Frontends) > 0 {
		o.door, o.fronts = newDoor(o), len(m.Frontends)
		f.gate.resize(int(clientShare*float64(p.MaxSockets)) - o.door.MaxConnections)
	}
	if err := o.begin(); err != nil {
		m.Listener.Close()
		return err
	}
	if m.look != nil {
		m.look <- o
	}
	g.Go(func() error { return o.log.write(work) })
	g.Go(o.run)
	if o.peers != nil {
		o.peers.run()
	}
	if m.Persistence != nil {
		m.Persistence.run(o, ctx)
	}
	g.Go(f.accept)
	for _, front := range m.Frontends {
		g.Go(func() error {
			err := front.Serve(work, stopping, o.door)
			o.post(func() { o.fronts-- })
			return err
		})
	}
	if o.members != nil {
		g.Go(o.members.run)
	}
	g.Go(o.follow)
	g.Go(func() error { return f.reload(m.PlanUpdates) })
	g.Go(func() error { return o.windUp(ctx, stop) })
	o.log.Info("serving", "name", p.Name, "listen", m.Listener.Addr().String(), "discovery", p.Discovery,
		"sockets", p.MaxSockets, "memory_mb", p.MemoryMB, "cores", p.Cores)
	if err = g.Wait(); errors.Is(err, errDone) {
		err = nil
	}
	m.Logger.Info("stopped", "name", p.Name, "error", err)
	return err
}

var errDone = errors.New("all is answered")
