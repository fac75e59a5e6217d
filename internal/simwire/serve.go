// Package simwire connects balancers to the simulator: it reads the simulator's batches of events, passes them to the
// balancer of each simulated instance, and writes the balancers' actions. It decides nothing.
//
// A batch is a line with time and number, events, one a line, and a line "eob". It is answered by actions, one a line, and
// a line "finished". Values are separated by blanks; "-" stands for none.
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

// session is the state of one Serve.
type session struct {
	input     *bufio.Reader
	output    *bufio.Writer
	line      int    // number of the last line read, from 1
	batch     string // the present batch as the simulator names it, "-" before the first
	now       int64  // time of the present batch, in tenths of a millisecond
	lists     map[int][]endpoint
	instances map[int]*instance
	touched   []*instance // instances with events in the present batch, in the order of their first
}

// Serve answers batches until the input ends. It returns a MalformedInputError at the first line that it cannot read;
// the present batch is then not answered.
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
	values := splitLine(firstLine, "clock", 2)
	s.now, s.batch = values.time(0), values.text(1)
	values.integer(1)
	s.readEvents()
	for _, i := range s.touched {
		i.runGuarded(i.balancer.EndIteration)
		if !i.isStopped {
			_, _ = s.output.Write(i.actions) // an error of the buffered output is returned by Flush
		}
		i.actions, i.inIteration = i.actions[:0], false
	}
	s.touched = s.touched[:0]
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
		failMalformed("the input ends inside a line")
	}
	return strings.TrimSuffix(line, "\n"), true
}

// mustReadLine returns the next line of a batch.
func (s *session) mustReadLine() string {
	line, more := s.readLine()
	if !more {
		failMalformed("the input ends inside a batch")
	}
	return line
}
