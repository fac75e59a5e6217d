package gossip

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/membership"
)

// startRelay starts a relay, as between data centres, that forwards packets and connections to an address. It returns the
// relay's own address.
func startRelay(t *testing.T, to string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	packetConn, err := net.ListenPacket("udp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close(); packetConn.Close() })
	destination, err := net.ResolveUDPAddr("udp", to)
	require.NoError(t, err)
	go relayConnections(listener, to)
	go relayPackets(packetConn, destination)
	return listener.Addr().String()
}

func relayConnections(listener net.Listener, to string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			onward, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer onward.Close()
			go func() { copyBytes(onward, conn); _ = onward.(*net.TCPConn).CloseWrite() }()
			copyBytes(conn, onward)
		}()
	}
}

func relayPackets(packetConn net.PacketConn, destination net.Addr) {
	for buffer := make([]byte, 65536); ; {
		size, _, err := packetConn.ReadFrom(buffer)
		if err != nil {
			return
		}
		_, _ = packetConn.WriteTo(buffer[:size], destination)
	}
}

func copyBytes(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			to.Write(buffer[:size])
		}
		if err != nil {
			return
		}
	}
}

func freeAddrs(t *testing.T, count int) (addrs []string) {
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addrs = append(addrs, listener.Addr().String())
		listener.Close()
	}
	return addrs
}

// Instances that reach each other only through relays, by address overrides, must all see each other as alive and must stay
// alive.
func TestAddrOverridesLeadThroughRelays(t *testing.T) {
	t.Parallel()
	key, addrs := bytes.Repeat([]byte{7}, 32), freeAddrs(t, 3)
	var nodes []*Node
	for i, addr := range addrs {
		overrides := map[string]string{}
		for _, other := range addrs {
			if other != addr {
				overrides[other] = startRelay(t, other)
			}
		}
		n, err := Start(t.Context(), Options{
			Self: membership.Member{Name: fmt.Sprint("n", i)}, Voters: []string{"n0", "n1", "n2"}, ListenAddr: addr,
			JoinAddrs: addrs, AddrOverrides: overrides, Key: key, ShouldDrop: func(string) bool { return false },
		})
		require.NoError(t, err)
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	awaitAllAlive(t, nodes...)
	for range 20 { // acknowledgements have to come back through the relays too
		time.Sleep(100 * time.Millisecond)
		alive, _ := nodes[0].Membership().CountAliveVoters(0)
		require.Equal(t, 3, alive)
	}
}
