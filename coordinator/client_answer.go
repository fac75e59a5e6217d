package coordinator

import (
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"chalkring/internal/http1"
)

const responseHeadRoom = 512 // bytes reserved for the head of a response

// writeAnswer sends a search's final answer. The event loop calls it.
func (c *clientConnection) writeAnswer(outcome searchOutcome, keep bool) {
	c.pendingWrites = append(c.pendingWrites, outcome.pendingWrites...)
	switch outcome.outcome {
	case outcomeAnswered:
		c.share.standing.recordServed()
	case outcomeShed:
		c.share.standing.recordOther()
	case outcomeDuplicateID:
		c.share.standing.recordRefused()
	}
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
		if !plain { // the length of a body with escapes is known only after encoding it
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

// respond sends a response.
func (c *clientConnection) respond(status int, extra string, body []byte, keep bool) {
	keep, last := c.keepAlive(keep)
	buffer := borrowBufferOf(responseHeadRoom + len(body))
	*buffer = http1.AppendResponse(*buffer, status, extra, body, keep)
	c.sendAnswer(&outboundMessage{buffer: buffer, closesConnection: last})
}

// sendAnswer queues a response for the writer and counts its bytes as unsent until they are written.
func (c *clientConnection) sendAnswer(message *outboundMessage) {
	c.addUnsent(len(*message.buffer))
	c.enqueue(message)
}

// addUnsent adds to the number of answer bytes that are not written yet.
func (c *clientConnection) addUnsent(n int) {
	c.unsentBytes.Add(int64(n))
	c.loop.searches.unsentBytes.Add(int64(n))
}

// keepAlive returns whether a response announces that its connection stays open (keep), and whether the connection is
// closed after it (last). During shutdown responses ask the client to close the connection, but requests that it sends
// nevertheless are answered.
func (c *clientConnection) keepAlive(keeps bool) (keep, last bool) {
	if !keeps || c.stopping.Err() == nil {
		return keeps, !keeps
	}
	last = c.loop.stop.closeAfterAnswer.Load()
	return c.hasPipelined.Load() && !last, last
}

// handleWritten is called after each completely written response.
func (c *clientConnection) handleWritten(message *outboundMessage) error {
	c.addUnsent(-len(*message.buffer))
	if message.closesConnection {
		c.lastAnswerWritten.Store(true)
		half, ok := c.conn.(interface{ CloseWrite() error })
		if !ok || half.CloseWrite() != nil {
			return errClosing
		}
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.limiter.markIdle(c, message.closesConnection)
	select {
	case c.answered <- struct{}{}:
	default:
	}
	switch { // after c.answered is sent, since the reader woken here checks whether the request is answered
	case message.closesConnection:
	case c.hasPipelined.Load():
		c.interruptRead()
	default:
		c.setIdleDeadline(time.Now().Add(clientIdleTimeout))
	}
	return nil
}

// answerBodySize returns the length of an answer's body. The size is exact only if plain is true; otherwise some values
// need escapes, which make the body longer.
func answerBodySize(outcome searchOutcome) (size int, plain bool) {
	plain = true
	size = len(`{"total":,"answers":[]}`) + len("false")
	if outcome.complete {
		size--
	}
	for i, request := range outcome.parts {
		if i > 0 {
			size++
		}
		var digits [20]byte
		size += len(`{"range":,"blob":""}`) + len(strconv.AppendInt(digits[:0], int64(request.shard), 10)) + len(request.value)
		for _, c := range request.value {
			plain = plain && c >= ' ' && c != '"' && c != '\\'
		}
	}
	return size, plain
}

// appendAnswerBody appends the body of an answer.
func appendAnswerBody(dst []byte, outcome searchOutcome) []byte {
	dst = strconv.AppendBool(append(dst, `{"total":`...), outcome.complete)
	dst = append(dst, `,"answers":[`...)
	for i, request := range outcome.parts {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = strconv.AppendInt(append(dst, `{"range":`...), int64(request.shard), 10)
		dst = append(dst, `,"blob":`...)
		dst, _ = jsontext.AppendQuote(dst, request.value) // readAnswers has checked that it is valid UTF-8
		dst = append(dst, '}')
	}
	return append(dst, "]}"...)
}
