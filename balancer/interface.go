package balancer

// Balancer receives the events of one coordinator. Times are whole tenths of a millisecond; ids are chosen by the
// protocol. An iteration is BeginIteration, any number of the other calls, and EndIteration. Only one goroutine may
// call it at a time.
type Balancer interface {
	// BeginIteration starts an iteration at the time now, which must not be earlier than that of the previous one.
	BeginIteration(now int64)
	// Configure sets the settings and the seed of the random numbers. It must be called before anything else, and an
	// endpoint list must follow. It panics on a setting that is missing or cannot be parsed, as do later calls that
	// need one.
	Configure(seed int64, settings map[string]string)
	// AddEndpoint adds an entry to the list that the next CommitEndpoints closes. A status other than StatusHealthy
	// keeps new requests away from the replica. shardSet is the last of the consecutive shard sets that the replica
	// holds; startedAt is the start of its current incarnation, 0 if unknown.
	AddEndpoint(replica string, zone, kind, shardSet int, status string, capacity float64, startedAt int64)
	// CommitEndpoints applies the added entries. The kind is ListComplete, ListPersisted, ListPartial or ListError.
	CommitEndpoints(kind string, revision int64)
	// AddSearch adds a search with requestCount shard requests, which are added afterwards under the same number.
	// timeLeft is how long its client still waits; isRetry says that the client has sent it before.
	AddSearch(id uint64, queryType, tenant int, key string, timeLeft int64, number uint64, requestCount int, isRetry bool)
	// AddShardRequest adds a shard request to the current step of the search with that number. The weight is its share
	// of the complete answer.
	AddShardRequest(id, number uint64, shard int, weight float64)
	// RestrictReplicas restricts an open search to some replicas; nil removes the restriction. From then on its
	// requests run on those replicas alone, and attempts in flight elsewhere are cancelled. onUnavailable is called for
	// each shard that none of them holds, and returns whether the search is to end with an error for that; otherwise
	// the request is lost. Call RestrictReplicas again after each change of the list and of what Allows returns.
	RestrictReplicas(search uint64, restriction *ReplicaRestriction, onUnavailable func(shard int) (end bool))
	// CancelSearch reports that the client has disconnected. The search gets no final answer.
	CancelSearch(search uint64)
	// RecordAttemptOutcome reports that an attempt has ended after a wait; outcome is one of the Outcome constants.
	// isOver says that the shard request needs no more attempts. The report's RetryAfter, in milliseconds, is the time
	// after which a replica that rejected the request accepts requests again.
	RecordAttemptOutcome(request uint64, attempt int, outcome string, wait int64, isOver bool, report map[string]float64)
	// RecordProbeResult reports the result of a health check.
	RecordProbeResult(replica, outcome string, wait int64, report map[string]float64)
	// HandleTimer reports that a timer has fired. A timer that is no longer set is ignored.
	HandleTimer(label uint64)
	// ExportObservations exports what this coordinator's own attempts have shown: the fleet and zones first, then at
	// most maxReplicas replicas, starting at an index of the list; replicas without any evidence are left out. It
	// returns the index to continue at, 0 at the end of the list.
	ExportObservations(from, maxReplicas int, export func(Observation)) (next int)
	// ImportObservation imports an observation that gossip reports for the fleet, a zone or a replica. It replaces the
	// previous one.
	ImportObservation(observation GossipedObservation)
	// SetUtilization sets how much of the capacity for searches and their answers is in use. At 1 none is left, and
	// waiting searches are shed.
	SetUtilization(share float64)
	// EndIteration closes the iteration: decides again on everything that waits.
	EndIteration()
}

// ReplicaRestriction is the set of replicas that a search may use. Searches with the same set share one value for as
// long as the set is unchanged: Allows is called once for each shard and replica of a list.
type ReplicaRestriction struct {
	Allows func(shard int, replica string) bool

	id int // assigned at its first use
}

// Actions are the calls that a balancer makes to its protocol. They are made within the calls of Balancer, on their
// goroutine.
type Actions interface {
	// SendAttempt sends a shard request to a replica. The attempts of a request are numbered from 0 in the order of the
	// calls; if there is no answer within the timeout, the outcome is OutcomeTimedOut.
	SendAttempt(request uint64, replica string, timeout int64)
	// CancelAttempt stops waiting for an attempt. Its outcome is still reported.
	CancelAttempt(request uint64, attempt int)
	// AnswerSearch answers a search with the answers received so far; isComplete says whether they suffice for a
	// complete answer. The call is final, except for the first answer of a search with two steps, which is followed by
	// the shard requests of the second step.
	AnswerSearch(search uint64, isComplete bool)
	// ShedSearch gives the final answer that the search was rejected and may be sent again, after retryAfter unless
	// that is 0.
	ShedSearch(search uint64, retryAfter int64)
	// FailSearch gives the final answer that the search failed.
	FailSearch(search uint64)
	// SetTimer requests a call of HandleTimer after a wait.
	SetTimer(wait int64, label uint64)
	// CancelTimer cancels a timer. A HandleTimer call that comes nevertheless does no harm.
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

// ShortWindow and LongWindow are the e-fold times of the two windows of observations, in tenths of a millisecond.
// Exported observations continue to decay with them in transit.
const (
	ShortWindow = shortWindow
	LongWindow  = longWindow
)

// DecayingMean is a decayed count and a mean. The mean is of the logarithms of latencies in tenths of a millisecond or,
// in a GossipedObservation, of the logarithms of the ratio of latencies to the usual latency.
type DecayingMean struct{ Weight, Mean float64 }

// Observation is what this coordinator's own attempts currently show of the fleet, a zone or a replica.
type Observation struct {
	Scope                      int // one of the Scope constants
	Replica                    string
	Zone                       int
	ReplicaStart               int64        // start of the replica's incarnation, from the endpoint list
	ShortWindow, LongWindow    DecayingMean // for the fleet, ShortWindow is its usual and LongWindow its shortest latency
	ConsecutiveFailures        int          // errors, rejections and dropped connections in a row
	ConsecutiveConnectFailures int
	UnansweredRequests         int
	SilentFor                  int64 // time for which the replica has left them unanswered
	LastAnswerAge              int64 // time since its last answer, -1 if there was none
	Outlier                    bool  // it is an outlier by own evidence
}

// GossipedObservation combines the observations of other coordinators on the fleet, a zone or a replica: how much
// slower than usual it is.
type GossipedObservation struct {
	Scope                         int // one of the Scope constants
	Replica                       string
	Zone                          int
	ReplicaStart                  int64
	ShortWindow, LongWindow       DecayingMean
	Outlier                       bool
	OutlierDuration               int64   // longest time for which Outlier may count
	FleetLatency, ShortestLatency float64 // of the fleet, in tenths of a millisecond, 0 if unknown
}
