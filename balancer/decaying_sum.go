package balancer

import (
	"math"
)

// decayingSum is a decaying count and a decaying total, brought up to date when read.
type decayingSum struct {
	count, total         float64
	updatedAt, startedAt int64
}

func (m *decayingSum) read(now int64, span float64) (n, total float64) {
	if m.updatedAt == 0 {
		m.updatedAt, m.startedAt = now, now
	}
	if now > m.updatedAt {
		keep := math.Exp(-float64(now-m.updatedAt) / span)
		m.count, m.total, m.updatedAt = m.count*keep, m.total*keep, now
	}
	return m.count, m.total
}

func (m *decayingSum) add(now int64, span, v float64) {
	m.read(now, span)
	m.count, m.total = m.count+1, m.total+v
}

// rate is the count for each tenth of a millisecond, true also while the sum is young, if not younger than
// least.
func (m *decayingSum) rate(now int64, span, least float64) float64 {
	n, _ := m.read(now, span)
	return n / (span * (1 - math.Exp(-max(least, float64(now-m.startedAt))/span)))
}

func (m *decayingSum) mean(now int64, span float64) DecayingMean {
	n, total := m.read(now, span)
	if n == 0 {
		return DecayingMean{}
	}
	return DecayingMean{n, total / n}
}
