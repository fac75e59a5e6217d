package gossip

import (
	"sync"

	"github.com/hashicorp/memberlist"
)

// delegate implements memberlist's callbacks. memberlist holds its lock during most of them, so they must neither call
// memberlist nor block; the event loop does the work later.
type delegate Node

func (d *delegate) node() *Node { return (*Node)(d) }

// NodeMeta returns this instance's metadata, which memberlist publishes.
func (d *delegate) NodeMeta(limit int) []byte {
	encoded, err := d.node().encodeMember(d.table.Self())
	if err != nil || len(encoded) > limit {
		return nil // cannot happen: Start and UpdateSelf have checked the metadata
	}
	return encoded
}

// GetBroadcasts returns nothing: updates are sent in node metadata and in push/pull exchanges.
func (d *delegate) GetBroadcasts(_, _ int) [][]byte { return nil }

// LocalState returns what a push/pull exchange sends in addition to the nodes: the ended incarnations.
func (d *delegate) LocalState(bool) []byte { return encodeEnded(d.table.EndedIncarnations()) }

// MergeRemoteState applies what a push/pull exchange received in addition to the nodes: ended incarnations.
func (d *delegate) MergeRemoteState(encoded []byte, _ bool) { d.node().applyEnded(encoded) }

// NotifyMsg handles a message from another instance.
func (d *delegate) NotifyMsg(encoded []byte) { d.node().receive(encoded) }

// NotifyJoin reports that a node is alive.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.recordEvent(node, true) }

// NotifyUpdate reports new metadata of a node.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.recordEvent(node, true) }

// NotifyLeave reports that a node is dead or has left.
func (d *delegate) NotifyLeave(node *memberlist.Node) { d.recordEvent(node, false) }

// NotifyAlive returns an error if a node that is reported alive belongs to another cluster. memberlist then ignores the node.
func (d *delegate) NotifyAlive(node *memberlist.Node) error { return d.node().rejectForeign(node) }

// NotifyMerge returns an error if all nodes in the state of an instance that joins or is joined belong to other clusters.
// memberlist then rejects the state.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	return d.node().rejectForeignState(nodes)
}

func (d *delegate) recordEvent(node *memberlist.Node, isAlive bool) {
	d.events.record(node, isAlive)
	d.node().wakeLoop()
}

// nodeEvent is memberlist's last report on a node.
type nodeEvent struct {
	node    memberlist.Node // a copy
	isAlive bool
}

// eventBuffer holds memberlist's latest report on each node until the event loop takes it.
type eventBuffer struct {
	mu     sync.Mutex
	latest map[string]nodeEvent // by node name
	order  []string             // node names in the order of their first report
}

func (b *eventBuffer) record(node *memberlist.Node, isAlive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, isPending := b.latest[node.Name]; !isPending {
		b.order = append(b.order, node.Name)
	}
	b.latest[node.Name] = nodeEvent{*node, isAlive}
}

func (b *eventBuffer) takeAll() (order []string, latest map[string]nodeEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	order, latest = b.order, b.latest
	b.order, b.latest = nil, map[string]nodeEvent{}
	return order, latest
}

// isPendingAlive reports whether there is a report on a node that was not taken yet, and it says that the node is alive.
func (b *eventBuffer) isPendingAlive(nodeName string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest[nodeName].isAlive
}
