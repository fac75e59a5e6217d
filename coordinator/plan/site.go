package plan

import (
	"chalkring/config/settings"
	"chalkring/control/residency"
	"chalkring/endpoints"
)

// EndpointRules returns the plan's rules for entries of endpoint lists.
func (p *Plan) EndpointRules() endpoints.Rules {
	return endpoints.Rules{
		Zones: p.List(zoneList), Kinds: p.List("MachineTypes"),
		BlockSets: int(p.Number("Specifics.Sets")), SetsPerHost: int(p.Number("Specifics.Reach")),
	}
}

// ResidencySite returns the plan's tenants, classes, zones and blocks, which residency contracts refer to.
func (p *Plan) ResidencySite() residency.Site {
	formatted := func(list string) (names []string) {
		for _, name := range p.namesInFile[list] {
			names = append(names, settings.FormatValue(name))
		}
		return names
	}
	return residency.Site{
		Tenants: append([]string{}, formatted(tenantList)...), Classes: formatted(classList),
		Zones: append([]string{}, p.List(zoneList)...), Blocks: p.BlockCount(),
	}
}

// ZoneHoldsBlockFunc returns a function that says whether any host of a zone holds a block, according to the hosts that
// are up in the plan's own endpoint list.
func (p *Plan) ZoneHoldsBlockFunc() func(zone string, block int) bool {
	rules := p.EndpointRules()
	held := map[string]map[int]bool{}
	for _, host := range p.Known.Hosts {
		if host.Removed || host.State != endpoints.StateUp {
			continue
		}
		zone := ZoneName(host.Zone)
		if held[zone] == nil {
			held[zone] = map[int]bool{}
		}
		for j := range rules.SetsPerHost {
			held[zone][((host.Cell-j)%rules.BlockSets+rules.BlockSets)%rules.BlockSets] = true
		}
	}
	return func(zone string, block int) bool { return held[zone][block%max(1, rules.BlockSets)] }
}

// ZoneName returns a host's zone name in the settings' form; the name of a host without a zone stays empty.
func ZoneName(name string) string {
	if name == "" {
		return ""
	}
	return settings.FormatValue(name)
}
