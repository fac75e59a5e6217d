package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"chalkring/config"
	"chalkring/control/residency"
	"chalkring/control/rollout"
	"chalkring/coordinator"
	"chalkring/coordinator/plan"
	"chalkring/endpoints/hostfile"
	"chalkring/internal/advice"
)

const (
	rolloutStoreTimeout = 10 * time.Second // for the store at a start: the instance has to know what it runs
	replacementTimeout  = 10 * time.Second // for another program to serve that replaces this one without an attempt
	maxAttemptStarts    = 2                // starts of an attempt that do not serve before it is given up
	maxUnplannedStarts  = 5                // unplanned starts with a change before an instance rolls back by itself
	minDecisionInterval = 50 * time.Millisecond
	maxDecisionInterval = time.Second // a restart should not wait for the next replicated entry

	timeUnit = 100 * time.Microsecond // of the times of package rollout
)

// errReplaced is a process that another program is to replace at once. The supervisor starts it.
var errReplaced = errors.New("another program takes over")

// rolloutRunner is this instance's part in changes in stages: it runs a rollout.Controller and carries out what it
// decides.
type rolloutRunner struct {
	*clusterInstance
	supervisor        *os.File // pipe to it
	listener          net.Listener
	localConnections  chan net.Conn // from this process to itself; the socket may be another process's too
	state             rolloutState
	isStateUnread     bool // the store was not open in time: its state is unknown and is not overwritten
	isStateKnown      bool // the store has all that an earlier process promised, since that ended cleanly
	controller        *rollout.Controller
	changeFile        changeFileReader
	seenEntries       map[string]uint64 // hashes of the replicated entries by key
	site              residency.Site    // of the plan
	counters          searchCounters
	persistence       *coordinator.Persistence // nil if nothing else is persisted
	isOverlapPossible bool                     // a successor may start while this process answers requests in flight
	cancelServing     context.CancelFunc       // ends serving; nil before it begins
	done              chan struct{}            // closed when run has returned
}

// hasRollout reports whether an installation takes part in changes in stages.
func hasRollout(file *config.File) bool { return file.Cluster != nil && file.Cluster.RolloutFile != "" }

// checkChangeFile checks the change file that an installation names, if there is one, and what changes need.
func checkChangeFile(file *config.File) error {
	if file.Cluster.StoreFile == "" {
		return &MissingStoreError{}
	}
	text, err := hostfile.ReadText(file.Cluster.RolloutFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		_, err = rollout.ParseChangeFile(file.Cluster.RolloutFile, text)
	}
	return err
}

// newRolloutRunner finds out what this process is to run. It returns errReplaced if that is another program.
func newRolloutRunner(s *clusterInstance) (*rolloutRunner, error) {
	if s.file.StoreFile == "" {
		return nil, &MissingStoreError{}
	}
	r := &rolloutRunner{
		clusterInstance: s, localConnections: make(chan net.Conn), done: make(chan struct{}), seenEntries: map[string]uint64{},
		changeFile: changeFileReader{path: s.file.RolloutFile, log: s.log},
	}
	var err error
	if r.supervisor, r.listener, err = openSupervisorFiles(); err != nil {
		return nil, err
	}
	r.awaitStore()
	r.load()
	r.recordStart()
	_ = r.save() // logged there; without it the instance serves, and restarts into no change
	if program := r.programToRun(); program != os.Getenv(programEnv) {
		return nil, r.replaceBy(program)
	}
	return r, nil
}

// awaitStore waits for the store and for the entries in it, so that what was promised before is known. A disk that hangs
// does not keep the instance from serving.
func (r *rolloutRunner) awaitStore() {
	for _, ready := range []<-chan struct{}{r.opened, r.replicator.Ready()} {
		select {
		case <-ready:
		case <-time.After(rolloutStoreTimeout):
		}
	}
}

// recordStart counts this start against the attempt or the change that runs, and gives that up after too many.
func (r *rolloutRunner) recordStart() {
	state := &r.state
	wasClean := state.EndedCleanly
	state.EndedCleanly = false
	if attempt := state.Attempt; attempt != nil {
		switch failure := os.Getenv(failureEnv); {
		case failure != "":
			r.failAttempt(numberOf(attempt.Target), attempt.Epoch, failure)
		case attempt.Starts >= maxAttemptStarts:
			r.failAttempt(numberOf(attempt.Target), attempt.Epoch, fmt.Sprintf("ended %d times before it served", attempt.Starts))
		default:
			attempt.Starts++
		}
		return
	}
	if !wasClean {
		state.UnplannedStarts++
	}
	// A crash loop may be too quick for the instances to agree on anything.
	if state.UnplannedStarts > maxUnplannedStarts && state.Running != nil {
		r.failAttempt(state.Running.Number, state.RunningEpoch, fmt.Sprintf("started %d times by itself", state.UnplannedStarts))
		state.Running, state.Previous, state.UnplannedStarts = state.Previous, nil, 0
	}
}

// programToRun is the path of the program that the change asks for.
func (r *rolloutRunner) programToRun() string {
	if change := r.runningChange(); change != nil && change.Program.Path != "" {
		return change.Program.Path
	}
	return os.Getenv(installedProgramEnv)
}

// replaceBy has the supervisor start another program in place of this one. It returns errReplaced.
func (r *rolloutRunner) replaceBy(program string) error {
	readyTimeout := replacementTimeout
	if attempt := r.state.Attempt; attempt != nil {
		attempt.Starts-- // the start of the other program counts
		readyTimeout = time.Duration(attempt.ReadyTimeout) * timeUnit
	}
	r.state.EndedCleanly = true
	_ = r.save() // logged there; the other program then finds an unplanned start
	if err := notifySupervisor(r.supervisor, supervisorMessage{Next: &successor{program, readyTimeout, true}}); err != nil {
		return err
	}
	return errReplaced
}

// checkPlan checks that a change's settings are for classes and tenants that this instance's plan has at their places.
func (r *rolloutRunner) checkPlan(change *rollout.Change) error {
	if change == nil {
		return nil
	}
	misplaced := config.MisplacedSettings(change.Settings, r.site.Classes, r.site.Tenants)
	if len(misplaced) == 0 {
		return nil
	}
	first := slices.Min(slices.Collect(maps.Keys(misplaced))) // the same error each time
	return &PlanMismatchError{change.Number, first, misplaced[first]}
}

// applyTo applies the running change's settings over those of the installation.
func (r *rolloutRunner) applyTo(file *config.File, sitePlan *plan.Plan) (*plan.Plan, error) {
	r.counters.objectives = sitePlan.LatencyObjectives() // without the change: both sides are held against the same
	r.site = sitePlan.ResidencySite()
	change := r.runningChange()
	if err := r.checkPlan(change); err != nil {
		return nil, err
	}
	if change == nil {
		return sitePlan, nil
	}
	settings := config.FlattenSettings(file.Settings)
	maps.Copy(settings, change.Settings)
	return sitePlan.WithSettings(settings)
}

// startServing starts the rollout beside the coordinator that serves by options. The returned context ends for a restart
// too. The options get the listener and the hooks that count for the comparison.
func (r *rolloutRunner) startServing(ctx context.Context, options *coordinator.Options) context.Context {
	ctx, r.cancelServing = context.WithCancel(ctx)
	r.isOverlapPossible = (options.Peers == nil || options.Peers.Listener == nil) && len(options.Frontends) == 0
	r.persistence = options.Persistence
	options.Listener = newMergedListener(r.listener, r.localConnections)
	options.OnSearchEnd = r.counters.recordSearch
	dial := options.Dial
	options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		r.counters.connections.Add(1)
		return dial(ctx, network, addr)
	}
	go r.run(ctx)
	return ctx
}

// stopServing ends the rollout of a process that was stopped as planned.
func (r *rolloutRunner) stopServing() {
	if r.cancelServing == nil {
		return
	}
	r.cancelServing()
	<-r.done
	if r.handingOver { // restart has saved that already
		return
	}
	r.state.EndedCleanly = true
	_ = r.save() // logged there; the next start then counts as unplanned
}

// run decides again and again until serving ends.
func (r *rolloutRunner) run(ctx context.Context) {
	defer close(r.done)
	r.controller = rollout.New(r.initialState())
	changed, unwatch := r.replicator.Watch(rollout.KeyPrefix)
	defer unwatch()
	serving := make(chan struct{}) // nil once it was handled
	go r.awaitServing(ctx, serving)
	for {
		select {
		case <-serving:
			serving = nil
			r.completeAttempt()
		default:
		}
		now := r.updateController()
		decision := r.controller.Decide(now)
		r.carryOut(&decision)
		if decision.Restart != nil && r.tryRestart(ctx, decision.Restart) {
			r.cancelServing()
			return
		}
		delay := time.Duration(decision.NextDecisionAt-now) * timeUnit
		select {
		case <-time.After(minDecisionInterval):
		case <-ctx.Done():
			return
		}
		select {
		case <-changed:
		case <-serving:
		case <-time.After(min(max(delay, minDecisionInterval), maxDecisionInterval) - minDecisionInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (r *rolloutRunner) initialState() rollout.InitialState {
	self := r.members.Self()
	return rollout.InitialState{
		Self: rollout.Instance{Name: self.Name, Region: self.Region, Zone: self.Zone}, Incarnation: self.Incarnation,
		Members: r.file.VotingMembers, RunningNumber: numberOf(r.runningChange()),
		FailedEpoch: r.state.FailedEpoch, FailedNumber: r.state.FailedNumber, FailureReason: r.state.FailureReason,
		UnplannedRestarts: r.state.UnplannedStarts, NoSavedState: !r.isStateKnown, Now: r.clock(),
	}
}

// completeAttempt records that this process serves, which ends an attempt well.
func (r *rolloutRunner) completeAttempt() {
	state := &r.state
	if attempt := state.Attempt; attempt != nil {
		state.Previous, state.Running, state.RunningEpoch, state.Attempt = state.Running, attempt.Target, attempt.Epoch, nil
		state.UnplannedStarts = 0
		state.FailedEpoch, state.FailedNumber, state.FailureReason = 0, 0, ""
	}
	_ = r.save() // logged there; the attempt then counts as not ended at the next start
	if err := notifySupervisor(r.supervisor, supervisorMessage{Serving: true}); err != nil {
		r.log.Error("rollout_supervisor", "error", err)
	}
	self := r.members.Self()
	self.SettingsGeneration = numberOf(state.Running)
	if err := r.node.UpdateSelf(self); err != nil {
		r.log.Warn("rollout_put", advice.LogAttrs(err, "name", self.Name)...)
	}
	r.controller.MarkServing(r.clock())
	r.log.Info("rollout_serving", "number", numberOf(state.Running), "previous", numberOf(state.Previous))
}
