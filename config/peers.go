package config

import (
	"fmt"
	"time"

	"chalkring/cluster/peerreport"
)

const (
	// minRefresh is the shortest allowed interval: a peer answers polls under one name at most once a second.
	minRefresh = time.Second
	// maxRefresh is the longest allowed interval: a longer one is probably a mistake.
	maxRefresh = 24 * time.Hour
)

// Peers configures the exchange of load reports with other instances.
type Peers struct {
	Name            string        `yaml:"name"`    // this instance's name; the plan's name if left out
	Locality        string        `yaml:"place"`   // zone latencies are used only if they come from peers in the same locality
	Listen          string        `yaml:"listen"`  // the address at which peers poll this instance; empty means they cannot
	PollTargets     []Peer        `yaml:"ask"`     // peers to poll
	AllowedPeers    []string      `yaml:"allow"`   // names of the peers that may poll
	RefreshText     string        `yaml:"refresh"` // interval of polls after the first half minute, such as 30s; 0s means no further polls
	RefreshInterval time.Duration `yaml:"-"`       // parsed from RefreshText
	TLS             *TLS          `yaml:"tls"`     // nil means plain TCP, where peers' names are not verified
}

// Peer is an instance to poll.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

func (c *checker) checkPeers(peers *Peers) {
	if peers == nil {
		return
	}
	c.checkOptionalName("$.peers.name", peers.Name)
	if len(peers.Locality) > peerreport.MaxNameBytes {
		c.addError("$.peers.place", "longer than %d bytes", peerreport.MaxNameBytes)
	}
	if peers.Listen != "" {
		c.checkAddress("$.peers.listen", peers.Listen)
	}
	if peers.Listen == "" && len(peers.AllowedPeers) > 0 {
		c.addError("$.peers.allow", "peers are allowed to poll, but listen is not set")
	}
	c.checkPollTargets(peers.PollTargets)
	for i, name := range peers.AllowedPeers {
		c.checkName(fmt.Sprintf("$.peers.allow[%d]", i), name)
	}
	c.checkRefresh(peers)
	c.checkTLS("$.peers.tls", peers.TLS, "certificate", "key", "authorities")
}

func (c *checker) checkPollTargets(targets []Peer) {
	if len(targets) > peerreport.MaxPeers {
		c.addError("$.peers.ask", "%d peers; at most %d are allowed", len(targets), peerreport.MaxPeers)
	}
	seen := nameSet{}
	for i, target := range targets {
		path := fmt.Sprintf("$.peers.ask[%d]", i)
		c.checkName(path+".name", target.Name)
		c.checkAddress(path+".address", target.Address)
		c.checkUnique(path+".name", target.Name, seen)
	}
}

// checkRefresh parses and checks the refresh interval.
func (c *checker) checkRefresh(peers *Peers) {
	if peers.RefreshText == "" {
		return
	}
	interval, err := time.ParseDuration(peers.RefreshText)
	if err != nil {
		c.addError("$.peers.refresh", "%.40q is not a duration such as 30s", peers.RefreshText)
		return
	}
	peers.RefreshInterval = interval
	if interval != 0 && (interval < minRefresh || interval > maxRefresh) {
		c.addError("$.peers.refresh", "%v is not from %v to %v", interval, minRefresh, maxRefresh)
	}
}
