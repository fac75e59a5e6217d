// Package frame reads and writes the frames between coordinators and replicas. It knows no sockets and decides nothing.
//
// A frame is its length in four bytes, most significant first, which counts what follows; its type in one byte; its
// payload.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"chalkring/internal/advice"
)

// Types of frames.
const (
	TypeBatch  = 'm' // coordinator: shard requests for a replica
	TypeCancel = 'n' // coordinator: a shard request that is not wanted any more
	TypeAnswer = 'q' // replica: how a shard request ended
	TypeReject = 'r' // replica: it could not use the frame before, and why
)

const (
	lengthBytes = 4
	typeBytes   = 1
	headerBytes = lengthBytes + typeBytes
	// maxFrameBytes bounds the length that a frame states: several times the longest body that clients may send.
	maxFrameBytes = 256 << 10
)

// ErrMalformed is wrapped by the errors for a frame that cannot be used.
var ErrMalformed = advice.NewError("bad frame",
	"Compare the replica's version with this program's; the connection was closed, and its shard requests are retried.")

// Read reads one frame. The payload lies in source's buffer where the frame fits into it, and is valid until source is
// read again. The memory for a longer frame grows with what is received and not with the length that it states.
//
// It returns io.EOF where source ends before a frame, io.ErrUnexpectedEOF where it ends within one, and an error that
// wraps ErrMalformed for an impossible length.
func Read(source *bufio.Reader) (frameType byte, payload []byte, err error) {
	header, err := source.Peek(lengthBytes)
	if err != nil {
		if len(header) > 0 {
			err = unexpectedEOF(err)
		}
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header)
	if !isPossibleLength(length) {
		return 0, nil, fmt.Errorf("%w: length %d", ErrMalformed, length)
	}
	var frame []byte
	if lengthBytes+int(length) <= source.Size() {
		frame, err = readBuffered(source, int(length))
	} else {
		frame, err = readCopied(source, int(length))
	}
	if err != nil {
		return 0, nil, unexpectedEOF(err)
	}
	return frame[0], frame[typeBytes:], nil
}

// readBuffered returns type and payload of a frame that fits into source's buffer, without copying them.
func readBuffered(source *bufio.Reader, length int) ([]byte, error) {
	frame, err := source.Peek(lengthBytes + length)
	if err != nil {
		return nil, err
	}
	_, err = source.Discard(len(frame))
	return frame[lengthBytes:], err
}

// readCopied returns type and payload of a frame that does not fit into source's buffer.
func readCopied(source *bufio.Reader, length int) ([]byte, error) {
	if _, err := source.Discard(lengthBytes); err != nil {
		return nil, err
	}
	var frame bytes.Buffer
	_, err := io.CopyN(&frame, source, int64(length))
	return frame.Bytes(), err
}

func isPossibleLength(length uint32) bool { return length > 0 && length <= maxFrameBytes }

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsBuffered reports whether Read would return without waiting: with a complete frame, or with a malformed one.
func IsBuffered(source *bufio.Reader) bool {
	if source.Buffered() < lengthBytes {
		return false
	}
	header, _ := source.Peek(lengthBytes)
	length := binary.BigEndian.Uint32(header)
	return !isPossibleLength(length) || source.Buffered() >= lengthBytes+int(length)
}

// IsPlausibleReply reports whether what is buffered can be the beginning of an answer or a rejection. No byte at all can.
func IsPlausibleReply(source *bufio.Reader) bool {
	header, _ := source.Peek(min(headerBytes, source.Buffered()))
	if len(header) == 0 {
		return true
	}
	if header[0] != 0 { // no possible length has a first byte other than 0
		return false
	}
	if len(header) >= lengthBytes && !isPossibleLength(binary.BigEndian.Uint32(header)) {
		return false
	}
	return len(header) < headerBytes || header[lengthBytes] == TypeAnswer || header[lengthBytes] == TypeReject
}
