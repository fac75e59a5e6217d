package coordinator

import (
	"container/list"
	"sync"
)

// gate shares out the clients' part of the descriptors. A connection is at work while a request taken from it
// is not answered; before that a request may be coming, and otherwise it is at rest. Those not at work stand in a list,
// longest without work first.
// Guards against connections that are opened and not used: with no room left, the longest at rest is closed
// for a newcomer, and with none at rest the first on which a request is coming. One at work never is.
type gate struct {
	most int
	stir chan struct{} // something has left, or come to rest

	mu    sync.Mutex
	open  int
	idle  list.List // of *client
	asked *client   // to make room; its reader ends it, unless it has read something first
}

func newGate(most int) *gate { return &gate{most: max(1, most), stir: make(chan struct{}, 1)} }

func (g *gate) stirred() {
	select {
	case g.stir <- struct{}{}:
	default:
	}
}

func (g *gate) resize(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.most = max(1, most)
	g.stirred()
}

// enter returns once there is room for a newcomer; false if it is no longer wanted.
func (g *gate) enter(c *client, given <-chan struct{}) bool {
	for {
		g.mu.Lock()
		room := g.open < g.most
		if room {
			g.open++
			c.place = g.idle.PushBack(c)
		} else if g.asked == nil {
			g.displace()
		}
		g.mu.Unlock()
		if room {
			return true
		}
		select {
		case <-g.stir:
		case <-given:
			return false
		}
	}
}

// displace asks the connection that is longest at rest to make room, or else the first on which a request is coming.
func (g *gate) displace() {
	for e := g.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); g.asked == nil || !c.coming {
			if g.asked = c; !c.coming {
				break
			}
		}
	}
	if g.asked != nil {
		g.asked.asked.Store(true)
		g.asked.kick()
	}
}

// comes tells that the first bytes of a request have been read; begin, that it is there and the connection at work. Guards
// against a request that is read in the moment in which its connection is to make room: another is asked then, since
// nothing that was read may be closed over while there is one.
func (g *gate) comes(c *client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.coming = true
	g.goesOn(c)
}

func (g *gate) begin(c *client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lift(c)
	g.goesOn(c)
}

func (g *gate) goesOn(c *client) {
	if g.asked == c {
		g.asked = nil
		c.asked.Store(false)
		g.stirred()
	}
}

// lift takes a connection off the list, if it is there.
func (g *gate) lift(c *client) {
	if c.place != nil {
		g.idle.Remove(c.place)
		c.place = nil
	}
	c.coming = false
}

// rest puts a connection to rest after an answer; one whose last answer is out is the first to make room.
func (g *gate) rest(c *client, last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lift(c)
	if c.place = g.idle.PushBack(c); last {
		g.idle.MoveToFront(c.place)
	}
	g.stirred()
}

func (g *gate) leave(c *client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lift(c)
	g.open--
	if g.asked == c {
		g.asked = nil
	}
	g.stirred()
}
