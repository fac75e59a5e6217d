package peerprotocol

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
)

func goldenReport() (peerreport.ReportHeader, []peerreport.Observation) {
	observations := []peerreport.Observation{
		{
			HostID: "host-1:9200", ZoneIndex: 1, StartedMs: 1_790_000_000_000, ShortSamples: 80, LongSamples: 200, ShortLogSlowdown: 120, LongLogSlowdown: -90, ConsecutiveFailures: 2, ConnectFailures: 3, UnansweredRequests: 4,
			SilentMs: 5000, AgeMs: 1200, IsOutlier: true,
		},
		{HostID: "host-2:9200", AgeMs: peerreport.NeverAnswered},
	}
	return peerreport.ReportHeader{
		Peer: "b", Locality: "eu-west-1a", Serial: 3, ListVersion: 42, AgeMs: 1500, AnswerCount: 800, FleetLatency: 120, MinLatency: 35, HostCount: 2,
		Zones: []peerreport.ZoneObservation{{Name: "eu-west-1b", Samples: 16, LogSlowdown: 250}, {Name: "eu-west-1c", Samples: 8, LogSlowdown: -3}},
	}, observations
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
			header, observations := goldenReport()
			return header, observations, nil
		},
		BuildStatus: func(context.Context) (Status, error) { return goldenStatus(), nil },
		OnRejected:  func(string, string) {},
	}
}

// respond returns all bytes that a server sends in response to a request.
func respond(s *Server, request []byte) ([]byte, error) {
	client, server := net.Pipe()
	defer client.Close()
	go s.serveConn(context.Background(), server)
	if err := client.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return nil, err
	}
	if _, err := client.Write(request); err != nil {
		return nil, err
	}
	return io.ReadAll(client)
}

// query runs a client against a recorded response and returns the request that the client sent.
func query(client *Client, response []byte, run func() error) (request []byte, err error) {
	near, far := net.Pipe()
	client.Dial = func(context.Context, string, string) (net.Conn, error) { return near, nil }
	received := make(chan []byte, 1)
	go func() {
		defer far.Close()
		_, item, err := readFrame(io.TeeReader(far, writerFunc(func(b []byte) { request = append(request, b...) })), nil)
		if err == nil && len(item) > 0 {
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

// goldenResult is how a request for a report ended and what was received.
type goldenResult struct {
	outcome      peerreport.Outcome
	deferral     time.Duration
	headers      []peerreport.ReportHeader
	observations []peerreport.Observation
	failure      string
}

// Guards against changes of the wire format that peers of another build would not understand. It compares requests and
// whole responses byte by byte: a client of this build reads what an earlier server sent, and a server of this build
// answers an earlier client with the same bytes.
func TestGoldenPeerConnections(t *testing.T) {
	request := func(name string, instance uint64, subject string) []byte {
		b, err := appendFrame(nil, kindRequest, requestMessage{Version: protocolVersion, Name: name, Instance: instance, Subject: subject})
		require.NoError(t, err)
		return b
	}
	reportRequest, statusRequest := request("a", 1, subjectReport), request("a", 1, subjectStatus)
	unknownName, ownInstance := request("c", 1, subjectReport), request("a", 7, subjectReport)
	otherVersion, err := appendFrame(nil, kindRequest, requestMessage{Version: protocolVersion + 1, Name: "a", Instance: 1, Subject: subjectReport})
	require.NoError(t, err)
	unknownSubject := bytes.Replace(reportRequest, []byte("report"), []byte("secret"), 1)

	read := func(response []byte) (any, error) {
		result := goldenResult{}
		client := &Client{
			PeerName: "b", LocalName: "a", InstanceID: 1,
			OnHeader: func(h peerreport.ReportHeader) error { result.headers = append(result.headers, h); return nil },
			OnObservations: func(chunk []peerreport.Observation) error {
				result.observations = append(result.observations, chunk...)
				return nil
			},
		}
		sent, _ := query(client, response, func() error {
			var err error
			if result.outcome, result.deferral, err = client.FetchReport(context.Background()); err != nil {
				result.failure = err.Error()
			}
			return err
		})
		if !bytes.Equal(sent, reportRequest) {
			return nil, errors.New("the client's request differs from the recorded one")
		}
		return result, nil
	}
	response := func(name string, admitted bool, request []byte, want goldenResult) golden.Form {
		return golden.Form{Name: name, Encode: func() ([]byte, error) { return respond(goldenServer(admitted), request) }, Decode: read, Want: want}
	}
	decodeRequest := func(encoded []byte) (any, error) {
		kind, item, err := readFrame(bytes.NewReader(encoded), nil)
		if err != nil {
			return nil, err
		}
		if kind != 'h' {
			return nil, errors.New("the frame is not a request")
		}
		var decoded requestMessage
		err = decode(item, &decoded)
		return decoded, err
	}
	header, observations := goldenReport()
	golden.RequireForms(t, "connections.golden", []golden.Form{
		{
			Name: "request-report", Encode: func() ([]byte, error) { return reportRequest, nil }, Decode: decodeRequest,
			Want: requestMessage{Version: 1, Name: "a", Instance: 1, Subject: "report"},
		},
		{
			Name: "request-status", Encode: func() ([]byte, error) { return statusRequest, nil }, Decode: decodeRequest,
			Want: requestMessage{Version: 1, Name: "a", Instance: 1, Subject: "status"},
		},
		response("response-report", true, reportRequest, goldenResult{outcome: peerreport.OutcomeReceived, headers: []peerreport.ReportHeader{header}, observations: observations}),
		response("response-later", false, reportRequest, goldenResult{outcome: peerreport.OutcomeDeferred, deferral: 1500 * time.Millisecond}),
		response("response-unknown-name", true, unknownName,
			goldenResult{outcome: peerreport.OutcomeRejected, failure: "peer refused the request (name): the name is not among those that may ask"}),
		response("response-own-instance", true, ownInstance,
			goldenResult{outcome: peerreport.OutcomeSelf, failure: "peer refused the request (self): you are talking to yourself"}),
		response("response-other-version", true, otherVersion,
			goldenResult{outcome: peerreport.OutcomeRejected, failure: "peer refused the request (version): version 1 is spoken here"}),
		response("response-unknown-want", true, unknownSubject,
			goldenResult{outcome: peerreport.OutcomeRejected, failure: "peer refused the request (unusable): nothing known is wanted"}),
		{
			Name: "response-status", Encode: func() ([]byte, error) { return respond(goldenServer(true), statusRequest) },
			Decode: func(encoded []byte) (any, error) {
				client := &Client{PeerName: "b", LocalName: "a", InstanceID: 1}
				var status Status
				sent, err := query(client, encoded, func() (err error) { status, err = client.FetchStatus(context.Background()); return err })
				if !bytes.Equal(sent, statusRequest) {
					err = errors.Join(err, errors.New("the client's request differs from the recorded one"))
				}
				return status, err
			}, Want: goldenStatus(),
		},
		{
			Name: "notes", Encode: func() ([]byte, error) { return EncodeObservations(observations) },
			Decode: func(encoded []byte) (any, error) { return DecodeObservations(encoded) }, Want: observations,
		},
		{
			Name: "head", Encode: func() ([]byte, error) { return encoder.Marshal(header) },
			Decode: func(encoded []byte) (any, error) { return DecodeHeader(encoded) }, Want: header,
		},
	})
}

// Peers of other builds depend on the numbers and codes of the protocol and on the bounds that a receiver checks.
func TestGoldenPeerConstants(t *testing.T) {
	require.Equal(t, 1, protocolVersion)
	require.Equal(t, "hlnrset", string([]byte{kindRequest, kindDeferral, kindRejection, kindHeader, kindObservations, kindEnd, kindStatus}))
	require.Equal(t, []string{"report", "status"}, []string{subjectReport, subjectStatus})
	require.Equal(t, []string{"version", "name", "self", "unusable"}, []string{rejectedVersion, rejectedName, rejectedSelf, rejectedUnusable})
	require.Equal(t, []int{128 << 10, 4 << 20, 4, 8, 200}, []int{maxFrameBytes, maxResponseBytes, maxNesting, checksumBytes, maxRejectionText})
}
