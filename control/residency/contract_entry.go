package residency

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"chalkring/config/settings"
)

// maxNameBytes limits the name of a tenant, a class or a zone.
const maxNameBytes = 200

// Site lists the names that a deployment plan defines, and its number of blocks. Contracts may refer only to these. Names
// are not checked against a nil list, and block numbers have no upper limit if Blocks is 0.
type Site struct {
	Tenants, Classes, Zones []string
	Blocks                  int
}

// siteIndex is a Site with its names as sets. Names are not checked against a nil set.
type siteIndex struct {
	tenants, classes, zones map[string]bool
	blocks                  int
}

func newSiteIndex(site Site) siteIndex {
	return siteIndex{nameSet(site.Tenants), nameSet(site.Classes), nameSet(site.Zones), site.Blocks}
}

func nameSet(names []string) map[string]bool {
	if names == nil {
		return nil
	}
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// contractEntry is the YAML form of a contract.
type contractEntry struct {
	Tenant    string   `yaml:"tenant"`
	Class     string   `yaml:"class"`
	Block     *int     `yaml:"block"`
	Zones     []string `yaml:"zones"`
	From      string   `yaml:"from"`
	Until     string   `yaml:"until"`
	Otherwise string   `yaml:"otherwise"`
	LeaseEnds string   `yaml:"lease_ends"`
	After     string   `yaml:"after"`
}

// normalize converts names to the form in which settings and endpoint lists have them.
func (e *contractEntry) normalize() {
	e.Tenant, e.Class = settings.FormatValue(e.Tenant), settings.FormatValue(e.Class)
	for i, zone := range e.Zones {
		e.Zones[i] = settings.FormatValue(zone)
	}
	if e.Zones == nil {
		e.Zones = []string{}
	}
}

// parseContract parses and checks the contract at a path of the document.
func (p *policyParser) parseContract(path string, entry contractEntry) Contract {
	entry.normalize()
	contract := Contract{Tenant: entry.Tenant, Class: entry.Class, Block: p.parseSubject(path, &entry), Zones: entry.Zones}
	p.checkContractZones(path, entry.Zones)
	contract.From = p.parseTime(path+".from", entry.From, math.MinInt64)
	contract.Until = p.parseTime(path+".until", entry.Until, never)
	if contract.From >= contract.Until {
		p.document.AddError(path+".until", "must be later than from")
	}
	contract.AllowPartial = p.parseChoice(path+".otherwise", entry.Otherwise, "refuse", "part")
	contract.KeepOnLeaseExpiry = p.parseChoice(path+".lease_ends", entry.LeaseEnds, "refuse", "keep")
	contract.DefaultAfterEnd = p.parseChoice(path+".after", entry.After, "refuse", "default")
	if contract.DefaultAfterEnd && contract.Until == never {
		p.document.AddError(path+".after", "applies only to a contract with until")
	}
	return contract
}

// parseSubject checks what a contract applies to, and returns its block, or -1 for a contract on a tenant.
func (p *policyParser) parseSubject(path string, entry *contractEntry) (block int) {
	switch {
	case entry.Block != nil && (entry.Tenant != "" || entry.Class != ""):
		p.document.AddError(path+".block", "a contract names a tenant or a block, not both")
	case entry.Block != nil:
		return p.parseBlock(path, *entry.Block)
	case entry.Tenant == "" && entry.Class != "":
		p.document.AddError(path+".class", "a class requires a tenant")
	case entry.Tenant == "":
		p.document.AddError(path, "names neither a tenant nor a block")
	default:
		p.checkName(path, "tenant", entry.Tenant, p.site.tenants)
		if entry.Class != "" {
			p.checkName(path, "class", entry.Class, p.site.classes)
		}
	}
	return -1
}

func (p *policyParser) parseBlock(path string, block int) int {
	if block < 0 || p.site.blocks > 0 && block >= p.site.blocks {
		p.document.AddError(path+".block", "%d is not a block number: there are %d blocks, numbered from 0", block, p.site.blocks)
	}
	return max(0, block)
}

func (p *policyParser) checkName(path, field, name string, known map[string]bool) {
	if len(name) > maxNameBytes {
		p.document.AddError(path+"."+field, "longer than %d bytes", maxNameBytes)
	} else if known != nil && !known[name] {
		p.document.AddError(path+"."+field, "unknown %s %.60q: it is not in the plan", field, name)
	}
}

func (p *policyParser) checkContractZones(path string, zones []string) {
	if len(zones) == 0 {
		p.document.AddError(path, "names no zones")
	}
	for i, zone := range zones {
		zonePath := fmt.Sprintf("%s.zones[%d]", path, i)
		switch {
		case zone == "" || len(zone) > maxNameBytes:
			p.document.AddError(zonePath, "a zone name must have 1 to %d bytes", maxNameBytes)
		case p.site.zones != nil && !p.site.zones[zone]:
			p.document.AddError(zonePath, "unknown zone %.60q: it is not in the plan", zone)
		case slices.Contains(zones[:i], zone):
			p.document.AddError(zonePath, "zone %.60q is listed twice", zone)
		}
	}
}

// checkContractSequences reports contracts on one subject that overlap in time or leave a gap between them.
func (p *Policy) checkContractSequences() {
	bySubject := map[contractSubject][]int{}
	for i := range p.Contracts {
		subject := p.Contracts[i].subject()
		bySubject[subject] = append(bySubject[subject], i)
	}
	for i := range p.Contracts { // in the order of the file, each subject at its first contract
		subject := p.Contracts[i].subject()
		if sequence := bySubject[subject]; sequence[0] == i {
			p.checkContractSequence(subject, sequence)
		}
	}
}

// checkContractSequence checks the contracts on one subject. Sequence holds their indexes in the file; it gets sorted by
// the time at which they begin.
func (p *Policy) checkContractSequence(subject contractSubject, sequence []int) {
	slices.SortStableFunc(sequence, func(a, b int) int { return cmp.Compare(p.Contracts[a].From, p.Contracts[b].From) })
	for n := 1; n < len(sequence); n++ {
		previous, next := &p.Contracts[sequence[n-1]], &p.Contracts[sequence[n]]
		path := contractPath(sequence[n]) + ".from"
		previousLine, _ := p.ContractPosition(sequence[n-1])
		switch {
		case next.From < previous.Until:
			p.document.AddError(path, "%s has two contracts at the same time: the one in line %d has not ended", subject, previousLine)
		case next.From > previous.Until && !previous.DefaultAfterEnd:
			p.document.AddError(path, "%s has a gap of %v after the contract in line %d", subject,
				durationFromTicks(next.From-previous.Until), previousLine)
		}
	}
}
