package peerreport

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"chalkring/balancer"
)

// ReportStore keeps the last report of each peer and combines them. It is one goroutine's.
//
// Of a host, the peers' slowness is put together by the lower median, one vote a peer whatever it weighs: a mean
// follows one liar as far as it likes, a weighted median follows the freshest. A peer that tells nothing of a
// host votes for 'as usual', so that hosts which only one speaks of are not believed bad on its word where others
// have reported. How much the result weighs is the sum of what the notes weigh, each bounded and decayed
// by its age, so that more age never weighs more. A host is bad where more than half of the peers say so.
type ReportStore struct {
	place   string
	zones   map[string]int
	reports map[string]*report // whole ones, by peer
	coming  map[string]*report // ones that have begun
	moved   map[string]int64   // notes of these hosts that are older do not count
	order   []string           // of moved
	told    map[string]bool    // hosts that Combine has said something of
	ways    map[int]bool       // and zones
}

type report struct {
	head  ReportHeader
	taken int64 // own time that its first note was taken at the latest
	notes map[string]*Observation
	self  bool // it tells of its peer's own trouble
}

// NewReportStore is an empty shelf of a co-ordinator at a place with the settings' zones.
func NewReportStore(place string, zones []string) *ReportStore {
	s := &ReportStore{
		place: place, zones: map[string]int{}, reports: map[string]*report{}, coming: map[string]*report{},
		moved: map[string]int64{}, told: map[string]bool{}, ways: map[int]bool{},
	}
	for i, name := range zones {
		s.zones[name] = i
	}
	return s
}

// BeginReport takes a report's head. asked is when the peer was asked: what it found is no younger than that, less the
// age it tells, and no clock but ours has a say. The same report once more counts once, with the age it had.
func (s *ReportStore) BeginReport(asked int64, h ReportHeader) error {
	if err := h.Validate(); err != nil {
		return err
	}
	old := s.reports[h.Peer]
	if old == nil && len(s.reports)+len(s.coming) >= MaxPeers {
		return fmt.Errorf("%d peers have reported already", MaxPeers)
	}
	r := &report{head: h, taken: asked - int64(h.AgeMs)*tenthsPerMs, notes: map[string]*Observation{}}
	if old != nil && old.head.Serial == h.Serial {
		r.taken = min(r.taken, max(old.taken, r.taken-sameSlack))
	}
	s.coming[h.Peer] = r
	return nil
}

// AddObservations takes a slice of the report that a peer has begun. One host told twice counts once, as it came last.
func (s *ReportStore) AddObservations(peer string, notes []Observation) error {
	r := s.coming[peer]
	if r == nil {
		return fmt.Errorf("notes of %.40q without a head", peer)
	}
	for i := range notes {
		n := notes[i]
		if err := n.Validate(); err != nil {
			return err
		}
		r.notes[n.HostID] = &n
		if len(r.notes) > int(r.head.HostCount) {
			return fmt.Errorf("more hosts than the %d that the head tells", r.head.HostCount)
		}
	}
	return nil
}

// CompleteReport closes the report that a peer has begun: from now on it counts, in the place of the one before. One that
// tells of its peer's own trouble keeps no suspicions: where half of a fleet looks bad from one place, it is the
// place.
func (s *ReportStore) CompleteReport(peer string) {
	r := s.coming[peer]
	if r == nil {
		return
	}
	delete(s.coming, peer)
	bad := 0
	for _, n := range r.notes {
		if n.IsOutlier {
			bad++
		}
	}
	r.self = len(r.notes) >= selfLeast && float64(bad) > selfShare*float64(len(r.notes))
	s.reports[peer] = r
}

// AbortReport forgets what came of a report that broke off; a whole one before it still counts.
func (s *ReportStore) AbortReport(peer string) { delete(s.coming, peer) }

// InvalidateHost tells that a host has changed its address, left or come back: older notes are of another machine.
func (s *ReportStore) InvalidateHost(now int64, host string) {
	if _, known := s.moved[host]; !known {
		s.order = append(s.order, host)
	}
	if s.moved[host] = now; len(s.order) > movedMost {
		delete(s.moved, s.order[0])
		s.order = s.order[1:]
	}
}

// ExpireReports drops what is too old to count, and tells whether anything is left.
func (s *ReportStore) ExpireReports(now int64) (left bool) {
	for peer, r := range s.reports {
		if now-r.taken > reportLife {
			delete(s.reports, peer)
		}
	}
	for len(s.order) > 0 && now-s.moved[s.order[0]] > 2*reportLife {
		delete(s.moved, s.order[0])
		s.order = s.order[1:]
	}
	return len(s.reports) > 0
}

// ReportCount counts the reports that count.
func (s *ReportStore) ReportCount() int { return len(s.reports) }

// vote is what one peer says of one host or zone.
type vote struct {
	shortN, longN float64
	short, long   float64
	lasts         int64 // how long 'bad' still counts, 0 where it does not
}

// vote weighs a note by its age. From another place, the way to the host's zone is taken out first.
func (s *ReportStore) vote(now int64, r *report, n *Observation) vote {
	age := max(0, now-r.taken)
	var way float64
	if r.head.Locality != s.place && int(n.ZoneIndex) < len(r.head.Zones) {
		way = max(0, float64(r.head.Zones[n.ZoneIndex].LogSlowdown)/logScale)
	}
	v := vote{
		shortN: weight(n.ShortSamples, age, balancer.ShortWindow), longN: weight(n.LongSamples, age, balancer.LongWindow),
		short: float64(n.ShortLogSlowdown)/logScale - way, long: float64(n.LongLogSlowdown)/logScale - way,
	}
	if n.IsOutlier && !r.self {
		v.lasts = max(0, badLife-age)
	}
	return v
}

// weight is a decayed count as it is now, bounded: no one peer weighs more than oneVote answers.
func weight(n uint16, age int64, span float64) float64 {
	return min(oneVote, float64(n)/countScale) * math.Exp(-float64(age)/span)
}

// Combine puts together what all reports say now. since gives the start of a host on the own list in ms, false
// where it is not on it: what is told of a host that started at another time is of another life of it.
// What was said before and no longer holds is in the result too, as nothing.
func (s *ReportStore) Combine(now int64, since func(host string) (ms int64, listed bool)) []balancer.GossipedObservation {
	s.ExpireReports(now)
	out := s.ofFleet(now)
	hosts := map[string]bool{}
	for _, r := range s.reports {
		for id := range r.notes {
			hosts[id] = true
		}
	}
	for id := range s.told {
		hosts[id] = true
	}
	var ids []string
	for id := range hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	votes, peers := make([]vote, 0, len(s.reports)), sortedKeys(s.reports) // sums do not depend on chance
	for _, id := range ids {
		ms, listed := since(id)
		if !listed {
			delete(s.told, id)
			continue
		}
		votes = votes[:0]
		for _, peer := range peers {
			r := s.reports[peer]
			n := r.notes[id]
			if moved, known := s.moved[id]; n == nil || int64(n.StartedMs) != ms || known && r.taken <= moved {
				votes = append(votes, vote{}) // as usual
				continue
			}
			votes = append(votes, s.vote(now, r, n))
		}
		h := balancer.GossipedObservation{Scope: balancer.ScopeReplica, Replica: id, ReplicaStart: ms * tenthsPerMs}
		h.ShortWindow = settle(votes, func(v vote) (float64, float64) { return v.shortN, v.short })
		h.LongWindow = settle(votes, func(v vote) (float64, float64) { return v.longN, v.long })
		h.OutlierDuration = majority(votes)
		h.Outlier = h.OutlierDuration > 0
		if says := h.Outlier || h.ShortWindow.Weight > 0 || h.LongWindow.Weight > 0; says || s.told[id] {
			out = append(out, h)
			if s.told[id] = true; !says {
				delete(s.told, id)
			}
		}
	}
	return out
}

// settle is the lower median of the slowness and the bounded sum of the weights; nothing where that is 'no slower'.
func settle(votes []vote, of func(v vote) (n, slower float64)) balancer.DecayingMean {
	sum, all := 0.0, make([]float64, 0, len(votes))
	for _, v := range votes {
		n, slower := of(v)
		sum, all = sum+n, append(all, slower)
	}
	if len(all) == 0 || sum < noteLeast {
		return balancer.DecayingMean{}
	}
	slices.Sort(all)
	if slower := all[(len(all)-1)/2]; slower > 0 {
		return balancer.DecayingMean{Weight: min(oneVote, sum), Mean: slower}
	}
	return balancer.DecayingMean{}
}

// majority is how long more than half of the votes go on calling a host bad.
func majority(votes []vote) int64 {
	all := make([]int64, 0, len(votes))
	for _, v := range votes {
		all = append(all, v.lasts)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2] // the lower median: over half last at least so long
}

// ofFleet puts the peers' usual and shortest times and their ways together. Only peers at the own place count:
// from elsewhere the distance is in them.
func (s *ReportStore) ofFleet(now int64) []balancer.GossipedObservation {
	var out []balancer.GossipedObservation
	var usual, shortest []float64
	ways := map[int][]vote{}
	near := 0
	for _, peer := range sortedKeys(s.reports) {
		r := s.reports[peer]
		if r.head.Locality != s.place {
			continue
		}
		near++
		if float64(r.head.AnswerCount)/countScale >= fewAnswers {
			usual = append(usual, float64(r.head.FleetLatency))
			if r.head.MinLatency > 0 {
				shortest = append(shortest, float64(r.head.MinLatency))
			}
		}
		for _, z := range r.head.Zones {
			if i, known := s.zones[z.Name]; known {
				ways[i] = append(ways[i], vote{
					shortN: weight(z.Samples, max(0, now-r.taken), balancer.ShortWindow),
					short:  float64(z.LogSlowdown) / logScale,
				})
			}
		}
	}
	if len(usual) > 0 {
		out = append(out, balancer.GossipedObservation{Scope: balancer.ScopeFleet, FleetLatency: middle(usual), ShortestLatency: middle(shortest)})
	}
	for _, i := range sortedKeys(ways) {
		for len(ways[i]) < near {
			ways[i] = append(ways[i], vote{})
		}
		h := balancer.GossipedObservation{
			Scope: balancer.ScopeZone, Zone: i,
			ShortWindow: settle(ways[i], func(v vote) (float64, float64) { return v.shortN, v.short }),
		}
		if says := h.ShortWindow.Weight > 0; says || s.ways[i] {
			out = append(out, h)
			s.ways[i] = says
		}
	}
	return out
}

func middle(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
