package residency

import "fmt"

// Reasons why a search is rejected.
const (
	ReasonNoEligibleHost = "no host in the zones of its contract holds the block"
	ReasonLeaseExpired   = "this instance cannot know that the contracts it has are the newest"
	ReasonContractEnded  = "its contract has ended and none follows"
)

// SearchRejectedError reports a search that its tenant's contract keeps from running.
type SearchRejectedError struct {
	Tenant, Class string
	Block         int    // -1 where no single block is the cause
	Reason        string // one of the Reason constants
	Generation    uint64 // of the policy in force
}

func (e *SearchRejectedError) Error() string {
	subject := "tenant " + e.Tenant
	if e.Block >= 0 {
		subject += fmt.Sprintf(", block %d", e.Block)
	}
	return fmt.Sprintf("%s: %s (policy generation %d)", subject, e.Reason, e.Generation)
}

// Advice tells an operator what to do.
func (e *SearchRejectedError) Advice() string {
	switch e.Reason {
	case ReasonLeaseExpired:
		return "Look at this instance's links to the others: it hears too few of the fleet, its clock is off, or it lacks a policy they have."
	case ReasonContractEnded:
		return "Give the tenant a contract that goes on, or `after: default` in the one that has ended."
	}
	return "Bring a host of the contract's zones back that holds the block, or look at why its zone counts for none; `chalkring check` lists the blocks that a tenant cannot reach."
}

// StalePolicyError reports a policy that is older than a known one.
type StalePolicyError struct {
	Source                       string
	Generation, NewestGeneration uint64
}

func (e *StalePolicyError) Error() string {
	return fmt.Sprintf("%s: policy generation %d, and %d is known", e.Source, e.Generation, e.NewestGeneration)
}

// Advice tells an operator what to do.
func (e *StalePolicyError) Advice() string {
	return fmt.Sprintf("Nothing of it holds: give the file a generation above %d, or take back the newer file.", e.NewestGeneration)
}

// ConflictingPoliciesError reports two policies of one generation with different texts.
type ConflictingPoliciesError struct {
	Source     string
	Generation uint64
}

func (e *ConflictingPoliciesError) Error() string {
	return fmt.Sprintf("%s: policy generation %d is known with other words", e.Source, e.Generation)
}

// Advice tells an operator what to do.
func (e *ConflictingPoliciesError) Advice() string {
	return "The stricter of both holds for each tenant; write one file with a higher generation and give it to all."
}

// MissingPolicyError reports a companion policy that another one requires and that is not known here.
type MissingPolicyError struct{ Generation, CompanionGeneration uint64 }

func (e *MissingPolicyError) Error() string {
	return fmt.Sprintf("policy generation %d stands beside %d, which is not known here", e.Generation, e.CompanionGeneration)
}

// Advice tells an operator what to do.
func (e *MissingPolicyError) Advice() string {
	return fmt.Sprintf("Tenants under contract are refused until generation %d comes from another instance; if none has it, write one that stands beside nothing.", e.CompanionGeneration)
}

// LeaseExpiredError reports an instance that can no longer know whether its contracts are the newest.
type LeaseExpiredError struct {
	Generation        uint64
	Reachable, Listed int // voting members that are reachable, and all of them
	SkewedClocks      int // members whose clock differs too much from this instance's
}

func (e *LeaseExpiredError) Error() string {
	text := fmt.Sprintf("policy generation %d: no word for a lease's time from more than half of the fleet; %d of %d are heard", e.Generation, e.Reachable, e.Listed)
	if e.SkewedClocks > 0 {
		text += fmt.Sprintf(", the clocks of %d are apart from this one's", e.SkewedClocks)
	}
	return text
}

// Advice tells an operator what to do.
func (e *LeaseExpiredError) Advice() string {
	if e.SkewedClocks > 0 {
		return "Set this machine's clock and restart the instance; until then it refuses the tenants whose contracts say so."
	}
	return "Look at the links from this instance to the others; until it hears them it refuses the tenants whose contracts say so."
}

// EnforcementOverdueError reports a policy that was not in force everywhere by its stated deadline.
type EnforcementOverdueError struct {
	Generation uint64
	Deadline   string
}

func (e *EnforcementOverdueError) Error() string {
	return fmt.Sprintf("policy generation %d was to be in force everywhere by %s, and more than half of the fleet was not known to have it a lease before", e.Generation, e.Deadline)
}

// Advice tells an operator what to do.
func (e *EnforcementOverdueError) Advice() string {
	return "Instances that hear the fleet keep to it by now and the others refuse its tenants; state a time at least a lease and a few seconds after the file is given out."
}

// PoliciesUnreadableError reports a store whose policies could not be read at the start.
type PoliciesUnreadableError struct{ Err error }

func (e *PoliciesUnreadableError) Error() string {
	return "policies that were kept are not known: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PoliciesUnreadableError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *PoliciesUnreadableError) Advice() string {
	return "This instance's word counts again once it has heard more than half of the fleet; look at the disk of `fleet.store`."
}

// UnreachableBlocksError reports, for `chalkring check`, the blocks that no host in a contract's zones holds.
type UnreachableBlocksError struct {
	Source       string
	Line, Column int    // of the contract
	Subject      string // whom or what the contract binds
	Blocks       []int  // in ascending order
	AllowPartial bool
}

func (e *UnreachableBlocksError) Error() string {
	consequence := "its searches there are refused"
	if e.AllowPartial {
		consequence = "its searches there lack them, or are refused"
	}
	return fmt.Sprintf("%s: [%d:%d] %s could not reach %s: %s", e.Source, e.Line, e.Column, e.Subject, formatBlocks(e.Blocks), consequence)
}

// Advice tells an operator what to do.
func (e *UnreachableBlocksError) Advice() string {
	return "Put hosts that hold these blocks into the contract's zones before it begins, or take the blocks out of what the tenant searches."
}

// formatBlocks lists ascending block numbers and joins consecutive ones to ranges: "blocks 0, 2-3".
func formatBlocks(blocks []int) string {
	text := "block"
	if len(blocks) > 1 {
		text = "blocks"
	}
	separator := " "
	for first := 0; first < len(blocks); {
		last := first
		for last+1 < len(blocks) && blocks[last+1] == blocks[last]+1 {
			last++
		}
		text += separator + fmt.Sprint(blocks[first])
		if last > first {
			text += fmt.Sprintf("-%d", blocks[last])
		}
		separator = ", "
		first = last + 1
	}
	return text
}
