package coordinator

import (
	"chalkring/coordinator/plan"
)

// reload applies three parts of each new plan: the address of discovery, the number of descriptors, and the memory for
// searches. All other changes need a restart, since the balancer is configured only at the start.
func (f *clientListener) reload(plans <-chan *plan.Plan) error {
	loop := f.loop
	for {
		select {
		case next := <-plans:
			loop.log.Info("reloaded", "discovery", next.Discovery, "sockets", next.MaxSockets, "memory_mb", next.MemoryMB,
				"waits_for_restart", loop.plan.RestartDifferences(next))
			maxConnections := maxClientConnections(next)
			if loop.searchAPI != nil {
				maxConnections -= loop.searchAPI.MaxConnections
			}
			f.limiter.resize(maxConnections)
			f.control.resize(next.Cores, next.RequestMemory())
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
