package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// NewLogger writes lines of key=value text, or JSON objects, one an event: time, level, event and what belongs to it.
func NewLogger(to io.Writer, json bool, least slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: least, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}}
	if json {
		return slog.New(slog.NewJSONHandler(to, opts))
	}
	return slog.New(slog.NewTextHandler(to, opts))
}

// unstalled hands what is written to a goroutine of its own and waits for it only so long.
type unstalled struct {
	mu    sync.Mutex
	text  []byte // the goroutine's until it is done
	texts chan []byte
	done  chan error
	stuck bool // it is not done with the text before
}

var errStalled = errors.New("the log is not read")

// NewStallGuardWriter writes to a file that another may read late or never, such as a pipe: what is not taken within logStall is
// given up with an error, and so is, at once, all that follows until it is taken. Guards against a process that can neither
// end nor take new plans since nobody reads what it says. What is written is out when Write returns without an error.
func NewStallGuardWriter(to io.Writer) io.Writer {
	u := &unstalled{texts: make(chan []byte), done: make(chan error, 1)}
	go func() {
		for text := range u.texts {
			_, err := to.Write(text)
			u.done <- err
		}
	}()
	return u
}

func (u *unstalled) Write(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stuck {
		select {
		case <-u.done:
			u.stuck = false
		default:
			return 0, errStalled
		}
	}
	u.text = append(u.text[:0], p...)
	u.texts <- u.text
	late := time.NewTimer(logStall)
	defer late.Stop()
	select {
	case err := <-u.done:
		if err != nil {
			return 0, err
		}
		return len(p), nil
	case <-late.C:
		u.stuck = true
		return 0, errStalled
	}
}

// notes is the log as the co-ordinator's goroutines write to it: no one waits for it. Lines that find it
// full are dropped and counted. Guards against a reader of the log that stalls.
type notes struct {
	*slog.Logger
	clock Clock
	out   slog.Handler
	lines chan entry
	lost  atomic.Int64

	mu    sync.Mutex
	spoke map[string]time.Time // when each kind that can be repeated at will was last written
	more  map[string]int       // and how often it was left out since; kinds are constants of the code
}

// entry is a line on its way to its handler.
type entry struct {
	to slog.Handler
	r  slog.Record
}

// bounded hands records over without waiting.
type bounded struct {
	n  *notes
	to slog.Handler
}

func (b bounded) Enabled(ctx context.Context, l slog.Level) bool { return b.to.Enabled(ctx, l) }
func (b bounded) WithAttrs(as []slog.Attr) slog.Handler          { return bounded{b.n, b.to.WithAttrs(as)} }

func (b bounded) WithGroup(name string) slog.Handler { return bounded{b.n, b.to.WithGroup(name)} }

func (b bounded) Handle(_ context.Context, r slog.Record) error {
	select {
	case b.n.lines <- entry{b.to, r.Clone()}:
	default:
		b.n.lost.Add(1)
	}
	return nil
}

func newNotes(clock Clock, out slog.Handler) *notes {
	n := &notes{
		clock: clock, out: out, lines: make(chan entry, logRoom), spoke: map[string]time.Time{},
		more: map[string]int{},
	}
	n.Logger = slog.New(bounded{n, out})
	return n
}

// often writes what others can bring about at will: one line a kind each logEach, with the count of those left
// out. Guards against strangers who fill the log.
func (n *notes) often(kind, event string, v ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if last, ok := n.spoke[kind]; ok && now.Sub(last) < logEach {
		n.more[kind]++
		return
	}
	n.Warn(event, append(v, "left_out", n.more[kind])...)
	n.spoke[kind], n.more[kind] = now, 0
}

// write writes the lines out until ctx ends, and then what is left, for logLast at the most.
func (n *notes) write(ctx context.Context) error {
	for {
		select {
		case l := <-n.lines:
			n.writeOne(ctx, l)
		case <-ctx.Done():
			for by := n.clock.Now().Add(logLast); n.clock.Now().Before(by); {
				select {
				case l := <-n.lines:
					n.writeOne(ctx, l)
				default:
					return nil
				}
			}
			return nil
		}
	}
}

// writeOne writes a line out, and behind it how many before it are lost: dropped, or not taken by the log.
func (n *notes) writeOne(ctx context.Context, l entry) {
	if l.to.Handle(ctx, l.r) != nil {
		n.lost.Add(1)
		return
	}
	if lost := n.lost.Swap(0); lost > 0 {
		r := slog.NewRecord(n.clock.Now(), slog.LevelWarn, "log_full", 0)
		r.Add("lines_lost", lost)
		if n.out.Handle(ctx, r) != nil {
			n.lost.Add(lost)
		}
	}
}

// contain has a panic end what is done on one connection alone. Guards against a fault that some bytes bring out: the process
// would end, and with it all that others wait for. Harm: what the fault leaves undone stays so.
func (n *notes) contain(do func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if err = faulty; n != nil {
				n.often("connection fault", "connection_fault", "error", fmt.Sprint(r), "stack", string(debug.Stack()))
			}
		}
	}()
	return do()
}
