package residency

import "slices"

const (
	roundsMost = 8  // rounds that answers are awaited for: a lease holds some three
	roundsEach = 3  // rounds in a lease: two may fail
	allMost    = 32 // listed instances up to which all are asked; of more, half and a quarter: some are away
)

// Lease tells until when this instance knows that no newer policy is in force without it. It asks the listed instances
// in rounds which generation they have; a round in which more than half of them, itself counted, tell none above its own
// renews the lease from the moment at which it asked. So a generation that more than half have is known to every
// instance whose lease began later: a tightening is in force everywhere one lease after that. Answers count whose clock
// is near this one's. Those that have started and not yet learned (they may have forgotten) do not count, but where all
// listed answer. It is one goroutine's; times are of the wall's clock as this instance counts it on.
type Lease struct {
	me     string
	listed []string
	rounds []round
	nonce  uint64
	place  int // among the others, where the next round begins
	until  int64
	ahead  uint64          // the newest generation that was heard of
	agreed uint64          // the newest that more than half have
	apart  map[string]bool // whose last answer had a clock that is apart
	sure   bool            // what this instance had known survives its end, or it has learned: its own answers count
}

type round struct {
	nonce    uint64
	at       int64
	sound    bool   // no answer named a generation above its own
	heard    []bool // by place among the listed
	voices   int
	learners int
	own      uint64 // this instance's generation
	level    int    // voices that have it
}

// LeaseAcknowledgement is an answer to a round.
type LeaseAcknowledgement struct {
	From       string
	Nonce      uint64
	Generation uint64
	WallTime   int64 // the answerer's clock
	Voter      bool  // its word counts
}

// NewLease makes one for an instance of those that count. Kept tells that what it knew when it last ended is known now.
func NewLease(me string, listed []string, kept bool) *Lease {
	listed = slices.Clone(listed)
	slices.Sort(listed)
	return &Lease{me: me, listed: slices.Compact(listed), sure: kept}
}

// QuorumSize is how many instances make more than half.
func (l *Lease) QuorumSize() int { return len(l.listed)/2 + 1 }

// IsVoter tells whether this instance's own answers count.
func (l *Lease) IsVoter() bool { return l.sure }

// HighestSeenGeneration is the newest generation that any answer has named.
func (l *Lease) HighestSeenGeneration() uint64 { return l.ahead }

// CountSkewedClocks is how many instances' clocks are apart from this one's, by their last answers.
func (l *Lease) CountSkewedClocks() int { return len(l.apart) }

// ExpiresAt is when the lease ends.
func (l *Lease) ExpiresAt() int64 { return l.until }

// SelectPeers are those that the next round asks: each time the next ones, so that all are met.
func (l *Lease) SelectPeers() []string {
	others := slices.DeleteFunc(slices.Clone(l.listed), func(name string) bool { return name == l.me })
	if n := len(others); n > allMost {
		most := min(n, l.QuorumSize()+l.QuorumSize()/4)
		l.place = (l.place + most) % n
		others = slices.Concat(others[l.place:], others[:l.place])[:most]
	}
	return others
}

// BeginRound begins a round and gives its number, to be sent with the question.
func (l *Lease) BeginRound(now int64) (nonce uint64) {
	l.nonce++
	if len(l.rounds) >= roundsMost {
		l.rounds = l.rounds[1:]
	}
	l.rounds = append(l.rounds, round{nonce: l.nonce, at: now, sound: true, heard: make([]bool, len(l.listed))})
	return l.nonce
}

// HandleAcknowledgement takes an answer, while own is the newest generation this instance enforces; one tells that nobody else has its
// name, and answers under names that two claim are left out (package membership). True: the lease ends later than before.
func (l *Lease) HandleAcknowledgement(now int64, v LeaseAcknowledgement, own uint64, span, slack int64, one bool) (renewed bool) {
	l.ahead = max(l.ahead, v.Generation)
	i := slices.IndexFunc(l.rounds, func(r round) bool { return r.nonce == v.Nonce })
	who, known := slices.BinarySearch(l.listed, v.From)
	if i < 0 || !known || v.From == l.me {
		return false
	}
	r := &l.rounds[i]
	if v.Generation > own {
		r.sound = false // the question goes out again once that one is known
	}
	if v.WallTime < r.at-slack || v.WallTime > now+slack { // guards against a clock that is apart: from and until mean nothing by it
		if l.apart == nil {
			l.apart = map[string]bool{}
		}
		l.apart[v.From] = true
		return false
	}
	if delete(l.apart, v.From); r.heard[who] {
		return false
	}
	r.heard[who] = true
	if r.own != own {
		r.own, r.level = own, 0
	}
	if v.Voter {
		if r.voices++; v.Generation == own {
			r.level++
		}
	} else {
		r.learners++
	}
	if l.sure && r.level+1 >= l.QuorumSize() {
		l.agreed = max(l.agreed, own)
	}
	return l.settle(now, r, span, one)
}

// MajorityGeneration is the newest generation that more than half are known to have: one lease later it is in force everywhere.
func (l *Lease) MajorityGeneration() uint64 { return l.agreed }

// RenewSoleMember renews the lease of an instance that is listed alone.
func (l *Lease) RenewSoleMember(now, span int64) bool {
	return len(l.listed) == 1 && l.listed[0] == l.me && l.settle(now, &round{at: now, sound: true}, span, true)
}

func (l *Lease) settle(now int64, r *round, span int64, one bool) bool {
	if !r.sound || !one || !slices.Contains(l.listed, l.me) {
		return false
	}
	own := 0
	if l.sure {
		own = 1
	}
	if r.voices+own < l.QuorumSize() && r.voices+r.learners+1 < len(l.listed) {
		return false
	}
	l.sure = true // it knows what more than half know
	if r.at+span <= l.until || r.at+span <= now {
		return false
	}
	l.until = r.at + span
	return true
}

// RenewalInterval is how long to wait between two rounds.
func RenewalInterval(span int64) int64 { return max(1, span/roundsEach) }
