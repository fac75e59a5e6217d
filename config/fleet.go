package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"chalkring/cluster/membership"
)

const (
	joinMost = 64                    // addresses to begin with: any one that is up will do
	viaMost  = membership.MaxMembers // addresses reached another way
)

// Cluster is this instance among those that decide together. docs/fleet.md and deploy/fleet.yaml tell what may stand in it.
type Cluster struct {
	ClusterName      string            `yaml:"cluster"` // the fleet's own name, the same on all its instances; told by the plan's tenants where it is left out
	Name             string            `yaml:"name"`    // its own, the plan's where it is left out
	Region           string            `yaml:"region"`  // where it stands
	Zone             string            `yaml:"zone"`
	Listen           string            `yaml:"listen"` // TCP and UDP; the address under which others reach it
	Join             []string          `yaml:"join"`   // others to begin with; its own may be among them
	AddressOverrides map[string]string `yaml:"via"`    // by others' addresses: where to reach them instead
	VotingMembers    []string          `yaml:"listed"` // names of all that count for a majority
	KeyFile          string            `yaml:"key"`    // file of keys; all is plain text where it is left out
	StoreFile        string            `yaml:"store"`  // file in which what is shared is kept; in memory alone where it is left out
	RolloutFile      string            `yaml:"rollout"`
	ResidencyFile    string            `yaml:"residency"`
	SubscribersFile  string            `yaml:"subscribers"`
}

// NotListedError is an instance whose name is not among those that count.
type NotListedError struct{ Name string }

func (e *NotListedError) Error() string {
	return fmt.Sprintf("fleet.listed: %q, this instance's own name, is not in it", e.Name)
}

func (e *NotListedError) Advice() string {
	return "Name every instance in `fleet.listed`, the same list on all of them, or mend `fleet.name`."
}

// ForInstance is the section of an instance whose plan has this name.
func (f *Cluster) ForInstance(name string) (Cluster, error) {
	own := *f
	if own.Name == "" {
		own.Name = name
	}
	if !slices.Contains(own.VotingMembers, own.Name) {
		return own, &NotListedError{own.Name}
	}
	return own, nil
}

func (c *checker) fleet(f *File, dir string) {
	p := f.Fleet
	if p == nil {
		return
	}
	if p.ClusterName != "" {
		c.name("$.fleet.cluster", p.ClusterName)
		if len(p.ClusterName) > membership.MaxClusterNameBytes {
			c.fault("$.fleet.cluster", "%d letters, %d at the most", len(p.ClusterName), membership.MaxClusterNameBytes)
		}
	}
	if p.Name != "" {
		c.name("$.fleet.name", p.Name)
	}
	for at, text := range map[string]string{"region": p.Region, "zone": p.Zone} {
		if text != "" {
			c.name("$.fleet."+at, text)
		}
	}
	if at, err := netip.ParseAddrPort(p.Listen); err == nil && at.Addr().IsUnspecified() {
		c.doc.AddErrorWithRemedy("$.fleet.listen", "Name the one address of this machine under which the other instances reach it.",
			"%q says not where others reach it", p.Listen)
	} else {
		c.address("$.fleet.listen", p.Listen)
	}
	if len(p.Join) > joinMost {
		c.fault("$.fleet.join", "%d addresses, %d at the most", len(p.Join), joinMost)
	}
	for i, addr := range p.Join {
		c.address(fmt.Sprintf("$.fleet.join[%d]", i), addr)
	}
	if len(p.AddressOverrides) > viaMost {
		c.fault("$.fleet.via", "%d addresses, %d at the most", len(p.AddressOverrides), viaMost)
	}
	for _, addr := range slices.Sorted(maps.Keys(p.AddressOverrides)) {
		c.address("$.fleet.via", addr)
		c.address("$.fleet.via.'"+addr+"'", p.AddressOverrides[addr])
	}
	if len(p.VotingMembers) == 0 || len(p.VotingMembers) > membership.MaxMembers {
		c.doc.AddErrorWithRemedy("$.fleet.listed", "Name every instance of the fleet, the same list on all of them.",
			"%d names, 1 to %d are wanted", len(p.VotingMembers), membership.MaxMembers)
	}
	seen := map[string]bool{}
	for i, name := range p.VotingMembers {
		at := fmt.Sprintf("$.fleet.listed[%d]", i)
		c.name(at, name)
		if seen[name] {
			c.fault(at, "%q is there twice", name)
		}
		seen[name] = true
	}
	if p.Name != "" && len(p.VotingMembers) > 0 && !seen[p.Name] {
		c.doc.AddErrorWithRemedy("$.fleet.listed", (&NotListedError{}).Advice(), "%q, this instance's own name, is not in it", p.Name)
	}
	from(dir, &p.KeyFile, &p.StoreFile, &p.RolloutFile, &p.ResidencyFile, &p.SubscribersFile)
}
