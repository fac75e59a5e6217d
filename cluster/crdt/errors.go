package crdt

import "fmt"

// TooLargeError reports a name or value that exceeds its size limit, or an empty name.
type TooLargeError struct {
	Name         string
	Field        string // "name" or "value"
	Bytes, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("crdt: the %s of %.60q has %d bytes; the limit is %d", e.Field, e.Name, e.Bytes, e.Limit)
}

// Advice says what an operator can do.
func (e *TooLargeError) Advice() string {
	return "Split or shorten the data stored under this name; replicated state is meant for small shared values."
}

// CapacityExceededError reports a change that was refused because the replica is full.
type CapacityExceededError struct {
	Name           string
	Resource       string // "entries", "tombstones" or "bytes"
	Current, Limit int
}

func (e *CapacityExceededError) Error() string {
	return fmt.Sprintf("crdt: change of %.60q refused: the replica holds %d %s; the limit is %d", e.Name, e.Current, e.Resource, e.Limit)
}

// Advice says what an operator can do.
func (e *CapacityExceededError) Advice() string {
	if e.Resource == resourceTombstones {
		return "Bring back the absent instances, or remove them from the list of members: tombstones are kept until all members have seen them."
	}
	return "Delete entries that are no longer needed; until then this instance refuses new ones, and exchanges stay incomplete."
}

// Values of CapacityExceededError.Resource.
const (
	resourceEntries    = "entries"
	resourceTombstones = "tombstones"
	resourceBytes      = "bytes"
)

// TooManySiblingsError reports a name with so many concurrent values that its state does not fit one message.
type TooManySiblingsError struct {
	Name            string
	Siblings, Limit int
}

func (e *TooManySiblingsError) Error() string {
	return fmt.Sprintf("crdt: %.60q has %d concurrent values; the limit is %d", e.Name, e.Siblings, e.Limit)
}

// Advice says what an operator can do.
func (e *TooManySiblingsError) Advice() string {
	return "Find out why many instances write this name at the same time, and stop it; the next write of the name on any one instance resolves it."
}

// InvalidDataError reports an invalid entry or message from another instance or from the store.
type InvalidDataError struct {
	From   string // the sending instance or actor, or the store
	Reason string
}

func (e *InvalidDataError) Error() string {
	return fmt.Sprintf("crdt: invalid data from %.60q: %s", e.From, e.Reason)
}

// Advice says what an operator can do.
func (e *InvalidDataError) Advice() string {
	return "Check the version and health of that instance; the invalid data was ignored."
}

// invalidVersion is the reason for a version that is not sorted or has invalid actors or counters.
const invalidVersion = "a version vector is not sorted, or has invalid actors or counters"

// SupersededError reports that another instance considers this incarnation ended, because there is a later one with the
// same name. The caller continues with Map.BeginIncarnation.
type SupersededError struct {
	From        string // the instance or actor that considers it ended
	EndedBefore uint64 // all incarnations before this one have ended
}

func (e *SupersededError) Error() string {
	return "crdt: " + e.From + " reports that a later incarnation has superseded this one"
}

// Advice says what an operator can do.
func (e *SupersededError) Advice() string {
	return "Look for a second process with this instance's name and stop one of the two; this one continues as a new incarnation and keeps its changes."
}

// ErrPeerRestarted reports that the peer of an exchange began a new incarnation, or that its incarnation was superseded.
// The caller begins another exchange.
var ErrPeerRestarted error = peerRestartedError{}

type peerRestartedError struct{}

func (peerRestartedError) Error() string {
	return "crdt: the peer began a new incarnation during the exchange"
}

// Advice says what an operator can do.
func (peerRestartedError) Advice() string {
	return "Nothing: the next exchange with that instance starts from the beginning."
}
