// Package replication keeps the instances' copies of a ledger alike. A Book is its face for any goroutine. Fresh changes go to a
// few others at once, and each that learns one hands it on; beside that each instance compares its copy with another's
// every second, by digests, and takes and gives what differs. Changes are kept by a store where there is one. All of this
// is background work within budgets of package scheduler. docs/ledger.md tells the rules and figures.
package replication

import (
	"context"
	"errors"
	"log/slog"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
)

const (
	Topic                  = 2       // of the messages, among those of the network
	StoreBucket            = "share" // of the store
	DefaultBytesPerSecond  = 2 << 20 // a second for questions and what they bring, for answers, and for fresh changes each
	second                 = 10_000  // in tenths of a millisecond
	maxChainedExchanges    = 8       // exchanges one after another while they bring something: a healed fleet is alike sooner
	responseTimeout        = 2 * time.Second
	sendTimeout            = 2 * time.Second
	maxRequestAttempts     = 2                      // questions without an answer after which an exchange is left for a later round
	maxExchangeAge         = 10 * time.Minute       // age at which an exchange that was cut is begun anew
	updateFanout           = 3                      // others that a fresh change goes to from each that learns it
	updateInterval         = 200 * time.Millisecond // between two times of telling fresh changes; the first goes at once
	maxPendingUpdates      = 512                    // names told at once to others; what is written in bulk is left to the exchanges
	persistInterval        = 20 * time.Millisecond  // changes gathered for one transaction
	minPersistBackoff      = 200 * time.Millisecond // first wait after a store that failed, doubled up to
	maxPersistBackoff      = 10 * time.Second
	storageTimeout         = 10 * time.Second           // for a disk; what it kept is taken in when it comes
	maxTransactionBytes    = 32 << 20                   // of one transaction: the store holds it in memory
	collectIntervals       = 2                          // exchanges' times between two looks for what all have seen
	rowIntervals           = 2                          // likewise between two rows of this instance, and
	rowFew                 = 10                         // instances, and for each more of them
	rowMore                = second / 10                // more between two looks and rows: each looks at what each says of each
	tombstoneHighWatermark = crdt.MaxTombstones * 3 / 4 // tombstones from which on those that are not there are not waited for
	AbsenceTimeout         = 24 * time.Hour             // an instance not heard for so long is not waited for by deletes
	ForgetTimeout          = 7 * 24 * time.Hour         // one that is not listed and not heard for so long is forgotten
	minIncarnationInterval = 10 * second                // guards against two processes of one name that strike each other again and again
	logInterval            = 30 * second                // between two log lines of one kind and instance
	maxConcurrentResponses = 4                          // answers made at once
)

// Transport hands messages to other instances; package gossip is one.
type Transport interface {
	Send(ctx context.Context, to string, topic byte, body []byte) error
	Handle(topic byte, f func(from string, body []byte))
}

// Storage keeps entries; package store is one. Put returns once they are on disk.
type Storage interface {
	Put(ctx context.Context, bucket string, puts map[string][]byte, deletes []string) error
	Load(bucket string, f func(key string, value []byte) error) error
}

// Options are how a Book is run.
type Options struct {
	InstanceName     string
	Incarnation      uint64 // another with each start, best the time in ns
	Transport        Transport
	Peers            func() (alive, listed []string)                     // others that can be sent to now, and all that count, alive or not
	OpenStorage      func(ctx context.Context) (disk Storage, err error) // waits until it is open; nil where there is none
	Logger           *slog.Logger
	Seed             int64
	ExchangeInterval time.Duration // between two exchanges, 0 for a second
}

// Replicator is the copy of one instance. Its calls are safe from any goroutine; none waits for another instance or a disk but Kept.
type Replicator struct {
	options   Options
	pool      *scheduler.Pool
	startedAt time.Time
	ready     chan struct{}
	readyOnce sync.Once     // of ready
	restored  chan struct{} // closed once the disk is there and read, or is known not to be
	stopped   chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc

	mu                 sync.Mutex
	state              *crdt.Map
	rng                *rand.Rand
	storage            Storage
	watchers           map[*watcher]bool
	pendingUpdates     []string
	isPendingUpdate    map[string]bool
	updateSignal       chan struct{}
	dirty              map[string]bool
	persistedKnown     crdt.Version // that is on disk
	persistSignal      chan struct{}
	changeCount        uint64 // so far
	persistedCount     uint64 // of them those on disk
	persistError       error
	persistAttempted   chan struct{} // closed and made anew as kept changes
	lastExchangeID     uint64
	openExchanges      map[string]*openExchange
	responseWaiters    map[uint64]chan crdt.ExchangeResponse
	metPeers           map[string]bool  // alive at the last look
	lastAliveAt        map[string]int64 // when each instance was last alive
	incarnationBegunAt int64
	lastCollectAt      int64
	lastRowAt          int64
	lastRowKnown       crdt.Version
	lastLoggedAt       map[string]int64
	stats              Stats
}

// Stats are counts so far.
type Stats struct {
	LiveEntries, Tombstones, StoredBytes int    // names with a value, names remembered without one, bytes of them
	ExchangeBytesSent, UpdateBytesSent   uint64 // bytes
}

type openExchange struct {
	exchange  *crdt.Exchange
	startedAt time.Time
}

type watcher struct {
	prefix string
	signal chan struct{}
}

// Start begins to share. It ends with ctx or Close.
func Start(ctx context.Context, o Options) *Replicator {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.ExchangeInterval <= 0 {
		o.ExchangeInterval = time.Second
	}
	b := &Replicator{
		options: o, state: crdt.NewMap(crdt.FormatActor(o.InstanceName, max(1, o.Incarnation))), rng: rand.New(rand.NewSource(o.Seed)), startedAt: time.Now(),
		ready: make(chan struct{}), restored: make(chan struct{}), stopped: make(chan struct{}), watchers: map[*watcher]bool{}, isPendingUpdate: map[string]bool{}, dirty: map[string]bool{},
		updateSignal: make(chan struct{}, 1), persistSignal: make(chan struct{}, 1), persistAttempted: make(chan struct{}),
		openExchanges: map[string]*openExchange{}, responseWaiters: map[uint64]chan crdt.ExchangeResponse{}, metPeers: map[string]bool{}, lastAliveAt: map[string]int64{},
		lastLoggedAt: map[string]int64{}, incarnationBegunAt: -minIncarnationInterval, lastRowAt: -second << 8,
	}
	b.lastExchangeID = b.rng.Uint64() >> 1
	b.ctx, b.cancel = context.WithCancel(ctx)
	plan := scheduler.NewSchedule(rand.New(rand.NewSource(o.Seed+1)), map[string]scheduler.Budget{
		"exchange": {BytesPerSecond: DefaultBytesPerSecond}, "answer": {MaxConcurrent: maxConcurrentResponses, BytesPerSecond: DefaultBytesPerSecond}, "fresh": {BytesPerSecond: DefaultBytesPerSecond},
	})
	b.pool = scheduler.NewPool(systemClock{}, plan, func(job string, err error) { b.logFailure("share_job", job, err) })
	o.Transport.Handle(Topic, b.handleMessage)
	go func() {
		defer close(b.stopped)
		_ = b.pool.Run(b.ctx)
	}()
	every := int64(o.ExchangeInterval / (100 * time.Microsecond))
	for _, j := range []struct {
		scheduler.Job
		do func(context.Context, *scheduler.Allowance) error
	}{
		{scheduler.Job{Name: "share load", Kind: "load", Priority: scheduler.PriorityUrgent}, b.restore},
		{scheduler.Job{Name: "share exchange", Kind: "exchange", Priority: scheduler.PriorityNormal, Interval: every, Jitter: every / 4}, b.runExchanges},
		{scheduler.Job{Name: "share fresh", Kind: "fresh", Priority: scheduler.PriorityUrgent}, b.sendUpdates},
		{scheduler.Job{Name: "share keep", Kind: "keep", Priority: scheduler.PriorityUrgent}, b.persistLoop},
		{scheduler.Job{Name: "share collect", Kind: "collect", Priority: scheduler.PriorityIdle, Interval: collectIntervals * every}, b.collectTombstones},
	} {
		if _, err := b.pool.Add(j.Job, j.do); err != nil {
			b.logFailure("share_job", j.Name, err)
		}
	}
	return b
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (b *Replicator) elapsed() int64 {
	return int64(time.Since(b.startedAt) / (100 * time.Microsecond))
}

// logFailure writes a log line, but not again and again.
func (b *Replicator) logFailure(line, who string, err error) {
	b.mu.Lock()
	now := b.elapsed()
	at, ok := b.lastLoggedAt[line+who]
	quiet := ok && now-at < logInterval
	if !quiet {
		if len(b.lastLoggedAt) > 1024 {
			clear(b.lastLoggedAt)
		}
		b.lastLoggedAt[line+who] = now
	}
	b.mu.Unlock()
	if !quiet {
		b.options.Logger.Warn(line, advice.LogAttrs(err, "with", who)...)
	}
}

// Close writes what is not yet on disk, as long as ctx lasts, and ends.
func (b *Replicator) Close(ctx context.Context) error {
	err := b.WaitPersisted(ctx)
	b.cancel()
	<-b.stopped
	return err
}

// Ready is closed once what a store kept is there, or is known not to be, or has not come in ten seconds: a disk that hangs
// must not keep an instance from the others. What is put before has not seen it.
func (b *Replicator) Ready() <-chan struct{} { return b.ready }

// Put writes a value; it supersedes every sibling that is held here.
func (b *Replicator) Put(name string, value []byte) (crdt.Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, err := b.state.Put(name, value)
	if err == nil {
		b.recordOwnChange(name)
	}
	return e, err
}

// Delete deletes every sibling that is held here.
func (b *Replicator) Delete(name string) (crdt.Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, err := b.state.Delete(name)
	if err == nil {
		b.recordOwnChange(name)
	}
	return e, err
}

// Get is the state of a name and whether it has a live value. Its values must not be changed.
func (b *Replicator) Get(name string) (crdt.Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Get(name)
}

// ScanPrefix tells names with a live value that begin with prefix, in order, until f says no. f must be quick, since all else
// waits for it, and must not call the Book.
func (b *Replicator) ScanPrefix(prefix string, f func(crdt.Entry) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.ScanPrefix(prefix, f)
}

// Actor names this life in the dots of its changes.
func (b *Replicator) Actor() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Actor()
}

// Digest stands for all that is held: two instances with the same one hold the same.
func (b *Replicator) Digest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Digest(crdt.TreeNode{})
}

// Stats are the counts so far.
func (b *Replicator) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.LiveEntries, s.Tombstones, s.StoredBytes = b.state.Counts()
	return s
}

// Watch tells that something under prefix may have changed, by one value however often it did; it begins with one. The
// call given back ends it.
func (b *Replicator) Watch(prefix string) (<-chan struct{}, func()) {
	w := &watcher{prefix, make(chan struct{}, 1)}
	w.signal <- struct{}{}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers[w] = true
	return w.signal, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.watchers, w)
	}
}

// WaitPersisted waits until all changes so far are on disk. Without a store nothing is waited for.
func (b *Replicator) WaitPersisted(ctx context.Context) error {
	select {
	case <-b.restored:
	case <-ctx.Done():
		return &NotPersistedError{ctx.Err()}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for want := b.changeCount; b.storage != nil && b.persistedCount < want; {
		told, err := b.persistAttempted, b.persistError
		b.mu.Unlock()
		select {
		case <-told:
			err = nil
		case <-ctx.Done():
			err = errors.Join(ctx.Err(), err)
		case <-b.ctx.Done():
			err = b.ctx.Err()
		}
		if b.mu.Lock(); err != nil {
			return &NotPersistedError{err}
		}
	}
	return nil
}

// recordOwnChange notes an recordOwnChange change; the lock is held.
func (b *Replicator) recordOwnChange(name string) {
	b.recordChanges([]string{name})
	b.queueUpdates([]string{name})
}

// recordChanges notes changed names for disk and watches; the lock is held.
func (b *Replicator) recordChanges(names []string) {
	if len(names) == 0 {
		return
	}
	b.changeCount += uint64(len(names))
	for _, n := range names {
		b.dirty[n] = true
	}
	notify(b.persistSignal)
	for w := range b.watchers {
		if slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, w.prefix) }) {
			notify(w.signal)
		}
	}
}

// queueUpdates has fresh changes told to a few others; the lock is held.
func (b *Replicator) queueUpdates(names []string) {
	for _, n := range names {
		if !b.isPendingUpdate[n] && len(b.pendingUpdates) < maxPendingUpdates {
			b.isPendingUpdate[n] = true
			b.pendingUpdates = append(b.pendingUpdates, n)
		}
	}
	notify(b.updateSignal)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// shuffledPeers are some others that can be sent to, in an order by chance.
func (b *Replicator) shuffledPeers() (alive, listed []string) {
	alive, listed = b.options.Peers()
	alive = slices.DeleteFunc(slices.Clone(alive), func(n string) bool { return n == b.options.InstanceName })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive, listed
}

// Kinds of messages: the first byte of a body.
const (
	kindRequest byte = 1 + iota
	kindResponse
	kindUpdate // handed on by those to whom it is new
	kindRepair
)

type stateMessage struct {
	_     struct{} `cbor:",toarray"`
	Actor string
	Batch crdt.Batch
}

func encodeMessage(kind byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	return append([]byte{kind}, body...), err
}

func (b *Replicator) sendMessage(ctx context.Context, a *scheduler.Allowance, to string, kind byte, v any) (int, error) {
	body, err := encodeMessage(kind, v)
	if err != nil {
		return 0, err
	}
	if err := a.Spend(ctx, len(body), 0); err != nil {
		return 0, err
	}
	ctx, stop := context.WithTimeout(ctx, sendTimeout)
	defer stop()
	return len(body), b.options.Transport.Send(ctx, to, Topic, body)
}

// handleMessage takes a message. It does not wait.
func (b *Replicator) handleMessage(from string, body []byte) {
	if !b.isReady() {
		return // what the store kept comes first: until then this copy knows less than it told before
	}
	if len(body) == 0 {
		return
	}
	var err error
	switch body[0] {
	case kindRequest:
		var q crdt.ExchangeRequest
		if err = cbor.Unmarshal(body[1:], &q); err == nil && crdt.ActorName(q.Actor) == from {
			_, err = b.pool.Add(scheduler.Job{Name: "share answer", Kind: "answer", Priority: scheduler.PriorityNormal, Deadline: second, MaxFailures: 1},
				func(ctx context.Context, a *scheduler.Allowance) error { return b.respond(ctx, a, from, q) })
			if err != nil {
				return // it asks again
			}
		}
	case kindResponse:
		var a crdt.ExchangeResponse
		if err = cbor.Unmarshal(body[1:], &a); err == nil {
			b.mu.Lock()
			c := b.responseWaiters[a.ExchangeID]
			b.mu.Unlock()
			select {
			case c <- a:
			default:
			}
		}
	case kindUpdate, kindRepair:
		var p stateMessage
		if err = cbor.Unmarshal(body[1:], &p); err == nil && crdt.ActorName(p.Actor) == from {
			err = b.applyStates(from, p, body[0] == kindUpdate)
		}
	default:
		err = errors.New("a kind that there is not")
	}
	if err != nil {
		b.logFailure("share_message", from, &InvalidMessageError{from, err})
	}
}

func (b *Replicator) applyStates(from string, p stateMessage, fresh bool) error {
	b.mu.Lock()
	changed, err := b.state.MergeBatch(p.Actor, p.Batch)
	b.recordChanges(changed)
	if fresh && len(changed) > 0 {
		b.queueUpdates(changed)
	}
	b.mu.Unlock()
	if b.handleSuperseded(err) {
		return nil
	}
	return err
}

// handleSuperseded goes on as a new life where others take this one as over.
func (b *Replicator) handleSuperseded(err error) bool {
	var s *crdt.SupersededError
	if !errors.As(err, &s) {
		return false
	}
	b.mu.Lock()
	now := b.elapsed()
	did := now-b.incarnationBegunAt >= minIncarnationInterval
	var kept []crdt.Entry
	if did {
		b.incarnationBegunAt = now
		peer := s.From
		if crdt.ActorIncarnation(peer) > 0 {
			peer = crdt.ActorName(peer)
		}
		life := max(s.EndedBefore, crdt.ActorIncarnation(b.state.Actor())) + 1
		kept = b.state.BeginIncarnation(life, peer)
		clear(b.openExchanges)
		for _, e := range kept {
			b.recordOwnChange(e.Name)
		}
	}
	b.mu.Unlock()
	if did {
		b.options.Logger.Warn("share_struck", advice.LogAttrs(s, "kept", len(kept))...)
	}
	return true
}

func (b *Replicator) respond(ctx context.Context, a *scheduler.Allowance, from string, q crdt.ExchangeRequest) error {
	b.mu.Lock()
	out, err := b.state.HandleRequest(from, q)
	b.mu.Unlock()
	if err != nil {
		b.logFailure("share_message", from, err)
		return nil
	}
	n, err := b.sendMessage(ctx, a, from, kindResponse, out)
	if b.countExchangeBytes(n); err != nil && ctx.Err() == nil {
		b.logFailure("share_exchange", from, &ExchangeInterruptedError{from, err})
	}
	return nil
}

// runExchanges is an exchange with another, and with more while they bring something.
func (b *Replicator) runExchanges(ctx context.Context, a *scheduler.Allowance) error {
	if !b.isReady() {
		return nil
	}
	for range maxChainedExchanges {
		peer := b.choosePeer()
		if peer == "" {
			return nil
		}
		more, err := b.exchangeWith(ctx, a, peer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !b.handleSuperseded(err) {
			b.logFailure("share_exchange", peer, err)
		}
		if err != nil || !more {
			return nil
		}
	}
	return nil
}

func (b *Replicator) isReady() bool {
	select {
	case <-b.ready:
		return true
	default:
		return false
	}
}

// choosePeer names whom to exchange with: one that is newly there, one with whom an exchange was cut, or any.
func (b *Replicator) choosePeer() string {
	alive, _ := b.shuffledPeers()
	b.mu.Lock()
	defer b.mu.Unlock()
	there := map[string]bool{}
	for _, n := range alive {
		there[n] = true
	}
	for n := range b.metPeers {
		if !there[n] {
			delete(b.metPeers, n)
		}
	}
	if len(alive) == 0 {
		return ""
	}
	for _, n := range alive {
		if !b.metPeers[n] {
			b.metPeers[n] = true
			return n
		}
	}
	if b.rng.Intn(2) == 0 {
		for _, n := range alive {
			if b.openExchanges[n] != nil {
				return n
			}
		}
	}
	return alive[0]
}

// exchangeWith asks one instance until nothing is left to ask, or it does not answer. It tells whether something differed.
func (b *Replicator) exchangeWith(ctx context.Context, a *scheduler.Allowance, peer string) (more bool, err error) {
	b.mu.Lock()
	r := b.openExchanges[peer]
	if r == nil || r.exchange.IsDone() || time.Since(r.startedAt) > maxExchangeAge {
		b.lastExchangeID++
		r = &openExchange{b.state.NewExchange(peer, b.lastExchangeID), time.Now()}
		b.openExchanges[peer] = r
	}
	x := r.exchange
	answers := make(chan crdt.ExchangeResponse, 1)
	b.responseWaiters[x.ID()] = answers
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.responseWaiters, x.ID())
		b.mu.Unlock()
	}()
	tries := 0
	for {
		b.mu.Lock()
		x.RetryRequest()
		q, ok := x.NextRequest()
		b.mu.Unlock()
		if !ok {
			break
		}
		n, err := b.sendMessage(ctx, a, peer, kindRequest, q)
		b.countExchangeBytes(n)
		var out crdt.ExchangeResponse
		if err == nil {
			out, err = awaitResponse(ctx, answers, q)
		}
		if err != nil {
			if tries++; tries < maxRequestAttempts && ctx.Err() == nil {
				continue
			}
			return false, &ExchangeInterruptedError{peer, err}
		}
		tries = 0
		if err := b.applyResponse(ctx, a, x, out); err != nil {
			return false, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openExchanges[peer] == r {
		delete(b.openExchanges, peer)
	}
	if x.IsComplete() {
		notify(b.persistSignal) // the Known has grown
	}
	return x.DifferingBuckets > 0, nil
}

var errResponseTimeout = errors.New("no answer in time")

func awaitResponse(ctx context.Context, answers <-chan crdt.ExchangeResponse, q crdt.ExchangeRequest) (crdt.ExchangeResponse, error) {
	late := time.NewTimer(responseTimeout)
	defer late.Stop()
	for {
		select {
		case out := <-answers:
			if out.RequestSeq == q.RequestSeq {
				return out, nil
			}
		case <-late.C:
			return crdt.ExchangeResponse{}, errResponseTimeout
		case <-ctx.Done():
			return crdt.ExchangeResponse{}, ctx.Err()
		}
	}
}

func (b *Replicator) countExchangeBytes(n int) {
	b.mu.Lock()
	b.stats.ExchangeBytesSent += uint64(n)
	b.mu.Unlock()
}

// applyResponse takes an answer in and sends what the other lacks.
func (b *Replicator) applyResponse(ctx context.Context, a *scheduler.Allowance, x *crdt.Exchange, out crdt.ExchangeResponse) error {
	b.mu.Lock()
	away := x.MissedDeletes
	changed, lacks, err := x.ApplyResponse(out)
	b.recordChanges(changed)
	batches := b.state.BuildBatches(true, lacks)
	actor := b.state.Actor()
	if err != nil && !x.IsDone() {
		if errors.Is(err, crdt.ErrPeerRestarted) || !x.HasStarted() {
			delete(b.openExchanges, x.Peer())
		}
	}
	b.mu.Unlock()
	if x.MissedDeletes && !away {
		b.options.Logger.Warn("share_away", advice.LogAttrs(&LongAbsenceError{x.Peer(), x.UnsyncedNames})...)
	}
	if errors.Is(err, crdt.ErrPeerRestarted) {
		return &ExchangeInterruptedError{x.Peer(), err}
	}
	if advice.HasType[*crdt.SupersededError](err) {
		return err
	}
	if err != nil {
		b.logFailure("share_refused", x.Peer(), err)
	}
	for _, batch := range batches {
		n, err := b.sendMessage(ctx, a, x.Peer(), kindRepair, stateMessage{Actor: actor, Batch: batch})
		if b.countExchangeBytes(n); err != nil {
			return &ExchangeInterruptedError{x.Peer(), err}
		}
	}
	return nil
}

// sendUpdates tells fresh changes to a few others, until ctx ends.
func (b *Replicator) sendUpdates(ctx context.Context, a *scheduler.Allowance) error {
	select {
	case <-b.ready:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		select {
		case <-b.updateSignal:
		case <-ctx.Done():
			return nil
		}
		to, _ := b.shuffledPeers()
		to = to[:min(len(to), updateFanout)]
		b.mu.Lock()
		names := b.pendingUpdates
		b.pendingUpdates = nil
		clear(b.isPendingUpdate)
		batches := b.state.BuildBatches(false, names)
		actor := b.state.Actor()
		b.mu.Unlock()
		for _, batch := range batches {
			for _, n := range to {
				bytes, err := b.sendMessage(ctx, a, n, kindUpdate, stateMessage{Actor: actor, Batch: batch})
				b.mu.Lock()
				b.stats.UpdateBytesSent += uint64(bytes)
				b.mu.Unlock()
				if err != nil && ctx.Err() == nil {
					b.logFailure("share_fresh", n, &ExchangeInterruptedError{n, err}) // the exchanges bring it
				}
			}
		}
		select {
		case <-time.After(updateInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// collectTombstones forgets deletes that all have seen, and tells how far this copy reaches.
func (b *Replicator) collectTombstones(ctx context.Context, _ *scheduler.Allowance) error {
	if !b.isReady() {
		return nil
	}
	alive, listed := b.shuffledPeers()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.elapsed()
	for _, n := range listed {
		if _, ok := b.lastAliveAt[n]; !ok {
			b.lastAliveAt[n] = now
		}
	}
	for _, n := range alive {
		b.lastAliveAt[n] = now
	}
	_, dead, _ := b.state.Counts()
	if more := rowMore * int64(max(0, len(b.lastAliveAt)-rowFew)); now-b.lastCollectAt < more && dead < tombstoneHighWatermark {
		return nil
	}
	b.lastCollectAt = now
	var all, away []string
	for n, at := range b.lastAliveAt {
		gone := time.Duration(now-at) * 100 * time.Microsecond
		if gone > ForgetTimeout && !slices.Contains(listed, n) {
			delete(b.lastAliveAt, n)
			b.state.ForgetInstance(n)
			continue
		}
		if all = append(all, n); gone > AbsenceTimeout || dead >= tombstoneHighWatermark && gone > 0 {
			away = append(away, n)
		}
	}
	b.state.SetMembers(all, away)
	dropped := b.state.CollectTombstones()
	b.recordChanges(dropped)
	if dead >= tombstoneHighWatermark && len(away) > 0 && len(dropped) > 0 {
		b.options.Logger.Warn("share_tombstones", "held", dead, "forgotten", len(dropped), "away", away)
	}
	select {
	case <-b.restored:
	default:
		return nil // a row says that all of earlier lives is told: the disk may hold more of them
	}
	if !slices.Equal(b.state.KnownVersion(), b.lastRowKnown) && now-b.lastRowAt >= rowIntervals*int64(b.options.ExchangeInterval/(100*time.Microsecond)) {
		r := b.state.NextRow()
		b.lastRowAt, b.lastRowKnown = now, r.Known
	}
	return nil
}
