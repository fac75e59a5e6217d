package main

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"time"

	"chalkring/control/rollout"
	"chalkring/internal/advice"
)

const (
	versionTimeout   = 5 * time.Second        // for a program to print its version
	lastWriteTimeout = 200 * time.Millisecond // for the last writes of the persistence to begin before it is closed
)

// tryRestart restarts into a change. It reports whether this process is to end; otherwise it goes on with what it runs.
func (r *rolloutRunner) tryRestart(ctx context.Context, restart *rollout.Restart) bool {
	err := r.restart(ctx, restart)
	if err != nil {
		r.log.Error("rollout_not_applied", advice.LogAttrs(err, "number", restart.TargetNumber)...)
		r.controller.RecordRestartFailure(err.Error())
	}
	return err == nil
}

// restart has the supervisor start a process that runs the change in place of this one.
func (r *rolloutRunner) restart(ctx context.Context, restart *rollout.Restart) error {
	if err := r.checkPlan(restart.Change); err != nil {
		return err
	}
	program := os.Getenv(installedProgramEnv)
	if restart.Change != nil && restart.Change.Program.Path != "" {
		program = restart.Change.Program.Path
		if err := checkVersion(ctx, restart.Change.Program); err != nil {
			return err
		}
	}
	r.state.Attempt = &restartAttempt{Target: restart.Change, Epoch: restart.Epoch, ReadyTimeout: restart.ReadyTimeout}
	r.state.EndedCleanly = true
	if err := r.save(); err != nil {
		r.state.Attempt = nil
		return err
	}
	r.handingOver = true
	r.cancelServing()
	if r.isOverlapPossible { // the successor starts while this process answers its requests in flight
		time.Sleep(lastWriteTimeout)
		r.leave()
		if r.persistence != nil {
			r.persistence.Close()
		}
	}
	readyTimeout := time.Duration(restart.ReadyTimeout) * timeUnit
	return notifySupervisor(r.supervisor, supervisorMessage{Next: &successor{program, readyTimeout, !r.isOverlapPossible}})
}

// checkVersion checks that the program at a path is the one that a change asks for.
func checkVersion(ctx context.Context, program rollout.Program) error {
	version, err := programVersion(ctx, program.Path)
	if err != nil {
		return &ProgramVersionError{program.Path, program.Version, err.Error()}
	}
	if !strings.HasPrefix(version, program.Version) {
		return &ProgramVersionError{program.Path, program.Version, version}
	}
	return nil
}

// programVersion is what a program's command version prints.
func programVersion(ctx context.Context, path string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	text, err := exec.CommandContext(ctx, path, "version").Output()
	return strings.TrimSpace(string(text)), err
}
