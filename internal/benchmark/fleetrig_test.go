package benchmark

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/clustertest"
)

// Real processes find each other through relays, tell a cut from a kill from a leave, and serve through all of it.
func TestFleetOfProcesses(t *testing.T) {
	defer clustertest.RemoveBuilds()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	r, err := startRig(ctx, 1, 1, func(w clustertest.InstanceAddresses) string {
		return fleetText(w, map[string]string{"store": w.Dir + "/fleet.db"})
	}, nil)
	require.NoError(t, err)
	defer r.Close()
	names := []string{"east-0", "north-0", "west-0"}
	logged := func(name, text string, times int) {
		t.Helper()
		require.NoError(t, r.WaitLogged(ctx, name, text, times), "%s: %s\n%s", name, text, r.Log(name))
	}
	for _, name := range names {
		logged(name, "event=cluster_majority majority=true", 1)
	}
	answers := make(chan []clustertest.ClientResult, 1)
	go func() {
		answers <- r.PlaySearches(ctx, r.DrawSearches(1, "f", 20, 12*time.Second, 5*time.Second, "acme"))
	}()

	cut := func(on bool) {
		for _, other := range names[1:] {
			r.EditLink("east-0", other, func(f *clustertest.LinkFault) { f.Cut = on })
			r.EditLink(other, "east-0", func(f *clustertest.LinkFault) { f.Cut = on })
		}
	}
	cut(true)
	logged("east-0", "event=cluster_majority majority=false", 1)
	logged("north-0", "event=cluster_member name=east-0 state=gone", 1)
	require.NotContains(t, r.Log("east-0"), "state=gone", "a minority gives nobody up")
	cut(false)
	logged("east-0", "event=cluster_majority majority=true", 2)
	logged("north-0", "event=cluster_member name=east-0 state=alive", 2)

	before := strings.Count(r.Log("east-0"), "name=west-0 state=alive")
	require.NoError(t, r.Kill(ctx, "west-0"))
	logged("east-0", "event=cluster_member name=west-0 state=gone", 1)
	require.NoError(t, r.Start(ctx, "west-0"))
	logged("east-0", "event=cluster_member name=west-0 state=alive", before+1)
	require.NoError(t, r.Terminate(ctx, "west-0"))
	logged("east-0", "event=cluster_member name=west-0 state=left", 1)
	logged("north-0", "event=cluster_member name=west-0 state=left", 1)
	for _, name := range names {
		require.NotContains(t, r.Log(name), "cluster_name_conflict", "a restart is no second claim")
	}
	v := r.Judge(<-answers, clustertest.AuditRules{})
	require.Empty(t, v.DescribeViolations())
	require.Greater(t, v.Good, v.Searches*9/10, fmt.Sprint(v))
}
