package coordinator

import (
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"
)

const logWriteTimeout = time.Second // for one write; a reader that is merely slow takes less time

// NewLogger returns a logger that writes lines of key=value text or of JSON objects: time, level, event and the event's
// attributes.
func NewLogger(output io.Writer, json bool, least slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: least, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}}
	if json {
		return slog.New(slog.NewJSONHandler(output, opts))
	}
	return slog.New(slog.NewTextHandler(output, opts))
}

// stallGuardWriter writes on a separate goroutine and waits at most logWriteTimeout for each write.
type stallGuardWriter struct {
	mu      sync.Mutex
	buffer  []byte // owned by the writing goroutine during a write
	writes  chan []byte
	done    chan writeResult
	stalled bool // the previous write has not returned
}

// writeResult is the result of a finished write.
type writeResult struct{ err error }

// errStalled is the error of a write that did not finish in time or that follows one which has not finished.
var errStalled = errors.New("log output is stalled: a write did not finish in time")

// NewStallGuardWriter returns a writer to a file that may be read late or never, such as a pipe. A write that does not
// finish within logWriteTimeout returns an error, and until it has finished, all further writes fail at once. Without it,
// a process whose output nobody reads could neither end nor reload. A Write that returns no error is complete.
func NewStallGuardWriter(output io.Writer) io.Writer {
	writer := &stallGuardWriter{writes: make(chan []byte), done: make(chan writeResult, 1)}
	go func() {
		for text := range writer.writes {
			_, err := output.Write(text)
			writer.done <- writeResult{err}
		}
	}()
	return writer
}

// Write implements io.Writer.
func (u *stallGuardWriter) Write(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stalled {
		select {
		case <-u.done:
			u.stalled = false
		default:
			return 0, errStalled
		}
	}
	u.buffer = append(u.buffer[:0], p...)
	u.writes <- u.buffer
	late := time.NewTimer(logWriteTimeout)
	defer late.Stop()
	select {
	case result := <-u.done:
		if result.err != nil {
			return 0, result.err
		}
		return len(p), nil
	case <-late.C:
		u.stalled = true
		return 0, errStalled
	}
}
