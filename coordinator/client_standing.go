package coordinator

import (
	"sync/atomic"

	"chalkring/coordinator/ingress"
)

// standing is what became of a client's last requests: how many in a row were refused, or wasServed. Any goroutine may use
// it.
type standing struct{ refused atomic.Int32 }

const wasServed = -1 // the value of standing.refused after a search that was served

// recordServed records that a search was served.
func (s *standing) recordServed() { s.refused.Store(wasServed) }

// recordRefused records a request that could not be served, whatever the load.
func (s *standing) recordRefused() { s.refused.Store(max(s.refused.Load(), 0) + 1) }

// recordOther records a request whose client is neither at fault nor was served a search: one that is no search, or a search
// that was shed.
func (s *standing) recordOther() { s.refused.CompareAndSwap(wasServed, 0) }

// priority returns the priority of the client's next turn.
func (s *standing) priority() ingress.Priority {
	switch n := s.refused.Load(); {
	case n == wasServed:
		return ingress.Trusted
	case n >= maxRefused:
		return ingress.Suspect
	default:
		return ingress.Unproven
	}
}
