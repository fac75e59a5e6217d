package peerprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// A frame consists of a length (four bytes, big-endian), a kind (one byte) and one CBOR item. The length is the number
	// of bytes that follow it.
	frameLengthBytes = 4
	frameKindBytes   = 1
	frameHeaderBytes = frameLengthBytes + frameKindBytes
	// readStep is the number of bytes by which the buffer of a received frame grows.
	readStep = 4096
)

// appendFrame appends a frame with one message to dst. It returns a FrameTooLargeError if the frame exceeds
// maxFrameBytes.
func appendFrame(dst []byte, kind byte, message any) ([]byte, error) {
	item, err := encoder.Marshal(message)
	if err != nil {
		return nil, err
	}
	length := frameKindBytes + len(item)
	if length > maxFrameBytes {
		return nil, &FrameTooLargeError{Bytes: length}
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(length))
	dst = append(dst, kind)
	return append(dst, item...), nil
}

// readFrame reads one frame. The item is read into buffer, which grows with the bytes received and not to the length
// that the peer states, so that a large stated length alone takes no memory.
func readFrame(source io.Reader, buffer []byte) (kind byte, item []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err = io.ReadFull(source, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > maxFrameBytes {
		return 0, nil, fmt.Errorf("%w: length %d", ErrInvalidMessage, length)
	}
	item = buffer[:0]
	for missing := int(length) - frameKindBytes; missing > 0; {
		step := min(missing, readStep)
		received := len(item)
		item = append(item, make([]byte, step)...)
		_, err = io.ReadFull(source, item[received:])
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, nil, err
		}
		missing -= step
	}
	return header[frameLengthBytes], item, nil
}
