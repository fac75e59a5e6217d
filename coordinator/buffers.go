package coordinator

import (
	"bufio"
	"sync"
)

const bufferSize = 16 << 10 // bytes of a buffer: holds a message head and most whole messages; 1,000 buffers take 16 MB

// buffers and bufferedReaders hold only buffers of bufferSize; one that has grown beyond it is left to the garbage
// collector.
var (
	buffers         = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}
	bufferedReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
)

// borrowBuffer returns an empty buffer; returnBuffer takes it back.
func borrowBuffer() *[]byte { return buffers.Get().(*[]byte) }

// returnBuffer gives a buffer back for reuse; the caller must not use it any more.
func returnBuffer(buffer *[]byte) {
	if cap(*buffer) == bufferSize {
		*buffer = (*buffer)[:0]
		buffers.Put(buffer)
	}
}
