package coordinator

import (
	"sync/atomic"

	"chalkring/coordinator/ingress"
)

// standing is what became of a client's last requests: how many in a row could not be served, or wasServed. Any goroutine
// may use it.
type standing struct{ unserved atomic.Int32 }

const wasServed = -1 // the value of standing.unserved after a search that was served

// recordServed records that a search was served.
func (s *standing) recordServed() { s.unserved.Store(wasServed) }

// recordUnserved records a request that was not served, for whatever reason but a replica's fault.
func (s *standing) recordUnserved() { s.unserved.Store(max(s.unserved.Load(), 0) + 1) }

// priority returns the priority of the client's next turn.
func (s *standing) priority() ingress.Priority {
	switch n := s.unserved.Load(); {
	case n == wasServed:
		return ingress.Trusted
	case n >= maxUnservedBefore:
		return ingress.Suspect
	default:
		return ingress.Unproven
	}
}
