package rollout

import (
	"fmt"
	"strings"
)

// Stopped is a change that goes no further.
type Stopped struct {
	Change  string
	Number  uint64
	Verdict Verdict
}

func (s *Stopped) Error() string {
	return fmt.Sprintf("change %s, number %d: %s, said by %s: %s", s.Change, s.Number, s.Verdict.Kind, s.Verdict.By, s.Verdict.Why)
}

// Advice tells an operator what to do.
func (s *Stopped) Advice() string {
	return "Find the cause; then write order: go with a higher turn to go on, order: back with a higher turn to take it back, or a new change with a higher number."
}

// Differs is a number under which different changes were told.
type Differs struct {
	Number  uint64
	Digests []string
}

func (e *Differs) Error() string {
	return fmt.Sprintf("change files differ under number %d: %s", e.Number, strings.Join(e.Digests, ", "))
}

// Advice tells an operator what to do.
func (e *Differs) Advice() string {
	return "Make the files the same and give them a number that was not used yet; until then nobody takes either."
}

// OldFile is a change file whose number the fleet has passed.
type OldFile struct{ Number, Known uint64 }

func (e *OldFile) Error() string {
	return fmt.Sprintf("the change file has number %d, the fleet is at %d", e.Number, e.Known)
}

// Advice tells an operator what to do.
func (e *OldFile) Advice() string {
	return "Bring the file up to date, or take it away; it is not used."
}

// OtherList is a fleet whose instances are listed differently.
type OtherList struct {
	Number       uint64
	Theirs, Ours int
}

func (e *OtherList) Error() string {
	return fmt.Sprintf("change %d waits: %d instances are listed here, %d elsewhere", e.Number, e.Ours, e.Theirs)
}

// Advice tells an operator what to do.
func (e *OtherList) Advice() string {
	return "Make the list of instances the same in all installation files and restart those that differed."
}

// NotTaken is a change that this instance could not take; it runs what it ran before.
type NotTaken struct {
	Number uint64
	Why    string
}

func (e *NotTaken) Error() string {
	return fmt.Sprintf("change %d could not be taken here: %s", e.Number, e.Why)
}

// Advice tells an operator what to do.
func (e *NotTaken) Advice() string {
	return "Look at the log lines before this one; put the program in place or mend the settings, then go on with a higher turn."
}

// TooBig is a change that with all that is in force under it fits no entry of the ledger.
type TooBig struct {
	Number uint64
	Bytes  int
}

func (e *TooBig) Error() string {
	return fmt.Sprintf("change %d has %d bytes with what is in force under it, over %d", e.Number, e.Bytes, ValueMost)
}

// Advice tells an operator what to do.
func (e *TooBig) Advice() string {
	return "Move settings that are in force everywhere from earlier changes into the installation files."
}

// Waits is a step that has not begun long after it could have.
type Waits struct {
	Number uint64
	Step   int
	Why    string
}

func (e *Waits) Error() string {
	return fmt.Sprintf("change %d, step %d waits: %s", e.Number, e.Step, e.Why)
}

// Advice tells an operator what to do.
func (e *Waits) Advice() string {
	return "Bring back what is missing; where the first instance is gone for good, give the change a new number, which draws another."
}
