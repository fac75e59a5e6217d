package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// absent is written in place of a missing value.
	absent = "-"
	// tenthsPerMs converts the simulator's times, in milliseconds, to the balancer's, in tenths of a millisecond.
	tenthsPerMs = 10
	// roundingSlack, in tenths, is added before rounding down, so that floating-point error does not turn a whole
	// number of tenths into the next lower one.
	roundingSlack = 1e-6
)

// MalformedInputError reports a line of the simulator that cannot be parsed.
type MalformedInputError struct {
	Batch   string // the simulator's number of the batch, "-" before the first
	Line    int    // number of the line in the whole input, from 1
	Problem string
}

func (e *MalformedInputError) Error() string {
	return fmt.Sprintf("batch %s, line %d: %s", e.Batch, e.Line, e.Problem)
}

// Advice implements advice.Provider.
func (e *MalformedInputError) Advice() string {
	return "Compare the simulator's version with the one that this program was built for."
}

// malformed is the value that parsing panics with; Serve recovers it. A panic spares an error check after each of the
// many small steps of parsing a line, none of which has anything to clean up.
type malformed string

func failMalformed(format string, args ...any) { panic(malformed(fmt.Sprintf(format, args...))) }

// values holds the values that follow the name on one line. Methods take the index of a value, from 0, and panic with
// malformed if the value is invalid.
type values []string

// splitLine returns the values of a line, which must have the given name and count of values.
func splitLine(line, name string, count int) values {
	parts := strings.Split(line, " ")
	if parts[0] != name {
		failMalformed("got %q, expected %s", parts[0], name)
	}
	if got := len(parts) - 1; got != count {
		failMalformed("%s has %d values, expected %d", name, got, count)
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
		failMalformed("value %d, %q, is not a number", i+1, v[i])
	}
	return value
}

// time parses a time in milliseconds and returns it in tenths of a millisecond, rounded down.
func (v values) time(i int) int64 { return int64(math.Floor(v.float(i)*tenthsPerMs + roundingSlack)) }

func (v values) integer(i int) int64 {
	if v[i] == absent {
		return 0
	}
	value, err := strconv.ParseInt(v[i], 10, 64)
	if err != nil {
		failMalformed("value %d, %q, is not a whole number", i+1, v[i])
	}
	return value
}

func (v values) id(i int) uint64 {
	value, err := strconv.ParseUint(v[i], 10, 32)
	if err != nil {
		failMalformed("value %d, %q, is not an id", i+1, v[i])
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

// loadReport parses name:value pairs, and returns nil if there are none. The balancer ignores unknown names.
func (v values) loadReport(i int) map[string]float64 {
	if v[i] == absent || v[i] == "" {
		return nil
	}
	report := map[string]float64{}
	for _, pair := range strings.Split(v[i], ",") {
		name, text, hasValue := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !hasValue || err != nil {
			failMalformed("load report has the pair %q, expected a name, a colon and a number", pair)
		}
		report[name] = value
	}
	return report
}

// ParseSettings parses name=value pairs into the form that the balancer takes. It panics if a pair has no value; Serve
// turns that into a MalformedInputError.
func ParseSettings(pairs []string) map[string]string {
	settings := map[string]string{}
	for _, pair := range pairs {
		name, value, hasValue := strings.Cut(pair, "=")
		if !hasValue {
			failMalformed("setting %q has no value, expected name=value", pair)
		}
		settings[name] = value
	}
	return settings
}

// formatMs formats a time in tenths of a millisecond as milliseconds, the unit of the simulator.
func formatMs(tenths int64) string {
	return strconv.FormatFloat(float64(tenths)/tenthsPerMs, 'f', 1, 64)
}
