package coordinator

import (
	"context"
	"fmt"
	"log"
	"sync"
	"sync/atomic"
	"time"
)

// notes is the log as the co-ordinator's goroutines write to it: no one waits for it. Lines that find it
// full are dropped and counted. Guards against a reader of the log that stalls.
type notes struct {
	clock Clock
	lines chan string
	lost  atomic.Int64

	mu    sync.Mutex
	spoke map[string]time.Time // when each kind that can be repeated at will was last written
	more  map[string]int       // and how often it was left out since; kinds are constants of the code
}

func newNotes(clock Clock) *notes {
	return &notes{clock: clock, lines: make(chan string, logRoom), spoke: map[string]time.Time{},
		more: map[string]int{}}
}

func (n *notes) Printf(format string, v ...any) {
	select {
	case n.lines <- fmt.Sprintf(format, v...):
	default:
		n.lost.Add(1)
	}
}

// often writes what others can bring about at will: one line a kind each logEach, with the count of those left
// out. Guards against strangers who fill the log.
func (n *notes) often(kind, format string, v ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if last, ok := n.spoke[kind]; ok && now.Sub(last) < logEach {
		n.more[kind]++
		return
	}
	n.Printf(format+" left_out=%d", append(v, n.more[kind])...)
	n.spoke[kind], n.more[kind] = now, 0
}

// write writes the lines out until ctx ends, and then what is left.
func (n *notes) write(ctx context.Context, out *log.Logger) error {
	for {
		select {
		case line := <-n.lines:
			out.Print(line)
			if lost := n.lost.Swap(0); lost > 0 {
				out.Printf("event=log_full lines_lost=%d", lost)
			}
		case <-ctx.Done():
			for {
				select {
				case line := <-n.lines:
					out.Print(line)
				default:
					return nil
				}
			}
		}
	}
}
