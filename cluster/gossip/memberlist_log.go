package gossip

import (
	"bytes"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chalkring/internal/advice"
)

const (
	maxLinesPerSecond      = 5                // rate limit of memberlist's lines and, separately, of member changes in the log
	maxLinesBurst          = 20               // burst of that rate limit
	keyMismatchLogInterval = 10 * time.Second // between lines on a key mismatch; else each packet would log one
)

// memberlistLog is an io.Writer for memberlist's log. It logs warnings and errors at a limited rate and drops the rest.
type memberlistLog struct {
	logger             *slog.Logger
	limiter            *rate.Limiter
	keyMismatchLimiter *rate.Limiter
	droppedLines       atomic.Int64
}

func newMemberlistLog(logger *slog.Logger) *memberlistLog {
	return &memberlistLog{
		logger: logger, limiter: rate.NewLimiter(maxLinesPerSecond, maxLinesBurst),
		keyMismatchLimiter: rate.NewLimiter(rate.Every(keyMismatchLogInterval), 1),
	}
}

// Write handles one line of memberlist's log.
func (l *memberlistLog) Write(line []byte) (int, error) {
	level, text, _ := strings.Cut(string(bytes.TrimSpace(line)), "] ")
	if level != "[WARN" && level != "[ERR" && level != "[ERROR" {
		return len(line), nil
	}
	text = strings.TrimPrefix(text, "memberlist: ")
	switch {
	case strings.Contains(text, "ecrypt"): // "Decrypt" or "decrypt": the received data is encrypted with another key or not encrypted
		if l.keyMismatchLimiter.Allow() {
			_, from, _ := strings.Cut(text, "from=")
			l.logger.Warn(eventKeyMismatch, advice.LogAttrs(&KeyMismatchError{From: from})...)
		}
	case l.limiter.Allow():
		l.logger.Debug(eventMemberlist, "text", text, "lines_lost", l.droppedLines.Swap(0))
	default:
		l.droppedLines.Add(1)
	}
	return len(line), nil
}
