package swimsim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/membership"
)

// partitionOff cuts one instance off from all others.
func partitionOff(isolated int) func(from, to int) bool {
	return func(from, to int) bool { return (from == isolated) != (to == isolated) }
}

func TestIsolatedInstanceLosesItsMajorityWithinSeconds(t *testing.T) {
	c := NewCluster(1, 60)
	c.RunUntil(10 * Second)
	for _, i := range c.Instances {
		alive, _ := i.Table.CountAliveVoters(c.Now)
		require.Equal(t, 60, alive)
	}
	c.IsPartitioned = partitionOff(7)
	c.RunUntil(13 * Second)
	require.False(t, c.Instances[7].Table.HasMajority(c.Now), "the library alone would need half a minute")
	c.RunUntil(20 * Second)
	for _, m := range c.Instances[7].Table.Members() {
		require.NotEqual(t, membership.Dead, m.State)
	}
	state, _ := c.Instances[0].Table.IncarnationState(InstanceName(7), c.Instances[7].Table.Self().Incarnation)
	require.Equal(t, membership.Dead, state)
}

func TestResumedInstanceHasNoMajorityUntilItHasPingedTheOthers(t *testing.T) {
	c := NewCluster(2, 5)
	c.RunUntil(6 * Second)
	require.True(t, c.Instances[3].Table.HasMajority(c.Now))
	c.Pause(3)
	c.RunUntil(7 * Second)
	c.IsPartitioned = partitionOff(3)
	c.RunUntil(20 * Second)
	require.False(t, c.Instances[3].Table.HasMajority(c.Now), "before its first timer")
	c.Resume(3)
	c.OnStep = func(at int64, c *Cluster) { require.False(t, c.Instances[3].Table.HasMajority(at)) }
	c.RunUntil(30 * Second)
	c.IsPartitioned, c.OnStep = nil, nil
	c.RunUntil(36 * Second)
	require.True(t, c.Instances[3].Table.HasMajority(c.Now))
}
