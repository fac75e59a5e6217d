package gossip

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/cluster/membership"
)

// awaitTimeout is how long a test waits for an expected event; no assertion depends on how soon it happens.
const awaitTimeout = 40 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	leak := goleak.Find()
	for deadline := time.Now().Add(awaitTimeout); leak != nil && time.Now().Before(deadline); { // memberlist's last probe may still be ending
		leak = goleak.Find()
	}
	if code == 0 && leak != nil {
		fmt.Fprintln(os.Stderr, leak)
		code = 1
	}
	os.Exit(code)
}

// testNetwork partitions addresses into groups: what is sent between two groups is dropped.
type testNetwork struct {
	mu     sync.Mutex
	groups map[string]int // by address
}

func newTestNetwork() *testNetwork { return &testNetwork{groups: map[string]int{}} }

// dropsFrom returns the Options.ShouldDrop of the node with the address in from.
func (w *testNetwork) dropsFrom(from *atomic.Value) func(string) bool {
	return func(to string) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		addr, _ := from.Load().(string)
		return w.groups[addr] != w.groups[to]
	}
}

func (w *testNetwork) moveToGroup(n *Node, group int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.groups[addrOf(n)] = group
}

func addrOf(n *Node) string { return n.Membership().Self().Addr }

// startNode starts a node that is closed at the end of the test; modify may change its options, or be nil.
func startNode(t *testing.T, network *testNetwork, name string, voters []string, modify func(*Options)) *Node {
	var addr atomic.Value
	options := Options{
		Self: membership.Member{Name: name, Region: "r", Zone: "z"}, Voters: voters,
		ListenAddr: "127.0.0.1:0", ShouldDrop: network.dropsFrom(&addr),
	}
	if modify != nil {
		modify(&options)
	}
	n, err := Start(t.Context(), options)
	require.NoError(t, err)
	addr.Store(addrOf(n))
	t.Cleanup(n.Close)
	return n
}

// startCluster starts nodes with these names, all of them voters, and waits until each sees all others as alive.
func startCluster(t *testing.T, network *testNetwork, names ...string) (nodes []*Node) {
	for _, name := range names {
		nodes = append(nodes, startNode(t, network, name, names, func(o *Options) {
			if len(nodes) > 0 {
				o.JoinAddrs = []string{addrOf(nodes[0])}
			}
		}))
	}
	awaitAllAlive(t, nodes...)
	return nodes
}

func awaitAllAlive(t *testing.T, nodes ...*Node) {
	t.Helper()
	for _, n := range nodes {
		await(t, "all voters are alive", func() bool {
			alive, total := n.Membership().CountAliveVoters(0)
			return alive == total
		})
	}
}

// await waits until condition is true and fails the test after awaitTimeout; what describes the condition.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, awaitTimeout, 20*time.Millisecond, what)
}

// unknownState is what stateOf returns for a member that a node does not know.
const unknownState membership.State = -1

func stateOf(n *Node, name string) membership.State {
	for _, m := range n.Membership().Members() {
		if m.Name == name {
			return m.State
		}
	}
	return unknownState
}

// logBuffer is an io.Writer for a log that a test reads while nodes write to it.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
