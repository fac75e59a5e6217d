package rollout

import (
	"fmt"
	"strings"
)

// InvalidChangeFileError reports a change file that cannot be used. Nothing in it is applied.
type InvalidChangeFileError struct {
	Path string
	Err  error
}

func (e *InvalidChangeFileError) Error() string {
	return fmt.Sprintf("change file %s: %v", e.Path, e.Err)
}

func (e *InvalidChangeFileError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *InvalidChangeFileError) Advice() string {
	return "Correct or complete the file, and end it with a line of three dots; until then the last valid one stays in use."
}

// InvalidEntryError reports a replicated entry that cannot be used. The entry is ignored.
type InvalidEntryError struct {
	Key string
	Err error
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("replicated entry %.80q: %v", e.Key, e.Err)
}

func (e *InvalidEntryError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *InvalidEntryError) Advice() string {
	return "Check which version the instance that wrote the entry runs: programs more than one version apart may be incompatible."
}

// ChangeStoppedError reports a change that was stopped or is being rolled back.
type ChangeStoppedError struct {
	Change  string
	Number  uint64
	Verdict Verdict
}

func (e *ChangeStoppedError) Error() string {
	return fmt.Sprintf("change %s, number %d: order %s, decided by %s: %s", e.Change, e.Number, e.Verdict.Order, e.Verdict.DecidedBy, e.Verdict.Reason)
}

// Advice tells an operator what to do.
func (e *ChangeStoppedError) Advice() string {
	return "Find the cause; then write order: go with a higher turn to continue, order: back with a higher turn to roll back, or a new change with a higher number."
}

// ConflictingChangesError reports different changes that were published under one number.
type ConflictingChangesError struct {
	Number  uint64
	Digests []string
}

func (e *ConflictingChangesError) Error() string {
	return fmt.Sprintf("different changes were published under number %d: %s", e.Number, strings.Join(e.Digests, ", "))
}

// Advice tells an operator what to do.
func (e *ConflictingChangesError) Advice() string {
	return "Make the change files identical and give them a higher number; until then no further instance applies either change."
}

// StaleChangeFileError reports a change file with a lower number than the highest known change.
type StaleChangeFileError struct{ Number, CurrentNumber uint64 }

func (e *StaleChangeFileError) Error() string {
	return fmt.Sprintf("the change file has number %d, but the cluster is at number %d", e.Number, e.CurrentNumber)
}

// Advice tells an operator what to do.
func (e *StaleChangeFileError) Advice() string {
	return "Update the change file or remove it; it is ignored."
}

// MemberListMismatchError reports a roster whose number of members differs from that of this instance's list.
type MemberListMismatchError struct {
	Number                  uint64
	RemoteCount, LocalCount int
}

func (e *MemberListMismatchError) Error() string {
	return fmt.Sprintf("change %d is delayed: %d instances are listed here, %d on other instances", e.Number, e.LocalCount, e.RemoteCount)
}

// Advice tells an operator what to do.
func (e *MemberListMismatchError) Advice() string {
	return "Make the list of instances the same in all installation files and restart the instances whose list differed."
}

// ChangeNotAppliedError reports a change that this instance could not apply. It runs what it ran before.
type ChangeNotAppliedError struct {
	Number uint64
	Reason string
}

func (e *ChangeNotAppliedError) Error() string {
	return fmt.Sprintf("change %d could not be applied on this instance: %s", e.Number, e.Reason)
}

// Advice tells an operator what to do.
func (e *ChangeNotAppliedError) Advice() string {
	return "See the log lines before this one; install the program or correct the settings, then continue with a higher turn."
}

// ChangeTooLargeError reports a change that, merged over its base, does not fit into an entry.
type ChangeTooLargeError struct {
	Number uint64
	Bytes  int
}

func (e *ChangeTooLargeError) Error() string {
	return fmt.Sprintf("change %d has %d bytes with its base, more than %d", e.Number, e.Bytes, MaxEntryBytes)
}

// Advice tells an operator what to do.
func (e *ChangeTooLargeError) Advice() string {
	return "Move settings of earlier changes that all instances run into the installation files."
}

// StepDelayedError reports a step that has not begun long after it could have.
type StepDelayedError struct {
	Number uint64
	Step   int
	Reason string
}

func (e *StepDelayedError) Error() string {
	return fmt.Sprintf("change %d, step %d is delayed: %s", e.Number, e.Step, e.Reason)
}

// Advice tells an operator what to do.
func (e *StepDelayedError) Advice() string {
	return "Bring back what is missing; if the first instance is lost for good, give the change a new number, which selects another first instance."
}
