package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"chalkring/coordinator/plan"

	"chalkring/config"
	"chalkring/coordinator"
	"chalkring/internal/advice"
)

type serveCommand struct {
	Installation string `help:"YAML file with what this installation turns on beside the plan." type:"path" placeholder:"FILE"`
}

// errServedElsewhere ends a process that has nothing to serve: it has supervised a child until that ended, or has handed
// its place to another process.
var errServedElsewhere = errors.New("another process serves")

// Run serves searches until a signal ends the process. hangUps delivers SIGHUP, which reloads the plan.
func (c *serveCommand) Run(hangUps chan os.Signal) error {
	signal.Ignore(syscall.SIGPIPE) // a log line whose reader has gone must not end the process
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &server{hangUps: hangUps, logWriter: coordinator.NewStallGuardWriter(os.Stderr), eventLoops: 1}
	s.log = coordinator.NewLogger(s.logWriter, false, slog.LevelInfo)
	defer s.close()
	if err := s.prepare(ctx, c.Installation); err != nil {
		return s.reportStartFailure(ctx, err)
	}
	ctx, err := s.listen(ctx)
	if err != nil {
		return s.reportStartFailure(ctx, err)
	}
	if err := coordinator.ServeSharded(ctx, s.plan, s.options, s.eventLoops); err != nil {
		s.log.Error("failed", "error", err)
		return exitCodeError(1)
	}
	return nil
}

// server is what the command serve sets up before it serves.
type server struct {
	hangUps    chan os.Signal
	logWriter  io.Writer
	log        *slog.Logger
	plan       *plan.Plan
	options    coordinator.Options
	eventLoops int
	rollout    *rolloutRunner // nil where the installation does not take part in rollouts
	closers    []func()       // what close runs, the last one first
}

func (s *server) close() {
	for _, closer := range slices.Backward(s.closers) {
		closer()
	}
}

// reportStartFailure logs why the process does not serve. A process that was told to end while it waited has not failed.
func (s *server) reportStartFailure(ctx context.Context, err error) error {
	if errors.Is(err, errServedElsewhere) || ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	s.log.Error("no_start", advice.LogAttrs(err)...)
	return exitCodeError(1)
}

// prepare reads the plan and the installation file, which may be empty, and opens what the latter turns on.
func (s *server) prepare(ctx context.Context, installation string) (err error) {
	if s.plan, err = plan.Read(os.Getenv); err != nil {
		return err
	}
	s.options.HostKinds = map[string]coordinator.HostKind{}
	if installation != "" {
		file, err := config.Read(installation)
		if err != nil {
			return err
		}
		if err := s.applyInstallation(ctx, installation, file); err != nil {
			return err
		}
	}
	s.plan.ApplyRuntimeLimits()
	s.plan.LimitDescriptors(s.log)
	s.options.Dial = (&net.Dialer{}).DialContext
	s.options.Clock = coordinator.SystemClock{}
	s.options.Logger = s.log
	s.options.PlanUpdates = s.plan.WatchReloads(ctx, s.hangUps, os.Getenv, s.log)
	return nil
}

func (s *server) applyInstallation(ctx context.Context, path string, file *config.File) (err error) {
	s.log = newLogger(file.Log, s.logWriter)
	if s.plan, err = applySettings(file, s.plan); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if hasRollout(file) && !isSupervised() {
		if err := supervise(ctx, s.plan.Listen, s.hangUps, s.log); err != nil {
			return err
		}
		return errServedElsewhere
	}
	if s.options.Peers, err = openPeerOptions(ctx, file, s.plan.Name, s.log); err != nil {
		return err
	}
	if s.options.Frontends, err = openFrontends(ctx, file, s.log); err != nil {
		return err
	}
	persistence := openPersistence(file, s.plan, s.log)
	if persistence != nil {
		s.closers = append(s.closers, persistence.Close)
	}
	s.options.Persistence = persistence
	if err := s.joinCluster(path, file, persistence); err != nil {
		return err
	}
	s.eventLoops = max(1, file.EventLoops)
	s.options.EndpointUpdates = watchHostFiles(ctx, file.EndpointSources, s.log)
	if persistence != nil {
		s.options.EndpointUpdates = persistence.PrependStoredUpdate(ctx, s.options.EndpointUpdates, file.EndpointSources.Includes)
	}
	for kind, host := range file.Hosts {
		s.options.HostKinds[kind] = coordinator.HostKind{Index: host.Index, Placement: host.Placement}
	}
	return nil
}

// joinCluster starts what this instance shares with the others of its cluster: membership, rollouts, data residency and
// the gateway of subscribers.
func (s *server) joinCluster(path string, file *config.File, persistence *coordinator.Persistence) error {
	shared, err := startCluster(file, s.plan, persistence, s.log)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s.closers = append(s.closers, shared.leave)
	if hasRollout(file) {
		if err := s.joinRollouts(file, shared); err != nil {
			return err
		}
	}
	if s.options.Residency, err = startResidency(s.plan, shared); err != nil {
		return err
	}
	gateway, err := newGatewayFrontends(shared)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s.options.Frontends = append(s.options.Frontends, gateway...)
	return nil
}

// joinRollouts puts the settings of the present rollout over the plan's.
func (s *server) joinRollouts(file *config.File, shared *clusterInstance) error {
	rollout, err := newRolloutRunner(shared)
	if errors.Is(err, errReplaced) {
		return errServedElsewhere
	}
	if err != nil {
		return err
	}
	s.rollout = rollout
	s.closers = append(s.closers, rollout.stopServing)
	s.plan, err = rollout.applyTo(file, s.plan)
	return err
}

// listen opens the listener of the plan's address, or takes it over from the process before in a rollout. The context
// that it returns ends when this process is to stop serving.
func (s *server) listen(ctx context.Context) (context.Context, error) {
	if s.rollout != nil {
		return s.rollout.startServing(ctx, &s.options), nil
	}
	var err error
	s.options.Listener, err = listen(ctx, s.plan.Listen, s.log)
	return ctx, err
}
