package swimsim

import (
	"math"
	"slices"

	"chalkring/cluster/membership"
)

// Approximate sizes of the gossip library's packets, in bytes.
const (
	pingBytes      = 90  // a ping or its acknowledgement
	broadcastBytes = 110 // a broadcast with its share of the packet's header
	stateNodeBytes = 130 // a node in a push/pull exchange
	// maxBroadcastsPerPacket is the number of broadcasts that fit into a packet of 1400 bytes.
	maxBroadcastsPerPacket = 12
	// retransmitMultiplier is how often a broadcast is sent, as a multiple of log10 of the cluster's size.
	retransmitMultiplier = 4
)

// broadcast is an update on a node that an instance sends until transmitsLeft is 0.
type broadcast struct {
	nodeName        string
	member          membership.Member
	index           int
	swimIncarnation uint32
	state           membership.State
	transmitsLeft   int
}

// isCut reports whether packets from one instance to another are lost.
func (c *Cluster) isCut(from, to int) bool {
	return c.IsPartitioned != nil && c.IsPartitioned(from, to)
}

// canConnect reports whether a connection to another instance would be established.
func (i *Instance) canConnect(to *Instance) bool {
	return to.Running && !to.Paused && !i.cluster.isCut(i.Index, to.Index) && !i.cluster.isCut(to.Index, i.Index)
}

// canConnectToNode reports whether a connection to a node would be established and the node runs at that index.
func (i *Instance) canConnectToNode(nodeName string, index int) bool {
	to := i.cluster.Instances[index]
	return to.NodeName == nodeName && i.canConnect(to)
}

// sendPacket sends a packet to an index. If the packet arrives, deliver is called with the instance that runs there then.
func (i *Instance) sendPacket(index, size int, deliver func(to *Instance)) {
	c := i.cluster
	i.BytesSent += int64(size)
	if c.isCut(i.Index, index) || c.rng.Float64() < c.PacketLoss {
		return
	}
	c.schedule(ticksPerMillisecond+c.rng.Int63n(c.MaxLatency), func() {
		if to := c.Instances[index]; to.Running && !to.Paused && !c.isCut(i.Index, index) {
			deliver(to)
		}
	})
}

// sendWithBroadcasts sends a packet that also carries pending broadcasts, as pings and acknowledgements do.
func (i *Instance) sendWithBroadcasts(index, size int, deliver func(to *Instance)) {
	batch := i.nextBroadcasts()
	i.sendPacket(index, size+broadcastBytes*len(batch), func(to *Instance) {
		for _, received := range batch {
			to.applyBroadcast(received)
		}
		deliver(to)
	})
}

// nextBroadcasts returns the broadcasts for one packet: those with the most transmits left.
func (i *Instance) nextBroadcasts() (batch []broadcast) {
	if len(i.broadcasts) == 0 {
		return nil
	}
	slices.SortStableFunc(i.broadcasts, func(a, b *broadcast) int { return b.transmitsLeft - a.transmitsLeft })
	hasFinished := false
	for _, pending := range i.broadcasts[:min(maxBroadcastsPerPacket, len(i.broadcasts))] {
		pending.transmitsLeft--
		hasFinished = hasFinished || pending.transmitsLeft <= 0
		batch = append(batch, *pending)
	}
	if hasFinished {
		i.broadcasts = slices.DeleteFunc(i.broadcasts, func(pending *broadcast) bool { return pending.transmitsLeft <= 0 })
	}
	return batch
}

// queueBroadcast queues a broadcast of a node's current state, in place of an older broadcast on that node.
func (i *Instance) queueBroadcast(nodeName string, n *node) {
	i.broadcasts = slices.DeleteFunc(i.broadcasts, func(pending *broadcast) bool { return pending.nodeName == nodeName })
	transmits := retransmitMultiplier * int(math.Ceil(math.Log10(float64(len(i.nodeNames)+2))))
	i.broadcasts = append(i.broadcasts, &broadcast{nodeName, n.member, n.index, n.swimIncarnation, n.state, transmits})
}

// gossip sends pending broadcasts to a few random nodes.
func (i *Instance) gossip() {
	if len(i.broadcasts) == 0 {
		return
	}
	isEligible := func(n *node) bool {
		return n.state != membership.Dead || i.cluster.Now-n.stateSince < gossipToTheDeadTime
	}
	for _, nodeName := range i.randomNodes(gossipNodes, isEligible) {
		if len(i.broadcasts) > 0 {
			i.sendWithBroadcasts(i.nodes[nodeName].index, 0, func(*Instance) {})
		}
	}
}

// pushPull exchanges all known nodes and ended incarnations with another instance over a connection.
func (i *Instance) pushPull(index int) {
	to := i.cluster.Instances[index]
	if to == i || !i.canConnect(to) {
		return
	}
	roundTrip := 2*ticksPerMillisecond + i.cluster.rng.Int63n(2*i.cluster.MaxLatency)
	i.cluster.schedule(roundTrip, func() {
		if !i.Running || i.Paused || !i.canConnect(to) {
			return
		}
		ours, theirs := i.localState(), to.localState()
		i.mergeState(theirs, to.Table.EndedIncarnations())
		to.mergeState(ours, i.Table.EndedIncarnations())
		i.BytesSent += int64(stateNodeBytes * len(ours))
		to.BytesSent += int64(stateNodeBytes * len(theirs))
	})
}

func (i *Instance) localState() (state []broadcast) {
	state = append(state, broadcast{
		nodeName: i.NodeName, member: i.published, index: i.Index, swimIncarnation: i.swimIncarnation, state: membership.Alive,
	})
	for _, nodeName := range i.nodeNames {
		n := i.nodes[nodeName]
		nodeState := n.state
		if nodeState == membership.Dead {
			nodeState = membership.Suspect // the receiver does not declare it dead without probing it
		}
		state = append(state, broadcast{
			nodeName: nodeName, member: n.member, index: n.index, swimIncarnation: n.swimIncarnation, state: nodeState,
		})
	}
	return state
}

func (i *Instance) mergeState(state []broadcast, ended []membership.Member) {
	for _, received := range state {
		i.applyBroadcast(received)
	}
	for _, update := range ended {
		i.Table.ApplyUpdate(i.cluster.Now, update)
	}
}
