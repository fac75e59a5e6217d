package coordinator

import (
	"bufio"
	"sync"
)

const (
	bufferSize      = 16 << 10 // bytes of a buffer: holds a message head and most whole messages; 1,000 buffers take 16 MB
	smallBufferSize = 1 << 10  // bytes of a small buffer: holds an answer without values
)

// buffers, smallBuffers and bufferedReaders hold only buffers of their size; one that has grown beyond it is left to the
// garbage collector.
var (
	buffers         = newBufferPool(bufferSize)
	smallBuffers    = newBufferPool(smallBufferSize)
	bufferedReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
)

func newBufferPool(size int) *sync.Pool {
	return &sync.Pool{New: func() any { b := make([]byte, 0, size); return &b }}
}

// borrowBuffer returns an empty buffer; returnBuffer takes it back.
func borrowBuffer() *[]byte { return buffers.Get().(*[]byte) }

// borrowBufferOf returns an empty buffer that has room for so many bytes, if it is one of the sizes kept for reuse.
func borrowBufferOf(bytes int) *[]byte {
	if bytes <= smallBufferSize {
		return smallBuffers.Get().(*[]byte)
	}
	return borrowBuffer()
}

// returnBuffer gives a buffer back for reuse; the caller must not use it any more.
func returnBuffer(buffer *[]byte) {
	switch cap(*buffer) {
	case bufferSize:
		*buffer = (*buffer)[:0]
		buffers.Put(buffer)
	case smallBufferSize:
		*buffer = (*buffer)[:0]
		smallBuffers.Put(buffer)
	}
}
