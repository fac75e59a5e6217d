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

// checkHosts looks at host files as serve would.
type checkHosts struct {
	Plan  string   `help:"Plan whose zones, kinds and sets the files have to fit." type:"existingfile" placeholder:"FILE"`
	Files []string `arg:"" type:"existingfile" help:"Files with hosts, all of them together."`
}

func (c *checkHosts) Run() error {
	rules := endpoints.Rules{}
	if c.Plan != "" {
		text, err := os.ReadFile(c.Plan)
		if err != nil {
			return err
		}
		plan, err := plan.Parse(text)
		if err != nil {
			return fmt.Errorf("%s: %w", c.Plan, err)
		}
		rules = plan.EndpointRules()
	}
	book, bad := endpoints.NewRegistry(rules), false
	for i, path := range c.Files {
		told, err := hostfile.Read(path)
		if err == nil {
			told.Version = int64(i + 1)
			_, err = book.Apply(1, told)
		}
		if err != nil {
			bad = true
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fmt.Printf("%s: can be used, %d hosts\n", path, len(told.Hosts))
	}
	for _, set := range book.UncoveredSets() {
		bad = true
		fmt.Fprintf(os.Stderr, "no host of these files that is up holds block set %d\n", set)
	}
	if bad {
		return exit(1)
	}
	return nil
}

// listsOf watches the host files that an installation names, until ctx ends.
func listsOf(ctx context.Context, m *config.EndpointSources, log *slog.Logger) <-chan endpoints.Update {
	if m == nil {
		return nil
	}
	lists := make(chan endpoints.Update)
	files := &hostfile.Watcher{Paths: m.Files, Notify: func(e hostfile.Event) {
		var fault endpoints.InvalidListError
		switch {
		case errors.As(e.Err, &fault):
			log.Warn("host_file", "path", e.Path, "error", e.Err, "in_force", "its last list")
		case e.Err != nil:
			log.Warn("host_file_away", "path", e.Path, "error", e.Err)
		default:
			log.Info("host_file", "path", e.Path, "hosts", len(e.Update.Hosts))
			select {
			case lists <- e.Update:
			case <-ctx.Done():
			}
		}
	}}
	go func() {
		defer close(lists)
		files.Run(ctx)
	}()
	return lists
}
