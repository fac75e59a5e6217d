package config

import (
	"fmt"
	"time"

	"chalkring/cluster/peerreport"
)

const (
	// minRefresh: a peer answers one name once a second. maxRefresh: a longer interval is more likely a mistake.
	minRefresh = time.Second
	maxRefresh = 24 * time.Hour
)

// Peers are the instances that this one exchanges load reports with.
type Peers struct {
	Name            string        `yaml:"name"`    // this instance's; the plan's where it is left out
	Locality        string        `yaml:"place"`   // latencies to zones count from peers in the same locality only
	Listen          string        `yaml:"listen"`  // where peers poll this instance; empty for not at all
	PollTargets     []Peer        `yaml:"ask"`     // peers to poll
	AllowedPeers    []string      `yaml:"allow"`   // names of the peers that may poll
	RefreshText     string        `yaml:"refresh"` // interval of polls after the first half minute, such as 30s; 0s for no more
	RefreshInterval time.Duration `yaml:"-"`       // RefreshText parsed
	TLS             *TLS          `yaml:"tls"`     // nil for plain TCP, where names are believed
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
		c.addError("$.peers.place", "over %d letters", peerreport.MaxNameBytes)
	}
	if peers.Listen != "" {
		c.checkAddress("$.peers.listen", peers.Listen)
	}
	if peers.Listen == "" && len(peers.AllowedPeers) > 0 {
		c.addError("$.peers.allow", "names are allowed, but nothing listens")
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
		c.addError("$.peers.ask", "%d peers, %d at the most", len(targets), peerreport.MaxPeers)
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
		c.addError("$.peers.refresh", "%.40q is no time such as 30s", peers.RefreshText)
		return
	}
	peers.RefreshInterval = interval
	if interval != 0 && (interval < minRefresh || interval > maxRefresh) {
		c.addError("$.peers.refresh", "%v is not from %v to %v", interval, minRefresh, maxRefresh)
	}
}
