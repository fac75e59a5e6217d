package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime/metrics"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/config"
	"chalkring/control/residency"
	"chalkring/control/rollout"
	"chalkring/coordinator"
	"chalkring/internal/advice"
)

const (
	rolloutBucket = "rollout"
	standingKey   = "standing"
	openWait      = 10 * time.Second       // for the store at a start: the instance has to know what it runs
	lastWrite     = 200 * time.Millisecond // for what is kept beside to be written at the start of a stop
	keepWait      = 5 * time.Second        // for a line of it to be on the disk before a step
	triesMost     = 2                      // starts into a change that may be cut off before it is given up
	startsMost    = 5                      // starts that nobody asked for, after which an instance goes back by itself
	fileEach      = 500 * time.Millisecond // between looks at the change file
	serveEach     = 50 * time.Millisecond  // between looks whether this instance answers
	lookLeast     = 50 * time.Millisecond  // between two looks of the desk
	lookMost      = time.Second            // and at the longest: a restart is not to wait for a word
	memoryMetric  = "/memory/classes/total:bytes"
)

// rolloutState is what an instance keeps on its disk about changes; later versions may add to it.
type rolloutState struct {
	Running         *rollout.Change `cbor:"1,keyasint"` // nil for the own files
	Previous        *rollout.Change `cbor:"2,keyasint"` // what it ran before that
	Attempt         *restartAttempt `cbor:"3,keyasint"` // a step that is begun and not ended
	RunningEpoch    uint64          `cbor:"4,keyasint"` // in which Runs was taken
	UnplannedStarts int             `cbor:"5,keyasint"` // with Runs that nobody asked for
	EndedCleanly    bool            `cbor:"6,keyasint"` // the last life ended as it was told to
	FailedEpoch     uint64          `cbor:"7,keyasint"` // turn in which Number could not be taken
	FailedNumber    uint64          `cbor:"8,keyasint"`
	FailureReason   string          `cbor:"9,keyasint"`
}

type restartAttempt struct {
	Target       *rollout.Change `cbor:"1,keyasint"` // nil for the own files
	Epoch        uint64          `cbor:"2,keyasint"`
	Starts       int             `cbor:"3,keyasint"` // starts into it
	ReadyTimeout int64           `cbor:"4,keyasint"`
}

func numberOf(c *rollout.Change) uint64 {
	if c == nil {
		return 0
	}
	return c.Number
}

// MissingStoreError is an installation that takes part in changes and keeps nothing on disk.
type MissingStoreError struct{}

func (*MissingStoreError) Error() string { return "fleet.rollout without fleet.store" }

// Advice tells an operator what to do.
func (*MissingStoreError) Advice() string {
	return "Name a file in `fleet.store`: an instance has to know after a crash what it was running."
}

// ProgramVersionError is a program that is not the one that a change means.
type ProgramVersionError struct{ Path, Want, Got string }

func (e *ProgramVersionError) Error() string {
	return fmt.Sprintf("%s tells version %.80q, not %q", e.Path, e.Got, e.Want)
}

// Advice tells an operator what to do.
func (e *ProgramVersionError) Advice() string {
	return "Put the program that the change means at its path on every instance, or mend program.version in a change with a new number."
}

// rolloutRunner is this instance's part in changes in rolloutRunner.
type rolloutRunner struct {
	*sharing
	keeper            *os.File
	ln                net.Listener
	state             rolloutState
	missed            bool // the store was not there in time: what it keeps is not known, and is left as it is
	isStateKnown      bool // what the last life promised is known: it ended as it was told to
	controller        *rollout.Controller
	site              residency.Site // of the plan
	counters          searchCounters
	inside            chan net.Conn            // to it from within, past the socket: another process may hold that too
	own               *coordinator.Persistence // what is kept beside, nil for nothing
	isOverlapPossible bool                     // nothing but the socket, the store and the network is held
	stop              context.CancelFunc       // the serving
	done              chan struct{}
}

// hasRollout tells whether an installation takes part in changes.
func hasRollout(file *config.File) bool { return file.Fleet != nil && file.Fleet.RolloutFile != "" }

// checkChangeFile looks at the change file that an installation names, if there is one now, and at what it needs.
func checkChangeFile(file *config.File) error {
	if file.Fleet.StoreFile == "" {
		return &MissingStoreError{}
	}
	text, err := os.ReadFile(file.Fleet.RolloutFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		_, err = rollout.ParseChangeFile(file.Fleet.RolloutFile, text)
	}
	return err
}

var errReplaced = errors.New("another program takes over")

// newRolloutRunner finds out what this process is to run. errReplaced: another program is, and the keeper starts it.
func newRolloutRunner(s *sharing) (*rolloutRunner, error) {
	if s.file.StoreFile == "" {
		return nil, &MissingStoreError{}
	}
	st := &rolloutRunner{sharing: s, inside: make(chan net.Conn), done: make(chan struct{})}
	var err error
	if st.keeper, st.ln, err = openSupervisorFiles(); err != nil {
		return nil, err
	}
	select {
	case <-s.opened:
	case <-time.After(openWait): // guards against a disk that hangs: searches go first
	}
	select {
	case <-s.shared.Ready(): // what was promised before is known
	case <-time.After(openWait):
	}
	st.load()
	if t := st.state.Attempt; t != nil {
		switch fell := os.Getenv(failureEnv); {
		case fell != "":
			st.fail(numberOf(t.Target), t.Epoch, fell)
		case t.Starts >= triesMost:
			st.fail(numberOf(t.Target), t.Epoch, fmt.Sprintf("ended %d times before it served", t.Starts))
		default:
			t.Starts++
		}
	} else {
		if !st.state.EndedCleanly {
			st.state.UnplannedStarts++
		}
		if st.state.UnplannedStarts > startsMost && st.state.Running != nil { // guards against a crash loop too quick to be talked about
			st.fail(st.state.Running.Number, st.state.RunningEpoch, fmt.Sprintf("started %d times by itself", st.state.UnplannedStarts))
			st.state.Running, st.state.Previous, st.state.UnplannedStarts = st.state.Previous, nil, 0
		}
	}
	st.state.EndedCleanly = false
	st.save()
	program := os.Getenv(installedProgramEnv)
	if c := st.runningChange(); c != nil && c.Program.Path != "" {
		program = c.Program.Path
	}
	if program != os.Getenv(programEnv) {
		ready := openWait
		if t := st.state.Attempt; t != nil {
			t.Starts-- // the start that counts is the next
			ready = time.Duration(t.ReadyTimeout) * tenth
		}
		st.state.EndedCleanly = true
		st.save()
		if err := notifySupervisor(st.keeper, supervisorMessage{Next: &successor{program, ready, true}}); err != nil {
			return nil, err
		}
		return nil, errReplaced
	}
	return st, nil
}

const tenth = 100 * time.Microsecond

// runningChange is the change that this process runningChange, nil for the own files.
func (st *rolloutRunner) runningChange() *rollout.Change {
	if st.state.Attempt != nil {
		return st.state.Attempt.Target
	}
	return st.state.Running
}

func (st *rolloutRunner) fail(number, turn uint64, why string) {
	st.log.Error("rollout_not_applied", advice.LogAttrs(&rollout.ChangeNotAppliedError{Number: number, Reason: why})...)
	st.state.Attempt, st.state.FailedNumber, st.state.FailedEpoch, st.state.FailureReason = nil, number, turn, why
}

func (st *rolloutRunner) load() {
	select {
	case <-st.opened:
	default:
		st.missed = true
		return
	}
	if st.store == nil {
		return
	}
	text, found, err := st.store.Get(rolloutBucket, standingKey)
	if err == nil && found {
		err = cbor.Unmarshal(text, &st.state)
	}
	if err != nil {
		st.state = rolloutState{}
		st.log.Error("rollout_store", advice.LogAttrs(err, "path", st.file.StoreFile)...)
		return
	}
	if st.isStateKnown = found && st.state.EndedCleanly; !found { // a crash may have cut off the last words to the disk
		st.state.EndedCleanly = true
	}
}

// save has what is known on the disk; an instance that cannot keep it takes no step.
func (st *rolloutRunner) save() error {
	select {
	case <-st.opened:
	default:
		return context.DeadlineExceeded
	}
	if st.missed {
		return context.DeadlineExceeded
	}
	if st.store == nil {
		return &MissingStoreError{}
	}
	text, err := cbor.Marshal(st.state)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), keepWait)
	defer stop()
	err = st.store.Put(ctx, rolloutBucket, map[string][]byte{standingKey: text}, nil)
	if err != nil {
		st.log.Error("rollout_store", advice.LogAttrs(err, "path", st.file.StoreFile)...)
	}
	return err
}

// PlanMismatchError is a change whose settings do not fit this instance's plan.
type PlanMismatchError struct {
	Number  uint64
	Setting string
	Why     string
}

func (e *PlanMismatchError) Error() string {
	return fmt.Sprintf("change %d does not fit this plan: %s %s", e.Number, e.Setting, e.Why)
}

// Advice tells an operator what to do.
func (e *PlanMismatchError) Advice() string {
	return "Give all instances plans with the same classes and tenants in the same order, or take the change back; `Name` beside a setting of a class or tenant says which is meant."
}

// checkPlan looks whether a change's settings mean what this instance's plan has at their places.
func (st *rolloutRunner) checkPlan(c *rollout.Change) error {
	if c == nil {
		return nil
	}
	wrong := config.MisplacedSettings(c.Settings, st.site.Classes, st.site.Tenants)
	for _, name := range slices.Sorted(maps.Keys(wrong)) { // the same fault each time
		return &PlanMismatchError{c.Number, name, wrong[name]}
	}
	return nil
}

// applyTo puts the change that runs over an installation's settings.
func (st *rolloutRunner) applyTo(file *config.File, plan *coordinator.Plan) (*coordinator.Plan, error) {
	st.counters.aims = plan.LatencyObjectives() // both sides are held against the same
	st.site = plan.ResidencySite()
	c := st.runningChange()
	if err := st.checkPlan(c); err != nil {
		return nil, err
	}
	if c == nil {
		return plan, nil
	}
	over := config.FlattenSettings(file.Settings)
	maps.Copy(over, c.Settings)
	return plan.WithSettings(over)
}

// startServing is the context of the startServing: it ends for a step too. means is given what counts for the comparison.
func (st *rolloutRunner) startServing(ctx context.Context, means *coordinator.Options) context.Context {
	ctx, st.stop = context.WithCancel(ctx)
	st.isOverlapPossible = (means.Peers == nil || means.Peers.Listener == nil) && len(means.Frontends) == 0
	st.own = means.Persistence
	means.Listener, means.OnSearchEnd = newDoorway(st.ln, st.inside), st.counters.ended
	dial := means.Dial
	means.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		st.counters.connects.Add(1)
		return dial(ctx, network, addr)
	}
	go st.run(ctx)
	return ctx
}

// stopServing is the stopServing of a life that was told to stopServing.
func (st *rolloutRunner) stopServing() {
	if st.stop == nil { // it never served
		return
	}
	st.stop()
	<-st.done
	if st.handing { // it has said so before
		return
	}
	st.state.EndedCleanly = true
	st.save()
}

// run looks again and again until the serving ends.
func (st *rolloutRunner) run(ctx context.Context) {
	defer close(st.done)
	me := st.book.Self()
	st.controller = rollout.New(rollout.InitialState{
		Self: rollout.Instance{Name: me.Name, Region: me.Region, Zone: me.Zone}, Incarnation: me.Incarnation,
		Members: st.file.VotingMembers, RunningNumber: numberOf(st.runningChange()), FailedEpoch: st.state.FailedEpoch, FailedNumber: st.state.FailedNumber, FailureReason: st.state.FailureReason,
		UnplannedRestarts: st.state.UnplannedStarts, NoSavedState: !st.isStateKnown, Now: st.clock(),
	})
	stirred, unwatch := st.shared.Watch(rollout.KeyPrefix)
	defer unwatch()
	serves := make(chan struct{})
	go st.awaitServing(ctx, serves)
	seen := map[string]uint64{}
	var text []byte
	looked := time.Time{}
	for {
		select {
		case <-serves: // once: nil is never ready
			serves = nil
			st.taken()
		default:
		}
		if time.Since(looked) > fileEach {
			looked = time.Now()
			text = st.read(text)
		}
		now := st.clock()
		var news []crdt.Entry
		st.shared.ScanPrefix(rollout.KeyPrefix, func(e crdt.Entry) bool {
			if sum := sumOf(e); seen[e.Name] != sum {
				seen[e.Name] = sum
				news = append(news, e)
			}
			return true
		})
		for _, e := range news {
			for _, one := range e.Siblings {
				if one.Deleted {
					continue
				}
				if err := st.controller.HandleEntry(now, e.Name, one.Value); err != nil {
					st.log.Warn("rollout_entry", advice.LogAttrs(err)...)
				}
			}
		}
		var places []rollout.Instance
		for _, m := range st.book.Members() {
			places = append(places, rollout.Instance{Name: m.Name, Region: m.Region, Zone: m.Zone})
		}
		st.controller.SetInstances(places, st.book.NameConflicts())
		st.controller.SetStats(st.counters.now())
		out := st.controller.Decide(now)
		for name, value := range out.Put {
			if _, err := st.shared.Put(name, value); err != nil {
				st.log.Warn("rollout_put", advice.LogAttrs(err, "name", name)...)
			}
		}
		for _, name := range out.Delete {
			if _, err := st.shared.Delete(name); err != nil {
				st.log.Warn("rollout_put", advice.LogAttrs(err, "name", name)...)
			}
		}
		for _, n := range out.Events {
			if n.Err != nil {
				st.log.Warn(n.Name, advice.LogAttrs(n.Err, n.Attrs...)...)
			} else {
				st.log.Info(n.Name, n.Attrs...)
			}
		}
		if out.Restart != nil {
			if err := st.restart(ctx, out.Restart); err != nil {
				st.log.Error("rollout_not_applied", advice.LogAttrs(err, "number", out.Restart.TargetNumber)...)
				st.controller.RecordRestartFailure(err.Error())
			} else {
				st.stop()
				return
			}
		}
		wait := min(max(time.Duration(out.NextDecisionAt-now)*tenth, lookLeast), lookMost)
		select {
		case <-time.After(lookLeast):
		case <-ctx.Done():
			return
		}
		select {
		case <-stirred:
		case <-serves:
		case <-time.After(wait - lookLeast):
		case <-ctx.Done():
			return
		}
	}
}

// sumOf tells states of an entry apart.
func sumOf(e crdt.Entry) uint64 {
	sum := xxhash.New()
	for _, one := range e.Siblings {
		fmt.Fprint(sum, one.Dot, one.Deleted)
	}
	return sum.Sum64()
}

// taken ends a step that went well.
func (st *rolloutRunner) taken() {
	if t := st.state.Attempt; t != nil {
		st.state.Previous, st.state.Running, st.state.RunningEpoch, st.state.Attempt = st.state.Running, t.Target, t.Epoch, nil
		st.state.UnplannedStarts, st.state.FailedEpoch, st.state.FailedNumber, st.state.FailureReason = 0, 0, 0, ""
	}
	st.save()
	if err := notifySupervisor(st.keeper, supervisorMessage{Serving: true}); err != nil {
		st.log.Error("rollout_supervisor", "error", err)
	}
	me := st.book.Self()
	me.SettingsGeneration = numberOf(st.state.Running)
	if err := st.node.UpdateSelf(me); err != nil {
		st.log.Warn("rollout_put", advice.LogAttrs(err, "name", me.Name)...)
	}
	st.controller.MarkServing(st.clock())
	st.log.Info("rollout_serving", "number", numberOf(st.state.Running), "previous", numberOf(st.state.Previous))
}

// restart has this process followed by one that runs the change.
func (st *rolloutRunner) restart(ctx context.Context, s *rollout.Restart) error {
	if err := st.checkPlan(s.Change); err != nil {
		return err
	}
	program := os.Getenv(installedProgramEnv)
	if s.Change != nil && s.Change.Program.Path != "" {
		program = s.Change.Program.Path
		got, err := versionOf(ctx, program)
		if err != nil {
			return &ProgramVersionError{program, s.Change.Program.Version, err.Error()}
		}
		if !strings.HasPrefix(got, s.Change.Program.Version) {
			return &ProgramVersionError{program, s.Change.Program.Version, got}
		}
	}
	st.state.Attempt = &restartAttempt{Target: s.Change, Epoch: s.Epoch, ReadyTimeout: s.ReadyTimeout}
	st.state.EndedCleanly = true
	if err := st.save(); err != nil {
		st.state.Attempt = nil
		return err
	}
	st.handing = true
	st.stop()
	if st.isOverlapPossible { // the next begins while this one answers what it holds
		time.Sleep(lastWrite)
		st.leave()
		if st.own != nil {
			st.own.Close()
		}
	}
	return notifySupervisor(st.keeper, supervisorMessage{Next: &successor{program, time.Duration(s.ReadyTimeout) * tenth, !st.isOverlapPossible}})
}

// awaitServing asks this instance itself until it serves.
func (st *rolloutRunner) awaitServing(ctx context.Context, serves chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			here, there := net.Pipe()
			select {
			case st.inside <- there:
				return here, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://inside/healthz", nil)
		if err == nil {
			if res, err := client.Do(req); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					close(serves)
					return
				}
			}
		}
		select {
		case <-time.After(serveEach):
		case <-ctx.Done():
			return
		}
	}
}

// doorway is a listener that takes connections from within too.
type doorway struct {
	net.Listener
	inside <-chan net.Conn
	taken  chan took
}

type took struct {
	conn net.Conn
	err  error
}

func newDoorway(ln net.Listener, inside <-chan net.Conn) *doorway {
	d := &doorway{Listener: ln, inside: inside, taken: make(chan took)}
	go func() {
		for {
			conn, err := ln.Accept()
			d.taken <- took{conn, err} // what was taken before the close is answered too
			if errors.Is(err, net.ErrClosed) {
				return
			}
		}
	}()
	return d
}

func (d *doorway) Accept() (net.Conn, error) {
	select {
	case t := <-d.taken:
		return t.conn, t.err
	case conn := <-d.inside:
		return conn, nil
	}
}

// read looks at the change file; what cannot be used is told once and changes nothing.
func (st *rolloutRunner) read(before []byte) []byte {
	text, err := os.ReadFile(st.file.RolloutFile)
	if errors.Is(err, os.ErrNotExist) {
		st.controller.SetFile(nil)
		return nil
	}
	if err != nil {
		if before != nil {
			st.log.Warn("rollout_file", advice.LogAttrs(&rollout.InvalidChangeFileError{Path: st.file.RolloutFile, Err: err})...)
		}
		return nil
	}
	if bytes.Equal(text, before) {
		return before
	}
	f, err := rollout.ParseChangeFile(st.file.RolloutFile, text)
	if err != nil {
		st.log.Warn("rollout_file", advice.LogAttrs(err)...)
		return text
	}
	st.log.Info("rollout_file", "change", f.Change.Name, "number", f.Change.Number, "order", f.Order, "turn", f.Epoch)
	st.controller.SetFile(f)
	return text
}

// searchCounters are counted by the owner as searches end, and read beside it.
type searchCounters struct {
	connects atomic.Uint64
	classes  [rollout.MaxClasses]struct {
		asked, served, late, shed atomic.Uint64
		times                     [rollout.LatencyBucketCount]atomic.Uint64
		subs                      [rollout.SubRequestBucketCount]atomic.Uint64
	}
	aims []time.Duration // by when answers of each class are in time
}

// ended is the owner's: it waits for nothing.
func (s *searchCounters) ended(e coordinator.SearchEnd) {
	if e.Type < 0 || e.Type >= len(s.classes) {
		return
	}
	c := &s.classes[e.Type]
	c.asked.Add(1)
	c.subs[rollout.SubRequestBucket(e.Attempts)].Add(1)
	switch e.Outcome {
	case coordinator.OutcomeAnswered:
		c.served.Add(1)
		c.times[rollout.LatencyBucket(int64(e.Duration/tenth))].Add(1)
		if e.Type < len(s.aims) && e.Duration > s.aims[e.Type] {
			c.late.Add(1)
		}
	case coordinator.OutcomeShed:
		c.shed.Add(1)
	}
}

// now is how they stand. Those that went well are read first, so that they are never more than were asked.
func (s *searchCounters) now() rollout.InstanceStats {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	all := rollout.InstanceStats{Connections: s.connects.Load(), MemoryBytes: sample[0].Value.Uint64(), Classes: make([]rollout.ClassStats, max(1, min(len(s.aims), len(s.classes))))}
	for i := range all.Classes {
		from, c := &s.classes[i], &all.Classes[i]
		c.Late, c.Shed, c.Served = from.late.Load(), from.shed.Load(), from.served.Load()
		for b := range c.Latencies {
			c.Latencies[b] = from.times[b].Load()
		}
		for b := range c.SubRequests {
			c.SubRequests[b] = from.subs[b].Load()
		}
		c.Requests = from.asked.Load()
	}
	return all
}
