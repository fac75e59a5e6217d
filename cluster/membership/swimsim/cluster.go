// Package swimsim simulates a cluster on one clock: instances with the tables and failure detectors of package membership,
// over a model of the gossip library's protocol (SWIM) and a network that loses and delays packets and can be partitioned.
// It has no I/O. Tests and the benchmark use it for thousands of fault histories and for 300 instances, for which real
// sockets on one machine would be too slow. A cluster and its instances are not safe for concurrent use.
package swimsim

import (
	"container/heap"
	"fmt"
	"math/rand"

	"chalkring/cluster/membership"
)

// Times are in ticks of the cluster's clock, which are tenths of a millisecond.
const (
	ticksPerMillisecond = 10
	// Second is a second of the cluster's clock.
	Second = 1000 * ticksPerMillisecond

	defaultMaxLatency = 40 * ticksPerMillisecond
	// stepInterval is the time between an instance's steps, as in package gossip, and between calls of OnStep.
	stepInterval = 100 * ticksPerMillisecond
	// incarnationStep is the distance between the incarnations of two starts. An instance that refutes its end takes one of
	// the numbers between them.
	incarnationStep = 1000
)

// Cluster is the clock, the network and the instances.
type Cluster struct {
	Now           int64
	PacketLoss    float64                    // share of packets lost, 0 to 1; connections lose nothing
	MaxLatency    int64                      // longest one-way delay
	IsPartitioned func(from, to int) bool    // by instance index, for one direction; nil if there is no partition
	Instances     []*Instance                // by index, each in its latest incarnation
	OnStep        func(at int64, c *Cluster) // called every 100 ms; may be nil

	rng             *rand.Rand
	events          eventQueue
	lastSequence    int
	voters          []string
	lastIncarnation int64
}

// NewCluster returns a cluster with size running instances. All are voters and have the first few as join addresses.
func NewCluster(seed int64, size int) *Cluster {
	c := &Cluster{rng: rand.New(rand.NewSource(seed)), MaxLatency: defaultMaxLatency}
	for index := range size {
		c.voters = append(c.voters, InstanceName(index))
	}
	for index := range size {
		c.Instances = append(c.Instances, nil)
		c.Start(index)
	}
	return c
}

// InstanceName returns the name of an instance.
func InstanceName(index int) string { return fmt.Sprintf("n%03d", index) }

// Converge makes all instances know each other with no broadcast pending, as in a cluster that has run for a long time.
func (c *Cluster) Converge() {
	for _, i := range c.Instances {
		for _, other := range c.Instances {
			if other != i {
				i.applyAlive(broadcast{nodeName: other.NodeName, member: other.published, index: other.Index, state: membership.Alive})
			}
		}
		i.broadcasts = nil
	}
}

// Start starts a new incarnation of an instance, which must not be running.
func (c *Cluster) Start(index int) {
	c.lastIncarnation += incarnationStep
	self := membership.Member{Name: InstanceName(index), Incarnation: uint64(c.lastIncarnation), Addr: fmt.Sprint("addr-", index)}
	i := newInstance(c, index, self)
	c.Instances[index] = i
	i.startTimers()
}

// Kill ends an instance as SIGKILL does.
func (c *Cluster) Kill(index int) {
	c.Instances[index].Running, c.Instances[index].Paused = false, false
}

// Leave shuts an instance down after it has told the others that it leaves.
func (c *Cluster) Leave(index int) {
	i := c.Instances[index]
	i.Table.Leave(c.Now)
	i.publishSelf()
	update := membership.Member{Name: i.published.Name, Incarnation: i.published.Incarnation, State: membership.Left}
	for _, nodeName := range i.nodeNames {
		if n := i.nodes[nodeName]; n != nil && n.state != membership.Dead {
			i.sendPacket(n.index, pingBytes, func(to *Instance) { to.Table.ApplyUpdate(c.Now, update) })
		}
	}
	i.gossip()
	c.schedule(gossipInterval, func() { i.gossip(); i.Running = false })
}

// Pause stops an instance as SIGSTOP does. Packets that arrive at it meanwhile are lost.
func (c *Cluster) Pause(index int) { c.Instances[index].Paused = true }

// Resume continues a paused instance. Its timers that came due meanwhile fire at once.
func (c *Cluster) Resume(index int) {
	i := c.Instances[index]
	if !i.Paused {
		return
	}
	i.Paused = false
	overdue := i.overdueTimers
	i.overdueTimers = nil
	for _, callback := range overdue {
		if i.Running {
			callback()
		}
	}
}

// RunUntil runs the simulation up to a time on its clock.
func (c *Cluster) RunUntil(until int64) {
	for nextStep := c.Now; len(c.events) > 0 && c.events[0].at <= until; {
		next := heap.Pop(&c.events).(event)
		for ; c.OnStep != nil && nextStep <= next.at; nextStep += stepInterval {
			c.Now = nextStep
			c.OnStep(nextStep, c)
		}
		c.Now = next.at
		next.run()
	}
	c.Now = until
}

// schedule calls run after a delay.
func (c *Cluster) schedule(delay int64, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{c.Now + delay, c.lastSequence, run})
}
