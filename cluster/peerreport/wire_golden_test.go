package peerreport

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// A report's head and notes as peers of different builds exchange them. Package peerprotocol pins the frames around them.
func TestGoldenReport(t *testing.T) {
	head := Head{Peer: "gateway-1", Place: "eu-west-1a", Serial: 3, List: 42, Age: 1500, Answers: 800, Usual: 120, Shortest: 35, Hosts: 2,
		Zones: []Zone{{Name: "eu-west-1b", N: 65535, Slower: -32768}, {Name: "eu-west-1c", N: 8, Slower: 32767}}}
	note := Note{ID: "host-1:9200", Zone: 1, Since: 1_790_000_000_000, ShortN: 80, LongN: 200, Short: 120, Long: -90, Strikes: 2, Refused: 3, Quiet: 4,
		Silent: 5000, Age: 1200, Bad: true}
	form := func(name string, value any, decode func(encoded []byte) (any, error)) goldenForm {
		return goldenForm{name, func() ([]byte, error) { return cbor.Marshal(value) }, decode, value}
	}
	decodeHead := func(encoded []byte) (any, error) {
		var decoded Head
		if err := cbor.Unmarshal(encoded, &decoded); err != nil {
			return nil, err
		}
		return decoded, decoded.Check()
	}
	decodeNote := func(encoded []byte) (any, error) {
		var decoded Note
		if err := cbor.Unmarshal(encoded, &decoded); err != nil {
			return nil, err
		}
		return decoded, decoded.Check()
	}
	requireGolden(t, "report.golden", []goldenForm{
		form("head", head, decodeHead),
		form("head-shortest", Head{Peer: "g"}, decodeHead),
		form("note", note, decodeNote),
		form("note-without-answer", Note{ID: "h", Age: NoAnswer}, decodeNote),
	})
}

// Scales and limits of the numbers that travel, and the words for outcomes in a peer's status.
func TestGoldenReportConstants(t *testing.T) {
	require.Equal(t, uint32(math.MaxUint32), uint32(NoAnswer))
	require.Equal(t, []int{1000, 8, 10}, []int{logScale, countScale, tenthsPerMs})
	require.Equal(t, []int{16, 20_000, 64, 128, 512}, []int{PeersMost, HostsMost, ZonesMost, NameMost, SliceMost})
	require.Equal(t, []int{0, 1, 2, 3, 4}, []int{int(Told), int(Later), int(Failed), int(Refused), int(Myself)})
	require.Equal(t, []string{"told", "later", "failed", "refused", "myself"},
		[]string{Told.String(), Later.String(), Failed.String(), Refused.String(), Myself.String()})
}
