package residency

import "slices"

const (
	maxPendingRounds = 8 // latest rounds whose acknowledgements still count; about three of them fall within a lease
	roundsPerLease   = 3 // two of them may fail before the lease expires

	// fullRoundPeers is the number of other members up to which a round asks all of them. In a larger fleet a round asks
	// a quorum and a quarter more, since some do not answer.
	fullRoundPeers = 32
)

// Lease states until when this instance is certain that no newer policy has taken effect without its knowledge.
//
// In each round the instance asks the other members which generation they have. If a quorum, counting this instance, has
// answered and no answer names a generation above this instance's, the lease is renewed from the time at which the round
// began. A generation that a quorum has is therefore known to every instance whose lease began later, and a stricter
// policy is enforced everywhere one lease duration after a quorum has it.
//
// An acknowledgement counts only if its sender's clock is close to this instance's. A member that has started without
// its stored state may have forgotten a generation, so it has no vote until it has learned what a quorum knows. But if all
// members acknowledge a round, the lease is renewed whether or not they have a vote.
//
// A Lease is not safe for concurrent use. Its times are wall times of this instance that never go back (monotonic).
type Lease struct {
	self    string
	members []string // sorted, each once
	isVoter bool     // this instance still had its stored state when it started, or has since learned what a quorum knows

	rounds     []leaseRound
	lastNonce  uint64
	peerOffset int // index among the other members at which SelectPeers starts in a large fleet

	expiresAt             int64
	highestSeenGeneration uint64
	majorityGeneration    uint64
	skewedClocks          map[string]bool // members whose last acknowledgement had a clock that differs too much
}

// leaseRound is one round of questions to the other members.
type leaseRound struct {
	nonce         uint64
	startedAt     int64
	superseded    bool   // a member has named a newer generation, so the round renews nothing
	acknowledged  []bool // by index among the members
	votes         int
	nonVoters     int    // acknowledgements without a vote
	ownGeneration uint64 // of this instance, at the last acknowledgement
	matchingVotes int    // votes that name ownGeneration
}

// LeaseAcknowledgement is a member's answer to a round.
type LeaseAcknowledgement struct {
	From       string
	Nonce      uint64 // of the round
	Generation uint64 // newest generation that the member has stored
	WallTime   int64  // the member's clock
	Voter      bool   // the member has a vote
}

// NewLease returns an expired lease for the instance self, one of the given voting members of the fleet. Stored says that
// the instance still has all that it knew when it last stopped; without it, the instance has no vote at first.
func NewLease(self string, members []string, stored bool) *Lease {
	members = slices.Clone(members)
	slices.Sort(members)
	return &Lease{self: self, members: slices.Compact(members), isVoter: stored}
}

// QuorumSize returns the smallest number of members that is more than half of them.
func (l *Lease) QuorumSize() int { return len(l.members)/2 + 1 }

// IsVoter reports whether this instance's own acknowledgements have a vote.
func (l *Lease) IsVoter() bool { return l.isVoter }

// HighestSeenGeneration returns the newest generation that any acknowledgement has named.
func (l *Lease) HighestSeenGeneration() uint64 { return l.highestSeenGeneration }

// MajorityGeneration returns the newest generation that a quorum is known to have. It is enforced everywhere one lease
// duration after this method first returns it.
func (l *Lease) MajorityGeneration() uint64 { return l.majorityGeneration }

// CountSkewedClocks returns how many members' clocks differed too much from this instance's at their last
// acknowledgement.
func (l *Lease) CountSkewedClocks() int { return len(l.skewedClocks) }

// ExpiresAt returns when the lease ends.
func (l *Lease) ExpiresAt() int64 { return l.expiresAt }

// RenewalInterval returns how long to wait between two rounds.
func RenewalInterval(leaseDuration int64) int64 { return max(1, leaseDuration/roundsPerLease) }

// SelectPeers returns the members that the next round asks. In a large fleet each call returns the next group of them, so
// that all members are asked in turn.
func (l *Lease) SelectPeers() []string {
	peers := slices.DeleteFunc(slices.Clone(l.members), func(name string) bool { return name == l.self })
	if len(peers) <= fullRoundPeers {
		return peers
	}
	count := min(len(peers), l.QuorumSize()+l.QuorumSize()/4)
	l.peerOffset = (l.peerOffset + count) % len(peers)
	return slices.Concat(peers[l.peerOffset:], peers[:l.peerOffset])[:count]
}

// BeginRound begins a round and returns its nonce, which the questions to the peers carry.
func (l *Lease) BeginRound(now int64) (nonce uint64) {
	l.lastNonce++
	if len(l.rounds) >= maxPendingRounds {
		l.rounds = l.rounds[1:]
	}
	l.rounds = append(l.rounds, leaseRound{nonce: l.lastNonce, startedAt: now, acknowledged: make([]bool, len(l.members))})
	return l.lastNonce
}

// HandleAcknowledgement counts a member's answer and reports whether the lease now ends later than before.
//
// OwnGeneration is the newest generation that this instance enforces, and duration is that of the lease. UniqueName says
// that no other instance claims this one's name; otherwise nothing is renewed. The caller has to drop acknowledgements
// under names that two instances claim.
func (l *Lease) HandleAcknowledgement(now int64, ack LeaseAcknowledgement, ownGeneration uint64, duration, maxClockSkew int64, uniqueName bool) (renewed bool) {
	l.highestSeenGeneration = max(l.highestSeenGeneration, ack.Generation)
	roundIndex := slices.IndexFunc(l.rounds, func(r leaseRound) bool { return r.nonce == ack.Nonce })
	member, isMember := slices.BinarySearch(l.members, ack.From)
	if roundIndex < 0 || !isMember || ack.From == l.self {
		return false
	}
	round := &l.rounds[roundIndex]
	if ack.Generation > ownGeneration {
		round.superseded = true // the caller begins another round once it knows that generation
	}
	// Contracts begin and end by each member's own clock: a member whose clock is wrong enforces other rules.
	if ack.WallTime < round.startedAt-maxClockSkew || ack.WallTime > now+maxClockSkew {
		l.recordSkewedClock(ack.From)
		return false
	}
	delete(l.skewedClocks, ack.From)
	if round.acknowledged[member] {
		return false
	}
	round.acknowledged[member] = true
	round.count(ack, ownGeneration)
	if l.isVoter && round.matchingVotes+1 >= l.QuorumSize() {
		l.majorityGeneration = max(l.majorityGeneration, ownGeneration)
	}
	return l.renew(now, round, duration, uniqueName)
}

func (l *Lease) recordSkewedClock(member string) {
	if l.skewedClocks == nil {
		l.skewedClocks = map[string]bool{}
	}
	l.skewedClocks[member] = true
}

func (r *leaseRound) count(ack LeaseAcknowledgement, ownGeneration uint64) {
	if r.ownGeneration != ownGeneration {
		r.ownGeneration, r.matchingVotes = ownGeneration, 0
	}
	if !ack.Voter {
		r.nonVoters++
		return
	}
	r.votes++
	if ack.Generation == ownGeneration {
		r.matchingVotes++
	}
}

// RenewSoleMember renews the lease if this instance is the only member, and reports whether it has renewed it.
func (l *Lease) RenewSoleMember(now, duration int64) bool {
	return len(l.members) == 1 && l.members[0] == l.self && l.renew(now, &leaseRound{startedAt: now}, duration, true)
}

// renew extends the lease if the acknowledgements of a round suffice, and reports whether it now ends later than before.
func (l *Lease) renew(now int64, round *leaseRound, duration int64, uniqueName bool) bool {
	if round.superseded || !uniqueName || !slices.Contains(l.members, l.self) {
		return false
	}
	votes := round.votes
	if l.isVoter {
		votes++
	}
	allAcknowledged := round.votes+round.nonVoters+1 >= len(l.members)
	if votes < l.QuorumSize() && !allAcknowledged {
		return false
	}
	l.isVoter = true // this instance now knows what a quorum knows
	expiresAt := round.startedAt + duration
	if expiresAt <= l.expiresAt || expiresAt <= now {
		return false
	}
	l.expiresAt = expiresAt
	return true
}
