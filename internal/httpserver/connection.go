package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chalkring/internal/guard"
	"chalkring/internal/http1"
)

const (
	lingerTimeout  = 500 * time.Millisecond // for a client to read the last response and to close the connection
	maxLingerBytes = 256 << 10              // read and dropped meanwhile
)

// connection is one client's connection. Its methods are called on one goroutine, except for interruptIdle and evict.
type connection struct {
	server     *Server
	stopping   context.Context
	conn       net.Conn
	reader     *http1.Reader
	holding    Holding
	isEvicted  atomic.Bool // the request that is arriving has to give up its memory
	acceptedAt time.Time
	served     int // requests

	mu     sync.Mutex
	isIdle bool // the connection has had a request and waits for the next one
}

func newConnection(server *Server, stopping context.Context, accepted net.Conn) *connection {
	c := &connection{server: server, stopping: stopping, conn: accepted, acceptedAt: time.Now()}
	if server.TLSConfig != nil {
		c.conn = tls.Server(accepted, server.TLSConfig)
	}
	c.holding = server.NewHolding()
	c.reader = http1.NewAccountedReader(accountedConn{c.conn, c.holding})
	return c
}

// accountedConn is a connection whose reader accounts for its memory. It implements http1.AccountedSource.
type accountedConn struct {
	net.Conn
	holding Holding
}

// AwaitBytes implements http1.AccountedSource. It leaves the wait to Read, so a reader holds a buffer meanwhile, the smallest.
func (accountedConn) AwaitBytes() error { return nil }

// Reserve implements http1.AccountedSource.
func (c accountedConn) Reserve(bytes int) error {
	if c.holding.Reserve(bytes) != nil {
		return ErrNoMemory
	}
	return nil
}

// Release implements http1.AccountedSource.
func (c accountedConn) Release(bytes int) { c.holding.Release(bytes) }

// evict ends the reading of the request that is arriving. The holding calls it.
func (c *connection) evict() {
	c.isEvicted.Store(true)
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// setArrivalDeadline limits the reading of a request, unless it has to be given up.
func (c *connection) setArrivalDeadline(at time.Time) {
	c.conn.SetReadDeadline(at)
	if c.isEvicted.Load() {
		c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// handshake does the TLS handshake, if there is one, in the time that the first head may take.
func (c *connection) handshake(ctx context.Context) error {
	secured, isTLS := c.conn.(*tls.Conn)
	if !isTLS {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.acceptedAt.Add(c.server.HeadTimeout))
	defer cancel()
	return secured.HandshakeContext(ctx)
}

// awaitRequest waits for the first bytes of a request. It returns false if none came, or there is no memory for them.
func (c *connection) awaitRequest() bool {
	if c.served == 0 {
		c.conn.SetReadDeadline(c.acceptedAt.Add(c.server.HeadTimeout))
	} else {
		c.beginIdle()
	}
	err := c.reader.AwaitMessage()
	c.endIdle()
	if errors.Is(err, ErrNoMemory) {
		c.refuse(http.MethodGet, err)
	}
	return err == nil
}

func (c *connection) beginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = true
	timeout := c.server.IdleTimeout
	if c.stopping.Err() != nil {
		timeout = c.server.StopGrace
	}
	c.conn.SetReadDeadline(time.Now().Add(timeout))
}

func (c *connection) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = false
}

// interruptIdle ends the wait for a further request soon, since the server stops.
func (c *connection) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle {
		c.conn.SetReadDeadline(time.Now().Add(c.server.StopGrace))
	}
}

// serveRequest reads a request whose first bytes have arrived, and answers it. It returns false if the connection ends.
func (c *connection) serveRequest(ctx context.Context) (keep bool) {
	c.holding.MarkArriving(c.evict)
	request, head, err := c.readRequest()
	c.holding.MarkComplete()
	if c.isEvicted.Swap(false) && errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrNoMemory
	}
	if err != nil {
		c.refuse(request.Method, err)
		return false
	}
	c.served++
	response := newResponse()
	isOpen := c.handle(ctx, response, request)
	response.keepAlive = head.KeepAlive && isOpen && !response.failed && c.stopping.Err() == nil
	response.toHTTP10 = head.IsHTTP10
	if !c.write(response, request.Method) {
		return false
	}
	if !response.keepAlive {
		c.linger()
	}
	return response.keepAlive
}

// readRequest reads a request. With an error, the returned request has at least a method.
func (c *connection) readRequest() (*http.Request, http1.RequestHead, error) {
	begunAt := time.Now()
	if c.served == 0 {
		begunAt = c.acceptedAt
	}
	unread := &http.Request{Method: http.MethodGet}
	c.setArrivalDeadline(begunAt.Add(c.server.HeadTimeout))
	head, err := c.reader.ReadRequestHead()
	if err != nil {
		return unread, head, err
	}
	request, err := newRequest(head, c.conn.RemoteAddr().String())
	if err != nil {
		return unread, head, err
	}
	c.setArrivalDeadline(begunAt.Add(c.server.RequestTimeout))
	c.reader.SetBodyLimit(c.server.BodyLimit(request.URL.Path))
	if err := c.sendContinue(head); err != nil {
		return request, head, err
	}
	body, err := c.reader.ReadRequestBody(head)
	if err != nil {
		return request, head, err
	}
	setBody(request, c.reader.DetachBody(body)) // the buffer is used while the handler runs
	return request, head, nil
}

// sendContinue tells a client that waits for it to send the body.
func (c *connection) sendContinue(head http1.RequestHead) error {
	expectation := head.Fields["expect"]
	switch {
	case expectation == "":
		return nil
	case !strings.EqualFold(expectation, "100-continue"):
		return http1.InvalidMessageError{
			Status:  http.StatusExpectationFailed,
			Message: fmt.Sprintf("expectation %.40q is not supported, expected 100-continue", expectation),
		}
	case !head.HasBody() || head.IsHTTP10 || c.reader.Buffered() > 0:
		return nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.server.WriteTimeout))
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// refuse answers a request that cannot be read, and waits until its client has had time to read the response.
func (c *connection) refuse(method string, err error) {
	var invalid http1.InvalidMessageError
	switch {
	case errors.As(err, &invalid):
	case errors.Is(err, ErrNoMemory):
		invalid = http1.InvalidMessageError{Status: http.StatusTooManyRequests, Message: "there is no memory for the request now"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		invalid = http1.InvalidMessageError{Status: http.StatusRequestTimeout, Message: "the request did not arrive in time"}
	case errors.Is(err, io.ErrUnexpectedEOF):
		invalid = http1.InvalidMessageError{Status: http.StatusBadRequest, Message: "the request is cut off"}
	default:
		return
	}
	c.server.LogEvent("bad_request", "bad_request", "client", c.conn.RemoteAddr().String(), "status", invalid.Status, "error", invalid.Message)
	response := newResponse()
	c.server.WriteError(response, invalid.Status, invalid.Message)
	if c.write(response, method) {
		c.linger()
	}
}

// handle runs the handler. Meanwhile it reads ahead as far as the buffer has room, and cancels the request's context once
// the client closes the connection. It reports whether the connection is still open.
func (c *connection) handle(ctx context.Context, response *response, request *http.Request) (isOpen bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	memory := &requestMemory{holding: c.holding}
	defer memory.releaseAll()
	c.conn.SetReadDeadline(time.Time{})
	readEnd := make(chan error, 1)
	go func() { readEnd <- c.readAhead(cancel) }()
	c.runHandler(response, request.WithContext(withRequestMemory(ctx, memory)))
	c.conn.SetReadDeadline(time.Unix(1, 0)) // ends readAhead
	return !isEnd(<-readEnd)
}

// isEnd reports whether an error of reading ahead is the end of the connection.
func isEnd(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, http1.ErrBufferFull) && !errors.Is(err, ErrNoMemory)
}

// readAhead reads until an error, and calls cancel if it is the end of the connection.
func (c *connection) readAhead(cancel context.CancelFunc) error {
	for {
		err := c.reader.ReadAhead()
		switch {
		case err == nil:
			continue
		case isEnd(err):
			cancel()
		}
		return err
	}
}

// runHandler runs the handler. If it panics, its client gets an error, and no other connection is affected.
func (c *connection) runHandler(response *response, request *http.Request) {
	err := guard.Run(func() error { c.server.Handler.ServeHTTP(response, request); return nil })
	var panicked *guard.PanicError
	if errors.As(err, &panicked) {
		c.server.LogEvent("connection fault", "connection_fault", "error", fmt.Sprint(panicked.Cause), "stack", panicked.Stack)
		response.reset()
		c.server.WriteError(response, http.StatusInternalServerError, "internal error")
		response.failed = true
	}
}

// write writes a response and reports whether that succeeded.
func (c *connection) write(response *response, method string) bool {
	c.conn.SetWriteDeadline(time.Now().Add(c.server.WriteTimeout))
	_, err := c.conn.Write(response.encode(method, time.Now()))
	return err == nil
}

// linger tells the client that no more comes, and drops what it still sends for a while: closing with unread bytes would send
// a reset, which can cut off the response before the client has read it.
func (c *connection) linger() {
	c.reader.Close()
	if writer, ok := c.conn.(interface{ CloseWrite() error }); ok && writer.CloseWrite() != nil {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, maxLingerBytes)) // the connection ends in any case
}
