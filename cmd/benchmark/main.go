// Command chalklab measures what the project claims, on loopback.
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

type line struct {
	Measure measure `cmd:"" help:"Run one measurement and print one JSON line; exit code 1 where an aim is missed."`
	Demo    demo    `cmd:"" help:"Serve the OpenSearch-style API before stand-in hosts until it is stopped."`
	Node    node    `cmd:"" hidden:""`
	Sharer  sharer  `cmd:"" hidden:""`
}

type demo struct {
	Listen string `help:"Where to serve." default:"127.0.0.1:9200"`
}

func (d *demo) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return benchmark.ServeDemo(ctx, d.Listen)
}

// node is the co-ordinator's process of the measurements that look at memory and CPU time.
type node struct{}

func (node) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return benchmark.RunCoordinator(ctx)
}

// sharer is an instance's process of the measurement of the ledger.
type sharer struct {
	Installation string
}

func (s *sharer) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return benchmark.RunReplicator(ctx, s.Installation)
}

type measure struct {
	Name string `arg:"" help:"Which: ${names}."`
	Seed int64  `help:"Seed of all chance." default:"1"`
}

var errMissed = errors.New("an aim was missed")

func (m *measure) Run() error {
	do := benchmark.Measurements[m.Name]
	if do == nil {
		return fmt.Errorf("no measurement %q; there are %s", m.Name, names())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	began := time.Now()
	r, err := do(ctx, m.Seed)
	if err != nil {
		return err
	}
	r.Fields["measure"], r.Fields["seed"], r.Fields["seconds"] = m.Name, m.Seed, time.Since(began).Round(time.Second).Seconds()
	if len(r.MissedGoals) > 0 {
		r.Fields["missed"] = r.MissedGoals
	}
	text, err := json.Marshal(r.Fields)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	if len(r.MissedGoals) > 0 {
		return errMissed
	}
	return nil
}

func names() string { return strings.Join(slices.Sorted(maps.Keys(benchmark.Measurements)), ", ") }

func main() {
	k := kong.Parse(&line{}, kong.Name("chalklab"), kong.Description("Measures chalkring on loopback."),
		kong.UsageOnError(), kong.Vars{"names": names()})
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "chalklab:", err)
		os.Exit(1)
	}
}
