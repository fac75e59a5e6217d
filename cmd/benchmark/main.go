// Command benchmark measures what the project claims, with real processes and stand-in replicas on loopback.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"chalkring/internal/benchmark"
)

// commandLine lists the commands; the hidden ones are started by benchmarks as processes of their own.
type commandLine struct {
	Run    runCommand    `cmd:"" help:"Run one benchmark and print one JSON line; exit code 1 where an aim is missed."`
	Demo   demoCommand   `cmd:"" help:"Serve the OpenSearch-style API before stand-in hosts until it is stopped."`
	Node   nodeCommand   `cmd:"" hidden:""`
	Sharer sharerCommand `cmd:"" hidden:""`
}

// errMissedTarget ends the program with exit code 1 after a benchmark that ran but missed a target.
var errMissedTarget = errors.New("an aim was missed")

type runCommand struct {
	Name string `arg:"" help:"Which: ${names}."`
	Seed int64  `help:"Seed of all chance." default:"1"`
}

// Run runs the named benchmark and prints its result as one line of JSON.
func (command *runCommand) Run() error {
	measure := benchmark.Measurements[command.Name]
	if measure == nil {
		return fmt.Errorf("no benchmark %q; there are %s", command.Name, benchmarkNames())
	}
	ctx, stop := signalContext()
	defer stop()
	start := time.Now()
	result, err := measure(ctx, command.Seed)
	if err != nil {
		return err
	}
	result.Fields["measure"] = command.Name
	result.Fields["seed"] = command.Seed
	result.Fields["seconds"] = time.Since(start).Round(time.Second).Seconds()
	if len(result.MissedGoals) > 0 {
		result.Fields["missed"] = result.MissedGoals
	}
	text, err := json.Marshal(result.Fields)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	if len(result.MissedGoals) > 0 {
		return errMissedTarget
	}
	return nil
}

type demoCommand struct {
	Listen string `help:"Where to serve." default:"127.0.0.1:9200"`
}

// Run serves the demo until the process is told to end.
func (command *demoCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return benchmark.ServeDemo(ctx, command.Listen)
}

// nodeCommand is the coordinator's process in the benchmarks of memory and CPU time.
type nodeCommand struct{}

// Run runs the coordinator until the process is told to end.
func (nodeCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return benchmark.RunCoordinator(ctx)
}

// sharerCommand is an instance's process in the benchmark of replicated state.
type sharerCommand struct {
	Installation string
}

// Run runs the instance until the process is told to end.
func (command *sharerCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return benchmark.RunReplicator(ctx, command.Installation)
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

func benchmarkNames() string {
	return strings.Join(slices.Sorted(maps.Keys(benchmark.Measurements)), ", ")
}

func main() {
	parsed := kong.Parse(&commandLine{}, kong.Name("benchmark"), kong.Description("Measures chalkring on loopback."),
		kong.UsageOnError(), kong.Vars{"names": benchmarkNames()})
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchmark:", err)
		os.Exit(1)
	}
}
