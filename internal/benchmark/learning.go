package benchmark

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkring/cluster/peerprotocol"
	"chalkring/cluster/peerreport"
	"chalkring/coordinator"
	"chalkring/internal/fake"
	"chalkring/internal/scheduler"
)

const (
	learnHosts  = 64                     // of them
	hungHosts   = 12                     // take parts and answer none
	slowHosts   = 8                      // take twenty times as long
	coldHosts   = 4                      // have just started when the learners start
	learnRate   = 25.0                   // searches a second for each learner
	warmUp      = 5 * time.Second        // for the running one to find out
	learnFor    = 30 * time.Second       // of the learners' lives that are looked at
	repeats     = 8                      // learners of each kind: the middle one counts, of quantiles all together
	window      = 250 * time.Millisecond // over which answers are put together
	calmWindows = 4                      // in a row that show steady service
	calmTimes   = 1.5                    // of the steady answer time that still is steady
	steadyFrom  = 15 * time.Second       // from here on all learners are taken for steady
	firstOnes   = 200                    // searches whose 99th percentile is told
	earlyFor    = 5 * time.Second        // of which G is told
	coldTime    = 10 * time.Second       // that a host is cold, as in the settings
	draws       = 400                    // of learners, for what chance explains
	labPatience = 3 * time.Second
)

// kinds of start.
var starts = []string{"cold", "warm", "lying", "dead"}

// MeasureLearning measures what a new co-ordinator gains by asking a running one, and what a lying or dead peer costs it:
// learners of all kinds start at one moment, with the same schedules of searches, beside a co-ordinator that has run
// for a while. Twelve of 64 hosts hang, eight are slow, four have just started.
func MeasureLearning(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 55*time.Second)
	defer stop()
	cold := &tally{n: map[string]int{}}
	f, err := newFleet(learnHosts, func(i int) func(p fake.ShardRequest) {
		switch {
		case i < hungHosts:
			return func(fake.ShardRequest) {}
		case i < hungHosts+slowHosts:
			return fake.NewWorkerPool(ctx, 16, uniform(seed+int64(i), 40*time.Millisecond, 80*time.Millisecond))
		}
		do := fake.NewWorkerPool(ctx, 16, uniform(seed+int64(i), 2*time.Millisecond, 4*time.Millisecond))
		if i < learnHosts-coldHosts {
			return do
		}
		return func(p fake.ShardRequest) {
			kind, _, _ := strings.Cut(p.ID, "-")
			cold.add(kind)
			do(p)
		}
	})
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	count := 1 + repeats*len(starts)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Result{}, err
	}
	running, err := f.start("running", uint64(seed), count, &coordinator.PeerOptions{
		Name: "running", Listener: ln,
		AllowedPeers: learners(), Budgets: map[string]scheduler.Budget{"answer": {MaxConcurrent: 4}},
	})
	if err != nil {
		return Result{}, err
	}
	liar, err := lie(ctx, f)
	if err != nil {
		return Result{}, err
	}
	defer liar.Close()
	deaf, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	if err != nil {
		return Result{}, err
	}
	defer deaf.Close()
	at := map[string]string{"warm": ln.Addr().String(), "lying": liar.Addr().String(), "dead": deaf.Addr().String()}
	names := map[string]string{"warm": "running", "lying": "liar", "dead": "deaf"}

	var g sync.WaitGroup
	loading, enough := context.WithCancel(ctx)
	g.Go(func() {
		fake.PlaySearches(loading, running.addr, schedule(seed, "running", learnRate, time.Minute, labPatience))
	})
	select {
	case <-time.After(warmUp):
	case <-ctx.Done():
	}
	fresh := slices.Clone(f.entries)
	for i := learnHosts - coldHosts; i < learnHosts; i++ {
		fresh[i].StartedMS = time.Now().UnixMilli()
	}
	f.list.SetEndpoints(fresh)
	cold.on.Store(true)
	time.AfterFunc(coldTime, func() { cold.on.Store(false) })

	results, nodes, mu := map[string][][]fake.SearchResult{}, []*node{running}, sync.Mutex{}
	var learners sync.WaitGroup
	for k := range repeats {
		for _, kind := range starts {
			var peers *coordinator.PeerOptions
			if kind != "cold" {
				peers = &coordinator.PeerOptions{Name: fmt.Sprint("learner-", k), PollTargets: []coordinator.PeerAddress{{Name: names[kind], Addr: at[kind]}}}
			}
			n, err := f.start(kind, uint64(seed)+uint64(k)+1, count, peers)
			if err != nil {
				enough()
				return Result{}, err
			}
			nodes = append(nodes, n)
			learners.Go(func() {
				got := fake.PlaySearches(ctx, n.addr, schedule(seed+int64(k)+1, fmt.Sprintf("%s-%d", kind, k), learnRate,
					learnFor, labPatience))
				mu.Lock()
				results[kind] = append(results[kind], got)
				mu.Unlock()
			})
		}
	}
	learners.Wait()
	enough()
	g.Wait()
	for _, n := range nodes {
		if err := n.end(); err != nil {
			return Result{}, fmt.Errorf("%s: %w", n.name, err)
		}
	}
	return sumUp(results, cold), ctx.Err()
}

// sumUp makes a measurement's line of what the learners saw.
func sumUp(results map[string][][]fake.SearchResult, cold *tally) Result {
	var late []float64
	for _, runs := range results {
		for _, run := range runs {
			for _, r := range run {
				if r.At >= steadyFrom {
					late = append(late, r.Latency.Seconds())
				}
			}
		}
	}
	steady := mean(late)
	out := Result{Fields: map[string]any{"steady_ms": round(1000 * steady)}}
	steadyAt, gEarly, gAll, p99 := map[string]float64{}, map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, kind := range starts {
		var at, early, all []float64
		var firsts []fake.SearchResult
		for _, run := range results[kind] {
			at = append(at, steadyAfter(run, steady).Seconds())
			early = append(early, meanWorth(run, earlyFor))
			all = append(all, meanWorth(run, learnFor))
			firsts = append(firsts, run[:min(len(run), firstOnes)]...)
		}
		steadyAt[kind], gEarly[kind], gAll[kind], p99[kind] = median(at), median(early), median(all), 1000*quantile(firsts, 0.99).Seconds()
		out.Fields[kind] = map[string]any{
			"steady_s": round(steadyAt[kind]), "g_first_5s": round(gEarly[kind]),
			"g_30s": round(gAll[kind]), "p99_first_200_ms": round(p99[kind]), "sent_cold": cold.n[kind],
			"mean_first_1s_ms": round(1000 * meanTook(results[kind], time.Second)),
		}
	}
	miss := func(format string, v ...any) { out.MissedGoals = append(out.MissedGoals, fmt.Sprintf(format, v...)) }
	if steadyAt["warm"] > 0.5*steadyAt["cold"] {
		miss("warm is steady after %.2f s, cold after %.2f s: over half", steadyAt["warm"], steadyAt["cold"])
	}
	if warm, other := float64(cold.n["warm"]), float64(cold.n["cold"]); warm-other > 2*math.Sqrt(warm+other) { // chance
		miss("warm sent %d parts to cold hosts, cold %d", cold.n["warm"], cold.n["cold"])
	}
	if gAll["lying"] < gAll["cold"]-0.01 {
		miss("G of 30 s with a lying peer %.3f, cold %.3f", gAll["lying"], gAll["cold"])
	}
	// A quantile this far out moves by a quarter from run to run: it counts where chance does not explain it.
	surely := shareAbove(results["dead"], results["cold"], 1.05)
	out.Fields["dead_p99_over_cold_by_5pc_share"] = round(surely)
	if p99["dead"] > 1.05*p99["cold"] && surely > 0.95 {
		miss("p99 with a dead peer %.1f ms, cold %.1f ms", p99["dead"], p99["cold"])
	}
	return out
}

// steadyAfter is when service has become steady: the begin of the first calmWindows in a row whose answers take no
// longer than calmTimes the steady time.
func steadyAfter(run []fake.SearchResult, steady float64) time.Duration {
	n := int(learnFor / window)
	sums, counts := make([]float64, n), make([]float64, n)
	for _, r := range run {
		i := min(n-1, int(r.At/window))
		sums[i] += r.Latency.Seconds()
		counts[i]++
	}
	calm := 0
	for i := range n {
		if counts[i] > 0 && sums[i] > calmTimes*steady*counts[i] {
			calm = 0
			continue
		}
		if calm++; calm == calmWindows {
			return time.Duration(i+1-calmWindows+1) * window // the end of the first of them: it cannot be known sooner
		}
	}
	return learnFor
}

func meanWorth(run []fake.SearchResult, until time.Duration) float64 {
	var all []float64
	for _, r := range run {
		if r.At < until {
			all = append(all, worth(r.Status, r.Latency))
		}
	}
	return mean(all)
}

func meanTook(runs [][]fake.SearchResult, until time.Duration) float64 {
	var all []float64
	for _, run := range runs {
		for _, r := range run {
			if r.At < until {
				all = append(all, r.Latency.Seconds())
			}
		}
	}
	return mean(all)
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, v := range all {
		sum += v
	}
	return sum / float64(max(1, len(all)))
}

func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func quantile(run []fake.SearchResult, q float64) time.Duration {
	var all []time.Duration
	for _, r := range run {
		all = append(all, r.Latency)
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

func round(v float64) float64 { return math.Round(v*10_000) / 10_000 }

// shareAbove draws learners of two kinds anew, again and again, and tells in which share of the draws the first kind's
// quantile is above so many times the second's.
func shareAbove(a, b [][]fake.SearchResult, times float64) float64 {
	chance, above := rand.New(rand.NewSource(1)), 0
	draw := func(runs [][]fake.SearchResult) time.Duration {
		var all []fake.SearchResult
		for range runs {
			run := runs[chance.Intn(len(runs))]
			all = append(all, run[:min(len(run), firstOnes)]...)
		}
		return quantile(all, 0.99)
	}
	for range draws {
		if float64(draw(a)) > times*float64(draw(b)) {
			above++
		}
	}
	return float64(above) / draws
}

func learners() (names []string) {
	for k := range repeats {
		names = append(names, fmt.Sprint("learner-", k))
	}
	return names
}

// lie answers as a peer that is wrong about everything: hosts that hang or are slow are quick, all others are
// slow, and as many as are believed of one peer are bad.
func lie(ctx context.Context, f *fleet) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var notes []peerreport.Observation
	for i, e := range f.entries {
		n := peerreport.Observation{HostID: e.ID, StartedMs: uint64(e.StartedMS), ShortSamples: math.MaxUint16, LongSamples: math.MaxUint16}
		if i < hungHosts+slowHosts {
			n.ShortLogSlowdown, n.LongLogSlowdown = -3000, -3000
		} else {
			n.ShortLogSlowdown, n.LongLogSlowdown, n.IsOutlier, n.UnansweredRequests, n.SilentMs = 3000, 3000, i%2 == 0, 9, 9000
		}
		notes = append(notes, n)
	}
	s := &peerprotocol.Server{
		Name: "liar", InstanceID: 1, AllowedNames: learners(),
		Admit: func(string) (bool, time.Duration) { return true, 0 }, Release: func() {},
		BuildReport: func(context.Context) (peerreport.ReportHeader, []peerreport.Observation, error) {
			return peerreport.ReportHeader{
				Peer: "liar", Serial: 1, AnswerCount: math.MaxInt32, FleetLatency: 100_000_000, MinLatency: 1,
				HostCount: uint32(len(notes)),
			}, notes, nil
		},
		OnRejected: func(string, string) {},
	}
	go s.Serve(ctx, ln)
	return ln, nil
}
