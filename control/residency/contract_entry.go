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

// Site is what a deployment plan knows of an installation. Contracts are checked against it; nil lists and a zero
// Blocks are not checked.
type Site struct {
	Tenants, Classes, Zones []string
	Blocks                  int
}

// siteIndex is a Site with its names as sets; a nil set is not checked.
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

// normalize brings names into the form that settings and endpoint lists have.
func (e *contractEntry) normalize() {
	e.Tenant, e.Class = settings.FormatValue(e.Tenant), settings.FormatValue(e.Class)
	for i, zone := range e.Zones {
		e.Zones[i] = settings.FormatValue(zone)
	}
	if e.Zones == nil {
		e.Zones = []string{}
	}
}

// parseContract reads the contract at a path of the document.
func (p *policyParser) parseContract(path string, entry contractEntry) Contract {
	entry.normalize()
	contract := Contract{Tenant: entry.Tenant, Class: entry.Class, Block: p.parseSubject(path, &entry), Zones: entry.Zones}
	p.checkContractZones(path, entry.Zones)
	contract.From = p.parseTime(path+".from", entry.From, math.MinInt64)
	contract.Until = p.parseTime(path+".until", entry.Until, never)
	if contract.From >= contract.Until {
		p.document.AddError(path+".until", "is not after from")
	}
	contract.AllowPartial = p.parseChoice(path+".otherwise", entry.Otherwise, "refuse", "part")
	contract.KeepOnLeaseExpiry = p.parseChoice(path+".lease_ends", entry.LeaseEnds, "refuse", "keep")
	contract.DefaultAfterEnd = p.parseChoice(path+".after", entry.After, "refuse", "default")
	if contract.DefaultAfterEnd && contract.Until == never {
		p.document.AddError(path+".after", "has no end to come after")
	}
	return contract
}

// parseSubject checks whom or what a contract binds, and returns its block, -1 for a tenant's contract.
func (p *policyParser) parseSubject(path string, entry *contractEntry) (block int) {
	switch {
	case entry.Block != nil && (entry.Tenant != "" || entry.Class != ""):
		p.document.AddError(path+".block", "a contract names a tenant or a block, not both")
	case entry.Block != nil:
		return p.parseBlock(path, *entry.Block)
	case entry.Tenant == "" && entry.Class != "":
		p.document.AddError(path+".class", "a class without its tenant")
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
		p.document.AddError(path+".block", "%d is no block: there are %d, from 0 on", block, p.site.blocks)
	}
	return max(0, block)
}

func (p *policyParser) checkName(path, field, name string, known map[string]bool) {
	if len(name) > maxNameBytes {
		p.document.AddError(path+"."+field, "over %d bytes", maxNameBytes)
	} else if known != nil && !known[name] {
		p.document.AddError(path+"."+field, "unknown %s %.60q: the plan names none such", field, name)
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
			p.document.AddError(zonePath, "a zone's name has 1 to %d bytes", maxNameBytes)
		case p.site.zones != nil && !p.site.zones[zone]:
			p.document.AddError(zonePath, "unknown zone %.60q: the plan names none such", zone)
		case slices.Contains(zones[:i], zone):
			p.document.AddError(zonePath, "zone %.60q is there twice", zone)
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
	for i := range p.Contracts { // in the file's order, each subject at its first contract
		subject := p.Contracts[i].subject()
		if sequence := bySubject[subject]; sequence[0] == i {
			p.checkContractSequence(subject, sequence)
		}
	}
}

// checkContractSequence checks the contracts on one subject, given by their indexes, which it sorts by time.
func (p *Policy) checkContractSequence(subject contractSubject, sequence []int) {
	slices.SortStableFunc(sequence, func(a, b int) int { return cmp.Compare(p.Contracts[a].From, p.Contracts[b].From) })
	for n := 1; n < len(sequence); n++ {
		previous, next := &p.Contracts[sequence[n-1]], &p.Contracts[sequence[n]]
		path := contractPath(sequence[n]) + ".from"
		previousLine, _ := p.ContractPosition(sequence[n-1])
		switch {
		case next.From < previous.Until:
			p.document.AddError(path, "%s has two contracts at once: that of line %d has not ended", subject, previousLine)
		case next.From > previous.Until && !previous.DefaultAfterEnd:
			p.document.AddError(path, "%s has a gap of %v after the contract of line %d", subject,
				durationFromTicks(next.From-previous.Until), previousLine)
		}
	}
}
