package swimsim

import (
	"math"
	"slices"

	"chalkring/cluster/membership"
)

// The gossip library's settings, as package gossip sets them.
const (
	probeInterval       = 500 * ticksPerMillisecond
	probeTimeout        = membership.PingTimeout
	indirectProbes      = 3 // nodes asked to probe a node that did not answer
	suspicionMultiplier = 3 // the time to refute a suspicion is this times log10 of the cluster's size times probeInterval
	gossipInterval      = 200 * ticksPerMillisecond
	gossipNodes         = 3 // nodes to which broadcasts are sent at once
	gossipToTheDeadTime = 30 * Second
	pushPullInterval    = 15 * Second
	// pushPullSlowdownLog2 is log2 of 32, the number of instances above which push/pull exchanges become less frequent.
	pushPullSlowdownLog2 = 5
)

// node is what the gossip library of an instance knows of one incarnation of another instance.
type node struct {
	member          membership.Member
	index           int
	swimIncarnation uint32
	state           membership.State // Alive, Suspect or Dead
	stateSince      int64
}

// ping asks a node for an acknowledgement. done is called once, when it arrives or after probeTimeout.
func (i *Instance) ping(nodeName string, index int, done func(answered bool)) {
	isDone := false
	i.sendWithBroadcasts(index, pingBytes, func(to *Instance) {
		if to.NodeName != nodeName {
			return // another incarnation runs at that address
		}
		to.sendWithBroadcasts(i.Index, pingBytes, func(sender *Instance) {
			if sender == i && !isDone {
				isDone = true
				done(true)
			}
		})
	})
	i.callAfter(probeTimeout, func() {
		if !isDone {
			isDone = true
			done(false)
		}
	})
}

// randomNodes returns the names of up to count random nodes for which isEligible is true.
func (i *Instance) randomNodes(count int, isEligible func(*node) bool) (nodeNames []string) {
	if len(i.nodeNames) == 0 {
		return nil
	}
	for range 3*count + 10 {
		nodeName := i.nodeNames[i.cluster.rng.Intn(len(i.nodeNames))]
		if !isEligible(i.nodes[nodeName]) || slices.Contains(nodeNames, nodeName) {
			continue
		}
		nodeNames = append(nodeNames, nodeName)
		if len(nodeNames) == count {
			break
		}
	}
	return nodeNames
}

func isAlive(n *node) bool { return n.state == membership.Alive }

// probe probes the next node of the round that is not dead.
func (i *Instance) probe() {
	i.removeDeadNodes()
	if len(i.probeRound) == 0 {
		i.probeRound = slices.Clone(i.nodeNames)
		i.cluster.rng.Shuffle(len(i.probeRound), func(a, b int) {
			i.probeRound[a], i.probeRound[b] = i.probeRound[b], i.probeRound[a]
		})
	}
	for len(i.probeRound) > 0 {
		nodeName := i.probeRound[0]
		i.probeRound = i.probeRound[1:]
		if n := i.nodes[nodeName]; n != nil && n.state != membership.Dead {
			i.probeNode(nodeName, n)
			return
		}
	}
}

// probeNode pings a node. If there is no answer it tries pings through other nodes and a connection, and suspects the node if
// all of them fail.
func (i *Instance) probeNode(nodeName string, n *node) {
	probedIncarnation := n.swimIncarnation
	i.ping(nodeName, n.index, func(answered bool) {
		if answered {
			return
		}
		reached := i.canConnectToNode(nodeName, n.index)
		for _, helper := range i.randomNodes(indirectProbes, isAlive) {
			i.sendPacket(i.nodes[helper].index, pingBytes, func(helping *Instance) {
				helping.ping(nodeName, n.index, func(answered bool) { reached = reached || answered })
			})
		}
		i.callAfter(probeInterval-probeTimeout, func() {
			if !reached {
				i.applySuspect(nodeName, probedIncarnation)
			}
		})
	})
}

// removeDeadNodes removes the nodes that have been dead for longer than gossipToTheDeadTime.
func (i *Instance) removeDeadNodes() {
	i.nodeNames = slices.DeleteFunc(i.nodeNames, func(nodeName string) bool {
		if n := i.nodes[nodeName]; n.state == membership.Dead && i.cluster.Now-n.stateSince > gossipToTheDeadTime {
			delete(i.nodes, nodeName)
			return true
		}
		return false
	})
}

func (i *Instance) applyBroadcast(received broadcast) {
	switch received.state {
	case membership.Alive:
		i.applyAlive(received)
	case membership.Suspect:
		i.applySuspect(received.nodeName, received.swimIncarnation)
	default:
		i.applyDead(received.nodeName, received.swimIncarnation)
	}
}

// refute answers a suspicion of this instance with a higher SWIM incarnation of its node.
func (i *Instance) refute(swimIncarnation uint32) {
	i.swimIncarnation = max(i.swimIncarnation, swimIncarnation) + 1
	i.broadcastSelf()
}

func (i *Instance) broadcastSelf() {
	i.queueBroadcast(i.NodeName, &node{member: i.published, index: i.Index, swimIncarnation: i.swimIncarnation, state: membership.Alive})
}

func (i *Instance) applyAlive(received broadcast) {
	if received.nodeName == i.NodeName {
		if received.swimIncarnation > i.swimIncarnation {
			i.refute(received.swimIncarnation)
		}
		return
	}
	n := i.nodes[received.nodeName]
	if n == nil {
		n = &node{state: membership.Dead}
		i.nodes[received.nodeName] = n
		i.nodeNames = append(i.nodeNames, received.nodeName)
	} else if received.swimIncarnation <= n.swimIncarnation {
		return
	}
	previous := *n
	n.member, n.index, n.swimIncarnation = received.member, received.index, received.swimIncarnation
	n.state, n.stateSince = membership.Alive, i.cluster.Now
	i.queueBroadcast(received.nodeName, n)
	i.lastIndexes[n.member.Name] = n.index
	hasChanged := previous.state == membership.Dead || !previous.member.EqualMetadata(n.member) ||
		previous.member.Incarnation != n.member.Incarnation || previous.member.State != n.member.State
	if hasChanged {
		i.detector.RecordNodeAlive(i.cluster.Now, received.nodeName, n.member)
	}
}

// applyFault records that a node is suspect or dead. It returns the node if its state has changed, else nil. If the node is
// this instance's own, it refutes the report.
func (i *Instance) applyFault(nodeName string, swimIncarnation uint32, state membership.State) *node {
	if nodeName == i.NodeName {
		if swimIncarnation >= i.swimIncarnation {
			i.refute(swimIncarnation)
		}
		return nil
	}
	n := i.nodes[nodeName]
	if n == nil || swimIncarnation < n.swimIncarnation || n.state >= state {
		return nil
	}
	n.swimIncarnation, n.state, n.stateSince = swimIncarnation, state, i.cluster.Now
	i.queueBroadcast(nodeName, n)
	return n
}

func (i *Instance) applySuspect(nodeName string, swimIncarnation uint32) {
	n := i.applyFault(nodeName, swimIncarnation, membership.Suspect)
	if n == nil {
		return
	}
	suspicionTimeout := int64(suspicionMultiplier * max(1, math.Log10(float64(len(i.nodeNames)+1))) * probeInterval)
	i.callAfter(suspicionTimeout, func() {
		if n.state == membership.Suspect && n.swimIncarnation == swimIncarnation {
			i.applyDead(nodeName, swimIncarnation)
		}
	})
}

func (i *Instance) applyDead(nodeName string, swimIncarnation uint32) {
	if i.applyFault(nodeName, swimIncarnation, membership.Dead) != nil {
		i.detector.RecordNodeMissing(i.cluster.Now, nodeName)
	}
}
