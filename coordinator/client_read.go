package coordinator

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chalkring/coordinator/ingress"
)

// Read implements io.Reader. It continues after read deadlines that other goroutines have set only to wake it. What it
// returns is handled in a turn, which ends before the next wait.
func (c *clientConnection) Read(p []byte) (int, error) {
	for {
		if err := c.AwaitBytes(); err != nil {
			return 0, err
		}
		c.bytesReady = false
		read := c.conn.Read
		if c.pastDeadline {
			c.pastDeadline = false
			read = nonBlockingRead(c.conn)
		}
		n, err := read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if err = c.handleReadDeadline(); err == nil {
				continue
			}
		}
		if n > 0 {
			c.reads++
			c.share.pieces++
			if c.share.pieces > maxPieces && c.isAwaitingAnswer() && !c.hasPipelined.Load() {
				return 0, errMalformed // no request, but bytes without end
			}
			if turnErr := c.beginTurn(); turnErr != nil {
				return 0, turnErr
			}
			c.share.cost += time.Duration(n) * byteCost
		}
		return n, err
	}
}

// AwaitBytes implements http1.AccountedSource: it waits, without a turn, until Read has something to return, and then for
// a turn. If the connection's socket is not known, the waits are left to Read.
func (c *clientConnection) AwaitBytes() error {
	if c.bytesReady {
		return nil
	}
	c.endTurn()
	for {
		if c.hasPipelined.Load() && !c.isAwaitingAnswer() {
			return errNextRequest
		}
		if c.readiness == nil {
			return nil
		}
		err := c.readiness.await()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if err = c.handleReadDeadline(); err != nil {
				return err
			}
			if !c.pastDeadline {
				continue
			}
		}
		if err != nil {
			return err
		}
		if c.readiness.hungUp && c.isAwaitingAnswer() {
			return errPeerClosed // without reading what the client sent before it left
		}
		c.bytesReady = true
		if !c.lastAnswerWritten.Load() && !c.isAwaitingAnswer() {
			c.limiter.markRequestBegun(c) // it need not make room while it waits for its turn
		}
		return c.beginTurn()
	}
}

// beginTurn waits for a turn, if the connection has none, until the time at which the request has to be complete; for its
// first turn less, so that a client that cannot be served knows it soon.
func (c *clientConnection) beginTurn() error {
	if c.control == nil || c.share.inTurn {
		return nil
	}
	until := c.requestDeadline
	if until.IsZero() {
		until = time.Now().Add(requestReadTimeout)
	}
	switch {
	case c.lastAnswerWritten.Load():
		until = time.Now().Add(maxLingerWait)
	case c.share.pieces == 0:
		until = time.Now().Add(maxFirstTurnWait)
	}
	if !c.askedToLeave.Load() {
		c.share.turn.forgetLeave()
	}
	askedAt := c.loop.Clock.Now()
	if err := c.control.begin(c.ctx, &c.share.turn, c.priority(), until); err != nil {
		return err
	}
	if c.waitedSince.IsZero() && c.loop.Clock.Now().Sub(askedAt) > maxPromptTurn {
		c.waitedSince = askedAt
	}
	c.share.inTurn, c.share.cost = true, turnCost
	return nil
}

// priority returns the priority of the connection's next turn.
func (c *clientConnection) priority() ingress.Priority {
	if c.isAwaitingAnswer() {
		return ingress.Trusted // it may be the client's leaving, which must be noticed at once
	}
	priority, allowed := c.share.standing.priority(), maxPieces
	if priority == ingress.Unproven {
		allowed = maxFirstPieces
	}
	if c.share.pieces >= allowed || c.lastAnswerWritten.Load() {
		return ingress.Suspect
	}
	return priority
}

// endTurn ends the connection's turn, if it has one. It is called before every wait.
func (c *clientConnection) endTurn() {
	if c.share.inTurn {
		c.share.inTurn = false
		c.control.end(&c.share.turn, c.share.cost)
	}
}

// Reserve implements http1.AccountedSource.
func (c *clientConnection) Reserve(bytes int) error {
	if c.control == nil {
		return nil
	}
	return c.control.reserve(&c.share.holding, bytes)
}

// Release implements http1.AccountedSource.
func (c *clientConnection) Release(bytes int) {
	if c.control != nil {
		c.control.release(&c.share.holding, bytes)
	}
}

// evict makes the connection's reader give up the request that is arriving. The ingress control calls it.
func (c *clientConnection) evict() {
	c.evicted.Store(true)
	c.interruptRead()
}

// handleReadDeadline decides how to proceed after an expired read deadline. It returns an error that ends the connection,
// or sets a new deadline to continue reading, or sets pastDeadline if there are bytes that have to be read nevertheless.
func (c *clientConnection) handleReadDeadline() error {
	now, isReading := time.Now(), !c.requestDeadline.IsZero()
	switch {
	case c.lastAnswerWritten.Load() && (c.askedToLeave.Load() || !now.Before(c.requestDeadline)):
		return errClosing
	case c.evicted.Load():
		return errNoIngressRoom
	case c.askedToLeave.Load() && !c.hasPipelined.Load(): // pipelined requests are handled first
		// A connection must not be closed to make room while a request that has arrived on it is still unread.
		if c.readiness != nil && pollSocket(c.conn, unix.POLLIN) == unix.POLLIN {
			c.pastDeadline = true
			return nil
		}
		return errDisplaced
	case isReading && now.Before(c.requestDeadline):
		c.setReadDeadline(c.requestDeadline)
	case !isReading && c.isAwaitingAnswer():
		c.clearReadDeadline()
	case !isReading && c.acceptsLateRequest(now):
		c.setReadDeadline(c.stopReadDeadline)
	case !c.extendedOnce:
		// After a stall of the process, a request may have arrived in time and still be unread.
		c.extendedOnce = true
		c.setReadDeadline(now.Add(finalReadGrace))
	case isReading:
		return errReadTimeout
	case c.stopping.Err() != nil:
		return errClosing
	default:
		return errIdle
	}
	return nil
}

// readiness tells when a connection has something to read, without reading it, so that no buffer is needed meanwhile. It
// allocates nothing after newReadiness.
type readiness struct {
	raw    syscall.RawConn
	fds    [1]unix.PollFd
	due    bool                  // there is something to read
	hungUp bool                  // the other side has closed the connection, whatever is unread before that
	poll   func(fd uintptr) bool // sets due and hungUp, and returns due
	lookAt func(fd uintptr)
}

// newReadiness returns the readiness of a connection, or nil if its socket is not known.
func newReadiness(conn net.Conn) *readiness {
	raw := rawConnOf(conn)
	if raw == nil {
		return nil
	}
	r := &readiness{raw: raw}
	r.poll = func(fd uintptr) bool {
		r.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		n, err := unix.Poll(r.fds[:], 0)
		r.hungUp = n > 0 && r.fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		r.due = n > 0 || err != nil && !errors.Is(err, unix.EINTR)
		return r.due
	}
	r.lookAt = func(fd uintptr) { r.poll(fd) }
	return r
}

// await waits until there is something to read: bytes, the end or an error.
func (r *readiness) await() error { return r.raw.Read(r.poll) }

// look sets due and hungUp without waiting. A connection that this process has closed counts as hung up.
func (r *readiness) look() {
	if r.raw.Control(r.lookAt) != nil {
		r.due, r.hungUp = true, true
	}
}
