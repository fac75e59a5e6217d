package gossip

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/membership"
)

const testTopic = 9

// twoClusters holds the clusters of two customers: a and b, and c and d. They use one key and have each other's addresses.
type twoClusters struct {
	nodes    map[string]*Node
	logs     map[string]*logBuffer
	received chan string // sender and body of each message
}

func startTwoClusters(t *testing.T) *twoClusters {
	clusters := &twoClusters{nodes: map[string]*Node{}, logs: map[string]*logBuffer{}, received: make(chan string, 16)}
	network := newTestNetwork()
	start := func(name, tenant string, voters []string, join ...string) {
		log := &logBuffer{}
		clusters.logs[name] = log
		n := startNode(t, network, name, voters, func(o *Options) {
			o.Key, o.Logger = bytes.Repeat([]byte{7}, 32), slog.New(slog.NewTextHandler(log, nil))
			o.Identity = membership.NewIdentity("", []string{tenant, "other"})
			for _, other := range join {
				o.JoinAddrs = append(o.JoinAddrs, addrOf(clusters.nodes[other]))
			}
		})
		n.Handle(testTopic, func(from string, body []byte) { clusters.received <- from + " " + string(body) })
		clusters.nodes[name] = n
	}
	acme, globex := []string{"a", "b"}, []string{"c", "d"}
	start("a", "acme", acme)
	start("c", "globex", globex, "a")
	start("b", "acme", acme, "a", "c")
	start("d", "globex", globex, "c", "b")
	return clusters
}

// Clusters of two customers that use the same key and have each other's addresses must not merge: their state would be mixed.
// Each must reject the other's members and messages, and log this at a limited rate.
func TestClustersOfTwoCustomersRejectEachOther(t *testing.T) {
	t.Parallel()
	clusters := startTwoClusters(t)
	a, b, c := clusters.nodes["a"], clusters.nodes["b"], clusters.nodes["c"]
	for name, n := range clusters.nodes {
		awaitAllAlive(t, n)
		await(t, "the other cluster is rejected", func() bool {
			return strings.Contains(clusters.logs[name].String(), "msg="+eventForeignInstance)
		})
	}
	// c sends to an address that a member of its own cluster used before and a uses now: the message arrives and is dropped.
	addr := netip.MustParseAddrPort(addrOf(a))
	receiver := &memberlist.Node{Name: a.nodeName, Addr: addr.Addr().AsSlice(), Port: addr.Port()}
	require.NoError(t, c.list.SendReliable(receiver, encodeMessage(testTopic, c.Membership().Self(), []byte("foreign"))))
	time.Sleep(acceptTimeout + joinInterval) // attempts to join are repeated during this time
	require.NoError(t, b.Send(t.Context(), "a", testTopic, []byte("own")))
	select {
	case message := <-clusters.received:
		require.Equal(t, "b own", message)
	case <-time.After(awaitTimeout):
		t.Fatal("no message from the own cluster arrived")
	}
	for name, n := range clusters.nodes {
		for other := range clusters.nodes {
			if !n.Membership().IsVoter(other) {
				require.Equal(t, unknownState, stateOf(n, other), "state of foreign instance %s at %s", other, name)
				require.Error(t, n.Send(t.Context(), other, testTopic, nil))
			}
		}
	}
	for _, log := range clusters.logs {
		lines := strings.Count(log.String(), "msg="+eventForeignInstance)
		require.LessOrEqual(t, lines, int(time.Since(a.startedAt)/foreignLogInterval)+1)
		require.Contains(t, log.String(), "fleet.join")
	}
}

// An instance that has no identity, as in older versions, or has an added tenant must not be rejected as foreign, else a
// cluster would split during an upgrade.
func TestInstancesWithoutIdentityBelongToTheCluster(t *testing.T) {
	t.Parallel()
	network := newTestNetwork()
	voters := []string{"a", "b", "c"}
	identities := []membership.Identity{
		membership.NewIdentity("live", []string{"acme"}), {}, membership.NewIdentity("", []string{"acme", "globex"}),
	}
	var nodes []*Node
	for i, identity := range identities {
		nodes = append(nodes, startNode(t, network, voters[i], voters, func(o *Options) {
			if o.Identity = identity; i > 0 {
				o.JoinAddrs = []string{addrOf(nodes[0])}
			}
		}))
	}
	awaitAllAlive(t, nodes...)
}
