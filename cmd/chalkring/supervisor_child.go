package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// childOutcome is how a child ended, or what it had come to when its successor took over.
type childOutcome struct {
	hasServed  bool
	isTimedOut bool // it was killed because it did not serve in time
	successor  *successor
	err        error // of its process, nil for exit code 0
}

// describe is the outcome in log lines and as the reason for which a change was not applied.
func (o childOutcome) describe() string {
	switch {
	case o.isTimedOut:
		return "did not serve in time"
	case o.err == nil:
		return "ended"
	}
	return o.err.Error()
}

// childProcess is a child that runs.
type childProcess struct {
	cmd       *exec.Cmd
	messages  chan supervisorMessage // closed at the end of its pipe
	exited    chan struct{}          // closed when the process has ended
	exitErr   error                  // of the process; set before exited is closed
	abandoned chan struct{}          // closed once nobody receives its messages any longer
}

// runChild runs one child until another may take its place.
func (s *supervisor) runChild(ctx context.Context, hangUps chan os.Signal) (outcome childOutcome) {
	child, err := s.startChild()
	if err != nil {
		return childOutcome{err: err}
	}
	defer close(child.abandoned)
	var deadline <-chan time.Time
	if s.readyTimeout > 0 {
		deadline = time.After(s.readyTimeout)
	}
	messages, stop := child.messages, ctx.Done()
	for {
		select {
		case message, ok := <-messages:
			switch {
			case !ok:
				messages = nil
			case message.Next != nil && !message.Next.AfterExit:
				outcome.successor = message.Next
				s.draining.Go(func() { s.awaitDrained(child) })
				return outcome
			case message.Next != nil:
				outcome.successor, deadline = message.Next, time.After(drainTimeout)
			case message.Serving:
				outcome.hasServed, deadline = true, nil
			}
		case <-deadline: // the child hangs
			outcome.isTimedOut = true
			child.signal(syscall.SIGKILL)
		case hangUp := <-hangUps:
			child.signal(hangUp)
		case <-stop:
			stop = nil
			child.signal(syscall.SIGTERM)
		case <-child.exited:
			if last := receiveLastSuccessor(messages); last != nil {
				outcome.successor = last
			}
			outcome.err = childExitError(ctx, child.exitErr)
			return outcome
		}
	}
}

// startChild starts the program as a child that has the listening socket and a pipe to the supervisor.
func (s *supervisor) startChild() (*childProcess, error) {
	fromChild, toSupervisor, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(s.program, os.Args[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.ExtraFiles = []*os.File{s.socket, toSupervisor} // listenerFd and supervisorFd
	cmd.Env = append(os.Environ(), programEnv+"="+s.program, failureEnv+"="+s.failure, installedProgramEnv+"="+s.installedProgram)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	toSupervisor.Close()
	if err != nil {
		fromChild.Close()
		return nil, err
	}
	child := &childProcess{
		cmd: cmd, messages: make(chan supervisorMessage), exited: make(chan struct{}), abandoned: make(chan struct{}),
	}
	go child.readMessages(fromChild)
	go func() {
		defer close(child.exited)
		child.exitErr = cmd.Wait()
	}()
	return child, nil
}

// readMessages receives a child's messages until its end of the pipe is closed. Lines that are no message are ignored.
func (c *childProcess) readMessages(pipe *os.File) {
	defer pipe.Close()
	defer close(c.messages)
	lines := bufio.NewScanner(pipe)
	lines.Buffer(nil, maxMessageBytes)
	for lines.Scan() {
		var message supervisorMessage
		if json.Unmarshal(lines.Bytes(), &message) != nil {
			continue
		}
		select {
		case c.messages <- message:
		case <-c.abandoned:
			return
		}
	}
}

// signal sends a signal to the child. It fails only if the child has ended, which exited reports.
func (c *childProcess) signal(signal os.Signal) { _ = c.cmd.Process.Signal(signal) }

// receiveLastSuccessor receives the messages that a child sent before it ended, and returns the last successor among
// them. The pipe may stay open: a process that the child started may have its end.
func receiveLastSuccessor(messages <-chan supervisorMessage) (last *successor) {
	timeout := time.After(lastMessageWait)
	for messages != nil {
		select {
		case message, ok := <-messages:
			if !ok {
				return last
			}
			if message.Next != nil {
				last = message.Next
			}
		case <-timeout:
			return last
		}
	}
	return last
}

// childExitError is the exit code of a child that was stopped by an operator, as this process's own.
func childExitError(ctx context.Context, err error) error {
	var exitError *exec.ExitError
	if ctx.Err() != nil && errors.As(err, &exitError) && exitError.ExitCode() > 0 {
		return exitCodeError(exitError.ExitCode())
	}
	return err
}

// awaitDrained waits for a child that answers its requests in flight, and kills one that hangs.
func (s *supervisor) awaitDrained(child *childProcess) {
	select {
	case <-child.exited:
	case <-time.After(drainTimeout):
		s.log.Error("rollout_drain_timeout", "program", child.cmd.Path)
		child.signal(syscall.SIGKILL)
		<-child.exited
	}
}
