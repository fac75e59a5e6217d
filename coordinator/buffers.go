package coordinator

import (
	"bufio"
	"sync"
)

const bufferSize = 16 << 10 // bytes of a buffer: a message head and most complete messages; 1,000 buffers take 16 MB

// buffers and readers are all of one size; what outgrew it is left to the collector.
var (
	buffers         = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}
	bufferedReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
)

func borrowBuffer() *[]byte { return buffers.Get().(*[]byte) }

func returnBuffer(buffer *[]byte) {
	if cap(*buffer) == bufferSize {
		*buffer = (*buffer)[:0]
		buffers.Put(buffer)
	}
}
