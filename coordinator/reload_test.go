package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
)

// After a reload the complete list is polled at the new address at once and applied whatever its version, and failed
// calls are retried there. Searches go on.
func TestReloadMovesDiscovery(t *testing.T) {
	r := start(t, 256, nil)
	require.Equal(t, "/v1/servers?index=7&wait=2000", <-r.list.Targets)
	next := startDiscovery(t)
	p := *r.plan
	p.Discovery, p.MaxSockets = next.Listener.Addr().String(), 16
	r.plans <- &p
	require.Equal(t, "/v1/servers", <-next.Targets)
	next.Responses <- fmt.Sprintf(`{"version":3,"full":true,"servers":[%s,%s,%s]}`, r.entry("a0", "draining"),
		r.entry("a1", "up"), r.entry("b0", "up"))
	require.Equal(t, "/v1/servers?index=3&wait=2000", <-next.Targets)
	r.logged("how=Complete version=3 entries=3")
	c := r.connect()
	c.expect("q", "all", 200, completeAnswer)
	for hostID, want := range map[string]int{"a0": 0, "a1": 2, "b0": 2, "b1": 0} {
		parts, _, _, _ := r.replicas[hostID].Observed()
		require.Len(t, parts, want, hostID)
	}
	for range 20 { // the new number of descriptors applies
		r.connect()
	}
	r.logged("end=displaced")
	next.Responses <- "" // fails: the balancer polls again, at the same address
	require.Equal(t, "/v1/servers?index=3&wait=2000", <-next.Targets)
	require.Empty(t, r.list.Targets)
	r.shutDown()
}

// A signal makes the coordinator read the plan file again. The file's discovery address overrides the environment's
// once it has changed. An invalid file changes nothing.
func TestWatchReloads(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	write := func(discovery, more string) {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(`{"name":"n","listen":"l","discovery":"`+discovery+
			`","seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":99},"known":{"version":1,"servers":[]},"settings":`+
			testSettings+`}`, `"Tick"`, more+`"Tick"`, 1)), 0o600))
	}
	env := func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "variable"}[name]
	}
	write("file", "")
	first, err := readPlan(env)
	require.NoError(t, err)
	require.Equal(t, "variable", first.Discovery)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out, signals := &logBuffer{}, make(chan os.Signal)
	plans := first.WatchReloads(ctx, signals, env, NewLogger(out, false, slog.LevelInfo))
	for _, x := range [][3]string{
		{"file", `"Added":1,`, "variable"},
		{"elsewhere", "", "elsewhere"},
		{"broken", "{", ""},
		{"elsewhere", "", "elsewhere"},
		{"elsewhere", `"Balancers":-1,`, ""},
		{"elsewhere", "", "elsewhere"},
	} {
		write(x[0], x[1])
		failed := strings.Count(out.String(), "event=reload_failed")
		if signals <- syscall.SIGHUP; x[2] == "" {
			require.Eventually(t, func() bool { return strings.Count(out.String(), "event=reload_failed") > failed }, testTimeout,
				time.Millisecond)
			continue
		}
		initial := <-plans
		require.Equal(t, x[2], initial.Discovery)
		require.Equal(t, strings.Contains(x[1], "Added"), first.RestartDifferences(initial) == "settings.Added", x[1])
	}
	require.Equal(t, 2, strings.Count(out.String(), "event=reload_failed"))
	require.Contains(t, out.String(), "setting Balancers: -1 is less than 0")
}

// If a file no longer has a discovery address, the environment's applies; a later file with an address overrides it
// again.
func TestReloadWithoutDiscoveryAddress(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	write := func(discovery string) {
		require.NoError(t, os.WriteFile(path, []byte(`{"name":"n","listen":"l",`+discovery+`"seed":"1f",
			"limits":{"cores":1,"memory_mb":192,"sockets":99},"known":{"version":1,"servers":[]},"settings":`+testSettings+`}`), 0o600))
	}
	env := func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "variable"}[name]
	}
	write(`"discovery":"file",`)
	first, err := readPlan(env)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal)
	plans := first.WatchReloads(ctx, signals, env, slog.New(slog.DiscardHandler))
	for _, x := range [][2]string{
		{`"discovery":"elsewhere",`, "elsewhere"},
		{"", "variable"},
		{"", "variable"},
		{`"discovery":"again",`, "again"},
		{`"discovery":"again",`, "again"},
	} {
		write(x[0])
		signals <- syscall.SIGHUP
		require.Equal(t, x[1], (<-plans).Discovery, x[0])
	}
}

// A file that leaves discovery to the environment, at the start or at a reload, never leaves the coordinator without an
// address. A half-written file changes nothing, and a file with another deployment's settings changes only the discovery
// address.
func TestEnvironmentAtReload(t *testing.T) {
	path, out := filepath.Join(t.TempDir(), "plan.json"), &logBuffer{}
	write := func(discovery, settings string, cut int) {
		text := `{"name":"file","listen":"file",` + discovery + `"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":99},
			"known":{"version":1,"servers":[]},"settings":` + settings + `}`
		require.NoError(t, os.WriteFile(path, []byte(text[:len(text)-cut]), 0o600))
	}
	env := func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_NAME": "n7", "GW_LISTEN": "l7", "GW_DISCOVERY": "variable"}[name]
	}
	other := strings.NewReplacer(`"some"`, `"all"`, `"all"`, `"some"`, `"acme"`, `"other"`, `"other"`, `"acme"`).Replace(testSettings)
	for _, atStart := range []string{"", `"discovery":"file",`} {
		write(atStart, testSettings, 0)
		first, err := readPlan(env)
		require.NoError(t, err)
		require.Equal(t, "variable", first.Discovery)
		ctx, cancel := context.WithCancel(context.Background())
		signals := make(chan os.Signal)
		plans := first.WatchReloads(ctx, signals, env, NewLogger(out, false, slog.LevelInfo))
		for _, x := range []struct {
			discovery, settings, want string
			cut                       int
		}{
			{"", testSettings, "variable", 0},
			{`"discovery":"",`, other, "variable", 0},
			{`"discovery":"two",`, other, "two", 0},
			{`"discovery":"three",`, other, "", 40},
			{"", other, "variable", 0},
			{`"discovery":"two",`, testSettings, "two", 0},
		} {
			write(x.discovery, x.settings, x.cut)
			failed := strings.Count(out.String(), "event=reload_failed")
			signals <- syscall.SIGHUP
			if x.cut > 0 {
				require.Eventually(t, func() bool { return strings.Count(out.String(), "event=reload_failed") > failed }, testTimeout, time.Millisecond)
				continue
			}
			initial := <-plans
			require.Equal(t, x.want, initial.Discovery, "%s then %s", atStart, x.discovery)
			require.Equal(t, []string{"n7", "l7"}, []string{initial.Name, initial.Listen})
			if x.settings == other {
				require.Equal(t, "settings.Classes.0.Name,settings.Classes.1.Name,settings.Tenants.0.Name,settings.Tenants.1.Name", first.RestartDifferences(initial))
			}
		}
		cancel()
	}
}

// A new plan with classes and tenants in another order changes nothing for searches before a restart. Guards against
// searches that are handled under the settings of another class or tenant.
func TestReloadWithReorderedClasses(t *testing.T) {
	r := start(t, 256, nil)
	r.list.Responses <- `{"version":8,"full":false,"servers":[]}`
	c := r.connect()
	search := func(searchName string) {
		c.expect(searchName+"a", "all", 200, completeAnswer) // under the settings of class some, half of the shards would be enough
		c.send(strings.Replace(request(searchName+"b", "all", "", fourParts), "acme", "globex", 1))
		status, _, _, _ := c.readAnswer()
		require.Equal(t, 400, status)
	}
	search("before")
	next, err := parsePlan(planOf(t, func(s map[string]any) {
		settingAt(s, "Classes", 0)["Name"], settingAt(s, "Classes", 1)["Name"] = "all", "some"
		settingAt(s, "Tenants", 0)["Name"], settingAt(s, "Tenants", 1)["Name"] = "globex", "acme"
	}))
	require.NoError(t, err)
	next.Discovery = startDiscovery(t).Listener.Addr().String()
	r.plans <- next
	r.logged("waits_for_restart=listen,settings.Classes.0.Name,settings.Classes.1.Name,settings.Tenants.0.Name,settings.Tenants.1.Name")
	search("after")
	r.shutDown()
}

// A new plan with another memory limit changes how much memory open searches may hold, along with the Go runtime's limit.
func TestSearchMemoryFollowsReload(t *testing.T) {
	r := start(t, 256, nil)
	memoryLimit := func() (limit float64) {
		done := make(chan struct{})
		require.True(t, r.loop.submit(func() { limit = r.loop.searches.memoryLimit; close(done) }))
		<-done
		return limit
	}
	require.Equal(t, 48.0*(1<<20), memoryLimit())
	for memory, want := range map[int]float64{64: 16 << 20, 4: 2 << 20, 512: 128 << 20} {
		p := *r.plan
		p.MemoryMB = memory
		r.plans <- &p
		r.eventually(fmt.Sprint("the limit follows from ", memory, " MB"), func() bool { return memoryLimit() == want })
	}
	r.shutDown()
}

// After many signals, with plan files that are complete, half written, missing, a folder or too large, the last complete
// plan applies, and searches have gone on.
func TestManyReloads(t *testing.T) {
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	complete, err := os.ReadFile(l.file)
	require.NoError(t, err)
	for i := range 1000 {
		switch i {
		case 100:
			require.NoError(t, os.WriteFile(l.file, complete[:len(complete)/2], 0o600))
		case 300:
			require.NoError(t, os.Remove(l.file))
		case 400:
			require.NoError(t, os.Mkdir(l.file, 0o700))
		case 500:
			require.NoError(t, os.Remove(l.file))
		case 600:
			require.NoError(t, os.WriteFile(l.file, bytes.Repeat([]byte(`[`), plan.MaxFileSize+1), 0o600))
		}
		l.signal(syscall.SIGHUP)
		if i%100 == 50 {
			l.served(fmt.Sprint("s", i))
		}
	}
	l.logged("event=reload_failed")
	l.setLimit("sockets", 128)
	l.write()
	l.signal(syscall.SIGHUP)
	l.logged("sockets=128")
	l.served("last")
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
}
