// Package http1 parses and writes HTTP/1.1 messages. It opens no connections and contains no policy.
//
// It replaces net/http where the event loop serves many connections. It reads into buffers that the caller provides,
// needs no goroutine per connection, and makes almost no allocations per connection.
package http1

import (
	"errors"
	"io"
)

// ErrBufferFull reports that the buffer has no room for further bytes. It is a normal state of a connection, not a
// failure.
var ErrBufferFull = errors.New("read buffer is full")

// Reader reads messages from a stream, whose bytes may arrive in pieces of any length. It is not safe for concurrent
// use.
type Reader struct {
	source     io.Reader
	buffer     []byte // owned by the caller of NewReader
	start, end int    // buffer[start:end] is received and not yet consumed

	headBytesLeft int               // how many more bytes the current head, chunk size line or trailers may have
	head          string            // the unread rest of the current head if it was received completely, otherwise empty
	fields        map[string]string // of the last head, reused for the next
}

// NewReader returns a reader that uses buffer. Nothing else may use buffer at the same time, and it must be larger than
// the longest head.
func NewReader(source io.Reader, buffer []byte) *Reader {
	return &Reader{source: source, buffer: buffer}
}

// AwaitMessage waits until the first byte of the next message has been received. It skips empty lines before the
// message.
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

// ReadAhead reads further bytes between messages, so that the caller notices the end of the stream. It returns
// ErrBufferFull if the buffer has no room. It invalidates the fields and body of the last message.
func (r *Reader) ReadAhead() error {
	if r.start == 0 && r.end == len(r.buffer) {
		return ErrBufferFull
	}
	return r.fill()
}

// ReadAvailable reads the bytes that have already arrived after the last message. read must not wait, and must return
// an error when no more bytes are available; ReadAvailable returns that error, or ErrBufferFull. The fields and body of
// the last message stay valid.
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

// fill reads once from the source. If the buffer has no room at its end, it first moves the unconsumed bytes to the
// front.
func (r *Reader) fill() error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	} else if r.end == len(r.buffer) {
		r.end, r.start = copy(r.buffer, r.buffer[r.start:r.end]), 0
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil // an error that came with bytes is returned again by the next read
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for errors within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
