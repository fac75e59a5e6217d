package coordinator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
	"unicode/utf8"

	"chalkring/internal/frame"
)

const (
	frameReadTimeout     = 300 * time.Millisecond // from a frame's first byte to its last: answers fit into a few packets
	maxLoggedRejectBytes = 200                    // bytes of a replica's reject text in a log line
	cancelFrameRoom      = 16                     // bytes of a cancel frame besides the attempt's name
	frameParameterRoom   = 256                    // bytes of a shard request's parameters that fit without an allocation
)

// frameProtocol is the platform's own protocol: a frame has one or more shard requests, each answered by a frame.
type frameProtocol struct{}

// attemptsPerBatch implements wireProtocol.
func (frameProtocol) attemptsPerBatch(loop *eventLoop) int { return loop.rules.attemptsPerBatch }

// batchesPerConnection implements wireProtocol.
func (frameProtocol) batchesPerConnection(loop *eventLoop) int {
	return loop.rules.streamsPerConnection
}

// allowsRepeatedNames implements wireProtocol.
func (frameProtocol) allowsRepeatedNames() bool { return true }

// allowsWaiting implements wireProtocol.
func (frameProtocol) allowsWaiting() bool { return true }

// appendBatch implements wireProtocol.
func (frameProtocol) appendBatch(loop *eventLoop, dst []byte, batch *batch) []byte {
	dst = frame.Begin(dst, frame.TypeBatch)
	var room [frameParameterRoom]byte
	for _, attempt := range batch.attempts {
		parameters := strconv.AppendInt(append(room[:0], "d="...), max(1, (attempt.deadline-loop.now)/10), 10)
		if search := attempt.shardRequest.search; attempt.shardRequest.step == 2 {
			for i, shard := range search.firstStepShards {
				separator := "+"
				if i == 0 {
					separator = ",from="
				}
				parameters = strconv.AppendInt(append(parameters, separator...), int64(shard), 10)
			}
			if search.firstStepComplete {
				parameters = append(parameters, ",whole=1"...)
			} else {
				parameters = append(parameters, ",whole=0"...)
			}
		}
		dst = frame.AppendShardRequest(dst, attempt.name, attempt.shardRequest.shard, parameters, attempt.shardRequest.search.text)
	}
	return frame.End(dst, 0)
}

// cancelAttempt implements wireProtocol.
func (frameProtocol) cancelAttempt(conn *replicaConnection, attempt *attempt) {
	buffer := borrowBufferOf(len(attempt.name) + cancelFrameRoom)
	*buffer = frame.AppendCancel(*buffer, attempt.name)
	conn.enqueue(&outboundMessage{buffer: buffer})
}

// zeroScore is the score of answers from hosts that give none.
var zeroScore = []byte("0")

// frameOutcomes maps the outcome word of an answer to the balancer's outcome.
var frameOutcomes = map[string]string{"good": "Ok", "bad": "Failed", "later": "QueueFull"}

// readAnswers implements wireProtocol. Once a frame has begun, the rest of it has to arrive in time: the length that
// it states may be more than the replica sends. Answers that arrive together are handled in one task.
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
		handle, err := readFrame(loop, connection, src)
		if err == nil && frame.IsBuffered(src) {
			all := []func(){handle}
			for err == nil && frame.IsBuffered(src) {
				if handle, err = readFrame(loop, connection, src); handle != nil {
					all = append(all, handle)
				}
			}
			handle = func() {
				for _, handleOne := range all {
					handleOne()
				}
			}
		}
		if handle != nil && !loop.submit(handle) {
			return errClosing
		}
		if err != nil {
			return err
		}
	}
}

// readFrame reads one frame and returns the task that handles it, or nil for a frame that cannot be used.
func readFrame(loop *eventLoop, conn *replicaConnection, src *bufio.Reader) (handle func(), err error) {
	frameType, payload, err := frame.Read(src)
	if err != nil && !errors.Is(err, frame.ErrMalformed) {
		return nil, connectionEndOf(err)
	}
	if frameType == frame.TypeReject && err == nil {
		loop.log.warnLimited("frame_refused", "frame_refused", "replica", conn.replica.id, "words", string(payload[:min(len(payload), maxLoggedRejectBytes)]))
		return nil, errRejectedByPeer
	}
	if frameType != frame.TypeAnswer && err == nil {
		err = fmt.Errorf("%w: frame type %q, expected an answer (q) or a rejection (r)", frame.ErrMalformed, frameType)
	}
	var attemptName, end, score, value []byte
	var report map[string]float64
	if err == nil {
		own := bytes.Clone(payload) // the reader's buffer is overwritten by the next frame
		attemptName, end, score, report, value, err = frame.ParseAnswer(own)
	}
	outcome := frameOutcomes[string(end)]
	if err == nil && (outcome == "" || outcome == "Ok" && (score == nil || !utf8.Valid(value))) {
		err = fmt.Errorf("%w: outcome %.20q, score %s, value %.40q; expected the outcome good, bad or later, and with good a score and a value in UTF-8",
			frame.ErrMalformed, end, score, value)
	}
	if err != nil {
		loop.log.warnLimited("bad_frame", "bad_frame", "replica", conn.replica.id, "error", err)
		return nil, errMalformed
	}
	var decoded any
	if outcome == "Ok" {
		if decoded, err = loop.decoders.decode(attemptName, value); err != nil {
			outcome = "Failed"
			loop.log.warnLimited("bad_value", "bad_value", "replica", conn.replica.id, "error", err)
		}
	}
	isPlausible := frame.IsPlausibleReply(src)
	return func() {
		conn.closedToNew = conn.closedToNew || !isPlausible // a good answer counts, whatever follows it
		loop.handleAnswer(conn, attemptName, outcome, score, report, value, decoded)
	}, nil
}
