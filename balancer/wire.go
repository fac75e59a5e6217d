package balancer

// Names and values used by protocols and settings. They are fixed by the wire format and by the settings schema; the
// rest of the package refers to them by these constants.

// Outcomes of an attempt, as passed to RecordAttemptOutcome. Any other outcome means only that the request did not run.
const (
	OutcomeOK           = "Ok"           // the replica answered
	OutcomeCanceled     = "Canceled"     // CancelAttempt took effect
	OutcomeTimedOut     = "TimedOut"     // no answer within the attempt's timeout
	OutcomeFailed       = "Failed"       // the replica answered with an error
	OutcomeQueueFull    = "QueueFull"    // the replica rejected the request before running it
	OutcomeConnectError = "ConnectError" // no connection could be made
	OutcomeResetByPeer  = "ResetByPeer"  // the connection was dropped after the request was sent
)

// Kinds of endpoint lists, as passed to CommitEndpoints.
const (
	ListComplete  = "Complete"  // the whole list: replicas missing from it have left
	ListPersisted = "Persisted" // the whole list as it was last stored
	ListPartial   = "Partial"   // changed entries only
	ListError     = "Error"     // the list service failed; entries are ignored
)

// StatusHealthy is the only endpoint status under which a replica may be used.
const StatusHealthy = "healthy"

// reportRetryAfter is the key, in an attempt's report, of the wait in milliseconds that the replica asked for.
const reportRetryAfter = "RetryAfter"

// Effects of a query type: whether a request that may have run may be sent again.
const (
	effectRetryable = "retryable" // idempotent: may always be sent again
	effectDedup     = "dedup"     // carries an idempotency key that holds for the type's repeat window
	effectFragile   = "fragile"   // not idempotent: never sent again once it may have run
)

// discoverySubscribe is the value of settingDiscovery that requires the endpoint list to be watched.
const discoverySubscribe = "subscribe"

// Names of settings that hold a single value.
const (
	settingBalancers  = "Balancers" // number of coordinators that share the replicas
	settingDiscovery  = "Discovery"
	settingTick       = "Tick" // duration
	settingQueryTypes = "Classes.count"
	settingTenants    = "Tenants.count"

	settingShardSets      = "Specifics.Sets"    // number of shard sets
	settingSetsPerReplica = "Specifics.Reach"   // consecutive shard sets that one replica holds
	settingBatchSize      = "Specifics.PerCall" // shard requests that share one call

	settingMaxAttempts   = "Permissions.MaxAttempts" // of one shard request, the first included
	settingHedging       = "Permissions.SecondCopies"
	settingCancelling    = "Permissions.Cancelling"
	settingRetryAfter    = "Permissions.RetryAfter"
	settingMaxRetryAfter = "Permissions.MaxRetryAfter" // duration

	settingBudgetWindow   = "Safety.LookBack"     // duration; 0 for no retry budget
	settingBudgetFloor    = "Safety.ExtraFloor"   // retries per window that are always allowed
	settingBudgetRatio    = "Safety.FurtherRatio" // retries allowed for each request of the window
	settingSlowStart      = "Safety.Cold"         // duration of a replica's slow start
	settingSlowStartFrom  = "Safety.ColdFrom"     // share of its full capacity that a replica has right after its start
	settingOverloadFactor = "Safety.FallMultiple" // load, as a multiple of its capacity, under which a replica crashes
	settingWatchWithin    = "Safety.AskWithin"    // duration within which a failed watch must be restarted
)

// Names of settings that hold a comma-separated list with one number for each query type.
const (
	settingNeededWeight   = "Specifics.NeedByClass" // share of a complete answer
	settingMinWeight      = "Specifics.ClassFloor"  // smallest share of a complete answer that may be returned
	settingSecondStepSize = "Specifics.FollowUp"    // shard requests of a second step; 0 for none
)

// Lists of settings objects, and their fields.
const (
	listQueryTypes = "Classes"
	listTenants    = "Tenants"

	fieldEffect       = "Effect"
	fieldObjective    = "Aim"          // duration: latency objective
	fieldDeadline     = "Deadline"     // duration: timeout of the type's clients
	fieldLateShare    = "LateShare"    // value of an answer after the objective, relative to one before it
	fieldRepeatWindow = "RepeatWindow" // duration for which an idempotency key holds
	fieldQuota        = "QuotaPerS"    // searches per second that a tenant may send, 0 for unlimited
)
