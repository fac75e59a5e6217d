package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"chalkring/cluster/membership"
)

const (
	// maxJoinAddresses bounds the addresses to join by: any one that is up will do.
	maxJoinAddresses = 64
	// maxAddressOverrides bounds Cluster.AddressOverrides.
	maxAddressOverrides = membership.MaxMembers
)

// Cluster is this instance's part in the cluster of instances that decide together. docs/cluster.md and deploy/fleet.yaml
// explain the keys.
type Cluster struct {
	ClusterName      string            `yaml:"cluster"` // the same on all instances; made from the plan's tenants where it is left out
	Name             string            `yaml:"name"`    // this instance's; the plan's where it is left out
	Region           string            `yaml:"region"`
	Zone             string            `yaml:"zone"`
	Listen           string            `yaml:"listen"` // TCP and UDP; the address under which other instances reach this one
	Join             []string          `yaml:"join"`   // instances to join by; this one may be among them
	AddressOverrides map[string]string `yaml:"via"`    // by another instance's address: where to reach it instead
	VotingMembers    []string          `yaml:"listed"` // names of all instances that count for a majority
	KeyFile          string            `yaml:"key"`    // encryption keys; empty for plain text
	StoreFile        string            `yaml:"store"`  // keeps replicated data; empty for in memory only
	RolloutFile      string            `yaml:"rollout"`
	ResidencyFile    string            `yaml:"residency"`
	SubscribersFile  string            `yaml:"subscribers"`
}

// NotListedError is an instance whose name is not among the voting members.
type NotListedError struct{ Name string }

const notListedAdvice = "Name every instance in `fleet.listed`, the same list on all of them, or mend `fleet.name`."

func (e *NotListedError) Error() string {
	return fmt.Sprintf("fleet.listed: %q, this instance's own name, is not in it", e.Name)
}

// Advice implements advice.Provider.
func (e *NotListedError) Advice() string { return notListedAdvice }

// ForInstance returns the section for an instance whose plan has this name, which holds where the file names none. It
// returns a NotListedError where the instance is no voting member.
func (c *Cluster) ForInstance(planName string) (Cluster, error) {
	section := *c
	if section.Name == "" {
		section.Name = planName
	}
	if !slices.Contains(section.VotingMembers, section.Name) {
		return section, &NotListedError{Name: section.Name}
	}
	return section, nil
}

func (c *checker) checkCluster(cluster *Cluster) {
	if cluster == nil {
		return
	}
	c.checkOptionalName("$.fleet.cluster", cluster.ClusterName)
	if length := len(cluster.ClusterName); length > membership.MaxClusterNameBytes {
		c.addError("$.fleet.cluster", "%d letters, %d at the most", length, membership.MaxClusterNameBytes)
	}
	c.checkOptionalName("$.fleet.name", cluster.Name)
	c.checkOptionalName("$.fleet.region", cluster.Region)
	c.checkOptionalName("$.fleet.zone", cluster.Zone)
	c.checkClusterListen(cluster.Listen)
	c.checkClusterAddresses(cluster)
	c.checkVotingMembers(cluster)
	c.resolvePaths(
		&cluster.KeyFile, &cluster.StoreFile, &cluster.RolloutFile, &cluster.ResidencyFile, &cluster.SubscribersFile)
}

// checkClusterListen rejects unspecified addresses as well, since the others are told this one.
func (c *checker) checkClusterListen(text string) {
	if address, err := netip.ParseAddrPort(text); err == nil && address.Addr().IsUnspecified() {
		c.addErrorWithRemedy("$.fleet.listen", "Name the one address of this machine under which the other instances reach it.",
			"%q says not where others reach it", text)
		return
	}
	c.checkAddress("$.fleet.listen", text)
}

func (c *checker) checkClusterAddresses(cluster *Cluster) {
	if count := len(cluster.Join); count > maxJoinAddresses {
		c.addError("$.fleet.join", "%d addresses, %d at the most", count, maxJoinAddresses)
	}
	for i, address := range cluster.Join {
		c.checkAddress(fmt.Sprintf("$.fleet.join[%d]", i), address)
	}
	if count := len(cluster.AddressOverrides); count > maxAddressOverrides {
		c.addError("$.fleet.via", "%d addresses, %d at the most", count, maxAddressOverrides)
	}
	for _, address := range slices.Sorted(maps.Keys(cluster.AddressOverrides)) {
		c.checkAddress("$.fleet.via", address)
		c.checkAddress("$.fleet.via.'"+address+"'", cluster.AddressOverrides[address])
	}
}

func (c *checker) checkVotingMembers(cluster *Cluster) {
	members := cluster.VotingMembers
	if len(members) == 0 || len(members) > membership.MaxMembers {
		c.addErrorWithRemedy("$.fleet.listed", "Name every instance of the fleet, the same list on all of them.",
			"%d names, 1 to %d are wanted", len(members), membership.MaxMembers)
	}
	seen := nameSet{}
	for i, name := range members {
		path := fmt.Sprintf("$.fleet.listed[%d]", i)
		c.checkName(path, name)
		c.checkUnique(path, name, seen)
	}
	if cluster.Name != "" && len(members) > 0 && !seen[cluster.Name] {
		c.addErrorWithRemedy("$.fleet.listed", notListedAdvice, "%q, this instance's own name, is not in it", cluster.Name)
	}
}
