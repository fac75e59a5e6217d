package rollout

// metric is one property of searches that a change may make worse. Each search is good or bad under each metric.
type metric int

const (
	metricServed metric = iota
	metricLate
	metricShed
	metricMedian
	metricTail
	metricSubRequests
	metricCount
)

// What counts as bad under the metrics that compare with the baseline's own distribution: to exceed the value that this
// fraction of the baseline exceeds.
const (
	medianFraction      = 0.5
	tailFraction        = 0.05
	subRequestsFraction = 0.25
)

// minDistributionCount is how many observations the baseline needs before it has such a value.
const minDistributionCount = 20

// The baseline's fraction of bad searches is smoothed by this many imagined searches, so that a baseline without any bad
// one does not make the odds zero.
const (
	priorBad = 0.2
	priorAll = 10
)

// metricNames stand in the reasons of verdicts.
var metricNames = [metricCount]string{"served", "late", "shed", "median", "tail", "sub_requests"}

// metricWeights are the parts of the initial wealth that are bet on each metric. They add up to 1. Whether searches are
// served at all matters most.
var metricWeights = [metricCount]float64{0.5, 0.1, 0.1, 0.1, 0.1, 0.1}

// margin is the increase of a metric's bad fraction that is tolerated.
func (l *RegressionLimits) margin(m metric) float64 {
	return [metricCount]float64{l.Served, l.Late, l.Shed, l.Median, l.Tail, l.SubRequests}[m]
}

// proportion is how many of all observations are bad.
type proportion struct{ bad, all uint64 }

func (p *proportion) add(other proportion) {
	p.bad += other.bad
	p.all += other.all
}

func (p proportion) fraction() float64 { return float64(p.bad) / float64(max(1, p.all)) }

// baselineMetric is a metric with what the baseline has shown so far.
type baselineMetric struct {
	metric   metric
	cutoff   int     // highest bucket that is not bad, for metrics of a distribution
	fraction float64 // of the baseline's searches that are bad
}

// newBaselineMetric derives a metric from the baseline's searches. It is not ok while these are too few.
func newBaselineMetric(m metric, baseline *ClassStats) (result baselineMetric, ok bool) {
	result.metric, ok = m, true
	switch m {
	case metricMedian:
		result.cutoff, ok = cutoffBucket(baseline.Latencies[:], medianFraction)
	case metricTail:
		result.cutoff, ok = cutoffBucket(baseline.Latencies[:], tailFraction)
	case metricSubRequests:
		result.cutoff, ok = cutoffBucket(baseline.SubRequests[:], subRequestsFraction)
	}
	if !ok {
		return baselineMetric{}, false
	}
	observed := result.count(baseline)
	result.fraction = (float64(observed.bad) + priorBad) / (float64(observed.all) + priorAll)
	return result, true
}

// count is the proportion of a class's searches that are bad under the metric.
func (b baselineMetric) count(stats *ClassStats) proportion {
	switch b.metric {
	case metricServed:
		return proportion{stats.Requests - min(stats.Requests, stats.Served), stats.Requests}
	case metricLate:
		return proportion{stats.Late, max(stats.Served, stats.Late)}
	case metricShed:
		return proportion{stats.Shed, max(stats.Requests, stats.Shed)}
	case metricSubRequests:
		return countAbove(stats.SubRequests[:], b.cutoff)
	}
	return countAbove(stats.Latencies[:], b.cutoff)
}

// countAbove is the proportion of observations in buckets above a cutoff.
func countAbove(buckets []uint64, cutoff int) (result proportion) {
	for bucket, count := range buckets {
		result.all += count
		if bucket > cutoff {
			result.bad += count
		}
	}
	return result
}

// cutoffBucket is the lowest bucket that at most a fraction of all observations is above. It is not ok for too few
// observations.
func cutoffBucket(buckets []uint64, fraction float64) (cutoff int, ok bool) {
	total := countAbove(buckets, 0).all
	if total < minDistributionCount {
		return 0, false
	}
	above := uint64(0)
	for bucket := len(buckets) - 1; bucket > 0; bucket-- {
		above += buckets[bucket]
		if float64(above) > fraction*float64(total) {
			return bucket, true
		}
	}
	return 0, true
}
