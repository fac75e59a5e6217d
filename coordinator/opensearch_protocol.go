package coordinator

import (
	"bufio"
	"bytes"
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

	"chalkring/internal/frame"
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

// readAnswers implements wireProtocol. Each response belongs to the one attempt on its connection. A response without an
// attempt, or one that cannot be parsed, ends the connection.
func (k openSearchProtocol) readAnswers(loop *eventLoop, connection *replicaConnection, conn net.Conn) error {
	source := bufferedReaders.Get().(*bufio.Reader)
	source.Reset(conn)
	defer bufferedReaders.Put(source)
	for {
		conn.SetReadDeadline(time.Time{})
		if _, err := source.Peek(1); err != nil {
			return connectionEndOf(err)
		}
		conn.SetReadDeadline(time.Now().Add(hostBodyTimeout))
		response, err := http.ReadResponse(source, nil)
		if err != nil {
			return k.readError(loop, connection, err)
		}
		var body bytes.Buffer
		n, err := io.Copy(&body, io.LimitReader(response.Body, maxHostBodyBytes+1))
		response.Body.Close()
		if err != nil || n > maxHostBodyBytes {
			return k.readError(loop, connection, fmt.Errorf("response body cut off or over the size limit, got %d bytes: %w", n, errors.Join(err, frame.ErrMalformed)))
		}
		if err := k.handleResponse(loop, connection, response, body.Bytes()); err != nil {
			return err
		}
	}
}

// handleResponse submits a response to the event loop. An error ends the connection.
func (k openSearchProtocol) handleResponse(loop *eventLoop, connection *replicaConnection, response *http.Response,
	body []byte,
) error {
	onlyAttempt := make(chan *attempt, 1)
	if !loop.submit(func() {
		if len(connection.attempts) == 1 {
			onlyAttempt <- connection.attempts[0]
		}
		close(onlyAttempt)
	}) {
		return errClosing
	}
	answered, ok := <-onlyAttempt
	if !ok {
		return k.readError(loop, connection, errors.New("response without an attempt in flight on the connection"))
	}
	name, shard := []byte(answered.name), answered.shardRequest.shard // may be read here: neither field ever changes
	outcome, problem := k.classifyResponse(response.StatusCode, body, shard)
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
	isLast := response.Close
	var report map[string]float64
	if outcome == "QueueFull" {
		report = retryAfterReport(response.Header.Get("Retry-After"))
	}
	if !loop.submit(func() {
		connection.closedToNew = connection.closedToNew || isLast
		loop.handleAnswer(connection, name, outcome, zeroScore, report, body, decoded)
		if isLast {
			loop.closeIfUnused(connection)
		}
	}) {
		return errClosing
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
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return connectionEndOf(err)
	}
	loop.log.warnLimited("bad_frame", "bad_frame", "replica", conn.replica.id, "error", err)
	return errMalformed
}
