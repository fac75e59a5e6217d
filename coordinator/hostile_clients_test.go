package coordinator

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fleet "chalkring/internal/clustertest"
	"chalkring/internal/fake"
)

const (
	soakSeedsVariable = "CHALKRING_SOAK_SEEDS" // how many seeds the tests with drawn clients play; hostileSeeds if it is empty
	soakFirstVariable = "CHALKRING_SOAK_FIRST" // the first of them; 1 if it is empty

	hostileSeeds  = 4
	hostileLength = 8 * time.Second
	longPatience  = 2 * time.Second        // of half of the clients that behave
	shortPatience = 300 * time.Millisecond // of the others
	lateAnswer    = 500 * time.Millisecond // after a client's time, from which a search counts as lost
	leastServed   = 0.5                    // of the searches of clients that behave
	searchRate    = 10.0                   // searches a second of clients of each patience
)

// envNumber returns the number in an environment variable, or a default if it is not set.
func envNumber(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

// hostileRun is what clients saw while hostile ones were there.
type hostileRun struct {
	searches, served, lost int
	lostOfPatient          int // of those whose clients wait for longPatience
	slowest                time.Duration
	peakMemory             int64
	usedCPU                time.Duration
}

// count adds what became of a search. Its time counts from its last byte, as the platform counts it; one that could not be
// written has not been taken.
func (r *hostileRun) count(t *testing.T, result fleet.ClientResult) {
	last := result.Attempts[len(result.Attempts)-1]
	r.searches++
	r.slowest = max(r.slowest, result.Latency)
	isWritten := !last.WrittenAt.IsZero()
	switch {
	case isWritten && (result.Status == 0 || last.EndedAt.Sub(last.WrittenAt) > result.Patience+lateAnswer):
		r.lost++
		if result.Patience == longPatience {
			r.lostOfPatient++
		}
		t.Logf("lost: %s after %v: status %d, %+v", result.ID, result.Latency, result.Status, result.Attempts)
	case result.Status == 200:
		r.served++
	}
}

// playHostileClients plays hostile clients against a process with the least limits of the platform, beside clients that behave.
func playHostileClients(t *testing.T, seed int64, crowds []fake.HostileCrowd, length time.Duration) (run hostileRun) {
	limits := fleet.LeastLimits
	cluster := startProcess(t, func(s *fleet.Config) { s.Seed, s.Limits = seed, limits })
	ctx, cancel := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	beside.Go(func() { _ = cluster.EnforceCores(ctx, "n", limits.Cores) })
	defer func() {
		cancel()
		beside.Wait()
	}()
	beside.Go(func() {
		fake.PlayHostileCrowds(ctx, seed, cluster.Addresses("n").Client, "quick-picks", crowds)
	})
	var mu sync.Mutex
	var searching sync.WaitGroup
	for name, patience := range map[string]time.Duration{"long": longPatience, "short": shortPatience} {
		searches := cluster.DrawSearches(seed, name, searchRate, length, patience, "acme", "other")
		searching.Go(func() {
			for _, result := range cluster.PlaySearches(ctx, searches) {
				mu.Lock()
				run.count(t, result)
				mu.Unlock()
			}
		})
	}
	searching.Wait()
	if run.lost > 0 {
		t.Log(cluster.Log("n"))
	}
	require.NoError(t, syscall.Kill(cluster.PID("n"), 0), "the process has ended\n%s", cluster.Log("n"))
	peak, err := cluster.PeakMemory("n")
	require.NoError(t, err)
	run.peakMemory = peak
	run.usedCPU, err = cluster.UsedCPU("n")
	require.NoError(t, err)
	return run
}

// Guards against hostile clients that use up the process's memory or processor: at the least limits, whatever kinds of them come, the
// process stays within its memory, and each search of other clients gets its final answer.
func TestOtherClientsDuringHostileOnes(t *testing.T) {
	first := envNumber(t, soakFirstVariable, 1)
	for seed := first; seed < first+envNumber(t, soakSeedsVariable, hostileSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			crowds := fake.DrawHostileCrowds(int64(seed), hostileLength)
			run := playHostileClients(t, int64(seed), crowds, hostileLength)
			t.Logf("%v: %+v", crowds, run)
			require.Zero(t, run.lost)
			require.GreaterOrEqual(t, float64(run.served), leastServed*float64(run.searches))
			require.LessOrEqual(t, run.peakMemory, int64(fleet.LeastLimits.MemoryMB)<<20)
		})
	}
	t.Run("overlapping crowds", func(t *testing.T) { // more clients than connections are allowed
		const seed = 10
		halfBody, halfHead := fake.HostileKinds[1], fake.HostileKinds[2]
		run := playHostileClients(t, seed, []fake.HostileCrowd{
			{Kind: halfBody, Clients: 476, Length: 3300 * time.Millisecond},
			{Kind: halfHead, Clients: 381, Start: 2 * time.Second, Length: 3500 * time.Millisecond},
		}, hostileLength)
		t.Logf("%+v", run)
		require.Zero(t, run.lost)
		require.LessOrEqual(t, run.peakMemory, int64(fleet.LeastLimits.MemoryMB)<<20)
	})
}

// Guards against hostile clients that end the process or take it over its memory, however little of the processor it gets.
func TestMemoryDuringHostileClients(t *testing.T) {
	for seed := int64(1); seed <= hostileSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run := playHostileClients(t, seed, fake.DrawHostileCrowds(seed, hostileLength), hostileLength)
			require.LessOrEqual(t, run.peakMemory, int64(fleet.LeastLimits.MemoryMB)<<20)
		})
	}
	for _, kind := range fake.HostileKinds {
		if !kind.Crowd {
			continue
		}
		t.Run(kind.Name, func(t *testing.T) {
			crowd := fake.HostileCrowd{Kind: kind, Clients: 450, Length: hostileLength / 2}
			run := playHostileClients(t, 1, []fake.HostileCrowd{crowd}, hostileLength/2)
			require.LessOrEqual(t, run.peakMemory, int64(fleet.LeastLimits.MemoryMB)<<20)
		})
	}
}

// Guards against hostile clients that end the process, take it over its memory, or leave clients that wait as long as most do
// without an answer.
func TestProcessStaysWithinLimitsDuringHostileClients(t *testing.T) {
	first := envNumber(t, soakFirstVariable, 1)
	for seed := first; seed < first+envNumber(t, soakSeedsVariable, hostileSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			crowds := fake.DrawHostileCrowds(int64(seed), hostileLength)
			run := playHostileClients(t, int64(seed), crowds, hostileLength)
			t.Logf("%v: %+v", crowds, run)
			require.Zero(t, run.lostOfPatient)
			require.GreaterOrEqual(t, float64(run.served), leastServed*float64(run.searches))
			require.LessOrEqual(t, run.peakMemory, int64(fleet.LeastLimits.MemoryMB)<<20)
		})
	}
}

// Guards against a kind of hostile client that alone uses up the process's memory or processor.
func TestOtherClientsDuringEachKindOfHostileOnes(t *testing.T) {
	const length = 4 * time.Second
	for _, kind := range fake.HostileKinds {
		t.Run(kind.Name, func(t *testing.T) {
			crowd := fake.HostileCrowd{Kind: kind, Clients: 12, Length: length}
			if kind.Crowd {
				crowd.Clients = 450
			}
			run := playHostileClients(t, 1, []fake.HostileCrowd{crowd}, length)
			t.Logf("%+v", run)
			require.Zero(t, run.lost)
			require.GreaterOrEqual(t, float64(run.served), leastServed*float64(run.searches))
			require.LessOrEqual(t, run.peakMemory, int64(fleet.LeastLimits.MemoryMB)<<20)
		})
	}
}
