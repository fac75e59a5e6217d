package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"

	"chalkring/config"
	"chalkring/control/residency"
	"chalkring/coordinator"
	"chalkring/internal/clustertest"
)

// testTimeout limits how long a test waits for something to happen. No verdict depends on anything happening sooner.
const testTimeout = 20 * time.Second

const testPlan = `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":64},"known":{"version":1,"full":true,"servers":[
{"id":"a","addr":"127.0.0.1:2","zone":"east","kind":"std","cell":0,"state":"up"},
{"id":"b","addr":"127.0.0.1:3","zone":"west","kind":"std","cell":1,"state":"up"},
{"id":"c","addr":"127.0.0.1:4","zone":"east","kind":"std","cell":1,"state":"draining"}]},
"settings":{"Family":"fanout","Discovery":"subscribe","Balancers":1,"Tick":5.0,"FailureDomains":["east","west"],"MachineTypes":["std"],
"Classes":[{"Name":"lookup","Aim":1500.0,"Deadline":5000.0,"Effect":"retryable","LateShare":0.1}],
"Tenants":[{"Name":"acme","QuotaPerS":10.0}],
"Specifics":{"Sets":2,"Reach":1,"Ranges":4,"PerCall":1,"NeedByClass":[1],"ClassFloor":[1],"FollowUp":[0]},
"Permissions":{"MaxAttempts":3,"ConnIdle":15000.0,"DialTimeout":250.0,"StreamsPerConn":32,"SecondCopies":true,"Cancelling":true},
"Safety":{}}}`

const loosePolicy = "generation: 1\nlease: 2s\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [east, west]}\n"

var strictPolicy = strings.NewReplacer("generation: 1", "generation: 2", "[east, west]", "[east]").Replace(loosePolicy)

// testInstance is one instance from its start to its end.
type testInstance struct {
	t       *testing.T
	sharing *clusterInstance
	guard   *coordinator.ResidencyGuard
	dir     string
	mu      sync.Mutex
	log     bytes.Buffer
}

func (l *testInstance) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Write(p)
}

func (l *testInstance) logText() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.String()
}

func startInstance(t *testing.T, dir, name string, addrs map[string]string, stored bool) *testInstance {
	sitePlan, err := plan.Parse([]byte(testPlan))
	require.NoError(t, err)
	l := &testInstance{t: t, dir: dir}
	f := &config.Cluster{Name: name, Listen: addrs[name], ResidencyFile: filepath.Join(dir, "contracts.yaml")}
	for other, addr := range addrs {
		f.VotingMembers, f.Join = append(f.VotingMembers, other), append(f.Join, addr)
	}
	if stored {
		f.StoreFile = filepath.Join(dir, "kept.db")
	}
	if _, err := os.Stat(f.ResidencyFile); err != nil {
		l.writePolicy(loosePolicy)
	}
	// Until it executes its program, a child process that another test starts has copies of all sockets that were open
	// at the fork. Without the lock it could have a copy of the sockets with which the start checks that its address is
	// free, and the address would still be in use when the instance listens on it.
	syscall.ForkLock.RLock()
	l.sharing, err = startCluster(&config.File{Cluster: f}, sitePlan, nil, slog.New(slog.NewTextHandler(l, nil)))
	syscall.ForkLock.RUnlock()
	require.NoError(t, err)
	l.guard, err = startResidency(sitePlan, l.sharing)
	require.NoError(t, err)
	t.Cleanup(l.sharing.leave)
	return l
}

func (l *testInstance) writePolicy(text string) {
	require.NoError(l.t, os.WriteFile(filepath.Join(l.dir, "contracts.yaml"), []byte(text), 0o600))
}

// allows reports whether acme's shard requests allows run in a zone now.
func (l *testInstance) allows(zone string) bool {
	in, now := l.guard.Policy(), time.Now().UnixMicro()/100
	r := in.RuleFor(now, "acme", "lookup", 0)
	return r.AllowsZone(in.ZoneIndex(zone))
}

func (l *testInstance) eventually(why string, ok func() bool) {
	require.Eventually(l.t, ok, testTimeout, 5*time.Millisecond, "%s\n%s", why, l.logText())
}

func freeAddrs(t *testing.T, names ...string) map[string]string {
	all := map[string]string{}
	for _, name := range names {
		addr, release, err := clustertest.ReserveAddress()
		require.NoError(t, err)
		t.Cleanup(release)
		all[name] = addr
	}
	return all
}

// A stricter policy given to one of three instances is in force on all; two differing files of one generation both hold; a
// file that cannot be used, or is older, changes nothing; an instance that reaches nobody rejects within a lease, and
// keeps to the policies on its disk when it is back, whatever its file says.
func TestPoliciesReachAllInstances(t *testing.T) {
	addrs := freeAddrs(t, "a", "b", "c")
	dirs := map[string]string{"a": t.TempDir(), "b": t.TempDir(), "c": t.TempDir()}
	a, b, c := startInstance(t, dirs["a"], "a", addrs, true), startInstance(t, dirs["b"], "b", addrs, true), startInstance(t, dirs["c"], "c", addrs, false)
	all := []*testInstance{a, b, c}
	for _, l := range all {
		l.eventually("first lease", func() bool { return l.allows("west") })
	}
	a.writePolicy("generation: 7\ncontracts: [") // half-written
	a.eventually("the file is rejected", func() bool { return strings.Contains(a.logText(), "residency_file_invalid") })
	a.writePolicy(strictPolicy)
	for _, l := range all {
		l.eventually("the stricter policy", func() bool { return !l.allows("west") && l.allows("east") })
	}
	a.eventually("a majority has it", func() bool { return strings.Contains(a.logText(), "residency_majority_reached generation=2") })
	c.writePolicy(strictPolicy + "- {block: 0, zones: [west]}\n")
	for _, l := range all {
		l.eventually("the stricter of both", func() bool { return !l.allows("west") && !l.allows("east") && l.guard.Policy().Generation == 2 })
		l.eventually("the conflict is logged", func() bool { return strings.Contains(l.logText(), "with a different text") })
	}
	b.writePolicy(strings.Replace(strictPolicy, "generation: 2", "generation: 3", 1))
	for _, l := range all {
		l.eventually("one policy again", func() bool { return l.allows("east") && l.guard.Policy().Generation == 3 })
	}
	require.True(t, a.sharing.allowsTenantData("acme", "east"))
	require.False(t, a.sharing.allowsTenantData("acme", "west"))
	require.True(t, a.sharing.allowsTenantData("else", "west"))
	b.sharing.leave()
	c.sharing.leave()
	a.eventually("rejects", func() bool { return !a.allows("east") })
	a.eventually("the expiry is logged", func() bool { return strings.Contains(a.logText(), "residency_lease_expired") })
	a.sharing.leave()
	a.writePolicy(loosePolicy) // an old file is put back
	a = startInstance(t, dirs["a"], "a", addrs, true)
	require.EqualValues(t, 3, a.guard.Policy().Generation)
	require.Contains(t, a.logText(), "residency_policy_rejected")
	require.False(t, a.allows("east"), "it reaches nobody")
	startInstance(t, dirs["b"], "b", addrs, true)
	a.eventually("back", func() bool { return a.allows("east") && !a.allows("west") })
}

func TestCheckPolicyFile(t *testing.T) {
	sitePlan, err := plan.Parse([]byte(testPlan))
	require.NoError(t, err)
	summary, err := checkPolicyFile("contracts", []byte(loosePolicy), sitePlan)
	require.NoError(t, err)
	require.Equal(t, "can be used, 1 contracts", summary)
	_, err = checkPolicyFile("contracts", []byte(strictPolicy), sitePlan)
	var unreachable *residency.UnreachableBlocksError
	require.ErrorAs(t, err, &unreachable)
	require.Equal(t, "contracts: [5:12] tenant acme could not reach blocks 1, 3: its searches there are refused", unreachable.Error())
	dir := t.TempDir()
	for name, text := range map[string]string{"plan.json": testPlan, "contracts.yaml": loosePolicy} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	require.NoError(t, (&checkFilesCommand{Files: []string{filepath.Join(dir, "plan.json"), filepath.Join(dir, "contracts.yaml")}}).Run())
	require.Error(t, (&checkFilesCommand{Files: []string{filepath.Join(dir, "plan.json"), "../../deploy/residency.yaml"}}).Run())
}
