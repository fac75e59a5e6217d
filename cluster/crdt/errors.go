package crdt

import "fmt"

// TooLargeError is a name or value that is over its bound.
type TooLargeError struct {
	Name         string // cut to what a log line bears
	Field        string // name, or value
	Bytes, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("ledger: %s of %.60q has %d bytes, at most %d", e.Field, e.Name, e.Bytes, e.Limit)
}

// Advice says what an operator can do.
func (e *TooLargeError) Advice() string {
	return "Split what is kept under this name, or shorten it; the ledger is for small shared facts."
}

// CapacityExceededError is a change that was refused since the ledger holds all it may.
type CapacityExceededError struct {
	Name           string
	Resource       string // entries, tombstones, or bytes
	Current, Limit int
}

func (e *CapacityExceededError) Error() string {
	return fmt.Sprintf("ledger: %.60q was not taken: %d %s are held, at most %d", e.Name, e.Current, e.Resource, e.Limit)
}

// Advice says what an operator can do.
func (e *CapacityExceededError) Advice() string {
	if e.Resource == "tombstones" {
		return "Bring back the instances that are away, or take them off the listed ones: deletes are remembered until all listed have seen them."
	}
	return "Delete entries that are no longer needed; until then new ones are refused here and exchanges stay unfinished."
}

// TooManySiblingsError is a name changed by so many instances at once that its state cannot be sent in one piece.
type TooManySiblingsError struct {
	Name            string
	Siblings, Limit int
}

func (e *TooManySiblingsError) Error() string {
	return fmt.Sprintf("ledger: %.60q has %d concurrent values, at most %d", e.Name, e.Siblings, e.Limit)
}

// Advice says what an operator can do.
func (e *TooManySiblingsError) Advice() string {
	return "Stop what writes this name on many instances at once; the next write of it on any one settles it."
}

// InvalidDataError is an entry or message from another instance that cannot be used.
type InvalidDataError struct{ From, Why string }

func (e *InvalidDataError) Error() string {
	return fmt.Sprintf("ledger: from %.60q: %s", e.From, e.Why)
}

// Advice says what an operator can do.
func (e *InvalidDataError) Advice() string {
	return "Look at the version and health of that instance; what it sent was ignored."
}
