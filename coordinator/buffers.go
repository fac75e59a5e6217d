package coordinator

import (
	"bufio"
	"sync"
)

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
