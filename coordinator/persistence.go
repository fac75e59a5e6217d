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

// Times, limits and keys of what is kept on disk.
const (
	persistJobKind      = "keep"                 // of the background job
	persistInterval     = 2 * time.Second        // between two writes: observations are of use for half a minute
	firstPersistDelay   = 5 * time.Second        // before the first: a run that ends sooner keeps what an earlier one stored
	listRewriteInterval = time.Hour              // after which an unchanged list is written again, with its age
	persistTimeout      = 30 * time.Second       // for one write: a slow disk takes 5 s, a stuck one longer than this
	lastPersistTimeout  = 400 * time.Millisecond // for the last write: within the time in which requests are still served
	storeRetryInterval  = 2 * time.Second        // between attempts to open a store that another process has, such as an earlier one that ends
	storeCloseTimeout   = 200 * time.Millisecond // for the store to be closed: the end of the process closes it too
	maxPendingEvents    = 256                    // events that wait to be written; more are counted and dropped
	stateBucket         = "kept"
	eventBucket         = "events"
	startsKey           = "starts"
	listKey             = "list"
	observationsKey     = "notes"
	identityKey         = "whose"
)

// Persistence keeps on disk what a restart can use: the endpoint list in force, observations of hosts, starts and
// events. Nothing waits for it: it opens its store beside the start, what it restores arrives as one more source of
// the list and one more peer's report, and background jobs write.
type Persistence struct {
	path        string
	exclusive   bool             // nothing else is kept in the store
	budget      scheduler.Budget // of its writes
	planVersion int64            // of the plan's endpoint list
	identity    string           // of the deployment, as Plan.Identity returns it
	clock       Clock
	log         *asyncLogger
	stopLog     context.CancelFunc
	stopOpening context.CancelFunc // ends the retries of opening
	logWriter   sync.WaitGroup
	opened      chan struct{} // closed once store and restored, or err, are set

	store    *store.Store
	err      error
	restored recovery.Restored
	events   *store.EventLog

	currentList      atomic.Pointer[recovery.EndpointList] // in force; SavedAt is when it came into force
	discoveryVersion atomic.Int64                          // newest version from discovery
	writeSlot        chan struct{}                         // holds a token during a write
	writtenList      *recovery.EndpointList                // as last written
	mu               sync.Mutex
	pendingEvents    []store.Event
	droppedEvents    int
	closeOnce        sync.Once
}

// NewPersistence begins to open the store at path in the background. Close it once the coordinator has ended.
// exclusive says that nothing else is kept in the store, so that a crash loop may put all of it aside.
func NewPersistence(path string, alone bool, budget scheduler.Budget, initial *plan.Plan, clock Clock, log *slog.Logger) *Persistence {
	return newPersistence(path, alone, store.Options{}, budget, initial, clock, log)
}

// newPersistence is NewPersistence with the store's options.
func newPersistence(path string, alone bool, options store.Options, budget scheduler.Budget, initial *plan.Plan, clock Clock, log *slog.Logger) *Persistence {
	ctx, cancel := context.WithCancel(context.Background())
	opening, enough := context.WithCancel(ctx)
	persistence := &Persistence{
		path: path, exclusive: alone, budget: budget, planVersion: int64(initial.Known.Version), identity: initial.Identity(), clock: clock, log: newAsyncLogger(clock, log.Handler()),
		stopLog: cancel, stopOpening: enough, opened: make(chan struct{}), writeSlot: make(chan struct{}, 1),
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

// open opens the store, records the start on disk, and only then restores what is there.
func (k *Persistence) open(path string, options store.Options) error {
	options.OnRecovery = func(err error) {
		k.log.Warn("store_recovered", advice.LogAttrs(err)...)
		k.RecordEvent("store", err.Error())
	}
	began := k.clock.Now()
	opened, err := store.Open(path, options)
	if err != nil {
		return err
	}
	starts, level := readStored[recovery.StartRecord](k, opened, startsKey).RecordStart(began.UnixMilli(), k.exclusive)
	if level > recovery.TrustAll {
		k.log.Warn("crash_loop", "starts", len(starts.RecentStarts), "believes", level.String(),
			"do", "Look in the log for why the earlier runs ended; a planned stop, or a minute without a start, ends the loop.")
		k.RecordEvent("crash_loop", fmt.Sprintf("%d starts within a minute, believes %s", len(starts.RecentStarts), level))
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
	if err := k.claim(opened, starts); err != nil {
		return errors.Join(err, opened.Close(context.Background()))
	}
	k.store = opened
	k.restore(began, level)
	return nil
}

// claim records this start and the deployment's identity in the store. A store that another deployment has written
// holds another customer's hosts, which are removed. One without an identity is older than this check and counts as
// this deployment's. After classes, tenants or zones change, a start knows only its plan.
func (k *Persistence) claim(opened *store.Store, starts recovery.StartRecord) error {
	var removed []string
	if writer := readStored[string](k, opened, identityKey); writer != "" && writer != k.identity {
		k.log.Warn("state_discarded", "what", "list and notes", "why", "another name or other classes, tenants, zones or sets wrote them",
			"do", "Give each deployment a store of its own; this one is written anew from now on.")
		removed = []string{listKey, observationsKey}
	}
	startsText, err := cbor.Marshal(starts)
	identityText, identityErr := cbor.Marshal(k.identity)
	if err = errors.Join(err, identityErr); err != nil {
		return err
	}
	values := map[string][]byte{startsKey: startsText, identityKey: identityText}
	if err := opened.Put(context.Background(), stateBucket, values, removed); err != nil {
		return err
	}
	k.events, err = store.NewEventLog(opened, eventBucket, 0)
	return err
}

// restore reads what an earlier run has stored, as far as it is trusted.
func (k *Persistence) restore(began time.Time, level recovery.TrustLevel) {
	var list *recovery.EndpointList
	if stored := readStored[recovery.EndpointList](k, k.store, listKey); stored.SavedAt > 0 {
		list = &stored
	}
	var observations *recovery.Observations
	if stored := readStored[recovery.Observations](k, k.store, observationsKey); stored.SavedAt > 0 && stored.Validate() == nil {
		observations = &stored
	}
	k.restored = recovery.Restore(began.UnixMilli(), level, k.planVersion, list, observations)
	for _, discarded := range k.restored.Discarded {
		k.log.Info("state_discarded", "what", discarded.Item, "why", discarded.Reason)
	}
	hosts, known := 0, 0
	if k.restored.Update != nil {
		hosts = len(k.restored.Update.Hosts)
	}
	if k.restored.Observations != nil {
		known = len(k.restored.Observations.Entries)
	}
	k.log.Info("store", "path", k.path, "believes", level.String(), "listed", hosts, "notes", known,
		"took", k.clock.Now().Sub(began).Round(time.Millisecond))
	k.RecordEvent("start", fmt.Sprintf("believes %s: %d hosts listed, notes of %d", level, hosts, known))
}

// readStored reads one stored value; one that is missing or in another form is the zero value.
func readStored[T any](persistence *Persistence, s *store.Store, key string) (value T) {
	text, found, err := s.Get(stateBucket, key)
	if err == nil && found {
		err = cbor.Unmarshal(text, &value)
	}
	if err != nil {
		persistence.log.Warn("state_discarded", "what", key, "why", err.Error())
		var none T
		return none
	}
	return value
}

// Path returns where the store is.
func (k *Persistence) Path() string { return k.path }

// WaitForStore blocks until the store is open, or cannot be opened; while another process has it, until that lets go.
func (k *Persistence) WaitForStore(ctx context.Context) (*store.Store, error) {
	select {
	case <-k.opened:
		return k.store, k.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// PrependStoredUpdate returns a channel with the stored endpoint list, followed by the lists of updates, which may be
// nil. It ends with ctx.
func (k *Persistence) PrependStoredUpdate(ctx context.Context, more <-chan endpoints.Update) <-chan endpoints.Update {
	out := make(chan endpoints.Update)
	go func() {
		defer close(out)
		opened := k.opened
		for {
			var update endpoints.Update
			select {
			case <-opened:
				if opened = nil; k.restored.Update == nil {
					continue
				}
				update = *k.restored.Update
			case next, ok := <-more:
				if !ok {
					more = nil
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

// Close closes the store. It waits a little for a write that is in progress, and not for one that is stuck.
func (k *Persistence) Close() { k.closeOnce.Do(k.closeStore) }

// closeStore does what Close does, once.
func (k *Persistence) closeStore() {
	k.stopOpening()
	ctx, cancel := context.WithTimeout(context.Background(), storeCloseTimeout)
	defer cancel()
	if s, _ := k.WaitForStore(ctx); s != nil {
		if err := s.Close(ctx); err != nil {
			k.log.Warn("store_failed", advice.LogAttrs(err)...)
		}
	}
	k.stopLog()
	k.logWriter.Wait()
}

// withBudget returns an installation's peer options, or empty ones, with a budget for writes.
func (k *Persistence) withBudget(options *PeerOptions) *PeerOptions {
	own := PeerOptions{}
	if options != nil {
		own = *options
	}
	own.Budgets = maps.Clone(own.Budgets)
	if own.Budgets == nil {
		own.Budgets = map[string]scheduler.Budget{}
	}
	own.Budgets[persistJobKind] = k.budget
	return &own
}
