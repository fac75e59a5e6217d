package rollout

// Restart is a restart that the instance has to make now.
type Restart struct {
	TargetNumber uint64  // number of Change
	Change       *Change // change to run after it, nil for the instance's own files
	Epoch        uint64
	ReadyTimeout int64 // time within which the new process has to serve
}

// Decision is what the caller of Decide has to do.
type Decision struct {
	Put            map[string][]byte // entries to write, by key
	Delete         []string          // keys of entries to remove
	Restart        *Restart          // nil for none
	Events         []LogEvent
	NextDecisionAt int64 // latest time of the next call of Decide
}

// InitialState is what an instance knows about itself when its process starts.
type InitialState struct {
	Self              Instance
	Incarnation       uint64   // higher than at every earlier start
	Members           []string // the voting members
	RunningNumber     uint64   // of the change that the process runs, 0 for its own files
	FailedEpoch       uint64   // epoch in which it could not apply the change FailedNumber, 0 for none
	FailedNumber      uint64
	FailureReason     string // why it could not
	UnplannedRestarts int    // with the change that it runs
	NoSavedState      bool   // the disk may lack votes and permits of earlier incarnations
	Now               int64
}

// Controller makes the decisions of one instance. It is not safe for concurrent use: one goroutine calls all its
// methods. Its memory is bounded by maxInstances status messages, maxChanges changes and one RegressionAnalysis.
type Controller struct {
	initial InitialState
	now     int64 // latest time that was passed in; it never goes back

	members       map[string]bool     // names of the voting members
	instances     map[string]Instance // locations by name
	nameConflicts map[string]bool     // names that two instances claim; they have no vote
	peers         map[string]*peerStatus
	registry      registry
	changeFile    *ChangeFile
	view          []memberView // the voting members as this call of Decide sees them

	active        *activeChange // nil before the first change
	status        StatusMessage // of this instance
	statusChanged bool          // since it was last published
	publishedAt   int64         // time of the last publication
	stats         *InstanceStats
	servingSince  int64 // when it began to serve with what it runs, notServing before
	restarting    bool  // a restart was decided and is not known to have failed
	failureReason string
	permits       permits
	loggedOnce    map[string]bool
	decision      Decision
}

// notServing is the value of servingSince and of StatusMessage.ServingFor before an instance serves.
const notServing = -1

// peerStatus is the newest status message of another instance.
type peerStatus struct {
	StatusMessage
	receivedAt int64
}

// New returns a Controller for a process that starts.
func New(initial InitialState) *Controller {
	c := &Controller{
		initial: initial, now: initial.Now, failureReason: initial.FailureReason, servingSince: notServing,
		members: map[string]bool{}, instances: map[string]Instance{}, nameConflicts: map[string]bool{},
		peers: map[string]*peerStatus{}, registry: newRegistry(), permits: newPermits(), loggedOnce: map[string]bool{},
	}
	for _, name := range initial.Members {
		c.members[name] = true
	}
	c.instances[initial.Self.Name] = initial.Self
	c.status = StatusMessage{
		Instance: initial.Self, Incarnation: initial.Incarnation, RunningNumber: initial.RunningNumber,
		ServingFor: notServing, UnplannedRestarts: initial.UnplannedRestarts,
	}
	return c
}

// SetFile sets the operator's change file as last read, nil for none.
func (c *Controller) SetFile(file *ChangeFile) { c.changeFile = file }

// SetInstances sets the locations of the instances that are known, and the names that two of them claim. An instance
// whose name is claimed twice has no vote.
func (c *Controller) SetInstances(instances []Instance, nameConflicts []string) {
	for _, instance := range instances {
		if _, known := c.instances[instance.Name]; known || len(c.instances) < maxInstances {
			c.instances[instance.Name] = instance
		}
	}
	clear(c.nameConflicts)
	for _, name := range nameConflicts {
		c.nameConflicts[name] = true
	}
}

// MarkServing records that the instance has begun to answer clients with the change that it runs.
func (c *Controller) MarkServing(now int64) {
	if c.servingSince < 0 {
		c.servingSince, c.statusChanged = now, true
	}
}

// RecordRestartFailure records that the restart of the last Decision failed before the process ended. The instance
// still runs what it ran before.
func (c *Controller) RecordRestartFailure(reason string) {
	c.restarting, c.statusChanged = false, true
	c.status.PermitRequest = PermitRequest{}
	c.status.FailedEpoch = c.status.Verdict.Epoch
	c.failureReason = reason
}

// SetStats sets the instance's counters since it began to serve. They are published once it is warmed up.
func (c *Controller) SetStats(stats InstanceStats) { c.stats = &stats }

// Decide returns what the caller has to do at a time, from all that has been recorded so far. The caller does it before
// it calls any other method.
func (c *Controller) Decide(now int64) Decision {
	c.now = max(c.now, now)
	c.decision = Decision{Put: map[string][]byte{}}
	previousGrants := c.status.PermitGrants
	c.updateView()
	c.publishChangeFile()
	c.activateHighestChange()
	if c.active != nil {
		c.updateView() // the change's silence timeout decides which status messages are fresh
		c.adoptVerdicts()
		c.updateServingTime()
		c.checkForRegression()
		c.voteForRoster()
		c.active.openSteps = c.countOpenSteps()
		c.voteForNextStep()
		c.grantPermits()
		c.decideRestart()
	}
	c.publishStatus(previousGrants)
	c.decision.NextDecisionAt = c.now + c.statusInterval()/2
	return c.decision
}
