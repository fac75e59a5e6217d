package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chalkring/internal/guard"
)

const (
	logQueueSize      = 1024            // lines waiting to be written: room for a burst of several lines per connection
	logFlushTimeout   = 2 * time.Second // for writing the remaining lines at exit; short, so that the process exits soon
	logRepeatInterval = time.Second     // least time between two lines of a kind that clients or peers can cause at will
)

// asyncLogger is the logger of the coordinator's goroutines: logging never blocks them. Lines that do not fit into its
// queue are dropped and counted, so that a log output that nobody reads does not stall the service.
type asyncLogger struct {
	*slog.Logger
	clock     Clock
	handler   slog.Handler
	records   chan logRecord
	lostLines atomic.Int64

	mu          sync.Mutex
	lastWritten map[string]time.Time // by kind, for lines written by warnLimited
	leftOut     map[string]int       // by kind, lines left out since the last one written; there are few kinds
}

// logRecord is a queued line with the handler that writes it.
type logRecord struct {
	handler slog.Handler
	record  slog.Record
}

// boundedHandler queues records without blocking, and drops them while the queue is full.
type boundedHandler struct {
	logger  *asyncLogger
	handler slog.Handler
}

// Enabled implements slog.Handler.
func (b boundedHandler) Enabled(ctx context.Context, l slog.Level) bool {
	return b.handler.Enabled(ctx, l)
}

// WithAttrs implements slog.Handler.
func (b boundedHandler) WithAttrs(as []slog.Attr) slog.Handler {
	return boundedHandler{b.logger, b.handler.WithAttrs(as)}
}

// WithGroup implements slog.Handler.
func (b boundedHandler) WithGroup(name string) slog.Handler {
	return boundedHandler{b.logger, b.handler.WithGroup(name)}
}

// Handle implements slog.Handler.
func (b boundedHandler) Handle(_ context.Context, r slog.Record) error {
	select {
	case b.logger.records <- logRecord{b.handler, r.Clone()}:
	default:
		b.logger.lostLines.Add(1)
	}
	return nil
}

// newAsyncLogger returns a logger whose lines are written by its run method.
func newAsyncLogger(clock Clock, out slog.Handler) *asyncLogger {
	n := &asyncLogger{
		clock: clock, handler: out, records: make(chan logRecord, logQueueSize), lastWritten: map[string]time.Time{},
		leftOut: map[string]int{},
	}
	n.Logger = slog.New(boundedHandler{n, out})
	return n
}

// warnLimited logs an event that clients or peers can cause at will: at most one line of each kind per
// logRepeatInterval, with the number of lines left out since the previous one.
func (n *asyncLogger) warnLimited(kind, event string, attrs ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if last, ok := n.lastWritten[kind]; ok && now.Sub(last) < logRepeatInterval {
		n.leftOut[kind]++
		return
	}
	n.Warn(event, append(attrs, "left_out", n.leftOut[kind])...)
	n.lastWritten[kind], n.leftOut[kind] = now, 0
}

// run writes queued lines until ctx ends, and then the remaining ones for at most logFlushTimeout.
func (n *asyncLogger) run(ctx context.Context) error {
	for {
		select {
		case l := <-n.records:
			n.writeRecord(ctx, l)
		case <-ctx.Done():
			for by := n.clock.Now().Add(logFlushTimeout); n.clock.Now().Before(by); {
				select {
				case l := <-n.records:
					n.writeRecord(ctx, l)
				default:
					return nil
				}
			}
			return nil
		}
	}
}

// writeRecord writes a line, followed by the number of earlier lines that were lost: dropped, or not written by the
// handler.
func (n *asyncLogger) writeRecord(ctx context.Context, l logRecord) {
	if l.handler.Handle(ctx, l.record) != nil {
		n.lostLines.Add(1)
		return
	}
	if lost := n.lostLines.Swap(0); lost > 0 {
		r := slog.NewRecord(n.clock.Now(), slog.LevelWarn, "log_full", 0)
		r.Add("lines_lost", lost)
		if n.handler.Handle(ctx, r) != nil {
			n.lostLines.Add(lost)
		}
	}
}

// recoverPanic turns a panic in handle into an error, so that it ends one connection and not the process with all other
// searches. The interrupted work is not resumed. The logger may be nil.
func (n *asyncLogger) recoverPanic(handle func() error) error {
	err := guard.Run(handle)
	if err == nil {
		return nil
	}
	panicked, hasPanicked := errors.AsType[*guard.PanicError](err)
	if !hasPanicked {
		return err
	}
	if n != nil {
		n.warnLimited("connection fault", "connection_fault", "error", fmt.Sprint(panicked.Cause), "stack", panicked.Stack)
	}
	return errFault
}
