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
	runtimeMemoryShare = 0.75    // of the memory limit is the Go runtime's limit; the rest is for stacks and the kernel
	searchMemoryShare  = 0.25    // of the memory limit is for open searches: half of the runtime's limit is left to the garbage collector
	minSearchMemory    = 2 << 20 // least number of bytes for open searches, so that some always fit
	bytesPerMB         = 1 << 20
)

// MaxTerminationGrace is the longest time that the platform leaves between SIGTERM and SIGKILL.
const MaxTerminationGrace = maxTerminationWait + extraTerminationWait

const (
	maxTerminationWait   = 3 * time.Second        // longest client timeout that the platform waits for before SIGKILL
	extraTerminationWait = 700 * time.Millisecond // that the platform waits in addition
)

// ApplyRuntimeLimits sets the Go runtime's number of cores and memory limit to what the plan grants.
func (p *Plan) ApplyRuntimeLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(p.Cores))))
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(p.MemoryMB) * bytesPerMB))
}

// LimitDescriptors lowers MaxSockets to the process's limit on open files. Otherwise clients could use up all available
// descriptors and leave none for replicas.
func (p *Plan) LimitDescriptors(log *slog.Logger) {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(p.MaxSockets) {
		log.Warn("descriptor_limit_low", "sockets", p.MaxSockets, "limit", limit.Cur,
			"do", "Raise the limit on open files (ulimit -n) to the number of sockets in the plan.")
		p.MaxSockets = max(minSockets, int(limit.Cur))
	}
}

// SearchMemory returns how many bytes open searches and their answers may use.
func (p *Plan) SearchMemory() float64 {
	return max(minSearchMemory, searchMemoryShare*float64(p.MemoryMB)*bytesPerMB)
}

// TerminationGrace returns how long the platform waits after SIGTERM before it kills the process: the longest client
// timeout, up to maxTerminationWait, plus extraTerminationWait. A class without a timeout counts as maxTerminationWait.
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
