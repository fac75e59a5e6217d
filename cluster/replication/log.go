package replication

import (
	"time"

	"chalkring/internal/advice"
)

// Log events; docs/oncall.md describes each.
const (
	eventJob        = "replication_job"
	eventStore      = "replication_store"
	eventMessage    = "replication_message"
	eventExchange   = "replication_exchange"
	eventUpdate     = "replication_update"
	eventRefused    = "replication_refused"
	eventSuperseded = "replication_superseded"
	eventAbsence    = "replication_absence"
	eventTombstones = "replication_tombstones"
)

const (
	logInterval      = 30 * time.Second // minimum time between two log lines with the same event and subject
	maxLogTimestamps = 1024             // pairs of event and subject remembered; all are forgotten when there are more
)

// logFailure logs a failure with its advice, at most once per logInterval for the same event and subject. key says what
// the subject is: a peer, an instance or a job.
func (r *Replicator) logFailure(event, key, subject string, err error) {
	if r.isLogDue(event + subject) {
		r.options.Logger.Warn(event, advice.LogAttrs(err, key, subject)...)
	}
}

func (r *Replicator) isLogDue(eventAndSubject string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	if last, ok := r.lastLoggedAt[eventAndSubject]; ok && now-last < logInterval {
		return false
	}
	if len(r.lastLoggedAt) > maxLogTimestamps {
		clear(r.lastLoggedAt)
	}
	r.lastLoggedAt[eventAndSubject] = now
	return true
}
