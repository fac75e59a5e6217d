// Package advice lets an error tell an operator what to do about it.
//
// Each package defines its own error types. This package finds every error that implements Provider, however deeply it
// is wrapped, so the log, `chalkring check` and `chalkring serve` all present advice in the same way. NewError is for
// sentinel values that need no type of their own. All functions are pure and safe for concurrent use.
package advice

import (
	"errors"
	"slices"
	"strings"
)

// maxSentences limits the advice given for one error. A file with a hundred faults lists them in the error text; an
// operator does not need a hundred sentences of advice as well.
const maxSentences = 8

// logKey is the key of the advice in a log line. Operators search for it: docs/oncall.md names it.
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

// For returns the advice of the Providers in err's tree, depth first: each sentence once, at most maxSentences of them,
// separated by spaces. It returns the empty string if err is nil or nothing in it has advice.
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

// forEachProvider visits the Providers in err's tree, depth first. It does not descend below a Provider, whose advice
// covers the errors that it wraps.
func forEachProvider(err error, visit func(Provider)) {
	if err == nil {
		return
	}
	//nolint:errorlint // This function unwraps errors itself; errors.As would find only the first match.
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

// LogAttrs returns the key-value pairs of a log line: attrs, the error, and its advice if it has any.
func LogAttrs(err error, attrs ...any) []any {
	attrs = append(attrs, "error", err)
	if sentences := For(err); sentences != "" {
		attrs = append(attrs, logKey, sentences)
	}
	return attrs
}

// Describe returns the error's text and its advice, formatted for a terminal.
func Describe(err error) string {
	if sentences := For(err); sentences != "" {
		return err.Error() + "\n  what to do: " + sentences
	}
	return err.Error()
}

// HasType reports whether err's tree contains an error of type T.
func HasType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
