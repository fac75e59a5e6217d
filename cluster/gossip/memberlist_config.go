package gossip

import (
	"fmt"
	stdlog "log"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"

	"chalkring/cluster/membership"
)

// Settings of memberlist.
const (
	probeInterval           = 500 * time.Millisecond // between probes, each of another node
	suspicionMultiplier     = 3                      // time for a suspect to refute, in probe intervals; more above 10 nodes
	maxAwarenessMultiplier  = 2                      // largest factor by which probes slow down while this instance itself is slow
	gossipInterval          = 200 * time.Millisecond // between packets of broadcasts
	gossipNodes             = 3                      // nodes to which broadcasts are sent at once
	pushPullInterval        = 15 * time.Second       // between exchanges of the full state; longer above 32 nodes
	gossipToTheDeadTime     = 30 * time.Second       // how long broadcasts are still sent to a dead node, which may be back
	streamTimeout           = 5 * time.Second        // for an exchange or a message on a connection; allows 1 MiB at 2 Mbit/s
	maxSuspicionTimeoutMult = 1                      // the time to refute does not depend on how many nodes confirm the suspicion
)

// nodeNameOf returns the node name in memberlist of an incarnation. All instances derive the same one.
func nodeNameOf(memberName string, incarnation uint64) string {
	return fmt.Sprintf("%s#%x", memberName, incarnation)
}

func (n *Node) memberlistConfig(listenAddr netip.AddrPort, logger *stdlog.Logger) *memberlist.Config {
	config := memberlist.DefaultLANConfig()
	self := n.table.Self()
	n.nodeName = nodeNameOf(self.Name, self.Incarnation)
	config.Name = n.nodeName
	config.Transport, config.Logger = n.transport, logger
	config.BindAddr, config.AdvertiseAddr = listenAddr.Addr().String(), listenAddr.Addr().String()
	config.BindPort, config.AdvertisePort = n.transport.GetAutoBindPort(), n.transport.GetAutoBindPort()
	config.ProbeInterval, config.ProbeTimeout = probeInterval, membership.PingTimeout*clockTick
	config.SuspicionMult, config.SuspicionMaxTimeoutMult = suspicionMultiplier, maxSuspicionTimeoutMult
	config.AwarenessMaxMultiplier = maxAwarenessMultiplier
	config.GossipInterval, config.GossipNodes = gossipInterval, gossipNodes
	config.GossipToTheDeadTime = gossipToTheDeadTime
	config.PushPullInterval, config.TCPTimeout = pushPullInterval, streamTimeout
	config.EnableCompression = false // compressing a message of 1 MiB takes 50 ms of a core
	config.DNSConfigPath = ""
	callbacks := (*delegate)(n)
	config.Delegate, config.Events, config.Alive, config.Merge = callbacks, callbacks, callbacks, callbacks
	if len(n.options.Key) > 0 {
		config.SecretKey = n.options.Key
		config.Keyring, _ = memberlist.NewKeyring(n.options.OldKeys, n.options.Key) // Start has checked the keys
	}
	return config
}
