package frame

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	// maxScoreBytes is the maximum length of a score. An integer of up to 128 bits fits, with its sign.
	maxScoreBytes = 40
	// absent is written in place of a missing score or load report.
	absent = "-"
)

// ParseAnswer parses the payload of a TypeAnswer frame: a line of id, end, score and load report, then the value. end
// tells how the shard request ended. id, end, score and value are subslices of payload. score is a decimal integer, or
// nil if the answer has none. report is nil if the answer has none or an invalid one: an invalid load report does not
// invalidate the answer.
//
// It returns an error that wraps ErrMalformed.
func ParseAnswer(payload []byte) (id, end, score []byte, report map[string]float64, value []byte, err error) {
	line, value, hasLine := bytes.Cut(payload, []byte("\n"))
	id, rest, hasEnd := bytes.Cut(line, []byte(" "))
	end, rest, hasScore := bytes.Cut(rest, []byte(" "))
	score, reportText, hasReport := bytes.Cut(rest, []byte(" "))
	isComplete := hasLine && hasEnd && hasScore && hasReport
	if !isComplete || len(id) == 0 || bytes.IndexByte(reportText, ' ') >= 0 {
		return nil, nil, nil, nil, nil, fmt.Errorf("%w: answer line %.60q, expected id, end, score and load report", ErrMalformed, line)
	}
	if string(score) == absent {
		score = nil
	} else if !isInteger(score) {
		return nil, nil, nil, nil, nil, fmt.Errorf("%w: score %.60q, expected a decimal integer or -", ErrMalformed, score)
	}
	if string(reportText) != absent {
		report = parseLoadReport(string(reportText))
	}
	return id, end, score, report, value, nil
}

// isInteger reports whether text is a decimal integer of at most maxScoreBytes bytes, with or without a sign.
func isInteger(text []byte) bool {
	digits := text
	if len(text) > 0 && (text[0] == '-' || text[0] == '+') {
		digits = text[1:]
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(digits) > 0 && len(text) <= maxScoreBytes
}

// parseLoadReport parses name:value or name=value pairs, separated by commas. It returns nil if any pair is invalid.
func parseLoadReport(text string) map[string]float64 {
	report := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		separator := strings.IndexAny(pair, ":=")
		if separator <= 0 {
			return nil
		}
		value, err := strconv.ParseFloat(pair[separator+1:], 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return nil
		}
		report[pair[:separator]] = value
	}
	return report
}
