package gossip

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/membership"
	"chalkring/internal/advice"
)

// On real sockets, a minority must lose its majority and declare no instance dead, while the majority declares the minority
// dead. After the partition the minority must return with new incarnations. A kill, a restart and leaving must then be
// detected as such.
func TestPartitionedMinorityReturnsWithNewIncarnations(t *testing.T) {
	t.Parallel()
	network := newTestNetwork()
	nodes := startCluster(t, network, "a", "b", "c", "d", "e")
	previous := nodes[4].Membership().Self().Incarnation
	network.moveToGroup(nodes[3], 1)
	network.moveToGroup(nodes[4], 1)
	await(t, "a minority has no majority", func() bool { return !nodes[3].Membership().HasMajority(0) && !nodes[4].Membership().HasMajority(0) })
	await(t, "the others declare them dead", func() bool {
		return stateOf(nodes[0], "d") == membership.Dead && stateOf(nodes[0], "e") == membership.Dead
	})
	require.True(t, nodes[0].Membership().HasMajority(0))
	require.NotEqual(t, membership.Dead, stateOf(nodes[4], "a"), "a minority declares nobody dead")
	network.moveToGroup(nodes[3], 0)
	network.moveToGroup(nodes[4], 0)
	awaitAllAlive(t, nodes...)
	require.Greater(t, nodes[4].Membership().Self().Incarnation, previous, "a new incarnation")
	require.Empty(t, nodes[0].Membership().NameConflicts())

	killed := nodes[1].Membership().Self()
	nodes[1].Close()
	await(t, "a killed instance is declared dead", func() bool { return stateOf(nodes[0], "b") == membership.Dead })
	restarted := startNode(t, network, "b", []string{"a", "b", "c", "d", "e"}, func(o *Options) {
		o.ListenAddr, o.JoinAddrs = killed.Addr, []string{addrOf(nodes[2])}
	})
	await(t, "a restarted instance is alive", func() bool { return stateOf(nodes[0], "b") == membership.Alive })
	_ = restarted.Leave(context.Background()) // on a busy machine it may report that the others have not been told yet
	await(t, "an instance that leaves is reported as left, not dead", func() bool {
		return stateOf(nodes[0], "b") == membership.Left && stateOf(nodes[2], "b") == membership.Left
	})
}

// Two instances with one name must be reported by all instances, and the name must not count towards a majority, until one of
// the two ends. The other one then must count again.
func TestNameConflictIsSeenByAllUntilOneEnds(t *testing.T) {
	t.Parallel()
	network := newTestNetwork()
	nodes := startCluster(t, network, "a", "b", "c")
	second := startNode(t, network, "c", []string{"a", "b", "c"}, func(o *Options) { o.JoinAddrs = []string{addrOf(nodes[0])} })
	for _, n := range append(nodes, second) {
		await(t, "all instances report the conflict", func() bool {
			conflicts := n.Membership().NameConflicts()
			return len(conflicts) == 1 && conflicts[0] == "c"
		})
	}
	require.False(t, second.Membership().HasMajority(0))
	require.False(t, nodes[2].Membership().HasMajority(0))
	await(t, "the name does not count as an alive voter", func() bool { alive, _ := nodes[0].Membership().CountAliveVoters(0); return alive == 2 })
	second.Close()
	for _, n := range nodes {
		await(t, "the conflict ends with the second instance", func() bool {
			alive, _ := n.Membership().CountAliveVoters(0)
			return alive == 3 && len(n.Membership().NameConflicts()) == 0
		})
	}
	require.Greater(t, nodes[2].Membership().Self().Incarnation, second.Membership().Self().Incarnation,
		"the first instance takes an incarnation above the dead one's")
}

// Changed metadata must reach the other instances, and metadata that they would not accept must be refused with an error.
func TestUpdateSelfReachesTheOthers(t *testing.T) {
	t.Parallel()
	nodes := startCluster(t, newTestNetwork(), "a", "b")
	m := nodes[0].Membership().Self()
	m.SettingsGeneration, m.ProgramVersion, m.Capabilities = 9, "v2", []string{"rollout"}
	require.NoError(t, nodes[0].UpdateSelf(m))
	await(t, "the metadata reaches the other instance", func() bool {
		m := nodes[1].Membership().Members()[0]
		return m.SettingsGeneration == 9 && m.ProgramVersion == "v2" && len(m.Capabilities) == 1
	})
	for range 16 {
		m.Capabilities = append(m.Capabilities, string(bytes.Repeat([]byte("p"), 100)))
	}
	require.True(t, advice.HasType[*InvalidMemberError](nodes[0].UpdateSelf(m)))
	m.Capabilities = m.Capabilities[:8]
	require.True(t, advice.HasType[*MetadataTooLargeError](nodes[0].UpdateSelf(m)))
}

// A start with an address in use, or with an invalid address, key, name or metadata, must fail with advice for the operator.
func TestFailedStartsGiveAdvice(t *testing.T) {
	t.Parallel()
	occupied, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer occupied.Close()
	longText := string(make([]byte, 200))
	for _, options := range []Options{
		{ListenAddr: occupied.LocalAddr().String()},
		{ListenAddr: "here"},
		{ListenAddr: "0.0.0.0:1"},
		{ListenAddr: "127.0.0.1:0", Key: []byte("x")},
		{ListenAddr: "127.0.0.1:0", Self: membership.Member{Name: ""}},
		{ListenAddr: "127.0.0.1:0", Self: membership.Member{Name: "n", Zone: longText, Region: longText, ProgramVersion: longText}},
	} {
		_, err := Start(t.Context(), options)
		require.Error(t, err)
		require.NotEmpty(t, advice.For(err), "%v", err)
	}
	_, err = Start(t.Context(), Options{ListenAddr: occupied.LocalAddr().String()})
	require.True(t, advice.HasType[*AddressInUseError](err), "%v", err)
}

// An instance with another key must be kept out and logged as a key mismatch, while instances that have both keys during a
// key change must see each other.
func TestNodeWithAnotherKeyIsRejectedAndLogged(t *testing.T) {
	t.Parallel()
	network, log := newTestNetwork(), &logBuffer{}
	key := func(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }
	voters := []string{"a", "b", "c"}
	a := startNode(t, network, "a", voters, func(o *Options) { o.Key, o.Logger = key(1), slog.New(slog.NewTextHandler(log, nil)) })
	join := []string{addrOf(a)}
	b := startNode(t, network, "b", voters, func(o *Options) { o.Key, o.JoinAddrs = key(2), join })
	c := startNode(t, network, "c", voters, func(o *Options) { o.Key, o.OldKeys, o.JoinAddrs = key(1), [][]byte{key(2)}, join })
	await(t, "nodes with a common key see each other", func() bool {
		return stateOf(a, "c") == membership.Alive && stateOf(c, "a") == membership.Alive
	})
	await(t, "the key mismatch is logged", func() bool { return strings.Contains(log.String(), "msg="+eventKeyMismatch) })
	require.Equal(t, unknownState, stateOf(a, "b"))
	require.Equal(t, unknownState, stateOf(b, "a"))
}
