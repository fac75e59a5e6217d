package coordinator

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chalkring/cluster/peerprotocol"
	"chalkring/cluster/peerreport"
	"chalkring/internal/scheduler"
)

const (
	loadSampleInterval = 100 * time.Millisecond // between load samples: the scheduler averages over several of them
	pollJobTimeout     = 12 * time.Second       // for a poll to start and end: a little over the peer's own limit
	pollJobKind        = "ask"
	pollJobPrefix      = "ask "
	answerJobKind      = "answer"
)

// PeerOptions configures the exchange of observations between coordinators.
type PeerOptions struct {
	Name, Location  string
	Listener        net.Listener // on which peers poll this coordinator; nil to answer no polls
	PollTargets     []PeerAddress
	AllowedPeers    []string
	Keys            *peerprotocol.Credentials // nil for plain TCP
	RefreshInterval time.Duration
	Budgets         map[string]scheduler.Budget
}

// PeerAddress is a peer's name and the address on which it answers.
type PeerAddress struct{ Name, Addr string }

// peerExchange exchanges observations of replicas with other coordinators. The event loop never waits for it:
// observations are exported and imported by tasks of the event loop, a small chunk at a time.
type peerExchange struct {
	loop       *eventLoop
	options    *PeerOptions
	pool       *scheduler.Pool
	instanceID uint64
	zones      []string
	wakePoller chan struct{} // the poller's state has changed

	mu             sync.Mutex
	reports        *peerreport.ReportStore
	poller         *peerreport.Poller
	admission      *peerreport.Admission
	startedMS      map[string]int64  // start of each listed host, by host ID
	addrs          map[string]string // address of each listed host, by host ID
	snapshotMu     sync.Mutex        // one snapshot at a time, shared by all peers that poll
	snapshot       *peerreport.ReportBuilder
	snapshotSerial uint64
	load           float64

	listVersion atomic.Int64 // of the current endpoint list
	importMu    sync.Mutex   // one import into the balancer at a time
}

// newPeerExchange returns an exchange that has not started.
func newPeerExchange(loop *eventLoop, options *PeerOptions) *peerExchange {
	now, name := loop.clockTicks(), loop.plan.Name
	if options.Name == "" {
		options.Name = name
	}
	exchange := &peerExchange{
		loop: loop, options: options, zones: loop.plan.List("FailureDomains"), wakePoller: make(chan struct{}, 1), admission: peerreport.NewAdmission(),
		startedMS: map[string]int64{}, addrs: map[string]string{},
	}
	exchange.instanceID = xxhash.Sum64String(fmt.Sprint(name, loop.plan.Seed, loop.Listener.Addr(), loop.startedAt.UnixNano()))
	exchange.reports = peerreport.NewReportStore(options.Location, exchange.zones)
	var names []string
	for _, peer := range options.PollTargets {
		names = append(names, peer.Name)
	}
	exchange.poller = peerreport.NewPoller(rand.New(rand.NewSource(loop.plan.Seed+1)), now, int64(options.RefreshInterval/tick), names)
	plan := scheduler.NewSchedule(rand.New(rand.NewSource(loop.plan.Seed+2)), options.Budgets)
	exchange.pool = scheduler.NewPool(loop.Clock, plan, func(job string, err error) {
		loop.log.warnLimited("job", "job_failed", "job", job, "error", err)
		if name, isPoll := strings.CutPrefix(job, pollJobPrefix); isPoll {
			loop.group.Go(func() error { exchange.handlePollEnd(name, peerreport.OutcomeFailed, 0, err); return nil }) // not here: the pool must not block
		}
	})
	return exchange
}

// run starts the exchange's goroutines.
func (l *peerExchange) run() {
	loop := l.loop
	loop.group.Go(func() error { return l.pool.Run(loop.ctx) })
	loop.group.Go(l.pollPeers)
	loop.group.Go(l.sampleLoad)
	if l.options.Listener == nil {
		return
	}
	server := &peerprotocol.Server{
		Name: l.options.Name, InstanceID: l.instanceID, AllowedNames: l.options.AllowedPeers, Credentials: l.options.Keys, Admit: l.admit,
		Release: l.release, BuildReport: l.currentReport, BuildStatus: l.status, SpendBudget: l.spendAnswerBudget,
		OnRejected: func(addr, why string) {
			loop.log.warnLimited("peer_refused", "peer_refused", "client", addr, "why", why)
		},
	}
	loop.log.Info("peers", "listen", l.options.Listener.Addr().String(), "name", l.options.Name, "asks", len(l.options.PollTargets))
	loop.group.Go(func() error { return server.Serve(loop.ctx, l.options.Listener) })
}

// sampleLoad measures the event loop's load, which delays background jobs and defers polls from peers. A timer that
// fires late indicates that the machine is busy with work outside the event loop.
func (l *peerExchange) sampleLoad() error {
	before, busy := time.Now(), l.loop.busyNanos.Load()
	for {
		select {
		case <-l.loop.Clock.After(loadSampleInterval):
		case <-l.loop.ctx.Done():
			return nil
		}
		now, busyNow := time.Now(), l.loop.busyNanos.Load()
		load := float64(busyNow-busy) / float64(max(1, now.Sub(before)))
		late := float64(now.Sub(before)-loadSampleInterval) / float64(now.Sub(before))
		before, busy = now, busyNow
		load = min(1, max(load, late, float64(len(l.loop.tasks))/maxQueuedTasks))
		l.pool.RecordLoad(load)
		l.mu.Lock()
		l.load = load
		l.admission.SetLoad(load)
		l.reports.ExpireReports(l.loop.clockTicks())
		l.mu.Unlock()
	}
}

// pollPeers starts the polls that are due, until the coordinator ends.
func (l *peerExchange) pollPeers() error {
	for {
		l.mu.Lock()
		now := l.loop.clockTicks()
		for _, name := range l.poller.DuePeers(now) {
			l.startPoll(name)
		}
		next := l.poller.NextPollAt(now)
		l.mu.Unlock()
		var due <-chan time.Time
		if next > 0 {
			due = l.loop.Clock.After(time.Duration(max(1, next-now)) * tick)
		}
		select {
		case <-due:
		case <-l.wakePoller:
		case <-l.loop.ctx.Done():
			return nil
		}
	}
}

// startPoll adds a job that polls one peer.
func (l *peerExchange) startPoll(name string) {
	i := slices.IndexFunc(l.options.PollTargets, func(peer PeerAddress) bool { return peer.Name == name })
	peer := l.options.PollTargets[i]
	job := scheduler.Job{Name: pollJobPrefix + name, Kind: pollJobKind, Priority: scheduler.PriorityUrgent, MaxFailures: 1, Deadline: int64(pollJobTimeout / tick)}
	_, err := l.pool.Add(job, func(ctx context.Context, allowance *scheduler.Allowance) error {
		outcome, retryAfter, err := l.pollPeer(ctx, peer, allowance)
		began := time.Now()
		l.handlePollEnd(peer.Name, outcome, retryAfter, err)
		_ = allowance.Spend(ctx, 0, time.Since(began)) // charges the time for combining reports to the poll's budget, though the poll has ended
		return nil
	})
	if err != nil {
		l.loop.group.Go(func() error { l.handlePollEnd(peer.Name, peerreport.OutcomeFailed, 0, err); return nil }) // startPoll is called with the lock held
	}
}

// pollPeer fetches one peer's report.
func (l *peerExchange) pollPeer(ctx context.Context, peer PeerAddress, allowance *scheduler.Allowance) (peerreport.Outcome, time.Duration, error) {
	polledAt := l.loop.clockTicks()
	client := peerprotocol.Client{
		PeerName: peer.Name, Addr: peer.Addr, LocalName: l.options.Name, InstanceID: l.instanceID, Dial: l.loop.Dial, Credentials: l.options.Keys,
		OnHeader: func(header peerreport.ReportHeader) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.reports.BeginReport(polledAt, header)
		},
		OnObservations: func(observations []peerreport.Observation) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.reports.AddObservations(peer.Name, observations)
		},
		SpendBudget: allowance.Spend,
	}
	return client.FetchReport(ctx)
}

// handlePollEnd records how a poll ended and, if it brought a complete report, imports it.
func (l *peerExchange) handlePollEnd(name string, outcome peerreport.Outcome, retryAfter time.Duration, err error) {
	l.mu.Lock()
	if outcome == peerreport.OutcomeReceived {
		l.reports.CompleteReport(name)
	} else {
		l.reports.AbortReport(name)
	}
	l.poller.RecordOutcome(l.loop.clockTicks(), name, outcome, int64(retryAfter/tick))
	l.mu.Unlock()
	select {
	case l.wakePoller <- struct{}{}:
	default:
	}
	switch {
	case l.loop.ctx.Err() != nil:
	case outcome == peerreport.OutcomeReceived:
		hosts := l.importReports()
		l.loop.log.Info("observations_imported", "peer", name, "hosts", hosts)
	case outcome == peerreport.OutcomeDeferred:
		l.loop.log.warnLimited("peer_later", "peer_later", "peer", name, "wait", retryAfter)
	default:
		l.loop.log.warnLimited("peer "+outcome.String(), "peer_failed", "peer", name, "how", outcome, "error", err)
	}
}
