package coordinator

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
	"unicode/utf8"

	"chalkring/internal/http1"
	"chalkring/opensearch/query"
)

const (
	maxHostBodyBytes = 1 << 20         // bytes of an OpenSearch host's response body: hits of a deep page
	hostBodyTimeout  = 2 * time.Second // from a response's first byte to its last: a megabyte over a slow network
)

// openSearchProtocol is the OpenSearch-style API: each HTTP request has one shard request, and a connection has one
// request in flight. Giving up an attempt ends its connection, which cancels it at the host.
type openSearchProtocol struct{ HostKind }

// attemptsPerBatch implements wireProtocol.
func (openSearchProtocol) attemptsPerBatch(*eventLoop) int { return 1 }

// allowsRepeatedNames implements wireProtocol.
func (openSearchProtocol) allowsRepeatedNames() bool { return false }

// batchesPerConnection implements wireProtocol.
func (openSearchProtocol) batchesPerConnection(*eventLoop) int { return 1 }

// allowsWaiting implements wireProtocol.
func (openSearchProtocol) allowsWaiting() bool { return false }

// appendBatch implements wireProtocol.
func (k openSearchProtocol) appendBatch(loop *eventLoop, dst []byte, batch *batch) []byte {
	attempt := batch.attempts[0]
	left := max(1, (attempt.deadline-loop.now)/10)
	dst = fmt.Appendf(dst, "POST /%s/_search?preference=_shards:%d&cancel_after_time_interval=%dms&allow_partial_search_results=false"+
		" HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Opaque-Id: %s\r\nContent-Length: %d\r\n\r\n",
		url.PathEscape(k.Index), attempt.shardRequest.shard, left, batch.connection.replica.addr, attempt.name, len(attempt.shardRequest.search.text))
	return append(dst, attempt.shardRequest.search.text...)
}

// cancelAttempt implements wireProtocol.
func (openSearchProtocol) cancelAttempt(conn *replicaConnection, _ *attempt) {
	conn.closeNow(errRetired)
}

// classifyResponse returns the balancer's outcome for a host's response. It is the only code that decides this. A request
// that got 429 or 503 has not run; any other without a good answer may have run.
func (k openSearchProtocol) classifyResponse(status int, body []byte, shard int) (outcome string, err error) {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return "QueueFull", nil
	case status != http.StatusOK:
		return "Failed", fmt.Errorf("HTTP status %d, expected 200, 429 or 503", status)
	}
	if err := query.CheckResponse(k.Index, k.Placement, shard, body); err != nil {
		return "Failed", err
	}
	return "Ok", nil
}

// hostResponse is a host's response to a shard request.
type hostResponse struct {
	status      int
	attemptName string // that the host says it answers; empty if it does not say
	retryAfter  string // the header
	body        []byte
	keepAlive   bool // the host keeps the connection open
	hasExcess   bool // bytes follow that belong to no request
}

// readAnswers implements wireProtocol. The API's responses have no id but the X-Opaque-Id that hosts return, so a connection
// is used again only while each response has named its attempt and nothing has followed it: a second copy of a response would
// otherwise be taken for the response to the next attempt. A response without an attempt, one that names another attempt, or
// one that cannot be parsed ends the connection.
func (k openSearchProtocol) readAnswers(loop *eventLoop, connection *replicaConnection, conn net.Conn) error {
	buffer := borrowBuffer()
	defer returnBuffer(buffer)
	reader := http1.NewReader(conn, (*buffer)[:bufferSize])
	reader.SetBodyLimit(maxHostBodyBytes)
	for {
		conn.SetReadDeadline(time.Time{})
		if err := reader.ReadAhead(); err != nil {
			return connectionEndOf(err)
		}
		conn.SetReadDeadline(time.Now().Add(hostBodyTimeout))
		response, err := readHostResponse(reader)
		if err != nil {
			return k.readError(loop, connection, err)
		}
		answered, err := k.attemptFor(loop, connection, response)
		if err != nil {
			return k.readError(loop, connection, err)
		}
		if err := k.handleResponse(loop, connection, answered, response); err != nil {
			return err
		}
	}
}

// readHostResponse reads one response.
func readHostResponse(reader *http1.Reader) (hostResponse, error) {
	status, fields, body, keepAlive, err := reader.ReadResponse()
	if err != nil {
		return hostResponse{}, err
	}
	return hostResponse{
		status: status, attemptName: fields["x-opaque-id"], retryAfter: fields["retry-after"], body: reader.DetachBody(body),
		keepAlive: keepAlive, hasExcess: reader.Buffered() > 0,
	}, nil
}

// attemptFor returns the attempt that a response belongs to: the only one on the connection, if its message was sent and the
// response does not name another.
func (openSearchProtocol) attemptFor(loop *eventLoop, connection *replicaConnection, response hostResponse) (*attempt, error) {
	sent := make(chan *attempt, 1)
	if !loop.submit(func() {
		if len(connection.attempts) == 1 && connection.attempts[0].isBeingSent() {
			sent <- connection.attempts[0]
		}
		close(sent)
	}) {
		return nil, errClosing
	}
	switch current := <-sent; {
	case current == nil:
		return nil, errors.New("response without an attempt in flight on the connection")
	case response.attemptName != "" && response.attemptName != current.name: // the name never changes
		return nil, fmt.Errorf("response to attempt %.60q, expected to %q", response.attemptName, current.name)
	default:
		return current, nil
	}
}

// handleResponse submits the response to an attempt to the event loop. An error ends the connection.
func (k openSearchProtocol) handleResponse(loop *eventLoop, connection *replicaConnection, answered *attempt, response hostResponse) error {
	name, shard := []byte(answered.name), answered.shardRequest.shard // may be read here: neither field ever changes
	body := response.body
	outcome, problem := k.classifyResponse(response.status, body, shard)
	if outcome == "Ok" && !utf8.Valid(body) {
		outcome, problem = "Failed", errors.New("response body is not valid UTF-8")
	}
	var decoded any
	if outcome == "Ok" {
		if decoded, problem = loop.decoders.decode(name, body); problem != nil {
			outcome = "Failed"
		}
	}
	if problem != nil {
		loop.log.warnLimited("bad_value", "bad_value", "replica", connection.replica.id, "error", problem)
	}
	if response.hasExcess {
		loop.log.warnLimited("bad_frame", "bad_frame", "replica", connection.replica.id, "error", "bytes that no attempt waits for follow a response")
	}
	isLast := !response.keepAlive || response.hasExcess || response.attemptName == ""
	var report map[string]float64
	if outcome == "QueueFull" {
		report = retryAfterReport(response.retryAfter)
	}
	if !loop.submit(func() {
		connection.closedToNew = connection.closedToNew || isLast // a good answer counts, whatever follows it
		loop.handleAnswer(connection, name, outcome, zeroScore, report, body, decoded)
	}) {
		return errClosing
	}
	if isLast {
		return errRetired
	}
	return nil
}

// retryAfterReport returns a Retry-After header, which is in seconds, as a load report for the balancer, in milliseconds;
// nil for no usable header.
func retryAfterReport(header string) map[string]float64 {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return nil
	}
	return map[string]float64{"RetryAfter": 1000 * min(seconds, maxClientTimeout.Seconds())}
}

// readError returns why a connection ends after a response that could not be used.
func (openSearchProtocol) readError(loop *eventLoop, conn *replicaConnection, err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errReadTimeout
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, errClosing) {
		return connectionEndOf(err)
	}
	loop.log.warnLimited("bad_frame", "bad_frame", "replica", conn.replica.id, "error", err)
	return errMalformed
}
