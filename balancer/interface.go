package balancer

// Balancer takes the events of one coordinator. Times are whole tenths of a millisecond; ids are the protocol's own. An
// iteration is BeginIteration, any number of the other calls, and EndIteration. One goroutine at a
// time may call it.
type Balancer interface {
	// BeginIteration starts an iteration at the time now, which must not go back.
	BeginIteration(now int64)
	// Configure sets the settings and the seed of the random numbers, before anything else; a list follows. It panics on a
	// setting that is missing or cannot be parsed, as do later calls that need one.
	Configure(seed int64, settings map[string]string)
	// AddEndpoint adds an entry to the list that the next CommitEndpoints closes. A status other than StatusHealthy keeps
	// new requests away from the replica. shardSet is the last of the consecutive sets that it holds, startedAt the start of its present incarnation, 0 for unknown.
	AddEndpoint(replica string, zone, kind, shardSet int, status string, capacity float64, startedAt int64)
	// CommitEndpoints takes the added entries over. The kind is ListComplete, ListPersisted, ListPartial or ListError.
	CommitEndpoints(kind string, revision int64)
	// AddSearch adds a search with requestCount shard requests, which follow with its number. timeLeft is how long its client
	// waits; isRetry says that the client has sent it before.
	AddSearch(id uint64, queryType, tenant int, key string, timeLeft int64, number uint64, requestCount int, isRetry bool)
	// AddShardRequest adds a shard request to the present step of the search with that number. The weight is its share of the
	// complete answer.
	AddShardRequest(id, number uint64, shard int, weight float64)
	// RestrictReplicas restricts an open search to some replicas, nil for no restriction: its requests run on those alone
	// from now on, and what is in flight elsewhere is cancelled. onUnavailable is called for each shard that none of them
	// holds, and says whether the search is to end with an error for it; otherwise the request is lost. It is called again
	// after each change of the list and of what Allows returns.
	RestrictReplicas(search uint64, to *ReplicaRestriction, onUnavailable func(shard int) (end bool))
	// CancelSearch reports that the client has left. The search gets no final answer.
	CancelSearch(search uint64)
	// RecordAttemptOutcome reports the end of an attempt after a wait; outcome is one of the Outcome constants. isOver says
	// that the shard request needs no more. The report's RetryAfter, in milliseconds, is when a replica that rejected the
	// request wants to be asked again.
	RecordAttemptOutcome(request uint64, attempt int, outcome string, wait int64, isOver bool, report map[string]float64)
	// RecordProbeResult reports what a health check found.
	RecordProbeResult(replica, outcome string, wait int64, report map[string]float64)
	// HandleTimer reports that a timer has fired. One that is not set any more is ignored.
	HandleTimer(label uint64)
	// ExportObservations exports what this coordinator's own attempts have shown: the fleet and zones first, then at most
	// maxReplicas replicas from an index of the list on, those with nothing to tell left out. It returns the index to go on
	// at, 0 at the end of the list.
	ExportObservations(from, maxReplicas int, export func(Observation)) (next int)
	// ImportObservation takes in what gossip says of the fleet, a zone or a replica, in place of what it said before.
	ImportObservation(observation GossipedObservation)
	// SetUtilization sets how much of the capacity for searches and their answers is in use: at 1 none is left, and what
	// waits is shed.
	SetUtilization(share float64)
	// EndIteration closes the iteration: what waits is decided on once more.
	EndIteration()
}

// ReplicaRestriction is the set of replicas that a search may use. Searches with the same set share one value for as long
// as the set stands: Allows is called once for each shard and replica of a list.
type ReplicaRestriction struct {
	Allows func(shard int, replica string) bool

	group int // number of the set, from its first use on
}

// Actions is what a balancer asks of its protocol. It is called within the calls of Balancer, on their goroutine.
type Actions interface {
	// SendAttempt sends a shard request to a replica. The attempts of a request are numbered from 0 in the order of the
	// calls; without an answer within the timeout the outcome is OutcomeTimedOut.
	SendAttempt(request uint64, replica string, timeout int64)
	// CancelAttempt stops waiting for an attempt. Its outcome is still reported.
	CancelAttempt(request uint64, attempt int)
	// AnswerSearch answers a search with the answers so far; isComplete says whether they suffice for a complete one. It is
	// final but for the first answer of a search with two steps, which brings the shard requests of the second.
	AnswerSearch(search uint64, isComplete bool)
	// ShedSearch is the final answer that the search was rejected and may be sent again, after retryAfter if that is not 0.
	ShedSearch(search uint64, retryAfter int64)
	// FailSearch is the final answer that the search failed.
	FailSearch(search uint64)
	// SetTimer asks for HandleTimer after a wait.
	SetTimer(wait int64, label uint64)
	// CancelTimer cancels a timer; its HandleTimer does no harm if it comes all the same.
	CancelTimer(label uint64)
	// ProbeReplica starts a health check.
	ProbeReplica(replica string)
	// WatchEndpoints subscribes to changes of the endpoint list.
	WatchEndpoints()
	// LogMessage adds a line to the log.
	LogMessage(text string)
}

// Scopes of observations.
const (
	ScopeReplica = iota
	ScopeZone
	ScopeFleet
)

// ShortWindow and LongWindow are the e-fold times of the two windows of observations, in tenths of a millisecond. What is
// exported goes on decaying by them on its way.
const (
	ShortWindow = shortWindow
	LongWindow  = longWindow
)

// DecayingMean is a decayed count and a mean: of the logarithms of latencies in tenths of a millisecond or, in a
// GossipedObservation, of the logarithms of latencies over the usual one.
type DecayingMean struct{ Weight, Mean float64 }

// Observation is what this coordinator's own attempts show of the fleet, a zone or a replica at present.
type Observation struct {
	Scope                      int // one of the Scope constants
	Replica                    string
	Zone                       int
	ReplicaStart               int64        // start of the replica's incarnation, as the list has it
	ShortWindow, LongWindow    DecayingMean // of the fleet, its usual and its shortest latency
	ConsecutiveFailures        int          // errors, rejections and dropped connections in a row
	ConsecutiveConnectFailures int
	UnansweredRequests         int
	SilentFor                  int64 // time for which those have been unanswered
	LastAnswerAge              int64 // time since its last answer, -1 for none
	Outlier                    bool  // it is an outlier here
}

// GossipedObservation is what other coordinators' observations say together of the fleet, a zone or a replica: how much
// slower than usual it is.
type GossipedObservation struct {
	Scope                         int // one of the Scope constants
	Replica                       string
	Zone                          int
	ReplicaStart                  int64
	ShortWindow, LongWindow       DecayingMean
	Outlier                       bool
	OutlierDuration               int64   // longest time for which Outlier may count
	FleetLatency, ShortestLatency float64 // of the fleet, in tenths of a millisecond, 0 for unknown
}
