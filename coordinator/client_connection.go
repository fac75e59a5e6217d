package coordinator

import (
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"chalkring/internal/http1"
)

const (
	requestReadTimeout = 2500 * time.Millisecond // for a request to arrive, the first from connecting: the platform owes under 3 s
	clientIdleTimeout  = 3 * time.Second         // after which an idle client connection is closed: usual clients send several requests a second
	finalReadGrace     = 50 * time.Millisecond   // for one more read after a request's time ran out: its bytes may be there already
	stopIdleTimeout    = time.Second             // without a request during shutdown: the client has had time to close
	lingerTimeout      = time.Second             // for a client to read its last answer and close
	maxLingerBytes     = 256 << 10               // bytes read meanwhile: four of the longest bodies
)

// clientConnection is one client's connection. Its fields are the reading goroutine's, but for atomic ones and those
// marked as the limiter's.
type clientConnection struct {
	*clientListener
	*messageConn
	idleElement       *list.Element // in the limiter's list while no request is in progress; the limiter's
	requestBegun      bool          // the first bytes of a request have been read; the limiter's
	conn              net.Conn
	reader            *http1.Reader
	readAvailable     func(p []byte) (int, error) // reads without waiting; nil where the connection cannot
	firstDeadline     time.Time                   // for the first request; zero once it has been read
	requestDeadline   time.Time                   // for the request that is being read
	lastSearch        *search                     // nil before the first
	awaitingAnswer    bool
	stopReadDeadline  time.Time // for one more request during shutdown; zero while none is awaited
	extendedOnce      bool      // finalReadGrace has been used since the last request
	answered          chan struct{}
	lastAnswerWritten atomic.Bool  // the connection's last answer is written
	hasPipelined      atomic.Bool  // bytes of the next request have arrived before the answer, during shutdown
	askedToLeave      atomic.Bool  // to make room for a new connection; the limiter's
	unsentBytes       atomic.Int64 // of answers that are not written
}

// isAwaitingAnswer says whether the last request is not answered yet.
func (c *clientConnection) isAwaitingAnswer() bool {
	select {
	case <-c.answered:
		c.awaitingAnswer = false
	default:
	}
	return c.awaitingAnswer
}

// Read implements io.Reader. It reads on past deadlines that others have set only to wake it.
func (c *clientConnection) Read(p []byte) (int, error) {
	for {
		if c.hasPipelined.Load() && !c.isAwaitingAnswer() {
			return 0, errNextRequest
		}
		n, err := c.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if n, err := c.handleReadDeadline(p); n > 0 || err != nil {
			return n, err
		}
	}
}

// handleReadDeadline decides what a read deadline that is over means. It returns bytes that were read after all, or an
// error that ends the connection, or neither, and then sets another deadline to read on.
func (c *clientConnection) handleReadDeadline(p []byte) (int, error) {
	now, isReading := time.Now(), !c.requestDeadline.IsZero()
	switch {
	case c.lastAnswerWritten.Load() && !now.Before(c.requestDeadline):
		return 0, errClosing
	case c.askedToLeave.Load() && !c.hasPipelined.Load(): // what has been read ahead is handled first
		// A connection must not make room for the next one while its request has arrived and was not read.
		if c.readAvailable != nil {
			if n, _ := c.readAvailable(p); n > 0 {
				return n, nil
			}
		}
		return 0, errDisplaced
	case isReading && now.Before(c.requestDeadline):
		c.setReadDeadline(c.requestDeadline)
	case !isReading && c.isAwaitingAnswer():
		c.clearReadDeadline()
	case !isReading && c.acceptsLateRequest(now):
		c.setReadDeadline(c.stopReadDeadline)
	case !c.extendedOnce:
		// After a stall of the process, the request may have arrived without time to read it.
		c.extendedOnce = true
		c.setReadDeadline(now.Add(finalReadGrace))
	case isReading:
		return 0, errReadTimeout
	case c.stopping.Err() != nil:
		return 0, errClosing
	default:
		return 0, errIdle
	}
	return 0, nil
}

// acceptsLateRequest says whether a request that arrives soon is still served during shutdown. Several goroutines may
// wake the reader meanwhile.
func (c *clientConnection) acceptsLateRequest(now time.Time) bool {
	if c.stopping.Err() == nil {
		return false
	}
	if c.stopReadDeadline.IsZero() {
		c.stopReadDeadline = now.Add(stopIdleTimeout)
	}
	return now.Before(c.stopReadDeadline)
}

// readRequests reads one request after another. While a search is open it waits for the next request, and so sees the
// client leave.
func (c *clientConnection) readRequests(ctx context.Context) error {
	unhook := context.AfterFunc(c.stopping, c.interruptRead)
	defer unhook()
	pooled := borrowBuffer()
	defer returnBuffer(pooled)
	buffer := (*pooled)[:bufferSize]
	c.reader, c.readAvailable = http1.NewReader(c, buffer), nonBlockingRead(c.conn)
	for {
		if err := c.awaitRequest(ctx, buffer); err != nil {
			return err
		}
		keep, err := c.readRequest()
		if err := c.handleRequestError(ctx, err, keep, buffer); err != nil {
			return err
		}
	}
}

// awaitRequest waits for the first bytes of the next request, and for the answer to the one before.
func (c *clientConnection) awaitRequest(ctx context.Context, buffer []byte) error {
	c.requestDeadline = time.Time{}
	switch {
	case !c.firstDeadline.IsZero():
		c.setIdleDeadline(c.firstDeadline)
	case c.isAwaitingAnswer():
		c.clearReadDeadline()
	default:
		c.setIdleDeadline(time.Now().Add(clientIdleTimeout))
	}
	if err := c.reader.AwaitMessage(); err != nil {
		return connectionEndOf(err)
	}
	if c.isAwaitingAnswer() {
		next := c.handlePipelined
		if c.loop.isStopping() {
			next = c.awaitTurn
		}
		if err := next(ctx); err != nil && !c.lastAnswerWritten.Load() {
			return connectionEndOf(err)
		}
	}
	// This check comes after awaiting the answer, which sets the flag. Without it, a request that was read after the
	// last answer would be dispatched: that answer may be written between two checks.
	if c.lastAnswerWritten.Load() {
		c.linger(buffer)
		return errClosing
	}
	return nil
}

// readRequest reads one request whose first bytes have arrived, and starts to serve it; keep says whether its client
// keeps the connection.
func (c *clientConnection) readRequest() (keep bool, err error) {
	c.limiter.markRequestBegun(c)
	if c.requestDeadline = c.firstDeadline; c.firstDeadline.IsZero() {
		c.requestDeadline = time.Now().Add(requestReadTimeout)
	} else if c.extendedOnce {
		c.requestDeadline = time.Now().Add(finalReadGrace)
	}
	c.setReadDeadline(c.requestDeadline)
	method, target, head, body, keep, err := c.reader.ReadRequest()
	arrivedAt := c.loop.Clock.Now()
	c.firstDeadline, c.stopReadDeadline, c.extendedOnce = time.Time{}, time.Time{}, false
	if err == nil {
		c.limiter.markBusy(c)
		c.awaitingAnswer = true
		err = c.handleRequest(method, target, head, body, keep, arrivedAt)
	}
	return keep, err
}

// handleRequestError answers a request that could not be served. It returns nil where the next request can be read.
func (c *clientConnection) handleRequestError(ctx context.Context, err error, keep bool, buffer []byte) error {
	var rejected requestError
	var invalid http1.InvalidMessageError
	switch {
	case errors.As(err, &rejected): // the next request's begin is known
		c.loop.log.warnLimited("refused", "refused", "client", c.conn.RemoteAddr().String(), "status", rejected.status,
			"error", rejected.text)
		c.respond(rejected.status, "", []byte("{}"), keep)
	case errors.As(err, &invalid):
		c.loop.log.warnLimited("bad_request", "bad_request", "client", c.conn.RemoteAddr().String(),
			"status", invalid.Status, "error", invalid.Message)
		c.respond(invalid.Status, "", []byte("{}"), false)
		c.linger(buffer)
		_ = c.awaitAnswer(ctx) // the connection ends in any case
		return errMalformed
	case err != nil:
		return connectionEndOf(err)
	}
	return nil
}

// handlePipelined handles bytes that arrived before the answer to the request before them. If that answer is being
// written, its client may have it already. Otherwise the client pipelines, which the protocol rules out: the open
// search is withdrawn and gets an error, so that a client cannot send hundreds of requests at once.
func (c *clientConnection) handlePipelined(ctx context.Context) error {
	search := c.lastSearch
	c.loop.submit(func() {
		if search != nil && !search.ended {
			c.pendingWrites = append(c.pendingWrites, c.loop.withdrawSearch(search)...)
			c.loop.log.warnLimited("request_pipelined", "request_pipelined", "client", c.conn.RemoteAddr().String())
			c.respond(400, "", []byte("{}"), false)
		}
	})
	return c.awaitAnswer(ctx)
}

// awaitTurn waits, during shutdown, for the answer to the request before, so that the next one is served after it: its
// client may have sent it before it could know of the shutdown. It reads on meanwhile, as far as the buffer has room,
// and so sees the client leave.
func (c *clientConnection) awaitTurn(ctx context.Context) error {
	c.hasPipelined.Store(true)
	defer c.hasPipelined.Store(false)
	for c.isAwaitingAnswer() {
		switch err := c.reader.ReadAhead(); {
		case errors.Is(err, http1.ErrBufferFull):
			return c.awaitAnswer(ctx)
		case err != nil && !errors.Is(err, errNextRequest):
			return err
		}
	}
	if c.lastAnswerWritten.Load() {
		return errClosing
	}
	return nil
}

// errNextRequest ends reading ahead: the awaited answer is written.
var errNextRequest = errors.New("the next request follows")

// awaitAnswer blocks until the awaited answer is written.
func (c *clientConnection) awaitAnswer(ctx context.Context) error {
	select {
	case <-c.answered:
		c.awaitingAnswer = false
	case <-ctx.Done():
		return errClosing
	}
	if c.lastAnswerWritten.Load() {
		return errClosing
	}
	return nil
}

// linger reads on for a while after a last answer, so that no reset cuts it off before the client has read it.
func (c *clientConnection) linger(buf []byte) {
	c.requestDeadline = time.Now().Add(lingerTimeout)
	c.setReadDeadline(c.requestDeadline)
	for left := maxLingerBytes; left > 0; {
		n, err := c.Read(buf)
		if left -= n; err != nil {
			return
		}
	}
}

// setReadDeadline bounds reading, unless the connection was just asked to make room.
func (c *clientConnection) setReadDeadline(at time.Time) {
	c.conn.SetReadDeadline(at)
	if c.askedToLeave.Load() {
		c.interruptRead()
	}
}

// setIdleDeadline bounds how long the connection may be idle, unless a shutdown has just begun.
func (c *clientConnection) setIdleDeadline(limit time.Time) {
	c.setReadDeadline(limit)
	if c.stopping.Err() != nil {
		c.interruptRead()
	}
}

// clearReadDeadline reads on for as long as an answer is awaited. If that was written just now, the deadline that its
// writer set has been removed, and is set again.
func (c *clientConnection) clearReadDeadline() {
	c.conn.SetReadDeadline(time.Time{})
	switch {
	case c.isAwaitingAnswer():
	case c.lastAnswerWritten.Load():
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	default:
		c.setIdleDeadline(time.Now().Add(clientIdleTimeout))
	}
}

// interruptRead makes a blocked read return.
func (c *clientConnection) interruptRead() { c.conn.SetReadDeadline(time.Unix(1, 0)) }
