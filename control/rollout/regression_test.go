package rollout

import (
	"math"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	zoneCount        = 6
	instancesPerZone = 50
	lookInterval     = 10.0 // seconds between looks
	looksPerStage    = 30   // a stage is watched for five minutes
	maxLooks         = 90   // a stage that lasts longer is taken never to end
	incidentLooks    = 6    // an incident of the hosts lasts for this many looks
	normalUnserved   = 0.005
	incidentUnserved = 0.3
)

// classShares are the fractions of the searches in each class.
var classShares = []float64{0.6, 0.3, 0.1}

// cohort is the instances of one zone on one side, each with one search a second.
type cohort struct {
	incarnation   uint64
	instanceCount int
	stats         InstanceStats
}

// regression returns what a change adds to the unserved fraction of a class in a zone, at a time in seconds.
type regression func(class, zone int, at float64, isIncident bool) float64

// rolloutSimulation is the rollout of a change to 300 instances. Incidents of the hosts come and go and affect both
// sides alike, and the unserved fraction varies between instances.
type rolloutSimulation struct {
	rng        *rand.Rand
	analysis   *RegressionAnalysis
	cohorts    [zoneCount][sideCount]cohort
	regression regression
	incident   int     // looks that the current incident still lasts; if negative, looks since its end
	clock      float64 // seconds
}

// simulateRollout simulates stages of 1, 15 and 75 of 300 instances, each watched for five minutes. It returns the
// stage in which the change was stopped, 0 for none, and the time at which it was, in seconds.
func simulateRollout(seed int64, change regression) (stage int, at float64) {
	s := &rolloutSimulation{
		rng: rand.New(rand.NewSource(seed)), analysis: NewRegressionAnalysis(defaultRegressionLimits), regression: change,
	}
	for i, count := range []int{1, 15, 75} {
		s.beginStage(count)
		if seed%4 == 0 { // an incident happens to begin with each stage
			s.incident = incidentLooks + 1
		}
		if s.watchStage() {
			return i + 1, s.clock
		}
	}
	return 0, s.clock
}

// beginStage restarts all instances, after which count of them have the change.
func (s *rolloutSimulation) beginStage(count int) {
	for zone := range s.cohorts {
		changed := count / zoneCount
		if zone < count%zoneCount {
			changed++
		}
		s.cohorts[zone][changeSide].instanceCount = changed
		s.cohorts[zone][baselineSide].instanceCount = instancesPerZone - changed
		for side := range s.cohorts[zone] {
			s.cohorts[zone][side].incarnation++
			s.cohorts[zone][side].stats = InstanceStats{Classes: make([]ClassStats, len(classShares)), MemoryBytes: 100 << 20}
		}
	}
	s.analysis.AddSamples(s.samples())
}

// watchStage reports whether the change is stopped in a stage. A stage longer than maxLooks counts as stopped.
func (s *rolloutSimulation) watchStage() (isStopped bool) {
	for look := 0; ; look++ {
		s.clock += lookInterval
		if s.incident--; s.incident < -incidentLooks && s.rng.Float64() < 0.03 {
			s.incident = incidentLooks
		}
		for zone := range s.cohorts {
			for side := range s.cohorts[zone] {
				s.serve(zone, side)
			}
		}
		s.analysis.AddSamples(s.samples())
		if s.analysis.DescribeRegression() != "" {
			return true
		}
		if value, _ := s.analysis.EValue(); look >= looksPerStage && value <= maxContinueEValue {
			return false
		}
		if look > maxLooks {
			return true
		}
	}
}

// serve lets a cohort serve searches until the next look.
func (s *rolloutSimulation) serve(zone, side int) {
	source := randomSource{s.rng}
	isIncident, unserved := s.incident > 0, normalUnserved
	if isIncident {
		unserved = incidentUnserved
	}
	cohort := &s.cohorts[zone][side]
	variation := math.Exp(0.3 * s.rng.NormFloat64() / math.Sqrt(float64(max(1, cohort.instanceCount)))) // of the cohort's mean unserved fraction
	for class, share := range classShares {
		requests := distuv.Poisson{Lambda: lookInterval*float64(cohort.instanceCount)*share + 1e-9, Src: source}.Rand()
		probability := min(0.9, unserved*variation)
		if side == changeSide {
			probability = min(0.95, probability+s.regression(class, zone, s.clock, isIncident))
		}
		shed := 0.0
		if requests > 0 {
			shed = distuv.Binomial{N: requests, P: probability, Src: source}.Rand()
		}
		stats := &cohort.stats.Classes[class]
		stats.Requests += uint64(requests)
		stats.Served += uint64(requests - shed)
		stats.Shed += uint64(shed)
		for range int(requests - shed) {
			stats.Latencies[6+s.rng.Intn(8)]++
			stats.SubRequests[8+s.rng.Intn(4)]++
		}
	}
}

// samples returns a sample for each cohort that has instances.
func (s *rolloutSimulation) samples() (samples []Sample) {
	for zone := range s.cohorts {
		for side := range s.cohorts[zone] {
			cohort := &s.cohorts[zone][side]
			if cohort.instanceCount == 0 {
				continue
			}
			samples = append(samples, Sample{
				Name: string(rune('a'+zone)) + string(rune('0'+side)), Region: string(rune('a' + zone/2)), Zone: string(rune('a' + zone)),
				HasChange: side == changeSide, Incarnation: cohort.incarnation,
				Stats: InstanceStats{Classes: append([]ClassStats(nil), cohort.stats.Classes...), MemoryBytes: cohort.stats.MemoryBytes},
			})
		}
	}
	return samples
}

// countStops simulates a change many times. It returns how often it is stopped before the third stage, how often at
// all, and the mean time until it is stopped before the third stage.
func countStops(rollouts int, change regression) (early, total int, meanTime float64) {
	for seed := range rollouts {
		stage, at := simulateRollout(int64(seed), change)
		if stage > 0 {
			total++
		}
		if stage == 1 || stage == 2 {
			early++
			meanTime += at
		}
	}
	return early, total, meanTime / float64(max(1, early))
}

// increaseIf returns an increase if a condition holds, 0 otherwise.
func increaseIf(condition bool, increase float64) float64 {
	if condition {
		return increase
	}
	return 0
}

func TestHarmlessChangesAreNotStopped(t *testing.T) {
	t.Parallel()
	const rollouts = 100
	_, stopped, _ := countStops(rollouts, func(int, int, float64, bool) float64 { return 0 })
	t.Logf("%d of %d changes without effect were stopped", stopped, rollouts)
	require.Less(t, stopped, rollouts/20)
	_, stopped, _ = countStops(20, func(int, int, float64, bool) float64 { return -0.003 })
	require.Zero(t, stopped, "a change that improves")
}

func TestRegressionsAreStoppedEarly(t *testing.T) {
	t.Parallel()
	const rollouts = 20
	for _, test := range []struct {
		name     string
		change   regression
		minEarly int
	}{
		{"all", func(int, int, float64, bool) float64 { return 0.05 }, rollouts * 95 / 100},
		{"after 20 s", func(_, _ int, at float64, _ bool) float64 { return increaseIf(at > 20, 0.05) }, rollouts * 95 / 100},
		{"one class", func(class, _ int, _ float64, _ bool) float64 { return increaseIf(class == 2, 0.2) }, rollouts * 95 / 100},
		{"one zone", func(_, zone int, _ float64, _ bool) float64 { return increaseIf(zone == 3, 0.2) }, rollouts * 95 / 100},
		// The regression shows only if there is an incident before the third stage.
		{"under load", func(_, _ int, _ float64, isIncident bool) float64 { return increaseIf(isIncident, 0.35) }, rollouts / 2},
	} {
		early, total, meanTime := countStops(rollouts, test.change)
		t.Logf("%s: %d of %d stopped before the third stage, %d at all, after %.0f s", test.name, early, rollouts, total, meanTime)
		require.GreaterOrEqual(t, early, test.minEarly, test.name)
	}
}
