// Package frame reads and writes the frames between coordinators and replicas. It opens no connections and contains no
// policy.
//
// A frame consists of a length in four bytes, most significant byte first; a type in one byte; and a payload. The
// length counts the type and the payload.
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
	TypeCancel = 'n' // coordinator: cancels a shard request
	TypeAnswer = 'q' // replica: how a shard request ended
	TypeReject = 'r' // replica: the reason why it could not use the preceding frame
)

const (
	lengthBytes = 4
	typeBytes   = 1
	headerBytes = lengthBytes + typeBytes
	// maxFrameBytes is the maximum of a frame's length field: several times the longest body that clients may send.
	maxFrameBytes = 256 << 10
)

// ErrMalformed is wrapped by all errors about malformed frames.
var ErrMalformed = advice.NewError("malformed frame",
	"Compare the replica's version with this program's; the connection was closed, and its shard requests are retried.")

// Read reads one frame. If the frame fits into source's buffer, the payload is a part of that buffer and is valid until
// source is read again. A longer frame is copied; its memory is allocated as bytes arrive, not in advance by the length
// field.
//
// It returns io.EOF if source ends before a frame, io.ErrUnexpectedEOF if it ends within one, and an error that wraps
// ErrMalformed for a length of zero or over the limit.
func Read(source *bufio.Reader) (frameType byte, payload []byte, err error) {
	header, err := source.Peek(lengthBytes)
	if err != nil {
		if len(header) > 0 {
			err = unexpectedEOF(err)
		}
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header)
	if !isValidLength(length) {
		return 0, nil, fmt.Errorf("%w: length %d is zero or over the limit", ErrMalformed, length)
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

// readBuffered returns the type and payload of a frame that fits into source's buffer, without copying them.
func readBuffered(source *bufio.Reader, length int) ([]byte, error) {
	frame, err := source.Peek(lengthBytes + length)
	if err != nil {
		return nil, err
	}
	_, err = source.Discard(len(frame))
	return frame[lengthBytes:], err
}

// readCopied returns the type and payload of a frame that does not fit into source's buffer, as a copy.
func readCopied(source *bufio.Reader, length int) ([]byte, error) {
	if _, err := source.Discard(lengthBytes); err != nil {
		return nil, err
	}
	var frame bytes.Buffer
	_, err := io.CopyN(&frame, source, int64(length))
	return frame.Bytes(), err
}

func isValidLength(length uint32) bool { return length > 0 && length <= maxFrameBytes }

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsBuffered reports whether Read would return without waiting, because a complete frame or an invalid length is
// buffered.
func IsBuffered(source *bufio.Reader) bool {
	if source.Buffered() < lengthBytes {
		return false
	}
	header, _ := source.Peek(lengthBytes)
	length := binary.BigEndian.Uint32(header)
	return !isValidLength(length) || source.Buffered() >= lengthBytes+int(length)
}

// IsPlausibleReply reports whether the buffered bytes can be the beginning of a TypeAnswer or TypeReject frame. It
// returns true if nothing is buffered.
func IsPlausibleReply(source *bufio.Reader) bool {
	header, _ := source.Peek(min(headerBytes, source.Buffered()))
	if len(header) == 0 {
		return true
	}
	if header[0] != 0 { // lengths up to maxFrameBytes have 0 as their first byte
		return false
	}
	if len(header) >= lengthBytes && !isValidLength(binary.BigEndian.Uint32(header)) {
		return false
	}
	return len(header) < headerBytes || header[lengthBytes] == TypeAnswer || header[lengthBytes] == TypeReject
}
