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
		case p := <-plans:
			loop.log.Info("reloaded", "discovery", p.Discovery, "sockets", p.MaxSockets, "memory_mb", p.MemoryMB,
				"waits_for_restart", loop.plan.RestartDifferences(p))
			room := clientDescriptors(p.MaxSockets)
			if loop.searchAPI != nil {
				room -= loop.searchAPI.MaxConnections
			}
			f.limiter.resize(room)
			loop.submit(func() { loop.descriptors.limit, loop.searches.memoryLimit = p.MaxSockets, p.SearchMemory() })
			select {
			case loop.discovery.moves <- p.Discovery:
			case <-loop.ctx.Done():
			}
		case <-loop.ctx.Done():
			return nil
		}
	}
}
