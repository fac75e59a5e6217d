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
	schedule := scheduler.NewSchedule(rand.New(rand.NewSource(loop.plan.Seed+2)), options.Budgets)
	exchange.pool = scheduler.NewPool(loop.Clock, schedule, func(job string, err error) {
		loop.log.warnLimited("job", "job_failed", "job", job, "error", err)
		if name, isPoll := strings.CutPrefix(job, pollJobPrefix); isPoll {
			loop.group.Go(func() error { exchange.handlePollEnd(name, peerreport.OutcomeFailed, 0, err); return nil }) // in a goroutine of its own: the pool must not block
		}
	})
	return exchange
}

// run starts the exchange's goroutines.
func (e *peerExchange) run() {
	loop := e.loop
	loop.group.Go(func() error { return e.pool.Run(loop.ctx) })
	loop.group.Go(e.pollPeers)
	loop.group.Go(e.sampleLoad)
	if e.options.Listener == nil {
		return
	}
	server := &peerprotocol.Server{
		Name: e.options.Name, InstanceID: e.instanceID, AllowedNames: e.options.AllowedPeers, Credentials: e.options.Keys, Admit: e.admit,
		Release: e.release, BuildReport: e.currentReport, BuildStatus: e.status, SpendBudget: e.spendAnswerBudget,
		OnRejected: func(addr, why string) {
			loop.log.warnLimited("peer_refused", "peer_refused", "client", addr, "why", why)
		},
	}
	loop.log.Info("peers", "listen", e.options.Listener.Addr().String(), "name", e.options.Name, "asks", len(e.options.PollTargets))
	loop.group.Go(func() error { return server.Serve(loop.ctx, e.options.Listener) })
}

// sampleLoad measures the event loop's load, which delays background jobs and defers polls from peers. A timer that
// fires late indicates that the machine is busy with work outside the event loop.
func (e *peerExchange) sampleLoad() error {
	before, busy := time.Now(), e.loop.busyNanos.Load()
	for {
		select {
		case <-e.loop.Clock.After(loadSampleInterval):
		case <-e.loop.ctx.Done():
			return nil
		}
		now, busyNow := time.Now(), e.loop.busyNanos.Load()
		load := float64(busyNow-busy) / float64(max(1, now.Sub(before)))
		late := float64(now.Sub(before)-loadSampleInterval) / float64(now.Sub(before))
		before, busy = now, busyNow
		load = min(1, max(load, late, float64(len(e.loop.tasks))/maxQueuedTasks))
		e.pool.RecordLoad(load)
		e.mu.Lock()
		e.load = load
		e.admission.SetLoad(load)
		e.reports.ExpireReports(e.loop.clockTicks())
		e.mu.Unlock()
	}
}

// pollPeers starts the polls that are due, until the coordinator ends.
func (e *peerExchange) pollPeers() error {
	for {
		e.mu.Lock()
		now := e.loop.clockTicks()
		for _, name := range e.poller.DuePeers(now) {
			e.startPoll(name)
		}
		next := e.poller.NextPollAt(now)
		e.mu.Unlock()
		var due <-chan time.Time
		if next > 0 {
			due = e.loop.Clock.After(time.Duration(max(1, next-now)) * tick)
		}
		select {
		case <-due:
		case <-e.wakePoller:
		case <-e.loop.ctx.Done():
			return nil
		}
	}
}

// startPoll adds a job that polls one peer. The caller holds mu.
func (e *peerExchange) startPoll(name string) {
	i := slices.IndexFunc(e.options.PollTargets, func(peer PeerAddress) bool { return peer.Name == name })
	peer := e.options.PollTargets[i]
	job := scheduler.Job{Name: pollJobPrefix + name, Kind: pollJobKind, Priority: scheduler.PriorityUrgent, MaxFailures: 1, Deadline: int64(pollJobTimeout / tick)}
	_, err := e.pool.Add(job, func(ctx context.Context, allowance *scheduler.Allowance) error {
		outcome, retryAfter, err := e.pollPeer(ctx, peer, allowance)
		began := time.Now()
		e.handlePollEnd(peer.Name, outcome, retryAfter, err)
		_ = allowance.Spend(ctx, 0, time.Since(began)) // charges the time for combining reports to the poll's budget, though the poll has ended
		return nil
	})
	if err != nil {
		e.loop.group.Go(func() error { e.handlePollEnd(peer.Name, peerreport.OutcomeFailed, 0, err); return nil }) // in a goroutine of its own: it locks mu, which the caller of startPoll holds
	}
}

// pollPeer fetches one peer's report.
func (e *peerExchange) pollPeer(ctx context.Context, peer PeerAddress, allowance *scheduler.Allowance) (peerreport.Outcome, time.Duration, error) {
	polledAt := e.loop.clockTicks()
	client := peerprotocol.Client{
		PeerName: peer.Name, Addr: peer.Addr, LocalName: e.options.Name, InstanceID: e.instanceID, Dial: e.loop.Dial, Credentials: e.options.Keys,
		OnHeader: func(header peerreport.ReportHeader) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.reports.BeginReport(polledAt, header)
		},
		OnObservations: func(observations []peerreport.Observation) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.reports.AddObservations(peer.Name, observations)
		},
		SpendBudget: allowance.Spend,
	}
	return client.FetchReport(ctx)
}

// handlePollEnd records how a poll ended and, if it brought a complete report, imports it.
func (e *peerExchange) handlePollEnd(name string, outcome peerreport.Outcome, retryAfter time.Duration, err error) {
	e.mu.Lock()
	if outcome == peerreport.OutcomeReceived {
		e.reports.CompleteReport(name)
	} else {
		e.reports.AbortReport(name)
	}
	e.poller.RecordOutcome(e.loop.clockTicks(), name, outcome, int64(retryAfter/tick))
	e.mu.Unlock()
	select {
	case e.wakePoller <- struct{}{}:
	default:
	}
	switch {
	case e.loop.ctx.Err() != nil:
	case outcome == peerreport.OutcomeReceived:
		hosts := e.importReports()
		e.loop.log.Info("observations_imported", "peer", name, "hosts", hosts)
	case outcome == peerreport.OutcomeDeferred:
		e.loop.log.warnLimited("peer_later", "peer_later", "peer", name, "wait", retryAfter)
	default:
		e.loop.log.warnLimited("peer "+outcome.String(), "peer_failed", "peer", name, "how", outcome, "error", err)
	}
}
