package peerreport

import (
	"math/rand"
	"slices"
)

const (
	youngTime  = 30 * second // from the start on, knowledge is asked for: later own answers know better
	youngAgain = 2 * second  // between two askings of one peer meanwhile: its memories decay in 4 s and 10 s
	failFirst  = second / 2  // first wait after a failure: a peer that restarts is back within seconds
	failMost   = 30 * second // longest such wait
	failCut    = 10          // failures after which the wait grows no more: 2^10 is beyond failMost
	refusedFor = 60 * second // wait after a peer has refused us or speaks another version: a person has to mend it
	laterLeast = second / 10 // shortest wait that a peer may name
	laterMost  = 30 * second // longest that is kept to
	spread     = 0.2         // part of each wait that is chance: fifty that start at once do not stay together
)

// Outcome is how an asking ended.
type Outcome int

const (
	OutcomeReceived Outcome = iota // a whole report came
	OutcomeDeferred                // the peer named a time to come back
	OutcomeFailed                  // unreachable, silent, slow, broken off, or what came cannot be used
	OutcomeRejected                // the peer does not know us, or speaks another version
	OutcomeSelf                    // it is this very instance
)

func (o Outcome) String() string {
	return [...]string{"told", "later", "failed", "refused", "myself"}[o]
}

// Poller decides when which peer is asked. A young co-ordinator asks all at once and some times again; a grown one
// asks each refresh, where that is wanted. It is one goroutine's.
type Poller struct {
	chance  *rand.Rand
	began   int64
	refresh int64 // between askings of a grown one; 0 for never
	peers   []*asked
}

type asked struct {
	name   string
	at     int64 // when it may be asked next
	out    bool  // it is being asked
	fails  int
	never  bool
	told   int
	last   Outcome
	lastAt int64
}

// PollStatus is how a peer stands, for those who look.
type PollStatus struct {
	Name          string
	InFlight      bool
	LastOutcome   Outcome
	LastOutcomeAt int64 // 0 where it has not been asked yet
	ReportCount   int   // reports had
	NextPollAt    int64 // 0 for never
}

// NewPoller begins with all peers due at once.
func NewPoller(chance *rand.Rand, now, refresh int64, peers []string) *Poller {
	a := &Poller{chance: chance, began: now, refresh: refresh}
	for _, name := range peers[:min(len(peers), MaxPeers)] {
		a.peers = append(a.peers, &asked{name: name, at: now})
	}
	return a
}

// DuePeers names the peers to ask now and counts them as being asked.
func (a *Poller) DuePeers(now int64) []string {
	var names []string
	for _, p := range a.peers {
		if !p.out && !p.never && now >= p.at && a.wants(p, now) {
			p.out = true
			names = append(names, p.name)
		}
	}
	return names
}

// wants tells whether knowledge is still sought: from the start on until own answers know better, after that only
// where it is to be refreshed. A peer that never told anything is tried on while young alone.
func (a *Poller) wants(p *asked, now int64) bool { return a.refresh > 0 || now-a.began < youngTime }

// NextPollAt is when Due has to be looked at again, 0 for never.
func (a *Poller) NextPollAt(now int64) int64 {
	next := int64(0)
	for _, p := range a.peers {
		if !p.out && !p.never && a.wants(p, max(now, p.at)) && (next == 0 || p.at < next) {
			next = max(p.at, now+1)
		}
	}
	return next
}

// RecordOutcome takes in how an asking ended; later is the wait that the peer named, if it named one.
func (a *Poller) RecordOutcome(now int64, name string, how Outcome, later int64) {
	i := slices.IndexFunc(a.peers, func(p *asked) bool { return p.name == name })
	if i < 0 {
		return
	}
	p := a.peers[i]
	p.out, p.last, p.lastAt = false, how, now
	wait := int64(0)
	switch how {
	case OutcomeReceived:
		p.told++
		p.fails = 0
		if wait = youngAgain; now+wait-a.began >= youngTime && a.refresh > 0 {
			wait = a.refresh
		}
	case OutcomeDeferred:
		wait = max(laterLeast, min(laterMost, later))
	case OutcomeFailed:
		wait = min(failMost, int64(failFirst)<<min(p.fails, failCut))
		p.fails++
	case OutcomeRejected:
		wait = refusedFor
	case OutcomeSelf:
		p.never = true
	}
	p.at = now + wait + int64(spread*float64(wait)*a.chance.Float64())
}

// Statuses tells how all peers stand.
func (a *Poller) Statuses(now int64) []PollStatus {
	var out []PollStatus
	for _, p := range a.peers {
		s := PollStatus{Name: p.name, InFlight: p.out, LastOutcome: p.last, LastOutcomeAt: p.lastAt, ReportCount: p.told}
		if !p.never && a.wants(p, max(now, p.at)) {
			s.NextPollAt = p.at
		}
		out = append(out, s)
	}
	return out
}
