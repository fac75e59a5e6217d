package coordinator

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
)

// connectionEndError is how a connection came to its end. It is the error of all code on that connection.
type connectionEndError int

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

func (e connectionEndError) Error() string { return connectionEndNames[e] }

// attemptOutcome is the one place where ends of connections become the module's words. What the other side ended: a
// part whose frame was never on it whole could not connect, any other was reset; but on a connection that had
// proved to work the first was just never sent, since no connect had failed. What this side ended: a part
// was never sent, or was called off, and may have run; the replica is not down for that. Guards against a
// spoilt answer that stands for a crash. But whoever spoils an answer has failed one part, the first.
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

// isCertain tells whether a connection's end leaves no doubt that what was out on it is over for the other side too: that
// side has ended it, or had just been heard as this side did. Our own end of a connection that has fallen silent does not
// arrive.
func (e connectionEndError) isCertain() bool {
	switch e {
	case errNotConnected, errPeerClosed, errReset, errMalformed, errRejectedByPeer, errFault:
		return true
	}
	return false
}

// connectionEndOf names what reading met.
func connectionEndOf(err error) connectionEndError {
	var e connectionEndError
	switch {
	case errors.As(err, &e):
		return e
	case err == io.EOF:
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
