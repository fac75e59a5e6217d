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
	Topic                 = 2       // of the messages, among those of the network
	StoreBucket           = "share" // of the store
	DefaultBytesPerSecond = 2 << 20 // a second for questions and what they bring, for answers, and for fresh changes each
	second                = 10_000  // in tenths of a millisecond
	chainMost             = 8       // exchanges one after another while they bring something: a healed fleet is alike sooner
	answerWait            = 2 * time.Second
	sendWait              = 2 * time.Second
	askTries              = 2                      // questions without an answer after which an exchange is left for a later round
	openMost              = 10 * time.Minute       // age at which an exchange that was cut is begun anew
	fanOut                = 3                      // others that a fresh change goes to from each that learns it
	pushEach              = 200 * time.Millisecond // between two times of telling fresh changes; the first goes at once
	freshMost             = 512                    // names told at once to others; what is written in bulk is left to the exchanges
	keepEach              = 20 * time.Millisecond  // changes gathered for one transaction
	keepBack              = 200 * time.Millisecond // first wait after a store that failed, doubled up to
	keepBackTop           = 10 * time.Second
	diskWait              = 10 * time.Second           // for a disk; what it kept is taken in when it comes
	keepBytes             = 32 << 20                   // of one transaction: the store holds it in memory
	collectEach           = 2                          // exchanges' times between two looks for what all have seen
	rowEach               = 2                          // likewise between two rows of this instance, and
	rowFew                = 10                         // instances, and for each more of them
	rowMore               = second / 10                // more between two looks and rows: each looks at what each says of each
	deadMany              = crdt.MaxTombstones * 3 / 4 // tombstones from which on those that are not there are not waited for
	AbsenceTimeout        = 24 * time.Hour             // an instance not heard for so long is not waited for by deletes
	ForgetTimeout         = 7 * 24 * time.Hour         // one that is not listed and not heard for so long is forgotten
	renewEach             = 10 * second                // guards against two processes of one name that strike each other again and again
	complainGap           = 30 * second                // between two log lines of one kind and instance
	answersMost           = 4                          // answers made at once
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
	o     Options
	pool  *scheduler.Pool
	start time.Time
	ready chan struct{}
	begun sync.Once     // of ready
	found chan struct{} // closed once the disk is there and read, or is known not to be
	done  chan struct{}
	ctx   context.Context
	stop  context.CancelFunc

	mu       sync.Mutex
	l        *crdt.Map
	chance   *rand.Rand
	disk     Storage
	watches  map[*watch]bool
	fresh    []string
	freshIn  map[string]bool
	stirPush chan struct{}
	dirty    map[string]bool
	known    crdt.Version // that is on disk
	stirKeep chan struct{}
	changes  uint64 // so far
	kept     uint64 // of them those on disk
	keptErr  error
	keptTold chan struct{} // closed and made anew as kept changes
	run      uint64
	open     map[string]*running
	waiting  map[uint64]chan crdt.ExchangeResponse
	met      map[string]bool  // alive at the last look
	heard    map[string]int64 // when each instance was last alive
	renewed  int64
	lookAt   int64
	rowAt    int64
	rowOf    crdt.Version
	told     map[string]int64
	stats    Stats
}

// Stats are counts so far.
type Stats struct {
	LiveEntries, Tombstones, StoredBytes int    // names with a value, names remembered without one, bytes of them
	ExchangeBytesSent, UpdateBytesSent   uint64 // bytes
}

type running struct {
	x     *crdt.Exchange
	since time.Time
}

type watch struct {
	prefix string
	c      chan struct{}
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
		o: o, l: crdt.NewMap(crdt.FormatActor(o.InstanceName, max(1, o.Incarnation))), chance: rand.New(rand.NewSource(o.Seed)), start: time.Now(),
		ready: make(chan struct{}), found: make(chan struct{}), done: make(chan struct{}), watches: map[*watch]bool{}, freshIn: map[string]bool{}, dirty: map[string]bool{},
		stirPush: make(chan struct{}, 1), stirKeep: make(chan struct{}, 1), keptTold: make(chan struct{}),
		open: map[string]*running{}, waiting: map[uint64]chan crdt.ExchangeResponse{}, met: map[string]bool{}, heard: map[string]int64{},
		told: map[string]int64{}, renewed: -renewEach, rowAt: -second << 8,
	}
	b.run = b.chance.Uint64() >> 1
	b.ctx, b.stop = context.WithCancel(ctx)
	plan := scheduler.NewSchedule(rand.New(rand.NewSource(o.Seed+1)), map[string]scheduler.Budget{
		"exchange": {BytesPerSecond: DefaultBytesPerSecond}, "answer": {MaxConcurrent: answersMost, BytesPerSecond: DefaultBytesPerSecond}, "fresh": {BytesPerSecond: DefaultBytesPerSecond},
	})
	b.pool = scheduler.NewPool(clock{}, plan, func(job string, err error) { b.complain("share_job", job, err) })
	o.Transport.Handle(Topic, b.handle)
	go func() {
		defer close(b.done)
		_ = b.pool.Run(b.ctx)
	}()
	every := int64(o.ExchangeInterval / (100 * time.Microsecond))
	for _, j := range []struct {
		scheduler.Job
		do func(context.Context, *scheduler.Allowance) error
	}{
		{scheduler.Job{Name: "share load", Kind: "load", Priority: scheduler.PriorityUrgent}, b.load},
		{scheduler.Job{Name: "share exchange", Kind: "exchange", Priority: scheduler.PriorityNormal, Interval: every, Jitter: every / 4}, b.round},
		{scheduler.Job{Name: "share fresh", Kind: "fresh", Priority: scheduler.PriorityUrgent}, b.push},
		{scheduler.Job{Name: "share keep", Kind: "keep", Priority: scheduler.PriorityUrgent}, b.keep},
		{scheduler.Job{Name: "share collect", Kind: "collect", Priority: scheduler.PriorityIdle, Interval: collectEach * every}, b.collect},
	} {
		if _, err := b.pool.Add(j.Job, j.do); err != nil {
			b.complain("share_job", j.Name, err)
		}
	}
	return b
}

type clock struct{}

func (clock) Now() time.Time                         { return time.Now() }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (b *Replicator) now() int64 { return int64(time.Since(b.start) / (100 * time.Microsecond)) }

// complain writes a log line, but not again and again.
func (b *Replicator) complain(line, who string, err error) {
	b.mu.Lock()
	now := b.now()
	at, ok := b.told[line+who]
	quiet := ok && now-at < complainGap
	if !quiet {
		if len(b.told) > 1024 {
			clear(b.told)
		}
		b.told[line+who] = now
	}
	b.mu.Unlock()
	if !quiet {
		b.o.Logger.Warn(line, advice.LogAttrs(err, "with", who)...)
	}
}

// Close writes what is not yet on disk, as long as ctx lasts, and ends.
func (b *Replicator) Close(ctx context.Context) error {
	err := b.WaitPersisted(ctx)
	b.stop()
	<-b.done
	return err
}

// Ready is closed once what a store kept is there, or is known not to be, or has not come in ten seconds: a disk that hangs
// must not keep an instance from the others. What is put before has not seen it.
func (b *Replicator) Ready() <-chan struct{} { return b.ready }

// Put writes a value; it supersedes every sibling that is held here.
func (b *Replicator) Put(name string, value []byte) (crdt.Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, err := b.l.Put(name, value)
	if err == nil {
		b.own(name)
	}
	return e, err
}

// Delete deletes every sibling that is held here.
func (b *Replicator) Delete(name string) (crdt.Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, err := b.l.Delete(name)
	if err == nil {
		b.own(name)
	}
	return e, err
}

// Get is the state of a name and whether it has a live value. Its values must not be changed.
func (b *Replicator) Get(name string) (crdt.Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.l.Get(name)
}

// ScanPrefix tells names with a live value that begin with prefix, in order, until f says no. f must be quick, since all else
// waits for it, and must not call the Book.
func (b *Replicator) ScanPrefix(prefix string, f func(crdt.Entry) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.l.ScanPrefix(prefix, f)
}

// Actor names this life in the dots of its changes.
func (b *Replicator) Actor() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.l.Actor()
}

// Digest stands for all that is held: two instances with the same one hold the same.
func (b *Replicator) Digest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.l.Digest(crdt.TreeNode{})
}

// Stats are the counts so far.
func (b *Replicator) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.LiveEntries, s.Tombstones, s.StoredBytes = b.l.Counts()
	return s
}

// Watch tells that something under prefix may have changed, by one value however often it did; it begins with one. The
// call given back ends it.
func (b *Replicator) Watch(prefix string) (<-chan struct{}, func()) {
	w := &watch{prefix, make(chan struct{}, 1)}
	w.c <- struct{}{}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches[w] = true
	return w.c, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.watches, w)
	}
}

// WaitPersisted waits until all changes so far are on disk. Without a store nothing is waited for.
func (b *Replicator) WaitPersisted(ctx context.Context) error {
	select {
	case <-b.found:
	case <-ctx.Done():
		return &NotPersistedError{ctx.Err()}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for want := b.changes; b.disk != nil && b.kept < want; {
		told, err := b.keptTold, b.keptErr
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

// own notes an own change; the lock is held.
func (b *Replicator) own(name string) {
	b.noted([]string{name})
	b.tell([]string{name})
}

// noted notes changed names for disk and watches; the lock is held.
func (b *Replicator) noted(names []string) {
	if len(names) == 0 {
		return
	}
	b.changes += uint64(len(names))
	for _, n := range names {
		b.dirty[n] = true
	}
	stir(b.stirKeep)
	for w := range b.watches {
		if slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, w.prefix) }) {
			stir(w.c)
		}
	}
}

// tell has fresh changes told to a few others; the lock is held.
func (b *Replicator) tell(names []string) {
	for _, n := range names {
		if !b.freshIn[n] && len(b.fresh) < freshMost {
			b.freshIn[n] = true
			b.fresh = append(b.fresh, n)
		}
	}
	stir(b.stirPush)
}

func stir(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// alive are some others that can be sent to, in an order by chance.
func (b *Replicator) alive() (alive, listed []string) {
	alive, listed = b.o.Peers()
	alive = slices.DeleteFunc(slices.Clone(alive), func(n string) bool { return n == b.o.InstanceName })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chance.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive, listed
}

// Kinds of messages: the first byte of a body.
const (
	kindAsk byte = 1 + iota
	kindAnswer
	kindFresh // handed on by those to whom it is new
	kindLacks
)

type push struct {
	_     struct{} `cbor:",toarray"`
	Actor string
	Batch crdt.Batch
}

func encode(kind byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	return append([]byte{kind}, body...), err
}

func (b *Replicator) send(ctx context.Context, a *scheduler.Allowance, to string, kind byte, v any) (int, error) {
	body, err := encode(kind, v)
	if err != nil {
		return 0, err
	}
	if err := a.Spend(ctx, len(body), 0); err != nil {
		return 0, err
	}
	ctx, stop := context.WithTimeout(ctx, sendWait)
	defer stop()
	return len(body), b.o.Transport.Send(ctx, to, Topic, body)
}

// handle takes a message. It does not wait.
func (b *Replicator) handle(from string, body []byte) {
	if !b.isReady() {
		return // what the store kept comes first: until then this copy knows less than it told before
	}
	if len(body) == 0 {
		return
	}
	var err error
	switch body[0] {
	case kindAsk:
		var q crdt.ExchangeRequest
		if err = cbor.Unmarshal(body[1:], &q); err == nil && crdt.ActorName(q.Actor) == from {
			_, err = b.pool.Add(scheduler.Job{Name: "share answer", Kind: "answer", Priority: scheduler.PriorityNormal, Deadline: second, MaxFailures: 1},
				func(ctx context.Context, a *scheduler.Allowance) error { return b.answer(ctx, a, from, q) })
			if err != nil {
				return // it asks again
			}
		}
	case kindAnswer:
		var a crdt.ExchangeResponse
		if err = cbor.Unmarshal(body[1:], &a); err == nil {
			b.mu.Lock()
			c := b.waiting[a.ExchangeID]
			b.mu.Unlock()
			select {
			case c <- a:
			default:
			}
		}
	case kindFresh, kindLacks:
		var p push
		if err = cbor.Unmarshal(body[1:], &p); err == nil && crdt.ActorName(p.Actor) == from {
			err = b.pushed(from, p, body[0] == kindFresh)
		}
	default:
		err = errors.New("a kind that there is not")
	}
	if err != nil {
		b.complain("share_message", from, &InvalidMessageError{from, err})
	}
}

func (b *Replicator) pushed(from string, p push, fresh bool) error {
	b.mu.Lock()
	changed, err := b.l.MergeBatch(p.Actor, p.Batch)
	b.noted(changed)
	if fresh && len(changed) > 0 {
		b.tell(changed)
	}
	b.mu.Unlock()
	if b.struck(err) {
		return nil
	}
	return err
}

// struck goes on as a new life where others take this one as over.
func (b *Replicator) struck(err error) bool {
	var s *crdt.SupersededError
	if !errors.As(err, &s) {
		return false
	}
	b.mu.Lock()
	now := b.now()
	did := now-b.renewed >= renewEach
	var kept []crdt.Entry
	if did {
		b.renewed = now
		peer := s.From
		if crdt.ActorIncarnation(peer) > 0 {
			peer = crdt.ActorName(peer)
		}
		life := max(s.EndedBefore, crdt.ActorIncarnation(b.l.Actor())) + 1
		kept = b.l.BeginIncarnation(life, peer)
		clear(b.open)
		for _, e := range kept {
			b.own(e.Name)
		}
	}
	b.mu.Unlock()
	if did {
		b.o.Logger.Warn("share_struck", advice.LogAttrs(s, "kept", len(kept))...)
	}
	return true
}

func (b *Replicator) answer(ctx context.Context, a *scheduler.Allowance, from string, q crdt.ExchangeRequest) error {
	b.mu.Lock()
	out, err := b.l.HandleRequest(from, q)
	b.mu.Unlock()
	if err != nil {
		b.complain("share_message", from, err)
		return nil
	}
	n, err := b.send(ctx, a, from, kindAnswer, out)
	if b.sent(n); err != nil && ctx.Err() == nil {
		b.complain("share_exchange", from, &ExchangeInterruptedError{from, err})
	}
	return nil
}

// round is an exchange with another, and with more while they bring something.
func (b *Replicator) round(ctx context.Context, a *scheduler.Allowance) error {
	if !b.isReady() {
		return nil
	}
	for range chainMost {
		peer := b.choose()
		if peer == "" {
			return nil
		}
		more, err := b.exchange(ctx, a, peer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !b.struck(err) {
			b.complain("share_exchange", peer, err)
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

// choose names whom to exchange with: one that is newly there, one with whom an exchange was cut, or any.
func (b *Replicator) choose() string {
	alive, _ := b.alive()
	b.mu.Lock()
	defer b.mu.Unlock()
	there := map[string]bool{}
	for _, n := range alive {
		there[n] = true
	}
	for n := range b.met {
		if !there[n] {
			delete(b.met, n)
		}
	}
	if len(alive) == 0 {
		return ""
	}
	for _, n := range alive {
		if !b.met[n] {
			b.met[n] = true
			return n
		}
	}
	if b.chance.Intn(2) == 0 {
		for _, n := range alive {
			if b.open[n] != nil {
				return n
			}
		}
	}
	return alive[0]
}

// exchange asks one instance until nothing is left to ask, or it does not answer. It tells whether something differed.
func (b *Replicator) exchange(ctx context.Context, a *scheduler.Allowance, peer string) (more bool, err error) {
	b.mu.Lock()
	r := b.open[peer]
	if r == nil || r.x.IsDone() || time.Since(r.since) > openMost {
		b.run++
		r = &running{b.l.NewExchange(peer, b.run), time.Now()}
		b.open[peer] = r
	}
	x := r.x
	answers := make(chan crdt.ExchangeResponse, 1)
	b.waiting[x.ID()] = answers
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.waiting, x.ID())
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
		n, err := b.send(ctx, a, peer, kindAsk, q)
		b.sent(n)
		var out crdt.ExchangeResponse
		if err == nil {
			out, err = await(ctx, answers, q)
		}
		if err != nil {
			if tries++; tries < askTries && ctx.Err() == nil {
				continue
			}
			return false, &ExchangeInterruptedError{peer, err}
		}
		tries = 0
		if err := b.take(ctx, a, x, out); err != nil {
			return false, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[peer] == r {
		delete(b.open, peer)
	}
	if x.IsComplete() {
		stir(b.stirKeep) // the Known has grown
	}
	return x.DifferingBuckets > 0, nil
}

var errSilent = errors.New("no answer in time")

func await(ctx context.Context, answers <-chan crdt.ExchangeResponse, q crdt.ExchangeRequest) (crdt.ExchangeResponse, error) {
	late := time.NewTimer(answerWait)
	defer late.Stop()
	for {
		select {
		case out := <-answers:
			if out.RequestSeq == q.RequestSeq {
				return out, nil
			}
		case <-late.C:
			return crdt.ExchangeResponse{}, errSilent
		case <-ctx.Done():
			return crdt.ExchangeResponse{}, ctx.Err()
		}
	}
}

func (b *Replicator) sent(n int) {
	b.mu.Lock()
	b.stats.ExchangeBytesSent += uint64(n)
	b.mu.Unlock()
}

// take takes an answer in and sends what the other lacks.
func (b *Replicator) take(ctx context.Context, a *scheduler.Allowance, x *crdt.Exchange, out crdt.ExchangeResponse) error {
	b.mu.Lock()
	away := x.MissedDeletes
	changed, lacks, err := x.ApplyResponse(out)
	b.noted(changed)
	batches := b.l.BuildBatches(true, lacks)
	actor := b.l.Actor()
	if err != nil && !x.IsDone() {
		if errors.Is(err, crdt.ErrPeerRestarted) || !x.HasStarted() {
			delete(b.open, x.Peer())
		}
	}
	b.mu.Unlock()
	if x.MissedDeletes && !away {
		b.o.Logger.Warn("share_away", advice.LogAttrs(&LongAbsenceError{x.Peer(), x.UnsyncedNames})...)
	}
	if errors.Is(err, crdt.ErrPeerRestarted) {
		return &ExchangeInterruptedError{x.Peer(), err}
	}
	if advice.HasType[*crdt.SupersededError](err) {
		return err
	}
	if err != nil {
		b.complain("share_refused", x.Peer(), err)
	}
	for _, batch := range batches {
		n, err := b.send(ctx, a, x.Peer(), kindLacks, push{Actor: actor, Batch: batch})
		if b.sent(n); err != nil {
			return &ExchangeInterruptedError{x.Peer(), err}
		}
	}
	return nil
}

// push tells fresh changes to a few others, until ctx ends.
func (b *Replicator) push(ctx context.Context, a *scheduler.Allowance) error {
	select {
	case <-b.ready:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		select {
		case <-b.stirPush:
		case <-ctx.Done():
			return nil
		}
		to, _ := b.alive()
		to = to[:min(len(to), fanOut)]
		b.mu.Lock()
		names := b.fresh
		b.fresh = nil
		clear(b.freshIn)
		batches := b.l.BuildBatches(false, names)
		actor := b.l.Actor()
		b.mu.Unlock()
		for _, batch := range batches {
			for _, n := range to {
				bytes, err := b.send(ctx, a, n, kindFresh, push{Actor: actor, Batch: batch})
				b.mu.Lock()
				b.stats.UpdateBytesSent += uint64(bytes)
				b.mu.Unlock()
				if err != nil && ctx.Err() == nil {
					b.complain("share_fresh", n, &ExchangeInterruptedError{n, err}) // the exchanges bring it
				}
			}
		}
		select {
		case <-time.After(pushEach):
		case <-ctx.Done():
		}
	}
	return nil
}

// collect forgets deletes that all have seen, and tells how far this copy reaches.
func (b *Replicator) collect(ctx context.Context, _ *scheduler.Allowance) error {
	if !b.isReady() {
		return nil
	}
	alive, listed := b.alive()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, n := range listed {
		if _, ok := b.heard[n]; !ok {
			b.heard[n] = now
		}
	}
	for _, n := range alive {
		b.heard[n] = now
	}
	_, dead, _ := b.l.Counts()
	if more := rowMore * int64(max(0, len(b.heard)-rowFew)); now-b.lookAt < more && dead < deadMany {
		return nil
	}
	b.lookAt = now
	var all, away []string
	for n, at := range b.heard {
		gone := time.Duration(now-at) * 100 * time.Microsecond
		if gone > ForgetTimeout && !slices.Contains(listed, n) {
			delete(b.heard, n)
			b.l.ForgetInstance(n)
			continue
		}
		if all = append(all, n); gone > AbsenceTimeout || dead >= deadMany && gone > 0 {
			away = append(away, n)
		}
	}
	b.l.SetMembers(all, away)
	dropped := b.l.CollectTombstones()
	b.noted(dropped)
	if dead >= deadMany && len(away) > 0 && len(dropped) > 0 {
		b.o.Logger.Warn("share_tombstones", "held", dead, "forgotten", len(dropped), "away", away)
	}
	select {
	case <-b.found:
	default:
		return nil // a row says that all of earlier lives is told: the disk may hold more of them
	}
	if !slices.Equal(b.l.KnownVersion(), b.rowOf) && now-b.rowAt >= rowEach*int64(b.o.ExchangeInterval/(100*time.Microsecond)) {
		r := b.l.NextRow()
		b.rowAt, b.rowOf = now, r.Known
	}
	return nil
}
