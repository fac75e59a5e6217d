package main

import (
	"errors"
	"math/rand"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/config"
	"chalkring/control/residency"
	"chalkring/control/rollout"
	"chalkring/control/subscribers"
	"chalkring/coordinator/plan"
	"chalkring/endpoints/hostfile"
	"chalkring/internal/fake"
	"chalkring/internal/guard"
)

const (
	badTextSeeds  = 400
	maxCheckTime  = 2 * time.Second // of processor: the time in which a change of a watched file has to count
	maxCheckBytes = 64 << 20        // allocated for a sample of some hundred bytes to kilobytes
)

// fileParsers parse each kind of an operator's file, by the sample in deploy.
var fileParsers = map[string]func(text []byte) error{
	"hosts.yaml":        func(text []byte) error { _, err := hostfile.Parse("hosts.yaml", text); return err },
	"installation.yaml": func(text []byte) error { _, err := config.Parse(text, "."); return err },
	"fleet.yaml":        func(text []byte) error { _, err := config.Parse(text, "."); return err },
	"residency.yaml": func(text []byte) error {
		_, err := residency.ParsePolicy("residency.yaml", text, residency.Site{})
		return err
	},
	"rollout.yaml":     func(text []byte) error { _, err := rollout.ParseChangeFile("rollout.yaml", text); return err },
	"subscribers.yaml": func(text []byte) error { _, err := subscribers.ParseYAML(text); return err },
	"sample.json":      func(text []byte) error { _, err := plan.Parse(text); return err },
}

// usedProcessorTime returns the time that the process has used, which other processes of a busy machine do not change.
func usedProcessorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against an operator's file that ends the process, or takes its memory or a core of it for long: each text that is
// drawn from a sample is parsed or rejected in time.
func TestDrawnBadFilesAreRejected(t *testing.T) {
	for name, parse := range fileParsers {
		t.Run(name, func(t *testing.T) {
			sample, err := os.ReadFile(filepath.Join("../../deploy", name))
			require.NoError(t, err)
			require.NoError(t, parse(sample))
			var rejected int
			for seed := range int64(badTextSeeds) {
				text := fake.DrawBadYAML(rand.New(rand.NewSource(seed)), string(sample))
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				usedBefore := usedProcessorTime(t)
				var panicked *guard.PanicError
				err := guard.Run(func() error { return parse([]byte(text)) })
				require.False(t, errors.As(err, &panicked), "seed %d: %v\n%.2000s", seed, err, text)
				require.Less(t, usedProcessorTime(t)-usedBefore, maxCheckTime, "seed %d\n%.2000s", seed, text)
				runtime.ReadMemStats(&after)
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxCheckBytes), "seed %d\n%.2000s", seed, text)
				if err != nil {
					rejected++
				}
			}
			require.Greater(t, rejected, badTextSeeds/2)
		})
	}
}

// Guards against a tag that is ignored or panics in the place of any value: the error names the tag and its place.
func TestTagsAreRejected(t *testing.T) {
	for name, parse := range fileParsers {
		if filepath.Ext(name) != ".yaml" {
			continue
		}
		for _, text := range []string{"hosts: !include hall-a.yaml\n", "generation: 1\ncontracts: !foo\n", "a:\n  - !x {b: 1}\n"} {
			if name == "rollout.yaml" {
				text += "...\n" // it is only read whole
			}
			require.ErrorContains(t, parse([]byte(text)), "is not supported", "%s: %q", name, text)
		}
	}
	require.EqualError(t, fileParsers["hosts.yaml"]([]byte("hosts: !include hall-a.yaml\n")),
		"hosts.yaml: [1:8] tag !include is not supported; write the value itself, without a tag")
}
