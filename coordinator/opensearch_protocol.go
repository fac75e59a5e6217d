package coordinator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
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
	maxHostBodyBytes = 1 << 20         // bytes of an OpenSearch host's answer: hits of a deep page
	hostBodyTimeout  = 2 * time.Second // from an answer's first byte to its last: a megabyte on a slow way
)

// openSearchProtocol is the OpenSearch-style API: one shard request a request, one request a connection at a time.
// Giving an attempt up ends its connection, which cancels it at the host.
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

// classifyResponse is the one table from a host's response to the balancer's outcomes. A request that got 429 or 503
// has not run; any other that is no good answer may have.
func (k openSearchProtocol) classifyResponse(status int, body []byte, shard int) (outcome string, err error) {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return "QueueFull", nil
	case status != http.StatusOK:
		return "Failed", fmt.Errorf("status %d", status)
	}
	if err := query.CheckResponse(k.Index, k.Placement, shard, body); err != nil {
		return "Failed", err
	}
	return "Ok", nil
}

// readAnswers implements wireProtocol. Each response belongs to the one attempt on its connection; a response to
// nothing, or one that cannot be parsed, ends the connection.
func (k openSearchProtocol) readAnswers(loop *eventLoop, connection *replicaConnection, conn net.Conn) error {
	src := bufferedReaders.Get().(*bufio.Reader)
	src.Reset(conn)
	defer bufferedReaders.Put(src)
	for {
		conn.SetReadDeadline(time.Time{})
		if _, err := src.Peek(1); err != nil {
			return connectionEndOf(err)
		}
		conn.SetReadDeadline(time.Now().Add(hostBodyTimeout))
		res, err := http.ReadResponse(src, nil)
		if err != nil {
			return k.readError(loop, connection, err)
		}
		var b bytes.Buffer
		n, err := io.Copy(&b, io.LimitReader(res.Body, maxHostBodyBytes+1))
		res.Body.Close()
		if err != nil || n > maxHostBodyBytes {
			return k.readError(loop, connection, fmt.Errorf("%d bytes: %w", n, errors.Join(err, frame.ErrMalformed)))
		}
		asked := make(chan *attempt, 1)
		if !loop.submit(func() {
			if len(connection.attempts) == 1 {
				asked <- connection.attempts[0]
			}
			close(asked)
		}) {
			return errClosing
		}
		sub, open := <-asked
		if !open {
			return k.readError(loop, connection, errors.New("an answer to nothing"))
		}
		id, shard := []byte(sub.name), sub.shardRequest.shard // neither field changes
		body := b.Bytes()
		outcome, why := k.classifyResponse(res.StatusCode, body, shard)
		if outcome == "Ok" && !utf8.Valid(body) {
			outcome, why = "Failed", errors.New("no text")
		}
		var read any
		if outcome == "Ok" {
			if read, why = loop.decoders.decode(id, body); why != nil {
				outcome = "Failed"
			}
		}
		if why != nil {
			loop.log.warnLimited("bad_value", "bad_value", "replica", connection.replica.id, "error", why)
		}
		last := res.Close
		var report map[string]float64
		if wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && wait > 0 && outcome == "QueueFull" {
			report = map[string]float64{"RetryAfter": 1000 * min(wait, maxClientTimeout.Seconds())}
		}
		if !loop.submit(func() {
			connection.closedToNew = connection.closedToNew || last
			loop.handleAnswer(connection, id, outcome, zeroScore, report, body, read)
			if last {
				loop.closeIfUnused(connection)
			}
		}) {
			return errClosing
		}
	}
}

// readError returns why a connection ends after a response that could not be read.
func (openSearchProtocol) readError(loop *eventLoop, conn *replicaConnection, err error) error {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return errReadTimeout
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return connectionEndOf(err)
	}
	loop.log.warnLimited("bad_frame", "bad_frame", "replica", conn.replica.id, "error", err)
	return errMalformed
}
