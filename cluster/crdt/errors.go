package crdt

import "fmt"

// TooBig is a name or value that is over its bound.
type TooBig struct {
	Name        string // cut to what a log line bears
	What        string // name, or value
	Bytes, Most int
}

func (e *TooBig) Error() string {
	return fmt.Sprintf("ledger: %s of %.60q has %d bytes, at most %d", e.What, e.Name, e.Bytes, e.Most)
}

// Advice says what an operator can do.
func (e *TooBig) Advice() string {
	return "Split what is kept under this name, or shorten it; the ledger is for small shared facts."
}

// Full is a change that was refused since the ledger holds all it may.
type Full struct {
	Name       string
	What       string // entries, tombstones, or bytes
	Held, Most int
}

func (e *Full) Error() string {
	return fmt.Sprintf("ledger: %.60q was not taken: %d %s are held, at most %d", e.Name, e.Held, e.What, e.Most)
}

// Advice says what an operator can do.
func (e *Full) Advice() string {
	if e.What == "tombstones" {
		return "Bring back the instances that are away, or take them off the listed ones: deletes are remembered until all listed have seen them."
	}
	return "Delete entries that are no longer needed; until then new ones are refused here and exchanges stay unfinished."
}

// Crowded is a name changed by so many instances at once that its state cannot be sent in one piece.
type Crowded struct {
	Name           string
	Siblings, Most int
}

func (e *Crowded) Error() string {
	return fmt.Sprintf("ledger: %.60q has %d concurrent values, at most %d", e.Name, e.Siblings, e.Most)
}

// Advice says what an operator can do.
func (e *Crowded) Advice() string {
	return "Stop what writes this name on many instances at once; the next write of it on any one settles it."
}

// Unsound is an entry or message from another instance that cannot be used.
type Unsound struct{ From, Why string }

func (e *Unsound) Error() string { return fmt.Sprintf("ledger: from %.60q: %s", e.From, e.Why) }

// Advice says what an operator can do.
func (e *Unsound) Advice() string {
	return "Look at the version and health of that instance; what it sent was ignored."
}
