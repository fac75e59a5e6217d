package balancer

import (
	"slices"
)

const (
	evictScanThreshold = 1_000 // searches waiting beyond which they are not looked at in each turn: 6 us a look
	evictScanInterval  = 10    // but after this time: a ms is no delay to a client
	durationSpread     = 1.4   // spread of a search's time over its mean when asking whether it can still be useful
)

// answerRate is how many parts are answered in a tenth; while rates are young, by Little's law.
func (b *balancer) answerRate() float64 {
	return max(b.done.rate(b.now, rateWindow, minRateAge), float64(b.effectiveInFlight())/b.fleetLatency(), 1e-4)
}

// estimateCompletion gives what tells whether a search with so many parts before it would be answered after its target.
// It holds while no part is sent or lands: what a turn asks of each waiting search is worked out once.
func (b *balancer) estimateCompletion() completionEstimate {
	n, total := b.spell.read(b.now, rateWindow)
	return completionEstimate{float64(b.now), b.answerRate(), durationSpread * total / (n + 1)}
}

func (l completionEstimate) isLate(s *search, ahead float64) bool {
	return l.now+ahead/l.answerRate+l.searchDuration > float64(s.objectiveEnd)
}

// evictExpired guards against overload: what cannot be answered in useful time, or held, is shed while its client
// can still ask again, beyond a tenant's share first. Harm: a wait judged too long sheds needlessly.
func (b *balancer) evictExpired() {
	if len(b.queue) > evictScanThreshold && b.now < b.trimmed+evictScanInterval {
		return
	}
	b.trimmed = b.now
	ahead, over := len(b.waiting), 0
	if len(b.queue) > 0 {
		late := b.estimateCompletion()
		for _, s := range b.queue {
			if !s.ended && (s.overQuota || b.fullness >= 1 || late.isLate(s, float64(ahead))) {
				b.shed(s)
			}
			if s.ended {
				over++
			} else {
				ahead += len(s.requests)
			}
		}
	}
	if b.behind = float64(ahead); over > 0 {
		b.queue = slices.DeleteFunc(b.queue, func(s *search) bool { return s.ended })
	}
}

// completionEstimate is what the time that a search will end by is reckoned from.
type completionEstimate struct{ now, answerRate, searchDuration float64 }

func (b *balancer) SetUtilization(share float64) { b.fullness = share }
