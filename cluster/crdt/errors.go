package crdt

import "fmt"

// TooLargeError reports a name or value over its limit.
type TooLargeError struct {
	Name         string
	Field        string // "name" or "value"
	Bytes, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("crdt: %s of %.60q has %d bytes, at most %d", e.Field, e.Name, e.Bytes, e.Limit)
}

// Advice says what an operator can do.
func (e *TooLargeError) Advice() string {
	return "Split or shorten what is stored under this name; replicated state is for small shared facts."
}

// CapacityExceededError reports a change that was refused because the replica is full.
type CapacityExceededError struct {
	Name           string
	Resource       string // "entries", "tombstones" or "bytes"
	Current, Limit int
}

func (e *CapacityExceededError) Error() string {
	return fmt.Sprintf("crdt: %.60q was refused: %d %s are held, at most %d", e.Name, e.Current, e.Resource, e.Limit)
}

// Advice says what an operator can do.
func (e *CapacityExceededError) Advice() string {
	if e.Resource == resourceTombstones {
		return "Bring back the absent instances, or take them off the list of members: tombstones are kept until all members have seen them."
	}
	return "Delete entries that are no longer needed; until then new ones are refused here and exchanges stay incomplete."
}

// Resources that a CapacityExceededError names.
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
	return fmt.Sprintf("crdt: %.60q has %d concurrent values, at most %d", e.Name, e.Siblings, e.Limit)
}

// Advice says what an operator can do.
func (e *TooManySiblingsError) Advice() string {
	return "Stop what writes this name on many instances at once; the next write of it on any one of them resolves it."
}

// InvalidDataError reports an entry or message from another instance, or from the store, that cannot be used.
type InvalidDataError struct {
	From   string // the instance or actor that sent it
	Reason string
}

func (e *InvalidDataError) Error() string {
	return fmt.Sprintf("crdt: from %.60q: %s", e.From, e.Reason)
}

// Advice says what an operator can do.
func (e *InvalidDataError) Advice() string {
	return "Look at the version and health of that instance; what it sent was ignored."
}

// invalidVersion is the reason for a version that is not sorted or names impossible actors.
const invalidVersion = "a version out of order"

// SupersededError reports that another instance regards this incarnation as ended, because a later one of the same name
// exists. The caller goes on with Map.BeginIncarnation.
type SupersededError struct {
	From        string // the instance or actor that regards it so
	EndedBefore uint64 // incarnations before this one have ended
}

func (e *SupersededError) Error() string {
	return "crdt: " + e.From + " regards this incarnation of the instance as ended"
}

// Advice says what an operator can do.
func (e *SupersededError) Advice() string {
	return "Look for a second process with this instance's name and stop one; this one goes on as a new incarnation and keeps its changes."
}

// ErrPeerRestarted reports that the peer of an exchange began a new incarnation, or is a superseded one: the caller begins
// another exchange.
var ErrPeerRestarted error = peerRestartedError{}

type peerRestartedError struct{}

func (peerRestartedError) Error() string {
	return "crdt: the peer began a new incarnation during the exchange"
}

// Advice says what an operator can do.
func (peerRestartedError) Advice() string {
	return "Nothing: the next exchange with that instance begins anew."
}
