package gossip

import (
	"context"
	"errors"
	"time"

	"chalkring/cluster/membership"
)

const (
	leaveTimeout = 500 * time.Millisecond // for each of the two broadcasts of Leave
	// leaveDeadlineDivisor limits each of the broadcasts to a third of the time until the caller's deadline.
	leaveDeadlineDivisor = 3
)

// Leave tells the other instances that this one shuts down on purpose, and ends the node. An error means that some of them
// may not have been told.
func (n *Node) Leave(ctx context.Context) error {
	if n.ctx.Err() != nil {
		return nil
	}
	n.table.Leave(n.Now())
	timeout := leaveTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, min(timeout, time.Until(deadline)/leaveDeadlineDivisor))
	}
	err := n.list.UpdateNode(timeout)
	self := n.table.Self()
	update := encodeMessage(endedTopic, self, encodeEnded([]membership.Member{self}))
	// Also sent directly: memberlist's own report of leaving, which does not say that it is on purpose, may arrive first.
	for _, node := range n.list.Members() {
		if node.Name != n.list.LocalNode().Name {
			err = errors.Join(err, n.list.SendBestEffort(node, update))
		}
	}
	err = errors.Join(err, n.list.Leave(timeout))
	n.Close()
	return err
}

// Close ends the node without telling the other instances, as if the process were killed, and waits for its goroutines.
func (n *Node) Close() {
	n.cancel()
	<-n.done
}

// shutDown runs once the node's context has ended.
func (n *Node) shutDown() {
	n.closeOnce.Do(func() {
		n.mu.Lock()
		n.closed = true
		n.mu.Unlock()
		_ = n.list.Shutdown() // an error does not matter: Shutdown only closes sockets that are no longer used
		n.goroutines.Wait()
		close(n.done)
	})
}
