package scheduler

import "math"

const (
	// Load limits, as shares of the event loop's time. From saturatedLoad on, all jobs wait; from busyLoad on, all but
	// urgent ones. Idle jobs wait from idleLoad on, so that they never add to a burst of searches.
	saturatedLoad = 0.9
	busyLoad      = 0.7
	idleLoad      = busyLoad / 2
	// loadWindow is the time constant of the load average, which follows bursts of searches but not single iterations.
	loadWindow = second / 2
)

// loadAverage is the exponentially decaying average of the share of time for which the event loop is busy.
type loadAverage struct {
	value     float64
	updatedAt int64
}

func (l *loadAverage) record(now int64, share float64) {
	decay := math.Exp(-float64(max(0, now-l.updatedAt)) / loadWindow)
	l.value = l.value*decay + share*(1-decay)
	l.updatedAt = max(now, l.updatedAt)
}

// allows reports whether the load is low enough to start a job of this priority.
func (l *loadAverage) allows(priority Priority) bool {
	switch priority {
	case PriorityUrgent:
		return l.value < saturatedLoad
	case PriorityNormal:
		return l.value < busyLoad
	}
	return l.value < idleLoad
}
