package residency

import "slices"

const (
	maxPendingRounds = 8 // rounds whose acknowledgements still count: a lease holds some three
	roundsPerLease   = 3 // two may fail

	// fullRoundPeers is the number of other members up to which a round asks all of them. Of more it asks a quorum and
	// a quarter, since some do not answer.
	fullRoundPeers = 32
)

// Lease tells until when this instance is certain that no newer policy is in force without it.
//
// The instance asks the other members in rounds which generation they have. A round in which a quorum, itself counted,
// names no generation above its own renews the lease from the moment at which the round began. So a generation that a
// quorum has is known to every instance whose lease began later: a stricter policy is in force everywhere one lease
// after a quorum has it.
//
// Acknowledgements count if the clock of their sender is near this one's. Members that have started and not yet learned
// what the others know may have forgotten a generation: they have no vote, unless all members acknowledge. A Lease is
// not safe for concurrent use. Its times are wall times as this instance counts them on.
type Lease struct {
	self    string
	members []string // sorted, each once
	isVoter bool     // what this instance knew has survived its restart, or it has learned it anew

	rounds    []leaseRound
	lastNonce uint64
	nextPeer  int // among the other members, where the next round begins

	expiresAt             int64
	highestSeenGeneration uint64
	majorityGeneration    uint64
	skewedClocks          map[string]bool // members whose last acknowledgement had a clock that differs too much
}

// leaseRound is one round of questions to other members.
type leaseRound struct {
	nonce         uint64
	startedAt     int64
	superseded    bool   // a member has named a newer generation
	acknowledged  []bool // by index among the members
	votes         int
	nonVoters     int    // acknowledgements without a vote
	ownGeneration uint64 // of this instance, at the last acknowledgement
	sameAsOwn     int    // votes that name ownGeneration
}

// LeaseAcknowledgement is a member's answer to a round.
type LeaseAcknowledgement struct {
	From       string
	Nonce      uint64 // of the round
	Generation uint64 // newest one that the member has stored
	WallTime   int64  // the member's clock
	Voter      bool   // the member has a vote
}

// NewLease returns an expired lease for one of the voting members. Stored says that all this instance knew when it last
// ended is known now, which gives it a vote from the start.
func NewLease(self string, members []string, stored bool) *Lease {
	members = slices.Clone(members)
	slices.Sort(members)
	return &Lease{self: self, members: slices.Compact(members), isVoter: stored}
}

// QuorumSize returns how many members are more than half.
func (l *Lease) QuorumSize() int { return len(l.members)/2 + 1 }

// IsVoter reports whether this instance's own acknowledgements have a vote.
func (l *Lease) IsVoter() bool { return l.isVoter }

// HighestSeenGeneration returns the newest generation that any acknowledgement has named.
func (l *Lease) HighestSeenGeneration() uint64 { return l.highestSeenGeneration }

// MajorityGeneration returns the newest generation that a quorum is known to have. It is in force everywhere one lease
// after this method first returns it.
func (l *Lease) MajorityGeneration() uint64 { return l.majorityGeneration }

// CountSkewedClocks returns how many members' clocks differed too much from this instance's at their last
// acknowledgement.
func (l *Lease) CountSkewedClocks() int { return len(l.skewedClocks) }

// ExpiresAt returns when the lease ends.
func (l *Lease) ExpiresAt() int64 { return l.expiresAt }

// RenewalInterval returns how long to wait between two rounds.
func RenewalInterval(leaseDuration int64) int64 { return max(1, leaseDuration/roundsPerLease) }

// SelectPeers returns the members that the next round asks. In a large fleet each call returns the next ones, so that
// all are asked in time.
func (l *Lease) SelectPeers() []string {
	peers := slices.DeleteFunc(slices.Clone(l.members), func(name string) bool { return name == l.self })
	if len(peers) <= fullRoundPeers {
		return peers
	}
	count := min(len(peers), l.QuorumSize()+l.QuorumSize()/4)
	l.nextPeer = (l.nextPeer + count) % len(peers)
	return slices.Concat(peers[l.nextPeer:], peers[:l.nextPeer])[:count]
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
// OwnGeneration is the newest generation that this instance enforces, and duration the lease's. UniqueName says that no
// other instance claims this one's name; without it nothing is renewed. The caller leaves out acknowledgements under
// names that two instances claim.
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
	// Contracts begin and end by each member's own clock: one that is off enforces other rules.
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
	if l.isVoter && round.sameAsOwn+1 >= l.QuorumSize() {
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
		r.ownGeneration, r.sameAsOwn = ownGeneration, 0
	}
	if !ack.Voter {
		r.nonVoters++
		return
	}
	r.votes++
	if ack.Generation == ownGeneration {
		r.sameAsOwn++
	}
}

// RenewSoleMember renews the lease of an instance that is the only member, and reports whether it is one.
func (l *Lease) RenewSoleMember(now, duration int64) bool {
	return len(l.members) == 1 && l.members[0] == l.self && l.renew(now, &leaseRound{startedAt: now}, duration, true)
}

// renew extends the lease if the round allows it.
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
	l.isVoter = true // it knows what a quorum knows
	expiresAt := round.startedAt + duration
	if expiresAt <= l.expiresAt || expiresAt <= now {
		return false
	}
	l.expiresAt = expiresAt
	return true
}
