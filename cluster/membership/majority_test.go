package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Only alive voters count towards a majority: neither other members nor suspects. An instance that has left must not report a
// majority. A delayed suspicion must not override its refutation.
func TestMajorityNeedsMoreThanHalfOfTheVoters(t *testing.T) {
	table := newTestTable("b")
	alive, total := table.CountAliveVoters(1)
	require.Equal(t, []any{2, 5, false}, []any{alive, total, table.HasMajority(1)})
	table.ApplyUpdate(2, member("x", 1, Alive))
	require.False(t, table.HasMajority(2), "a member that is not a voter does not count")
	table.ApplyUpdate(2, member("c", 1, Alive))
	require.True(t, table.HasMajority(2))
	suspected := member("c", 1, Suspect)
	suspected.SuspicionVersion = 1
	table.ApplyUpdate(3, suspected)
	require.False(t, table.HasMajority(3), "a suspect voter does not count")
	require.Equal(t, int64(3), table.Members()[2].StateSince)
	refuted := member("c", 1, Alive)
	refuted.SuspicionVersion = 2
	table.ApplyUpdate(4, refuted)
	require.False(t, table.ApplyUpdate(4, suspected), "a suspicion that arrives after its refutation")
	require.True(t, table.HasMajority(4))
	table.Leave(5)
	require.False(t, table.HasMajority(5))
	require.False(t, NewTable(member("a", 1, Alive), nil).HasMajority(1), "without voters there is no majority")
}

// A name that two instances claim must not count as a voter on either of them, else both could be part of a majority. The
// conflict ends when one of the two ends.
func TestConflictingNameDoesNotCountAsVoter(t *testing.T) {
	table := newTestTable("b", "c")
	other := member("b", 12, Alive)
	other.Addr = "b:2"
	require.True(t, table.ApplyUpdate(2, other))
	require.Equal(t, []string{"b"}, table.NameConflicts())
	alive, _ := table.CountAliveVoters(2)
	require.Equal(t, 2, alive)
	require.True(t, table.ApplyUpdate(3, member("b", 10, Dead)), "one of the two instances ends")
	require.Empty(t, table.NameConflicts())
	require.True(t, table.HasMajority(3))

	claimant := member("a", 99, Alive)
	claimant.Addr = "a:2"
	table.ApplyUpdate(4, claimant)
	require.Equal(t, []string{"a"}, table.NameConflicts())
	require.False(t, table.HasMajority(4), "neither of the two instances reports a majority")
	require.Equal(t, uint64(10), table.Self().Incarnation, "neither takes an incarnation above the other's")
	table.ApplyUpdate(5, Member{Name: "a", Incarnation: 99, State: Dead})
	require.Equal(t, uint64(100), table.Self().Incarnation)
	require.True(t, table.HasMajority(5))

	secondProcess := table.Self()
	secondProcess.Addr = "a:3"
	table.ApplyUpdate(6, secondProcess)
	require.Equal(t, []string{"a"}, table.NameConflicts(), "one incarnation at two addresses")
}
