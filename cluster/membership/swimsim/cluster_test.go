package swimsim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/membership"
)

// partitionOff returns an IsPartitioned function that cuts one instance off from all others.
func partitionOff(isolated int) func(from, to int) bool {
	return func(from, to int) bool { return (from == isolated) != (to == isolated) }
}

// An instance that is cut off from a large cluster must lose its majority within seconds and declare no instance dead,
// while the others declare it dead. The gossip library's own probes, one node after the other, would need half a minute.
func TestIsolatedInstanceLosesItsMajorityWithinSeconds(t *testing.T) {
	c := NewCluster(1, 60)
	c.RunUntil(10 * Second)
	for _, i := range c.Instances {
		alive, _ := i.Table.CountAliveVoters(c.Now)
		require.Equal(t, 60, alive)
	}
	c.IsPartitioned = partitionOff(7)
	c.RunUntil(13 * Second)
	require.False(t, c.Instances[7].Table.HasMajority(c.Now), "the gossip library's own probes would need half a minute")
	c.RunUntil(20 * Second)
	for _, m := range c.Instances[7].Table.Members() {
		require.NotEqual(t, membership.Dead, m.State)
	}
	state, _ := c.Instances[0].Table.IncarnationState(InstanceName(7), c.Instances[7].Table.Self().Incarnation)
	require.Equal(t, membership.Dead, state)
}

// An instance that was paused and partitioned meanwhile must not report a majority from results of before the pause, neither
// before its first timer fires nor later while the partition lasts.
func TestResumedInstanceHasNoMajorityUntilItHasPingedTheOthers(t *testing.T) {
	c := NewCluster(2, 5)
	c.RunUntil(6 * Second)
	require.True(t, c.Instances[3].Table.HasMajority(c.Now))
	c.Pause(3)
	c.RunUntil(7 * Second)
	c.IsPartitioned = partitionOff(3)
	c.RunUntil(20 * Second)
	require.False(t, c.Instances[3].Table.HasMajority(c.Now), "before its first timer fires")
	c.Resume(3)
	c.OnStep = func(at int64, c *Cluster) { require.False(t, c.Instances[3].Table.HasMajority(at)) }
	c.RunUntil(30 * Second)
	c.IsPartitioned, c.OnStep = nil, nil
	c.RunUntil(36 * Second)
	require.True(t, c.Instances[3].Table.HasMajority(c.Now))
}
