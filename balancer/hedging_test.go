package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A search is short if its answers and the attempts on time do not suffice, and heavy if more than half of its requests
// are overdue or were hedged. Attempts at outliers are neither on time nor a sign of a heavy search.
func TestSearchOutlook(t *testing.T) {
	const now = 100 * second
	type state int
	const (
		answered state = iota
		onTime
		overdue
		atOutlier
	)
	for name, test := range map[string]struct {
		states        []state
		extraAttempts int
		want          searchOutlook
	}{
		"all on time":             {states: []state{answered, onTime, onTime, onTime}},
		"one overdue":             {states: []state{answered, onTime, onTime, overdue}, want: searchOutlook{isShort: true}},
		"half overdue":            {states: []state{answered, onTime, overdue, overdue}, want: searchOutlook{isShort: true}},
		"more than half overdue":  {states: []state{onTime, overdue, overdue, overdue}, want: searchOutlook{isShort: true, isHeavy: true}},
		"as many at outliers":     {states: []state{onTime, atOutlier, atOutlier, atOutlier}, want: searchOutlook{isShort: true}},
		"half hedged already":     {states: []state{answered, onTime, onTime, overdue}, extraAttempts: 2, want: searchOutlook{isShort: true, isHeavy: true}},
		"one hedged, one overdue": {states: []state{answered, onTime, onTime, overdue}, extraAttempts: 1, want: searchOutlook{isShort: true}},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(nil).(*balancer)
			b.now = now
			s := newWeightedSearch(1, 0.25, 0.25, 0.25, 0.25)
			s.extraAttempts = test.extraAttempts
			for i, request := range s.requests {
				a := &attempt{request: request, replica: &replica{}, sentAt: now, holdsSlot: true}
				request.attempts = []*attempt{a}
				switch test.states[i] {
				case answered:
					request.completed, a.holdsSlot, a.ended = true, false, true
					s.completedWeight += request.weight
				case overdue:
					a.sentAt = now - b.hedgeDelay()
				case atOutlier:
					a.sentAt = now - b.hedgeDelay()
					a.replica.health.connectFailures = 1
				}
			}
			require.Equal(t, test.want, b.outlookOf(s))
		})
	}
}
