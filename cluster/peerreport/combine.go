package peerreport

import (
	"cmp"
	"math"
	"slices"

	"chalkring/balancer"
)

const (
	// outlierLifetime is the age of a report from which its outliers are ignored: by then the peer has probed the host
	// itself.
	outlierLifetime = 20 * second
	// maxVoteWeight bounds the weight of reports, in answers. It is the bound that the balancer sets on gossiped
	// observations, so that three answers of its own outweigh them.
	maxVoteWeight = 3.0
	// minCombinedWeight is the weight, in answers, below which reports of a host's slowness are ignored.
	minCombinedWeight = 0.05
	// minFleetSamples is the number of answers from which a peer's fleet latency counts, the same as in the balancer.
	minFleetSamples = 8.0
)

// windowVote is the slowness of a host or zone that one peer reports for one of the two windows. The zero value is the
// vote of a peer that reports nothing about it: as fast as the fleet, without weight.
type windowVote struct {
	weight   float64 // in answers
	slowdown float64 // mean logarithm of answer times, less the fleet's
}

// hostVotes are the votes of all peers on one host.
type hostVotes struct {
	short, long []windowVote
	outlierFor  []int64 // for how much longer each peer's vote for an outlier counts; 0 if the peer has no such vote
}

func (v *hostVotes) reset() {
	v.short, v.long, v.outlierFor = v.short[:0], v.long[:0], v.outlierFor[:0]
}

func (v *hostVotes) add(short, long windowVote, outlierFor int64) {
	v.short = append(v.short, short)
	v.long = append(v.long, long)
	v.outlierFor = append(v.outlierFor, outlierFor)
}

// Combine merges all reports into one set of observations of the fleet, of zones and of hosts at the time now.
// hostStart returns the start of a host on this instance's endpoint list in Unix milliseconds; observations of a host
// with another start are ignored, and so are hosts that are not listed. If an earlier call has returned an observation
// of a host that no longer holds, the result contains one without weight, so that the balancer drops it.
//
// The slowness of a host is the lower median of the peers' votes, with one vote per peer whatever its weight: a single
// lying peer could move a mean as far as it likes, and a weighted median would follow the freshest report. A peer that
// reports nothing about a host votes that it is as fast as the fleet, so a host that only one of several peers reports
// does not count as slow. The weight is the sum of the votes' weights, each bounded and decayed by the age of its
// report: an older report never weighs more. A host is an outlier if more than half of the peers report it as one.
func (s *ReportStore) Combine(now int64, hostStart func(host string) (startMs int64, listed bool)) []balancer.GossipedObservation {
	s.ExpireReports(now)
	peers := sortedKeys(s.reports) // a fixed order, since sums of floats depend on it
	combined := s.combineFleet(peers)
	combined = append(combined, s.combineZones(now, peers)...)
	var votes hostVotes
	for _, host := range s.mentionedHosts() {
		startMs, listed := hostStart(host)
		if !listed {
			delete(s.combinedHosts, host)
			continue
		}
		s.collectHostVotes(&votes, now, peers, host, startMs)
		observation := votes.combine(host, startMs)
		isInformative := observation.Outlier || observation.ShortWindow.Weight > 0 || observation.LongWindow.Weight > 0
		if isInformative || s.combinedHosts[host] {
			combined = append(combined, observation)
		}
		if isInformative {
			s.combinedHosts[host] = true
		} else {
			delete(s.combinedHosts, host)
		}
	}
	return combined
}

// mentionedHosts returns, sorted, the hosts in any report and those that Combine may still have to retract.
func (s *ReportStore) mentionedHosts() []string {
	hosts := map[string]bool{}
	for _, r := range s.reports {
		for host := range r.observations {
			hosts[host] = true
		}
	}
	for host := range s.combinedHosts {
		hosts[host] = true
	}
	return sortedKeys(hosts)
}

func (s *ReportStore) collectHostVotes(votes *hostVotes, now int64, peers []string, host string, startMs int64) {
	votes.reset()
	for _, peer := range peers {
		r := s.reports[peer]
		observation := s.observationOf(r, host, startMs)
		if observation == nil {
			votes.add(windowVote{}, windowVote{}, 0)
			continue
		}
		age := max(0, now-r.takenAt)
		zoneLatency := s.zoneLatency(r, observation)
		short := windowVote{
			weight:   decayedWeight(observation.ShortSamples, age, balancer.ShortWindow),
			slowdown: float64(observation.ShortLogSlowdown)/logScale - zoneLatency,
		}
		long := windowVote{
			weight:   decayedWeight(observation.LongSamples, age, balancer.LongWindow),
			slowdown: float64(observation.LongLogSlowdown)/logScale - zoneLatency,
		}
		outlierFor := int64(0)
		if observation.IsOutlier && !r.selfFault {
			outlierFor = max(0, outlierLifetime-age)
		}
		votes.add(short, long, outlierFor)
	}
}

// combine returns the observation that results from the votes on a host. It reorders the votes.
func (v *hostVotes) combine(host string, startMs int64) balancer.GossipedObservation {
	outlierFor := lowerMedian(v.outlierFor) // more than half of the peers vote for an outlier for at least this long
	return balancer.GossipedObservation{
		Scope: balancer.ScopeReplica, Replica: host, ReplicaStart: startMs * tenthsPerMs,
		ShortWindow: combineWindow(v.short), LongWindow: combineWindow(v.long),
		Outlier: outlierFor > 0, OutlierDuration: outlierFor,
	}
}

// combineFleet returns the lower medians of the fleet latency and of the shortest latency. Only peers in this instance's
// locality count: the latencies that others measure include the distance from their locality.
func (s *ReportStore) combineFleet(peers []string) []balancer.GossipedObservation {
	var fleetLatencies, minLatencies []float64
	for _, peer := range peers {
		header := &s.reports[peer].header
		if header.Locality != s.locality || float64(header.AnswerCount)/countScale < minFleetSamples {
			continue
		}
		fleetLatencies = append(fleetLatencies, float64(header.FleetLatency))
		if header.MinLatency > 0 {
			minLatencies = append(minLatencies, float64(header.MinLatency))
		}
	}
	if len(fleetLatencies) == 0 {
		return nil
	}
	return []balancer.GossipedObservation{{
		Scope: balancer.ScopeFleet, FleetLatency: lowerMedian(fleetLatencies), ShortestLatency: lowerMedian(minLatencies),
	}}
}

// combineZones returns the latencies to the zones that any peer in this instance's locality reports.
func (s *ReportStore) combineZones(now int64, peers []string) (combined []balancer.GossipedObservation) {
	votes := map[int][]windowVote{}
	voters := 0
	for _, peer := range peers {
		r := s.reports[peer]
		if r.header.Locality != s.locality {
			continue
		}
		voters++
		age := max(0, now-r.takenAt)
		for _, zone := range r.header.Zones {
			if index, known := s.zones[zone.Name]; known {
				votes[index] = append(votes[index], windowVote{
					weight:   decayedWeight(zone.Samples, age, balancer.ShortWindow),
					slowdown: float64(zone.LogSlowdown) / logScale,
				})
			}
		}
	}
	for _, index := range sortedKeys(votes) {
		for len(votes[index]) < voters {
			votes[index] = append(votes[index], windowVote{})
		}
		window := combineWindow(votes[index])
		isInformative := window.Weight > 0
		if isInformative || s.combinedZones[index] {
			combined = append(combined, balancer.GossipedObservation{Scope: balancer.ScopeZone, Zone: index, ShortWindow: window})
			s.combinedZones[index] = isInformative
		}
	}
	return combined
}

// decayedWeight returns the weight, in answers, of a sample count in a report of a given age: bounded, and decayed with
// window as the time constant.
func decayedWeight(samples uint16, age int64, window float64) float64 {
	return min(maxVoteWeight, float64(samples)/countScale) * math.Exp(-float64(age)/window)
}

// combineWindow returns the lower median of the slowdowns with the bounded sum of the weights. It returns the zero value
// if the median is not above 0: reports only ever make a host look slower, so that instances that start together do not
// all send their requests to a host that is reported as fast.
func combineWindow(votes []windowVote) balancer.DecayingMean {
	totalWeight, slowdowns := 0.0, make([]float64, 0, len(votes))
	for _, vote := range votes {
		totalWeight += vote.weight
		slowdowns = append(slowdowns, vote.slowdown)
	}
	if totalWeight < minCombinedWeight {
		return balancer.DecayingMean{}
	}
	slowdown := lowerMedian(slowdowns)
	if slowdown <= 0 {
		return balancer.DecayingMean{}
	}
	return balancer.DecayingMean{Weight: min(maxVoteWeight, totalWeight), Mean: slowdown}
}

// lowerMedian returns the lower of the two middle values, and 0 for no values. It sorts values.
func lowerMedian[T int64 | float64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
