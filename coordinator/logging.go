package coordinator

import (
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"
)

const logWriteTimeout = time.Second // for a line to be taken: a reader that is only slow needs less

// NewLogger returns a logger that writes lines of key=value text, or JSON objects: time, level, event and the event's
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

// stallGuardWriter writes on a goroutine of its own and waits for it only so long.
type stallGuardWriter struct {
	mu      sync.Mutex
	buffer  []byte // the writing goroutine's until it is done
	writes  chan []byte
	done    chan writeResult
	stalled bool // the previous write has not returned
}

// writeResult is how a write has ended.
type writeResult struct{ err error }

// errStalled is a write that was given up.
var errStalled = errors.New("the log is not read")

// NewStallGuardWriter returns a writer to a file that may be read late or never, such as a pipe. What is not taken
// within logWriteTimeout is given up with an error, and so is, at once, all that follows until it is taken. Without
// it, a process whose output nobody reads could neither end nor reload. A Write that returns no error is complete.
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
