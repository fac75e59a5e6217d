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
	maxRuntimeShare = 0.75     // of the memory limit is the Go runtime's limit at most; the rest is for the program and the kernel
	minRuntimeShare = 0.25     // of the memory limit is the Go runtime's limit at least
	programBytes    = 18 << 20 // resident code and constant data of the program, and what the C library takes
	unusedBytes     = 3 << 20  // that the Go runtime counts as its own without using them
	bytesPerMB      = 1 << 20
)

// Shares of the Go runtime's memory limit without fixedBytes. What they leave is for replicas' connections and the garbage
// collector.
const (
	fixedBytes         = 4 << 20 // that the Go runtime and an idle coordinator take
	searchMemoryShare  = 0.37    // for open searches and their answers, if maxSearchShare allows it
	maxSearchShare     = 0.25    // of the whole memory limit
	requestMemoryShare = 0.15    // for requests that are arriving, beyond what each client connection may hold
	clientMemoryShare  = 0.3     // for client connections, with what each may hold
	minSearchMemory    = 2 << 20 // least number of bytes for open searches, so that some always fit
	minRequestMemory   = 1 << 20 // least number of bytes for arriving requests: a few of the maximum size
	minClients         = 64
	clientBytes        = 8 << 10 // of a client connection: its goroutines and what its request may hold in any case
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
	debug.SetMemoryLimit(int64(p.runtimeMemory()))
}

// runtimeMemory returns the Go runtime's memory limit in bytes.
func (p *Plan) runtimeMemory() float64 {
	limit := float64(p.MemoryMB) * bytesPerMB
	return max(minRuntimeShare*limit, min(maxRuntimeShare*limit, limit-programBytes+unusedBytes))
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

// sharedMemory returns how many bytes of the runtime's limit are divided into shares.
func (p *Plan) sharedMemory() float64 { return max(0, p.runtimeMemory()-fixedBytes) }

// SearchMemory returns how many bytes open searches and their answers may use.
func (p *Plan) SearchMemory() float64 {
	return max(minSearchMemory, min(maxSearchShare*float64(p.MemoryMB)*bytesPerMB, searchMemoryShare*p.sharedMemory()))
}

// RequestMemory returns how many bytes clients' requests may use together, beyond what each connection may hold in any case.
func (p *Plan) RequestMemory() int {
	return max(minRequestMemory, int(requestMemoryShare*p.sharedMemory()))
}

// MaxClients returns how many client connections the memory limit allows.
func (p *Plan) MaxClients() int {
	return max(minClients, int(clientMemoryShare*p.sharedMemory()/clientBytes))
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
