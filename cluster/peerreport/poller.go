package peerreport

import (
	"math/rand"
	"slices"
)

const (
	// learningPeriod is the time after the start in which peers are polled even without a refresh interval. After it the
	// instance's own observations are more accurate than reports.
	learningPeriod = 30 * second
	// learningInterval is the wait between two polls of one peer in that period. The observations in a report decay with
	// time constants of 4 s and 10 s.
	learningInterval = 2 * second
	// initialBackoff is the wait after the first failure. It doubles with each consecutive failure up to maxBackoff, and
	// is short because a peer that restarts is back within seconds.
	initialBackoff      = second / 2
	maxBackoff          = 30 * second
	maxBackoffDoublings = 10 // keeps the shift from overflowing; maxBackoff is reached earlier
	// rejectedWait is the wait after a peer has rejected this instance: an operator has to fix that.
	rejectedWait = 60 * second
	// minDeferral and maxDeferral bound the wait that a peer may ask for.
	minDeferral = second / 10
	maxDeferral = 30 * second
	// waitJitter is the largest random part added to each wait, as a share of it, so that instances that start together do
	// not keep polling at the same moments.
	waitJitter = 0.2
)

// Outcome is how a poll of a peer ended.
type Outcome int

// Outcomes of a poll.
const (
	OutcomeReceived Outcome = iota // a complete report was received
	OutcomeDeferred                // the peer asked to be polled later
	OutcomeFailed                  // the peer was unreachable, silent or slow, or sent something invalid or incomplete
	OutcomeRejected                // the peer does not allow this instance, has another protocol version or gives another name
	OutcomeSelf                    // the peer is this very instance
)

// String returns the outcome as it appears in log lines and in the status that peers exchange.
func (o Outcome) String() string {
	return [...]string{"told", "later", "failed", "refused", "myself"}[o]
}

// Poller decides when to poll which peer. In the learning period after the start, it polls all of them immediately and
// then repeatedly; later it polls at the refresh interval, if one is set. A Poller is not safe for concurrent use.
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
	isSelf        bool // the peer is this instance, which is never polled again
	reportCount   int
	lastOutcome   Outcome
	lastOutcomeAt int64
}

// PollStatus describes a peer for the status that operators see.
type PollStatus struct {
	Name          string
	InFlight      bool // it is being polled
	LastOutcome   Outcome
	LastOutcomeAt int64 // 0 if it has not been polled yet
	ReportCount   int   // reports received
	NextPollAt    int64 // 0 for never
}

// NewPoller returns a Poller with all peers due immediately; peers beyond MaxPeers are ignored.
func NewPoller(rng *rand.Rand, now, refresh int64, peers []string) *Poller {
	p := &Poller{rng: rng, startedAt: now, refresh: refresh}
	for _, name := range peers[:min(len(peers), MaxPeers)] {
		p.peers = append(p.peers, &polledPeer{name: name, nextPollAt: now})
	}
	return p
}

// DuePeers returns the peers to poll now. Each counts as in flight until RecordOutcome is called for it.
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

// isPollingAt reports whether peers are polled at the time now: always if a refresh interval is set, else only in the
// learning period.
func (p *Poller) isPollingAt(now int64) bool {
	return p.refresh > 0 || now-p.startedAt < learningPeriod
}

// NextPollAt returns when to call DuePeers again; 0 if no peer becomes due before a poll in flight ends.
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

// intervalAfter returns the wait after a report received at now.
func (p *Poller) intervalAfter(now int64) int64 {
	if p.refresh > 0 && now+learningInterval-p.startedAt >= learningPeriod {
		return p.refresh
	}
	return learningInterval
}

// Statuses returns the status of all peers in the order in which NewPoller got them.
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
