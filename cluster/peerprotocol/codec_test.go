package peerprotocol

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/peerreport"
)

// A frame that every receiver would reject for its size must fail at the sender already.
func TestOversizedFrameIsNotSent(t *testing.T) {
	_, err := appendFrame(nil, kindStatus, make([]byte, maxFrameBytes))
	var tooLarge *FrameTooLargeError
	require.ErrorAs(t, err, &tooLarge)
}

// Whatever bytes a peer sends, decoding must not panic. What is accepted stays within the bounds, decodes to the same
// value after it is encoded again, and is accepted by a report store.
func FuzzDecode(f *testing.F) {
	chunk, err := EncodeObservations(hostObservations(3))
	require.NoError(f, err)
	header, err := appendFrame(nil, kindHeader, peerreport.ReportHeader{Peer: "b", Zones: []peerreport.ZoneObservation{{Name: "z"}}})
	require.NoError(f, err)
	f.Add(chunk)
	f.Add(header[frameHeaderBytes:])
	f.Add(bytes.Repeat([]byte{0x81}, 4000))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, item []byte) {
		if observations, err := DecodeObservations(item); err == nil {
			require.LessOrEqual(t, len(observations), peerreport.MaxChunkObservations)
			encoded, err := EncodeObservations(observations)
			require.NoError(t, err)
			decoded, err := DecodeObservations(encoded)
			require.NoError(t, err)
			require.Equal(t, observations, decoded)
		}
		if header, err := DecodeHeader(item); err == nil {
			require.NoError(t, peerreport.NewReportStore("", nil).BeginReport(0, header))
		}
		framed := append(binary.BigEndian.AppendUint32(nil, uint32(len(item))), item...)
		if _, read, err := readFrame(bytes.NewReader(framed), nil); err == nil {
			require.Equal(t, string(item[frameKindBytes:]), string(read))
		}
	})
}

// BenchmarkEncodeObservations measures the encoding of a large report and its encoded size per host.
func BenchmarkEncodeObservations(b *testing.B) {
	observations, encodedBytes := hostObservations(10_000), 0
	for b.Loop() {
		encodedBytes = 0
		for from := 0; from < len(observations); from += peerreport.MaxChunkObservations {
			item, err := EncodeObservations(observations[from:min(len(observations), from+peerreport.MaxChunkObservations)])
			require.NoError(b, err)
			encodedBytes += len(item)
		}
	}
	b.ReportMetric(float64(encodedBytes)/float64(len(observations)), "bytes/host")
}
