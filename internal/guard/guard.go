// Package guard turns a panic over one input, such as a file or a message, into an error, so that it does not end the process.
// It is for the edges where input is read; a panic that may leave state half changed must not be guarded.
package guard

import (
	"fmt"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
)

// maxFrames is how many stack frames are searched for the place of a panic.
const maxFrames = 32

// PanicError reports a panic over an input.
type PanicError struct {
	Cause any
	Place string // file and line of the panic; empty if unknown
	Stack string
}

func (e *PanicError) Error() string { return fmt.Sprintf("internal fault at %s: %v", e.Place, e.Cause) }

// Advice implements advice.Provider.
func (e *PanicError) Advice() string {
	return "Report this line together with the input. Until it is fixed, change the input."
}

// Run runs a function and returns its error, or a PanicError if it panics.
func Run(handle func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &PanicError{Cause: cause, Place: panicPlace(), Stack: string(debug.Stack())}
		}
	}()
	return handle()
}

// Read is Run for functions that return a value. With an error, the value is the zero value.
func Read[V any](read func() (V, error)) (value V, err error) {
	err = Run(func() (err error) {
		value, err = read()
		return err
	})
	if err != nil {
		var zero V
		return zero, err
	}
	return value, nil
}

// panicPlace returns the place of the panic that is being recovered: the first frame above the runtime's.
func panicPlace() string {
	callers := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(callers[:runtime.Callers(0, callers)])
	hasPanicked := false
	for {
		frame, more := frames.Next()
		isRuntime := strings.HasPrefix(frame.Function, "runtime.")
		hasPanicked = hasPanicked || frame.Function == "runtime.gopanic"
		if hasPanicked && !isRuntime {
			return fmt.Sprintf("%s:%d", filepath.Base(frame.File), frame.Line)
		}
		if !more {
			return ""
		}
	}
}
