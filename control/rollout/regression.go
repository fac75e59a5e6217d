package rollout

import (
	"fmt"
	"slices"
)

const (
	// maxContinueEValue is the evidence above which no further step begins. It then grows until the change is stopped,
	// or it fades.
	maxContinueEValue = 1.5
	// minCompareRequests is how many searches each side needs before connections are compared.
	minCompareRequests = 200
	// extraConnections are tolerated on top of the limit: a few reconnects are chance.
	extraConnections = 100
	// extraMemoryBytes are tolerated likewise: the memory of a small process may double by chance.
	extraMemoryBytes = 64 << 20
	// minMemoryBaselines is how many instances without the change make a useful median.
	minMemoryBaselines = 3

	bytesPerMiB = 1 << 20
)

// Sample is one instance's counters at one look.
type Sample struct {
	Name, Region, Zone string
	HasChange          bool
	Incarnation        uint64 // the counters start from 0 with it
	Stats              InstanceStats
}

// RegressionAnalysis compares the instances with a change to those without it, look after look. A look compares what was
// counted since the last one, for each class and each place in which both sides have instances. Its bets (bets.go)
// collect evidence that stays valid however often it is looked at; connections and memory are held against plain limits.
//
// It is not safe for concurrent use. Its memory is bounded by metricCount bets for each class and place.
type RegressionAnalysis struct {
	limits    RegressionLimits
	latest    map[string]*Sample      // by instance
	baselines map[stratum]*ClassStats // of the instances without the change, up to the previous look
	changed   ClassStats              // of all instances with the change
	totals    [sideCount]sideTotals
	sidesHash uint64  // of the samples that matched belongs to
	matched   []place // of the samples, in their order
	portfolio *portfolio
}

// stratum is the part of the searches that is compared at once.
type stratum struct {
	class int
	place place
}

// sideTotals are sums over all instances of a side.
type sideTotals struct{ requests, connections uint64 }

// increments are what the two sides of each stratum counted between two looks.
type increments map[stratum]*[sideCount]ClassStats

// NewRegressionAnalysis starts a comparison.
func NewRegressionAnalysis(limits RegressionLimits) *RegressionAnalysis {
	return &RegressionAnalysis{
		limits: limits, latest: map[string]*Sample{}, baselines: map[stratum]*ClassStats{}, portfolio: newPortfolio(limits),
	}
}

// AddSamples takes in the samples of all instances that are warmed up. The samples belong to the analysis from then on.
func (a *RegressionAnalysis) AddSamples(samples []Sample) {
	if hash := hashSides(samples); hash != a.sidesHash || a.matched == nil { // the sides seldom change
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
		a.portfolio.bet(stratum, baseline, sides)
		baseline.addIncrease(&sides[baselineSide], &ClassStats{})
		a.changed.addIncrease(&sides[changeSide], &ClassStats{})
	}
	a.portfolio.endRound()
}

// addSample adds what an instance counted since its previous sample. The first sample of an incarnation is only
// remembered.
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

// EValue is the evidence for a regression, 1 without any, and the bet that contributes most to it.
func (a *RegressionAnalysis) EValue() (value float64, strongest string) {
	classes := map[int]bool{}
	for stratum := range a.baselines {
		classes[stratum.class] = true
	}
	return a.portfolio.value(len(classes))
}

// CountSearches is the number of searches with the change that were compared.
func (a *RegressionAnalysis) CountSearches() uint64 { return a.totals[changeSide].requests }

// DescribeRegression is what the change makes worse, empty for nothing so far.
func (a *RegressionAnalysis) DescribeRegression() string {
	limit := 1 / a.limits.FalseStopProbability
	if value, strongest := a.EValue(); value >= limit {
		unserved := baselineMetric{metric: metricServed}.count(&a.changed)
		return fmt.Sprintf("worse by %s: evidence %.3g of %.3g after %d searches, %d not served", strongest, value,
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
	return fmt.Sprintf("worse by connects: %d in %d searches, %d in %d on the old side", changed.connections, changed.requests,
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
	return fmt.Sprintf("worse by memory: median %d MiB, %d MiB on the old side", changed/bytesPerMiB, baseline/bytesPerMiB)
}

// upperMedian is the median of values, the higher of the two middle ones. It sorts them.
func upperMedian(values []uint64) uint64 {
	slices.Sort(values)
	return values[len(values)/2]
}
