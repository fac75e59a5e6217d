package coordinator

import (
	"container/list"
	"sync"
)

// gate shares out the clients' part of the descriptors. A connection is at work while a request taken from it
// is not answered, and at rest otherwise; those at rest stand in a list, longest at rest first.
// Guards against connections that are opened and not used: with no room left, the longest at rest is closed
// for a newcomer. One at work never is.
type gate struct {
	most int
	stir chan struct{} // something has left, or come to rest

	mu       sync.Mutex
	open     int
	resting  list.List // of *client
	clearing bool      // one has been told to end
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
			c.place = g.resting.PushBack(c)
		} else if !g.clearing {
			g.clearing = g.displace()
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

// displace ends the connection that is longest at rest, if there is one.
func (g *gate) displace() bool {
	front := g.resting.Front()
	if front == nil {
		return false
	}
	c := front.Value.(*client)
	g.lift(c)
	c.end(displaced)
	return true
}

// begin sets a connection to work; false if it has been told to end.
func (g *gate) begin(c *client) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lift(c)
}

// lift takes a connection off the list; false if it is not there.
func (g *gate) lift(c *client) bool {
	if c.place == nil {
		return false
	}
	g.resting.Remove(c.place)
	c.place = nil
	return true
}

// rest puts a connection to rest after an answer; one whose last answer is out is the first to make room.
func (g *gate) rest(c *client, last bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lift(c)
	if c.place = g.resting.PushBack(c); last {
		g.resting.MoveToFront(c.place)
	}
	g.stirred()
}

func (g *gate) leave(c *client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lift(c)
	g.open--
	g.clearing = false
	g.stirred()
}
