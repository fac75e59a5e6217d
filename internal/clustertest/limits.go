package clustertest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Limits are the limits that an instance's plan states.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// defaultLimits leave an instance room for anything that a test does.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// LeastLimits are the least that the platform grants, on its days of the most descriptors.
var LeastLimits = Limits{Cores: 0.25, MemoryMB: 32, Sockets: 1024}

const (
	quotaPeriod = 100 * time.Millisecond // in which an instance may use its share of a core
	quotaCheck  = 2 * time.Millisecond
)

// errNoStatus reports that the system tells nothing of a process, which has probably ended.
var errNoStatus = errors.New("the process has no status")

// PeakMemory returns the most bytes that an instance's process has had resident.
func (r *Cluster) PeakMemory(name string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.PID(name)))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errNoStatus
}

// UsedCPU returns the processor time that an instance's process has used.
func (r *Cluster) UsedCPU(name string) (time.Duration, error) { return usedCPU(r.PID(name)) }

// EnforceCores lets an instance use its share of a core in each period, as the platform does, until ctx ends: a process that has used its
// share is suspended for the rest of the period.
func (r *Cluster) EnforceCores(ctx context.Context, name string, cores float64) error {
	pid := r.PID(name)
	quota := time.Duration(cores * float64(quotaPeriod))
	check := time.NewTicker(quotaCheck)
	defer check.Stop()
	for ctx.Err() == nil {
		periodEnd := time.Now().Add(quotaPeriod)
		atBegin, err := usedCPU(pid)
		if err != nil {
			return err
		}
		for suspended := false; time.Now().Before(periodEnd) && ctx.Err() == nil; {
			if used, err := usedCPU(pid); err == nil && !suspended && used-atBegin >= quota {
				suspended = true
				_ = syscall.Kill(pid, syscall.SIGSTOP)
			}
			<-check.C
		}
		_ = syscall.Kill(pid, syscall.SIGCONT)
	}
	return nil
}

// usedCPU returns the processor time that all threads of a process have used.
func usedCPU(pid int) (used time.Duration, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, errors.Join(err, errNoStatus)
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has ended
		}
		nanoseconds, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			return 0, err
		}
		used += time.Duration(nanoseconds)
	}
	return used, nil
}
