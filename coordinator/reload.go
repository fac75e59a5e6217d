package coordinator

import (
	"chalkring/coordinator/plan"
)

// reload takes new plans into force: where discovery is, how many descriptors there are, and how much searches may hold.
// The rest waits for a restart: the module takes its settings once.
func (f *clientListener) reload(plans <-chan *plan.Plan) error {
	o := f.loop
	for {
		select {
		case p := <-plans:
			o.log.Info("reloaded", "discovery", p.Discovery, "sockets", p.MaxSockets, "memory_mb", p.MemoryMB,
				"waits_for_restart", o.plan.RestartDifferences(p))
			room := int(clientDescriptorShare * float64(p.MaxSockets))
			if o.searchAPI != nil {
				room -= o.searchAPI.MaxConnections
			}
			f.limiter.resize(room)
			o.submit(func() { o.maxSockets, o.searchMemory = p.MaxSockets, p.SearchMemory() })
			select {
			case o.discoveryMoves <- p.Discovery:
			case <-o.ctx.Done():
			}
		case <-o.ctx.Done():
			return nil
		}
	}
}
