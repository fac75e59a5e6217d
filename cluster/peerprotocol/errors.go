package peerprotocol

import (
	"fmt"

	"chalkring/internal/advice"
)

// ErrInvalidMessage is wrapped by the errors for anything received that breaks the protocol.
var ErrInvalidMessage = advice.NewError("bad peer message",
	"Compare the builds of the two instances, and see that the address is that of a peer's listener.")

// FrameTooLargeError is a message that no peer would accept, so it is not sent.
type FrameTooLargeError struct{ Bytes int }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes, at most %d are allowed", e.Bytes, maxFrameBytes)
}

// Advice implements advice.Provider.
func (e *FrameTooLargeError) Advice() string {
	return "Shorten the names of hosts, zones and instances."
}

// RejectedError is a peer's rejection of a request.
type RejectedError struct {
	Code string // one of the protocol's codes, or of a later version's
	Text string // as the peer has sent it
}

func (e *RejectedError) Error() string { return fmt.Sprintf("refused (%.20s): %.200s", e.Code, e.Text) }

// Advice implements advice.Provider.
func (e *RejectedError) Advice() string {
	switch e.Code {
	case rejectedVersion:
		return "Run builds of the same protocol version on both instances."
	case rejectedName:
		return "Put this instance's name under `allow` in the peer's installation file, and see that its certificate bears that name."
	case rejectedSelf:
		return "Take this instance out of its own list of peers."
	}
	return "Compare the builds of the two instances."
}

// WrongPeerError is a report from a peer that gives another name than the one it was polled under.
type WrongPeerError struct{ Got, Want string }

func (e *WrongPeerError) Error() string {
	return fmt.Sprintf("it calls itself %q, not %q", e.Got, e.Want)
}

// Advice implements advice.Provider.
func (e *WrongPeerError) Advice() string {
	return "Correct the peer's name or address in the installation file."
}

// CredentialsError is a certificate, key or file of authorities that cannot be used.
type CredentialsError struct {
	Files string // what the files hold, and their paths
	Err   error
}

func (e *CredentialsError) Error() string { return e.Files + ": " + e.Err.Error() }
func (e *CredentialsError) Unwrap() error { return e.Err }

// Advice implements advice.Provider.
func (e *CredentialsError) Advice() string {
	return "Put a matching certificate and key and the authorities in place as PEM files; changed files are read at the next connection."
}
