package coordinator

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each end of a connection has one outcome for its attempts. Guards against an end that makes a sound replica look down,
// or that lets an attempt be retried although it may have run.
func TestAttemptOutcomesOfConnectionEnds(t *testing.T) {
	want := map[connectionEndError][3]string{} // outcomes of an attempt that is not completely written, of the first written one, and of another written one
	for _, e := range []connectionEndError{errNotConnected, errPeerClosed, errReset, errWriteFailed} {
		want[e] = [3]string{"ConnectError", "ResetByPeer", "ResetByPeer"}
	}
	for _, e := range []connectionEndError{errReadTimeout, errMalformed, errRejectedByPeer} {
		want[e] = [3]string{"Ignored", "Failed", "Canceled"}
	}
	for _, e := range []connectionEndError{errNoDescriptors, errQueueFull, errIdle, errRetired, errDisplaced, errClosing} {
		want[e] = [3]string{"Ignored", "Canceled", "Canceled"}
	}
	for e := errNotConnected; e <= errClosing; e++ {
		require.Equal(t, want[e], [3]string{e.attemptOutcome(false, true, false), e.attemptOutcome(true, true, false), e.attemptOutcome(true, false, false)},
			e.Error())
		require.Equal(t, "Ignored", e.attemptOutcome(false, true, true), "on a connection that had worked: %s", e)
		require.NotEmpty(t, e.Error())
	}
	require.Equal(t, errNoDescriptors, connectionEndOf(&net.OpError{Err: os.NewSyscallError("socket", syscall.EMFILE)}))
	require.Equal(t, errPeerClosed, connectionEndOf(io.EOF))
	require.Equal(t, errReset, connectionEndOf(io.ErrUnexpectedEOF))
}
