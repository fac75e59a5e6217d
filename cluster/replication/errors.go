package replication

import "fmt"

// NotPersistedError is a change that a store could not take: it is there and shared, but a restart may not have it.
type NotPersistedError struct{ Err error }

func (e *NotPersistedError) Error() string {
	return fmt.Sprintf("share: changes are not on disk: %v", e.Err)
}
func (e *NotPersistedError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *NotPersistedError) Advice() string {
	return "Mend the store's disk; what other instances hold comes back after a restart, this one's newest changes may not."
}

// UnreadableStateError is a store whose state could not be taken whole: the rest is learnt from the others.
type UnreadableStateError struct {
	Key string
	Err error
}

func (e *UnreadableStateError) Error() string {
	return fmt.Sprintf("share: stored %.60q cannot be used: %v", e.Key, e.Err)
}
func (e *UnreadableStateError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *UnreadableStateError) Advice() string {
	return "Nothing while other instances are up, since they tell it again; else look for changes that are missing."
}

// ExchangeInterruptedError is an exchange with another instance that did not end; it goes on where it was.
type ExchangeInterruptedError struct {
	Peer string
	Err  error
}

func (e *ExchangeInterruptedError) Error() string {
	return fmt.Sprintf("share: exchange with %s was cut: %v", e.Peer, e.Err)
}
func (e *ExchangeInterruptedError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ExchangeInterruptedError) Advice() string {
	return "If it repeats, look at that instance and the link to it; the exchange goes on where it was."
}

// InvalidMessageError is a message from another instance that cannot be read.
type InvalidMessageError struct {
	From string
	Err  error
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("share: message from %s: %v", e.From, e.Err)
}
func (e *InvalidMessageError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *InvalidMessageError) Advice() string {
	return "Compare the versions of the two instances; what cannot be read is ignored."
}

// LongAbsenceError is this instance back after so long that the others had stopped waiting for it.
type LongAbsenceError struct {
	Peer          string
	UnsyncedNames []string // names with own changes that no one had seen; they are kept
}

func (e *LongAbsenceError) Error() string {
	return fmt.Sprintf("share: away for longer than deletes are remembered, as %s says; %d own changes that it had not seen are kept: %.200q",
		e.Peer, len(e.UnsyncedNames), e.UnsyncedNames)
}

// Advice says what an operator can do.
func (e *LongAbsenceError) Advice() string {
	return "Look through the names told: a delete made elsewhere meanwhile may have been meant to end them."
}
