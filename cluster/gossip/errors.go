package gossip

import (
	"fmt"
	"strings"
)

// AddressInUseError is a start whose address another process listens on.
type AddressInUseError struct {
	Addr string
	Err  error
}

func (e *AddressInUseError) Error() string {
	return fmt.Sprintf("fleet: %s is taken: %v", e.Addr, e.Err)
}
func (e *AddressInUseError) Unwrap() error { return e.Err }
func (e *AddressInUseError) Advice() string {
	return "See which process listens on " + e.Addr + ", by TCP or UDP, and end it, or give `fleet.listen` another port on all instances that name it."
}

// InvalidAddressError is a start whose address cannot be listened on, or not be reached by others.
type InvalidAddressError struct {
	Addr string
	Err  error
}

func (e *InvalidAddressError) Error() string {
	return fmt.Sprintf("fleet: cannot listen on %q: %v", e.Addr, e.Err)
}
func (e *InvalidAddressError) Unwrap() error { return e.Err }
func (e *InvalidAddressError) Advice() string {
	return "Give `fleet.listen` an address of this machine, with a port, under which the other instances reach it."
}

// InvalidKeyFileError is a key file that cannot be read or holds no key.
type InvalidKeyFileError struct {
	Path   string
	Line   int // 0 for the file as a whole
	Reason string
}

func (e *InvalidKeyFileError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("fleet: key file %s, line %d: %s", e.Path, e.Line, e.Reason)
	}
	return fmt.Sprintf("fleet: key file %s: %s", e.Path, e.Reason)
}

func (e *InvalidKeyFileError) Advice() string {
	return "Write 32 random bytes in base64 to the key file (`openssl rand -base64 32`), the same on all instances, readable by the program alone."
}

// KeyMismatchError is what others send under a key that is not held here, or under none.
type KeyMismatchError struct{ From string }

func (e *KeyMismatchError) Error() string {
	return "fleet: what " + e.From + " sends is not under a key that is held here"
}

func (e *KeyMismatchError) Advice() string {
	return "Compare the key files of both instances; while keys are changed, each file names the old and the new one."
}

// IsolatedError is an instance that has reached no other so far; it goes on trying.
type IsolatedError struct{ Tried []string }

func (e *IsolatedError) Error() string {
	return "fleet: no other instance has been reached at " + strings.Join(e.Tried, ", ")
}

func (e *IsolatedError) Advice() string {
	return "Look whether the instances named by `fleet.join` are up, whether TCP and UDP pass on their ports both ways, and whether the key is the same; it is tried again every second."
}

// NameConflictError is a name that two instances claim.
type NameConflictError struct{ Name string }

func (e *NameConflictError) Error() string {
	return fmt.Sprintf("fleet: two instances claim the name %q; neither takes part in votes", e.Name)
}

func (e *NameConflictError) Advice() string {
	return "Give one of the two another `fleet.name` and restart it; if both came from one copied disk, empty the copy's store first."
}

// MetadataTooLargeError is what an instance would say of itself and that does not fit the gossip.
type MetadataTooLargeError struct{ Bytes int }

func (e *MetadataTooLargeError) Error() string {
	return fmt.Sprintf("fleet: what this instance says of itself takes %d bytes, %d at the most", e.Bytes, metaMost)
}

func (e *MetadataTooLargeError) Advice() string {
	return "Shorten `fleet.name`, `fleet.region` or `fleet.zone`."
}

// MessageTooLargeError is a message over what one may be.
type MessageTooLargeError struct {
	To    string
	Bytes int
}

func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("fleet: a message of %d bytes to %s, %d at the most", e.Bytes, e.To, MaxBodyBytes)
}

func (e *MessageTooLargeError) Advice() string {
	return "This is a fault of the program: report it with the log line."
}

// PeerUnavailableError is a message to an instance that is not there.
type PeerUnavailableError struct{ To string }

func (e *PeerUnavailableError) Error() string { return "fleet: " + e.To + " is not there" }
func (e *PeerUnavailableError) Advice() string {
	return "Nothing while the fleet is split or " + e.To + " restarts; if it lasts, look at that instance and the network to it."
}
