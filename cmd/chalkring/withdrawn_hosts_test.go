package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/clustertest"
	"chalkring/internal/fake"
)

const (
	withdrawalTimeout = 80 * time.Second
	withdrawalGrace   = 2 * time.Second        // Safety.DrainGrace of clustertest's settings
	withdrawalSlack   = 200 * time.Millisecond // 50 ms on sockets, 150 ms for a process that is held up
	withdrawalWatch   = 2 * time.Second        // time after the grace in which withdrawn hosts are watched
	withdrawalRate    = 40                     // searches a second
)

// withdrawalHosts has all hosts of two neighboring cells, which hold block set 3 alone, and one host whose sets others hold, too.
var withdrawalHosts = []string{"h30", "h31", "h40", "h41", "h00"}

// withdrawalCluster is one process with a store and a host file, and sixteen hosts.
type withdrawalCluster struct {
	t *testing.T
	*clustertest.Cluster
	ctx context.Context
}

func startWithdrawalCluster(t *testing.T, program string, eventLoops int) *withdrawalCluster {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawalTimeout)
	t.Cleanup(cancel)
	config := clustertest.Config{Seed: 1, ProgramPath: program, Instances: []clustertest.Instance{{Name: "a", Region: "east", Zone: "east-1"}}}
	for cell := range clustertest.BlockCount {
		for i := range 2 {
			config.Hosts = append(config.Hosts, clustertest.Host{ID: fmt.Sprintf("h%d%d", cell, i), Zone: "east-1", Cell: cell})
		}
	}
	config.InstallationFile = func(clustertest.InstanceAddresses) string {
		return fmt.Sprintf("store: kept.db\nmembers: {files: [hosts.yaml]}\nowners: %d\n", eventLoops)
	}
	cluster, err := clustertest.New(ctx, config)
	require.NoError(t, err)
	t.Cleanup(func() { cluster.Close() })
	c := &withdrawalCluster{t, cluster, ctx}
	c.writeHostFile(nil, "")
	require.NoError(t, c.WaitLogged(ctx, "a", "event=host_file path=", 1))
	return c
}

// writeHostFile lists all hosts; of those in ids the state is another, or they are left out where it is empty.
func (c *withdrawalCluster) writeHostFile(ids []string, state string) {
	text := "hosts:\n"
	for _, e := range c.Endpoints("a") {
		line := fmt.Sprintf("  - {id: %s, address: %q, zone: %s, kind: std, cell: %d", e.ID, e.Addr, e.Zone, e.Cell)
		switch {
		case !slices.Contains(ids, e.ID):
			text += line + "}\n"
		case state != "":
			text += line + ", state: " + state + "}\n"
		}
	}
	require.NoError(c.t, c.WriteFile("a", "hosts.yaml", text))
}

func (c *withdrawalCluster) setState(state string, ids ...string) {
	c.EditEndpoints(func(e *fake.Endpoint) {
		if slices.Contains(ids, e.ID) {
			e.State = state
		}
	})
}

func (c *withdrawalCluster) leaveOut(ids ...string) {
	c.LeaveOutEndpoints(func(e fake.Endpoint) bool { return slices.Contains(ids, e.ID) })
}

// moveDiscovery starts another discovery that does not list some hosts, and has the process reload a plan that names it.
func (c *withdrawalCluster) moveDiscovery(leftOut ...string) {
	entries := slices.DeleteFunc(c.Endpoints("a"), func(e fake.Endpoint) bool { return slices.Contains(leftOut, e.ID) })
	discovery, err := fake.NewDiscoveryServer(entries)
	require.NoError(c.t, err)
	c.t.Cleanup(discovery.Close)
	text, err := os.ReadFile(filepath.Join(c.Addresses("a").Dir, "plan.json"))
	require.NoError(c.t, err)
	moved := regexp.MustCompile(`"discovery":"[^"]*"`).ReplaceAll(text, fmt.Appendf(nil, `"discovery":%q`, discovery.Listener.Addr()))
	require.NoError(c.t, c.WriteFile("a", "plan.json", string(moved)))
	require.NoError(c.t, c.Signal("a", syscall.SIGHUP))
}

// play sends searches for a time and returns their results.
func (c *withdrawalCluster) play(name string, length time.Duration) []clustertest.ClientResult {
	return c.PlaySearches(c.ctx, c.DrawSearches(1, name, withdrawalRate, length, 3*time.Second, "acme"))
}

// Guards against real processes that send searches to hosts later than the grace after they were withdrawn, whatever withdraws them,
// and that answer a search that no host can serve late or not at all.
func TestRealProcessesSendNothingToWithdrawnHosts(t *testing.T) {
	program, err := clustertest.BuildProgram(context.Background())
	require.NoError(t, err)
	restart := func(c *withdrawalCluster, whileDown func()) {
		require.NoError(t, c.Terminate(c.ctx, "a"))
		whileDown()
		require.NoError(t, c.Start(c.ctx, "a"))
	}
	for _, test := range []struct {
		name       string
		eventLoops int
		withdraw   func(c *withdrawalCluster)
	}{
		{"drained one by one", 1, func(c *withdrawalCluster) {
			for _, id := range withdrawalHosts {
				c.setState("draining", id)
				time.Sleep(50 * time.Millisecond)
			}
		}},
		{"drained at once", 1, func(c *withdrawalCluster) { c.setState("draining", withdrawalHosts...) }},
		{"removed at once", 1, func(c *withdrawalCluster) { c.setState("removed", withdrawalHosts...) }},
		{"left out of the list", 1, func(c *withdrawalCluster) { c.leaveOut(withdrawalHosts...) }},
		{"left out of the list, two event loops", 2, func(c *withdrawalCluster) { c.leaveOut(withdrawalHosts...) }},
		{"left out by the discovery that SIGHUP names", 1, func(c *withdrawalCluster) { c.moveDiscovery(withdrawalHosts...) }},
		{"drained by the host file", 1, func(c *withdrawalCluster) { c.writeHostFile(withdrawalHosts, "draining") }},
		{"removed by the host file", 1, func(c *withdrawalCluster) { c.writeHostFile(withdrawalHosts, "removed") }},
		{"dropped by the host file", 1, func(c *withdrawalCluster) { c.writeHostFile(withdrawalHosts, "") }},
		{"dropped by the host file, two event loops", 2, func(c *withdrawalCluster) { c.writeHostFile(withdrawalHosts, "") }},
		{"left out before a restart", 1, func(c *withdrawalCluster) { c.leaveOut(withdrawalHosts...); restart(c, func() {}) }},
		{"left out before a kill", 1, func(c *withdrawalCluster) {
			c.leaveOut(withdrawalHosts...)
			require.NoError(c.t, c.Kill(c.ctx, "a"))
			require.NoError(c.t, c.Start(c.ctx, "a"))
		}},
		{"left out while no process runs", 1, func(c *withdrawalCluster) { restart(c, func() { c.leaveOut(withdrawalHosts...) }) }},
		{"dropped by the host file while no process runs", 2, func(c *withdrawalCluster) {
			restart(c, func() { c.writeHostFile(withdrawalHosts, "") })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startWithdrawalCluster(t, program, test.eventLoops)
			before := c.play("b", time.Second)
			test.withdraw(c)
			told := time.Now()
			after := c.play("a", withdrawalGrace+withdrawalSlack+withdrawalWatch)
			served, late := 0, []string{}
			for _, request := range c.Audit.ShardRequests() {
				switch isLate := request.At.After(told.Add(withdrawalGrace + withdrawalSlack)); {
				case isLate && slices.Contains(withdrawalHosts, request.Host):
					late = append(late, fmt.Sprint(request.Host, " after ", request.At.Sub(told)))
				case isLate:
					served++
				}
			}
			require.Empty(t, late, "%d requests to withdrawn hosts\n%s", len(late), c.Log("a"))
			require.Positive(t, served)
			verdict := c.Judge(append(before, after...), clustertest.AuditRules{RequiredShards: requiredShards})
			require.Empty(t, verdict.DescribeViolations())
			require.Positive(t, verdict.Good)
			refused := slices.IndexFunc(after, func(r clustertest.ClientResult) bool { return r.Status == 503 })
			require.NotEqual(t, -1, refused, "no host holds block set 3")
			require.False(t, strings.Contains(c.Log("a"), "event=fault"))
		})
	}
}

// requiredShards returns how many blocks an answer has to have under clustertest's settings.
func requiredShards(queryType string, shards int) int {
	if queryType == "quick-picks" {
		return (shards*3 + 3) / 4
	}
	return shards
}
