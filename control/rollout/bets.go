package rollout

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat/combin"
)

// The evidence for a regression is collected by betting against the null hypothesis that the change is no worse than
// its limits allow. Given how many searches of both sides together were bad, the number of bad searches with the change
// follows Fisher's noncentral hypergeometric distribution, whose parameter is the odds ratio between the sides. A bet
// is on one odds ratio above the tolerated one. Each look multiplies its wealth by the likelihood of what was observed
// under that odds ratio, divided by the likelihood under the tolerated one. Under the null hypothesis the expected
// wealth does not grow, so by Ville's inequality it reaches 1/α with a probability of at most α, over all looks
// together. Bets begin at every look, because a change may become worse later.

const (
	// likelihoodExponent is the power to which each likelihood ratio is raised. Searches fail together, so they count
	// less than independent ones; a power below 1 keeps the bet fair.
	likelihoodExponent = 0.75
	// minToleratedRatio is the least value of the tolerated odds ratio, however small the margin: the sides differ by
	// chance in ways that no counter shows.
	minToleratedRatio = 1.25
	// maxBaselineFraction and maxToleratedFraction keep odds finite.
	maxBaselineFraction  = 0.97
	maxToleratedFraction = 0.985
	// maxExactSearches is how many searches of a side one look counts exactly. Higher counts are scaled down, and those
	// of the other side by the same divisor, which bounds the computation.
	maxExactSearches = 2048
	// minExcessPart is the part of the margin by which the fractions of bad searches have to differ for a bet to count.
	// If bad searches are rare, the odds may differ widely while the fractions hardly do.
	minExcessPart = 0.5
	// maxLogWealth bounds the logarithm of a bet's wealth, since exp overflows a little above 709.
	maxLogWealth = 600
)

// betRatios are the odds ratios that are bet on, as multiples of the tolerated one.
var betRatios = [...]float64{1.5, 2.5, 5, 12}

// Parts of a metric's initial wealth that are bet on all searches, on single classes and on single places.
const (
	overallPart  = 0.5
	perClassPart = 0.25
	perPlacePart = 0.25
)

// allClasses is the class of a bet on all classes. The place of a bet on all places is the zero place.
const allClasses = -1

// logWealth is the logarithm of the wealth of a bet, for each of betRatios.
type logWealth [len(betRatios)]float64

// bet is a bet on one metric, of one class or allClasses, in one place or all (the zero place).
type bet struct {
	stratum
	metric metric
}

// String returns the bet as the reason of a verdict names it.
func (b bet) String() string {
	text := metricNames[b.metric]
	if b.class != allClasses {
		text += fmt.Sprintf(", class %d", b.class)
	}
	if b.place != (place{}) {
		text += ", in " + b.place.region + "/" + b.place.zone
	}
	return text
}

// portfolio is all bets and their wealth. A round is what a single look adds to them.
type portfolio struct {
	limits     RegressionLimits
	rounds     int                // begun so far
	stakedPart float64            // part of the initial wealth that was staked in the rounds so far
	wealth     map[bet]*logWealth // of the bets that have had an outcome in some round
	gains      map[bet]*logWealth // in the current round
	counts     map[bet]*[sideCount]proportion
	places     map[place]bool
}

func newPortfolio(limits RegressionLimits) *portfolio {
	return &portfolio{
		limits: limits, wealth: map[bet]*logWealth{}, counts: map[bet]*[sideCount]proportion{}, places: map[place]bool{},
	}
}

func (p *portfolio) beginRound() {
	p.rounds++
	p.gains = map[bet]*logWealth{}
}

// addCounts adds one round's counts of a stratum's sides to the bets that cover the stratum, and records what these bets
// gain by them. baseline has the counts of earlier rounds.
func (p *portfolio) addCounts(in stratum, baseline *ClassStats, sides *[sideCount]ClassStats) {
	p.places[in.place] = true
	for m := range metricCount {
		observed, ok := newBaselineMetric(m, baseline)
		if !ok {
			continue
		}
		var counts [sideCount]proportion
		for side := range counts {
			counts[side] = observed.count(&sides[side])
		}
		tolerated := toleratedOddsRatio(observed.fraction, p.limits.margin(m))
		ratios := logLikelihoodRatios(counts[changeSide], counts[baselineSide], tolerated)
		for _, b := range []bet{
			{stratum{class: allClasses}, m},
			{stratum{class: in.class}, m},
			{stratum{allClasses, in.place}, m},
		} {
			p.record(b, counts, ratios)
		}
	}
}

func (p *portfolio) record(b bet, counts [sideCount]proportion, ratios logWealth) {
	if p.counts[b] == nil {
		p.counts[b] = &[sideCount]proportion{}
	}
	for side := range counts {
		p.counts[b][side].add(counts[side])
	}
	for i, ratio := range ratios {
		if ratio == 0 {
			continue
		}
		if p.gains[b] == nil {
			p.gains[b] = &logWealth{}
		}
		p.gains[b][i] += ratio
	}
}

// endRound stakes the round's part of the initial wealth on each bet and pays out the gains. The parts, 1/(n(n+1)) in
// round n, add up to 1.
func (p *portfolio) endRound() {
	part := 1 / (float64(p.rounds) * float64(p.rounds+1))
	for b := range p.gains {
		if p.wealth[b] != nil {
			continue
		}
		wealth := &logWealth{} // what earlier rounds staked is unchanged, since the bet had no outcome in them
		for i := range wealth {
			wealth[i] = math.Log(p.stakedPart)
		}
		p.wealth[b] = wealth
	}
	for b, wealth := range p.wealth {
		gain := p.gains[b]
		for i := range wealth {
			wealth[i] = logSum(wealth[i], math.Log(part))
			if gain != nil {
				wealth[i] += gain[i]
			}
		}
	}
	p.stakedPart += part
}

// value returns the wealth of all bets together, 1 at the start, and the bet with the most wealth.
func (p *portfolio) value(classCount int) (value float64, strongest string) {
	highest := 0.0
	untouched := 1.0 // part of the initial wealth that is on bets not counted below; it counts unchanged
	for b, wealth := range p.wealth {
		counts := p.counts[b]
		excess := counts[changeSide].fraction() - counts[baselineSide].fraction()
		if excess < p.limits.margin(b.metric)*minExcessPart {
			continue
		}
		weight := p.weight(b, classCount)
		sum := 1 - p.stakedPart // what later rounds will stake
		for _, log := range wealth {
			sum += math.Exp(min(log, maxLogWealth)) / float64(len(betRatios))
		}
		value += weight * sum
		untouched -= weight
		if weight*sum > highest {
			highest, strongest = weight*sum, b.String()
		}
	}
	return value + max(0, untouched), strongest
}

// weight returns the part of the initial wealth that is on a bet.
func (p *portfolio) weight(b bet, classCount int) float64 {
	weight := metricWeights[b.metric]
	switch {
	case b.class != allClasses:
		return weight * perClassPart / float64(max(1, classCount))
	case b.place != (place{}):
		return weight * perPlacePart / float64(max(1, len(p.places)))
	}
	return weight * overallPart
}

// toleratedOddsRatio returns the odds ratio that corresponds to a margin on the fraction of bad searches.
func toleratedOddsRatio(baselineFraction, margin float64) float64 {
	// For a baseline below the margin, odds say little; minExcessPart decides then.
	baseline := min(max(baselineFraction, margin), maxBaselineFraction)
	tolerated := min(baseline+margin, maxToleratedFraction)
	return max(minToleratedRatio, odds(tolerated)/odds(baseline))
}

func odds(fraction float64) float64 { return fraction / (1 - fraction) }

// logLikelihoodRatios returns the logarithms of what each bet gains by one observation of the two sides: the likelihood
// of the change's count under the odds ratio of the bet, divided by its likelihood under the tolerated one.
func logLikelihoodRatios(changed, baseline proportion, tolerated float64) (ratios logWealth) {
	if scale := (max(changed.all, baseline.all) + maxExactSearches - 1) / maxExactSearches; scale > 1 {
		changed = proportion{changed.bad / scale, changed.all / scale}
		baseline = proportion{baseline.bad / scale, baseline.all / scale}
	}
	isConsistent := changed.bad <= changed.all && baseline.bad <= baseline.all
	bad, all := changed.bad+baseline.bad, changed.all+baseline.all
	if !isConsistent || changed.all == 0 || baseline.all == 0 || bad == 0 || bad >= all {
		return ratios
	}
	distribution := newHypergeometric(changed.all, baseline.all, bad)
	if len(distribution.logWays) == 1 { // only one count is possible
		return ratios
	}
	logTolerated := math.Log(tolerated)
	normTolerated := distribution.logNorm(logTolerated)
	for i, multiple := range betRatios {
		logMultiple := math.Log(multiple)
		logNorm := distribution.logNorm(logTolerated + logMultiple)
		ratios[i] = likelihoodExponent * (float64(changed.bad)*logMultiple - (logNorm - normTolerated))
	}
	return ratios
}

// hypergeometric is Fisher's noncentral hypergeometric distribution of the number of bad searches with the change,
// given the number of bad searches of both sides.
type hypergeometric struct {
	lowest  int       // smallest possible count
	logWays []float64 // logarithm of the number of ways to get each count, from lowest on
	terms   []float64 // scratch space
}

func newHypergeometric(changedAll, baselineAll, bad uint64) *hypergeometric {
	lowest, highest := 0, int(min(bad, changedAll))
	if bad > baselineAll {
		lowest = int(bad - baselineAll)
	}
	h := &hypergeometric{lowest: lowest, logWays: make([]float64, highest-lowest+1)}
	h.terms = make([]float64, len(h.logWays))
	if len(h.logWays) == 1 {
		return h
	}
	for i := range h.logWays {
		count := float64(lowest + i)
		h.logWays[i] = combin.LogGeneralizedBinomial(float64(changedAll), count) +
			combin.LogGeneralizedBinomial(float64(baselineAll), float64(bad)-count)
	}
	return h
}

// logNorm returns the logarithm of the distribution's normalizing sum, for the logarithm of an odds ratio.
func (h *hypergeometric) logNorm(logRatio float64) float64 {
	for i := range h.terms {
		h.terms[i] = h.logWays[i] + float64(h.lowest+i)*logRatio
	}
	return floats.LogSumExp(h.terms)
}

// logSum returns the logarithm of the sum of two numbers given by their logarithms.
func logSum(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
