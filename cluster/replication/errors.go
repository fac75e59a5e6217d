package replication

import "fmt"

// Unkept is a change that a store could not take: it is there and shared, but a restart may not have it.
type Unkept struct{ Err error }

func (e *Unkept) Error() string { return fmt.Sprintf("share: changes are not on disk: %v", e.Err) }
func (e *Unkept) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Unkept) Advice() string {
	return "Mend the store's disk; what other instances hold comes back after a restart, this one's newest changes may not."
}

// Unread is a store whose state could not be taken whole: the rest is learnt from the others.
type Unread struct {
	Key string
	Err error
}

func (e *Unread) Error() string {
	return fmt.Sprintf("share: stored %.60q cannot be used: %v", e.Key, e.Err)
}
func (e *Unread) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Unread) Advice() string {
	return "Nothing while other instances are up, since they tell it again; else look for changes that are missing."
}

// Cut is an exchange with another instance that did not end; it goes on where it was.
type Cut struct {
	Peer string
	Err  error
}

func (e *Cut) Error() string {
	return fmt.Sprintf("share: exchange with %s was cut: %v", e.Peer, e.Err)
}
func (e *Cut) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Cut) Advice() string {
	return "If it repeats, look at that instance and the link to it; the exchange goes on where it was."
}

// Garbled is a message from another instance that cannot be read.
type Garbled struct {
	From string
	Err  error
}

func (e *Garbled) Error() string { return fmt.Sprintf("share: message from %s: %v", e.From, e.Err) }
func (e *Garbled) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Garbled) Advice() string {
	return "Compare the versions of the two instances; what cannot be read is ignored."
}

// Away is this instance back after so long that the others had stopped waiting for it.
type Away struct {
	Peer   string
	Unseen []string // names with own changes that no one had seen; they are kept
}

func (e *Away) Error() string {
	return fmt.Sprintf("share: away for longer than deletes are remembered, as %s says; %d own changes that it had not seen are kept: %.200q",
		e.Peer, len(e.Unseen), e.Unseen)
}

// Advice says what an operator can do.
func (e *Away) Advice() string {
	return "Look through the names told: a delete made elsewhere meanwhile may have been meant to end them."
}
