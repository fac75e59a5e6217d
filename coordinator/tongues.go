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

// wireProtocol is what a kind of host speaks. It is the one place that differs from kind to kind: which replica gets a part,
// when it is given up and what its end means are the same for all.
type wireProtocol interface {
	attemptsPerBatch(o *eventLoop) int     // parts that travel together
	batchesPerConnection(o *eventLoop) int // calls on one connection at once
	allowsWaiting() bool                   // a call beyond that may wait on a connection
	appendBatch(o *eventLoop, dst []byte, c *batch) []byte
	cancelAttempt(l *replicaConnection, sub *attempt) // what is written already
	readAnswers(o *eventLoop, l *replicaConnection, conn net.Conn) error
}

// HostKind is a kind of host, by the list's kind, that speaks the OpenSearch-style API; its members are in Index, in
// blocks by the API's rule where Placed says so.
type HostKind struct {
	Index     string
	Placement *query.Placement
}

func (loop *eventLoop) protocolFor(kind string) wireProtocol {
	if k, ok := loop.HostKinds[kind]; ok {
		return openSearchProtocol{k}
	}
	return frameProtocol{}
}

// frameProtocol is the platform's protocol.
type frameProtocol struct{}

func (frameProtocol) attemptsPerBatch(loop *eventLoop) int     { return loop.attemptsPerBatch }
func (frameProtocol) batchesPerConnection(loop *eventLoop) int { return loop.streamsPerConnection }
func (frameProtocol) allowsWaiting() bool                      { return true }

func (frameProtocol) appendBatch(loop *eventLoop, dst []byte, batch *batch) []byte {
	dst = frame.Begin(dst, frame.TypeBatch)
	var room [frameParameterRoom]byte
	for _, attempt := range batch.attempts {
		list := strconv.AppendInt(append(room[:0], "d="...), max(1, (attempt.deadline-loop.now)/10), 10)
		if search := attempt.shardRequest.search; attempt.shardRequest.step == 2 {
			for i, shard := range search.firstStepShards {
				word := "+"
				if i == 0 {
					word = ",from="
				}
				list = strconv.AppendInt(append(list, word...), int64(shard), 10)
			}
			if search.firstStepComplete {
				list = append(list, ",whole=1"...)
			} else {
				list = append(list, ",whole=0"...)
			}
		}
		dst = frame.AppendShardRequest(dst, attempt.name, attempt.shardRequest.shard, list, attempt.shardRequest.search.text)
	}
	return frame.End(dst, 0)
}

func (frameProtocol) cancelAttempt(conn *replicaConnection, attempt *attempt) {
	buffer := borrowBuffer()
	*buffer = frame.AppendCancel(*buffer, attempt.name)
	conn.enqueue(&outboundMessage{buffer: buffer})
}

var zeroScore = []byte("0") // the score of hosts that tell none

var frameOutcomes = map[string]string{"good": "Ok", "bad": "Failed", "later": "QueueFull"}

// readAnswers reads a replica's frames to the end of the connection. Once one has begun, its rest has to follow: guards
// against a length that says more than comes. What has come together is told together.
func (frameProtocol) readAnswers(loop *eventLoop, connection *replicaConnection, conn net.Conn) error {
	src := bufferedReaders.Get().(*bufio.Reader)
	src.Reset(conn)
	defer bufferedReaders.Put(src)
	for limited := false; ; {
		if limited {
			conn.SetReadDeadline(time.Time{})
		}
		if _, err := src.Peek(1); err != nil {
			return connectionEndOf(err)
		}
		if limited = !frame.IsBuffered(src); limited {
			conn.SetReadDeadline(time.Now().Add(frameReadTimeout))
		}
		tell, err := readFrame(loop, connection, src)
		if err == nil && frame.IsBuffered(src) {
			all := []func(){tell}
			for err == nil && frame.IsBuffered(src) {
				if tell, err = readFrame(loop, connection, src); tell != nil {
					all = append(all, tell)
				}
			}
			tell = func() {
				for _, do := range all {
					do()
				}
			}
		}
		if tell != nil && !loop.submit(tell) {
			return endClosing
		}
		if err != nil {
			return err
		}
	}
}

// readFrame reads one frame and gives what the owner is to do with it; nil for one that cannot be used.
func readFrame(loop *eventLoop, conn *replicaConnection, src *bufio.Reader) (tell func(), err error) {
	letter, rest, err := frame.Read(src)
	if err != nil && !errors.Is(err, frame.ErrMalformed) {
		return nil, connectionEndOf(err)
	}
	if letter == frame.TypeReject && err == nil {
		loop.log.warnLimited("frame_refused", "frame_refused", "replica", conn.replica.id, "words", string(rest[:min(len(rest), maxLoggedRejectBytes)]))
		return nil, endRejectedByPeer
	}
	if letter != frame.TypeAnswer && err == nil {
		err = fmt.Errorf("%w: letter %q", frame.ErrMalformed, letter)
	}
	var id, end, score, value []byte
	var report map[string]float64
	if err == nil {
		own := bytes.Clone(rest) // what it lies in is read over; the reader of a connection holds no more than that
		id, end, score, report, value, err = frame.ParseAnswer(own)
	}
	outcome := frameOutcomes[string(end)]
	if err == nil && (outcome == "" || outcome == "Ok" && (score == nil || !utf8.Valid(value))) {
		err = fmt.Errorf("%w: end %.20q, score %s, value %.40q", frame.ErrMalformed, end, score, value)
	}
	if err != nil {
		loop.log.warnLimited("bad_frame", "bad_frame", "replica", conn.replica.id, "error", err)
		return nil, endMalformed
	}
	var read any
	if outcome == "Ok" {
		if read, err = loop.decodeValue(id, value); err != nil {
			outcome = "Failed"
			loop.log.warnLimited("bad_value", "bad_value", "replica", conn.replica.id, "error", err)
		}
	}
	fits := frame.IsPlausibleReply(src)
	return func() {
		conn.closedToNew = conn.closedToNew || !fits // a good answer counts whatever comes behind it
		loop.handleAnswer(conn, id, outcome, score, report, value, read)
	}, nil
}

// openSearchProtocol is the OpenSearch-style API: one part a request, one request a connection at a time. A part that is given
// up ends its connection, which cancels it at the host; what the host still answers is not read.
type openSearchProtocol struct{ HostKind }

func (openSearchProtocol) attemptsPerBatch(*eventLoop) int     { return 1 }
func (openSearchProtocol) batchesPerConnection(*eventLoop) int { return 1 }
func (openSearchProtocol) allowsWaiting() bool                 { return false }

func (k openSearchProtocol) appendBatch(loop *eventLoop, dst []byte, batch *batch) []byte {
	attempt := batch.attempts[0]
	left := max(1, (attempt.deadline-loop.now)/10)
	dst = fmt.Appendf(dst, "POST /%s/_search?preference=_shards:%d&cancel_after_time_interval=%dms&allow_partial_search_results=false"+
		" HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Opaque-Id: %s\r\nContent-Length: %d\r\n\r\n",
		url.PathEscape(k.Index), attempt.shardRequest.shard, left, batch.connection.replica.addr, attempt.name, len(attempt.shardRequest.search.text))
	return append(dst, attempt.shardRequest.search.text...)
}

func (openSearchProtocol) cancelAttempt(conn *replicaConnection, _ *attempt) {
	conn.closeNow(endRetired)
}

// classifyResponse is the one table from what an OpenSearch host answers to the module's outcomes. 429 and 503 have not run; whatever else is no good answer may have.
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

// readAnswers reads a host's answers, each to the one part that is out on its connection. What comes where none is out, or
// cannot be read, is spoilt, and the connection ends.
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
			return endClosing
		}
		sub, open := <-asked
		if !open {
			return k.readError(loop, connection, errors.New("an answer to nothing"))
		}
		id, shard := []byte(sub.name), sub.shardRequest.shard // neither changes
		body := b.Bytes()
		outcome, why := k.classifyResponse(res.StatusCode, body, shard)
		if outcome == "Ok" && !utf8.Valid(body) {
			outcome, why = "Failed", errors.New("no text")
		}
		var read any
		if outcome == "Ok" {
			if read, why = loop.decodeValue(id, body); why != nil {
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
			return endClosing
		}
	}
}

func (openSearchProtocol) readError(loop *eventLoop, conn *replicaConnection, err error) error {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return endReadTimeout
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return connectionEndOf(err)
	}
	loop.log.warnLimited("bad_frame", "bad_frame", "replica", conn.replica.id, "error", err)
	return endMalformed
}
