package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"chalkring/internal/advice"
)

// Where an installation takes part in changes in stages, its process is a supervisor: it holds the listening socket and
// has one child, the program that serves. A change is a new child on the same socket, so that no client is refused; the
// old child releases store and network, answers its requests in flight beside the new one, and ends. A child that ends,
// hangs or does not serve in time is followed by the program before it. The supervisor decides nothing else, reads no
// settings and has no other state: if it is killed, its child ends with it, and the store tells the next one.

const (
	minCrashDelay   = 100 * time.Millisecond // before a child that crashed is restarted, doubled with each crash
	maxCrashDelay   = 5 * time.Second
	crashResetAfter = time.Minute      // lifetime after which a child does not count as crashing again
	drainTimeout    = 30 * time.Second // for a child to answer its requests in flight; a shutdown takes 21 s at most
	lastMessageWait = time.Second      // for the messages that a child sent before it ended
)

// ChildFailedError is a child that was to apply a change and did not serve.
type ChildFailedError struct {
	Program string
	Why     string
}

func (e *ChildFailedError) Error() string { return fmt.Sprintf("%s: %s", e.Program, e.Why) }

// Advice tells an operator what to do.
func (e *ChildFailedError) Advice() string {
	return "Read what it logged before it ended; the program before it serves again."
}

// supervisor runs one child after another.
type supervisor struct {
	log              *slog.Logger
	socket           *os.File // the listening socket, handed to each child
	installedProgram string
	lastGoodProgram  string         // the last one that served and asked for a successor
	program          string         // that runs
	readyTimeout     time.Duration  // in which program has to serve, 0 for no limit
	failure          string         // why the child before it failed, empty if it did not
	hasServed        bool           // any child so far
	crashDelay       time.Duration  // before the next restart after a crash
	draining         sync.WaitGroup // children that answer requests in flight beside the one that serves
}

// supervise serves by children until ctx ends and they have finished. Signals of hangUps are passed on to the child.
func supervise(ctx context.Context, address string, hangUps chan os.Signal, log *slog.Logger) error {
	runtime.LockOSThread() // a child is killed when the thread that started it ends
	defer runtime.UnlockOSThread()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	listener, err := listen(ctx, address, log)
	if err != nil {
		return err
	}
	defer listener.Close()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	defer socket.Close()
	s := &supervisor{
		log: log, socket: socket, installedProgram: program, lastGoodProgram: program, program: program, crashDelay: minCrashDelay,
	}
	defer s.draining.Wait()
	return s.run(ctx, hangUps)
}

// run runs children until one ends that is not followed by another.
func (s *supervisor) run(ctx context.Context, hangUps chan os.Signal) error {
	for {
		startedAt := time.Now()
		outcome := s.runChild(ctx, hangUps)
		s.hasServed = s.hasServed || outcome.hasServed
		isAttempt := s.readyTimeout > 0
		switch {
		case ctx.Err() != nil:
			return outcome.err
		case outcome.successor != nil && (outcome.hasServed || !isAttempt):
			s.switchToSuccessor(outcome)
		case isAttempt && !outcome.hasServed:
			s.rollBack(outcome)
		case !s.hasServed: // a start that fails is reported as without a supervisor
			return outcome.err
		case !s.awaitRestart(ctx, outcome, time.Since(startedAt)):
			return outcome.err
		}
	}
}

func (s *supervisor) switchToSuccessor(outcome childOutcome) {
	if outcome.hasServed {
		s.lastGoodProgram = s.program
	}
	s.program, s.readyTimeout, s.failure = outcome.successor.Program, outcome.successor.ReadyTimeout, ""
}

// rollBack returns to the last good program after a child that did not serve.
func (s *supervisor) rollBack(outcome childOutcome) {
	err := &ChildFailedError{s.program, outcome.describe()}
	s.log.Error("rollout_child_failed", advice.LogAttrs(err, "program", s.lastGoodProgram)...)
	s.program, s.readyTimeout, s.failure = s.lastGoodProgram, 0, outcome.describe()
}

// awaitRestart waits before a crashed child is restarted. It reports whether that is due: not if ctx ends first.
func (s *supervisor) awaitRestart(ctx context.Context, outcome childOutcome, lifetime time.Duration) bool {
	if lifetime > crashResetAfter {
		s.crashDelay = minCrashDelay
	}
	s.log.Error("rollout_child_crashed", "program", s.program, "error", outcome.describe(), "wait", s.crashDelay)
	select {
	case <-time.After(s.crashDelay):
	case <-ctx.Done():
		return false
	}
	s.crashDelay = min(2*s.crashDelay, maxCrashDelay)
	s.readyTimeout, s.failure = 0, ""
	return true
}
