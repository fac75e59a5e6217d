package residency

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"chalkring/config/settings"
	"chalkring/config/strictyaml"
)

// Site is what a plan knows of an installation; lists that are nil, and no blocks, are not looked at.
type Site struct {
	Tenants, Classes, Zones []string
	Blocks                  int
}

// form is what a file holds.
type form struct {
	Generation uint64   `yaml:"generation"`
	Beside     uint64   `yaml:"beside"`
	By         string   `yaml:"in_force_by"`
	Default    string   `yaml:"default"`
	Lease      string   `yaml:"lease"`
	Clocks     string   `yaml:"clocks"`
	Rest       string   `yaml:"host_rest"`
	Contracts  *[]entry `yaml:"contracts"`
}

type entry struct {
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

// Contract is one contract of a file. It names a tenant, a tenant's class, or a block.
type Contract struct {
	Tenant, Class     string
	Block             int // -1 where it names a tenant
	Zones             []string
	From, Until       int64 // wall time; the least and the greatest where left out
	AllowPartial      bool
	KeepOnLeaseExpiry bool
	DefaultAfterEnd   bool // after its end the default holds; elsewhere nothing runs
}

// who is what a contract is about.
type who struct {
	tenant, class string
	block         int
}

func (c *Contract) who() who { return who{c.Tenant, c.Class, c.Block} }

func (w who) String() string {
	switch {
	case w.block >= 0:
		return fmt.Sprintf("block %d", w.block)
	case w.class != "":
		return fmt.Sprintf("tenant %s, class %s", w.tenant, w.class)
	}
	return "tenant " + w.tenant
}

// Policy is a file that was read whole.
type Policy struct {
	Source              string
	Generation          uint64
	CompanionGeneration uint64 // the generation that holds too until a later one stands beside nothing; 0 for none
	EnforcementDeadline int64  // wall time by which its tightenings are stated to be in force everywhere, 0 for none
	DenyByDefault       bool   // tenants without a contract run nowhere; elsewhere anywhere
	LeaseDuration       int64
	MaxClockSkew        int64 // how far apart the instances' clocks may be
	HostHoldDown        int64 // that a host whose zone has changed is in no zone
	Contracts           []Contract
	Text                []byte

	doc *strictyaml.Document
}

// IsPolicyFile tells whether a YAML file is one of contracts: it has them, or a generation, at its top.
func IsPolicyFile(text []byte) bool {
	var top map[string]any
	_, err := strictyaml.Decode(text, fileMost, &top)
	return err == nil && (top["contracts"] != nil || top["generation"] != nil)
}

// ParsePolicy reads a file's text and looks at all of it; name says whose it is. Faults name line and column.
func ParsePolicy(name string, text []byte, site Site) (*Policy, error) {
	var f form
	doc, err := strictyaml.Decode(text, fileMost, &f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &Policy{Source: name, Generation: f.Generation, CompanionGeneration: f.Beside, Text: slices.Clone(text), doc: doc}
	if f.Generation == 0 || f.Generation == math.MaxUint64 {
		doc.AddError("$.generation", "%d: a number from 1 on that rises with each change is needed", f.Generation)
	}
	if f.Beside >= f.Generation && f.Beside > 0 {
		doc.AddError("$.beside", "%d is no generation before %d", f.Beside, f.Generation)
	}
	switch f.Default {
	case "anywhere":
	case "nowhere":
		p.DenyByDefault = true
	default:
		doc.AddError("$.default", "%.40q is neither anywhere nor nowhere: where tenants without a contract run has to be said", f.Default)
	}
	p.EnforcementDeadline = moment(doc, "$.in_force_by", f.By, 0)
	p.LeaseDuration = duration(doc, "$.lease", f.Lease, leaseDefault, leaseLeast, leaseMost)
	p.MaxClockSkew = duration(doc, "$.clocks", f.Clocks, slackDefault, 0, slackMost)
	p.HostHoldDown = duration(doc, "$.host_rest", f.Rest, restDefault, 0, restMost)
	if f.Contracts == nil { // a file that is cut is more likely than one that means none
		doc.AddError("$", "no contracts; none at all is contracts: []")
		f.Contracts = &[]entry{}
	}
	if len(*f.Contracts) > contractsMost {
		doc.AddError("$.contracts", "%d contracts, %d at the most", len(*f.Contracts), contractsMost)
		f.Contracts = &[]entry{}
	}
	known := newSiteIndex(site)
	zones := map[string]bool{}
	for i, e := range *f.Contracts {
		p.Contracts = append(p.Contracts, contract(doc, fmt.Sprintf("$.contracts[%d]", i), e, known))
		for _, zone := range e.Zones {
			if zones[zone] = true; len(zones) == zonesMost+1 {
				doc.AddError(fmt.Sprintf("$.contracts[%d].zones", i), "over %d zones in a file", zonesMost)
			}
		}
	}
	p.inOrder()
	if err := doc.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

// siteIndex is a Site by name.
type siteIndex struct {
	tenants, classes, zones map[string]bool
	blocks                  int
}

func newSiteIndex(s Site) siteIndex {
	of := func(names []string) map[string]bool {
		if names == nil {
			return nil
		}
		m := map[string]bool{}
		for _, name := range names {
			m[name] = true
		}
		return m
	}
	return siteIndex{of(s.Tenants), of(s.Classes), of(s.Zones), s.Blocks}
}

func contract(doc *strictyaml.Document, at string, e entry, known siteIndex) Contract {
	for i, zone := range e.Zones { // as settings and lists have them
		e.Zones[i] = settings.FormatValue(zone)
	}
	if e.Tenant, e.Class = settings.FormatValue(e.Tenant), settings.FormatValue(e.Class); e.Zones == nil {
		e.Zones = []string{}
	}
	c := Contract{Tenant: e.Tenant, Class: e.Class, Block: -1, Zones: e.Zones}
	name := func(field, text string, of map[string]bool) {
		if len(text) > textMost {
			doc.AddError(at+"."+field, "over %d bytes", textMost)
		} else if of != nil && !of[text] {
			doc.AddError(at+"."+field, "unknown %s %.60q: the plan names none such", field, text)
		}
	}
	switch {
	case e.Block != nil && (e.Tenant != "" || e.Class != ""):
		doc.AddError(at+".block", "a contract names a tenant or a block, not both")
	case e.Block != nil:
		if c.Block = *e.Block; c.Block < 0 || known.blocks > 0 && c.Block >= known.blocks {
			doc.AddError(at+".block", "%d is no block: there are %d, from 0 on", c.Block, known.blocks)
			c.Block = max(0, c.Block)
		}
	case e.Tenant == "" && e.Class != "":
		doc.AddError(at+".class", "a class without its tenant")
	case e.Tenant == "":
		doc.AddError(at, "names neither a tenant nor a block")
	default:
		if name("tenant", e.Tenant, known.tenants); e.Class != "" {
			name("class", e.Class, known.classes)
		}
	}
	if len(e.Zones) == 0 {
		doc.AddError(at, "names no zones")
	}
	for i, zone := range e.Zones {
		place := fmt.Sprintf("zones[%d]", i)
		switch {
		case zone == "" || len(zone) > textMost:
			doc.AddError(at+"."+place, "a zone's name has 1 to %d bytes", textMost)
		case known.zones != nil && !known.zones[zone]:
			doc.AddError(at+"."+place, "unknown zone %.60q: the plan names none such", zone)
		case slices.Contains(e.Zones[:i], zone):
			doc.AddError(at+"."+place, "zone %.60q is there twice", zone)
		}
	}
	c.From, c.Until = moment(doc, at+".from", e.From, math.MinInt64), moment(doc, at+".until", e.Until, never)
	if c.From >= c.Until {
		doc.AddError(at+".until", "is not after from")
	}
	c.AllowPartial = one(doc, at+".otherwise", e.Otherwise, "refuse", "part")
	c.KeepOnLeaseExpiry = one(doc, at+".lease_ends", e.LeaseEnds, "refuse", "keep")
	if c.DefaultAfterEnd = one(doc, at+".after", e.After, "refuse", "default"); c.DefaultAfterEnd && c.Until == never {
		doc.AddError(at+".after", "has no end to come after")
	}
	return c
}

// one tells whether a text is the second of two words; the first holds where it is left out.
func one(doc *strictyaml.Document, at, text, usual, other string) bool {
	if text != "" && text != usual && text != other {
		doc.AddError(at, "%.40q is neither %s nor %s", text, usual, other)
	}
	return text == other
}

func moment(doc *strictyaml.Document, at, text string, missing int64) int64 {
	if text == "" {
		return missing
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil || t.Unix() <= 0 {
		doc.AddError(at, "%.40q is no time such as 2026-12-01T00:00:00Z", text)
		return missing
	}
	return t.UnixMicro() / 100
}

func duration(doc *strictyaml.Document, at, text string, missing, least, most int64) int64 {
	if text == "" {
		return missing
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		doc.AddError(at, "%.40q is no time such as 5s", text)
		return missing
	}
	v := d.Microseconds() / 100
	if v < least || v > most {
		doc.AddError(at, "%v is not from %v to %v", d, time.Duration(least)*100*time.Microsecond, time.Duration(most)*100*time.Microsecond)
		return missing
	}
	return v
}

// inOrder finds contracts on one thing that overlap in time or leave a gap between them.
func (p *Policy) inOrder() {
	all := map[who][]int{}
	for i := range p.Contracts {
		w := p.Contracts[i].who()
		all[w] = append(all[w], i)
	}
	for i := range p.Contracts { // in the file's order, each thing at its first contract
		w := p.Contracts[i].who()
		of := all[w]
		if of[0] != i || len(of) < 2 {
			continue
		}
		slices.SortStableFunc(of, func(x, y int) int { return cmp.Compare(p.Contracts[x].From, p.Contracts[y].From) })
		for n := 1; n < len(of); n++ {
			before, after := &p.Contracts[of[n-1]], &p.Contracts[of[n]]
			at := fmt.Sprintf("$.contracts[%d]", of[n])
			switch line, _ := p.ContractPosition(of[n-1]); {
			case after.From < before.Until:
				p.doc.AddError(at+".from", "%s has two contracts at once: that of line %d has not ended", w, line)
			case after.From > before.Until && !before.DefaultAfterEnd:
				p.doc.AddError(at+".from", "%s has a gap of %v after the contract of line %d", w,
					time.Duration(after.From-before.Until)*100*time.Microsecond, line)
			}
		}
	}
}

// ContractPosition is line and column of a contract.
func (p *Policy) ContractPosition(i int) (line, column int) {
	if line, column = p.doc.Position(fmt.Sprintf("$.contracts[%d].tenant", i)); line == 0 {
		line, column = p.doc.Position(fmt.Sprintf("$.contracts[%d].block", i))
	}
	return line, column
}

// UnreachableBlocksError is what `check` tells of a contract: blocks that no host in its zones holds.
type UnreachableBlocksError struct {
	Source       string
	Line, Column int
	Subject      string
	Blocks       []int
	AllowPartial bool
}

func (u *UnreachableBlocksError) Error() string {
	then := "its searches there are refused"
	if u.AllowPartial {
		then = "its searches there lack them, or are refused"
	}
	return fmt.Sprintf("%s: [%d:%d] %s could not reach %s: %s", u.Source, u.Line, u.Column, u.Subject, runs(u.Blocks), then)
}

// Advice tells an operator what to do.
func (u *UnreachableBlocksError) Advice() string {
	return "Put hosts that hold these blocks into the contract's zones before it begins, or take the blocks out of what the tenant searches."
}

// runs are numbers in order with those that follow one another together.
func runs(of []int) string {
	text := "block"
	if len(of) > 1 {
		text = "blocks"
	}
	for i := 0; i < len(of); {
		j := i
		for j+1 < len(of) && of[j+1] == of[j]+1 {
			j++
		}
		sep := ", "
		if i == 0 {
			sep = " "
		}
		if text += sep + fmt.Sprint(of[i]); j > i {
			text += fmt.Sprintf("-%d", of[j])
		}
		i = j + 1
	}
	return text
}

// FindUnreachableBlocks looks at which blocks each contract could not reach, of so many, where holds tells whether some host of a zone
// holds a block.
func (p *Policy) FindUnreachableBlocks(blocks int, holds func(zone string, block int) bool) (all []*UnreachableBlocksError) {
	for i := range p.Contracts {
		c := &p.Contracts[i]
		u := &UnreachableBlocksError{Source: p.Source, Subject: c.who().String(), AllowPartial: c.AllowPartial}
		for b := range blocks {
			if c.Block >= 0 && c.Block != b {
				continue
			}
			if !slices.ContainsFunc(c.Zones, func(zone string) bool { return holds(zone, b) }) {
				u.Blocks = append(u.Blocks, b)
			}
		}
		if len(u.Blocks) > 0 {
			u.Line, u.Column = p.ContractPosition(i)
			all = append(all, u)
		}
	}
	return all
}
