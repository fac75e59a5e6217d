package swimsim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// detectionTime is the time within which all instances detect a fault, even with packet loss.
const detectionTime = 8 * Second

// history is a run of a small cluster with random faults, with the incarnations that its instances have reported so far.
type history struct {
	cluster     *Cluster
	groups      []int  // by instance index; packets are lost between groups
	cutLink     [2]int // indexes from and to: all packets in this one direction are lost
	lastFaultAt int64
	highest     map[string]uint64 // by observer and member: highest incarnation seen
	hasEnded    map[string]bool   // by observer and incarnation: whether it was seen as ended
}

var noLink = [2]int{-1, -1}

func newHistory(t *rapid.T) *history {
	size := rapid.IntRange(3, 7).Draw(t, "instances")
	h := &history{
		cluster: NewCluster(rapid.Int64().Draw(t, "seed"), size), groups: make([]int, size), cutLink: noLink,
		highest: map[string]uint64{}, hasEnded: map[string]bool{},
	}
	h.cluster.PacketLoss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
	h.cluster.IsPartitioned = func(from, to int) bool {
		return h.groups[from] != h.groups[to] || h.cutLink == [2]int{from, to}
	}
	h.cluster.OnStep = func(at int64, _ *Cluster) { h.checkInstances(t, at) }
	return h
}

// checkInstances checks what must hold at any time: no majority in a minority's group, no return of old or ended incarnations
// and no name conflict.
func (h *history) checkInstances(t *rapid.T, at int64) {
	for _, i := range h.cluster.Instances {
		if !i.Running || i.Paused {
			continue
		}
		groupSize := h.groupSize(i)
		if at-h.lastFaultAt > detectionTime && 2*groupSize <= len(h.groups) {
			require.False(t, i.Table.HasMajority(at), "%s reports a majority but its group has %d of %d instances", i.NodeName, groupSize, len(h.groups))
		}
		h.checkIncarnations(t, i)
		require.Empty(t, i.Table.NameConflicts())
	}
}

// groupSize returns how many instances run in an instance's group, itself included.
func (h *history) groupSize(i *Instance) (size int) {
	for _, other := range h.cluster.Instances {
		if other.Running && !other.Paused && h.groups[other.Index] == h.groups[i.Index] {
			size++
		}
	}
	return size
}

func (h *history) checkIncarnations(t *rapid.T, observer *Instance) {
	for _, m := range observer.Table.Members() {
		member := observer.NodeName + "'s record of " + m.Name
		require.GreaterOrEqual(t, m.Incarnation, h.highest[member], "%s: an older incarnation replaced a newer one", member)
		h.highest[member] = m.Incarnation
		incarnation := fmt.Sprint(member, m.Incarnation)
		require.False(t, h.hasEnded[incarnation] && !m.State.IsTerminal(), "%s: an ended incarnation is alive again", incarnation)
		h.hasEnded[incarnation] = m.State.IsTerminal()
	}
}

// applyRandomFault applies or ends a random fault and runs the cluster for a random time.
func (h *history) applyRandomFault(t *rapid.T) {
	c := h.cluster
	index := rapid.IntRange(0, len(h.groups)-1).Draw(t, "instance")
	faults := []string{"partition", "partition", "kill", "start", "leave", "heal", "cut link", "pause", "resume"}
	switch rapid.SampledFrom(faults).Draw(t, "fault") {
	case "partition":
		for k := range h.groups {
			h.groups[k] = rapid.IntRange(0, 2).Draw(t, "group")
		}
	case "kill":
		c.Kill(index)
	case "leave":
		if c.Instances[index].Running && !c.Instances[index].Paused {
			c.Leave(index)
		}
	case "start":
		c.Kill(index)
		c.Start(index)
	case "heal":
		clear(h.groups)
	case "pause":
		c.Pause(index)
	case "resume":
		c.Resume(index)
	case "cut link":
		h.cutLink = [2]int{index, rapid.IntRange(0, len(h.groups)-1).Draw(t, "to")}
	}
	h.lastFaultAt = c.Now
	c.RunUntil(c.Now + rapid.Int64Range(Second, 20*Second).Draw(t, "duration"))
}

// endFaults ends all faults and starts the instances that are not running.
func (h *history) endFaults() {
	clear(h.groups)
	h.lastFaultAt, h.cluster.PacketLoss, h.cutLink = h.cluster.Now, 0, noLink
	for index, i := range h.cluster.Instances {
		h.cluster.Resume(index)
		if !i.Running {
			h.cluster.Start(index)
		}
	}
}

// checkConverged checks that all instances see all others as alive and with the same incarnations.
func (h *history) checkConverged(t *rapid.T) {
	expected := h.cluster.Instances[0].Table.Members()
	for _, i := range h.cluster.Instances {
		alive, _ := i.Table.CountAliveVoters(h.cluster.Now)
		require.Equal(t, len(h.groups), alive, "%s: alive voters after all faults have ended", i.NodeName)
		for _, m := range i.Table.Members() {
			require.Equal(t, expected[indexOf(h.cluster, m.Name)].Incarnation, m.Incarnation, "all tables have the same incarnations")
		}
	}
}

func indexOf(c *Cluster, name string) int {
	for index := range c.Instances {
		if InstanceName(index) == name {
			return index
		}
	}
	return -1
}

// Whatever faults happen, in whatever order, an instance in a minority must not report a majority once detectionTime has
// passed, and no old or ended incarnation may return. Once all faults have ended the tables must become equal.
func TestRandomFaultsGiveNoMinorityAMajorityAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.cluster.RunUntil(5 * Second)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			h.applyRandomFault(t)
		}
		h.endFaults()
		h.cluster.RunUntil(h.cluster.Now + 20*Second)
		h.checkConverged(t)
	})
}
