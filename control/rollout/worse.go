package rollout

import (
	"fmt"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat/combin"
)

const (
	LatencyBucketCount    = 32       // of answer times, half a doubling each from 1 ms: up to 65 s
	SubRequestBucketCount = 20       // of sub-requests a search, half a doubling each from 1: up to 1,024
	MaxClasses            = 8        // classes that are compared, the first of them: their sums fit an entry
	temper                = 0.75     // power of each bet: searches that fail together count as half as many, and stay fair
	oddsLeast             = 1.25     // times the old side's odds that pass in any case: sides differ by luck that no count shows
	maxContinueEValue     = 1.5      // evidence over which nobody goes on yet: either it grows to a stop or it fades
	blockMost             = 2048     // searches of a side in one look at a place that are reckoned with one by one: bounds the work
	countLeast            = 200      // searches of the new side before connects are judged
	connectsOver          = 100.0    // connects over what is allowed before they are judged: a few reconnects are chance
	memoryOver            = 64 << 20 // bytes likewise: a small process's memory doubles by chance
	memoryLeast           = 3        // instances of the old side with a median worth its name
)

// odds are the bets: how many times the odds that still pass the new side's may be.
var odds = [...]float64{1.5, 2.5, 5, 12}

// ClassStats are an instance's sums over one class of searches since it was warm; they only rise.
type ClassStats struct {
	Requests    uint64                        `cbor:"1,keyasint"`
	Served      uint64                        `cbor:"2,keyasint"`
	Late        uint64                        `cbor:"3,keyasint"` // of the served
	Shed        uint64                        `cbor:"4,keyasint"`
	Latencies   [LatencyBucketCount]uint64    `cbor:"5,keyasint"` // answers by LatencyBucket
	SubRequests [SubRequestBucketCount]uint64 `cbor:"6,keyasint"` // searches by SubRequestBucket
}

// InstanceStats are all of an instance's.
type InstanceStats struct {
	Classes     []ClassStats `cbor:"1,keyasint"`
	Connections uint64       `cbor:"2,keyasint"`
	MemoryBytes uint64       `cbor:"3,keyasint"` // bytes at present; the one that may fall
}

// LatencyBucket is where an answer's time stands, in tenths of a millisecond.
func LatencyBucket(took int64) int { return bucket(uint64(max(0, took)/10), LatencyBucketCount) }

// SubRequestBucket is where a number of sub-requests stands.
func SubRequestBucket(n int) int { return bucket(uint64(max(0, n)), SubRequestBucketCount) }

// bucket is 0 for 0, then two for each doubling.
func bucket(v uint64, most int) int {
	if v == 0 {
		return 0
	}
	log := bits.Len64(v) - 1
	b := 1 + 2*log
	if log > 0 && v>>(log-1)&1 == 1 { // the upper half of the doubling
		b++
	}
	return min(b, most-1)
}

// Sample is one instance's sums as one look finds them.
type Sample struct {
	Name, Region, Zone string
	HasChange          bool
	Incarnation        uint64 // sums begin anew with it
	Stats              InstanceStats
}

// metric is one thing that may be worse.
type metric int

const (
	served metric = iota
	late
	shed
	median
	tail
	subs
	metricCount
)

var (
	metricNames   = [metricCount]string{"served", "late", "shed", "median", "tail", "sub_requests"}
	metricWeights = [metricCount]float64{0.5, 0.1, 0.1, 0.1, 0.1, 0.1} // of the evidence: what is served matters most
)

func (w *RegressionLimits) margin(m metric) float64 {
	return [metricCount]float64{w.Served, w.Late, w.Shed, w.Median, w.Tail, w.SubRequests}[m]
}

// RegressionAnalysis compares old and new side by side, look after look. Each look compares what was added since the last, in
// each place where both sides have instances and each class: given how many searches of both went wrong together, is the
// new side's part of them larger than its part of the searches and the margin explain. That is a bet against 'no worse'
// whose money is a product of likelihood ratios (Fisher's noncentral hypergeometric), fair whatever the hosts do to
// both sides; over all looks, and over bets that begin at any of them, it grows to 1/α with a chance of at most α
// however often it is looked at. It is one goroutine's. Bounded: metrics x (classes + places) bets.
type RegressionAnalysis struct {
	worse  RegressionLimits
	looks  int
	spent  float64 // of the weight of bets that begin at a look
	seen   map[string]*Sample
	past   map[stratum]*ClassStats // the old side's, up to the last look
	money  map[bet]*[len(odds)]float64
	shares map[bet]*[4]uint64 // bad and all, old and new
	new    ClassStats         // all of it
	who    uint64             // hash of who is on which side
	place  [][2]string        // of each of them, as they are handed in
	sides  [2]struct{ asked, connects uint64 }
	places map[[2]string]bool
}

type stratum struct {
	class int
	place [2]string // region and zone, a star for all that have no pair nearer
}

// bet is on one class or all (-1), in one place or all ("").
type bet struct {
	stratum
	metric metric
}

// NewRegressionAnalysis begins to compare.
func NewRegressionAnalysis(w RegressionLimits) *RegressionAnalysis {
	return &RegressionAnalysis{
		worse: w, seen: map[string]*Sample{}, past: map[stratum]*ClassStats{}, money: map[bet]*[len(odds)]float64{}, shares: map[bet]*[4]uint64{},
		places: map[[2]string]bool{},
	}
}

func (c *ClassStats) add(now, before *ClassStats) {
	c.Requests += now.Requests - before.Requests
	c.Served += now.Served - before.Served
	c.Late += now.Late - before.Late
	c.Shed += now.Shed - before.Shed
	for i := range c.Latencies {
		c.Latencies[i] += now.Latencies[i] - before.Latencies[i]
	}
	for i := range c.SubRequests {
		c.SubRequests[i] += now.SubRequests[i] - before.SubRequests[i]
	}
}

// rises tells that no sum is under what it was: anything else is another life, or no sums at all.
func rises(now, before *ClassStats) bool {
	for i := range now.Latencies {
		if now.Latencies[i] < before.Latencies[i] {
			return false
		}
	}
	for i := range now.SubRequests {
		if now.SubRequests[i] < before.SubRequests[i] {
			return false
		}
	}
	return now.Requests >= before.Requests && now.Served >= before.Served && now.Late >= before.Late && now.Shed >= before.Shed
}

// placesOf matches the sides: by zone where both have instances, what is left by region, the rest all together.
func placesOf(all []Sample) [][2]string {
	place, none := make([][2]string, len(all)), [2]string{}
	for _, level := range []func(s *Sample) [2]string{
		func(s *Sample) [2]string { return [2]string{s.Region, s.Zone} },
		func(s *Sample) [2]string { return [2]string{s.Region, "*"} },
		func(*Sample) [2]string { return [2]string{"*", "*"} },
	} {
		both := map[[2]string]int{}
		for i := range all {
			if place[i] == none {
				both[level(&all[i])] |= 1 << btoi(all[i].HasChange)
			}
		}
		for i := range all {
			if place[i] == none && both[level(&all[i])] == 3 {
				place[i] = level(&all[i])
			}
		}
	}
	return place
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// AddSamples takes in the samples of all instances that are warm.
func (e *RegressionAnalysis) AddSamples(all []Sample) {
	e.looks++
	first := 1 / (float64(e.looks) * float64(e.looks+1)) // of the weight for bets that begin now; they sum to 1
	who := xxhash.New()
	for i := range all {
		who.WriteString(all[i].Name)
		who.Write([]byte{0, byte(btoi(all[i].HasChange))})
	}
	if sum := who.Sum64(); sum != e.who || e.place == nil { // who is on which side seldom changes
		e.who, e.place = sum, placesOf(all)
	}
	added := map[stratum]*[2]ClassStats{}
	classes := 0
	for i := range all {
		s := &all[i]
		if len(s.Stats.Classes) > MaxClasses {
			s.Stats.Classes = s.Stats.Classes[:MaxClasses]
		}
		before := e.seen[s.Name]
		e.seen[s.Name] = s
		if before == nil || before.Incarnation != s.Incarnation { // what it had before it was seen, warm, is not set beside anything
			continue
		}
		classes = max(classes, len(s.Stats.Classes))
		for c := range s.Stats.Classes {
			var was ClassStats
			if c < len(before.Stats.Classes) {
				was = before.Stats.Classes[c]
			}
			if !rises(&s.Stats.Classes[c], &was) || e.place[i] == [2]string{} {
				continue
			}
			at := stratum{c, e.place[i]}
			if added[at] == nil {
				added[at] = &[2]ClassStats{}
			}
			added[at][btoi(s.HasChange)].add(&s.Stats.Classes[c], &was)
			e.sides[btoi(s.HasChange)].asked += s.Stats.Classes[c].Requests - was.Requests
		}
		if s.Stats.Connections >= before.Stats.Connections {
			e.sides[btoi(s.HasChange)].connects += s.Stats.Connections - before.Stats.Connections
		}
	}
	gain := map[bet]*[len(odds)]float64{}
	earn := func(b bet, log float64, i int) {
		if gain[b] == nil {
			gain[b] = &[len(odds)]float64{}
		}
		gain[b][i] += log
	}
	for at, sides := range added {
		e.places[at.place] = true
		past := e.past[at]
		if past == nil {
			past = &ClassStats{}
			e.past[at] = past
		}
		for m := range metricCount {
			f, cut, ok := usual(past, m)
			if !ok {
				continue
			}
			newBad, newAll := count(&sides[1], m, cut)
			oldBad, oldAll := count(&sides[0], m, cut)
			logs := ratios(newBad, newAll, oldBad, oldAll, oddsOver(f, e.worse.margin(m)))
			for _, b := range []bet{{stratum{class: -1}, m}, {stratum{class: at.class}, m}, {stratum{-1, at.place}, m}} {
				if e.shares[b] == nil {
					e.shares[b] = &[4]uint64{}
				}
				for i, n := range []uint64{oldBad, oldAll, newBad, newAll} {
					e.shares[b][i] += n
				}
				for i, log := range logs {
					if log != 0 {
						earn(b, log, i)
					}
				}
			}
		}
		past.add(&sides[0], &ClassStats{})
		e.new.add(&sides[1], &ClassStats{})
	}
	for b := range gain {
		if e.money[b] == nil { // it has earned nothing so far
			var m [len(odds)]float64
			for i := range m {
				m[i] = math.Log(e.spent)
			}
			e.money[b] = &m
		}
	}
	for b, m := range e.money {
		for i := range m {
			m[i] = logAdd(m[i], math.Log(first))
			if g := gain[b]; g != nil {
				m[i] += g[i]
			}
		}
	}
	e.spent += first
}

func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// usual is the old side's share that counts as bad under a metric, of what was seen before this look, and for the
// metrics that need one the bucket above which it does.
func usual(past *ClassStats, m metric) (f float64, cut int, ok bool) {
	switch m {
	case median, tail:
		cut, ok = cutOf(past.Latencies[:], [...]float64{median: 0.5, tail: 0.05}[m])
	case subs:
		cut, ok = cutOf(past.SubRequests[:], 0.25)
	default:
		ok = true
	}
	if !ok {
		return 0, 0, false
	}
	bad, all := count(past, m, cut)
	return (float64(bad) + 0.2) / (float64(all) + 10), cut, true
}

// cutOf is the bucket above which so large a share of all stands, or a little less.
func cutOf(all []uint64, share float64) (int, bool) {
	sum, above := uint64(0), uint64(0)
	for _, n := range all {
		sum += n
	}
	if sum < 20 { // nothing is usual yet
		return 0, false
	}
	for b := len(all) - 1; b > 0; b-- {
		if above += all[b]; float64(above) > share*float64(sum) {
			return b, true
		}
	}
	return 0, true
}

// count is how many are bad under a metric, and of how many.
func count(c *ClassStats, m metric, cut int) (bad, all uint64) {
	above := func(of []uint64) (bad, all uint64) {
		for b, n := range of {
			if all += n; b > cut {
				bad += n
			}
		}
		return bad, all
	}
	switch m {
	case served:
		return c.Requests - min(c.Requests, c.Served), c.Requests
	case late:
		return c.Late, max(c.Served, c.Late)
	case shed:
		return c.Shed, max(c.Requests, c.Shed)
	case subs:
		return above(c.SubRequests[:])
	}
	return above(c.Latencies[:])
}

// oddsOver is what a margin on a share is in odds.
func oddsOver(f, margin float64) float64 {
	f = min(max(f, margin), 0.97) // below the margin odds say little: there the shares themselves have to differ too
	g := min(f+margin, 0.985)
	return max(oddsLeast, (g/(1-g))/(f/(1-f)))
}

// ratios are the logs of what each bet makes of one block: the likelihood of the new side's part of all that went
// wrong if its odds are so much over the margin, against right at it. Under any odds up to the margin the bet is fair
// or worse than fair.
func ratios(newBad, newAll, oldBad, oldAll uint64, margin float64) (logs [len(odds)]float64) {
	if by := (max(newAll, oldAll) + blockMost - 1) / blockMost; by > 1 {
		newBad, newAll, oldBad, oldAll = newBad/by, newAll/by, oldBad/by, oldAll/by
	}
	bad := newBad + oldBad
	if newAll == 0 || oldAll == 0 || bad == 0 || bad >= newAll+oldAll || newBad > newAll || oldBad > oldAll {
		return logs
	}
	least, most := 0, int(min(bad, newAll))
	if bad > oldAll {
		least = int(bad - oldAll)
	}
	if least == most {
		return logs
	}
	ways := make([]float64, most-least+1)
	terms := make([]float64, len(ways))
	for i := range ways {
		x := float64(least + i)
		ways[i] = combin.LogGeneralizedBinomial(float64(newAll), x) + combin.LogGeneralizedBinomial(float64(oldAll), float64(bad)-x)
	}
	norm := func(log float64) float64 {
		for i := range terms {
			terms[i] = ways[i] + float64(least+i)*log
		}
		return floats.LogSumExp(terms)
	}
	at := math.Log(margin)
	base := norm(at)
	for i, more := range odds {
		log := math.Log(more)
		logs[i] = temper * (float64(newBad)*log - (norm(at+log) - base))
	}
	return logs
}

// EValue is the money of all bets together, 1 at the start, and what has earned most of it.
func (e *RegressionAnalysis) EValue() (value float64, what string) {
	classes := map[int]bool{}
	for at := range e.past {
		classes[at.class] = true
	}
	most := 0.0
	rest := 1.0 // of the weight, on bets that have earned nothing
	for b, m := range e.money {
		if s := e.shares[b]; float64(s[2])/float64(max(1, s[3]))-float64(s[0])/float64(max(1, s[1])) < e.worse.margin(b.metric)/2 {
			continue // likely by odds, and still no more than what passes
		}
		weight := metricWeights[b.metric] / 4
		switch {
		case b.class < 0 && b.place == [2]string{}:
			weight *= 2
		case b.class >= 0:
			weight /= float64(max(1, len(classes)))
		default:
			weight /= float64(max(1, len(e.places)))
		}
		sum := 1 - e.spent
		for i := range m {
			sum += math.Exp(min(m[i], 600)) / float64(len(odds))
		}
		value, rest = value+weight*sum, rest-weight
		if weight*sum > most {
			most, what = weight*sum, b.String()
		}
	}
	return value + max(0, rest), what
}

func (b bet) String() string {
	text := metricNames[b.metric]
	if b.class >= 0 {
		text += fmt.Sprintf(", class %d", b.class)
	}
	if b.place != [2]string{} {
		text += ", in " + b.place[0] + "/" + b.place[1]
	}
	return text
}

// CountSearches counts the new side's.
func (e *RegressionAnalysis) CountSearches() uint64 { return e.sides[1].asked }

// DescribeRegression tells what is worse, "" for nothing so far.
func (e *RegressionAnalysis) DescribeRegression() string {
	if value, what := e.EValue(); value >= 1/e.worse.FalseStopProbability {
		bad, all := count(&e.new, served, 0)
		return fmt.Sprintf("worse by %s: evidence %.3g of %.3g after %d searches, %d not served", what, value,
			1/e.worse.FalseStopProbability, all, bad)
	}
	o, n := e.sides[0], e.sides[1]
	if allowed := e.worse.Connections * float64(o.connects) / float64(max(1, o.asked)) * float64(n.asked); n.asked >= countLeast &&
		o.asked >= countLeast && float64(n.connects) > allowed+connectsOver {
		return fmt.Sprintf("worse by connects: %d in %d searches, %d in %d on the old side", n.connects, n.asked, o.connects, o.asked)
	}
	var memory [2][]uint64
	for _, s := range e.seen {
		memory[btoi(s.HasChange)] = append(memory[btoi(s.HasChange)], s.Stats.MemoryBytes)
	}
	if len(memory[0]) >= memoryLeast && len(memory[1]) > 0 {
		slices.Sort(memory[0])
		slices.Sort(memory[1])
		was, is := memory[0][len(memory[0])/2], memory[1][len(memory[1])/2]
		if float64(is) > e.worse.Memory*float64(was)+memoryOver {
			return fmt.Sprintf("worse by memory: median %d MiB, %d MiB on the old side", is>>20, was>>20)
		}
	}
	return ""
}
