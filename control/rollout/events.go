package rollout

import "fmt"

// Names of the log events. docs/oncall.md has a row for each.
const (
	eventChangePublished = "rollout_change_published" // this instance published its change file
	eventChangeActivated = "rollout_change_activated" // this instance works on a change
	eventStepApproved    = "rollout_step_approved"    // this instance voted for a step to begin
	eventRestart         = "rollout_restart"          // a majority granted this instance's restart
	eventStopped         = "rollout_stopped"          // a verdict to stop or roll back was adopted
	eventResumed         = "rollout_resumed"          // an operator's order to proceed in a new epoch
	eventNotApplied      = "rollout_not_applied"      // a ChangeNotAppliedError
	eventDelayed         = "rollout_delayed"          // a StepDelayedError or MemberListMismatchError
	eventConflict        = "rollout_conflict"         // a ConflictingChangesError
	eventFileStale       = "rollout_file_stale"       // a StaleChangeFileError
	eventTooLarge        = "rollout_change_too_large" // a ChangeTooLargeError
)

// maxLoggedOnce bounds the conditions that are remembered as logged.
const maxLoggedOnce = 64

// LogEvent is something that an operator should read in the log.
type LogEvent struct {
	Name  string
	Err   error // nil if nothing is wrong
	Attrs []any // alternating keys and values, as log/slog takes them
}

func (c *Controller) logEvent(name string, err error, attrs ...any) {
	c.decision.Events = append(c.decision.Events, LogEvent{name, err, attrs})
}

// logOnce logs a lasting condition, once for each change and epoch.
func (c *Controller) logOnce(name string, err error, attrs ...any) {
	key := name + fmt.Sprint(err)
	if c.loggedOnce[key] || len(c.loggedOnce) >= maxLoggedOnce {
		return
	}
	c.loggedOnce[key] = true
	c.logEvent(name, err, attrs...)
}
