package plan

import (
	"context"
	"log/slog"
	"os"
	"slices"
	"strings"

	"chalkring/internal/advice"
)

// maxDifferences is the largest number of settings that a log line lists.
const maxDifferences = 8

// WatchReloads reads the plan again at each signal and sends it to the returned channel; p is the first plan. A plan
// that cannot be read or is invalid changes nothing. The runtime's limits follow a new plan at once.
func (p *Plan) WatchReloads(ctx context.Context, signals <-chan os.Signal, env func(string) string,
	log *slog.Logger,
) <-chan *Plan {
	plans := make(chan *Plan)
	go func() {
		for last := p; ; {
			select {
			case <-signals:
			case <-ctx.Done():
				return
			}
			next, err := reread(env, p, last)
			if err != nil {
				log.Error("reload_failed", advice.LogAttrs(err)...)
				continue
			}
			next.ApplyRuntimeLimits()
			next.LimitDescriptors(log)
			last = next
			select {
			case plans <- next:
			case <-ctx.Done():
				return
			}
		}
	}()
	return plans
}

// reread reads the plan again and applies the installation's settings of the first one. The discovery address changes
// only if the file's own address does: until then the environment's address overrides it.
func reread(env func(string) string, first, last *Plan) (*Plan, error) {
	next, err := Read(env)
	if err != nil {
		return nil, err
	}
	if next, err = next.WithSettings(first.overrides); err != nil {
		return nil, err
	}
	next.Discovery = last.Discovery
	if next.discoveryInFile != last.discoveryInFile {
		next.Discovery = next.discoveryInFile
	}
	return next, nil
}

// RestartDifferences lists, separated by commas, the members of a new plan that differ and take effect only at a
// restart.
func (p *Plan) RestartDifferences(next *Plan) string {
	var names []string
	if p.Name != next.Name {
		names = append(names, "name")
	}
	if p.Listen != next.Listen {
		names = append(names, "listen")
	}
	for name, text := range next.Settings {
		if old, ok := p.Settings[name]; !ok || old != text {
			names = append(names, "settings."+name)
		}
	}
	for name := range p.Settings {
		if _, ok := next.Settings[name]; !ok {
			names = append(names, "settings."+name)
		}
	}
	slices.Sort(names)
	if len(names) > maxDifferences {
		names = append(names[:maxDifferences], "...")
	}
	return strings.Join(names, ",")
}
