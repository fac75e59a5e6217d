package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"chalkring/coordinator/plan"

	"chalkring/config"
	"chalkring/endpoints"
	"chalkring/endpoints/hostfile"
)

type checkHostsCommand struct {
	Plan  string   `help:"Plan whose zones, kinds and sets the files have to fit." type:"existingfile" placeholder:"FILE"`
	Files []string `arg:"" type:"existingfile" help:"Files with hosts, all of them together."`
}

// Run checks host files as the command serve would read them, one after the other.
func (c *checkHostsCommand) Run() error {
	rules, err := c.readRules()
	if err != nil {
		return err
	}
	registry, failed := endpoints.NewRegistry(rules), false
	for i, path := range c.Files {
		update, err := hostfile.Read(path)
		if err == nil {
			update.Version = int64(i + 1)
			_, err = registry.Apply(1, update)
		}
		if err != nil {
			failed = true
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fmt.Printf("%s: can be used, %d hosts\n", path, len(update.Hosts))
	}
	for _, blockSet := range registry.UncoveredSets() {
		failed = true
		fmt.Fprintf(os.Stderr, "no host of these files that is up holds block set %d\n", blockSet)
	}
	if failed {
		return exitCodeError(1)
	}
	return nil
}

// readRules returns the rules of the plan, or rules that any host fits where there is no plan.
func (c *checkHostsCommand) readRules() (endpoints.Rules, error) {
	if c.Plan == "" {
		return endpoints.Rules{}, nil
	}
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return endpoints.Rules{}, err
	}
	sitePlan, err := plan.Parse(text)
	if err != nil {
		return endpoints.Rules{}, fmt.Errorf("%s: %w", c.Plan, err)
	}
	return sitePlan.EndpointRules(), nil
}

// watchHostFiles sends the content of the host files that the installation file names, first as they are and then at
// each change, until ctx ends. The channel is nil where it names none.
func watchHostFiles(ctx context.Context, sources *config.EndpointSources, log *slog.Logger) <-chan endpoints.Update {
	if sources == nil {
		return nil
	}
	updates := make(chan endpoints.Update)
	watcher := &hostfile.Watcher{Paths: sources.Files, Notify: func(event hostfile.Event) {
		var invalid endpoints.InvalidListError
		switch {
		case errors.As(event.Err, &invalid):
			log.Warn("host_file", "path", event.Path, "error", event.Err, "in_force", "its last list")
		case event.Err != nil:
			log.Warn("host_file_away", "path", event.Path, "error", event.Err)
		default:
			log.Info("host_file", "path", event.Path, "hosts", len(event.Update.Hosts))
			select {
			case updates <- event.Update:
			case <-ctx.Done():
			}
		}
	}}
	go func() {
		defer close(updates)
		watcher.Run(ctx)
	}()
	return updates
}
