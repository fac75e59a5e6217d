package clustertest

import (
	"context"
	"net"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A life whose remains hold its ports for a while after it was killed, as in a write to a slow disk, does not fell the next.
func TestLaunchWaitsForPorts(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	program, err := BuildProgram(ctx)
	require.NoError(t, err)
	r, err := New(ctx, Config{
		Seed: 1, ProgramPath: program, Instances: []Instance{{Name: "a", Region: "r", Zone: "z"}},
		Hosts: []Host{{ID: "h", Zone: "z"}},
	})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	require.NoError(t, r.Kill(ctx, "a"))
	const held = 300 * time.Millisecond
	tcp, err := net.Listen("tcp", r.Addresses("a").Client)
	require.NoError(t, err)
	udp, err := net.ListenPacket("udp", r.Addresses("a").Fleet)
	require.NoError(t, err)
	time.AfterFunc(held, func() { tcp.Close() })
	time.AfterFunc(2*held, func() { udp.Close() })
	require.NoError(t, r.Start(ctx, "a"))
	require.NotContains(t, r.LogSinceLaunch("a"), "no_start")
}

// Ports that nobody lets go of are told by their address.
func TestPortsHeld(t *testing.T) {
	addr, err := port()
	require.NoError(t, err)
	t.Cleanup(func() { freed([]string{addr}) })
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	defer ln.Close()
	err = letGo(30*time.Millisecond, addr)
	require.ErrorContains(t, err, "address already in use")
	require.ErrorContains(t, err, addr)
}

// A reserved address can be listened on at once, also while the process starts others: a child has copies of all open
// sockets until it executes its program, and would keep those with which the address was checked.
func TestReservedAddressIsFreeWhileProcessesStart(t *testing.T) {
	const starters, reservations = 4, slotSize / 2
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	for range starters {
		go func() {
			for ctx.Err() == nil {
				_ = exec.Command("true").Run() // only the start matters
			}
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		stop()
		for range starters {
			<-ended
		}
	})
	for range reservations {
		addr, release, err := ReserveAddress()
		require.NoError(t, err)
		tcp, err := net.Listen("tcp", addr)
		require.NoError(t, err)
		udp, err := net.ListenPacket("udp", addr)
		require.NoError(t, err)
		require.NoError(t, udp.Close())
		require.NoError(t, tcp.Close())
		release()
	}
}
