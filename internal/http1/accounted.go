package http1

import (
	"io"
	"sync"
)

const (
	minBufferBytes = 2 << 10   // holds most messages
	maxBufferBytes = 128 << 10 // that are read ahead at most; a head needs less
	minBodyBytes   = 4 << 10   // first allocation for a body that the buffer does not hold
)

// AccountedSource is a stream whose reader holds memory only for bytes that have arrived, and asks before it takes more.
type AccountedSource interface {
	io.Reader
	// AwaitBytes waits until Read returns without waiting.
	AwaitBytes() error
	// Reserve is called before so many more bytes of memory are taken. An error ends the reading.
	Reserve(bytes int) error
	// Release is called when so many bytes are not used any more.
	Release(bytes int)
}

// NewAccountedReader returns a reader that takes its buffers from a pool: none while it waits for a message, larger ones
// as bytes arrive. Close gives back what it holds.
func NewAccountedReader(source AccountedSource) *Reader {
	return &Reader{source: source, accounted: source, bodyLimit: maxBodyBytes}
}

// bufferPools hold the buffers that are not in use, by size: minBufferBytes, twice that, and so on up to maxBufferBytes.
var bufferPools = map[int]*sync.Pool{}

func init() {
	for size := minBufferBytes; size <= maxBufferBytes; size *= 2 {
		bufferPools[size] = &sync.Pool{New: func() any {
			buffer := make([]byte, size)
			return &buffer
		}}
	}
}

// growBuffer replaces a full buffer by one of twice its size, which has to be allowed.
func (r *Reader) growBuffer() error {
	if r.accounted == nil || len(r.buffer) == maxBufferBytes {
		return ErrBufferFull
	}
	size := max(minBufferBytes, 2*len(r.buffer))
	if err := r.accounted.Reserve(size); err != nil {
		return err
	}
	larger := bufferPools[size].Get().(*[]byte)
	copy(*larger, r.buffer[:r.end])
	end := r.end
	r.releaseBuffer()
	r.buffer, r.pooled, r.end = *larger, larger, end
	return nil
}

// releaseBuffer gives the buffer back to its pool, with what is in it.
func (r *Reader) releaseBuffer() {
	if r.pooled == nil {
		return
	}
	bufferPools[len(r.buffer)].Put(r.pooled)
	r.accounted.Release(len(r.buffer))
	r.buffer, r.pooled, r.start, r.end = nil, nil, 0, 0
}

// growBody makes room for more bytes behind a body, of which so many are still to come at most.
func (r *Reader) growBody(body []byte, more, toCome int) ([]byte, error) {
	needed := len(body) + more
	if needed <= cap(body) {
		return body, nil
	}
	size := max(needed, min(len(body)+toCome, max(minBodyBytes, 2*cap(body))))
	if r.accounted != nil {
		if err := r.accounted.Reserve(size - cap(body)); err != nil {
			return nil, err
		}
		r.reservedBody += size - cap(body)
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	return larger, nil
}

// readInto reads once from the source to the end of a body: n bytes at most, of toCome that may still be appended.
func (r *Reader) readInto(body []byte, n, toCome int) ([]byte, error) {
	r.start, r.end = 0, 0
	r.releaseBuffer()
	if err := r.accounted.AwaitBytes(); err != nil {
		return nil, err
	}
	if len(body)+n > r.bodyLimit {
		return nil, r.bodyTooLarge()
	}
	body, err := r.growBody(body, 1, toCome)
	if err != nil {
		return nil, err
	}
	room := min(cap(body)-len(body), n)
	got, err := r.source.Read(body[len(body) : len(body)+room])
	if got > 0 {
		return body[:len(body)+got], nil // an error that came with bytes is returned again by the next read
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return nil, err
}

// releaseBody gives back what was reserved for the body of the last message, and what its head took beyond the usual.
func (r *Reader) releaseBody() {
	if r.reservedBody > 0 {
		r.accounted.Release(r.reservedBody)
		r.reservedBody = 0
	}
	if len(r.fields) > maxKeptFields {
		r.fields = nil
	}
	clear(r.fields)
}

// Close gives back all memory that the reader holds. It must not be used any more.
func (r *Reader) Close() {
	r.releaseBody()
	r.releaseBuffer()
}
