package coordinator

import (
	"container/list"
	"sync"
)

// connectionLimiter shares out the clients' part of the descriptors. A connection is at work while a request taken from it
// is not answered; before that a request may be coming, and otherwise it is at rest. Those not at work stand in a list,
// longest without work first.
// Guards against connections that are opened and not used: with no room left, the longest at rest is closed
// for a newcomer, and with none at rest the first on which a request is coming. One at work never is.
type connectionLimiter struct {
	limit   int
	changed chan struct{} // a connection has left or become idle

	mu        sync.Mutex
	open      int
	idle      list.List         // of *clientConnection, longest idle first
	displaced *clientConnection // asked to make room; its reader ends it, unless it has read something first
}

func newConnectionLimiter(most int) *connectionLimiter {
	return &connectionLimiter{limit: max(1, most), changed: make(chan struct{}, 1)}
}

func (g *connectionLimiter) signalChanged() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

func (g *connectionLimiter) resize(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(1, most)
	g.signalChanged()
}

// admit returns once there is room for a newcomer; false if it is no longer wanted.
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

// displace asks the connection that is longest at rest to make room, or else the first on which a request is coming.
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

// markRequestBegun tells that the first bytes of a request have been read; begin, that it is there and the connection at work. Guards
// against a request that is read in the moment in which its connection is to make room: another is asked then, since
// nothing that was read may be closed over while there is one.
func (g *connectionLimiter) markRequestBegun(client *clientConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	client.requestBegun = true
	g.cancelDisplacement(client)
}

func (g *connectionLimiter) markBusy(client *clientConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeIdle(client)
	g.cancelDisplacement(client)
}

func (g *connectionLimiter) cancelDisplacement(client *clientConnection) {
	if g.displaced == client {
		g.displaced = nil
		client.askedToLeave.Store(false)
		g.signalChanged()
	}
}

// removeIdle takes a connection off the list, if it is there.
func (g *connectionLimiter) removeIdle(client *clientConnection) {
	if client.idleElement != nil {
		g.idle.Remove(client.idleElement)
		client.idleElement = nil
	}
	client.requestBegun = false
}

// markIdle puts a connection to markIdle after an answer; one whose last answer is out is the first to make room.
func (g *connectionLimiter) markIdle(client *clientConnection, last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeIdle(client)
	if client.idleElement = g.idle.PushBack(client); last {
		g.idle.MoveToFront(client.idleElement)
	}
	g.signalChanged()
}

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
