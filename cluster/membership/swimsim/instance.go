package swimsim

import (
	"fmt"
	"math"
	"math/rand"

	"chalkring/cluster/membership"
)

// Settings with which package gossip drives the failure detector and joins absent instances.
const (
	joinInterval    = Second
	maxJoinsAtOnce  = 3
	seedInstances   = 3 // number of instances that all others have as join addresses
	rejectInterval  = 500 * ticksPerMillisecond
	publishInterval = Second // between repeated broadcasts while another instance may know only an ended incarnation of this one
)

// Instance is one simulated incarnation of a process.
type Instance struct {
	Index     int
	NodeName  string
	Running   bool
	Paused    bool // stopped by SIGSTOP
	Table     *membership.Table
	BytesSent int64

	cluster         *Cluster
	detector        *membership.FailureDetector
	nodes           map[string]*node // by node name
	nodeNames       []string         // keys of nodes, in the order in which they were added
	probeRound      []string         // names of the nodes still to be probed in this round
	swimIncarnation uint32           // of this instance's node
	broadcasts      []*broadcast     // pending
	published       membership.Member
	publishedAt     int64
	mustRepublish   bool           // another instance may know only an ended incarnation of this one
	overdueTimers   []func()       // callbacks of timers that came due while it was paused
	lastIndexes     map[string]int // by member name: index at which it was last seen, standing for its address
}

func newInstance(c *Cluster, index int, self membership.Member) *Instance {
	i := &Instance{
		Index: index, NodeName: fmt.Sprintf("%s#%d", self.Name, self.Incarnation), Running: true,
		Table: membership.NewTable(self, c.voters), cluster: c,
		nodes: map[string]*node{}, lastIndexes: map[string]int{}, published: self,
	}
	i.detector = membership.NewFailureDetector(i.Table, rand.New(rand.NewSource(c.rng.Int63())))
	return i
}

func (i *Instance) startTimers() {
	i.callEvery(probeInterval, i.probe)
	i.callEvery(gossipInterval, i.gossip)
	slowdown := math.Ceil(math.Log2(float64(len(i.cluster.voters)))-pushPullSlowdownLog2) + 1
	i.callEvery(int64(max(1, slowdown))*pushPullInterval, i.pushPullRandom)
	i.callEvery(stepInterval, i.step)
	i.callEvery(joinInterval, i.join)
	i.callEvery(rejectInterval, i.notifyRejectedNodes)
}

// callAfter calls callback after a delay if the instance is running then. If it is paused then, Resume calls callback.
func (i *Instance) callAfter(delay int64, callback func()) {
	i.cluster.schedule(delay, func() {
		if i.Paused {
			i.overdueTimers = append(i.overdueTimers, callback)
		} else if i.Running {
			callback()
		}
	})
}

// callEvery calls callback after a random part of the interval, and then once per interval.
func (i *Instance) callEvery(interval int64, callback func()) {
	var repeat func()
	repeat = func() {
		callback()
		i.callAfter(interval, repeat)
	}
	i.callAfter(i.cluster.rng.Int63n(interval), repeat)
}

func (i *Instance) pushPullRandom() {
	if nodeNames := i.randomNodes(1, isAlive); len(nodeNames) > 0 {
		i.pushPull(i.nodes[nodeNames[0]].index)
	}
}

// step does what package gossip does ten times a second: it sends the pings that are due and broadcasts changes of this
// instance.
func (i *Instance) step() {
	now := i.cluster.Now
	i.detector.Tick(now)
	for _, nodeName := range i.detector.DuePings(now) {
		n := i.nodes[nodeName]
		if n == nil { // the gossip library has removed it
			i.detector.RecordPingResult(now, nodeName, false)
			continue
		}
		i.ping(nodeName, n.index, func(answered bool) {
			i.detector.RecordPingResult(i.cluster.Now, nodeName, answered)
		})
	}
	self := i.Table.Self()
	hasChanged := self.Incarnation != i.published.Incarnation || !self.EqualMetadata(i.published)
	if hasChanged || i.mustRepublish && now-i.publishedAt >= publishInterval {
		i.mustRepublish, i.publishedAt = false, now
		i.publishSelf()
	}
}

func (i *Instance) publishSelf() {
	i.published = i.Table.Self()
	i.swimIncarnation++
	i.broadcastSelf()
}

// notifyRejectedNodes tells the instances whose incarnation has ended in this instance's table that they need a new one.
func (i *Instance) notifyRejectedNodes() {
	for _, rejected := range i.detector.RejectedNodes() {
		i.sendPacket(i.nodes[rejected.NodeName].index, pingBytes, func(to *Instance) {
			for _, update := range rejected.EndedIncarnations {
				to.Table.ApplyUpdate(i.cluster.Now, update)
			}
			to.mustRepublish = true
		})
	}
}

// join exchanges state with some of the absent instances: join addresses and voters seen before.
func (i *Instance) join() {
	isExcluded := map[int]bool{i.Index: true}
	for _, nodeName := range i.nodeNames {
		if i.detector.IsPresent(nodeName) {
			isExcluded[i.nodes[nodeName].index] = true
		}
	}
	var absent []int
	for index := range min(seedInstances, len(i.cluster.Instances)) {
		if !isExcluded[index] {
			isExcluded[index], absent = true, append(absent, index)
		}
	}
	for _, name := range i.cluster.voters {
		if index, seen := i.lastIndexes[name]; seen && !isExcluded[index] {
			isExcluded[index], absent = true, append(absent, index)
		}
	}
	i.cluster.rng.Shuffle(len(absent), func(a, b int) { absent[a], absent[b] = absent[b], absent[a] })
	for _, index := range absent[:min(len(absent), maxJoinsAtOnce)] {
		i.pushPull(index)
	}
}
