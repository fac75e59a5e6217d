package residency

import "fmt"

// Reasons why a search is rejected.
const (
	ReasonNoEligibleHost = "no host in the zones of its contract holds the block"
	ReasonLeaseExpired   = "this instance cannot know that the contracts it has are the newest"
	ReasonContractEnded  = "its contract has ended and none follows"
)

// SearchRejectedError reports a search that the contracts do not allow to run.
type SearchRejectedError struct {
	Tenant, Class string
	Block         int    // -1 if no single block is the cause
	Reason        string // one of the Reason constants
	Generation    uint64 // of the policy that is enforced
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
		return "Check this instance's links to the others: it reaches too few members of the fleet, its clock is wrong, or it lacks a policy that they have."
	case ReasonContractEnded:
		return "Add a contract that follows the one that has ended, or set `after: default` in it."
	}
	return "Bring back a host in the contract's zones that holds the block, or find out why such a host counts as in no zone; `chalkring check` lists the blocks that a tenant cannot reach."
}

// StalePolicyError reports a policy that is older than a known one.
type StalePolicyError struct {
	Source                       string
	Generation, NewestGeneration uint64
}

func (e *StalePolicyError) Error() string {
	return fmt.Sprintf("%s: policy generation %d is older than the known generation %d", e.Source, e.Generation, e.NewestGeneration)
}

// Advice tells an operator what to do.
func (e *StalePolicyError) Advice() string {
	return fmt.Sprintf("The file is ignored: give it a generation above %d, or restore the newer file.", e.NewestGeneration)
}

// ConflictingPoliciesError reports two policies of one generation with different texts.
type ConflictingPoliciesError struct {
	Source     string
	Generation uint64
}

func (e *ConflictingPoliciesError) Error() string {
	return fmt.Sprintf("%s: policy generation %d is already known with a different text", e.Source, e.Generation)
}

// Advice tells an operator what to do.
func (e *ConflictingPoliciesError) Advice() string {
	return "For each tenant the stricter of the two applies; write one file with a higher generation and distribute it to all instances."
}

// MissingPolicyError reports a companion policy that another policy requires and that is not known here.
type MissingPolicyError struct{ Generation, CompanionGeneration uint64 }

func (e *MissingPolicyError) Error() string {
	return fmt.Sprintf("policy generation %d requires its companion generation %d, which is not known here", e.Generation, e.CompanionGeneration)
}

// Advice tells an operator what to do.
func (e *MissingPolicyError) Advice() string {
	return fmt.Sprintf("Searches of tenants under contract are rejected until generation %d arrives from another instance; if none has it, write a new policy without `beside`.", e.CompanionGeneration)
}

// LeaseExpiredError reports that this instance can no longer be certain that its contracts are the newest.
type LeaseExpiredError struct {
	Generation        uint64
	Reachable, Listed int // number of reachable voting members, and of all voting members
	SkewedClocks      int // members whose clock differs too much from this instance's
}

func (e *LeaseExpiredError) Error() string {
	text := fmt.Sprintf("policy generation %d: the lease expired without acknowledgements from more than half of the fleet; %d of %d voting members are reachable", e.Generation, e.Reachable, e.Listed)
	if e.SkewedClocks > 0 {
		text += fmt.Sprintf(", the clocks of %d differ too much from this instance's", e.SkewedClocks)
	}
	return text
}

// Advice tells an operator what to do.
func (e *LeaseExpiredError) Advice() string {
	if e.SkewedClocks > 0 {
		return "Set this machine's clock and restart the instance; until then it rejects searches of tenants under contract, unless their contracts have `lease_ends: keep`."
	}
	return "Check the links from this instance to the others; until it reaches them it rejects searches of tenants under contract, unless their contracts have `lease_ends: keep`."
}

// EnforcementOverdueError reports a policy that was not enforced everywhere by its stated deadline.
type EnforcementOverdueError struct {
	Generation uint64
	Deadline   string
}

func (e *EnforcementOverdueError) Error() string {
	return fmt.Sprintf("policy generation %d should be enforced everywhere by %s, but one lease duration before that no majority of the fleet was known to have it", e.Generation, e.Deadline)
}

// Advice tells an operator what to do.
func (e *EnforcementOverdueError) Advice() string {
	return "Instances that reach the fleet already enforce it, and the others reject searches of the tenants under its contracts; set `in_force_by` to at least one lease duration and a few seconds after the file is distributed."
}

// PoliciesUnreadableError reports that the stored policies could not be read at start-up.
type PoliciesUnreadableError struct{ Err error }

func (e *PoliciesUnreadableError) Error() string {
	return "stored policies could not be read: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PoliciesUnreadableError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *PoliciesUnreadableError) Advice() string {
	return "This instance has no vote until it has reached more than half of the fleet; check the disk of `fleet.store`."
}

// UnreachableBlocksError lists the blocks that no host in a contract's zones holds. `chalkring check` reports it.
type UnreachableBlocksError struct {
	Source       string
	Line, Column int    // of the contract
	Subject      string // what the contract applies to
	Blocks       []int  // in ascending order
	AllowPartial bool
}

func (e *UnreachableBlocksError) Error() string {
	consequence := "its searches there are refused"
	if e.AllowPartial {
		consequence = "its searches there get partial answers or are refused"
	}
	return fmt.Sprintf("%s: [%d:%d] %s could not reach %s: %s", e.Source, e.Line, e.Column, e.Subject, formatBlocks(e.Blocks), consequence)
}

// Advice tells an operator what to do.
func (e *UnreachableBlocksError) Advice() string {
	return "Put hosts that hold these blocks into the contract's zones before it begins, or take the blocks out of what the tenant searches."
}

// formatBlocks lists ascending block numbers, with consecutive ones as ranges: "blocks 0, 2-3".
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
