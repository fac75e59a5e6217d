package balancer

import "math"

// decayingSum is an exponentially decaying count of events and a decaying total of their values; the mean is total /
// count. Both are brought up to date when read. The caller passes the e-fold time of the decay, which must be the same
// each time.
type decayingSum struct {
	count, total         float64
	updatedAt, startedAt int64
}

func (s *decayingSum) read(now int64, window float64) (count, total float64) {
	if s.updatedAt == 0 {
		s.updatedAt, s.startedAt = now, now
	}
	if now > s.updatedAt {
		keep := math.Exp(-float64(now-s.updatedAt) / window)
		s.count, s.total, s.updatedAt = s.count*keep, s.total*keep, now
	}
	return s.count, s.total
}

func (s *decayingSum) add(now int64, window, value float64) {
	s.read(now, window)
	s.count, s.total = s.count+1, s.total+value
}

// rate returns the events per tenth of a millisecond. A sum younger than its window has seen only a part of it, so the
// rate is scaled up accordingly. The age counts as at least minAge, so that the first few events do not count as a high
// rate.
func (s *decayingSum) rate(now int64, window, minAge float64) float64 {
	count, _ := s.read(now, window)
	return count / (window * (1 - math.Exp(-max(minAge, float64(now-s.startedAt))/window)))
}

// mean returns the count and mean as they are exported.
func (s *decayingSum) mean(now int64, window float64) DecayingMean {
	count, total := s.read(now, window)
	if count == 0 {
		return DecayingMean{}
	}
	return DecayingMean{Weight: count, Mean: total / count}
}
