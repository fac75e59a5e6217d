package rollout

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat/distuv"
)

// cohort is a cohort in a zone: so many instances at a search a second each.
type cohort struct {
	incarnation   uint64
	instanceCount int
	stats         InstanceStats
}

// simulateRollout plays stages of 1, 15 and 75 of 300 instances, each watched for five minutes and looked at every ten
// seconds. worse gives what the change adds to a class's unserved share at a time in seconds. Host trouble comes and
// goes for both sides, and each instance has luck of its own. It gives the step at which the change was
// stopped, 0 for not, and the seconds since the first.
func simulateRollout(seed int64, worse func(class, zone int, at float64, trouble bool) float64) (step int, at float64) {
	chance := rand.New(rand.NewSource(seed))
	from := randomSource{chance}
	e := NewRegressionAnalysis(defaultRegressionLimits)
	classes := []float64{0.6, 0.3, 0.1}
	var sides [6][2]cohort
	all := func() (samples []Sample) {
		for z := range sides {
			for s := range sides[z] {
				if one := &sides[z][s]; one.instanceCount > 0 {
					one.stats.MemoryBytes = 100 << 20
					samples = append(samples, Sample{
						Name: string(rune('a'+z)) + string(rune('0'+s)), Region: string(rune('a' + z/2)),
						Zone: string(rune('a' + z)), HasChange: s == 1, Incarnation: one.incarnation, Stats: InstanceStats{
							Classes:     append([]ClassStats(nil), one.stats.Classes...),
							MemoryBytes: one.stats.MemoryBytes,
						},
					})
				}
			}
		}
		return samples
	}
	trouble, clock := 0, 0.0
	atStages := seed%4 == 0 // by chance trouble of the hosts begins with each stage
	for step, n := range []int{1, 15, 75} {
		for z := range sides {
			has := n / 6
			if z < n%6 {
				has++
			}
			sides[z][1].instanceCount, sides[z][0].instanceCount = has, 50-has
			for s := range sides[z] {
				sides[z][s].incarnation++
				sides[z][s].stats = InstanceStats{Classes: make([]ClassStats, len(classes))}
			}
		}
		e.AddSamples(all())
		if atStages {
			trouble = 7
		}
		for look := 0; ; look++ {
			clock += 10
			if trouble--; trouble < -6 && chance.Float64() < 0.03 {
				trouble = 6
			}
			base := 0.005
			if trouble > 0 {
				base = 0.3
			}
			for z := range sides {
				for s := range sides[z] {
					one := &sides[z][s]
					luck := math.Exp(0.3 * chance.NormFloat64() / math.Sqrt(float64(max(1, one.instanceCount)))) // of each instance, on average
					for c, share := range classes {
						asked := distuv.Poisson{Lambda: 10*float64(one.instanceCount)*share + 1e-9, Src: from}.Rand()
						p := min(0.9, base*luck)
						if s == 1 {
							p = min(0.95, p+worse(c, z, clock, trouble > 0))
						}
						lost := 0.0
						if asked > 0 {
							lost = distuv.Binomial{N: asked, P: p, Src: from}.Rand()
						}
						k := &one.stats.Classes[c]
						k.Requests += uint64(asked)
						k.Served += uint64(asked - lost)
						k.Shed += uint64(lost)
						for range int(asked - lost) {
							k.Latencies[6+chance.Intn(8)]++
							k.SubRequests[8+chance.Intn(4)]++
						}
					}
				}
			}
			e.AddSamples(all())
			if e.DescribeRegression() != "" {
				return step + 1, clock
			}
			if value, _ := e.EValue(); look >= 30 && value <= maxContinueEValue {
				break
			}
			if look > 90 { // held back for good
				return step + 1, clock
			}
		}
	}
	return 0, clock
}

// countStops plays many and counts how many stop, how many of them before a quarter of the fleet has the change.
func countStops(n int, worse func(class, zone int, at float64, trouble bool) float64) (early, any int, mean float64) {
	for seed := range n {
		step, at := simulateRollout(int64(seed), worse)
		any += btoi(step > 0)
		if step == 1 || step == 2 {
			early++
			mean += at
		}
	}
	return early, any, mean / float64(max(1, early))
}

func TestStopRates(t *testing.T) {
	t.Parallel()
	const calm, bad = 100, 20
	_, any, _ := countStops(calm, func(int, int, float64, bool) float64 { return 0 })
	t.Logf("calm rollouts stopped: %d of %d", any, calm)
	require.Less(t, any, calm/20)
	_, any, _ = countStops(bad, func(int, int, float64, bool) float64 { return -0.003 })
	require.Zero(t, any, "a change that is better")
	for name, worse := range map[string]func(class, zone int, at float64, trouble bool) float64{
		"all":        func(int, int, float64, bool) float64 { return 0.05 },
		"after 20 s": func(_, _ int, at float64, _ bool) float64 { return 0.05 * float64(btoi(at > 20)) },
		"one class":  func(class, _ int, _ float64, _ bool) float64 { return 0.2 * float64(btoi(class == 2)) },
		"one zone":   func(_, zone int, _ float64, _ bool) float64 { return 0.2 * float64(btoi(zone == 3)) },
		"under load": func(_, _ int, _ float64, trouble bool) float64 { return 0.35 * float64(btoi(trouble)) },
	} {
		early, any, mean := countStops(bad, worse)
		t.Logf("%s: %d of %d stopped before a quarter, %d at all, after %.0f s", name, early, bad, any, mean)
		least := bad * 95 / 100
		if name == "under load" { // it shows only where there is trouble before the third stage
			least = bad / 2
		}
		require.GreaterOrEqual(t, early, least, name)
	}
}
