package replication

import "fmt"

// NotPersistedError reports changes that the store could not take. They are in effect and replicated, but a restart may not
// have them.
type NotPersistedError struct{ Err error }

func (e *NotPersistedError) Error() string {
	return fmt.Sprintf("replication: changes are not on disk: %v", e.Err)
}
func (e *NotPersistedError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *NotPersistedError) Advice() string {
	return "Repair the store's disk; what other instances hold comes back after a restart, this one's newest changes may not."
}

// UnreadableStateError reports a store whose state could not be read completely: the rest comes from the other instances.
type UnreadableStateError struct {
	Key string
	Err error
}

func (e *UnreadableStateError) Error() string {
	return fmt.Sprintf("replication: stored %.60q cannot be used: %v", e.Key, e.Err)
}
func (e *UnreadableStateError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *UnreadableStateError) Advice() string {
	return "Nothing while other instances are up, since they send it again; otherwise look for changes that are missing."
}

// ExchangeInterruptedError reports an exchange or an update that did not get through to its end. A later exchange resumes
// it.
type ExchangeInterruptedError struct {
	Peer string
	Err  error
}

func (e *ExchangeInterruptedError) Error() string {
	return fmt.Sprintf("replication: exchange with %s was interrupted: %v", e.Peer, e.Err)
}
func (e *ExchangeInterruptedError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ExchangeInterruptedError) Advice() string {
	return "If it repeats, look at that instance and the link to it; the exchange resumes where it was."
}

// InvalidMessageError reports a message from another instance that cannot be read.
type InvalidMessageError struct {
	From string
	Err  error
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("replication: message from %s: %v", e.From, e.Err)
}
func (e *InvalidMessageError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *InvalidMessageError) Advice() string {
	return "Compare the versions of the two instances; what cannot be read is ignored."
}

// LongAbsenceError reports that this instance came back after the others had stopped waiting for it.
type LongAbsenceError struct {
	Peer          string   // the instance that said so
	UnsyncedNames []string // names with changes of this instance that the peer had not seen; they are kept
}

func (e *LongAbsenceError) Error() string {
	return fmt.Sprintf("replication: absent for longer than tombstones are kept, according to %s; %d own changes that it had not seen are kept: %.200q",
		e.Peer, len(e.UnsyncedNames), e.UnsyncedNames)
}

// Advice says what an operator can do.
func (e *LongAbsenceError) Advice() string {
	return "Look through these names: a delete made elsewhere meanwhile may have been meant to end them."
}
