package main

import (
	"runtime/metrics"
	"sync/atomic"
	"time"

	"chalkring/control/rollout"
	"chalkring/coordinator"
)

const memoryMetric = "/memory/classes/total:bytes"

// searchCounters are what changes are compared by. The event loops count; the rollout's goroutine reads.
type searchCounters struct {
	connections atomic.Uint64
	classes     [rollout.MaxClasses]classCounters
	objectives  []time.Duration // latency objective of each class
}

// classCounters are rollout.ClassStats that are still counted.
type classCounters struct {
	requests, served, late, shed atomic.Uint64
	latencies                    [rollout.LatencyBucketCount]atomic.Uint64
	subRequests                  [rollout.SubRequestBucketCount]atomic.Uint64
}

// recordSearch counts a search that has ended. It is called on an event loop and does not block.
func (s *searchCounters) recordSearch(end coordinator.SearchEnd) {
	if end.Type < 0 || end.Type >= len(s.classes) {
		return
	}
	class := &s.classes[end.Type]
	class.requests.Add(1)
	class.subRequests[rollout.SubRequestBucket(end.Attempts)].Add(1)
	switch end.Outcome {
	case coordinator.OutcomeAnswered:
		class.served.Add(1)
		class.latencies[rollout.LatencyBucket(int64(end.Duration/timeUnit))].Add(1)
		if end.Type < len(s.objectives) && end.Duration > s.objectives[end.Type] {
			class.late.Add(1)
		}
	case coordinator.OutcomeShed:
		class.shed.Add(1)
	}
}

// snapshot is the present state of the counters.
func (s *searchCounters) snapshot() rollout.InstanceStats {
	memory := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(memory)
	stats := rollout.InstanceStats{
		Connections: s.connections.Load(), MemoryBytes: memory[0].Value.Uint64(),
		Classes: make([]rollout.ClassStats, max(1, min(len(s.objectives), len(s.classes)))),
	}
	for i := range stats.Classes {
		s.classes[i].readInto(&stats.Classes[i])
	}
	return stats
}

// readInto reads the outcomes before the requests, which are counted first, so that there are never more of them.
func (c *classCounters) readInto(stats *rollout.ClassStats) {
	stats.Late, stats.Shed, stats.Served = c.late.Load(), c.shed.Load(), c.served.Load()
	for bucket := range stats.Latencies {
		stats.Latencies[bucket] = c.latencies[bucket].Load()
	}
	for bucket := range stats.SubRequests {
		stats.SubRequests[bucket] = c.subRequests[bucket].Load()
	}
	stats.Requests = c.requests.Load()
}
