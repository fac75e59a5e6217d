package rollout

import (
	"fmt"
	"slices"
)

const (
	// maxContinueEValue is the evidence above which no further step begins. The rollout then waits until the evidence
	// falls again, or grows until the change is stopped.
	maxContinueEValue = 1.5
	// minCompareRequests is how many searches each side needs before connections are compared.
	minCompareRequests = 200
	// extraConnections are tolerated beyond the limit, since a few reconnects happen by chance.
	extraConnections = 100
	// extraMemoryBytes are tolerated beyond the limit, since the memory of a small process may double by chance.
	extraMemoryBytes = 64 << 20
	// minMemoryBaselines is how many instances without the change are needed for a useful median.
	minMemoryBaselines = 3

	bytesPerMiB = 1 << 20
)

// Sample is an instance's counters at one look.
type Sample struct {
	Name, Region, Zone string
	HasChange          bool
	Incarnation        uint64 // the counters start from 0 in each
	Stats              InstanceStats
}

// RegressionAnalysis compares the instances with a change to those without it, in a series of looks. Each look compares
// what was counted since the previous one, for each class and each place in which both sides have instances. Bets
// (bets.go) collect evidence that stays valid for any number of looks; connections and memory are compared with
// plain limits.
//
// It is not safe for concurrent use. Its memory is bounded by metricCount bets for each class and place.
type RegressionAnalysis struct {
	limits    RegressionLimits
	latest    map[string]*Sample      // by instance
	baselines map[stratum]*ClassStats // sums of the instances without the change, up to the previous look
	changed   ClassStats              // sums of all instances with the change
	totals    [sideCount]sideTotals
	sidesHash uint64  // hashSides of the samples for which matched was computed
	matched   []place // places of the samples, in the same order
	portfolio *portfolio
}

// stratum is the searches of one class in one place. The sides are compared within each stratum.
type stratum struct {
	class int
	place place
}

// sideTotals are sums over all instances of a side.
type sideTotals struct{ requests, connections uint64 }

// increments are what the two sides of each stratum counted between two looks.
type increments map[stratum]*[sideCount]ClassStats

// NewRegressionAnalysis returns an analysis without samples.
func NewRegressionAnalysis(limits RegressionLimits) *RegressionAnalysis {
	return &RegressionAnalysis{
		limits: limits, latest: map[string]*Sample{}, baselines: map[stratum]*ClassStats{}, portfolio: newPortfolio(limits),
	}
}

// AddSamples adds one look: the samples of all instances that are warmed up. It takes ownership of the samples.
func (a *RegressionAnalysis) AddSamples(samples []Sample) {
	if hash := hashSides(samples); hash != a.sidesHash || a.matched == nil { // the sides rarely change
		a.sidesHash, a.matched = hash, matchPlaces(samples)
	}
	added := increments{}
	for i := range samples {
		a.addSample(&samples[i], a.matched[i], added)
	}
	a.portfolio.beginRound()
	for stratum, sides := range added {
		baseline := a.baselines[stratum]
		if baseline == nil {
			baseline = &ClassStats{}
			a.baselines[stratum] = baseline
		}
		a.portfolio.addCounts(stratum, baseline, sides)
		baseline.addIncrease(&sides[baselineSide], &ClassStats{})
		a.changed.addIncrease(&sides[changeSide], &ClassStats{})
	}
	a.portfolio.endRound()
}

// addSample adds what an instance counted since its previous sample. The first sample of an incarnation adds nothing.
func (a *RegressionAnalysis) addSample(sample *Sample, matched place, added increments) {
	if len(sample.Stats.Classes) > MaxClasses {
		sample.Stats.Classes = sample.Stats.Classes[:MaxClasses]
	}
	previous := a.latest[sample.Name]
	a.latest[sample.Name] = sample
	if previous == nil || previous.Incarnation != sample.Incarnation {
		return
	}
	side := sample.side()
	for class := range sample.Stats.Classes {
		current, before := &sample.Stats.Classes[class], ClassStats{}
		if class < len(previous.Stats.Classes) {
			before = previous.Stats.Classes[class]
		}
		if !current.hasOnlyRisen(&before) || matched == (place{}) {
			continue
		}
		key := stratum{class, matched}
		if added[key] == nil {
			added[key] = &[sideCount]ClassStats{}
		}
		added[key][side].addIncrease(current, &before)
		a.totals[side].requests += current.Requests - before.Requests
	}
	if sample.Stats.Connections >= previous.Stats.Connections {
		a.totals[side].connections += sample.Stats.Connections - previous.Stats.Connections
	}
}

// EValue returns the evidence for a regression, 1 for none, and the bet that contributes most to it.
func (a *RegressionAnalysis) EValue() (value float64, strongest string) {
	classes := map[int]bool{}
	for stratum := range a.baselines {
		classes[stratum.class] = true
	}
	return a.portfolio.value(len(classes))
}

// CountSearches returns the number of searches with the change that were compared.
func (a *RegressionAnalysis) CountSearches() uint64 { return a.totals[changeSide].requests }

// DescribeRegression returns what the change has been found to make worse, empty for nothing.
func (a *RegressionAnalysis) DescribeRegression() string {
	limit := 1 / a.limits.FalseStopProbability
	if value, strongest := a.EValue(); value >= limit {
		unserved := baselineMetric{metric: metricServed}.count(&a.changed)
		return fmt.Sprintf("regression in %s: evidence %.3g, limit %.3g, after %d searches, %d of them not served", strongest, value,
			limit, unserved.all, unserved.bad)
	}
	if description := a.describeConnections(); description != "" {
		return description
	}
	return a.describeMemory()
}

func (a *RegressionAnalysis) describeConnections() string {
	baseline, changed := a.totals[baselineSide], a.totals[changeSide]
	if changed.requests < minCompareRequests || baseline.requests < minCompareRequests {
		return ""
	}
	allowed := a.limits.Connections * float64(baseline.connections) / float64(max(1, baseline.requests)) * float64(changed.requests)
	if float64(changed.connections) <= allowed+extraConnections {
		return ""
	}
	return fmt.Sprintf("regression in connects: %d in %d searches with the change, %d in %d without", changed.connections, changed.requests,
		baseline.connections, baseline.requests)
}

func (a *RegressionAnalysis) describeMemory() string {
	var memory [sideCount][]uint64
	for _, sample := range a.latest {
		memory[sample.side()] = append(memory[sample.side()], sample.Stats.MemoryBytes)
	}
	if len(memory[baselineSide]) < minMemoryBaselines || len(memory[changeSide]) == 0 {
		return ""
	}
	baseline, changed := upperMedian(memory[baselineSide]), upperMedian(memory[changeSide])
	if float64(changed) <= a.limits.Memory*float64(baseline)+extraMemoryBytes {
		return ""
	}
	return fmt.Sprintf("regression in memory: median %d MiB with the change, %d MiB without", changed/bytesPerMiB, baseline/bytesPerMiB)
}

// upperMedian returns the median of values, the higher one if there are two. It sorts the values.
func upperMedian(values []uint64) uint64 {
	slices.Sort(values)
	return values[len(values)/2]
}
