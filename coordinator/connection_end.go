package coordinator

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
)

// connectionEndError is the reason why a connection ended. All code that serves a connection uses it as its error.
type connectionEndError int

// Reasons of a connection's end.
const (
	_                 connectionEndError = iota
	errNotConnected                      // refused, or not connected in time
	errNoDescriptors                     // not opened: the process has no descriptor or port left
	errPeerClosed                        // the other side closed it between messages
	errReset                             // reset, or cut inside a message
	errWriteFailed                       // a write failed or did not end in time
	errReadTimeout                       // a message began to arrive and was not complete in time
	errMalformed                         // what was received is malformed
	errRejectedByPeer                    // the other side could not use what was sent
	errQueueFull                         // closed here: the queue of messages to be written was full
	errIdle                              // closed here: idle for too long
	errRetired                           // closed here: its replica was removed or moved, or the connection is silent
	errDisplaced                         // closed here: it was idle for longest, and another connection needed its descriptor
	errClosing                           // closed here after a last answer, or at shutdown
	errFault                             // closed here: handling what was received panicked
	errOverloaded                        // closed here: there was no memory or processor time for a client's request
)

var connectionEndNames = [...]string{
	"", "not_up", "starved", "peer_left", "broken", "stuck", "slow", "garbled",
	"complained", "crowded", "unused", "retired", "displaced", "closing", "faulty", "overloaded",
}

// Error implements error. The texts are values of log lines.
func (e connectionEndError) Error() string { return connectionEndNames[e] }

// attemptOutcome returns the outcome of an attempt that was on the connection when it ended. It is the only code that
// decides this. If the other side ended the connection, a completely written attempt counts as reset. Any other attempt
// then counts as unable to connect or, if the connection had worked before, as never sent. If this side ended it, a
// written attempt counts as canceled and may have run, and any other as never sent: neither shows that the replica is
// down. A malformed answer fails only the first written attempt, so that it does not look like a crash.
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

// isCertain says whether it is certain, after this end of a connection, that no attempt on it still runs at the other
// side: that side ended the connection, or something had just been received from it. An end from this side does not
// arrive over a connection that has gone silent.
func (e connectionEndError) isCertain() bool {
	switch e {
	case errNotConnected, errPeerClosed, errReset, errMalformed, errRejectedByPeer, errFault:
		return true
	}
	return false
}

// connectionEndOf returns the reason that an error of a dial or a read stands for.
func connectionEndOf(err error) connectionEndError {
	var e connectionEndError
	switch {
	case errors.As(err, &e):
		return e
	case err == io.EOF: //nolint:errorlint // a wrapped EOF is an end inside a message
		return errPeerClosed
	case errors.Is(err, context.Canceled), errors.Is(err, errAllAnswered):
		return errClosing
	case errors.Is(err, errNoIngressRoom):
		return errOverloaded
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errReadTimeout
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
		errors.Is(err, syscall.EADDRNOTAVAIL):
		return errNoDescriptors
	}
	return errReset
}
