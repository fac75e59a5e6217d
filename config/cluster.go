package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"chalkring/cluster/membership"
)

const (
	// maxJoinAddresses limits Cluster.Join. A few addresses are enough: joining needs only one instance that is up.
	maxJoinAddresses = 64
	// maxAddressOverrides is the largest allowed number of Cluster.AddressOverrides.
	maxAddressOverrides = membership.MaxMembers
)

// Cluster is the section `fleet`. It makes this instance a member of a cluster, whose instances make decisions together.
// docs/cluster.md and deploy/fleet.yaml explain the keys.
type Cluster struct {
	ClusterName      string            `yaml:"cluster"` // the same on all instances; derived from the plan's tenants if left out
	Name             string            `yaml:"name"`    // this instance's name; the plan's name if left out
	Region           string            `yaml:"region"`
	Zone             string            `yaml:"zone"`
	Listen           string            `yaml:"listen"` // for TCP and UDP; the address at which other instances reach this one
	Join             []string          `yaml:"join"`   // addresses of instances to join through; may include this one
	AddressOverrides map[string]string `yaml:"via"`    // maps the listen address of another instance to the address to reach it at
	VotingMembers    []string          `yaml:"listed"` // names of all instances that count towards a majority
	KeyFile          string            `yaml:"key"`    // encryption keys; empty means plain text
	StoreFile        string            `yaml:"store"`  // keeps replicated data; empty means in memory only
	RolloutFile      string            `yaml:"rollout"`
	ResidencyFile    string            `yaml:"residency"`
	SubscribersFile  string            `yaml:"subscribers"`
}

// NotListedError reports that the instance's own name is not among the voting members.
type NotListedError struct{ Name string }

const notListedAdvice = "List every instance in `fleet.listed`, with the same list on all instances, or correct `fleet.name`."

func (e *NotListedError) Error() string {
	return fmt.Sprintf("fleet.listed: %q, this instance's own name, is missing from the list", e.Name)
}

// Advice implements advice.Provider.
func (e *NotListedError) Advice() string { return notListedAdvice }

// ForInstance returns the section with Name set to planName, the name in the instance's plan, if the file gives no name.
// It returns a NotListedError if the instance is not a voting member.
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
		c.addError("$.fleet.cluster", "the name has %d bytes; at most %d are allowed", length, membership.MaxClusterNameBytes)
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

// checkClusterListen also rejects unspecified addresses, because the address is announced to the other instances.
func (c *checker) checkClusterListen(text string) {
	if address, err := netip.ParseAddrPort(text); err == nil && address.Addr().IsUnspecified() {
		c.addErrorWithRemedy("$.fleet.listen", "Give the one address of this machine at which the other instances reach it.",
			"%q is not an address at which other instances can reach this one", text)
		return
	}
	c.checkAddress("$.fleet.listen", text)
}

func (c *checker) checkClusterAddresses(cluster *Cluster) {
	if count := len(cluster.Join); count > maxJoinAddresses {
		c.addError("$.fleet.join", "%d addresses; at most %d are allowed", count, maxJoinAddresses)
	}
	for i, address := range cluster.Join {
		c.checkAddress(fmt.Sprintf("$.fleet.join[%d]", i), address)
	}
	if count := len(cluster.AddressOverrides); count > maxAddressOverrides {
		c.addError("$.fleet.via", "%d addresses; at most %d are allowed", count, maxAddressOverrides)
	}
	for _, address := range slices.Sorted(maps.Keys(cluster.AddressOverrides)) {
		c.checkAddress("$.fleet.via", address)
		c.checkAddress("$.fleet.via.'"+address+"'", cluster.AddressOverrides[address])
	}
}

func (c *checker) checkVotingMembers(cluster *Cluster) {
	members := cluster.VotingMembers
	if len(members) == 0 || len(members) > membership.MaxMembers {
		c.addErrorWithRemedy("$.fleet.listed", "List every instance of the fleet, with the same list on all instances.",
			"%d names; expected 1 to %d", len(members), membership.MaxMembers)
	}
	seen := nameSet{}
	for i, name := range members {
		path := fmt.Sprintf("$.fleet.listed[%d]", i)
		c.checkName(path, name)
		c.checkUnique(path, name, seen)
	}
	if cluster.Name != "" && len(members) > 0 && !seen[cluster.Name] {
		c.addErrorWithRemedy("$.fleet.listed", notListedAdvice, "%q, this instance's own name, is missing from the list", cluster.Name)
	}
}
