package ingress

import (
	"slices"
	"time"
)

// Priority is the class of a turn. Lower values go first.
type Priority int

// Priorities of a client's turns.
const (
	Trusted   Priority = iota // the client's last request was served, or its search is open
	Unproven                  // nothing of the client's has been served yet
	Accepting                 // a connection is accepted
	Suspect                   // the client's last requests could not be served, or it sends a request in very many pieces
	priorities
)

// shares are the shares of the granted cores that turns of each priority may use; 0 means no limit. What they leave is for
// the event loop, replicas and the runtime.
var shares = [priorities]float64{Unproven: 0.4, Accepting: 0.25, Suspect: 0.15}

// maxCredits are how much processor time a priority can save up, and spend at once, for each granted core. Clients may
// all connect at once when a coordinator starts.
var maxCredits = [priorities]time.Duration{
	Unproven: 100 * time.Millisecond, Accepting: 200 * time.Millisecond, Suspect: 20 * time.Millisecond,
}

// maxOrderedWait is how long the first turn of clients that are not known may wait before the last one that was requested
// goes first: when all wait too long, the latest requests are the ones whose clients still wait for an answer.
const maxOrderedWait = 100 * time.Millisecond

// Turn is one client's wait for its turn.
type Turn struct {
	priority    Priority
	requestedAt time.Duration
	granted     chan struct{}
	running     bool
}

// NewTurn returns a turn to be used by one connection, one time after another.
func NewTurn() *Turn { return &Turn{granted: make(chan struct{}, 1)} }

// Granted receives a value once the turn may begin.
func (t *Turn) Granted() <-chan struct{} { return t.granted }

// Scheduler grants turns on the processor: few at once, by priority, each priority within its share of the cores, and in
// the order of their requests within one, but for maxOrderedWait. Each turn is one read of a connection and the handling of what it returned.
type Scheduler struct {
	slots   int // turns that may run at once
	running int
	lanes   [priorities]lane
}

// lane holds the turns of one priority.
type lane struct {
	waiting   []*Turn
	rate      float64       // processor time earned per time; 0 for no limit
	credit    time.Duration // processor time that turns may use now; negative if they have used more
	maxCredit time.Duration
	updatedAt time.Duration
}

// NewScheduler returns a scheduler for a number of cores, which may be a fraction.
func NewScheduler(cores float64, now time.Duration) *Scheduler {
	s := &Scheduler{}
	s.SetCores(cores, now)
	for i := range s.lanes {
		s.lanes[i].credit = s.lanes[i].maxCredit
	}
	return s
}

// SetCores changes the number of cores.
func (s *Scheduler) SetCores(cores float64, now time.Duration) {
	s.slots = max(1, int(cores))
	for i := range s.lanes {
		lane := &s.lanes[i]
		lane.earn(now)
		lane.rate = shares[i] * cores
		lane.maxCredit = time.Duration(cores * float64(maxCredits[i]))
	}
}

// Request asks for a turn.
func (s *Scheduler) Request(turn *Turn, priority Priority, now time.Duration) {
	turn.priority, turn.requestedAt = priority, now
	s.lanes[priority].waiting = append(s.lanes[priority].waiting, turn)
}

// Withdraw takes back a request. It returns false if the turn has been granted already.
func (s *Scheduler) Withdraw(turn *Turn) bool {
	if turn.running {
		return false
	}
	lane := &s.lanes[turn.priority]
	lane.waiting = slices.DeleteFunc(lane.waiting, func(t *Turn) bool { return t == turn })
	return true
}

// Grant grants all turns that may begin now. It returns after which time further ones may begin by credit alone; 0 if none
// waits for that.
func (s *Scheduler) Grant(now time.Duration) (wait time.Duration) {
	for i := range s.lanes {
		lane := &s.lanes[i]
		lane.earn(now)
		for len(lane.waiting) > 0 && s.running < s.slots && lane.mayRun() {
			turn := lane.takeNext(Priority(i) == Unproven && now-lane.waiting[0].requestedAt > maxOrderedWait)
			s.running++
			turn.running = true
			turn.granted <- struct{}{}
		}
		if len(lane.waiting) > 0 && !lane.mayRun() {
			if credited := lane.creditedIn(); wait == 0 || credited < wait {
				wait = credited
			}
		}
	}
	return wait
}

// Finish ends a granted turn, which has used so much processor time.
func (s *Scheduler) Finish(turn *Turn, used, now time.Duration) {
	turn.running = false
	s.running--
	lane := &s.lanes[turn.priority]
	lane.earn(now)
	lane.credit -= used
}

// earn adds the credit since the last call.
func (l *lane) earn(now time.Duration) {
	l.credit = min(l.maxCredit, l.credit+time.Duration(l.rate*float64(now-l.updatedAt)))
	l.updatedAt = now
}

// takeNext takes the first waiting turn, or the last one.
func (l *lane) takeNext(last bool) *Turn {
	at := 0
	if last {
		at = len(l.waiting) - 1
	}
	turn := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return turn
}

// mayRun reports whether a turn may begin by credit.
func (l *lane) mayRun() bool { return l.rate == 0 || l.credit > 0 }

// creditedIn returns the time after which a turn may begin by credit.
func (l *lane) creditedIn() time.Duration {
	return time.Duration(float64(-l.credit)/l.rate) + time.Microsecond
}
