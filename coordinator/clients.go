package coordinator

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chalkring/internal/http1"
)

// clientListener is the clients' side: it turns HTTP requests into searches for the owner and results into responses.
type clientListener struct {
	loop             *eventLoop
	limiter          *connectionLimiter
	classes, tenants map[string]int
	stopping         context.Context // done once no new connections are taken, acceptAfterStop after the co-ordinator was told to end
}

// accept takes clients' connections in until the listener is closed.
func (f *clientListener) accept() error {
	loop := f.loop
	for taken := false; ; { // some connection, since the listener was last given its time
		conn, err := loop.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // see acceptLast
			// Guards against a wait for room that lasts over that time: the others that have come would be reset.
			if taken {
				taken = false
				loop.acceptLast()
				continue
			}
			loop.Listener.Close()
			err = net.ErrClosed
		}
		if errors.Is(err, net.ErrClosed) {
			loop.submit(func() { loop.listenerClosed = true })
			return nil
		}
		if err != nil {
			loop.log.warnLimited("accept", "accept_failed", "error", err)
			select {
			case <-loop.Clock.After(acceptRetryDelay):
			case <-loop.ctx.Done():
			}
			continue
		}
		taken = true
		client := &clientConnection{
			clientListener: f, messageConn: newMessageConn(loop.ctx, clientQueueSize), conn: conn,
			answered: make(chan struct{}, 1),
		}
		client.log = loop.log
		if !f.limiter.admit(client, loop.ctx.Done()) {
			conn.Close()
			return nil
		}
		client.firstDeadline = time.Now().Add(requestReadTimeout) // it may have waited for room longer than that
		loop.submit(func() { loop.clients[client.messageConn] = true })
		loop.group.Go(func() error {
			end := client.serve(conn, clientWriteTimeout, client.readRequests, client.handleWritten)
			f.limiter.release(client)
			loop.submit(func() {
				delete(loop.clients, client.messageConn)
				loop.unsentBytes.Add(-client.unsentBytes.Swap(0))
				if client.lastSearch != nil { // whichever way it ended: a search still on it has lost its client
					loop.withdrawSearch(client.lastSearch)
				}
			})
			switch end {
			case endReadTimeout, endMalformed, endQueueFull, endWriteFailed, endDisplaced, endFault:
				loop.log.warnLimited("client "+end.Error(), "client_connection_ended", "client", conn.RemoteAddr().String(), "end", end)
			}
			return nil
		})
	}
}

// clientConnection is one clientConnection's connection. Its fields are the reading goroutine's, but for over.
type clientConnection struct {
	*clientListener
	*messageConn
	idleElement       *list.Element // in the gate's list, while no request is at work; the gate's
	requestBegun      bool          // a request is, and is not there yet; the gate's
	conn              net.Conn
	reader            *http1.Reader
	readAvailable     func(p []byte) (int, error) // reads without waiting; nil where that is not known
	firstDeadline     time.Time                   // limit of the first request; zero once that is there
	requestDeadline   time.Time                   // of the request that is being read
	lastSearch        *search                     // the last one
	awaitingAnswer    bool                        // for an answer
	stopReadDeadline  time.Time                   // until when a last request is awaited, since the one before it; zero while it need not be
	extendedOnce      bool                        // its time was over and it was looked once more, since the request before
	answered          chan struct{}
	lastAnswerWritten atomic.Bool  // the last answer is out
	hasPipelined      atomic.Bool  // bytes have come behind the request that is open, as the co-ordinator stops
	askedToLeave      atomic.Bool  // to make room for another; the gate's
	unsentBytes       atomic.Int64 // bytes of answers that it has not taken
}

func (c *clientConnection) isAwaitingAnswer() bool {
	select {
	case <-c.answered:
		c.awaitingAnswer = false
	default:
	}
	return c.awaitingAnswer
}

// Read reads on over the deadlines that others set to wake it.
func (c *clientConnection) Read(p []byte) (int, error) {
	for {
		if c.hasPipelined.Load() && !c.isAwaitingAnswer() {
			return 0, errNextRequest
		}
		n, err := c.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch now := time.Now(); {
		case c.lastAnswerWritten.Load() && !now.Before(c.requestDeadline):
			return 0, endClosing
		case c.askedToLeave.Load() && !c.hasPipelined.Load(): // what has been read ahead is looked at first
			// Guards against a newcomer that makes room for the next before its request, which is there, has been read.
			if c.readAvailable != nil {
				if n, _ := c.readAvailable(p); n > 0 {
					return n, nil
				}
			}
			return 0, endDisplaced
		case !c.requestDeadline.IsZero() && now.Before(c.requestDeadline):
			c.setReadDeadline(c.requestDeadline)
		case c.requestDeadline.IsZero() && c.isAwaitingAnswer():
			c.clearReadDeadline()
		case c.requestDeadline.IsZero() && c.acceptsLateRequest(now):
			c.setReadDeadline(c.stopReadDeadline)
		case !c.extendedOnce:
			// guards against a process that was held up: what came meanwhile lies there, and no time was left to read it
			c.extendedOnce = true
			c.setReadDeadline(now.Add(finalReadGrace))
		case !c.requestDeadline.IsZero():
			return 0, endReadTimeout
		case c.stopping.Err() != nil:
			return 0, endClosing
		default:
			return 0, endIdle
		}
	}
}

// acceptsLateRequest tells whether a request that comes soon is still taken, as the co-ordinator stops; more than one may wake it meanwhile.
func (c *clientConnection) acceptsLateRequest(now time.Time) bool {
	if c.stopping.Err() == nil {
		return false
	}
	if c.stopReadDeadline.IsZero() {
		c.stopReadDeadline = now.Add(stopIdleTimeout)
	}
	return now.Before(c.stopReadDeadline)
}

// readRequests takes requests one after another. While a search is on, it waits for the next request, and so sees
// the client leave.
func (c *clientConnection) readRequests(ctx context.Context) error {
	unhook := context.AfterFunc(c.stopping, c.interruptRead)
	defer unhook()
	buf := borrowBuffer()
	defer returnBuffer(buf)
	c.reader, c.readAvailable = http1.NewReader(c, (*buf)[:bufferSize]), nonBlockingRead(c.conn)
	for {
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
		// After what is awaited, since an answer sets it first. Guards against a request that is sent on though it was read
		// after the shutdown: a last answer may go out between two looks.
		if c.lastAnswerWritten.Load() {
			c.linger((*buf)[:bufferSize])
			return endClosing
		}
		c.limiter.markRequestBegun(c)
		if c.requestDeadline = c.firstDeadline; c.firstDeadline.IsZero() {
			c.requestDeadline = time.Now().Add(requestReadTimeout)
		} else if c.extendedOnce {
			c.requestDeadline = time.Now().Add(finalReadGrace)
		}
		c.setReadDeadline(c.requestDeadline)
		method, target, head, body, keep, err := c.reader.ReadRequest()
		came := c.loop.Clock.Now()
		c.firstDeadline, c.stopReadDeadline, c.extendedOnce = time.Time{}, time.Time{}, false
		if err == nil {
			c.limiter.markBusy(c)
			c.awaitingAnswer = true
			err = c.handleRequest(method, target, head, body, keep, came)
		}
		var no requestError
		var bad http1.InvalidMessageError
		switch {
		case errors.As(err, &no): // the next request can be told from this one
			c.loop.log.warnLimited("refused", "refused", "client", c.conn.RemoteAddr().String(), "status", no.status, "error", no.text)
			c.respond(no.status, "", []byte("{}"), keep)
		case errors.As(err, &bad):
			c.loop.log.warnLimited("bad_request", "bad_request", "client", c.conn.RemoteAddr().String(),
				"status", bad.Status, "error", bad.Message)
			c.respond(bad.Status, "", []byte("{}"), false)
			c.linger((*buf)[:bufferSize])
			c.awaitAnswer(ctx)
			return endMalformed
		case err != nil:
			return connectionEndOf(err)
		}
	}
}

// handlePipelined looks at bytes that came before the answer to the request before them. If that answer is on its way,
// its client may have it already. Otherwise the client sends handlePipelined, which the protocol rules out.
// Guards against hundreds of requests sent at once: the one that is open is withdrawn and gets an error.
func (c *clientConnection) handlePipelined(ctx context.Context) error {
	search := c.lastSearch
	c.loop.submit(func() {
		if search != nil && !search.ended {
			c.messageConn.pendingWrites = append(c.messageConn.pendingWrites, c.loop.withdrawSearch(search)...)
			c.loop.log.warnLimited("sent_ahead", "sent_ahead", "client", c.conn.RemoteAddr().String())
			c.respond(400, "", []byte("{}"), false)
		}
	})
	return c.awaitAnswer(ctx)
}

// awaitTurn waits for the answer to the request before, so that the next is taken after it. Guards, as the co-ordinator
// stops, against a connection that is closed under a request: its client may have sent it before it could know. It reads
// on meanwhile, as far as there is room, and so sees the client leave.
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
		return endClosing
	}
	return nil
}

// errNextRequest ends what is read ahead: the answer that was awaited is out.
var errNextRequest = errors.New("the next request's turn")

// awaitAnswer waits for the answer that is awaited.
func (c *clientConnection) awaitAnswer(ctx context.Context) error {
	select {
	case <-c.answered:
		c.awaitingAnswer = false
	case <-ctx.Done():
		return endClosing
	}
	if c.lastAnswerWritten.Load() {
		return endClosing
	}
	return nil
}

// linger reads on with a last answer, which then is not cut off by a reset, so that the client can read why; not for good.
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

// setReadDeadline lets reading wait up to a time. Guards against a newcomer whose kick came just before.
func (c *clientConnection) setReadDeadline(at time.Time) {
	c.conn.SetReadDeadline(at)
	if c.askedToLeave.Load() {
		c.interruptRead()
	}
}

// setIdleDeadline lets the connection be unused up to a time. Guards against a stop whose kick came just before.
func (c *clientConnection) setIdleDeadline(limit time.Time) {
	c.setReadDeadline(limit)
	if c.stopping.Err() != nil {
		c.interruptRead()
	}
}

// clearReadDeadline reads on for as long as an answer is awaited. Guards against one that went out just then: the limit that it
// set has been taken away.
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

func (c *clientConnection) interruptRead() { c.conn.SetReadDeadline(time.Unix(1, 0)) }

// handleWritten is told of each answer that is out whole.
func (c *clientConnection) handleWritten(message *outboundMessage) error {
	c.addUnsent(-len(*message.buffer))
	if message.closesConnection {
		c.lastAnswerWritten.Store(true)
		half, ok := c.conn.(interface{ CloseWrite() error })
		if !ok || half.CloseWrite() != nil {
			return endClosing
		}
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.limiter.markIdle(c, message.closesConnection)
	select {
	case c.answered <- struct{}{}:
	default:
	}
	switch { // after it counts as answered: the reader that is woken here looks for that
	case message.closesConnection:
	case c.hasPipelined.Load():
		c.interruptRead()
	default:
		c.setIdleDeadline(time.Now().Add(clientIdleTimeout))
	}
	return nil
}

// keepAlive tells what an answer says of its connection: keep, that it stays for further requests, and last, that it keepAlive
// here. As the co-ordinator stops, the client is told to close, and what it sends all the same is answered.
func (c *clientConnection) keepAlive(keeps bool) (keep, last bool) {
	if !keeps || c.stopping.Err() == nil {
		return keeps, !keeps
	}
	last = c.loop.closeAfterAnswer.Load()
	return c.hasPipelined.Load() && !last, last
}

func (c *clientConnection) respond(status int, extra string, body []byte, keep bool) {
	keep, last := c.keepAlive(keep)
	buffer := borrowBuffer()
	*buffer = http1.AppendResponse(*buffer, status, extra, body, keep)
	c.sendAnswer(&outboundMessage{buffer: buffer, closesConnection: last})
}

// sendAnswer hands an answer to the writer; until it is taken, it is held.
func (c *clientConnection) sendAnswer(message *outboundMessage) {
	c.addUnsent(len(*message.buffer))
	c.enqueue(message)
}

func (c *clientConnection) addUnsent(n int) {
	c.unsentBytes.Add(int64(n))
	c.loop.unsentBytes.Add(int64(n))
}

// requestError is what a request gets that can be read and not be used.
type requestError struct {
	status int
	text   string
}

func (r requestError) Error() string { return r.text }

func badRequest(format string, v ...any) error { return requestError{400, fmt.Sprintf(format, v...)} }

// handleRequest hands one handleRequest to the owner.
func (c *clientConnection) handleRequest(method, target string, head map[string]string, body []byte, keep bool,
	came time.Time,
) error {
	loop := c.loop
	path, key, err := parseTarget(target)
	if err != nil {
		return badRequest("target %.40q", target)
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	_, known := c.classes[first]
	if path == "/healthz" && (method == "GET" || !known) { // a class may bear that name
		if method != "GET" {
			return requestError{405, "method of /healthz"}
		}
		loop.submit(func() {
			status := 200
			if !loop.hasEndpoints || loop.isStopping() {
				status = 503
			}
			c.respond(status, "", []byte("{}"), keep)
		})
		return nil
	}
	if path == "/metrics" && method == "GET" && (loop.shadowCounts != nil || loop.enforcer != nil) {
		body := loop.metricsBody()
		loop.submit(func() { c.respond(200, "Content-Type: text/plain; version=0.0.4", body, keep) })
		return nil
	}
	qtype, ok := c.classes[head["x-class"]]
	switch {
	case method != "POST" && known:
		return requestError{405, "method of a search"}
	case method != "POST":
		return requestError{404, "no such path"}
	case !ok:
		return badRequest("X-Class %.40q", head["x-class"])
	case first != head["x-class"]:
		return badRequest("X-Class is not the path's")
	}
	s := &search{
		name: head["x-request-id"], key: key, class: qtype, arrivedAt: came,
		isRetry: head["x-retry"] == "1",
	}
	if !isPlainName(s.name) {
		return badRequest("X-Request-Id %.40q", s.name)
	}
	if s.tenant, ok = c.tenants[head["x-tenant"]]; !ok && len(c.tenants) > 0 {
		return badRequest("X-Tenant %.40q", head["x-tenant"])
	}
	wait, err := strconv.ParseFloat(head["x-deadline"], 64)
	if err != nil || strings.Trim(head["x-deadline"], "0123456789.") != "" || wait <= 0 {
		return badRequest("X-Deadline %.40q", head["x-deadline"])
	}
	s.timeout = loop.limitTimeout(time.Duration(math.Min(wait, maxClientTimeout.Seconds())*float64(time.Second)), came)
	if err := s.readBody(body, loop.blockCount); err != nil {
		return err
	}
	if err := c.checkClientGone(); err != nil {
		return err
	}
	s.reply = func(outcome searchOutcome) { c.writeAnswer(outcome, keep) }
	c.lastSearch, s.client = s, c
	loop.submit(func() { loop.startSearch(s) })
	return nil
}

// checkClientGone looks once more, without waiting, whether the client has gone. Guards against a request that is sent on for nobody,
// in a process that comes late to read it.
func (c *clientConnection) checkClientGone() error {
	if c.readAvailable == nil {
		return nil
	}
	err := c.reader.ReadAvailable(c.readAvailable)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return connectionEndOf(err)
	}
	return nil // there is nothing more, or it is not known
}

// rawConnOf is a connection's socket, nil where it has none or is closed here.
func rawConnOf(conn net.Conn) syscall.RawConn {
	there, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := there.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// hasHungUp tells whether the client has ended its side of the connection, as far as the system knows.
func (c *clientConnection) hasHungUp() (ended bool) {
	raw := rawConnOf(c.conn)
	if raw == nil {
		return false
	}
	closed := raw.Control(func(fd uintptr) {
		at := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(at, 0)
		ended = err == nil && n > 0 && at[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || closed != nil
}

// nonBlockingRead gives a read of a connection that does not wait, made once for all its requests; nil where there is none.
func nonBlockingRead(conn net.Conn) func(p []byte) (int, error) {
	raw := rawConnOf(conn)
	if raw == nil {
		return nil
	}
	var into []byte
	var n int
	var err error
	read := func(fd uintptr) { n, err = syscall.Read(int(fd), into) }
	return func(p []byte) (int, error) {
		into = p
		if ended := raw.Control(read); ended != nil { // not Read, which fails once the connection's limit is over
			return 0, ended
		}
		if n == 0 && err == nil {
			return 0, io.EOF
		}
		return n, err
	}
}

// isPlainName tells whether text can stand in a frame's line.
func isPlainName(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] >= 127 {
			return false
		}
	}
	return text != "" && len(text) <= maxRequestIDBytes
}

// parseTarget takes a target apart: its path, and what the request is about.
func parseTarget(target string) (path, key string, err error) {
	path, query, _ := strings.Cut(target, "?")
	key, plain := strings.CutPrefix(query, "k=")
	if isPlainName(target) && target[0] == '/' && !strings.ContainsAny(target, "%+&;#") && (plain || query == "") {
		return path, key, nil
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return "", "", err
	}
	return u.Path, u.Query().Get("k"), nil
}

// writeAnswer writes a final writeAnswer; an owner's call.
func (c *clientConnection) writeAnswer(outcome searchOutcome, keep bool) {
	c.messageConn.pendingWrites = append(c.messageConn.pendingWrites, outcome.pendingWrites...)
	switch outcome.outcome {
	case outcomeDuplicateID:
		c.respond(409, "", []byte("{}"), keep)
	case outcomeResidencyRefused:
		status, body := residencyRefusalBody(outcome.refusal)
		c.respond(status, "", body, keep)
	case outcomeFailed:
		c.respond(500, "", []byte("{}"), keep)
	case outcomeShed:
		extra := ""
		if outcome.retryAfter > 0 {
			extra = "Retry-After: " + strconv.FormatFloat(float64(outcome.retryAfter)/10_000, 'f', 4, 64)
		}
		c.respond(503, extra, []byte("{}"), keep)
	default:
		size, plain := answerBodySize(outcome)
		buffer := borrowBuffer()
		if size+responseHeadRoom > cap(*buffer) {
			returnBuffer(buffer)
			buffer = new([]byte)
			*buffer = make([]byte, 0, size+responseHeadRoom)
		}
		if !plain { // what is escaped has to be written before its length is known
			*buffer = appendAnswerBody(*buffer, outcome)
			c.respond(200, "", *buffer, keep)
			returnBuffer(buffer)
			return
		}
		keep, last := c.keepAlive(keep)
		*buffer = appendAnswerBody(http1.AppendResponseHead(*buffer, 200, "", size, keep), outcome)
		c.sendAnswer(&outboundMessage{buffer: buffer, closesConnection: last})
	}
}
