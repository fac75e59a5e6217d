// Package advice lets an error say what an operator can do about it.
//
// Each package defines its own error types. A type that implements Provider is found here however deeply it is
// wrapped, so the log, `chalkring check` and `chalkring serve` all present its advice in the same way. NewError is for
// sentinel values that need no type of their own. All functions are pure and safe for use by any goroutine.
package advice

import (
	"errors"
	"slices"
	"strings"
)

// maxSentences bounds the advice given for one error. A file with a hundred faults lists them in the error text; an
// operator does not need a hundred sentences of advice besides.
const maxSentences = 8

// logKey is the key under which advice stands in a log line. Operators search for it: docs/oncall.md names it.
const logKey = "do"

// Provider is an error with one sentence on what an operator can do about it.
type Provider interface {
	error
	Advice() string
}

// NewError returns an error with a fixed text and fixed advice. As with errors.New, each call returns a distinct value.
func NewError(text, advice string) error { return &adviceError{text: text, advice: advice} }

type adviceError struct{ text, advice string }

func (e *adviceError) Error() string  { return e.text }
func (e *adviceError) Advice() string { return e.advice }

// For returns the advice of all Providers in err's tree in the order of errors.Join, each sentence once, separated by
// blanks. It returns the empty string where err is nil or nothing in it has advice.
func For(err error) string {
	var sentences []string
	forEachProvider(err, func(provider Provider) {
		sentence := provider.Advice()
		if sentence == "" || len(sentences) >= maxSentences || slices.Contains(sentences, sentence) {
			return
		}
		sentences = append(sentences, sentence)
	})
	return strings.Join(sentences, " ")
}

// forEachProvider visits the Providers in err's tree, depth first. It does not descend below a Provider: an error that
// gives advice speaks for what it wraps.
func forEachProvider(err error, visit func(Provider)) {
	if err == nil {
		return
	}
	//nolint:errorlint // This walk unwraps by itself; errors.As would find only the first match.
	switch e := err.(type) {
	case Provider:
		visit(e)
	case interface{ Unwrap() error }:
		forEachProvider(e.Unwrap(), visit)
	case interface{ Unwrap() []error }:
		for _, wrapped := range e.Unwrap() {
			forEachProvider(wrapped, visit)
		}
	}
}

// LogAttrs returns attrs, the error and its advice, if it has any, as the key-value pairs of a log line.
func LogAttrs(err error, attrs ...any) []any {
	attrs = append(attrs, "error", err)
	if sentences := For(err); sentences != "" {
		attrs = append(attrs, logKey, sentences)
	}
	return attrs
}

// Describe returns the error's text and its advice for a person who reads it on a terminal.
func Describe(err error) string {
	if sentences := For(err); sentences != "" {
		return err.Error() + "\n  what to do: " + sentences
	}
	return err.Error()
}

// HasType reports whether err's tree holds an error of type T.
func HasType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
