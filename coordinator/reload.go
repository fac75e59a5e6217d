package coordinator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"syscall"

	"chalkring/internal/advice"
)

// PlanTooLargeError is a file with more than planMost bytes.
type PlanTooLargeError struct{ Path string }

func (e *PlanTooLargeError) Error() string {
	return fmt.Sprintf("%s has more than %d bytes", e.Path, planMost)
}

// Advice tells an operator what to do.
func (e *PlanTooLargeError) Advice() string {
	return "Look whether GW_CONFIG names the plan; a plan with 20,000 known hosts is shorter."
}

// planText reads a plan's file. Guards against a wrong file at SIGHUP, whose text alone would be over the memory limit.
func planText(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, planMost+1))
	if err == nil && len(text) > planMost {
		err = &PlanTooLargeError{path}
	}
	return text, err
}

// LimitDescriptors takes no more descriptors from the plan than the system lets the process have. Guards against clients
// that use up all there are: none would be left for replicas.
func (p *Plan) LimitDescriptors(log *slog.Logger) {
	var most syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most) == nil && most.Cur < uint64(p.MaxSockets) {
		log.Warn("few_descriptors", "sockets", p.MaxSockets, "limit", most.Cur,
			"do", "Raise the limit on open files (ulimit -n) to the plan's sockets.")
		p.MaxSockets = max(socketsLeast, int(most.Cur))
	}
}

// WatchPlanReloads reads the plan again at each signal and hands it on, for Means.Plans. One that cannot be read or
// lacks something changes nothing. The runtime's bounds follow a new plan at once.
func WatchPlanReloads(ctx context.Context, first *Plan, signals <-chan os.Signal, env func(string) string,
	out *slog.Logger,
) <-chan *Plan {
	plans := make(chan *Plan)
	go func() {
		for last := first; ; {
			select {
			case <-signals:
			case <-ctx.Done():
				return
			}
			p, err := Read(env)
			if err == nil {
				p, err = p.WithSettings(first.over)
			}
			if err != nil {
				out.Error("reload_failed", advice.LogAttrs(err)...)
				continue
			}
			// The variable holds over the file only while the file's own address is as it was at the start, or is
			// left out.
			p.Discovery = last.Discovery
			if p.inFile != last.inFile {
				p.Discovery = p.inFile
			}
			p.ApplyRuntimeLimits()
			p.LimitDescriptors(out)
			last = p
			select {
			case plans <- p:
			case <-ctx.Done():
				return
			}
		}
	}()
	return plans
}

// differs names what of a new plan has to wait for a restart.
func (p *Plan) differs(next *Plan) string {
	var names []string
	for name, same := range map[string]bool{"name": p.Name == next.Name, "listen": p.Listen == next.Listen} {
		if !same {
			names = append(names, name)
		}
	}
	for name, text := range next.facts {
		if old, ok := p.facts[name]; !ok || old != text {
			names = append(names, "settings."+name)
		}
	}
	for name := range p.facts {
		if _, ok := next.facts[name]; !ok {
			names = append(names, "settings."+name)
		}
	}
	slices.Sort(names)
	if len(names) > differsMost {
		names = append(names[:differsMost], "...")
	}
	return strings.Join(names, ",")
}

// reload takes new plans into force: where discovery is, how many descriptors there are, and how much searches may hold.
// The rest waits for a restart: the module takes its settings once.
func (f *front) reload(plans <-chan *Plan) error {
	o := f.o
	for {
		select {
		case p := <-plans:
			o.log.Info("reloaded", "discovery", p.Discovery, "sockets", p.MaxSockets, "memory_mb", p.MemoryMB,
				"waits_for_restart", o.plan.differs(p))
			room := int(clientShare * float64(p.MaxSockets))
			if o.door != nil {
				room -= o.door.MaxConnections
			}
			f.gate.resize(room)
			o.post(func() { o.sockets, o.room = p.MaxSockets, p.room() })
			select {
			case o.moves <- p.Discovery:
			case <-o.ctx.Done():
			}
		case <-o.ctx.Done():
			return nil
		}
	}
}
