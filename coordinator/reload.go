package coordinator

import (
	"chalkring/coordinator/plan"
)

// reload takes new plans into force: where discovery is, how many descriptors there are, and how much searches may hold.
// The rest waits for a restart: the module takes its settings once.
func (f *front) reload(plans <-chan *plan.Plan) error {
	o := f.o
	for {
		select {
		case p := <-plans:
			o.log.Info("reloaded", "discovery", p.Discovery, "sockets", p.MaxSockets, "memory_mb", p.MemoryMB,
				"waits_for_restart", o.plan.RestartDifferences(p))
			room := int(clientShare * float64(p.MaxSockets))
			if o.door != nil {
				room -= o.door.MaxConnections
			}
			f.gate.resize(room)
			o.post(func() { o.sockets, o.room = p.MaxSockets, p.SearchMemory() })
			select {
			case o.moves <- p.Discovery:
			case <-o.ctx.Done():
			}
		case <-o.ctx.Done():
			return nil
		}
	}
}
