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
	Told    Outcome = iota // a whole report came
	Later                  // the peer named a time to come back
	Failed                 // unreachable, silent, slow, broken off, or what came cannot be used
	Refused                // the peer does not know us, or speaks another version
	Myself                 // it is this very instance
)

func (o Outcome) String() string {
	return [...]string{"told", "later", "failed", "refused", "myself"}[o]
}

// Asker decides when which peer is asked. A young co-ordinator asks all at once and some times again; a grown one
// asks each refresh, where that is wanted. It is one goroutine's.
type Asker struct {
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

// Standing is how a peer stands, for those who look.
type Standing struct {
	Name   string
	Asking bool
	Last   Outcome
	LastAt int64 // 0 where it has not been asked yet
	Told   int   // reports had
	NextAt int64 // 0 for never
}

// NewAsker begins with all peers due at once.
func NewAsker(chance *rand.Rand, now, refresh int64, peers []string) *Asker {
	a := &Asker{chance: chance, began: now, refresh: refresh}
	for _, name := range peers[:min(len(peers), PeersMost)] {
		a.peers = append(a.peers, &asked{name: name, at: now})
	}
	return a
}

// Due names the peers to ask now and counts them as being asked.
func (a *Asker) Due(now int64) []string {
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
func (a *Asker) wants(p *asked, now int64) bool { return a.refresh > 0 || now-a.began < youngTime }

// NextAt is when Due has to be looked at again, 0 for never.
func (a *Asker) NextAt(now int64) int64 {
	next := int64(0)
	for _, p := range a.peers {
		if !p.out && !p.never && a.wants(p, max(now, p.at)) && (next == 0 || p.at < next) {
			next = max(p.at, now+1)
		}
	}
	return next
}

// Ended takes in how an asking ended; later is the wait that the peer named, if it named one.
func (a *Asker) Ended(now int64, name string, how Outcome, later int64) {
	i := slices.IndexFunc(a.peers, func(p *asked) bool { return p.name == name })
	if i < 0 {
		return
	}
	p := a.peers[i]
	p.out, p.last, p.lastAt = false, how, now
	wait := int64(0)
	switch how {
	case Told:
		p.told++
		p.fails = 0
		if wait = youngAgain; now+wait-a.began >= youngTime && a.refresh > 0 {
			wait = a.refresh
		}
	case Later:
		wait = max(laterLeast, min(laterMost, later))
	case Failed:
		wait = min(failMost, int64(failFirst)<<min(p.fails, failCut))
		p.fails++
	case Refused:
		wait = refusedFor
	case Myself:
		p.never = true
	}
	p.at = now + wait + int64(spread*float64(wait)*a.chance.Float64())
}

// Standings tells how all peers stand.
func (a *Asker) Standings(now int64) []Standing {
	var out []Standing
	for _, p := range a.peers {
		s := Standing{Name: p.name, Asking: p.out, Last: p.last, LastAt: p.lastAt, Told: p.told}
		if !p.never && a.wants(p, max(now, p.at)) {
			s.NextAt = p.at
		}
		out = append(out, s)
	}
	return out
}
