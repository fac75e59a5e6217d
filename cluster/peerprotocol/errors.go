package peerprotocol

import (
	"fmt"

	"chalkring/internal/advice"
)

// ErrInvalidMessage is wrapped by the errors for received messages that violate the protocol.
var ErrInvalidMessage = advice.NewError("bad peer message",
	"Compare the builds of the two instances, and check that the address is that of a peer's listener.")

// FrameTooLargeError reports a message that is not sent, since its frame is larger than any peer accepts.
type FrameTooLargeError struct{ Bytes int }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, at most %d bytes are allowed", e.Bytes, maxFrameBytes)
}

// Advice implements advice.Provider.
func (e *FrameTooLargeError) Advice() string {
	return "Shorten the names of hosts, zones and instances."
}

// RejectedError reports that a peer has rejected a request.
type RejectedError struct {
	Code string // one of the protocol's codes, possibly of a later version
	Text string // as sent by the peer
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("peer refused the request (%.20s): %.200s", e.Code, e.Text)
}

// Advice implements advice.Provider.
func (e *RejectedError) Advice() string {
	switch e.Code {
	case rejectedVersion:
		return "Run builds of the same protocol version on both instances."
	case rejectedName:
		return "Add this instance's name to `allow` in the peer's installation file, and check that its certificate contains that name."
	case rejectedSelf:
		return "Remove this instance from its own list of peers."
	}
	return "Compare the builds of the two instances."
}

// WrongPeerError reports that the name in a peer's report is not the name that the installation file gives to the peer.
type WrongPeerError struct{ Got, Want string }

func (e *WrongPeerError) Error() string {
	return fmt.Sprintf("peer gives its name as %q, expected %q", e.Got, e.Want)
}

// Advice implements advice.Provider.
func (e *WrongPeerError) Advice() string {
	return "Correct the peer's name or address in the installation file."
}

// CredentialsError reports a certificate, key or authorities file that cannot be used.
type CredentialsError struct {
	Files string // kind and path of the files
	Err   error
}

func (e *CredentialsError) Error() string { return e.Files + ": " + e.Err.Error() }
func (e *CredentialsError) Unwrap() error { return e.Err }

// Advice implements advice.Provider.
func (e *CredentialsError) Advice() string {
	return "Put a matching certificate and key and the authorities in place as PEM files; changed files are read at the next connection."
}
