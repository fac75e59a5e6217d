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

	"chalkring/coordinator/plan"

	"github.com/cespare/xxhash/v2"

	"chalkring/cluster/peerprotocol"
	"chalkring/cluster/peerreport"
	"chalkring/internal/scheduler"
)

const (
	lookEach  = 100 * time.Millisecond // between looks at the owner's load: several within the plan's memory of it
	askJob    = 12 * time.Second       // for an asking to start and end: a little over the peer's own bound
	askKind   = "ask"
	askPrefix = "ask "
	replyKind = "answer"
)

// PeerOptions is what an installation allows beside the plan: co-ordinators that learn from one another. Without it
// none of this file runs.
type PeerOptions struct {
	Name, Location  string
	Listener        net.Listener // where others ask; nil answers nobody
	PollTargets     []PeerAddress
	AllowedPeers    []string
	Keys            *peerprotocol.Credentials // nil for plain TCP
	RefreshInterval time.Duration
	Budgets         map[string]scheduler.Budget
}

// PeerAddress is a peer and where it listens.
type PeerAddress struct{ Name, Addr string }

// learner is the co-ordinator's side towards its peers. The owner never waits for it: it takes slices of knowledge
// from the owner and gives slices of what was heard through the owner's queue, one at a time, each small.
type learner struct {
	o        *owner
	p        *PeerOptions
	pool     *scheduler.Pool
	instance uint64
	zones    []string
	stir     chan struct{} // the asker has to be looked at

	mu     sync.Mutex
	shelf  *peerreport.ReportStore
	asker  *peerreport.Poller
	desk   *peerreport.Admission
	since  map[string]int64 // start of each listed host in ms
	addrs  map[string]string
	taking sync.Mutex // one snapshot at a time, which all askers share
	taken  *peerreport.ReportBuilder
	serial uint64
	load   float64

	version atomic.Int64 // of the list in force
	feeding sync.Mutex   // one hand-over to the module at a time
}

func newLearner(o *owner, p *PeerOptions) *learner {
	now, name := o.clock(), o.plan.Name
	if p.Name == "" {
		p.Name = name
	}
	l := &learner{
		o: o, p: p, zones: o.plan.List("FailureDomains"), stir: make(chan struct{}, 1), desk: peerreport.NewAdmission(),
		since: map[string]int64{}, addrs: map[string]string{},
	}
	l.instance = xxhash.Sum64String(fmt.Sprint(name, o.plan.Seed, o.Listener.Addr(), o.start.UnixNano()))
	l.shelf = peerreport.NewReportStore(p.Location, l.zones)
	var names []string
	for _, at := range p.PollTargets {
		names = append(names, at.Name)
	}
	l.asker = peerreport.NewPoller(rand.New(rand.NewSource(o.plan.Seed+1)), now, int64(p.RefreshInterval/tenth), names)
	plan := scheduler.NewSchedule(rand.New(rand.NewSource(o.plan.Seed+2)), p.Budgets)
	l.pool = scheduler.NewPool(o.Clock, plan, func(job string, err error) {
		o.log.often("job", "job_given_up", "job", job, "error", err)
		if name, asking := strings.CutPrefix(job, askPrefix); asking {
			o.g.Go(func() error { l.ended(name, peerreport.OutcomeFailed, 0, err); return nil }) // the pool must not be held up
		}
	})
	return l
}

// run starts what this side does, in the owner's errgroup.
func (l *learner) run() {
	o := l.o
	o.g.Go(func() error { return l.pool.Run(o.ctx) })
	o.g.Go(l.ask)
	o.g.Go(l.look)
	if l.p.Listener == nil {
		return
	}
	s := &peerprotocol.Server{
		Name: l.p.Name, InstanceID: l.instance, AllowedNames: l.p.AllowedPeers, Credentials: l.p.Keys, Admit: l.admit,
		Release: l.done, BuildReport: l.report, BuildStatus: l.status, SpendBudget: l.reply,
		OnRejected: func(addr, why string) { o.log.often("peer_refused", "peer_refused", "client", addr, "why", why) },
	}
	o.log.Info("peers", "listen", l.p.Listener.Addr().String(), "name", l.p.Name, "asks", len(l.p.PollTargets))
	o.g.Go(func() error { return s.Serve(o.ctx, l.p.Listener) })
}

// look takes the owner's load, by which background work waits and askers are put off. A wake that comes late tells of
// a machine that is full beside the owner.
func (l *learner) look() error {
	before, busy := time.Now(), l.o.busy.Load()
	for {
		select {
		case <-l.o.Clock.After(lookEach):
		case <-l.o.ctx.Done():
			return nil
		}
		now, turned := time.Now(), l.o.busy.Load()
		share := float64(turned-busy) / float64(max(1, now.Sub(before)))
		late := float64(now.Sub(before)-lookEach) / float64(now.Sub(before))
		before, busy = now, turned
		share = min(1, max(share, late, float64(len(l.o.queue))/queueRoom))
		l.pool.RecordLoad(share)
		l.mu.Lock()
		l.load = share
		l.desk.SetLoad(share)
		l.shelf.ExpireReports(l.o.clock())
		l.mu.Unlock()
	}
}

// ask hands askings that are due to the pool.
func (l *learner) ask() error {
	for {
		l.mu.Lock()
		now := l.o.clock()
		for _, name := range l.asker.DuePeers(now) {
			l.start(name)
		}
		next := l.asker.NextPollAt(now)
		l.mu.Unlock()
		var wake <-chan time.Time
		if next > 0 {
			wake = l.o.Clock.After(time.Duration(max(1, next-now)) * tenth)
		}
		select {
		case <-wake:
		case <-l.stir:
		case <-l.o.ctx.Done():
			return nil
		}
	}
}

// start makes a job of asking one peer.
func (l *learner) start(name string) {
	i := slices.IndexFunc(l.p.PollTargets, func(at PeerAddress) bool { return at.Name == name })
	at := l.p.PollTargets[i]
	job := scheduler.Job{Name: askPrefix + name, Kind: askKind, Priority: scheduler.PriorityUrgent, MaxFailures: 1, Deadline: int64(askJob / tenth)}
	_, err := l.pool.Add(job, func(ctx context.Context, a *scheduler.Allowance) error {
		how, later, err := l.askOne(ctx, at, a)
		began := time.Now()
		l.ended(at.Name, how, later, err)
		a.Spend(ctx, 0, time.Since(began)) // putting reports together is of the asking's budget too
		return nil
	})
	if err != nil {
		l.o.g.Go(func() error { l.ended(at.Name, peerreport.OutcomeFailed, 0, err); return nil }) // start is called with the lock
	}
}

func (l *learner) askOne(ctx context.Context, at PeerAddress, a *scheduler.Allowance) (peerreport.Outcome, time.Duration, error) {
	asked := l.o.clock()
	asking := peerprotocol.Client{
		PeerName: at.Name, Addr: at.Addr, LocalName: l.p.Name, InstanceID: l.instance, Dial: l.o.Dial, Credentials: l.p.Keys,
		OnHeader: func(h peerreport.ReportHeader) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.shelf.BeginReport(asked, h)
		},
		OnObservations: func(notes []peerreport.Observation) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.shelf.AddObservations(at.Name, notes)
		},
		SpendBudget: a.Spend,
	}
	return asking.FetchReport(ctx)
}

// ended takes in how an asking ended; a whole report goes to the module.
func (l *learner) ended(name string, how peerreport.Outcome, later time.Duration, err error) {
	l.mu.Lock()
	if how == peerreport.OutcomeReceived {
		l.shelf.CompleteReport(name)
	} else {
		l.shelf.AbortReport(name)
	}
	l.asker.RecordOutcome(l.o.clock(), name, how, int64(later/tenth))
	l.mu.Unlock()
	select {
	case l.stir <- struct{}{}:
	default:
	}
	switch {
	case l.o.ctx.Err() != nil:
	case how == peerreport.OutcomeReceived:
		hosts := l.feed()
		l.o.log.Info("learned", "peer", name, "hosts", hosts)
	case how == peerreport.OutcomeDeferred:
		l.o.log.often("peer_later", "peer_later", "peer", name, "wait", later)
	default:
		l.o.log.often("peer "+how.String(), "peer_failed", "peer", name, "how", how, "error", err)
	}
}

// feed puts together what all reports say now and hands it to the module, slice by slice.
func (l *learner) feed() (hosts int) {
	l.feeding.Lock()
	defer l.feeding.Unlock()
	l.mu.Lock()
	heard := l.shelf.Combine(l.o.clock(), func(host string) (int64, bool) {
		ms, listed := l.since[host]
		return ms, listed
	})
	l.mu.Unlock()
	for part := range slices.Chunk(heard, peerreport.MaxChunkObservations) {
		if l.turn(func() {
			for _, h := range part {
				l.o.module.ImportObservation(h)
			}
		}) != nil {
			break
		}
	}
	return len(heard)
}

// turn has the owner do something in one of its turns and returns once that is done.
func (l *learner) turn(do func()) error {
	done := make(chan struct{})
	if !l.o.post(func() { do(); close(done) }) {
		return closing
	}
	select {
	case <-done:
		return nil
	case <-l.o.ctx.Done():
		return closing
	}
}

// listed takes in a list or changes of it, before the module hears of them or after; nothing waits for it but the
// list's own goroutine. What was heard of a host that has changed its address or left is of another machine.
func (l *learner) listed(full bool, version int64, hosts []plan.ListedHost) {
	l.mu.Lock()
	now, moved := l.o.clock(), false
	present := map[string]bool{}
	move := func(id string) {
		l.shelf.InvalidateHost(now, id)
		moved = true
	}
	for _, h := range hosts {
		old, known := l.addrs[h.ID]
		if present[h.ID] = !h.Removed; h.Removed {
			delete(l.since, h.ID)
			if delete(l.addrs, h.ID); known {
				move(h.ID)
			}
			continue
		}
		if known && old != h.Addr {
			move(h.ID)
		}
		moved = moved || !known || l.since[h.ID] != h.StartedMS
		l.since[h.ID], l.addrs[h.ID] = h.StartedMS, h.Addr
	}
	if full {
		for id := range l.since {
			if !present[id] {
				delete(l.since, id)
				delete(l.addrs, id)
				move(id)
			}
		}
	}
	feed := moved && l.shelf.ReportCount() > 0
	l.mu.Unlock()
	l.version.Store(version)
	if feed {
		l.o.g.Go(func() error { l.feed(); return nil })
	}
}

// admit, done, report, status and reply are what the peers' server is given.

func (l *learner) admit(name string) (ok bool, later time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, wait := l.desk.Admit(l.o.clock(), name)
	return ok, time.Duration(wait) * tenth
}

func (l *learner) done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.desk.Release()
}

// report gives the newest snapshot, or takes one. Askers that come meanwhile wait for it and share it.
func (l *learner) report(ctx context.Context) (peerreport.ReportHeader, []peerreport.Observation, error) {
	l.taking.Lock()
	defer l.taking.Unlock()
	l.mu.Lock()
	fresh := l.taken != nil && l.desk.IsSnapshotFresh(l.o.clock())
	l.mu.Unlock()
	if !fresh {
		if err := l.take(ctx); err != nil {
			return peerreport.ReportHeader{}, nil, err
		}
	}
	return l.taken.HeaderAt(l.o.clock()), l.taken.Observations, nil
}

// take makes a snapshot, SliceMost hosts a turn.
func (l *learner) take(ctx context.Context) error {
	l.serial++
	for {
		t := peerreport.NewReportBuilder(l.o.clock(), l.p.Name, l.p.Location, l.serial, l.version.Load(), l.zones)
		for from := 0; ; {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err := l.turn(func() { from = l.o.module.ExportObservations(from, peerreport.MaxChunkObservations, t.AddBelief) }); err != nil {
				return err
			}
			if from == 0 {
				break
			}
		}
		l.mu.Lock()
		again := t.ListChanged(l.version.Load()) && l.desk.AllowSnapshotRetake()
		if !again {
			l.desk.RecordSnapshot(l.o.clock() - t.AgeAt(l.o.clock()))
		}
		l.mu.Unlock()
		if !again {
			l.taken = t
			return nil
		}
	}
}

// reply takes an answer's bytes from the budget of answers, as a job that is on its way already.
func (l *learner) reply(ctx context.Context, bytes int, cpu time.Duration) error {
	done := make(chan error, 1)
	_, err := l.pool.Add(scheduler.Job{Name: "answer", Kind: replyKind, Priority: scheduler.PriorityNormal, MaxFailures: 1},
		func(ctx context.Context, a *scheduler.Allowance) error {
			done <- a.Spend(ctx, bytes, cpu)
			return nil
		})
	if err != nil {
		return err
	}
	select {
	case err = <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *learner) status(context.Context) (peerprotocol.Status, error) {
	counts, waiting, running, load := l.pool.Counts()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.clock()
	s := peerprotocol.Status{
		Name: l.p.Name, Locality: l.p.Location, UptimeMs: uint64(l.o.Clock.Now().Sub(l.o.start).Milliseconds()),
		ListVersion: l.version.Load(), HostCount: uint32(len(l.since)), ReportsServed: uint32(l.desk.Admitted), ReportsDeferred: uint32(l.desk.Deferred),
		LoadPermille: uint16(1000 * min(1, max(load, l.load))), WaitingJobs: uint16(waiting), RunningJobs: uint16(running), HeldJobs: uint32(counts.Deferred),
	}
	for _, p := range l.asker.Statuses(now) {
		one := peerprotocol.PeerStatus{Name: p.Name, ReportCount: uint32(p.ReportCount)}
		if p.LastOutcomeAt > 0 {
			one.LastOutcome, one.LastOutcomeAgoMs = p.LastOutcome.String(), uint64((now-p.LastOutcomeAt)/10)
		}
		if p.NextPollAt > now {
			one.NextPollInMs = uint64((p.NextPollAt - now) / 10)
		}
		s.Peers = append(s.Peers, one)
	}
	return s, nil
}
