// Package http1 parses and writes HTTP/1.1 messages. It opens no connections and contains no policy.
//
// It replaces net/http where the event loop serves many connections. It reads into buffers that the caller provides,
// needs no goroutine per connection, and makes almost no allocations per connection.
package http1

import (
	"bytes"
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
	buffer     []byte // owned by the caller of NewReader, or from the buffer pool; nil if there is none
	start, end int    // buffer[start:end] is received and not yet consumed

	accounted    AccountedSource // the source, if the reader's memory is accounted for; otherwise nil
	pooled       *[]byte         // where buffer was taken from; nil for the buffer of NewReader
	reservedBody int             // bytes reserved for the body of the last message

	bodyLimit     int               // bytes that a body may have
	headBytesLeft int               // how many more bytes the current head, chunk size line or trailers may have
	headLength    int               // of the last request
	head          string            // the unread rest of the current head if it was received completely, otherwise empty
	fields        map[string]string // of the last head, reused for the next
}

// NewReader returns a reader that uses buffer. Nothing else may use buffer at the same time, and it must be larger than
// the longest head.
func NewReader(source io.Reader, buffer []byte) *Reader {
	return &Reader{source: source, buffer: buffer, bodyLimit: maxBodyBytes}
}

// SetBodyLimit sets how many bytes the bodies of further messages may have, which is 64 KiB without a call.
func (r *Reader) SetBodyLimit(bytes int) { r.bodyLimit = bytes }

// Buffered returns how many bytes have been received and not yet consumed.
func (r *Reader) Buffered() int { return r.end - r.start }

// DetachBody returns the body of the last message, copied if it is a part of the buffer, so that it stays valid.
func (r *Reader) DetachBody(body []byte) []byte {
	if n := len(body); n > 0 && n <= r.start && &body[0] == &r.buffer[r.start-n] {
		return bytes.Clone(body)
	}
	return body
}

// AwaitMessage waits until the first byte of the next message has been received. It skips empty lines before the
// message.
func (r *Reader) AwaitMessage() error {
	r.releaseBody()
	for {
		if r.SkipEmptyLines() {
			return nil
		}
		if err := r.fill(); err != nil {
			return err
		}
	}
}

// ReadAhead reads further bytes between messages, so that the caller notices the end of the stream. It returns
// ErrBufferFull if the buffer has no room. It invalidates the fields and body of the last message.
func (r *Reader) ReadAhead() error {
	if r.end-r.start >= r.maxBuffered() {
		return ErrBufferFull
	}
	return r.fill()
}

// maxBuffered returns how many bytes the buffer can hold at most.
func (r *Reader) maxBuffered() int {
	if r.accounted != nil {
		return maxBufferBytes
	}
	return len(r.buffer)
}

// SkipEmptyLines consumes empty lines that have been received after the last message, and reports whether other bytes
// follow them.
func (r *Reader) SkipEmptyLines() bool {
	for ; r.start < r.end; r.start++ {
		if b := r.buffer[r.start]; b != '\r' && b != '\n' {
			return true
		}
	}
	return false
}

// fill reads once from the source. If the buffer has no room at its end, it first moves the unconsumed bytes to the
// front, or takes a larger buffer.
func (r *Reader) fill() error {
	if err := r.makeRoom(); err != nil {
		return err
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

// makeRoom makes room for at least one byte in the buffer. With an accounted source, it waits for bytes before it takes
// a buffer.
func (r *Reader) makeRoom() error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.accounted != nil {
		if r.end == 0 {
			r.releaseBuffer()
		}
		if err := r.accounted.AwaitBytes(); err != nil {
			return err
		}
	}
	if r.end < len(r.buffer) {
		return nil
	}
	if r.start > 0 {
		r.end, r.start = copy(r.buffer, r.buffer[r.start:r.end]), 0
		return nil
	}
	return r.growBuffer()
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for errors within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
