// Package simwire connects balancers to the simulator: it reads the simulator's batches of events, passes them to the
// balancer of each simulated instance, and writes the balancers' actions. It contains no policy.
//
// A batch consists of a "clock" line with time and number, one line per event, and a line "eob". The answer to a batch
// consists of one line per action and a line "finished". Values are separated by blanks; "-" stands for a missing
// value.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// bufferBytes is the size of the buffers of input and output.
const bufferBytes = 64 << 10

// session is the state of one call of Serve.
type session struct {
	input           *bufio.Reader
	output          *bufio.Writer
	line            int    // number of the last line read, from 1
	batch           string // the simulator's number of the current batch, "-" before the first
	now             int64  // time of the current batch, in tenths of a millisecond
	lists           map[int][]endpoint
	instances       map[int]*instance
	activeInstances []*instance // instances with events in the current batch, in the order of their first event
}

// Serve answers batches until the input ends. It returns a MalformedInputError at the first line that it cannot parse;
// the current batch is then not answered.
func Serve(input io.Reader, output io.Writer) (err error) {
	s := &session{
		input: bufio.NewReaderSize(input, bufferBytes), output: bufio.NewWriterSize(output, bufferBytes),
		lists: map[int][]endpoint{}, instances: map[int]*instance{}, batch: "-",
	}
	defer func() {
		if cause := recover(); cause != nil {
			problem, isMalformed := cause.(malformed)
			if !isMalformed {
				panic(cause)
			}
			err = &MalformedInputError{Batch: s.batch, Line: s.line, Problem: string(problem)}
		}
	}()
	for {
		line, more := s.readLine()
		if !more {
			return nil
		}
		if err := s.serveBatch(line); err != nil {
			return fmt.Errorf("batch %s: %w", s.batch, err)
		}
	}
}

func (s *session) serveBatch(firstLine string) error {
	v := splitLine(firstLine, "clock", 2)
	s.now, s.batch = v.time(0), v.text(1)
	v.integer(1) // the batch's number is kept as text, but checked to be an integer
	s.readEvents()
	for _, i := range s.activeInstances {
		i.runGuarded(i.balancer.EndIteration)
		if !i.isStopped {
			_, _ = s.output.Write(i.actions) // Flush returns the error of an earlier write
		}
		i.actions, i.inIteration = i.actions[:0], false
	}
	s.activeInstances = s.activeInstances[:0]
	_, _ = fmt.Fprintf(s.output, "finished %s\n", s.batch)
	return s.output.Flush()
}

// readLine returns the next line; more is false at the end of the input.
func (s *session) readLine() (line string, more bool) {
	line, err := s.input.ReadString('\n')
	if errors.Is(err, io.EOF) && line == "" {
		return "", false
	}
	s.line++
	if err != nil {
		failMalformed("the input ends inside a line, expected a line break")
	}
	return strings.TrimSuffix(line, "\n"), true
}

// mustReadLine returns the next line of a batch. The end of the input is malformed input here.
func (s *session) mustReadLine() string {
	line, more := s.readLine()
	if !more {
		failMalformed("the input ends inside a batch, expected an eob line")
	}
	return line
}
