package coordinator

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
)

// connectionEndError is why a connection ended. It is the error of all code on that connection.
type connectionEndError int

// Reasons of a connection's end.
const (
	_                 connectionEndError = iota
	errNotConnected                      // refused, or not connected in time
	errNoDescriptors                     // not opened: no descriptor or port is left here
	errPeerClosed                        // the other side closed it between messages
	errReset                             // reset, or cut inside a message
	errWriteFailed                       // a write failed or did not end in time
	errReadTimeout                       // a message began and did not end in time
	errMalformed                         // what was received is malformed
	errRejectedByPeer                    // the other side could not use what was sent
	errQueueFull                         // its queue was full
	errIdle                              // closed here: idle for long
	errRetired                           // closed here: its replica was removed or moved, or the connection is silent
	errDisplaced                         // closed here: the longest idle one, whose descriptor another needed
	errClosing                           // closed here after a last answer, or at shutdown
	errFault                             // closed here: handling what was received panicked
)

var connectionEndNames = [...]string{
	"", "not_up", "starved", "peer_left", "broken", "stuck", "slow", "garbled",
	"complained", "crowded", "unused", "retired", "displaced", "closing", "faulty",
}

// Error implements error. The texts are values of log lines.
func (e connectionEndError) Error() string { return connectionEndNames[e] }

// attemptOutcome is the one place that translates a connection's end into an attempt's outcome. Where the other side
// ended it, an attempt that was not completely written could not connect, or on a connection that had worked was just
// not sent; any other was reset. Where this side ended it, an attempt was not sent, or canceled and may have run: the
// replica is not down for that. A malformed answer fails one attempt alone, the first: it must not look like a crash.
func (e connectionEndError) attemptOutcome(written, first, worked bool) string {
	switch e {
	case errNotConnected, errPeerClosed, errReset, errWriteFailed:
		if written {
			return "ResetByPeer"
		}
		if !worked {
			return "ConnectError"
		}
	case errReadTimeout, errMalformed, errRejectedByPeer, errFault:
		if written && first {
			return "Failed"
		}
	}
	if written {
		return "Canceled"
	}
	return "Ignored"
}

// isCertain says whether, after a connection's end, no attempt on it runs any more at the other side: that side ended
// it, or had just been heard. An end from here does not arrive over a connection that has fallen silent.
func (e connectionEndError) isCertain() bool {
	switch e {
	case errNotConnected, errPeerClosed, errReset, errMalformed, errRejectedByPeer, errFault:
		return true
	}
	return false
}

// connectionEndOf returns the reason that an error of reading stands for.
func connectionEndOf(err error) connectionEndError {
	var e connectionEndError
	switch {
	case errors.As(err, &e):
		return e
	case err == io.EOF: //nolint:errorlint // a wrapped EOF is an end inside a message
		return errPeerClosed
	case errors.Is(err, context.Canceled), errors.Is(err, errAllAnswered):
		return errClosing
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errReadTimeout
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
		errors.Is(err, syscall.EADDRNOTAVAIL):
		return errNoDescriptors
	}
	return errReset
}
