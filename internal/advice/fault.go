// Package advice is how a failure that an operator may see says what to do. Each package keeps error types of its own;
// one that gives advice is found here through whatever wraps it, so that the log, `check` and `serve` tell it alike.
package advice

import (
	"errors"
	"strings"
)

// Provider is a failure with one sentence on what an operator can do.
type Provider interface {
	error
	Advice() string
}

const adviceMost = 8 // sentences told of one failure: a file with a hundred faults has them in its own words

// For is what an operator can do about err: the sentences of all failures in it, each once, in their order; empty
// where none has any.
func For(err error) string {
	var said []string
	walk(err, func(a Provider) {
		for _, s := range said {
			if s == a.Advice() {
				return
			}
		}
		if len(said) < adviceMost && a.Advice() != "" {
			said = append(said, a.Advice())
		}
	})
	return strings.Join(said, " ")
}

// walk goes through what err wraps, joined ones too, and stops below each failure that has advice.
func walk(err error, tell func(Provider)) {
	if err == nil {
		return
	}
	if a, ok := err.(Provider); ok {
		tell(a)
		return
	}
	switch w := err.(type) {
	case interface{ Unwrap() error }:
		walk(w.Unwrap(), tell)
	case interface{ Unwrap() []error }:
		for _, one := range w.Unwrap() {
			walk(one, tell)
		}
	}
}

// LogAttrs are a failure and its advice as a log line's pairs.
func LogAttrs(err error, more ...any) []any {
	more = append(more, "error", err)
	if do := For(err); do != "" {
		more = append(more, "do", do)
	}
	return more
}

// Describe is a failure and its advice for a person who reads it on a terminal.
func Describe(err error) string {
	if do := For(err); do != "" {
		return err.Error() + "\n  what to do: " + do
	}
	return err.Error()
}

// HasType tells whether a failure of type T is in err.
func HasType[T error](err error) bool {
	var t T
	return errors.As(err, &t)
}
