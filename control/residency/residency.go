// Package residency decides in which zones the parts of a tenant's searches may run. A Policy is an operator's file of
// contracts; a Book keeps the generations that are known, which only rise, and gives what is in force as a Standing,
// which is compiled, never changes and is asked in under 100 ns; a Lease tells until when the newest generation is known
// to be the newest; Hosts tells in which zone a host is. It has no I/O: times are tenths of a millisecond, wall times
// since 1970, others of a clock that is handed in. Where it is not sure, it says no. docs/residency.md tells the rules.
package residency

import (
	"fmt"
	"math"
)

const (
	second        = 10_000          // in tenths of a millisecond
	fileMost      = 768 << 10       // bytes of a file: 10,000 contracts; one message between instances holds it
	contractsMost = 10_000          // of a file: what the file's bytes hold, and the measured look-up
	zonesMost     = 256             // zones that all policies in force name together: bits of Zones
	textMost      = 200             // bytes of a name
	rivalsMost    = 4               // files of one generation that differ and are held: one a region; more are too torn to tell
	hostsMost     = 40_000          // hosts remembered: twice the largest list, for those that left
	leaseDefault  = 5 * second      // lease where a file names none: seconds of a link's flap do not end it
	leaseLeast    = 1 * second      // shortest: three rounds of it take a second
	leaseMost     = 3600 * second   // longest: a tightening may take as long
	slackDefault  = second / 2      // how far clocks are apart where a file names none: what NTP keeps everywhere
	slackMost     = 60 * second     // more is no clock
	restDefault   = 600 * second    // that a host whose zone has changed is in no zone: sources have caught up by then
	restMost      = 86_400 * second // longest such time
	never         = math.MaxInt64
)

// ZoneSet is a set of zones, by their numbers in a Standing.
type ZoneSet [zonesMost / 64]uint64

func (z *ZoneSet) add(n int) { z[n/64] |= 1 << (n % 64) }

// Contains tells whether a zone is in the set; a number below 0 is no zone.
func (z *ZoneSet) Contains(n int) bool { return n >= 0 && n < zonesMost && z[n/64]&(1<<(n%64)) != 0 }

func (z ZoneSet) and(o ZoneSet) ZoneSet {
	for i := range z {
		z[i] &= o[i]
	}
	return z
}

// Rule is what holds for the parts of a search at a time.
type Rule struct {
	Zones             ZoneSet // where they may run, if Bound
	Restricted        bool    // some contract, or the default, names zones: elsewhere they may run anywhere
	AllowPartial      bool    // where a block cannot be reached, an answer in part will do where the type allows one; else refuse
	KeepOnLeaseExpiry bool    // what is known goes on to hold when the lease has ended
	ContractEnded     bool    // a contract has ended and nothing follows it
	LeaseExpired      bool    // the lease has ended, or a policy is not known: nothing runs
}

// AllowsZone tells whether a part may run in a zone, -1 for none.
func (r *Rule) AllowsZone(zone int) bool { return !r.Restricted || r.Zones.Contains(zone) }

// and is the stricter of both.
func (r Rule) and(o Rule) Rule {
	switch {
	case !o.Restricted:
		return r
	case !r.Restricted:
		return o
	}
	return Rule{
		Zones: r.Zones.and(o.Zones), Restricted: true, AllowPartial: r.AllowPartial && o.AllowPartial, KeepOnLeaseExpiry: r.KeepOnLeaseExpiry && o.KeepOnLeaseExpiry,
		ContractEnded: r.ContractEnded || o.ContractEnded, LeaseExpired: r.LeaseExpired || o.LeaseExpired,
	}
}

// Why a search is refused.
const (
	ReasonNoEligibleHost = "no host in the zones of its contract holds the block"
	ReasonLeaseExpired   = "this instance cannot know that the contracts it has are the newest"
	ReasonContractEnded  = "its contract has ended and none follows"
)

// SearchRejectedError is a search that its tenant's contract keeps from running.
type SearchRejectedError struct {
	Tenant, Class string
	Block         int // -1 where no block by itself is the cause
	Reason        string
	Generation    uint64
}

func (r *SearchRejectedError) Error() string {
	what := "tenant " + r.Tenant
	if r.Block >= 0 {
		what += fmt.Sprintf(", block %d", r.Block)
	}
	return fmt.Sprintf("%s: %s (policy generation %d)", what, r.Reason, r.Generation)
}

// Advice tells an operator what to do.
func (r *SearchRejectedError) Advice() string {
	switch r.Reason {
	case ReasonLeaseExpired:
		return "Look at this instance's links to the others: it hears too few of the fleet, its clock is off, or it lacks a policy they have."
	case ReasonContractEnded:
		return "Give the tenant a contract that goes on, or `after: default` in the one that has ended."
	}
	return "Bring a host of the contract's zones back that holds the block, or look at why its zone counts for none; `chalkring check` lists the blocks that a tenant cannot reach."
}

// StalePolicyError is a policy older than one that is known.
type StalePolicyError struct {
	Source                       string
	Generation, NewestGeneration uint64
}

func (s *StalePolicyError) Error() string {
	return fmt.Sprintf("%s: policy generation %d, and %d is known", s.Source, s.Generation, s.NewestGeneration)
}

// Advice tells an operator what to do.
func (s *StalePolicyError) Advice() string {
	return fmt.Sprintf("Nothing of it holds: give the file a generation above %d, or take back the newer file.", s.NewestGeneration)
}

// ConflictingPoliciesError are two policies of one generation.
type ConflictingPoliciesError struct {
	Source     string
	Generation uint64
}

func (d *ConflictingPoliciesError) Error() string {
	return fmt.Sprintf("%s: policy generation %d is known with other words", d.Source, d.Generation)
}

// Advice tells an operator what to do.
func (d *ConflictingPoliciesError) Advice() string {
	return "The stricter of both holds for each tenant; write one file with a higher generation and give it to all."
}

// MissingPolicyError is a policy that another stands beside and that is not known here.
type MissingPolicyError struct{ Generation, CompanionGeneration uint64 }

func (m *MissingPolicyError) Error() string {
	return fmt.Sprintf("policy generation %d stands beside %d, which is not known here", m.Generation, m.CompanionGeneration)
}

// Advice tells an operator what to do.
func (m *MissingPolicyError) Advice() string {
	return fmt.Sprintf("Tenants under contract are refused until generation %d comes from another instance; if none has it, write one that stands beside nothing.", m.CompanionGeneration)
}

// LeaseExpiredError is an instance that cannot know any more whether its contracts are the newest.
type LeaseExpiredError struct {
	Generation        uint64
	Reachable, Listed int // of the listed instances
	SkewedClocks      int // whose clock is apart from this one's
}

func (l *LeaseExpiredError) Error() string {
	text := fmt.Sprintf("policy generation %d: no word for a lease's time from more than half of the fleet; %d of %d are heard", l.Generation, l.Reachable, l.Listed)
	if l.SkewedClocks > 0 {
		text += fmt.Sprintf(", the clocks of %d are apart from this one's", l.SkewedClocks)
	}
	return text
}

// Advice tells an operator what to do.
func (l *LeaseExpiredError) Advice() string {
	if l.SkewedClocks > 0 {
		return "Set this machine's clock and restart the instance; until then it refuses the tenants whose contracts say so."
	}
	return "Look at the links from this instance to the others; until it hears them it refuses the tenants whose contracts say so."
}

// EnforcementOverdueError is a tightening that was not in force everywhere by its stated time.
type EnforcementOverdueError struct {
	Generation uint64
	Deadline   string
}

func (l *EnforcementOverdueError) Error() string {
	return fmt.Sprintf("policy generation %d was to be in force everywhere by %s, and more than half of the fleet was not known to have it a lease before", l.Generation, l.Deadline)
}

// Advice tells an operator what to do.
func (l *EnforcementOverdueError) Advice() string {
	return "Instances that hear the fleet keep to it by now and the others refuse its tenants; state a time at least a lease and a few seconds after the file is given out."
}

// PoliciesUnreadableError is a store whose policies cannot be known.
type PoliciesUnreadableError struct{ Err error }

func (u *PoliciesUnreadableError) Error() string {
	return "policies that were kept are not known: " + u.Err.Error()
}
func (u *PoliciesUnreadableError) Unwrap() error { return u.Err }

// Advice tells an operator what to do.
func (u *PoliciesUnreadableError) Advice() string {
	return "This instance's word counts again once it has heard more than half of the fleet; look at the disk of `fleet.store`."
}
