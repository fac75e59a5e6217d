// Package testnet is a network between instances in one process, with links that are cut, slow, or lose messages by a seed.
package testnet

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"time"
)

const queueMost = 256 // messages that wait for one handler; more are lost

var errCut = errors.New("memnet: the link is cut")

// Network is the network. Its calls are safe from any goroutine.
type Network struct {
	mu     sync.Mutex
	chance *rand.Rand
	cut    map[[2]string]bool
	delay  time.Duration
	jitter time.Duration
	lose   float64
	nodes  map[string]*Node
}

// New is a network that draws by seed what it loses and how long what it delays takes.
func New(seed int64) *Network {
	return &Network{chance: rand.New(rand.NewSource(seed)), cut: map[[2]string]bool{}, nodes: map[string]*Node{}}
}

// SetFaults delays each message, by chance up to jitter more, and loses a part of them.
func (n *Network) SetFaults(delay, jitter time.Duration, lose float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.jitter, n.lose = delay, jitter, lose
}

// Partition cuts all links between the groups, and mends those within.
func (n *Network) Partition(groups ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	for i, a := range groups {
		for j, b := range groups {
			for _, x := range a {
				for _, y := range b {
					if i != j {
						n.cut[[2]string{x, y}] = true
					}
				}
			}
		}
	}
}

// IsConnected tells whether both ways between two are open and both are up.
func (n *Network) IsConnected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[a] != nil && n.nodes[b] != nil && !n.cut[[2]string{a, b}] && !n.cut[[2]string{b, a}]
}

// Join puts an instance on the network, in place of an earlier life of it.
func (n *Network) Join(name string) *Node {
	ctx, stop := context.WithCancel(context.Background())
	node := &Node{net: n, name: name, ctx: ctx, stop: stop, topics: map[byte]chan message{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.nodes[name]; old != nil {
		old.stop()
	}
	n.nodes[name] = node
	return node
}

// Node is one instance's place.
type Node struct {
	net  *Network
	name string
	ctx  context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	topics map[byte]chan message
}

type message struct {
	from string
	body []byte
}

// Leave takes it off the network: what is under way to it is lost.
func (n *Node) Leave() {
	n.stop()
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	if n.net.nodes[n.name] == n {
		delete(n.net.nodes, n.name)
	}
}

// Handle gives a topic its handler: one message after the other, by a goroutine of its own.
func (n *Node) Handle(topic byte, f func(from string, body []byte)) {
	queue := make(chan message, queueMost)
	n.mu.Lock()
	n.topics[topic] = queue
	n.mu.Unlock()
	go func() {
		for {
			select {
			case m := <-queue:
				f(m.from, m.body)
			case <-n.ctx.Done():
				return
			}
		}
	}()
}

// Send hands a message over; a link that is cut refuses it, one that loses it says nothing.
func (n *Node) Send(ctx context.Context, to string, topic byte, body []byte) error {
	if n.ctx.Err() != nil {
		return n.ctx.Err()
	}
	n.net.mu.Lock()
	if n.net.cut[[2]string{n.name, to}] {
		n.net.mu.Unlock()
		return errCut
	}
	other, lost := n.net.nodes[to], n.net.chance.Float64() < n.net.lose
	wait := n.net.delay
	if n.net.jitter > 0 {
		wait += time.Duration(n.net.chance.Int63n(int64(n.net.jitter)))
	}
	n.net.mu.Unlock()
	if other == nil || lost {
		return nil
	}
	hand := func() {
		other.mu.Lock()
		queue := other.topics[topic]
		other.mu.Unlock()
		select {
		case queue <- message{n.name, body}:
		default:
		}
	}
	if wait > 0 {
		time.AfterFunc(wait, hand)
	} else {
		hand()
	}
	return nil
}
