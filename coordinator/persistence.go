package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/coordinator/plan"
	"chalkring/endpoints"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
	"chalkring/storage/recovery"
	"chalkring/storage/store"
)

// The job that writes to the store, its times and limits, and the store's buckets and keys.
const (
	persistJobKind      = "keep"                 // kind of the background job that writes
	persistInterval     = 2 * time.Second        // between two writes: observations stay useful for half a minute
	firstPersistDelay   = 5 * time.Second        // before the first write: a run that ends sooner leaves the state of an earlier run
	listRewriteInterval = time.Hour              // after which an unchanged list is written again, with a new time
	persistTimeout      = 30 * time.Second       // for one write: a slow disk takes 5 s, a stuck one longer than this
	lastPersistTimeout  = 400 * time.Millisecond // for the last write: within the time in which requests are still served
	storeRetryInterval  = 2 * time.Second        // between attempts to open a store that another process holds, such as a predecessor that is ending
	storeCloseTimeout   = 200 * time.Millisecond // for closing the store: the end of the process closes it in any case
	maxPendingEvents    = 256                    // events waiting to be written; more are counted and dropped
	stateBucket         = "kept"
	eventBucket         = "events"
	startsKey           = "starts"
	listKey             = "list"
	observationsKey     = "notes"
	identityKey         = "whose"
)

// Persistence stores what a restart can use: the current endpoint list, observations of hosts, starts and events.
// Nothing waits for it: the store is opened in the background, restored state arrives as one more source of endpoint
// lists and one more peer report, and a background job writes.
type Persistence struct {
	path        string
	exclusive   bool             // nothing else is stored there, so that the whole store may be quarantined in a crash loop
	budget      scheduler.Budget // of its writes
	planVersion int64            // of the plan's endpoint list
	identity    string           // of the deployment, as Plan.Identity returns it
	clock       Clock
	log         *asyncLogger
	stopLog     context.CancelFunc
	stopOpening context.CancelFunc // ends the attempts to open the store
	logWriter   sync.WaitGroup
	opened      chan struct{} // closed once store and restored, or err, are set

	store    *store.Store
	err      error
	restored recovery.Restored
	events   *store.EventLog

	currentList      atomic.Pointer[recovery.EndpointList] // SavedAt is when it became the current list
	discoveryVersion atomic.Int64                          // newest version from discovery
	writeSlot        chan struct{}                         // holds a token during a write
	writtenList      *recovery.EndpointList                // as last written
	mu               sync.Mutex
	pendingEvents    []store.Event
	droppedEvents    int
	closeOnce        sync.Once
}

// NewPersistence starts to open the store at path in the background. The caller closes it once the coordinator has
// ended. exclusive says that nothing else is stored there, so that the whole store may be quarantined in a crash loop.
func NewPersistence(path string, exclusive bool, budget scheduler.Budget, initial *plan.Plan, clock Clock, log *slog.Logger) *Persistence {
	return newPersistence(path, exclusive, store.Options{}, budget, initial, clock, log)
}

// newPersistence is NewPersistence with options for the store.
func newPersistence(path string, exclusive bool, options store.Options, budget scheduler.Budget, initial *plan.Plan, clock Clock, log *slog.Logger) *Persistence {
	ctx, cancel := context.WithCancel(context.Background())
	opening, stopOpening := context.WithCancel(ctx)
	persistence := &Persistence{
		path: path, exclusive: exclusive, budget: budget, planVersion: int64(initial.Known.Version), identity: initial.Identity(), clock: clock, log: newAsyncLogger(clock, log.Handler()),
		stopLog: cancel, stopOpening: stopOpening, opened: make(chan struct{}), writeSlot: make(chan struct{}, 1),
	}
	persistence.discoveryVersion.Store(persistence.planVersion)
	persistence.logWriter.Go(func() { _ = persistence.log.run(ctx) }) // never fails
	go func() {
		defer close(persistence.opened)
		for isLogged := false; ; isLogged = true {
			if persistence.err = persistence.open(path, options); persistence.err == nil {
				return
			}
			if !isLogged {
				persistence.log.Warn("store_unavailable", advice.LogAttrs(persistence.err, "path", path)...)
			}
			if !advice.HasType[*store.LockedError](persistence.err) {
				return
			}
			select {
			case <-persistence.clock.After(storeRetryInterval):
			case <-opening.Done():
				return
			}
		}
	}()
	return persistence
}

// open opens the store, records the start on disk, and only then restores the stored state: if restoring it crashes
// the process, the next starts detect a crash loop.
func (p *Persistence) open(path string, options store.Options) error {
	options.OnRecovery = func(err error) {
		p.log.Warn("store_recovered", advice.LogAttrs(err)...)
		p.RecordEvent("store", err.Error())
	}
	startedAt := p.clock.Now()
	opened, err := store.Open(path, options)
	if err != nil {
		return err
	}
	starts, level := readStored[recovery.StartRecord](p, opened, startsKey).RecordStart(startedAt.UnixMilli(), p.exclusive)
	if level > recovery.TrustAll {
		p.log.Warn("crash_loop", "starts", len(starts.RecentStarts), "believes", level.String(),
			"do", "Check the log for why the earlier runs ended. A planned stop, or a minute without another start, ends the crash loop.")
		p.RecordEvent("crash_loop", fmt.Sprintf("%d starts within a minute, believes %s", len(starts.RecentStarts), level))
	}
	if level == recovery.TrustNothing {
		if err := opened.Close(context.Background()); err != nil {
			return err
		}
		options.Recreate = true
		if opened, err = store.Open(path, options); err != nil {
			return err
		}
	}
	if err := p.claim(opened, starts); err != nil {
		return errors.Join(err, opened.Close(context.Background()))
	}
	p.store = opened
	p.restore(startedAt, level)
	return nil
}

// claim records this start and the deployment's identity in the store. From a store that another
// deployment has written, the endpoint list and observations are deleted: they concern another customer's hosts. A
// store without an identity was written before identities were stored and counts as this deployment's. Since classes,
// tenants and zones are part of the identity, the first start after they change restores nothing and knows only the
// hosts of its plan.
func (p *Persistence) claim(opened *store.Store, starts recovery.StartRecord) error {
	var removed []string
	if writer := readStored[string](p, opened, identityKey); writer != "" && writer != p.identity {
		p.log.Warn("state_discarded", "what", "endpoint list and observations",
			"why", "written by a coordinator with another name or with other classes, tenants, zones or sets",
			"do", "Give each deployment its own store; this deployment overwrites this store from now on.")
		removed = []string{listKey, observationsKey}
	}
	encodedStarts, err := cbor.Marshal(starts)
	encodedIdentity, identityErr := cbor.Marshal(p.identity)
	if err = errors.Join(err, identityErr); err != nil {
		return err
	}
	values := map[string][]byte{startsKey: encodedStarts, identityKey: encodedIdentity}
	if err := opened.Put(context.Background(), stateBucket, values, removed); err != nil {
		return err
	}
	p.events, err = store.NewEventLog(opened, eventBucket, 0)
	return err
}

// restore reads the state that an earlier run has stored, as far as the trust level allows.
func (p *Persistence) restore(startedAt time.Time, level recovery.TrustLevel) {
	var list *recovery.EndpointList
	if stored := readStored[recovery.EndpointList](p, p.store, listKey); stored.SavedAt > 0 {
		list = &stored
	}
	var observations *recovery.Observations
	if stored := readStored[recovery.Observations](p, p.store, observationsKey); stored.SavedAt > 0 && stored.Validate() == nil {
		observations = &stored
	}
	p.restored = recovery.Restore(startedAt.UnixMilli(), level, p.planVersion, list, observations)
	for _, discarded := range p.restored.Discarded {
		p.log.Info("state_discarded", "what", discarded.Item, "why", discarded.Reason)
	}
	hosts, observed := 0, 0
	if p.restored.Update != nil {
		p.discoveryVersion.CompareAndSwap(p.planVersion, list.DiscoveryVersion) // unless discovery has answered meanwhile
		hosts = len(p.restored.Update.Hosts)
	}
	if p.restored.Observations != nil {
		observed = len(p.restored.Observations.Entries)
	}
	p.log.Info("store", "path", p.path, "believes", level.String(), "listed", hosts, "notes", observed,
		"took", p.clock.Now().Sub(startedAt).Round(time.Millisecond))
	p.RecordEvent("start", fmt.Sprintf("believes %s: %d hosts listed, notes of %d", level, hosts, observed))
}

// readStored reads one stored value; it returns the zero value if the value is missing or cannot be decoded.
func readStored[T any](persistence *Persistence, s *store.Store, key string) (value T) {
	encoded, found, err := s.Get(stateBucket, key)
	if err == nil && found {
		err = cbor.Unmarshal(encoded, &value)
	}
	if err != nil {
		persistence.log.Warn("state_discarded", "what", key, "why", err.Error())
		var none T
		return none
	}
	return value
}

// Path returns the path of the store.
func (p *Persistence) Path() string { return p.path }

// WaitForStore blocks until the store is open or cannot be opened. While another process holds the store, it blocks
// until that process releases it.
func (p *Persistence) WaitForStore(ctx context.Context) (*store.Store, error) {
	select {
	case <-p.opened:
		return p.store, p.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// PrependStoredUpdate returns a channel that delivers the given updates and, once the store is open, the stored
// endpoint list, with what those host files said for which isFile is true. updates may be nil. The channel is closed when
// ctx ends.
func (p *Persistence) PrependStoredUpdate(ctx context.Context, updates <-chan endpoints.Update, isFile func(name string) bool) <-chan endpoints.Update {
	out := make(chan endpoints.Update)
	go func() {
		defer close(out)
		opened := p.opened
		for {
			var update endpoints.Update
			select {
			case <-opened:
				if opened = nil; p.restored.Update == nil {
					continue
				}
				update = p.restored.Update.KeepFiles(isFile)
			case next, ok := <-updates:
				if !ok {
					updates = nil
					continue
				}
				update = next
			case <-ctx.Done():
				return
			}
			select {
			case out <- update:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// Close closes the store. It waits at most storeCloseTimeout for a write in progress, so that a stuck one does not
// delay the end of the process.
func (p *Persistence) Close() { p.closeOnce.Do(p.closeStore) }

// closeStore implements Close, which calls it once.
func (p *Persistence) closeStore() {
	p.stopOpening()
	ctx, cancel := context.WithTimeout(context.Background(), storeCloseTimeout)
	defer cancel()
	if s, _ := p.WaitForStore(ctx); s != nil {
		if err := s.Close(ctx); err != nil {
			p.log.Warn("store_failed", advice.LogAttrs(err)...)
		}
	}
	p.stopLog()
	p.logWriter.Wait()
}

// withBudget returns a copy of an installation's peer options, or empty ones, with a budget for writes.
func (p *Persistence) withBudget(options *PeerOptions) *PeerOptions {
	own := PeerOptions{}
	if options != nil {
		own = *options
	}
	own.Budgets = maps.Clone(own.Budgets)
	if own.Budgets == nil {
		own.Budgets = map[string]scheduler.Budget{}
	}
	own.Budgets[persistJobKind] = p.budget
	return &own
}
