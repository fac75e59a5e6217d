package main

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Connections of the socket and of the process itself are accepted, and the close of the socket is reported.
func TestMergedListener(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	local := make(chan net.Conn, 1)
	merged := newMergedListener(socket, local)
	require.Equal(t, socket.Addr(), merged.Addr())

	remote, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer remote.Close()
	accepted, err := merged.Accept()
	require.NoError(t, err)
	require.Equal(t, remote.LocalAddr().String(), accepted.RemoteAddr().String())
	accepted.Close()

	client, server := net.Pipe()
	defer client.Close()
	local <- server
	accepted, err = merged.Accept()
	require.NoError(t, err)
	require.Same(t, server, accepted)

	require.NoError(t, merged.Close())
	_, err = merged.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
