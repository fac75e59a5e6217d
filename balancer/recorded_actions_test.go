package balancer

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var record = flag.Bool("record", false, "write the actions' sums anew: after a change of decisions that is meant")

const (
	sumsFile     = "testdata/actions.sums"
	drawnStreams = 120 // streams that are drawnStreams
)

// drawScenario makes a stream of events in the scenarios' notation: settings, hosts, loads, faults and lists by chance.
func drawScenario(c *rand.Rand) string {
	pick := func(of ...string) string { return of[c.Intn(len(of))] }
	var b strings.Builder
	line := func(format string, v ...any) { fmt.Fprintf(&b, format+"\n", v...) }
	sets := 1 + c.Intn(3)
	line("facts Specifics.Sets=%d Specifics.Reach=%d Balancers=%s Specifics.PerCall=%s Permissions.MaxAttempts=%s", sets,
		1+c.Intn(sets), pick("1", "2", "60"), pick("1", "1", "3"), pick("1", "2", "3", "4"))
	line("facts Permissions.SecondCopies=%s Permissions.Cancelling=%s", pick("true", "true", "false"), pick("true", "true", "false"))
	line("facts Classes.0.Effect=%s Classes.1.Effect=%s Classes.0.RepeatWindow=2000 Classes.1.RepeatWindow=2000",
		pick("retryable", "retryable", "dedup", "fragile"), pick("retryable", "retryable", "dedup", "fragile"))
	line("facts Classes.0.LateShare=%s Specifics.ClassFloor=%s,1", pick("0", "0.3"), pick("0.3", "0.6"))
	if c.Intn(3) == 0 {
		line("facts Safety.LookBack=5000 Safety.FurtherRatio=0.05 Safety.ExtraFloor=2")
	}
	if c.Intn(3) == 0 {
		line("facts Tenants.count=1 Tenants.0.QuotaPerS=%d", 10+c.Intn(200))
	}
	n := sets * (2 + c.Intn(6))
	var ids, entries []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("%sh%d", pick("", "", "", "far"), i))
		entries = append(entries, fmt.Sprintf("%s/%d/healthy/%d", ids[i], i%sets, c.Intn(2)))
	}
	line("start %s", strings.Join(entries, " "))
	some := func() string {
		var all []string
		for _, id := range ids {
			if c.Intn(3) == 0 {
				all = append(all, id)
			}
		}
		return strings.Join(append(all, ids[c.Intn(n)]), ",")
	}
	line("when %s Ok %d", strings.Join(ids, ","), 5+c.Intn(60))
	line("when %s Ok %d", some(), 5+c.Intn(300))
	at := 100
	for range 3 + c.Intn(5) {
		switch c.Intn(6) {
		case 0:
			line("when %s %s %d", some(), pick("Failed", "QueueFull", "ConnectError", "ResetByPeer", "Ok"), 1+c.Intn(400))
		case 1:
			line("silent %s %d", ids[c.Intn(n)], 1+c.Intn(3))
		case 2:
			i := c.Intn(n)
			line("list Partial %s/%d/%s", ids[i], i%sets, pick("draining", "deregistered", "healthy"))
		case 3:
			i := c.Intn(n)
			line("list Partial %s/%d/healthy/%d", ids[i], i%sets, at)
		case 4:
			line("when %s Ok %d", strings.Join(ids, ","), 5+c.Intn(80))
		}
		var shards []string
		for s := range 1 + c.Intn(8) {
			shards = append(shards, fmt.Sprint(s))
		}
		line("steady %d %d %d %s %s", 10+c.Intn(60), 1+c.Intn(20), c.Intn(2), pick("600", "2000", "4000"), strings.Join(shards, ","))
		at += 1000
	}
	return b.String()
}

// The module does just what it did when the sums were recorded, action for action, in all scenarios and in drawn
// streams: state may be kept in other ways, decisions may not change unseen.
func TestActionsAreAsRecorded(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	slices.Sort(files)
	var got []string
	note := func(name, text string) {
		all := playActions(t, text)
		h := fnv.New64a()
		for _, a := range all {
			fmt.Fprintln(h, a)
		}
		got = append(got, fmt.Sprintf("%s %d %016x", name, len(all), h.Sum64()))
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		require.NoError(t, err)
		note(filepath.Base(f), string(text))
	}
	for i := range drawnStreams {
		note(fmt.Sprintf("drawn-%d", i), drawScenario(rand.New(rand.NewSource(int64(i)))))
	}
	if *record {
		require.NoError(t, os.WriteFile(sumsFile, []byte(strings.Join(got, "\n")+"\n"), 0o644))
	}
	want, err := os.ReadFile(sumsFile)
	require.NoError(t, err)
	for i, line := range strings.Split(strings.TrimSpace(string(want)), "\n") {
		require.Equal(t, line, got[i])
	}
}

// What is kept as parts go out and land is what counting them all gives, in each turn of drawn streams.
func TestInflightCountMatchesRecount(t *testing.T) {
	for i := range 40 {
		s := newScenarioWithRecount(t, drawScenario(rand.New(rand.NewSource(int64(1000+i)))), true)
		s.playUntil(s.now + 100_000)
		require.Zero(t, s.state().effectiveInFlight())
	}
}
