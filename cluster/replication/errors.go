package replication

import "fmt"

// NotPersistedError reports changes that could not be written to the store. They are in effect and replicated, but may be
// missing after a restart.
type NotPersistedError struct{ Err error }

func (e *NotPersistedError) Error() string {
	return fmt.Sprintf("replication: changes are not on disk: %v", e.Err)
}
func (e *NotPersistedError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *NotPersistedError) Advice() string {
	return "Repair the store's disk; after a restart, this instance gets back what other instances hold, but may lose its newest changes."
}

// UnreadableStateError reports a store whose state could not be read completely. The other instances send the rest.
type UnreadableStateError struct {
	Key string
	Err error
}

func (e *UnreadableStateError) Error() string {
	return fmt.Sprintf("replication: stored state in %.60q cannot be used: %v", e.Key, e.Err)
}
func (e *UnreadableStateError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *UnreadableStateError) Advice() string {
	return "Nothing to do while other instances are up, since they send the state again; otherwise look for missing changes."
}

// ExchangeInterruptedError reports an exchange or an update that could not be completed. A later exchange resumes it.
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
	return "If it happens repeatedly, check that instance and the link to it; the exchange resumes where it stopped."
}

// InvalidMessageError reports a message from another instance that cannot be read.
type InvalidMessageError struct {
	From string
	Err  error
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("replication: invalid message from %s: %v", e.From, e.Err)
}
func (e *InvalidMessageError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *InvalidMessageError) Advice() string {
	return "Compare the program versions of the two instances; messages that cannot be read are ignored."
}

// LongAbsenceError reports that this instance came back after the others had stopped waiting for it.
type LongAbsenceError struct {
	Peer          string   // the instance that reported it
	UnsyncedNames []string // names with changes of this instance that the peer had not seen; they are kept
}

func (e *LongAbsenceError) Error() string {
	return fmt.Sprintf("replication: this instance was absent for longer than tombstones are kept, according to %s; it keeps %d names with changes that the peer had not seen: %.200q",
		e.Peer, len(e.UnsyncedNames), e.UnsyncedNames)
}

// Advice says what an operator can do.
func (e *LongAbsenceError) Advice() string {
	return "Check these names: a delete made on another instance in the meantime may have been meant to remove them."
}
