package coordinator

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chalkring/internal/http1"
)

const (
	requestReadTimeout = 2500 * time.Millisecond // to read a request, the first one counted from admitting the connection; the platform requires less than 3 s
	clientIdleTimeout  = 3 * time.Second         // after which an idle client connection is closed; typical clients send several requests a second
	finalReadGrace     = 50 * time.Millisecond   // for one more read after a read timeout, since the bytes may have arrived already
	stopIdleTimeout    = time.Second             // after which, during shutdown, a connection without a request is closed; its client has had time to close it
	lingerTimeout      = time.Second             // for a client to read its last answer and close the connection
	discardBufferSize  = 4 << 10
	maxLingerBytes     = 256 << 10 // bytes read during lingerTimeout: four bodies of the maximum size
)

// clientConnection is one client's connection. Its fields belong to the reading goroutine, except for atomic ones and
// those marked as owned by the limiter.
type clientConnection struct {
	*clientListener
	*messageConn
	idleElement       *list.Element // in the limiter's list while no request is in progress; owned by the limiter
	requestBegun      bool          // the first bytes of a request have been read; owned by the limiter
	listedAt          time.Time     // when it became idle or its request began to arrive; owned by the limiter
	conn              net.Conn
	reader            *http1.Reader
	readiness         *readiness // nil if the connection's socket is not known
	bytesReady        bool       // Read returns at once
	pastDeadline      bool       // the next read has to be without blocking, since the deadline has passed
	share             clientShare
	evicted           atomic.Bool // the request that is arriving has to make room for others
	firstDeadline     time.Time   // for the first request; zero once it has been read
	requestDeadline   time.Time   // for the request being read; zero between requests
	unread            stall       // while it waited for room, in which its first request may have arrived; zero if it did not wait
	waitedSince       time.Time   // for a turn, in which the request that is being read may have arrived; zero if it did not wait
	reads             int         // that returned bytes
	bufferedAt        time.Time   // when the bytes of a pipelined request were read, those up to bufferedReads
	bufferedReads     int         // the value of reads then
	lastSearch        *search     // nil before the first search
	awaitingAnswer    bool
	stopReadDeadline  time.Time // for the next request during shutdown; zero if none is set
	extendedOnce      bool      // finalReadGrace has been used since the last request
	answered          chan struct{}
	lastAnswerWritten atomic.Bool  // the answer after which the connection closes has been written
	hasPipelined      atomic.Bool  // during shutdown: bytes of the next request arrived before the previous one was answered
	askedToLeave      atomic.Bool  // by the limiter, to make room for a new connection
	unsentBytes       atomic.Int64 // of answers that are not written yet
}

// isAwaitingAnswer reports whether the last request is not answered yet.
func (c *clientConnection) isAwaitingAnswer() bool {
	select {
	case <-c.answered:
		c.awaitingAnswer = false
	default:
	}
	return c.awaitingAnswer
}

// acceptsLateRequest reports whether the connection still waits for a request during shutdown. The deadline is stored,
// since several goroutines may wake the reader meanwhile.
func (c *clientConnection) acceptsLateRequest(now time.Time) bool {
	if c.stopping.Err() == nil {
		return false
	}
	if c.stopReadDeadline.IsZero() {
		c.stopReadDeadline = now.Add(stopIdleTimeout)
	}
	return now.Before(c.stopReadDeadline)
}

// readRequests reads requests one after another. It keeps reading while a search is open, and so notices when the client
// closes the connection.
func (c *clientConnection) readRequests(ctx context.Context) error {
	unhook := context.AfterFunc(c.stopping, c.interruptRead)
	defer unhook()
	c.readiness = newReadiness(c.conn)
	c.reader = http1.NewAccountedReader(c)
	defer c.reader.Close()
	defer c.endTurn()
	for {
		err := c.awaitRequest(ctx)
		if errors.Is(err, errOverloaded) && !c.isAwaitingAnswer() {
			return c.endOverloaded(ctx)
		}
		if err != nil {
			return err
		}
		keep, err := c.readRequest()
		if err := c.handleRequestError(ctx, err, keep); err != nil {
			return err
		}
	}
}

// awaitRequest waits for the first bytes of the next request and for the answer to the previous one.
func (c *clientConnection) awaitRequest(ctx context.Context) error {
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
		c.noteBuffered()
		next := c.handlePipelined
		if c.loop.isStopping() {
			next = c.awaitPreviousAnswer
		}
		if err := next(ctx); err != nil && !c.lastAnswerWritten.Load() {
			return connectionEndOf(err)
		}
	}
	// This check comes after awaiting the answer, which may set lastAnswerWritten in the meantime. Without it, a request
	// that was read after the last answer would be dispatched.
	if c.lastAnswerWritten.Load() {
		c.linger()
		return errClosing
	}
	return nil
}

// readRequest reads a request whose first bytes have arrived and starts to serve it. keep reports whether its client
// keeps the connection open.
func (c *clientConnection) readRequest() (keep bool, err error) {
	c.markArriving()
	if c.requestDeadline = c.firstDeadline; c.firstDeadline.IsZero() {
		c.requestDeadline = time.Now().Add(requestReadTimeout)
	} else if c.extendedOnce {
		c.requestDeadline = time.Now().Add(finalReadGrace)
	}
	c.setReadDeadline(c.requestDeadline)
	if err := c.beginTurn(); err != nil {
		return false, err
	}
	method, target, head, body, keep, err := c.reader.ReadRequest()
	arrivedAt := c.loop.Clock.Now()
	if c.reads == c.bufferedReads { // all of it was read while the one before was open
		arrivedAt = c.bufferedAt
	}
	if earliest := c.earliestArrival(arrivedAt); earliest.Before(arrivedAt) {
		arrivedAt = c.loop.arrivalBetween(earliest, arrivedAt, c.conn)
	}
	c.unread, c.waitedSince = stall{}, time.Time{}
	c.firstDeadline, c.stopReadDeadline, c.extendedOnce = time.Time{}, time.Time{}, false
	c.markComplete()
	if err == nil {
		c.share.pieces = 0
		c.limiter.markBusy(c)
		c.awaitingAnswer = true
		err = c.handleRequest(method, target, head, body, keep, arrivedAt)
	}
	return keep, err
}

// earliestArrival returns the earliest time at which the last bytes of a request may have arrived that was read completely
// at the given time: they may have waited for room or for a turn.
func (c *clientConnection) earliestArrival(readAt time.Time) time.Time {
	earliest := readAt
	if !c.waitedSince.IsZero() {
		earliest = c.waitedSince
	}
	if ticks := c.loop.ticksAt(earliest); c.unread.mayHaveHeld(ticks) {
		return earliest.Add(-time.Duration(ticks-c.unread.from) * tick)
	}
	return earliest
}

// handleRequestError answers a request that could not be served. It returns nil if the next request can be read.
func (c *clientConnection) handleRequestError(ctx context.Context, err error, keep bool) error {
	var rejected requestError
	var invalid http1.InvalidMessageError
	switch {
	case errors.Is(err, errNoIngressRoom):
		return c.endOverloaded(ctx)
	case errors.Is(err, errPipelined):
		c.loop.log.warnLimited("request_pipelined", "request_pipelined", "client", c.conn.RemoteAddr().String())
		c.endWithError(ctx, 400)
		return errMalformed
	case errors.As(err, &rejected): // the request was read completely, so the start of the next one is known
		if rejected.status < 500 {
			c.share.standing.recordRefused()
		}
		c.share.cost += answerCost
		c.loop.log.warnLimited("refused", "refused", "client", c.conn.RemoteAddr().String(), "status", rejected.status,
			"error", rejected.text)
		c.respond(rejected.status, "", []byte("{}"), keep)
	case errors.As(err, &invalid):
		c.loop.log.warnLimited("bad_request", "bad_request", "client", c.conn.RemoteAddr().String(),
			"status", invalid.Status, "error", invalid.Message)
		c.share.cost += answerCost
		c.endWithError(ctx, invalid.Status)
		return errMalformed
	case err != nil:
		return connectionEndOf(err)
	}
	return nil
}

// markArriving records that a request arrives, which may have to make room for others until markComplete.
func (c *clientConnection) markArriving() {
	c.limiter.markRequestBegun(c)
	c.control.markArriving(&c.share.holding, c.evict)
}

// markComplete records that a request has arrived completely or that its reading has failed.
func (c *clientConnection) markComplete() {
	c.control.markComplete(&c.share.holding)
	c.evicted.Store(false)
}

// endOverloaded answers a request for which there is no room, however much of it has arrived, and ends the connection.
func (c *clientConnection) endOverloaded(ctx context.Context) error {
	c.loop.log.warnLimited("overloaded", "client_overloaded", "client", c.conn.RemoteAddr().String())
	c.markComplete()
	c.endWithError(ctx, 503)
	return errOverloaded
}

// endWithError sends a last answer and waits until it is written and its client has had time to read it.
func (c *clientConnection) endWithError(ctx context.Context, status int) {
	c.awaitingAnswer = true
	c.respond(status, "", []byte("{}"), false)
	c.linger()
	_ = c.awaitAnswer(ctx) // the connection ends in any case
}

// handlePipelined handles bytes that arrived before the answer to the previous request was completely written. If that
// answer is being written, its client may have received it already. Otherwise the client pipelines, which the protocol
// forbids: the open search is withdrawn and gets an error, so that a client cannot send hundreds of requests at once.
func (c *clientConnection) handlePipelined(ctx context.Context) error {
	search := c.lastSearch
	c.endTurn()
	c.loop.submit(func() {
		if search != nil && !search.ended {
			c.pendingWrites = append(c.pendingWrites, c.loop.withdrawSearch(search)...)
			c.loop.log.warnLimited("request_pipelined", "request_pipelined", "client", c.conn.RemoteAddr().String())
			c.respond(400, "", []byte("{}"), false)
		}
	})
	return c.awaitAnswer(ctx)
}

// noteBuffered records when bytes of a pipelined request were read, unless they came with those recorded before.
func (c *clientConnection) noteBuffered() {
	if c.reads != c.bufferedReads {
		c.bufferedAt, c.bufferedReads = c.loop.Clock.Now(), c.reads
	}
}

// awaitPreviousAnswer is called when, during shutdown, bytes of the next request arrive before the previous one is
// answered. It waits for that answer, after which the next request is served, since the client may have sent it before
// learning of the shutdown. Meanwhile it reads ahead as far as the buffer has room, and so notices when the client closes
// the connection.
func (c *clientConnection) awaitPreviousAnswer(ctx context.Context) error {
	c.hasPipelined.Store(true)
	defer c.hasPipelined.Store(false)
	for c.isAwaitingAnswer() {
		switch err := c.reader.ReadAhead(); {
		case errors.Is(err, http1.ErrBufferFull), errors.Is(err, errNoIngressRoom):
			return c.handlePipelined(ctx) // whether the client has left could not be seen any more
		case err != nil && !errors.Is(err, errNextRequest):
			return err
		}
		c.noteBuffered()
	}
	if c.lastAnswerWritten.Load() {
		return errClosing
	}
	return nil
}

// errNextRequest ends reading ahead, since the awaited answer has been written.
var errNextRequest = errors.New("previous request is answered; the next one can be read")

// awaitAnswer blocks until the awaited answer is written, if there is one.
func (c *clientConnection) awaitAnswer(ctx context.Context) error {
	c.endTurn()
	if c.isAwaitingAnswer() {
		select {
		case <-c.answered:
			c.awaitingAnswer = false
		case <-ctx.Done():
			return errClosing
		}
	}
	if c.lastAnswerWritten.Load() {
		return errClosing
	}
	return nil
}

// linger reads and discards bytes for a while after the last answer: closing with unread bytes would send a reset, which
// can cut off the answer before the client has read it.
func (c *clientConnection) linger() {
	c.reader.Close()
	c.requestDeadline = time.Now().Add(lingerTimeout)
	c.setReadDeadline(c.requestDeadline)
	for left := maxLingerBytes; left > 0; {
		n, err := c.discard()
		if left -= n; err != nil {
			return
		}
	}
}

// discardBuffers are for bytes that are dropped.
var discardBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, discardBufferSize)
	return &buffer
}}

// discard reads once and drops what it has read. It takes a buffer only once there is something to read.
func (c *clientConnection) discard() (n int, err error) {
	if err := c.AwaitBytes(); err != nil {
		return 0, err
	}
	buffer := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(buffer)
	return c.Read(*buffer)
}

// setReadDeadline sets the read deadline. If the connection has been asked to make room, the read is interrupted instead.
func (c *clientConnection) setReadDeadline(at time.Time) {
	c.conn.SetReadDeadline(at)
	if c.askedToLeave.Load() || c.evicted.Load() {
		c.interruptRead()
	}
}

// setIdleDeadline limits how long the connection may be idle. If a shutdown has begun, the read is interrupted instead.
func (c *clientConnection) setIdleDeadline(limit time.Time) {
	c.setReadDeadline(limit)
	if c.stopping.Err() != nil {
		c.interruptRead()
	}
}

// clearReadDeadline removes the read deadline while an answer is awaited. If the answer has been written in the meantime,
// this also removes the deadline that its writer set, so that deadline is set again.
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
