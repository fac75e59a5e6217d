package testnet

import (
	"context"
	"sync"
	"time"
)

// maxQueued is how many messages may wait for the handler of one topic; more are lost, as on a full socket buffer.
const maxQueued = 256

// Node is one instance on a Network. Its methods may be called from any goroutine.
type Node struct {
	net  *Network
	name string
	ctx  context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	queues map[byte]chan message
}

type message struct {
	from string
	body []byte
}

// Leave takes the node off the network; messages on their way to it are lost.
func (n *Node) Leave() {
	n.stop()
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	if n.net.nodes[n.name] == n {
		delete(n.net.nodes, n.name)
	}
}

// Handle registers the handler of a topic. It gets one message after the other, in a goroutine of its own.
func (n *Node) Handle(topic byte, handler func(from string, body []byte)) {
	queue := make(chan message, maxQueued)
	n.mu.Lock()
	n.queues[topic] = queue
	n.mu.Unlock()
	go func() {
		for {
			select {
			case m := <-queue:
				handler(m.from, m.body)
			case <-n.ctx.Done():
				return
			}
		}
	}()
}

// Send passes a message to another node. It fails with ErrLinkCut on a cut link and with the context's error after Leave; a
// message that is lost, or sent to a node that is not there, is no error.
func (n *Node) Send(_ context.Context, to string, topic byte, body []byte) error {
	if err := n.ctx.Err(); err != nil {
		return err
	}
	receiver, delay, err := n.net.route(n.name, to)
	if err != nil || receiver == nil {
		return err
	}
	deliver := func() { receiver.enqueue(topic, message{n.name, body}) }
	if delay > 0 {
		time.AfterFunc(delay, deliver)
	} else {
		deliver()
	}
	return nil
}

func (n *Node) enqueue(topic byte, m message) {
	n.mu.Lock()
	queue := n.queues[topic]
	n.mu.Unlock()
	select {
	case queue <- m: // a topic without a handler has a nil queue, which never takes anything
	default:
	}
}
