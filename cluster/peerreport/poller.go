package peerreport

import (
	"math/rand"
	"slices"
)

const (
	// learningPeriod is the time after the start in which peers are polled even without a refresh interval: later the
	// instance's own answers say more.
	learningPeriod = 30 * second
	// learningInterval is the wait between two polls of one peer in that period. What a report holds decays with 4 s
	// and 10 s.
	learningInterval = 2 * second
	// initialBackoff doubles with each consecutive failure up to maxBackoff. It is short since a peer that restarts is
	// back within seconds.
	initialBackoff      = second / 2
	maxBackoff          = 30 * second
	maxBackoffDoublings = 10 // keeps the shift from overflowing; maxBackoff is reached before
	// rejectedWait is the wait after a peer has rejected this instance: a person has to mend that.
	rejectedWait = 60 * second
	// minDeferral and maxDeferral bound the wait that a peer may ask for.
	minDeferral = second / 10
	maxDeferral = 30 * second
	// waitJitter is the random part added to each wait, as a share of it: instances that start together do not stay in
	// step.
	waitJitter = 0.2
)

// Outcome is how a poll of a peer ended.
type Outcome int

// Outcomes of a poll.
const (
	OutcomeReceived Outcome = iota // a complete report was received
	OutcomeDeferred                // the peer asked to be polled later
	OutcomeFailed                  // the peer was unreachable, silent or slow, or sent something invalid or incomplete
	OutcomeRejected                // the peer does not allow this instance, or speaks another version
	OutcomeSelf                    // the peer is this very instance
)

// String returns the outcome as it stands in log lines and in the status that peers exchange.
func (o Outcome) String() string {
	return [...]string{"told", "later", "failed", "refused", "myself"}[o]
}

// Poller decides when to poll which peer. An instance that has just started polls all of them at once and repeatedly;
// later it polls at the refresh interval, if there is one. A Poller is not safe for concurrent use.
type Poller struct {
	rng       *rand.Rand
	startedAt int64
	refresh   int64 // wait between polls after the learning period; 0 for none
	peers     []*polledPeer
}

type polledPeer struct {
	name          string
	nextPollAt    int64
	inFlight      bool
	failures      int  // consecutive
	isSelf        bool // it is this instance and is never polled again
	reportCount   int
	lastOutcome   Outcome
	lastOutcomeAt int64
}

// PollStatus describes a peer for the status that operators see.
type PollStatus struct {
	Name          string
	InFlight      bool // it is being polled
	LastOutcome   Outcome
	LastOutcomeAt int64 // 0 where it has not been polled yet
	ReportCount   int   // reports received
	NextPollAt    int64 // 0 for never
}

// NewPoller returns a poller to which all peers are due at once; those beyond MaxPeers are ignored.
func NewPoller(rng *rand.Rand, now, refresh int64, peers []string) *Poller {
	p := &Poller{rng: rng, startedAt: now, refresh: refresh}
	for _, name := range peers[:min(len(peers), MaxPeers)] {
		p.peers = append(p.peers, &polledPeer{name: name, nextPollAt: now})
	}
	return p
}

// DuePeers returns the peers to poll now, which count as being polled until RecordOutcome.
func (p *Poller) DuePeers(now int64) []string {
	var names []string
	for _, peer := range p.peers {
		if !peer.inFlight && !peer.isSelf && now >= peer.nextPollAt && p.isPollingAt(now) {
			peer.inFlight = true
			names = append(names, peer.name)
		}
	}
	return names
}

// isPollingAt reports whether peers are polled at a time: always with a refresh interval, else in the learning period.
func (p *Poller) isPollingAt(now int64) bool {
	return p.refresh > 0 || now-p.startedAt < learningPeriod
}

// NextPollAt returns when to call DuePeers again; 0 where nothing is due before a poll ends.
func (p *Poller) NextPollAt(now int64) int64 {
	next := int64(0)
	for _, peer := range p.peers {
		if peer.inFlight || peer.isSelf || !p.isPollingAt(max(now, peer.nextPollAt)) {
			continue
		}
		if next == 0 || peer.nextPollAt < next {
			next = max(peer.nextPollAt, now+1)
		}
	}
	return next
}

// RecordOutcome records how a poll ended. deferral is the wait that the peer asked for with OutcomeDeferred.
func (p *Poller) RecordOutcome(now int64, name string, outcome Outcome, deferral int64) {
	i := slices.IndexFunc(p.peers, func(peer *polledPeer) bool { return peer.name == name })
	if i < 0 {
		return
	}
	peer := p.peers[i]
	peer.inFlight, peer.lastOutcome, peer.lastOutcomeAt = false, outcome, now
	wait := int64(0)
	switch outcome {
	case OutcomeReceived:
		peer.reportCount++
		peer.failures = 0
		wait = p.intervalAfter(now)
	case OutcomeDeferred:
		wait = max(minDeferral, min(maxDeferral, deferral))
	case OutcomeFailed:
		wait = min(maxBackoff, int64(initialBackoff)<<min(peer.failures, maxBackoffDoublings))
		peer.failures++
	case OutcomeRejected:
		wait = rejectedWait
	case OutcomeSelf:
		peer.isSelf = true
	}
	peer.nextPollAt = now + wait + int64(waitJitter*float64(wait)*p.rng.Float64())
}

// intervalAfter returns the wait after a report was received.
func (p *Poller) intervalAfter(now int64) int64 {
	if p.refresh > 0 && now+learningInterval-p.startedAt >= learningPeriod {
		return p.refresh
	}
	return learningInterval
}

// Statuses returns the status of all peers in the order in which they were named.
func (p *Poller) Statuses(now int64) []PollStatus {
	var statuses []PollStatus
	for _, peer := range p.peers {
		status := PollStatus{
			Name: peer.name, InFlight: peer.inFlight, LastOutcome: peer.lastOutcome, LastOutcomeAt: peer.lastOutcomeAt,
			ReportCount: peer.reportCount,
		}
		if !peer.isSelf && p.isPollingAt(max(now, peer.nextPollAt)) {
			status.NextPollAt = peer.nextPollAt
		}
		statuses = append(statuses, status)
	}
	return statuses
}
