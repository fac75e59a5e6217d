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

var record = flag.Bool("record", false, "rewrite the checksums of the actions, after an intended change of decisions")

const (
	checksumFile  = "testdata/actions.sums"
	randomStreams = 120
)

// randomScenario generates a random stream of events in the notation of scenarios: settings, replicas, loads, faults
// and lists. The order in which it takes random numbers is fixed by the recorded checksums.
func randomScenario(rng *rand.Rand) string {
	pick := func(values ...string) string { return values[rng.Intn(len(values))] }
	var text strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&text, format+"\n", values...) }
	sets := 1 + rng.Intn(3)
	randomScenarioSettings(rng, line, pick, sets)
	replicas := sets * (2 + rng.Intn(6))
	var ids, entries []string
	for i := range replicas {
		ids = append(ids, fmt.Sprintf("%sh%d", pick("", "", "", "far"), i))
		entries = append(entries, fmt.Sprintf("%s/%d/healthy/%d", ids[i], i%sets, rng.Intn(2)))
	}
	line("start %s", strings.Join(entries, " "))
	some := func() string {
		var chosen []string
		for _, id := range ids {
			if rng.Intn(3) == 0 {
				chosen = append(chosen, id)
			}
		}
		return strings.Join(append(chosen, ids[rng.Intn(replicas)]), ",")
	}
	line("when %s Ok %d", strings.Join(ids, ","), 5+rng.Intn(60))
	line("when %s Ok %d", some(), 5+rng.Intn(300))
	at := 100
	for range 3 + rng.Intn(5) {
		switch rng.Intn(6) {
		case 0:
			line("when %s %s %d", some(), pick("Failed", "QueueFull", "ConnectError", "ResetByPeer", "Ok"), 1+rng.Intn(400))
		case 1:
			line("silent %s %d", ids[rng.Intn(replicas)], 1+rng.Intn(3))
		case 2:
			i := rng.Intn(replicas)
			line("list Partial %s/%d/%s", ids[i], i%sets, pick("draining", "deregistered", "healthy"))
		case 3:
			i := rng.Intn(replicas)
			line("list Partial %s/%d/healthy/%d", ids[i], i%sets, at)
		case 4:
			line("when %s Ok %d", strings.Join(ids, ","), 5+rng.Intn(80))
		}
		var shards []string
		for shard := range 1 + rng.Intn(8) {
			shards = append(shards, fmt.Sprint(shard))
		}
		line("steady %d %d %d %s %s", 10+rng.Intn(60), 1+rng.Intn(20), rng.Intn(2), pick("600", "2000", "4000"),
			strings.Join(shards, ","))
		at += 1000
	}
	return text.String()
}

func randomScenarioSettings(rng *rand.Rand, line func(format string, values ...any), pick func(values ...string) string, sets int) {
	line("facts Specifics.Sets=%d Specifics.Reach=%d Balancers=%s Specifics.PerCall=%s Permissions.MaxAttempts=%s", sets,
		1+rng.Intn(sets), pick("1", "2", "60"), pick("1", "1", "3"), pick("1", "2", "3", "4"))
	line("facts Permissions.SecondCopies=%s Permissions.Cancelling=%s",
		pick("true", "true", "false"), pick("true", "true", "false"))
	line("facts Classes.0.Effect=%s Classes.1.Effect=%s Classes.0.RepeatWindow=2000 Classes.1.RepeatWindow=2000",
		pick("retryable", "retryable", "dedup", "fragile"), pick("retryable", "retryable", "dedup", "fragile"))
	line("facts Classes.0.LateShare=%s Specifics.ClassFloor=%s,1", pick("0", "0.3"), pick("0.3", "0.6"))
	if rng.Intn(3) == 0 {
		line("facts Safety.LookBack=5000 Safety.FurtherRatio=0.05 Safety.ExtraFloor=2")
	}
	if rng.Intn(3) == 0 {
		line("facts Tenants.count=1 Tenants.0.QuotaPerS=%d", 10+rng.Intn(200))
	}
}

// checksumOf returns a line of the checksum file: the number of the actions and their hash.
func checksumOf(name string, actions []string) string {
	hash := fnv.New64a()
	for _, action := range actions {
		fmt.Fprintln(hash, action)
	}
	return fmt.Sprintf("%s %d %016x", name, len(actions), hash.Sum64())
}

// The balancer takes the same actions as when the checksums were recorded, in all scenarios and in random streams: the
// representation of its state may change, but its decisions must not change unnoticed.
func TestActionsAreAsRecorded(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	slices.Sort(files)
	var got []string
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		got = append(got, checksumOf(filepath.Base(file), playActions(t, string(text))))
	}
	for i := range randomStreams {
		text := randomScenario(rand.New(rand.NewSource(int64(i))))
		got = append(got, checksumOf(fmt.Sprintf("drawn-%d", i), playActions(t, text)))
	}
	if *record {
		require.NoError(t, os.WriteFile(checksumFile, []byte(strings.Join(got, "\n")+"\n"), 0o644))
	}
	want, err := os.ReadFile(checksumFile)
	require.NoError(t, err)
	require.Equal(t, strings.Split(strings.TrimSpace(string(want)), "\n"), got)
}
