package httpserver

import (
	"context"
	"errors"
	"sync"
)

// ErrNoMemory ends a request for which there is no memory, or whose memory others need while it arrives.
var ErrNoMemory = errors.New("there is no memory for the request now; lower the load, or raise memory_mb")

// requestMemory is what a handler holds for its request beyond the request itself.
type requestMemory struct {
	holding Holding

	mu   sync.Mutex
	held int // bytes
}

// requestMemoryKey is the context key of a requestMemory.
type requestMemoryKey struct{}

func withRequestMemory(ctx context.Context, memory *requestMemory) context.Context {
	return context.WithValue(ctx, requestMemoryKey{}, memory)
}

// ReserveMemory adds bytes to what the request of a handler's context holds, until the handler returns. It returns ErrNoMemory
// if there is no room. Without such a request, it does nothing.
func ReserveMemory(ctx context.Context, bytes int) error {
	memory, isServed := ctx.Value(requestMemoryKey{}).(*requestMemory)
	if !isServed {
		return nil
	}
	if memory.holding.Reserve(bytes) != nil {
		return ErrNoMemory
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.held += bytes
	return nil
}

func (m *requestMemory) releaseAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holding.Release(m.held)
	m.held = 0
}
