package gossip

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"chalkring/cluster/membership"
)

const (
	stepInterval    = 100 * time.Millisecond // longest time between iterations
	publishInterval = time.Second            // between repeated broadcasts while another instance may know only an ended incarnation of this one
	rejectInterval  = 500 * time.Millisecond // between updates to nodes whose incarnation has ended in the table
	maxPingResults  = 64                     // results queued for the event loop
)

// eventLoop drives the failure detector, publishes this instance's metadata and joins absent instances. It runs on one
// goroutine.
type eventLoop struct {
	*Node
	pingResults chan pingResult
	published   membership.Member // as last broadcast
	publishedAt time.Time
	rejectedAt  time.Time // when rejected nodes were last sent their ended incarnations
	joins       joinState
	status      statusLog
}

type pingResult struct {
	nodeName string
	answered bool
}

func newEventLoop(n *Node) *eventLoop {
	return &eventLoop{
		Node: n, pingResults: make(chan pingResult, maxPingResults), joins: newJoinState(n.startedAt), status: newStatusLog(n.logger),
	}
}

func (l *eventLoop) run() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case result := <-l.pingResults:
			l.mu.Lock()
			l.detector.RecordPingResult(l.Now(), result.nodeName, result.answered)
			l.mu.Unlock()
		case <-ticker.C:
		}
		l.iterate()
	}
}

func (l *eventLoop) iterate() {
	pings, rejected := l.advanceDetector()
	for _, node := range pings {
		l.goroutines.Go(func() { l.ping(node) })
	}
	for _, r := range rejected {
		update := encodeMessage(endedTopic, l.table.Self(), encodeEnded(r.ended))
		_ = l.list.SendBestEffort(&r.node, update) // sent again as long as the node is rejected
	}
	l.publishSelf()
	l.status.logChanges(l.table, l.Now())
	l.joinAbsent()
}

// rejectedNode is a node that needs a new incarnation, with the updates that make it take one.
type rejectedNode struct {
	node  memberlist.Node
	ended []membership.Member
}

// advanceDetector passes memberlist's reports to the failure detector and returns the nodes to ping and the rejected ones.
func (l *eventLoop) advanceDetector() (pings []memberlist.Node, rejected []rejectedNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyEvents()
	l.detector.Tick(l.Now())
	for _, nodeName := range l.detector.DuePings(l.Now()) {
		node := l.nodes[nodeName]
		node.Name = nodeName
		pings = append(pings, node)
	}
	if time.Since(l.rejectedAt) < rejectInterval {
		return pings, nil
	}
	l.rejectedAt = time.Now()
	for _, r := range l.detector.RejectedNodes() {
		rejected = append(rejected, rejectedNode{l.nodes[r.NodeName], r.EndedIncarnations})
	}
	return pings, rejected
}

// applyEvents passes memberlist's reports to the failure detector. The caller holds mu.
func (l *eventLoop) applyEvents() {
	order, latest := l.events.takeAll()
	now := l.Now()
	for _, nodeName := range order {
		event := latest[nodeName]
		if nodeName == l.nodeName {
			continue
		}
		if !event.isAlive {
			l.detector.RecordNodeMissing(now, nodeName)
			continue
		}
		m, err := l.decodeMember(event.node.Meta, event.node.Address())
		if err != nil {
			continue
		}
		l.detector.RecordNodeAlive(now, nodeName, m)
		l.nodes[nodeName] = event.node
		if l.table.IsVoter(m.Name) {
			l.lastAddrs[m.Name] = m.Addr
		}
	}
	for nodeName := range l.nodes {
		if !l.detector.IsTracked(nodeName) {
			delete(l.nodes, nodeName)
		}
	}
}

func (l *eventLoop) ping(node memberlist.Node) {
	_, err := l.list.Ping(node.Name, &net.UDPAddr{IP: node.Addr, Port: int(node.Port)})
	select {
	case l.pingResults <- pingResult{node.Name, err == nil}:
	case <-l.ctx.Done():
	}
}

// publishSelf broadcasts this instance's metadata if it has changed. It also repeats the broadcast if another instance may
// know only an ended incarnation of this one, because an earlier broadcast may have been lost. The first iteration always
// broadcasts, because UpdateSelf may have been called before it.
func (l *eventLoop) publishSelf() {
	self := l.table.Self()
	hasChanged := !self.EqualMetadata(l.published) || self.Incarnation != l.published.Incarnation
	if !hasChanged && (!l.mustRepublish.Load() || time.Since(l.publishedAt) < publishInterval) {
		return
	}
	l.mustRepublish.Store(false)
	l.publishedAt, l.published = time.Now(), self
	_ = l.list.UpdateNode(time.Millisecond) // the broadcast is queued; an error only means that it was not sent within the time
}
