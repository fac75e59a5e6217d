package peerreport

import (
	"math"
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Peers of different builds exchange reports, so the encoding of a report's header and observations must not change. The
// tests of package peerprotocol pin the frames around them.
func TestGoldenReport(t *testing.T) {
	header := ReportHeader{
		Peer: "gateway-1", Locality: "eu-west-1a", Serial: 3, ListVersion: 42, AgeMs: 1500, AnswerCount: 800, FleetLatency: 120, MinLatency: 35, HostCount: 2,
		Zones: []ZoneObservation{{Name: "eu-west-1b", Samples: 65535, LogSlowdown: -32768}, {Name: "eu-west-1c", Samples: 8, LogSlowdown: 32767}},
	}
	observation := Observation{
		HostID: "host-1:9200", ZoneIndex: 1, StartedMs: 1_790_000_000_000, ShortSamples: 80, LongSamples: 200, ShortLogSlowdown: 120, LongLogSlowdown: -90, ConsecutiveFailures: 2, ConnectFailures: 3, UnansweredRequests: 4,
		SilentMs: 5000, AgeMs: 1200, IsOutlier: true,
	}
	form := func(name string, value any, decode func(encoded []byte) (any, error)) golden.Form {
		return golden.Form{Name: name, Encode: func() ([]byte, error) { return cbor.Marshal(value) }, Decode: decode, Want: value}
	}
	decodeHeader := func(encoded []byte) (any, error) {
		var decoded ReportHeader
		if err := cbor.Unmarshal(encoded, &decoded); err != nil {
			return nil, err
		}
		return decoded, decoded.Validate()
	}
	decodeObservation := func(encoded []byte) (any, error) {
		var decoded Observation
		if err := cbor.Unmarshal(encoded, &decoded); err != nil {
			return nil, err
		}
		return decoded, decoded.Validate()
	}
	golden.RequireForms(t, "report.golden", []golden.Form{
		form("head", header, decodeHeader),
		form("head-shortest", ReportHeader{Peer: "g"}, decodeHeader),
		form("note", observation, decodeObservation),
		form("note-without-answer", Observation{HostID: "h", AgeMs: NeverAnswered}, decodeObservation),
	})
}

// Peers of other builds depend on the scales and bounds of the numbers in a report and on the texts for outcomes in a
// peer's status.
func TestGoldenReportConstants(t *testing.T) {
	require.Equal(t, uint32(math.MaxUint32), uint32(NeverAnswered))
	require.Equal(t, []int{1000, 8, 10}, []int{logScale, countScale, tenthsPerMs})
	require.Equal(t, []int{16, 20_000, 64, 128, 512}, []int{MaxPeers, MaxHosts, MaxZones, MaxNameBytes, MaxChunkObservations})
	require.Equal(t, []int{0, 1, 2, 3, 4}, []int{int(OutcomeReceived), int(OutcomeDeferred), int(OutcomeFailed), int(OutcomeRejected), int(OutcomeSelf)})
	require.Equal(t, []string{"told", "later", "failed", "refused", "myself"},
		[]string{OutcomeReceived.String(), OutcomeDeferred.String(), OutcomeFailed.String(), OutcomeRejected.String(), OutcomeSelf.String()})
}
