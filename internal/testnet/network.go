// Package testnet is a message network between instances in one process, for tests. Links can be cut, delayed and made lossy; what is
// lost and how long a message takes is drawn from a seeded source.
package testnet

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"time"
)

// ErrLinkCut is returned by Send over a link that a partition has cut.
var ErrLinkCut = errors.New("testnet: the link is cut")

// Network connects nodes. Its methods may be called from any goroutine.
type Network struct {
	mu       sync.Mutex
	rng      *rand.Rand
	cut      map[link]bool
	delay    time.Duration
	jitter   time.Duration
	lossRate float64
	nodes    map[string]*Node
}

// link is one direction between two nodes.
type link struct{ from, to string }

// New returns a network without faults; seed determines what SetFaults loses and delays.
func New(seed int64) *Network {
	return &Network{rng: rand.New(rand.NewSource(seed)), cut: map[link]bool{}, nodes: map[string]*Node{}}
}

// SetFaults delays each message by delay and a random part of jitter, and loses a share of them between 0 and 1.
func (n *Network) SetFaults(delay, jitter time.Duration, lossRate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.jitter, n.lossRate = delay, jitter, lossRate
}

// Partition cuts all links between nodes of different groups and restores all others.
func (n *Network) Partition(groups ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	for i, group := range groups {
		for j, other := range groups {
			if i != j {
				n.cutLinks(group, other)
			}
		}
	}
}

func (n *Network) cutLinks(senders, receivers []string) {
	for _, from := range senders {
		for _, to := range receivers {
			n.cut[link{from, to}] = true
		}
	}
}

// IsConnected reports whether both nodes are on the network and both directions between them are open.
func (n *Network) IsConnected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[a] != nil && n.nodes[b] != nil && !n.cut[link{a, b}] && !n.cut[link{b, a}]
}

// Join adds a node, in place of an earlier incarnation of that name.
func (n *Network) Join(name string) *Node {
	ctx, stop := context.WithCancel(context.Background())
	node := &Node{net: n, name: name, ctx: ctx, stop: stop, queues: map[byte]chan message{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.nodes[name]; old != nil {
		old.stop()
	}
	n.nodes[name] = node
	return node
}

// route draws what happens to one message: its receiver, nil where the message is lost, and its delay.
func (n *Network) route(from, to string) (receiver *Node, delay time.Duration, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[link{from, to}] {
		return nil, 0, ErrLinkCut
	}
	receiver = n.nodes[to]
	if n.rng.Float64() < n.lossRate {
		receiver = nil
	}
	delay = n.delay
	if n.jitter > 0 {
		delay += time.Duration(n.rng.Int63n(int64(n.jitter)))
	}
	return receiver, delay, nil
}
