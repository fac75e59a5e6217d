package coordinator

import (
	"bytes"
	"fmt"
	"log/slog"
	"regexp"
	"testing"

	"chalkring/internal/golden"
)

var lineTime = regexp.MustCompile(`time=\S+ `)

// Log lines in both formats, text and JSON, and at several levels have the form of the golden file: operators' tools parse
// them.
func TestGoldenLogForm(t *testing.T) {
	var out bytes.Buffer
	for _, json := range []bool{false, true} {
		for _, level := range []slog.Level{slog.LevelDebug, slog.LevelWarn} {
			log := NewLogger(&out, json, level)
			log.Debug("first", "count", 1)
			log.Info("second", "name", "a b", "event", "inner")
			log.Error("third", "error", fmt.Errorf("it is %q", "x"))
		}
	}
	text := lineTime.ReplaceAllString(out.String(), "time=TIME ")
	golden.Require(t, "log_form.golden", regexp.MustCompile(`"time":"[^"]*"`).ReplaceAllString(text, `"time":"TIME"`))
}
