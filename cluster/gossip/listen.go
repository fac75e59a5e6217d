package gossip

import (
	"errors"
	stdlog "log"
	"net"
	"net/netip"
	"syscall"

	"github.com/hashicorp/memberlist"
)

// maxPortAttempts is how often listen tries a random port: one that is free for TCP may be in use for UDP.
const maxPortAttempts = 20

// listen opens the transport on an address. Port 0 means any free port.
func (n *Node) listen(addr netip.AddrPort, logger *stdlog.Logger) error {
	attempts := maxPortAttempts
	if addr.Port() != 0 {
		attempts = 1
		if err := checkAddressFree(addr.String()); errors.Is(err, syscall.EADDRINUSE) {
			return &AddressInUseError{addr.String(), err}
		} else if err != nil {
			return &InvalidAddressError{addr.String(), err}
		}
	}
	config := &memberlist.NetTransportConfig{
		BindAddrs: []string{addr.Addr().String()}, BindPort: int(addr.Port()), Logger: logger,
	}
	var lastErr error
	for range attempts {
		netTransport, err := memberlist.NewNetTransport(config)
		if err == nil {
			n.transport = &transport{
				NetTransport: netTransport, addrOverrides: n.options.AddrOverrides, shouldDrop: n.options.ShouldDrop,
			}
			return nil
		}
		lastErr = err
	}
	return &InvalidAddressError{addr.String(), lastErr}
}

// checkAddressFree returns an error if an address cannot be listened on. It is needed because memberlist's own error has no
// type for a port in use; only its text says so.
func checkAddressFree(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	listener.Close()
	packetConn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	_ = packetConn.Close() // opened only to check that the address is free
	return nil
}
