package gossip

import (
	"fmt"
	"strings"
)

// The texts begin with "fleet", the section of the installation file that sets the package up.

// AddressInUseError reports a start on an address that another process listens on.
type AddressInUseError struct {
	Addr string
	Err  error
}

func (e *AddressInUseError) Error() string {
	return fmt.Sprintf("fleet: %s is in use: %v", e.Addr, e.Err)
}

func (e *AddressInUseError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *AddressInUseError) Advice() string {
	return "Find the process that listens on " + e.Addr + ", by TCP or UDP, and end it, or give `fleet.listen` another port on all instances that name it."
}

// InvalidAddressError reports a start on an address that cannot be listened on, or that others cannot reach.
type InvalidAddressError struct {
	Addr string
	Err  error
}

func (e *InvalidAddressError) Error() string {
	return fmt.Sprintf("fleet: cannot listen on %q: %v", e.Addr, e.Err)
}

func (e *InvalidAddressError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *InvalidAddressError) Advice() string {
	return "Give `fleet.listen` an address of this machine, with a port, at which the other instances reach it."
}

// InvalidKeyFileError reports a key file that cannot be read or holds no valid key.
type InvalidKeyFileError struct {
	Path   string
	Line   int // 0 for the whole file
	Reason string
}

func (e *InvalidKeyFileError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("fleet: key file %s, line %d: %s", e.Path, e.Line, e.Reason)
	}
	return fmt.Sprintf("fleet: key file %s: %s", e.Path, e.Reason)
}

// Advice tells an operator what to do.
func (e *InvalidKeyFileError) Advice() string {
	return "Write 32 random bytes in base64 to the key file (`openssl rand -base64 32`), the same on all instances, readable by the program alone."
}

// KeyMismatchError reports that another instance encrypts with a key that this one does not have, or not at all.
type KeyMismatchError struct{ From string }

func (e *KeyMismatchError) Error() string {
	return "fleet: what " + e.From + " sends is not encrypted with a key of this instance"
}

// Advice tells an operator what to do.
func (e *KeyMismatchError) Advice() string {
	return "Compare the key files of both instances; while keys are changed, each file names the old and the new one."
}

// IsolatedError reports that no other instance has been reached so far. Attempts go on.
type IsolatedError struct{ Tried []string }

func (e *IsolatedError) Error() string {
	return "fleet: no other instance has been reached at " + strings.Join(e.Tried, ", ")
}

// Advice tells an operator what to do.
func (e *IsolatedError) Advice() string {
	return "Check that the instances named by `fleet.join` are up, that TCP and UDP pass on their ports both ways, and that the key is the same; they are tried again every second."
}

// NameConflictError reports a name that two instances claim.
type NameConflictError struct{ Name string }

func (e *NameConflictError) Error() string {
	return fmt.Sprintf("fleet: two instances claim the name %q; neither takes part in votes", e.Name)
}

// Advice tells an operator what to do.
func (e *NameConflictError) Advice() string {
	return "Give one of the two another `fleet.name` and restart it; if both came from one copied disk, empty the copy's store first."
}

// InvalidMemberError reports a name or metadata of this instance that other instances would not accept.
type InvalidMemberError struct{ Name string }

func (e *InvalidMemberError) Error() string {
	return fmt.Sprintf("fleet: other instances would not accept the name or metadata of %q", e.Name)
}

// Advice tells an operator what to do.
func (e *InvalidMemberError) Advice() string {
	return "Set `fleet.name`, to 100 bytes at the most, and `fleet.region` and `fleet.zone` to 200 bytes at the most."
}

// MetadataTooLargeError reports metadata of this instance that exceeds what the gossip can carry.
type MetadataTooLargeError struct{ Bytes int }

func (e *MetadataTooLargeError) Error() string {
	return fmt.Sprintf("fleet: this instance's metadata takes %d bytes, %d at the most", e.Bytes, maxMetadataBytes)
}

// Advice tells an operator what to do.
func (e *MetadataTooLargeError) Advice() string {
	return "Shorten `fleet.name`, `fleet.region` or `fleet.zone`."
}

// MessageTooLargeError reports a message larger than MaxBodyBytes.
type MessageTooLargeError struct {
	To    string
	Bytes int
}

func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("fleet: a message of %d bytes to %s, %d at the most", e.Bytes, e.To, MaxBodyBytes)
}

// Advice tells an operator what to do.
func (e *MessageTooLargeError) Advice() string {
	return "This is a fault of the program: report it with the log line."
}

// PeerUnavailableError reports a message to an instance that is not alive.
type PeerUnavailableError struct{ To string }

func (e *PeerUnavailableError) Error() string { return "fleet: " + e.To + " is not available" }

// Advice tells an operator what to do.
func (e *PeerUnavailableError) Advice() string {
	return "Nothing while the cluster is partitioned or " + e.To + " restarts; if it lasts, look at that instance and the network to it."
}
