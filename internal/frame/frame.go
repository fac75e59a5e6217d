// Package frame reads and writes the frames between co-ordinators and replicas. It knows no sockets and
// decides nothing.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

const (
	TypeBatch  = 'm' // parts for a replica
	TypeCancel = 'n' // a part that is given up
	TypeAnswer = 'q' // how a part ended
	TypeReject = 'r' // the frame before could not be used

	longest     = 256 << 10 // bytes of a frame: several times the longest body that clients may send
	scoreDigits = 40        // digits of a score: more than any machine's whole numbers have
)

// Read takes one frame off src. What it gives lies in src's buffer where the frame fits there, and holds until src is
// read again. Room for a longer one grows with what has come, not with what the length says.
func Read(src *bufio.Reader) (letter byte, rest []byte, err error) {
	head, err := src.Peek(4)
	if err != nil {
		if err == io.EOF && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head)
	if n == 0 || n > longest {
		return 0, nil, fmt.Errorf("%w: length %d", ErrMalformed, n)
	}
	if size := int(n) + 4; size <= src.Size() {
		if rest, err = src.Peek(size); err == nil {
			src.Discard(size)
			return rest[4], rest[5:], nil
		}
	} else {
		var b bytes.Buffer
		src.Discard(4)
		if _, err = io.CopyN(&b, src, int64(n)); err == nil {
			return b.Bytes()[0], b.Bytes()[1:], nil
		}
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return 0, nil, err
}

// IsBuffered tells whether a whole frame, or one that cannot be used, has come already: Read will not wait for it.
func IsBuffered(src *bufio.Reader) bool {
	if src.Buffered() < 4 {
		return false
	}
	head, _ := src.Peek(4)
	n := binary.BigEndian.Uint32(head)
	return n == 0 || n > longest || src.Buffered() >= int(n)+4
}

// IsPlausibleReply tells whether what has come behind a frame can be an answer or a refusal, as far as it is there.
func IsPlausibleReply(src *bufio.Reader) bool {
	head, _ := src.Peek(min(5, src.Buffered()))
	if len(head) >= 4 {
		if n := binary.BigEndian.Uint32(head); n == 0 || n > longest {
			return false
		}
	}
	return len(head) == 0 || head[0] == 0 && (len(head) < 5 || head[4] == TypeAnswer || head[4] == TypeReject)
}

// ErrMalformed is a frame that cannot be used.
var ErrMalformed = errors.New("bad frame")

// ParseAnswer takes an Answer frame apart; what it gives lies in rest. Score, the digits of a whole number, is nil where
// the end has none; a report that cannot be read is none.
func ParseAnswer(rest []byte) (id, end, score []byte, report map[string]float64, value []byte, err error) {
	line, value, ok := bytes.Cut(rest, []byte("\n"))
	id, more, ok1 := bytes.Cut(line, []byte(" "))
	end, more, ok2 := bytes.Cut(more, []byte(" "))
	score, told, ok3 := bytes.Cut(more, []byte(" "))
	if !ok || !ok1 || !ok2 || !ok3 || len(id) == 0 || bytes.IndexByte(told, ' ') >= 0 {
		return nil, nil, nil, nil, nil, fmt.Errorf("%w: answer line %.60q", ErrMalformed, line)
	}
	if string(score) == "-" {
		score = nil
	} else if !whole(score) {
		return nil, nil, nil, nil, nil, fmt.Errorf("%w: score %.60q", ErrMalformed, score)
	}
	if string(told) != "-" {
		report = readReport(string(told))
	}
	return id, end, score, report, value, nil
}

// whole tells whether text is a whole number with or without a sign.
func whole(text []byte) bool {
	digits := text
	if len(text) > 0 && (text[0] == '-' || text[0] == '+') {
		digits = text[1:]
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(digits) > 0 && len(text) <= scoreDigits
}

func readReport(text string) map[string]float64 {
	report := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		i := strings.IndexAny(pair, ":=")
		if i <= 0 {
			return nil
		}
		v, err := strconv.ParseFloat(pair[i+1:], 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil
		}
		report[pair[:i]] = v
	}
	return report
}

// Begin opens a frame at the end of dst, End closes the one that opened at start.
func Begin(dst []byte, letter byte) []byte { return append(dst, 0, 0, 0, 0, letter) }

func End(dst []byte, start int) []byte {
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-4))
	return dst
}

// AppendShardRequest adds a part to an open Call frame.
func AppendShardRequest(dst []byte, id string, shard int, list, text []byte) []byte {
	dst = append(append(dst, id...), ' ')
	dst = append(strconv.AppendInt(dst, int64(shard), 10), ' ')
	dst = append(append(dst, list...), ' ')
	dst = append(strconv.AppendInt(dst, int64(len(text)), 10), '\n')
	return append(dst, text...)
}

// AppendCancel adds a whole Cancel frame.
func AppendCancel(dst []byte, id string) []byte {
	return End(append(Begin(dst, TypeCancel), id...), len(dst))
}
