package rollout

import (
	"fmt"
	"strings"
)

// InvalidChangeFileError is a change file that cannot be used. Nothing of it is applied.
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
	return "Mend the file, or write it whole and end it with a line of three dots; until then the change told before it holds."
}

// InvalidEntryError is a replicated entry that cannot be used. It is ignored.
type InvalidEntryError struct {
	Key string
	Err error
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("shared entry %.80q: %v", e.Key, e.Err)
}

func (e *InvalidEntryError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *InvalidEntryError) Advice() string {
	return "Look which program the instance runs: programs more than one version apart may not understand each other."
}

// ChangeStoppedError is a change that was stopped or is rolled back.
type ChangeStoppedError struct {
	Change  string
	Number  uint64
	Verdict Verdict
}

func (e *ChangeStoppedError) Error() string {
	return fmt.Sprintf("change %s, number %d: %s, said by %s: %s", e.Change, e.Number, e.Verdict.Order, e.Verdict.DecidedBy, e.Verdict.Reason)
}

// Advice tells an operator what to do.
func (e *ChangeStoppedError) Advice() string {
	return "Find the cause; then write order: go with a higher turn to go on, order: back with a higher turn to take it back, or a new change with a higher number."
}

// ConflictingChangesError is a number under which different changes were published.
type ConflictingChangesError struct {
	Number  uint64
	Digests []string
}

func (e *ConflictingChangesError) Error() string {
	return fmt.Sprintf("change files differ under number %d: %s", e.Number, strings.Join(e.Digests, ", "))
}

// Advice tells an operator what to do.
func (e *ConflictingChangesError) Advice() string {
	return "Make the files the same and give them a number that was not used yet; until then nobody takes either."
}

// StaleChangeFileError is a change file with a lower number than the change in force.
type StaleChangeFileError struct{ Number, CurrentNumber uint64 }

func (e *StaleChangeFileError) Error() string {
	return fmt.Sprintf("the change file has number %d, the fleet is at %d", e.Number, e.CurrentNumber)
}

// Advice tells an operator what to do.
func (e *StaleChangeFileError) Advice() string {
	return "Bring the file up to date, or take it away; it is not used."
}

// MemberListMismatchError is a roster with another number of members than this instance's list.
type MemberListMismatchError struct {
	Number                  uint64
	RemoteCount, LocalCount int
}

func (e *MemberListMismatchError) Error() string {
	return fmt.Sprintf("change %d waits: %d instances are listed here, %d elsewhere", e.Number, e.LocalCount, e.RemoteCount)
}

// Advice tells an operator what to do.
func (e *MemberListMismatchError) Advice() string {
	return "Make the list of instances the same in all installation files and restart those that differed."
}

// ChangeNotAppliedError is a change that this instance could not apply; it runs what it ran before.
type ChangeNotAppliedError struct {
	Number uint64
	Reason string
}

func (e *ChangeNotAppliedError) Error() string {
	return fmt.Sprintf("change %d could not be taken here: %s", e.Number, e.Reason)
}

// Advice tells an operator what to do.
func (e *ChangeNotAppliedError) Advice() string {
	return "Look at the log lines before this one; put the program in place or mend the settings, then go on with a higher turn."
}

// ChangeTooLargeError is a change that, merged over its base, does not fit an entry.
type ChangeTooLargeError struct {
	Number uint64
	Bytes  int
}

func (e *ChangeTooLargeError) Error() string {
	return fmt.Sprintf("change %d has %d bytes with what is in force under it, over %d", e.Number, e.Bytes, MaxEntryBytes)
}

// Advice tells an operator what to do.
func (e *ChangeTooLargeError) Advice() string {
	return "Move settings that are in force everywhere from earlier changes into the installation files."
}

// StepDelayedError is a step that has not begun long after it could have.
type StepDelayedError struct {
	Number uint64
	Step   int
	Reason string
}

func (e *StepDelayedError) Error() string {
	return fmt.Sprintf("change %d, step %d waits: %s", e.Number, e.Step, e.Reason)
}

// Advice tells an operator what to do.
func (e *StepDelayedError) Advice() string {
	return "Bring back what is missing; where the first instance is gone for good, give the change a new number, which draws another."
}
