package residency

import (
	"fmt"
	"slices"

	"chalkring/config/strictyaml"
)

// Contract is one contract of a policy. It applies to a tenant, to one class of a tenant's searches, or to a block.
type Contract struct {
	Tenant, Class     string
	Block             int // -1 if the contract applies to a tenant
	Zones             []string
	From, Until       int64 // wall times; math.MinInt64 and math.MaxInt64 if left out
	AllowPartial      bool
	KeepOnLeaseExpiry bool
	DefaultAfterEnd   bool // after the end the policy's default applies; otherwise nothing may run then
}

// contractSubject is what a contract applies to. Contracts on the same subject follow each other in time.
type contractSubject struct {
	tenant, class string
	block         int
}

func (c *Contract) subject() contractSubject {
	return contractSubject{c.Tenant, c.Class, c.Block}
}

func (s contractSubject) String() string {
	switch {
	case s.block >= 0:
		return fmt.Sprintf("block %d", s.block)
	case s.class != "":
		return fmt.Sprintf("tenant %s, class %s", s.tenant, s.class)
	}
	return "tenant " + s.tenant
}

// Policy is a policy file without faults. It is immutable.
type Policy struct {
	Source              string // file or instance that it came from
	Generation          uint64
	CompanionGeneration uint64 // an older generation that also applies while this one is the newest; 0 for none
	EnforcementDeadline int64  // wall time by which the policy should be enforced everywhere; 0 for none
	DenyByDefault       bool   // tenants without a contract run nowhere; otherwise anywhere
	LeaseDuration       int64
	MaxClockSkew        int64 // maximum difference between the clocks of two instances
	HostHoldDown        int64 // how long a host is in no zone after its zone has changed
	Contracts           []Contract
	Text                []byte // unchanged text of the file

	document *strictyaml.Document // for positions in messages
}

// ContractPosition returns the line and column of a contract in the file.
func (p *Policy) ContractPosition(index int) (line, column int) {
	path := contractPath(index)
	if line, column = p.document.Position(path + ".tenant"); line == 0 {
		line, column = p.document.Position(path + ".block")
	}
	return line, column
}

func contractPath(index int) string { return fmt.Sprintf("$.contracts[%d]", index) }

// FindUnreachableBlocks returns one error for each contract with blocks that no host in its zones holds. There are
// blockCount blocks; holds reports whether some host of a zone holds a block.
func (p *Policy) FindUnreachableBlocks(blockCount int, holds func(zone string, block int) bool) (unreachable []*UnreachableBlocksError) {
	for i := range p.Contracts {
		contract := &p.Contracts[i]
		blocks := contract.unreachableBlocks(blockCount, holds)
		if len(blocks) == 0 {
			continue
		}
		line, column := p.ContractPosition(i)
		unreachable = append(unreachable, &UnreachableBlocksError{
			Source: p.Source, Line: line, Column: column, Subject: contract.subject().String(),
			Blocks: blocks, AllowPartial: contract.AllowPartial,
		})
	}
	return unreachable
}

func (c *Contract) unreachableBlocks(blockCount int, holds func(zone string, block int) bool) (unreachable []int) {
	for block := range blockCount {
		if c.Block >= 0 && c.Block != block {
			continue
		}
		if !slices.ContainsFunc(c.Zones, func(zone string) bool { return holds(zone, block) }) {
			unreachable = append(unreachable, block)
		}
	}
	return unreachable
}
