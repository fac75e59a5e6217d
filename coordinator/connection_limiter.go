package coordinator

import (
	"cmp"
	"container/list"
	"sync"
	"time"

	"chalkring/coordinator/ingress"
)

// connectionLimiter limits how many client connections are open. A connection is busy from a complete request to its
// answer; otherwise it is idle, or a request is arriving. Connections that are not busy are kept in a list, longest
// idle first. With no descriptor left, a new connection displaces one of them, as findDisplaceable says; never a busy one.
// This keeps clients from using up the descriptors with connections that they do not use.
type connectionLimiter struct {
	limit   int
	changed chan struct{} // a connection has left or become idle

	mu        sync.Mutex
	open      int
	idle      list.List                  // of *clientConnection, longest idle first
	displaced map[*clientConnection]bool // asked to make room; their readers end them, unless they have read something first
	pressure  int                        // new connections in a row that had to wait for room, up to maxDisplaced
}

// keptIdleShare is the share of the connections that idle ones of clients that were served may keep while requests of
// other clients are arriving. The platform's clients use a third of the descriptors at most.
const keptIdleShare = 1.0 / 3

// freshTime is how long a connection, or a request that is arriving on one, counts as new: most requests come at once.
const freshTime = 500 * time.Millisecond

// maxDisplaced is how many connections are asked to make room at once, when many new ones have come one after another.
const maxDisplaced = 16

// newConnectionLimiter returns a limiter for the given number of connections, at least one.
func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{limit: max(1, limit), changed: make(chan struct{}, 1), displaced: map[*clientConnection]bool{}}
}

// signalChanged wakes a connection that waits in admit.
func (g *connectionLimiter) signalChanged() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// resize changes the limit; connections that are open stay open.
func (g *connectionLimiter) resize(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(1, limit)
	g.signalChanged()
}

// admit blocks until there is room for a new connection, and returns false once canceled is closed.
func (g *connectionLimiter) admit(client *clientConnection, canceled <-chan struct{}) bool {
	for waited := false; ; waited = true {
		if g.tryAdmit(client, waited) {
			return true
		}
		select {
		case <-g.changed:
		case <-canceled:
			return false
		}
	}
}

// tryAdmit admits a new connection if there is room, and asks others to make room if not: one, or several if many new
// connections in a row have found none.
func (g *connectionLimiter) tryAdmit(client *clientConnection, waited bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open < g.limit {
		g.open++
		client.idleElement, client.listedAt = g.idle.PushBack(client), time.Now()
		if !waited {
			g.pressure /= 2
		}
		return true
	}
	if !waited {
		g.pressure = min(g.pressure+1, maxDisplaced)
	}
	for len(g.displaced) < max(1, g.pressure) && g.displace() {
	}
	return false
}

// displace asks a connection to make room. It returns false if there is none to ask.
func (g *connectionLimiter) displace() bool {
	found := g.findDisplaceable()
	if found == nil {
		return false
	}
	g.displaced[found] = true
	found.askedToLeave.Store(true)
	found.interruptRead()
	found.share.turn.makeRoom()
	return true
}

// findDisplaceable returns the connection that has to make room next, or nil. Of each of these kinds the first in the list
// goes: idle ones whose clients were never served; idle ones of served clients, if they hold more than their share; requests
// that arrive slowly and whose clients were never served; idle ones of served clients; connections that have just come and
// whose request may be on its way; requests that are arriving.
func (g *connectionLimiter) findDisplaceable() *clientConnection {
	var slow, idle, fresh, arriving *clientConnection
	servedIdle := 0
	now := time.Now()
	for e := g.idle.Front(); e != nil; e = e.Next() {
		client := e.Value.(*clientConnection)
		if g.displaced[client] {
			continue
		}
		wasServed := client.share.standing.priority() == ingress.Trusted && !client.lastAnswerWritten.Load()
		isSettled := now.Sub(client.listedAt) > freshTime
		switch {
		case client.requestBegun && isSettled && !wasServed:
			slow = cmp.Or(slow, client)
		case client.requestBegun:
			arriving = cmp.Or(arriving, client)
		case wasServed:
			idle = cmp.Or(idle, client)
			servedIdle++
		case isSettled || client.lastAnswerWritten.Load():
			return client
		default:
			fresh = cmp.Or(fresh, client)
		}
	}
	if float64(servedIdle) > keptIdleShare*float64(g.limit) {
		return idle
	}
	return cmp.Or(slow, idle, fresh, arriving)
}

// markRequestBegun records that the first bytes of a request have been read. If the connection was just asked to make
// room, it stays open: bytes that were read must not be lost while another connection can make room.
func (g *connectionLimiter) markRequestBegun(client *clientConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !client.requestBegun {
		client.requestBegun, client.listedAt = true, time.Now()
		g.cancelDisplacement(client)
	}
}

// markBusy records that a request is complete.
func (g *connectionLimiter) markBusy(client *clientConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeIdle(client)
	g.cancelDisplacement(client)
}

// cancelDisplacement lets a connection that was asked to make room stay open, so that another one is asked.
func (g *connectionLimiter) cancelDisplacement(client *clientConnection) {
	if g.displaced[client] {
		delete(g.displaced, client)
		client.askedToLeave.Store(false)
		g.signalChanged()
	}
}

// removeIdle takes a connection off the idle list if it is in it.
func (g *connectionLimiter) removeIdle(client *clientConnection) {
	if client.idleElement != nil {
		g.idle.Remove(client.idleElement)
		client.idleElement = nil
	}
	client.requestBegun = false
}

// markIdle records that an answer has been written. After its last answer, a connection is the first to make room.
func (g *connectionLimiter) markIdle(client *clientConnection, last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeIdle(client)
	client.listedAt = time.Now()
	if client.idleElement = g.idle.PushBack(client); last {
		g.idle.MoveToFront(client.idleElement)
	}
	g.signalChanged()
}

// release frees the place of a connection that has ended.
func (g *connectionLimiter) release(client *clientConnection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeIdle(client)
	g.open--
	delete(g.displaced, client)
	g.signalChanged()
}
