package coordinator

import (
	"container/list"
	"sync"
)

// connectionLimiter shares out the clients' descriptors. A connection is busy from a complete request to its answer;
// otherwise it is idle, or a request is arriving. Connections that are not busy stand in a list, longest idle first.
// With no descriptor left, a new connection displaces the longest idle one, or else the first whose request is
// arriving; a busy one never. This keeps clients from using up descriptors with connections that they do not use.
type connectionLimiter struct {
	limit   int
	changed chan struct{} // a connection has left or become idle

	mu        sync.Mutex
	open      int
	idle      list.List         // of *clientConnection, longest idle first
	displaced *clientConnection // asked to make room; its reader ends it, unless it has read something first
}

// newConnectionLimiter returns a limiter for so many connections, at least one.
func newConnectionLimiter(most int) *connectionLimiter {
	return &connectionLimiter{limit: max(1, most), changed: make(chan struct{}, 1)}
}

// signalChanged wakes a connection that waits in admit.
func (g *connectionLimiter) signalChanged() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// resize changes the number of connections; those that are open stay.
func (g *connectionLimiter) resize(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(1, most)
	g.signalChanged()
}

// admit blocks until there is room for a new connection, and returns false once canceled is closed.
func (g *connectionLimiter) admit(client *clientConnection, given <-chan struct{}) bool {
	for {
		g.mu.Lock()
		room := g.open < g.limit
		if room {
			g.open++
			client.idleElement = g.idle.PushBack(client)
		} else if g.displaced == nil {
			g.displace()
		}
		g.mu.Unlock()
		if room {
			return true
		}
		select {
		case <-g.changed:
		case <-given:
			return false
		}
	}
}

// displace asks the longest idle connection to make room, or else the first whose request is arriving.
func (g *connectionLimiter) displace() {
	for e := g.idle.Front(); e != nil; e = e.Next() {
		if client := e.Value.(*clientConnection); g.displaced == nil || !client.requestBegun {
			if g.displaced = client; !client.requestBegun {
				break
			}
		}
	}
	if g.displaced != nil {
		g.displaced.askedToLeave.Store(true)
		g.displaced.interruptRead()
	}
}

// markRequestBegun records that the first bytes of a request have been read. A connection that was just asked to make
// room stays, since nothing that was read may be lost while another can make room.
func (g *connectionLimiter) markRequestBegun(client *clientConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	client.requestBegun = true
	g.cancelDisplacement(client)
}

// markBusy records that a request is complete.
func (g *connectionLimiter) markBusy(client *clientConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeIdle(client)
	g.cancelDisplacement(client)
}

// cancelDisplacement has another connection asked, if this one was.
func (g *connectionLimiter) cancelDisplacement(client *clientConnection) {
	if g.displaced == client {
		g.displaced = nil
		client.askedToLeave.Store(false)
		g.signalChanged()
	}
}

// removeIdle takes a connection off the idle list, if it is there.
func (g *connectionLimiter) removeIdle(client *clientConnection) {
	if client.idleElement != nil {
		g.idle.Remove(client.idleElement)
		client.idleElement = nil
	}
	client.requestBegun = false
}

// markIdle records that an answer is written. After its last answer a connection is the first to make room.
func (g *connectionLimiter) markIdle(client *clientConnection, last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeIdle(client)
	if client.idleElement = g.idle.PushBack(client); last {
		g.idle.MoveToFront(client.idleElement)
	}
	g.signalChanged()
}

// release gives a connection's place up.
func (g *connectionLimiter) release(client *clientConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeIdle(client)
	g.open--
	if g.displaced == client {
		g.displaced = nil
	}
	g.signalChanged()
}
