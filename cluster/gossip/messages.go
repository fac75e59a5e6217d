package gossip

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxBodyBytes is the largest size of a message's body.
	MaxBodyBytes = 1 << 20

	endedTopic         = 0               // this package's own messages, which are updates on ended incarnations
	maxConcurrentSends = 16              // messages being sent at the same time
	maxQueuedMessages  = 16              // messages of one topic that wait for its handler
	queueTimeout       = 2 * time.Second // how long a received message waits for room in the queue before it is dropped
)

// message is a received message that waits for its topic's handler.
type message struct {
	sender string
	body   []byte
}

// Send sends a message to a member that is alive, on a separate connection. It blocks until the bytes are written, so it is
// for background work only. A nil error does not mean that the receiver has handled the message.
func (n *Node) Send(ctx context.Context, to string, topic byte, body []byte) error {
	if len(body) > MaxBodyBytes {
		return &MessageTooLargeError{to, len(body)}
	}
	n.mu.Lock()
	receiver, isPresent := n.nodes[n.detector.NodeName(to)]
	closed := n.closed
	n.mu.Unlock()
	if !isPresent || closed {
		return &PeerUnavailableError{to}
	}
	select {
	case n.sendSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return &PeerUnavailableError{to}
	}
	result := make(chan error, 1)
	isStarted := n.startUnlessClosed(func() {
		defer func() { <-n.sendSlots }()
		result <- n.list.SendReliable(&receiver, encodeMessage(topic, n.table.Self(), body))
	})
	if !isStarted {
		<-n.sendSlots
		return &PeerUnavailableError{to}
	}
	select {
	case err := <-result:
		if err != nil {
			return fmt.Errorf("sending a message to %s: %w", to, err)
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startUnlessClosed runs f in a goroutine that the shutdown waits for. It reports false if the node is already closed.
func (n *Node) startUnlessClosed(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.goroutines.Go(f)
	return true
}

// Handle registers the handler of a topic, which is 1 or above. One goroutine per topic calls the handler for one message
// after the other. If the topic already has a handler, the call has no effect.
func (n *Node) Handle(topic byte, handler func(from string, body []byte)) {
	queue := make(chan message, maxQueuedMessages)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || topic == endedTopic || n.handlers[topic] != nil {
		return
	}
	n.handlers[topic] = queue
	n.goroutines.Go(func() {
		for {
			select {
			case m := <-queue:
				handler(m.sender, m.body)
			case <-n.ctx.Done():
				return
			}
		}
	})
}

// receive handles a message that memberlist has read. It may block for seconds. memberlist calls it on the connection's
// goroutine, or on the one that handles all packets.
func (n *Node) receive(encoded []byte) {
	header, body, err := decodeMessage(encoded)
	if err != nil {
		return
	}
	if header.topic == endedTopic {
		if n.applyEnded(body) { // the sender has an ended incarnation of this instance and may not know the current one
			n.mustRepublish.Store(true)
			n.wakeLoop()
		}
		return
	}
	state, isKnown := n.table.IncarnationState(header.sender, header.incarnation)
	if isKnown && state.IsTerminal() || !n.awaitAccepted(header) {
		return
	}
	n.mu.Lock()
	queue := n.handlers[header.topic]
	n.mu.Unlock()
	if queue != nil {
		n.enqueue(queue, message{header.sender, slices.Clone(body)})
	}
}

// enqueue waits for room in a handler's queue and drops the message if there is none within queueTimeout.
func (n *Node) enqueue(queue chan<- message, m message) {
	timeout := time.NewTimer(queueTimeout)
	defer timeout.Stop()
	select {
	case queue <- m:
	case <-n.ctx.Done():
	case <-timeout.C:
	}
}

// applyEnded applies encoded updates on ended incarnations and reports whether one of them has this instance's name.
func (n *Node) applyEnded(encoded []byte) (hasOwnName bool) {
	ended, err := n.decodeEnded(encoded)
	if err != nil {
		return false
	}
	for _, update := range ended {
		n.table.ApplyUpdate(n.Now(), update)
		hasOwnName = hasOwnName || update.Name == n.options.Self.Name
	}
	n.wakeLoop()
	return hasOwnName
}
