package coordinator

import (
	"chalkring/coordinator/plan"
)

// reload applies new plans: the address of discovery, the number of descriptors, and the memory of searches. All else
// waits for a restart, since the balancer is configured once.
func (f *clientListener) reload(plans <-chan *plan.Plan) error {
	loop := f.loop
	for {
		select {
		case next := <-plans:
			loop.log.Info("reloaded", "discovery", next.Discovery, "sockets", next.MaxSockets, "memory_mb", next.MemoryMB,
				"waits_for_restart", loop.plan.RestartDifferences(next))
			room := clientDescriptors(next.MaxSockets)
			if loop.searchAPI != nil {
				room -= loop.searchAPI.MaxConnections
			}
			f.limiter.resize(room)
			loop.submit(func() { loop.descriptors.limit, loop.searches.memoryLimit = next.MaxSockets, next.SearchMemory() })
			select {
			case loop.discovery.moves <- next.Discovery:
			case <-loop.ctx.Done():
			}
		case <-loop.ctx.Done():
			return nil
		}
	}
}
