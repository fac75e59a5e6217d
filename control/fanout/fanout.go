// Package fanout is a region's fan-out gateway as it runs: it carries out what package subscribers decides. It takes
// subscriptions from a watched file and from an embedder's calls, keeps them in the instances' shared book, runs the
// standing searches through the co-ordinator's door as background work and hands what changed to a delivery. It is a
// front of the co-ordinator. docs/subscribers.md tells the rules.
package fanout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chalkring/cluster/crdt"
	"chalkring/control/subscribers"
	"chalkring/coordinator"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
)

const (
	turnEach    = 100 * time.Millisecond // between turns of the gateway: a hand-over has some ten of them
	readEach    = 250 * time.Millisecond // between readings of the book, which look at each subscription while changes come
	readShare   = 4                      // times as long as a reading takes between two, but no more than
	readMost    = 2 * time.Second
	fileEach    = 5 * time.Second  // between looks whether the book says what the file says
	takeStep    = 4000             // entries taken in one turn, some 40 ms of a core
	fileStep    = 2000             // lines of a file written in one turn: 20,000 a second, some 20 ms of a core
	fileNew     = time.Minute      // after which a file that stands in the book is looked at when the list changes alone
	rankWait    = 10 * time.Second // for each gateway before this one to write a line
	forgetEach  = time.Minute
	forgetStep  = 200             // of the long gone in one time
	tellEach    = time.Second     // between two lines on how the list stands, while it changes
	valueMost   = 64 << 10        // bytes of a value that is delivered; of longer ones the hash alone
	standing    = "standing"      // kind of work
	together    = 8               // standing searches and deliveries at once
	lateMost    = 2 * time.Minute // that a standing search may wait for others' searches before it is given up
	deliverMost = 2 * time.Second // of one delivery: a hand-over waits for it
	tries       = 3               // of one delivery, with its number
	tryAgain    = 200 * time.Millisecond
	linesASec   = 10 // log lines of events: the rest is counted
	callWait    = 5 * time.Second
	keepLeast   = 1024 // names of a list kept for reading
)

// ReplicatedStore is what the instances share; package replication's Book is one.
type ReplicatedStore interface {
	Ready() <-chan struct{}
	Get(name string) (crdt.Entry, bool)
	Put(name string, value []byte) (crdt.Entry, error)
	Delete(name string) (crdt.Entry, error)
	ScanPrefix(prefix string, f func(crdt.Entry) bool)
	Update(name string, f func(e crdt.Entry) (value []byte, write bool, err error)) (crdt.Entry, error)
	Watch(prefix string) (<-chan struct{}, func())
	WaitPersisted(ctx context.Context) error
}

// Membership is who is there, by membership.
type Membership struct {
	Members     []subscribers.Member // alive gateways, this one among them
	Zones       []string             // of all instances that are known, gateways or not: the list lies in all of them
	HasMajority bool                 // more than half of the listed are heard
	Complete    bool                 // all of them are
}

// Options are how a gateway is run.
type Options struct {
	Self             subscribers.Member
	Store            ReplicatedStore
	Membership       func() Membership
	Rules            func() subscribers.PlacementRules // where tenants may be served; nil for anywhere
	FilePath         string                            // of the region; none where empty
	Deliver          DeliverFunc                       // where deliveries go; by HTTP to the file's address where nil
	Log              *slog.Logger
	Seed             int64
	OnDrained        func()                         // told once nobody is served here any more, for membership; may be nil
	ReplicationBytes func() (held int, sent uint64) // of what is shared, and that were sent for it; nil for not known
}

// Gateway runs. Its calls are safe from any goroutine.
type Gateway struct {
	o     Options
	log   *slog.Logger
	lines *rate.Limiter
	quiet atomic.Int64 // lines left out
	held  atomic.Int64
	turns chan func()

	// Of the goroutine of Serve alone.
	door   *coordinator.SearchAPI
	pool   *scheduler.Pool
	list   *subscribers.List
	gate   *subscribers.Gateway
	file   *subscribers.RegionFile
	since  time.Time // of the file
	fresh  bool      // the list has changed since it was told
	told   time.Time
	behind map[subscribers.Key]uint64 // lines of the file told as stale, by the consent that they lack
	refuse map[string]uint64          // entries told as unusable
	reach  map[string]uint64          // stamps of words
	todo   []crdt.Entry               // read and not yet taken
	filed  bool                       // the list is as it was when the file was last held against it
	serial uint64
	ended  bool
	open   bool // as it was told

	conflicts int
}

// New is a gateway; as a front of the co-ordinator it begins to serve.
func New(o Options) *Gateway {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Rules == nil {
		o.Rules = func() subscribers.PlacementRules { return subscribers.PlacementRules{} }
	}
	return &Gateway{
		o: o, log: o.Log, lines: rate.NewLimiter(linesASec, linesASec), turns: make(chan func(), 64),
		list: subscribers.NewList(), behind: map[subscribers.Key]uint64{}, refuse: map[string]uint64{}, reach: map[string]uint64{},
	}
}

// tell writes a line that others can bring about at will, so many a second.
func (g *Gateway) tell(line string, attrs ...any) {
	if !g.lines.Allow() {
		g.quiet.Add(1)
		return
	}
	if n := g.quiet.Swap(0); n > 0 {
		attrs = append(attrs, "left_out", n)
	}
	g.log.Warn(line, attrs...)
}

// Subscribe takes in that a subscriber asks for something now. Like the calls below it returns once that is on disk,
// where there is one; from another instance it is heard a moment later.
func (g *Gateway) Subscribe(ctx context.Context, k subscribers.Key, d subscribers.Details) error {
	if err := g.bound(k.Tenant); err != nil {
		return err
	}
	if _, there := g.o.Store.Get(k.LedgerKey()); !there && g.held.Load() >= subscribers.MaxSubscriptions {
		return &subscribers.ListFullError{Count: int(g.held.Load()), Max: subscribers.MaxSubscriptions}
	}
	return g.call(ctx, k, subscribers.Subscribe(k, g.o.Self.Region, d))
}

// ChangeDetails gives one who is subscribed other details.
func (g *Gateway) ChangeDetails(ctx context.Context, k subscribers.Key, d subscribers.Details) error {
	if err := g.bound(k.Tenant); err != nil {
		return err
	}
	return g.call(ctx, k, subscribers.ChangeDetails(k, d))
}

// Unsubscribe takes one off.
func (g *Gateway) Unsubscribe(ctx context.Context, k subscribers.Key) error {
	return g.call(ctx, k, subscribers.Unsubscribe(k, g.o.Self.Name, wall()))
}

// Get tells whether a subscriber is subscribed, and to what.
func (g *Gateway) Get(k subscribers.Key) (subscribers.Record, bool) {
	e, _ := g.o.Store.Get(k.LedgerKey())
	r, err := subscribers.ResolveEntry(e)
	return r, err == nil && !r.IsUnsubscribed()
}

func (g *Gateway) call(ctx context.Context, k subscribers.Key, op subscribers.RecordUpdate) error {
	ctx, stop := context.WithTimeout(ctx, callWait)
	defer stop()
	select {
	case <-g.o.Store.Ready(): // what is written before has not seen what the disk keeps
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := g.write(k, op); err != nil {
		return err
	}
	return g.o.Store.WaitPersisted(ctx)
}

// bound tells which zone a tenant's contract keeps its entries from, of those in which the list lies; nil where all may
// have them. What would be kept where it must not be is not taken at all.
func (g *Gateway) bound(tenant string) error {
	holds := g.o.Rules().AllowsTenantData
	if holds == nil {
		return nil
	}
	for _, zone := range g.o.Membership().Zones {
		if !holds(tenant, zone) {
			return &ZoneForbiddenError{tenant, zone}
		}
	}
	return nil
}

func (g *Gateway) write(k subscribers.Key, op subscribers.RecordUpdate) error {
	_, err := g.o.Store.Update(k.LedgerKey(), func(e crdt.Entry) ([]byte, bool, error) { return subscribers.ApplyUpdate(e, op) })
	return err
}

func wall() uint64 { return uint64(time.Now().UnixMilli()) }

// now is the gateways' clock: by it the searches of one subscriber come at the same times wherever they run.
func now() int64 { return time.Now().UnixMicro() / 100 }

// Serve runs the gateway until stopping is done and what is on its way has ended, or ctx ends.
func (g *Gateway) Serve(ctx, stopping context.Context, d *coordinator.SearchAPI) error {
	select {
	case <-g.o.Store.Ready():
	case <-stopping.Done():
		return nil
	case <-ctx.Done():
		return nil
	}
	running, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	if g.o.OnDrained != nil {
		defer g.o.OnDrained()
	}
	defer wait.Wait()
	defer stop()
	g.door = d
	g.gate = subscribers.NewGateway(now(), g.o.Self, g.o.Rules())
	plan := scheduler.NewSchedule(rand.New(rand.NewSource(g.o.Seed)), map[string]scheduler.Budget{standing: {MaxConcurrent: together}})
	g.pool = scheduler.NewPool(coordinator.SystemClock{}, plan, func(string, error) {})
	wait.Go(func() { _ = g.pool.Run(running) })
	files := make(chan fileSeen)
	if g.o.FilePath != "" {
		wait.Go(func() { watchFile(running, g.o.FilePath, files) })
	}
	changes, end := g.o.Store.Watch(subscribers.KeyPrefix)
	defer end()
	words, endWords := g.o.Store.Watch(subscribers.StatusMessageKeyPrefix)
	defer endWords()
	turn := time.NewTicker(turnEach)
	defer turn.Stop()
	var unread, unheard bool
	var read, filed, forgot, left time.Time
	rest := readEach
	busy, at := d.BusyTime(), time.Now()
	for {
		select {
		case <-changes:
			unread = true
			continue
		case <-words:
			unheard = true
			continue
		case f := <-files:
			g.take(f)
			filed = time.Time{}
			continue
		case do := <-g.turns:
			do()
			g.due()
			continue
		case <-turn.C:
		case <-ctx.Done():
			return nil
		}
		t := time.Now()
		if spent := d.BusyTime(); t.After(at) {
			late := t.Sub(at) - turnEach // a wake that comes late tells of a machine that is full
			g.pool.RecordLoad(min(1, max(float64(spent-busy), float64(late))/float64(t.Sub(at))))
			busy, at = spent, t
		}
		if unheard {
			unheard = false
			g.readWords()
		}
		if len(g.todo) > 0 {
			g.takeRead()
		} else if unread && t.Sub(read) >= rest {
			unread = false
			g.readList()
			read = time.Now()
			rest = min(readMost, max(readEach, readShare*read.Sub(t)))
		}
		if stopping.Err() != nil && !g.ended {
			g.ended, left = true, t
		}
		if g.ended && (g.gate.CountDeliveries() == 0 || t.Sub(left) > deliverMost) {
			return nil
		}
		h := g.o.Membership()
		g.gate.SetRules(now(), g.o.Rules())
		g.gate.UpdateMembers(now(), h.Members, h.HasMajority)
		if word, say := g.gate.Tick(now(), wall()); say {
			g.say(word)
		}
		if len(g.todo) == 0 && t.Sub(filed) >= fileEach {
			if filed = t; g.apply() {
				filed = time.Time{} // there is more of it
			}
		}
		if h.Complete && t.Sub(forgot) >= forgetEach {
			forgot = t
			for _, k := range g.list.FindExpiredTombstones(wall(), forgetStep) {
				if _, err := g.o.Store.Delete(k.LedgerKey()); err != nil {
					g.tell("subscriber_refused", advice.LogAttrs(err, "subscriber", k)...)
				}
			}
		}
		if open := g.gate.IsServing(); open != g.open {
			g.open, g.fresh = open, true
		}
		if g.fresh && t.Sub(g.told) >= tellEach {
			g.fresh, g.told = false, t
			on, off := g.list.CountSubscriptions()
			c, held, sent := g.gate.Stats(), 0, uint64(0)
			if g.o.ReplicationBytes != nil {
				held, sent = g.o.ReplicationBytes()
			}
			g.log.Info("subscribers", "list", fmt.Sprintf("%016x", g.list.Digest()), "view", fmt.Sprintf("%016x", c.View), "gateways", c.Gateways, "subscribed", on,
				"unsubscribed", off, "served", c.Served, "waiting", c.Unassigned, "turn", c.Epoch, "views", c.ViewChanges, "runs", c.Runs,
				"deliveries", c.Deliveries, "failed", c.Failed, "repeated", c.Repeated, "conflicts", g.conflicts, "bytes", held, "sent", sent)
		}
		g.due()
	}
}

// say puts this gateway's word into the book.
func (g *Gateway) say(w subscribers.StatusMessage) {
	if _, err := g.o.Store.Put(subscribers.StatusMessageKeyPrefix+g.o.Self.Name, w.Encode()); err != nil {
		g.tell("subscriber_refused", advice.LogAttrs(err, "subscriber", "this gateway's word: nobody is served here")...)
		return
	}
	g.gate.ConfirmStatusMessage(w)
	g.fresh = true
}

// readWords takes in what the gateways say.
func (g *Gateway) readWords() {
	var all []crdt.Entry
	g.o.Store.ScanPrefix(subscribers.StatusMessageKeyPrefix, func(e crdt.Entry) bool {
		all = append(all, e)
		return true
	})
	for _, e := range all {
		if s := subscribers.EntryDigest(e); g.reach[e.Name] != s {
			g.reach[e.Name] = s
			g.gate.HandleStatusMessage(e.Name[len(subscribers.StatusMessageKeyPrefix):], subscribers.DecodeStatusMessage(e))
		}
	}
}

// readList reads what has changed in the book.
func (g *Gateway) readList() {
	g.list.BeginScan()
	g.o.Store.ScanPrefix(subscribers.KeyPrefix, func(e crdt.Entry) bool {
		if g.list.NeedsUpdate(e) {
			g.todo = append(g.todo, e)
		}
		return true
	})
	for _, k := range g.list.FindRemoved() {
		g.list.Remove(k)
		g.gate.SetRecord(now(), k, subscribers.Record{}, false)
		g.fresh, g.filed = true, false
	}
}

// takeRead takes in so much of what was read that the gateway's turns go on.
func (g *Gateway) takeRead() {
	some := g.todo[:min(len(g.todo), takeStep)]
	t := now()
	for _, e := range some {
		k, changed, events, err := g.list.ApplyEntry(e)
		if err != nil {
			g.unread(e, err)
		}
		for _, v := range events {
			g.conflicts++
			g.tell("subscriber_conflict", "subscriber", v.Key, "held", v.Kept, "lost", v.Discarded)
		}
		if changed {
			g.fresh, g.filed = true, false
			r, there := g.list.Get(k)
			g.gate.SetRecord(t, k, r, there)
		}
	}
	if g.todo = g.todo[len(some):]; len(g.todo) == 0 {
		g.todo = nil
	}
	on, off := g.list.CountSubscriptions()
	g.held.Store(int64(on + off))
}

// unread tells of an entry that cannot be read, once while it stands so.
func (g *Gateway) unread(e crdt.Entry, err error) {
	stamp := subscribers.EntryDigest(e)
	if g.refuse[e.Name] == stamp {
		return
	}
	if len(g.refuse) > keepLeast {
		clear(g.refuse)
	}
	g.refuse[e.Name] = stamp
	g.tell("subscriber_unread", advice.LogAttrs(err)...)
}

// take takes in what the region's file says now.
func (g *Gateway) take(f fileSeen) {
	if f.err == nil && f.file.Region != g.o.Self.Region {
		f.err = &RegionMismatchError{f.file.Region, g.o.Self.Region}
	}
	if f.err != nil {
		g.log.Warn("subscriber_file", advice.LogAttrs(f.err, "path", g.o.FilePath, "in_force", "its last list")...)
		return
	}
	g.log.Info("subscriber_file", "path", g.o.FilePath, "generation", f.file.Generation, "subscriptions", len(f.file.Lines))
	g.file, g.since = f.file, time.Now()
	g.filed = false
	clear(g.behind)
}

// apply writes what the file says and the book does not, so many in one turn; more is true where some is left.
func (g *Gateway) apply() (more bool) {
	if g.file == nil || g.filed && time.Since(g.since) > fileNew {
		return false
	}
	g.filed = true
	var old *subscribers.StaleFileError
	_, err := g.o.Store.Update(subscribers.RegionFileKeyPrefix+g.file.Region, func(e crdt.Entry) ([]byte, bool, error) {
		value, err := g.file.Admit(subscribers.DecodeFileStatus(e))
		return value, value != nil, err
	})
	if errors.As(err, &old) {
		g.log.Warn("subscriber_file", advice.LogAttrs(err, "path", g.o.FilePath, "in_force", "what the instances share")...)
		g.file = nil
		return false
	} else if err != nil {
		g.tell("subscriber_refused", advice.LogAttrs(err)...)
		return false
	}
	ranks := int(time.Since(g.since) / rankWait)
	keys, stale := g.file.FindChanges(g.list, func(k subscribers.Key) bool { return g.gate.FileWriterRank(k) <= ranks }, fileStep)
	for _, s := range stale {
		if len(g.behind) < keepLeast && g.behind[s.Key] != s.UnsubscribedConsent {
			g.behind[s.Key] = s.UnsubscribedConsent
			g.tell("subscriber_stale", advice.LogAttrs(s)...)
		}
	}
	barred, wrote := map[string]error{}, 0
	for _, k := range keys {
		why, known := barred[k.Tenant]
		if _, stands := g.file.Lines[k]; stands && !known {
			why = g.bound(k.Tenant)
			barred[k.Tenant] = why
		} else if !stands {
			why = nil // one that leaves may always
		}
		if why != nil {
			g.tell("subscriber_refused", advice.LogAttrs(why, "subscriber", k)...)
			continue
		}
		if err := g.write(k, g.file.UpdateFor(k, g.o.Self.Name, wall())); err != nil {
			g.tell("subscriber_refused", advice.LogAttrs(err, "subscriber", k)...)
			continue
		}
		wrote++
	}
	return len(keys) == fileStep && wrote > 0
}
