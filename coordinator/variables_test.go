package coordinator

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A file that leaves discovery to the variable, at the start or at a signal, never takes the address away; one that is half
// written or holds another deployment's settings moves nothing but discovery.
func TestEnvironmentAtReload(t *testing.T) {
	path, out := filepath.Join(t.TempDir(), "plan.json"), &journal{}
	write := func(discovery, settings string, cut int) {
		text := `{"name":"file","listen":"file",` + discovery + `"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":99},
			"known":{"version":1,"servers":[]},"settings":` + settings + `}`
		require.NoError(t, os.WriteFile(path, []byte(text[:len(text)-cut]), 0o600))
	}
	env := func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_NAME": "n7", "GW_LISTEN": "l7", "GW_DISCOVERY": "variable"}[name]
	}
	other := strings.NewReplacer(`"some"`, `"all"`, `"all"`, `"some"`, `"acme"`, `"other"`, `"other"`, `"acme"`).Replace(testSettings)
	for _, begins := range []string{"", `"discovery":"file",`} {
		write(begins, testSettings, 0)
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
				require.Eventually(t, func() bool { return strings.Count(out.String(), "event=reload_failed") > failed }, patience, time.Millisecond)
				continue
			}
			p := <-plans
			require.Equal(t, x.want, p.Discovery, "%s then %s", begins, x.discovery)
			require.Equal(t, []string{"n7", "l7"}, []string{p.Name, p.Listen})
			if x.settings == other {
				require.Equal(t, "settings.Classes.0.Name,settings.Classes.1.Name,settings.Tenants.0.Name,settings.Tenants.1.Name", first.RestartDifferences(p))
			}
		}
		cancel()
	}
}

// A plan that comes while searches are served, and whose classes and tenants stand in another order, changes what no search
// is handled by.
func TestReloadWithReorderedClasses(t *testing.T) {
	r := start(t, 256, nil)
	r.list.Responses <- `{"version":8,"full":false,"servers":[]}`
	c := r.call()
	both := func(id string) {
		c.want(id+"a", "all", 200, wholeOfAll) // some would be whole with half of its parts, in another order
		c.send(strings.Replace(request(id+"b", "all", "", fourParts), "acme", "globex", 1))
		status, _, _, _ := c.answer()
		require.Equal(t, 400, status)
	}
	both("before")
	next, err := parsePlan(planOf(t, func(s map[string]any) {
		placed(s, "Classes", 0)["Name"], placed(s, "Classes", 1)["Name"] = "all", "some"
		placed(s, "Tenants", 0)["Name"], placed(s, "Tenants", 1)["Name"] = "globex", "acme"
	}))
	require.NoError(t, err)
	next.Discovery = script(t).Listener.Addr().String()
	r.plans <- next
	r.logged("waits_for_restart=listen,settings.Classes.0.Name,settings.Classes.1.Name,settings.Tenants.0.Name,settings.Tenants.1.Name")
	both("after")
	r.end()
}
