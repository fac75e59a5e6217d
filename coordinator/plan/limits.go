package plan

import (
	"log/slog"
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

const (
	runtimeMemoryShare = 0.75    // of the memory limit is the runtime's goal; the rest is for stacks and the kernel
	searchMemoryShare  = 0.25    // of the memory limit is for open searches: half of the runtime's goal is the collector's
	minSearchMemory    = 2 << 20 // bytes for open searches at least: some searches always fit
	bytesPerMB         = 1 << 20
)

// MaxTerminationGrace is the longest time between SIGTERM and SIGKILL.
const MaxTerminationGrace = maxTerminationWait + extraTerminationWait

const (
	maxTerminationWait   = 3 * time.Second        // the longest client timeout that the platform waits for before SIGKILL
	extraTerminationWait = 700 * time.Millisecond // that it waits beside
)

// ApplyRuntimeLimits sets the Go runtime's cores and memory goal to what the plan grants.
func (p *Plan) ApplyRuntimeLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(p.MemoryMB) * bytesPerMB))
}

// LimitDescriptors lowers MaxSockets to the process's limit on open files. Otherwise clients could use up all
// descriptors there are, and none would be left for replicas.
func (p *Plan) LimitDescriptors(log *slog.Logger) {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(p.MaxSockets) {
		log.Warn("few_descriptors", "sockets", p.MaxSockets, "limit", limit.Cur,
			"do", "Raise the limit on open files (ulimit -n) to the plan's sockets.")
		p.MaxSockets = max(minSockets, int(limit.Cur))
	}
}

// SearchMemory returns the bytes for open searches and their answers.
func (p *Plan) SearchMemory() float64 {
	return max(minSearchMemory, searchMemoryShare*float64(p.MemoryMB)*bytesPerMB)
}

// TerminationGrace returns how long after SIGTERM the platform does not kill the process: the longest client timeout,
// up to a limit, and a little more. A class without a timeout counts as the longest.
func (p *Plan) TerminationGrace() time.Duration {
	longest := time.Duration(0)
	for _, timeout := range p.ClassDurations("Deadline") {
		if timeout <= 0 {
			timeout = maxTerminationWait
		}
		longest = max(longest, timeout)
	}
	return min(longest, maxTerminationWait) + extraTerminationWait
}
