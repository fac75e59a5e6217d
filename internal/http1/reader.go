// Package http1 reads and writes HTTP/1.1 messages. It knows no sockets and decides nothing.
//
// It exists beside net/http because the event loop reads messages of many connections through borrowed buffers, with no
// goroutine and next to no allocation for each.
package http1

import (
	"errors"
	"io"
)

// ErrBufferFull is returned where the buffer has no room to read on. It is a state of the connection, not a fault.
var ErrBufferFull = errors.New("the buffer is full")

// Reader reads messages from a stream, which may be split at any byte. It is not safe for concurrent use.
type Reader struct {
	source     io.Reader
	buffer     []byte // as lent to NewReader
	start, end int    // what is received and not consumed: buffer[start:end]

	headBytesLeft int               // what the present head, or the present trailers, may still have
	head          string            // the rest of the present head where it was received completely, else empty
	fields        map[string]string // of the last head, reused for the next
}

// NewReader returns a reader that uses buffer, which nobody else may use meanwhile and which must hold more than a head.
func NewReader(source io.Reader, buffer []byte) *Reader {
	return &Reader{source: source, buffer: buffer}
}

// AwaitMessage returns once the first byte of the next message has been received. It skips empty lines before it.
func (r *Reader) AwaitMessage() error {
	for {
		for ; r.start < r.end; r.start++ {
			if b := r.buffer[r.start]; b != '\r' && b != '\n' {
				return nil
			}
		}
		if err := r.fill(); err != nil {
			return err
		}
	}
}

// ReadAhead reads on while no message is being read, so that the end of the stream is noticed. It returns ErrBufferFull
// once there is no room. What the last message returned is not valid any more.
func (r *Reader) ReadAhead() error {
	if r.start == 0 && r.end == len(r.buffer) {
		return ErrBufferFull
	}
	return r.fill()
}

// ReadAvailable reads what has been received behind the last message, by a function that does not wait and returns an
// error when there is no more. What the last message returned stays valid. It returns that error, or ErrBufferFull.
func (r *Reader) ReadAvailable(read func(p []byte) (int, error)) error {
	for r.end < len(r.buffer) {
		n, err := read(r.buffer[r.end:])
		r.end += max(n, 0)
		if err != nil {
			return err
		}
	}
	return ErrBufferFull
}

// fill reads once, after making room by moving what is not consumed to the front.
func (r *Reader) fill() error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	} else if r.end == len(r.buffer) {
		r.end, r.start = copy(r.buffer, r.buffer[r.start:r.end]), 0
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil // an error with it comes again with the next read
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// unexpectedEOF is for errors within a message, where the end of the stream cuts it off.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
