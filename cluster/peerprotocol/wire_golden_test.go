package peerprotocol

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
)

func goldenReport() (peerreport.ReportHeader, []peerreport.Observation) {
	notes := []peerreport.Observation{
		{
			HostID: "host-1:9200", ZoneIndex: 1, StartedMs: 1_790_000_000_000, ShortSamples: 80, LongSamples: 200, ShortLogSlowdown: 120, LongLogSlowdown: -90, ConsecutiveFailures: 2, ConnectFailures: 3, UnansweredRequests: 4,
			SilentMs: 5000, AgeMs: 1200, IsOutlier: true,
		},
		{HostID: "host-2:9200", AgeMs: peerreport.NeverAnswered},
	}
	return peerreport.ReportHeader{
		Peer: "b", Locality: "eu-west-1a", Serial: 3, ListVersion: 42, AgeMs: 1500, AnswerCount: 800, FleetLatency: 120, MinLatency: 35, HostCount: 2,
		Zones: []peerreport.ZoneObservation{{Name: "eu-west-1b", Samples: 16, LogSlowdown: 250}, {Name: "eu-west-1c", Samples: 8, LogSlowdown: -3}},
	}, notes
}

func goldenStatus() Status {
	return Status{
		Name: "b", Locality: "eu-west-1a", UptimeMs: 123456, ListVersion: 42, HostCount: 2, ReportsServed: 5, ReportsDeferred: 6, LoadPermille: 250, WaitingJobs: 7, RunningJobs: 8, DeferredJobs: 9,
		Peers: []PeerStatus{{Name: "a", LastOutcome: "told", LastOutcomeAgoMs: 1000, ReportCount: 3, NextPollInMs: 2000}},
	}
}

func goldenServer(admitted bool) *Server {
	return &Server{
		Name: "b", InstanceID: 7, AllowedNames: []string{"a"}, Release: func() {},
		Admit: func(string) (bool, time.Duration) { return admitted, 1500 * time.Millisecond },
		BuildReport: func(context.Context) (peerreport.ReportHeader, []peerreport.Observation, error) {
			head, notes := goldenReport()
			return head, notes, nil
		},
		BuildStatus: func(context.Context) (Status, error) { return goldenStatus(), nil },
		OnRejected:  func(string, string) {},
	}
}

// respond is all that a server sends to a client that has sent a request.
func respond(s *Server, request []byte) ([]byte, error) {
	client, server := net.Pipe()
	defer client.Close()
	go s.talk(context.Background(), server)
	if err := client.SetDeadline(time.Now().Add(wholeTime)); err != nil {
		return nil, err
	}
	if _, err := client.Write(request); err != nil {
		return nil, err
	}
	return io.ReadAll(client)
}

// query runs a client against a recorded response and tells what it sent.
func query(client *Client, response []byte, run func() error) (request []byte, err error) {
	near, far := net.Pipe()
	client.Dial = func(context.Context, string, string) (net.Conn, error) { return near, nil }
	received := make(chan []byte, 1)
	go func() {
		defer far.Close()
		_, _, room, err := readFrame(io.TeeReader(far, writerFunc(func(b []byte) { request = append(request, b...) })), nil)
		if err == nil && len(room) > 0 {
			_, _ = far.Write(response)
		}
		received <- request
	}()
	err = run()
	near.Close()
	return <-received, err
}

type writerFunc func(b []byte)

func (f writerFunc) Write(b []byte) (int, error) { f(b); return len(b), nil }

// goldenResult is how a query ended and what it brought.
type goldenResult struct {
	how    peerreport.Outcome
	later  time.Duration
	heads  []peerreport.ReportHeader
	notes  []peerreport.Observation
	failed string
}

// Requests and whole responses of a connection, byte by byte: a client of this build reads what an earlier server sent, and a
// server of this build answers an earlier client with the same bytes.
func TestGoldenPeerConnections(t *testing.T) {
	request := func(name string, instance uint64, want string) []byte {
		b, err := appendFrame(nil, kindHello, hello{Version: version, Name: name, Instance: instance, Want: want})
		require.NoError(t, err)
		return b
	}
	reportRequest, statusRequest := request("a", 1, wantReport), request("a", 1, wantStatus)
	unknownName, ownInstance := request("c", 1, wantReport), request("a", 7, wantReport)
	otherVersion, err := appendFrame(nil, kindHello, hello{Version: version + 1, Name: "a", Instance: 1, Want: wantReport})
	require.NoError(t, err)
	unknownWant := bytes.Replace(reportRequest, []byte("report"), []byte("secret"), 1)

	read := func(response []byte) (any, error) {
		result := goldenResult{}
		client := &Client{
			PeerName: "b", LocalName: "a", InstanceID: 1,
			OnHeader:       func(h peerreport.ReportHeader) error { result.heads = append(result.heads, h); return nil },
			OnObservations: func(notes []peerreport.Observation) error { result.notes = append(result.notes, notes...); return nil },
		}
		sent, _ := query(client, response, func() error {
			var err error
			if result.how, result.later, err = client.FetchReport(context.Background()); err != nil {
				result.failed = err.Error()
			}
			return err
		})
		if !bytes.Equal(sent, reportRequest) {
			return nil, errors.New("the client sent another request")
		}
		return result, nil
	}
	response := func(name string, admitted bool, request []byte, want goldenResult) goldenForm {
		return goldenForm{name, func() ([]byte, error) { return respond(goldenServer(admitted), request) }, read, want}
	}
	decodeHello := func(encoded []byte) (any, error) {
		kind, rest, _, err := readFrame(bytes.NewReader(encoded), nil)
		if err != nil {
			return nil, err
		}
		if kind != 'h' {
			return nil, errors.New("no hello")
		}
		var decoded hello
		err = decode(rest, &decoded)
		return decoded, err
	}
	head, notes := goldenReport()
	requireGolden(t, "connections.golden", []goldenForm{
		{
			"request-report", func() ([]byte, error) { return reportRequest, nil }, decodeHello,
			hello{Version: 1, Name: "a", Instance: 1, Want: "report"},
		},
		{
			"request-status", func() ([]byte, error) { return statusRequest, nil }, decodeHello,
			hello{Version: 1, Name: "a", Instance: 1, Want: "status"},
		},
		response("response-report", true, reportRequest, goldenResult{how: peerreport.OutcomeReceived, heads: []peerreport.ReportHeader{head}, notes: notes}),
		response("response-later", false, reportRequest, goldenResult{how: peerreport.OutcomeDeferred, later: 1500 * time.Millisecond}),
		response("response-unknown-name", true, unknownName,
			goldenResult{how: peerreport.OutcomeRejected, failed: "refused (name): the name is not among those that may ask"}),
		response("response-own-instance", true, ownInstance,
			goldenResult{how: peerreport.OutcomeSelf, failed: "refused (self): you are talking to yourself"}),
		response("response-other-version", true, otherVersion,
			goldenResult{how: peerreport.OutcomeRejected, failed: "refused (version): version 1 is spoken here"}),
		response("response-unknown-want", true, unknownWant,
			goldenResult{how: peerreport.OutcomeRejected, failed: "refused (unusable): nothing known is wanted"}),
		{
			"response-status", func() ([]byte, error) { return respond(goldenServer(true), statusRequest) },
			func(encoded []byte) (any, error) {
				client := &Client{PeerName: "b", LocalName: "a", InstanceID: 1}
				var status Status
				sent, err := query(client, encoded, func() (err error) { status, err = client.FetchStatus(context.Background()); return err })
				if !bytes.Equal(sent, statusRequest) {
					err = errors.Join(err, errors.New("the client sent another request"))
				}
				return status, err
			}, goldenStatus(),
		},
		{
			"notes", func() ([]byte, error) { return EncodeObservations(notes) },
			func(encoded []byte) (any, error) { return DecodeObservations(encoded) }, notes,
		},
		{
			"head", func() ([]byte, error) { return encoder.Marshal(head) },
			func(encoded []byte) (any, error) { return DecodeHeader(encoded) }, head,
		},
	})
}

// The numbers and words of the protocol, and limits that a receiver checks.
func TestGoldenPeerConstants(t *testing.T) {
	require.Equal(t, 1, version)
	require.Equal(t, "hlnrset", string([]byte{kindHello, kindLater, kindNo, kindHead, kindNotes, kindEnd, kindStatus}))
	require.Equal(t, []string{"report", "status"}, []string{wantReport, wantStatus})
	require.Equal(t, []string{"version", "name", "self", "unusable"}, []string{noVersion, noName, noSelf, noUse})
	require.Equal(t, []int{128 << 10, 4 << 20, 4, 8, 200}, []int{frameMost, totalMost, nestedMost, sumBytes, wordsMost})
}
