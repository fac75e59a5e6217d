package gossip

import (
	"bytes"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chalkring/internal/advice"
)

const (
	linesRate  = 5                // of the library's lines a second that reach the log: enough to see what goes on
	linesBurst = 20               // lines at once
	keysEvery  = 10 * time.Second // between lines on keys that differ: each packet would bring one
)

// lines takes the library's log: warnings and errors go on at a bounded rate, the rest is left out.
type lines struct {
	n       *Node
	limit   *rate.Limiter
	keys    *rate.Limiter
	dropped atomic.Int64
}

func (l *lines) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	level, words, _ := strings.Cut(text, "] ")
	if level != "[WARN" && level != "[ERR" && level != "[ERROR" {
		return len(line), nil
	}
	words = strings.TrimPrefix(words, "memberlist: ")
	if strings.Contains(words, "ecrypt") { // by another key, or by none
		if l.keys.Allow() {
			_, from, _ := strings.Cut(words, "from=")
			l.n.log.Warn("fleet_key", advice.LogAttrs(&KeyMismatchError{From: from})...)
		}
		return len(line), nil
	}
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return len(line), nil
	}
	l.n.log.Debug("gossip", "text", words, "lines_lost", l.dropped.Swap(0))
	return len(line), nil
}
