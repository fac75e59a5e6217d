package main

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A program that serves becomes the one to return to once it asks for a successor.
func TestSupervisorSwitchesAndRollsBack(t *testing.T) {
	var log bytes.Buffer
	s := &supervisor{log: slog.New(slog.NewTextHandler(&log, nil)), program: "one", lastGoodProgram: "zero", failure: "earlier"}
	s.switchToSuccessor(childOutcome{hasServed: true, successor: &successor{Program: "two", ReadyTimeout: time.Second}})
	require.Equal(t, []string{"two", "one", ""}, []string{s.program, s.lastGoodProgram, s.failure})
	require.Equal(t, time.Second, s.readyTimeout)
	s.switchToSuccessor(childOutcome{successor: &successor{Program: "three", ReadyTimeout: time.Minute}})
	require.Equal(t, []string{"three", "one"}, []string{s.program, s.lastGoodProgram}, "two has not served")
	s.rollBack(childOutcome{isTimedOut: true, err: errors.New("signal: killed")})
	require.Equal(t, []string{"one", "one", "did not serve in time"}, []string{s.program, s.lastGoodProgram, s.failure})
	require.Zero(t, s.readyTimeout)
	require.Contains(t, log.String(), `msg=rollout_child_failed program=one`)
}

// The pause before a restart doubles up to its maximum, and starts anew after a child that ran for long.
func TestSupervisorCrashDelay(t *testing.T) {
	var log bytes.Buffer
	s := &supervisor{log: slog.New(slog.NewTextHandler(&log, nil)), program: "one", crashDelay: time.Millisecond}
	require.True(t, s.awaitRestart(t.Context(), childOutcome{}, time.Second))
	require.Equal(t, 2*time.Millisecond, s.crashDelay)
	require.True(t, s.awaitRestart(t.Context(), childOutcome{}, 2*crashResetAfter))
	require.Equal(t, 2*minCrashDelay, s.crashDelay)
	require.Contains(t, log.String(), "msg=rollout_child_crashed program=one error=ended wait=1ms")
	s.crashDelay = time.Hour
	stopped, stop := context.WithCancel(t.Context())
	stop()
	require.False(t, s.awaitRestart(stopped, childOutcome{}, 0))
}

// The last successor that a child named before it ended counts; a pipe that stays open does not hold up the supervisor.
func TestReceiveLastSuccessor(t *testing.T) {
	messages := make(chan supervisorMessage, 3)
	messages <- supervisorMessage{Serving: true}
	messages <- supervisorMessage{Next: &successor{Program: "one"}}
	messages <- supervisorMessage{Next: &successor{Program: "two"}}
	close(messages)
	require.Equal(t, "two", receiveLastSuccessor(messages).Program)
	require.Nil(t, receiveLastSuccessor(nil), "the pipe was closed before")
	open := make(chan supervisorMessage, 1)
	open <- supervisorMessage{Next: &successor{Program: "three"}}
	require.Equal(t, "three", receiveLastSuccessor(open).Program)
}
