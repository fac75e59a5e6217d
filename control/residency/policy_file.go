package residency

import (
	"fmt"
	"math"
	"slices"
	"time"

	"chalkring/config/strictyaml"
	"chalkring/internal/guard"
)

const (
	maxFileBytes = 768 << 10 // fits 10,000 contracts, and itself fits into one message between instances
	maxContracts = 10_000    // in a file: this many fit into maxFileBytes, and BenchmarkLookup measures a policy with this many

	defaultLeaseDuration = 5 * second    // does not expire when a link flaps for some seconds
	minLeaseDuration     = 1 * second    // its three renewal rounds together take one second, since they begin a third of a second apart
	maxLeaseDuration     = 3600 * second // a stricter policy may take this long to be enforced everywhere

	defaultClockSkew = second / 2  // NTP keeps clocks closer together than that
	maxClockSkew     = 60 * second // a clock that differs by more is unusable

	defaultHostHoldDown = 600 * second    // by then all sources of the endpoint list know the new zone
	maxHostHoldDown     = 86_400 * second // a day
)

// policyFile is the YAML form of a policy.
type policyFile struct {
	Generation   uint64           `yaml:"generation"`
	Beside       uint64           `yaml:"beside"`
	InForceBy    string           `yaml:"in_force_by"`
	Default      string           `yaml:"default"`
	Lease        string           `yaml:"lease"`
	Clocks       string           `yaml:"clocks"`
	HostHoldDown string           `yaml:"host_rest"`
	Contracts    *[]contractEntry `yaml:"contracts"`
}

// IsPolicyFile reports whether a YAML file is a policy: it has contracts or generation as a top-level key.
func IsPolicyFile(text []byte) bool {
	var top map[string]any
	_, err := strictyaml.Decode(text, maxFileBytes, &top)
	return err == nil && (top["contracts"] != nil || top["generation"] != nil)
}

// ParsePolicy reads the text of a policy file and reports all of its faults with line and column. The names in it are
// checked against site. Source is the file's name in messages.
func ParsePolicy(source string, text []byte, site Site) (*Policy, error) {
	return guard.Read(func() (*Policy, error) { return readPolicy(source, text, site) })
}

func readPolicy(source string, text []byte, site Site) (*Policy, error) {
	var file policyFile
	document, err := strictyaml.Decode(text, maxFileBytes, &file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", source, err)
	}
	parser := policyParser{document: document, site: newSiteIndex(site)}
	policy := parser.parseHeader(&file)
	policy.Source, policy.Text, policy.document = source, slices.Clone(text), document
	policy.Contracts = parser.parseContracts(file.Contracts)
	policy.checkContractSequences()
	if err := document.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", source, err)
	}
	return policy, nil
}

// policyParser checks the values of a policy file and collects their faults in its document.
type policyParser struct {
	document *strictyaml.Document
	site     siteIndex
}

func (p *policyParser) parseHeader(file *policyFile) *Policy {
	policy := &Policy{Generation: file.Generation, CompanionGeneration: file.Beside}
	if file.Generation == 0 || file.Generation == math.MaxUint64 {
		p.document.AddError("$.generation", "%d is not a generation: write a number from 1 to 2^64-2 that rises with each change", file.Generation)
	}
	if file.Beside >= file.Generation && file.Beside > 0 {
		p.document.AddError("$.beside", "%d is not an earlier generation than %d", file.Beside, file.Generation)
	}
	switch file.Default {
	case "anywhere":
	case "nowhere":
		policy.DenyByDefault = true
	default:
		p.document.AddError("$.default", "%.40q is neither anywhere nor nowhere: state where tenants without a contract may run", file.Default)
	}
	policy.EnforcementDeadline = p.parseTime("$.in_force_by", file.InForceBy, 0)
	policy.LeaseDuration = p.parseDuration("$.lease", file.Lease, durationLimits{defaultLeaseDuration, minLeaseDuration, maxLeaseDuration})
	policy.MaxClockSkew = p.parseDuration("$.clocks", file.Clocks, durationLimits{defaultClockSkew, 0, maxClockSkew})
	policy.HostHoldDown = p.parseDuration("$.host_rest", file.HostHoldDown, durationLimits{defaultHostHoldDown, 0, maxHostHoldDown})
	return policy
}

// parseContracts parses the list of contracts. A missing list is a fault, since a truncated file is more likely than one
// that is meant to have no contracts.
func (p *policyParser) parseContracts(entries *[]contractEntry) (contracts []Contract) {
	if entries == nil {
		p.document.AddError("$", "the list of contracts is missing; write contracts: [] if there are none")
		return nil
	}
	if len(*entries) > maxContracts {
		p.document.AddError("$.contracts", "%d contracts, but at most %d are allowed", len(*entries), maxContracts)
		return nil
	}
	zones := map[string]bool{}
	for i, entry := range *entries {
		contract := p.parseContract(contractPath(i), entry)
		contracts = append(contracts, contract)
		for _, zone := range contract.Zones {
			zones[zone] = true
			if len(zones) == maxZones+1 {
				p.document.AddError(contractPath(i)+".zones", "more than %d zones in a file", maxZones)
			}
		}
	}
	return contracts
}

// parseTime parses a wall time. It returns defaultTime if the text is empty or invalid.
func (p *policyParser) parseTime(path, text string, defaultTime int64) int64 {
	if text == "" {
		return defaultTime
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil || t.Unix() <= 0 {
		p.document.AddError(path, "%.40q is not a time such as 2026-12-01T00:00:00Z", text)
		return defaultTime
	}
	return ticksFromMicroseconds(t.UnixMicro())
}

// durationLimits are the default and the bounds of a duration, in ticks.
type durationLimits struct{ defaultValue, min, max int64 }

func (p *policyParser) parseDuration(path, text string, limits durationLimits) int64 {
	if text == "" {
		return limits.defaultValue
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		p.document.AddError(path, "%.40q is not a duration such as 5s", text)
		return limits.defaultValue
	}
	ticks := ticksFromMicroseconds(duration.Microseconds())
	if ticks < limits.min || ticks > limits.max {
		p.document.AddError(path, "%v is not between %v and %v", duration, durationFromTicks(limits.min), durationFromTicks(limits.max))
		return limits.defaultValue
	}
	return ticks
}

// parseChoice reports whether a text is the second of two keywords. An empty text counts as the first.
func (p *policyParser) parseChoice(path, text, first, second string) bool {
	if text != "" && text != first && text != second {
		p.document.AddError(path, "%.40q is neither %s nor %s", text, first, second)
	}
	return text == second
}
