package gossip

import (
	"fmt"
	"strings"
)

// The error texts begin with "fleet", the section of the installation file that configures this package.

// AddressInUseError reports that another process uses the listen address, by TCP or UDP.
type AddressInUseError struct {
	Addr string
	Err  error
}

func (e *AddressInUseError) Error() string {
	return fmt.Sprintf("fleet: listen address %s is in use: %v", e.Addr, e.Err)
}

func (e *AddressInUseError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *AddressInUseError) Advice() string {
	return "Find the process that listens on " + e.Addr + ", by TCP or UDP, and end it, or set `fleet.listen` to another port and change the address in the files of all instances that list it."
}

// InvalidAddressError reports a listen address that cannot be listened on or that other instances cannot reach.
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
	return "Set `fleet.listen` to an address and port of this machine at which the other instances can reach it."
}

// InvalidKeyFileError reports a key file that cannot be read or holds no valid key.
type InvalidKeyFileError struct {
	Path   string
	Line   int // 0 if the error concerns the whole file
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

// KeyMismatchError reports that another instance encrypts with a key that this instance does not have, or does not encrypt.
type KeyMismatchError struct{ From string }

func (e *KeyMismatchError) Error() string {
	return "fleet: data received from " + e.From + " is not encrypted with any of this instance's keys"
}

// Advice tells an operator what to do.
func (e *KeyMismatchError) Advice() string {
	return "Compare the key files of both instances. During a key change each file must have the old and the new key."
}

// IsolatedError reports that no other instance has been reached since the start. The attempts continue.
type IsolatedError struct{ Tried []string }

func (e *IsolatedError) Error() string {
	return "fleet: no other instance has been reached since the start; tried " + strings.Join(e.Tried, ", ")
}

// Advice tells an operator what to do.
func (e *IsolatedError) Advice() string {
	return "Check that the instances named by `fleet.join` are up, that TCP and UDP packets pass in both directions on their ports, and that the key is the same. They are tried again every second."
}

// NameConflictError reports a name that two instances claim.
type NameConflictError struct{ Name string }

func (e *NameConflictError) Error() string {
	return fmt.Sprintf("fleet: two instances claim the name %q; neither counts towards a majority", e.Name)
}

// Advice tells an operator what to do.
func (e *NameConflictError) Advice() string {
	return "Set another `fleet.name` on one of the two and restart it. If one was made from a copy of the other's disk, empty the copy's store first."
}

// InvalidMemberError reports a name or metadata of this instance that other instances would not accept.
type InvalidMemberError struct{ Name string }

func (e *InvalidMemberError) Error() string {
	return fmt.Sprintf("fleet: other instances would not accept the name or metadata of %q", e.Name)
}

// Advice tells an operator what to do.
func (e *InvalidMemberError) Advice() string {
	return "Set `fleet.name` to at most 100 bytes, and `fleet.region` and `fleet.zone` to at most 200 bytes each."
}

// MetadataTooLargeError reports metadata of this instance that is larger than gossip can send.
type MetadataTooLargeError struct{ Bytes int }

func (e *MetadataTooLargeError) Error() string {
	return fmt.Sprintf("fleet: this instance's metadata has %d bytes, the limit is %d", e.Bytes, maxMetadataBytes)
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
	return fmt.Sprintf("fleet: a message of %d bytes to %s exceeds the limit of %d bytes", e.Bytes, e.To, MaxBodyBytes)
}

// Advice tells an operator what to do.
func (e *MessageTooLargeError) Advice() string {
	return "This is a bug in the program: report it with the log line."
}

// PeerUnavailableError reports a message that was not sent: the receiver is not alive, or this instance is shutting down.
type PeerUnavailableError struct{ To string }

func (e *PeerUnavailableError) Error() string {
	return "fleet: message not sent: " + e.To + " is not alive, or this instance is shutting down"
}

// Advice tells an operator what to do.
func (e *PeerUnavailableError) Advice() string {
	return "Do nothing while the cluster is partitioned or " + e.To + " restarts. If it lasts longer, check that instance and the network to it."
}
