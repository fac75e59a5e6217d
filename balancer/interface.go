package balancer

// Balancer is what a protocol calls. Times are whole tenths of a millisecond, ids are the protocol's
// own. A turn is: Clock, any number of the calls between, EndIteration. One goroutine at a time.
type Balancer interface {
	// BeginIteration starts a turn at the time now.
	BeginIteration(now int64)
	// Configure hands over the settings and the seed of this co-ordinator's chance; a list follows.
	Configure(seed int64, settings map[string]string)
	// AddEndpoint gives one replica of the list that CommitEndpoints closes.
	AddEndpoint(replica string, zone, kind, cell int, status string, units float64, since int64)
	// CommitEndpoints says how the entries are meant: Complete, Persisted, Partial or Error.
	CommitEndpoints(how string, revision int64)
	// AddSearch takes a search of count parts, which follow with its number.
	AddSearch(id uint64, qtype, tenant int, key string, grace int64, number uint64, count int, retry bool)
	// AddShardRequest takes a part of the search with that number, on a shard, with its weight in the step.
	AddShardRequest(id, number uint64, shard int, weight float64)
	// RestrictReplicas hands in what bounds an open search, nil for nothing: from then on its parts run on such replicas alone,
	// whatever sends them, and what is out elsewhere is called off. lacks is told of each part that no such replica
	// holds, and says whether the search is to end with an error for it; otherwise the part is lost. Told again after
	// each change of what May says, and of the list.
	RestrictReplicas(search uint64, to *ReplicaRestriction, lacks func(shard int) (end bool))
	// CancelSearch says that the client has left.
	CancelSearch(search uint64)
	// RecordAttemptOutcome tells how a sub-request ended after wait; over says that the part needs no more. A report's RetryAfter, in
	// milliseconds, is when a replica that refused wants to be asked again.
	RecordAttemptOutcome(part uint64, leg int, ending string, wait int64, over bool, report map[string]float64)
	// RecordProbeResult tells what a probe found.
	RecordProbeResult(replica, ending string, wait int64, report map[string]float64)
	// HandleTimer is a wake-up that was asked for.
	HandleTimer(label uint64)
	// ExportObservations hands out what was found first hand, from the replica at a place on and so many of them; it
	// returns where to go on, 0 at the end of the list.
	ExportObservations(from, most int, tell func(b Observation)) (next int)
	// ImportObservation takes in what was heard of the fleet, a zone or a replica, in the place of what was heard before.
	ImportObservation(h GossipedObservation)
	// SetUtilization tells how much of the room for searches and their answers is in use: at 1 none is left, and what waits is
	// turned away.
	SetUtilization(share float64)
	// EndIteration closes the turn: what waits is looked at once more.
	EndIteration()
}

// ReplicaRestriction are one value for all searches that may use the same replicas, for as long as that is so: May is asked once for
// each shard and replica of a list.
type ReplicaRestriction struct {
	Allows func(shard int, replica string) bool

	group int // the module's, from the first Bind on
}

// Actions is what the module asks of the protocol.
type Actions interface {
	// SendAttempt starts a sub-request; those of a part are numbered from 0 in the order of SendAttempt.
	SendAttempt(part uint64, replica string, timeout int64)
	// CancelAttempt stops waiting for a sub-request.
	CancelAttempt(part uint64, leg int)
	// AnswerSearch, Shed and Error are the final answers; a first AnswerSearch of a two-step search brings more parts.
	AnswerSearch(search uint64, whole bool)
	ShedSearch(search uint64, retryIn int64)
	FailSearch(search uint64)
	// SetTimer asks for Timer after a while.
	SetTimer(wait int64, label uint64)
	// CancelTimer takes a Wake back; Timer does no harm where it comes all the same.
	CancelTimer(label uint64)
	// ProbeReplica asks a replica for its state.
	ProbeReplica(replica string)
	// WatchEndpoints subscribes to list changes.
	WatchEndpoints()
	// LogMessage adds a line for the operators.
	LogMessage(text string)
}

// What a Belief or Heard is of.
const (
	ScopeReplica = iota
	ScopeZone
	ScopeFleet
)

// ShortWindow and LongWindow are the e-fold times of the two memories, in tenths of a millisecond: what was heard goes
// on decaying by them on its way.
const (
	ShortWindow = shortWindow
	LongWindow  = longWindow
)

// DecayingMean is a decayed count and a mean: of the logarithms of answer times in tenths of a millisecond, or, where it
// was heard, of their logarithms over the usual one's.
type DecayingMean struct{ Weight, Mean float64 }

// Observation is what own sub-requests have shown, as it is now.
type Observation struct {
	Scope                      int
	Replica                    string
	Zone                       int
	ReplicaStart               int64        // the replica's start, as the list has it
	ShortWindow, LongWindow    DecayingMean // short and long memory; of the fleet, the usual and the shortest answer time
	ConsecutiveFailures        int          // errors or refusals in a row
	ConsecutiveConnectFailures int          // connects that failed in a row
	UnansweredRequests         int          // parts unanswered
	SilentFor                  int64        // for how long
	LastAnswerAge              int64        // of its last answer, -1 for none
	Outlier                    bool         // it is a suspect here
}

// GossipedObservation is what is told of another's Belief, weighed: of a replica or zone, how much slower than usual it is.
type GossipedObservation struct {
	Scope                         int
	Replica                       string
	Zone                          int
	ReplicaStart                  int64
	ShortWindow, LongWindow       DecayingMean
	Outlier                       bool
	OutlierDuration               int64   // how long Bad may count
	FleetLatency, ShortestLatency float64 // of the fleet, in tenths of a millisecond, 0 for unknown
}
