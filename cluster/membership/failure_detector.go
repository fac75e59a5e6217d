package membership

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"
)

// Times are in ticks of the caller's clock, which are tenths of a millisecond.
const (
	ticksPerMillisecond = 10
	// PingInterval is the time between two pings of a probe round, which pings one voter after the other. It is also the
	// initial time between pings of a suspect.
	PingInterval = 500 * ticksPerMillisecond
	// PingTimeout is how long an answer may take. It allows for the longest round trip on earth and a busy machine.
	PingTimeout = 300 * ticksPerMillisecond
	// sweepReuseTime limits which earlier pings a sweep reuses: a ping's result counts for the sweep if the ping was sent at
	// most this long before the sweep was requested. It is shorter than the time that the gossip library takes to declare a
	// node dead after a partition.
	sweepReuseTime = 1500 * ticksPerMillisecond
	// maxPingBackoffDoublings limits the time between pings of a node that stays suspect to 4 s.
	maxPingBackoffDoublings = 3
	// maxFailedPings is the number of unanswered pings in a row that makes a node suspect. With two, a packet loss of a
	// tenth would make healthy nodes suspect every few seconds.
	maxFailedPings = 3
	// maxTrackedNodes allows for two nodes of each name: its current incarnation and the previous one.
	maxTrackedNodes = 2 * MaxMembers
)

// FailureDetector decides which nodes an instance pings directly, and applies the results to its table. The gossip library's
// own failure detector probes one node after the other, so an instance that is cut off from 300 others would count them as
// alive for minutes. FailureDetector pings all voters at once, in a sweep, as soon as the first voter fails to answer, and
// repeats the sweep while it finds new suspects. Voters that do not answer become suspect. A node that the library declares
// dead becomes suspect too. FailureDetector itself declares it dead once a later sweep has ended without its answer, and only
// while a majority is alive: a minority declares no node dead. Nodes that are not voters are never pinged here.
//
// A node is one incarnation of a member, under the name that the gossip library has for it. The methods are not safe for
// concurrent use.
type FailureDetector struct {
	table            *Table
	rng              *rand.Rand
	nodes            map[string]*trackedNode
	missingNodes     int      // number of nodes whose missingSince is set
	probeRound       []string // names of the nodes still to be pinged in this round
	nextProbeAt      int64    // when the next ping of the round is due
	sweepRequestedAt int64    // when the last sweep was requested, 0 if never
	lastTickAt       int64    // when Tick was last called, 0 if never
	hasNewSuspect    bool     // a node has become suspect since the last sweep was requested
	isStale          bool     // Tick was not called for too long: results are not used until a sweep has ended
}

type trackedNode struct {
	member           Member
	isVoter          bool
	missingSince     int64 // when the gossip library declared it dead, or when it last answered a ping after that; 0 if the library reports it alive
	suspicionVersion uint64
	isSuspect        bool  // because of this instance's own pings
	failedPings      int   // unanswered pings in a row
	pingSentAt       int64 // when the ping in flight was sent, 0 if none is
	retryPingAt      int64 // when to ping it outside the round, 0 for never
	sweptAt          int64 // when the last ping was sent that was answered or left the node suspect; only such a ping counts for a sweep
}

// NewFailureDetector returns a failure detector that applies its results to a table.
func NewFailureDetector(table *Table, rng *rand.Rand) *FailureDetector {
	return &FailureDetector{table: table, rng: rng, nodes: map[string]*trackedNode{}}
}

// RecordNodeAlive records that the gossip library reports a node as alive, or that the node's member entry has changed.
func (d *FailureDetector) RecordNodeAlive(now int64, nodeName string, m Member) {
	node := d.nodes[nodeName]
	if node == nil {
		if len(d.nodes) >= maxTrackedNodes || !m.IsValid() {
			return
		}
		node = &trackedNode{isVoter: d.table.IsVoter(m.Name)}
		d.nodes[nodeName] = node
	} else if node.member.Incarnation != m.Incarnation { // the node has taken a new incarnation, so the old one has ended
		d.table.ApplyUpdate(now, Member{Name: node.member.Name, Incarnation: node.member.Incarnation, State: Dead})
	}
	node.member = m
	if node.missingSince != 0 {
		node.missingSince, node.isSuspect, node.failedPings = 0, false, 0
		node.suspicionVersion++
		d.missingNodes--
	}
	d.updateTable(now, node)
	if m.State.IsTerminal() {
		delete(d.nodes, nodeName)
	}
}

// RecordNodeMissing records that the gossip library has declared a node dead.
func (d *FailureDetector) RecordNodeMissing(now int64, nodeName string) {
	node := d.nodes[nodeName]
	if node == nil || node.missingSince != 0 {
		return
	}
	node.missingSince, node.retryPingAt = max(1, now), 0
	if node.failedPings < maxFailedPings {
		node.retryPingAt = now
	}
	node.suspicionVersion++
	d.missingNodes++
	d.updateTable(now, node)
	d.requestSweep(now)
}

// updateTable applies a node's current state to the table.
func (d *FailureDetector) updateTable(now int64, node *trackedNode) {
	update := node.member
	update.SuspicionVersion = node.suspicionVersion
	if !update.State.IsTerminal() && (node.isSuspect || node.missingSince != 0) {
		update.State = Suspect
	}
	d.table.ApplyUpdate(now, update)
}

// RecordPingResult records whether a node that DuePings returned has answered its ping.
func (d *FailureDetector) RecordPingResult(now int64, nodeName string, answered bool) {
	node := d.nodes[nodeName]
	if node == nil {
		return
	}
	sentAt := node.pingSentAt
	node.pingSentAt = 0
	if answered {
		d.recordAnswer(now, node, sentAt)
	} else {
		d.recordFailedPing(now, node, sentAt)
	}
	d.declareDead(now)
}

func (d *FailureDetector) recordAnswer(now int64, node *trackedNode, sentAt int64) {
	node.sweptAt, node.failedPings = max(node.sweptAt, sentAt), 0
	if node.isSuspect {
		node.isSuspect = false
		node.suspicionVersion++
		d.updateTable(now, node)
	}
	if node.missingSince != 0 { // it is running: either the gossip library soon reports it alive again, or later pings fail
		node.missingSince, node.retryPingAt = max(1, now), now+PingInterval
	}
}

func (d *FailureDetector) recordFailedPing(now int64, node *trackedNode, sentAt int64) {
	node.failedPings++
	if node.failedPings < maxFailedPings {
		node.retryPingAt = now
		return
	}
	node.sweptAt = max(node.sweptAt, sentAt)
	if node.missingSince == 0 { // for a missing node, the gossip library reports when it is back
		node.retryPingAt = now + PingInterval<<min(maxPingBackoffDoublings, node.failedPings-maxFailedPings)
	}
	if !node.isSuspect {
		node.isSuspect, d.hasNewSuspect = true, true
		node.suspicionVersion++
		d.updateTable(now, node)
	}
	if node.missingSince > d.sweepRequestedAt { // it answered after the last sweep was requested; only a later sweep can declare it dead
		d.requestSweep(now)
	}
}

// Tick repeats sweeps and declares missing nodes dead when that is due. It has to be called ten times a second. After a
// pause longer than MaxDetectorStaleness, for example while the process was stopped or had no processor time, no other voter
// counts until a new sweep has ended.
func (d *FailureDetector) Tick(now int64) {
	if d.lastTickAt != 0 && now-d.lastTickAt > MaxDetectorStaleness {
		d.isStale = true
		d.requestSweep(now)
	}
	d.lastTickAt = now
	d.isStale = d.isStale && d.isSweeping()
	if !d.isStale {
		d.table.MarkDetectorCurrent(now)
	}
	// A sweep may have counted answers from just before a partition, so a sweep that found suspects is repeated.
	if d.hasNewSuspect && now >= d.sweepRequestedAt+sweepReuseTime && !d.isSweeping() {
		d.hasNewSuspect, d.sweepRequestedAt = false, now
	}
	d.declareDead(now)
}

// declareDead declares dead the missing nodes that have not answered the last sweep. It does so only with a majority:
// otherwise an instance in a minority would report all others as dead when the partition heals.
func (d *FailureDetector) declareDead(now int64) {
	if d.missingNodes == 0 || d.isSweeping() || !d.table.HasMajority(now) {
		return
	}
	for _, nodeName := range slices.Sorted(maps.Keys(d.nodes)) {
		node := d.nodes[nodeName]
		if node.missingSince == 0 || d.sweepRequestedAt < node.missingSince || node.isVoter && node.failedPings < maxFailedPings {
			continue
		}
		update := node.member
		update.State = Dead
		d.table.ApplyUpdate(now, update)
		d.missingNodes--
		delete(d.nodes, nodeName)
	}
}

// RejectedNode is a node whose incarnation has ended in the table, with the updates that make it take a new one.
type RejectedNode struct {
	NodeName          string
	EndedIncarnations []Member
}

// RejectedNodes returns the nodes that the gossip library reports as alive although in the table their incarnation, or a
// later one of their name, has ended. They are sorted by node name. The caller sends them the updates.
func (d *FailureDetector) RejectedNodes() (rejected []RejectedNode) {
	for nodeName, node := range d.nodes {
		if node.missingSince == 0 && d.table.RequiresNewIncarnation(node.member.Name, node.member.Incarnation) {
			rejected = append(rejected, RejectedNode{nodeName, d.table.EndedIncarnations(node.member.Name)})
		}
	}
	slices.SortFunc(rejected, func(a, b RejectedNode) int { return cmp.Compare(a.NodeName, b.NodeName) })
	return rejected
}

// NodeName returns the node name of a member's latest incarnation that the gossip library reports as alive, empty if there
// is none.
func (d *FailureDetector) NodeName(memberName string) (nodeName string) {
	var latest *trackedNode
	for _, candidateName := range slices.Sorted(maps.Keys(d.nodes)) {
		candidate := d.nodes[candidateName]
		if candidate.member.Name != memberName || candidate.missingSince != 0 {
			continue
		}
		if latest == nil || candidate.member.Incarnation > latest.member.Incarnation {
			nodeName, latest = candidateName, candidate
		}
	}
	return nodeName
}

// IsTracked reports whether the failure detector knows a node.
func (d *FailureDetector) IsTracked(nodeName string) bool { return d.nodes[nodeName] != nil }

// IsPresent reports whether the failure detector knows a node and the gossip library reports it as alive.
func (d *FailureDetector) IsPresent(nodeName string) bool {
	node := d.nodes[nodeName]
	return node != nil && node.missingSince == 0
}
