package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

const (
	logQueueSize      = 1024            // lines that wait for the log: a burst of some for each connection
	logFlushTimeout   = 2 * time.Second // for the lines that are left at the end: the process is to end soon
	logRepeatInterval = time.Second     // between two lines of one kind that others can cause at will
)

// asyncLogger is the log as the coordinator's goroutines write to it: none waits for it. Lines that find its queue
// full are dropped and counted, so that a log that is not read does not stall the service.
type asyncLogger struct {
	*slog.Logger
	clock     Clock
	handler   slog.Handler
	records   chan logRecord
	lostLines atomic.Int64

	mu          sync.Mutex
	lastWritten map[string]time.Time // by kind of line that others can cause at will
	suppressed  map[string]int       // lines of the kind left out since; kinds are few
}

// logRecord is a line on its way to its handler.
type logRecord struct {
	handler slog.Handler
	record  slog.Record
}

// boundedHandler queues records without waiting.
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

// newAsyncLogger returns a logger whose run writes its lines.
func newAsyncLogger(clock Clock, out slog.Handler) *asyncLogger {
	n := &asyncLogger{
		clock: clock, handler: out, records: make(chan logRecord, logQueueSize), lastWritten: map[string]time.Time{},
		suppressed: map[string]int{},
	}
	n.Logger = slog.New(boundedHandler{n, out})
	return n
}

// warnLimited logs what others can cause at will: one line of each kind in logRepeatInterval, with the count of those
// left out.
func (n *asyncLogger) warnLimited(kind, event string, attrs ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if last, ok := n.lastWritten[kind]; ok && now.Sub(last) < logRepeatInterval {
		n.suppressed[kind]++
		return
	}
	n.Warn(event, append(attrs, "left_out", n.suppressed[kind])...)
	n.lastWritten[kind], n.suppressed[kind] = now, 0
}

// run writes the lines until ctx ends, and then what is left, for logFlushTimeout at the most.
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

// writeRecord writes a line, and after it how many before it were lost: dropped, or not taken by the log.
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

// recoverPanic has a panic end one connection alone, not the process and all that others wait for. What the panic
// interrupts stays undone. The logger may be nil.
func (n *asyncLogger) recoverPanic(handle func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if err = errFault; n != nil {
				n.warnLimited("connection fault", "connection_fault", "error", fmt.Sprint(r), "stack", string(debug.Stack()))
			}
		}
	}()
	return handle()
}
