package peerprotocol

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/cluster/peerreport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

func hostObservations(n int) []peerreport.Observation {
	observations := make([]peerreport.Observation, n)
	for i := range observations {
		observations[i] = peerreport.Observation{
			HostID: fmt.Sprintf("host-%05d", i), ShortSamples: 80, LongSamples: 200, ShortLogSlowdown: 120, LongLogSlowdown: -90,
			StartedMs: 1_790_000_000_000, AgeMs: 1200, IsOutlier: i%9 == 0,
		}
	}
	return observations
}

// startServer starts a server that answers as peer "b" with a report of hostCount hosts. configure, if not nil, changes
// the server before it starts. lastRejection returns the last reason that OnRejected was called with.
func startServer(t *testing.T, hostCount int, configure func(s *Server)) (addr string, lastRejection func() string) {
	rejection := atomic.Value{}
	observations := hostObservations(hostCount)
	s := &Server{
		Name: "b", InstanceID: 7, AllowedNames: []string{"a"}, Release: func() {},
		Admit: func(string) (bool, time.Duration) { return true, 0 },
		BuildReport: func(context.Context) (peerreport.ReportHeader, []peerreport.Observation, error) {
			return peerreport.ReportHeader{Peer: "b", Serial: 1, HostCount: uint32(hostCount)}, observations, nil
		},
		BuildStatus: func(context.Context) (Status, error) { return Status{Name: "b", HostCount: uint32(hostCount)}, nil },
		OnRejected:  func(_, reason string) { rejection.Store(reason) },
	}
	if configure != nil {
		configure(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	listener, ended := listen(t), make(chan error)
	go func() { ended <- s.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-ended) })
	return listener.Addr().String(), func() string { reason, _ := rejection.Load().(string); return reason }
}

// fetchResult is how a request for a report ended, and how many hosts were received.
type fetchResult struct {
	outcome   peerreport.Outcome
	deferral  time.Duration
	hostCount int
	err       error
}

// fetchReport requests a report as "a" from peer "b". configure, if not nil, changes the client first.
func fetchReport(addr string, configure func(c *Client)) (result fetchResult) {
	c := &Client{
		PeerName: "b", Addr: addr, LocalName: "a", InstanceID: 1, Dial: (&net.Dialer{}).DialContext,
		OnHeader: func(peerreport.ReportHeader) error { return nil },
		OnObservations: func(observations []peerreport.Observation) error {
			result.hostCount += len(observations)
			return nil
		},
	}
	if configure != nil {
		configure(c)
	}
	result.outcome, result.deferral, result.err = c.FetchReport(context.Background())
	return result
}

// A report of many chunks must arrive whole, and the status of the same server can be requested.
func TestReportAndStatus(t *testing.T) {
	addr, _ := startServer(t, 10_000, nil)
	result := fetchReport(addr, nil)
	require.NoError(t, result.err)
	require.Equal(t, peerreport.OutcomeReceived, result.outcome)
	require.Equal(t, 10_000, result.hostCount)
	status, err := (&Client{Addr: addr, LocalName: "a", Dial: (&net.Dialer{}).DialContext}).FetchStatus(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint32(10_000), status.HostCount)
}

// The wait that the server's Admit returns must reach the client unchanged.
func TestClientIsDeferred(t *testing.T) {
	addr, _ := startServer(t, 3, func(s *Server) {
		s.Admit = func(string) (bool, time.Duration) { return false, 1500 * time.Millisecond }
	})
	result := fetchReport(addr, nil)
	require.NoError(t, result.err)
	require.Equal(t, peerreport.OutcomeDeferred, result.outcome)
	require.Equal(t, 1500*time.Millisecond, result.deferral)
}

// A client that is not allowed is rejected with a code, and a client that polls its own instance gets OutcomeSelf. A
// report from a peer of another name than expected must not be accepted.
func TestClientIsRejected(t *testing.T) {
	addr, lastRejection := startServer(t, 3, nil)
	result := fetchReport(addr, func(c *Client) { c.LocalName = "stranger" })
	require.Equal(t, peerreport.OutcomeRejected, result.outcome)
	require.ErrorContains(t, result.err, "name")
	var rejected *RejectedError
	require.ErrorAs(t, result.err, &rejected)
	require.Equal(t, rejectedName, rejected.Code)
	require.NotEmpty(t, lastRejection())

	result = fetchReport(addr, func(c *Client) { c.InstanceID = 7 })
	require.Equal(t, peerreport.OutcomeSelf, result.outcome)

	result = fetchReport(addr, func(c *Client) { c.PeerName = "c" })
	require.Equal(t, peerreport.OutcomeRejected, result.outcome, "%v", result.err)
	var wrongPeer *WrongPeerError
	require.ErrorAs(t, result.err, &wrongPeer)
}

// A request that cannot be decoded, or is of another version or an unknown client, must get a rejection with the right
// code instead of a closed connection, so that the client can report the reason.
func TestInvalidRequestsAreRejected(t *testing.T) {
	addr, _ := startServer(t, 3, nil)
	requestFrame := func(message any) string {
		frame, err := appendFrame(nil, kindRequest, message)
		require.NoError(t, err)
		return string(frame)
	}
	for sent, wantCode := range map[string]string{
		"\x00\x00\x00\x02hx": rejectedUnusable,
		"\x00\x00\x00\x01s":  rejectedUnusable,
		"\xff\xff\xff\xffh":  rejectedUnusable,
		requestFrame(requestMessage{Version: protocolVersion + 1}): rejectedVersion,
		requestFrame(requestMessage{Version: protocolVersion}):     rejectedName,
		requestFrame([]string{"a", "b"}):                           rejectedUnusable,
	} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = conn.Write([]byte(sent))
		require.NoError(t, err)
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		kind, item, err := readFrame(conn, nil)
		require.NoError(t, err)
		require.Equal(t, byte(kindRejection), kind)
		var message rejectionMessage
		require.NoError(t, decode(item, &message))
		require.Equal(t, wantCode, message.Code, "%q", sent)
		conn.Close()
	}
}

// Guards against a panic over one client's request that ends more than its connection.
func TestPanicEndsOneConnection(t *testing.T) {
	var hasPanicked atomic.Bool
	addr, lastRejection := startServer(t, 3, func(s *Server) {
		s.SpendBudget = func(context.Context, int, time.Duration) error {
			if !hasPanicked.Swap(true) {
				panic("fault")
			}
			return nil
		}
	})
	require.Equal(t, peerreport.OutcomeFailed, fetchReport(addr, nil).outcome)
	require.Eventually(t, func() bool { return strings.HasSuffix(lastRejection(), ": fault") }, 10*time.Second, time.Millisecond)
	require.Equal(t, peerreport.OutcomeReceived, fetchReport(addr, nil).outcome)
}
