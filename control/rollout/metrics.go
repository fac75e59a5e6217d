package rollout

// metric is a property of searches that a change may make worse. Under each metric, a search is either good or bad.
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

// Three metrics use the distribution of latencies or of sub-request counts. Under them a search is bad if it exceeds a
// value that the metric's fraction of the baseline's searches exceeds.
const (
	medianFraction      = 0.5
	tailFraction        = 0.05
	subRequestsFraction = 0.25
)

// minDistributionCount is how many observations of the baseline are needed to determine such a value.
const minDistributionCount = 20

// The baseline's fraction of bad searches is smoothed by this many pseudo-observations, so that the odds are not zero
// for a baseline without bad searches.
const (
	priorBad = 0.2
	priorAll = 10
)

// metricNames are the names in the reasons of verdicts.
var metricNames = [metricCount]string{"served", "late", "shed", "median", "tail", "sub_requests"}

// metricWeights are the parts of the initial wealth that are bet on each metric, 1 together. Whether searches are
// served at all matters most.
var metricWeights = [metricCount]float64{0.5, 0.1, 0.1, 0.1, 0.1, 0.1}

// margin returns the tolerated increase of the fraction of searches that are bad under a metric.
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

// baselineMetric is a metric with what it needs to know of the baseline.
type baselineMetric struct {
	metric   metric
	cutoff   int     // highest bucket that is not bad, for metrics that use a distribution
	fraction float64 // of the baseline's searches that are bad
}

// newBaselineMetric derives a metric from the baseline's searches. ok is false if these are too few.
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

// count returns the proportion of a class's searches that are bad under the metric.
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

// countAbove returns the proportion of observations in buckets above a cutoff.
func countAbove(buckets []uint64, cutoff int) (result proportion) {
	for bucket, count := range buckets {
		result.all += count
		if bucket > cutoff {
			result.bad += count
		}
	}
	return result
}

// cutoffBucket returns the lowest bucket above which there is at most a fraction of all observations. ok is false if
// there are too few observations.
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
