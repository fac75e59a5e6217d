package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// absent stands for a value that an event does not have.
	absent = "-"
	// tenthsPerMs: the simulator's times are milliseconds, the balancer's tenths of them.
	tenthsPerMs = 10
	// roundingSlack keeps a time that is a whole number of tenths but for rounding from being rounded down to the tenth
	// before.
	roundingSlack = 1e-6
)

// MalformedInputError is a line of the simulator that cannot be read.
type MalformedInputError struct {
	Batch   string // as the simulator names it, "-" before the first
	Line    int    // of the whole input, from 1
	Problem string
}

func (e *MalformedInputError) Error() string {
	return fmt.Sprintf("batch %s, line %d: %s", e.Batch, e.Line, e.Problem)
}

// Advice implements advice.Provider.
func (e *MalformedInputError) Advice() string {
	return "Compare the simulator's version with the one that this program was built for."
}

// malformed is what parsing panics with; Serve recovers it. Parsing of a line is many small steps, none of which has
// anything to do after a failure.
type malformed string

func failMalformed(format string, args ...any) { panic(malformed(fmt.Sprintf(format, args...))) }

// values are the values of one line, after its name. Methods take the index of a value, from 0, and panic with malformed.
type values []string

// splitLine splits a line with that name and so many values.
func splitLine(line, name string, count int) values {
	parts := strings.Split(line, " ")
	if parts[0] != name {
		failMalformed("%q where %s should stand", parts[0], name)
	}
	if got := len(parts) - 1; got != count {
		failMalformed("%s has %d values, not %d", name, got, count)
	}
	return parts[1:]
}

func (v values) text(i int) string {
	if v[i] == "" {
		failMalformed("value %d is empty", i+1)
	}
	return v[i]
}

func (v values) float(i int) float64 {
	if v[i] == absent {
		return 0
	}
	value, err := strconv.ParseFloat(v[i], 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		failMalformed("value %d, %q, is no number", i+1, v[i])
	}
	return value
}

// time returns milliseconds as whole tenths, rounded down.
func (v values) time(i int) int64 { return int64(math.Floor(v.float(i)*tenthsPerMs + roundingSlack)) }

func (v values) integer(i int) int64 {
	if v[i] == absent {
		return 0
	}
	value, err := strconv.ParseInt(v[i], 10, 64)
	if err != nil {
		failMalformed("value %d, %q, is no whole number", i+1, v[i])
	}
	return value
}

func (v values) id(i int) uint64 {
	value, err := strconv.ParseUint(v[i], 10, 32)
	if err != nil {
		failMalformed("value %d, %q, is no id", i+1, v[i])
	}
	return value
}

func (v values) boolean(i int) bool {
	switch v[i] {
	case "1":
		return true
	case "0", absent:
		return false
	}
	failMalformed("value %d, %q, is neither 1 nor 0", i+1, v[i])
	return false
}

// loadReport returns name:value pairs; nil for none. Unknown names are for the balancer to ignore.
func (v values) loadReport(i int) map[string]float64 {
	if v[i] == absent || v[i] == "" {
		return nil
	}
	report := map[string]float64{}
	for _, pair := range strings.Split(v[i], ",") {
		name, text, hasValue := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !hasValue || err != nil {
			failMalformed("load report %q", pair)
		}
		report[name] = value
	}
	return report
}

// ParseSettings returns name=value pairs of the wire as the balancer takes them. It panics where a pair has no value;
// within Serve that becomes a MalformedInputError.
func ParseSettings(pairs []string) map[string]string {
	settings := map[string]string{}
	for _, pair := range pairs {
		name, value, hasValue := strings.Cut(pair, "=")
		if !hasValue {
			failMalformed("setting %q has no value", pair)
		}
		settings[name] = value
	}
	return settings
}

// formatMs returns tenths of a millisecond in the simulator's milliseconds.
func formatMs(tenths int64) string {
	return strconv.FormatFloat(float64(tenths)/tenthsPerMs, 'f', 1, 64)
}
