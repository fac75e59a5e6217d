package gossip

import (
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/membership"
)

// goldenMessage is a decoded message of a golden form.
type goldenMessage struct {
	header messageHeader
	body   []byte
}

func decodeGoldenMessage(encoded []byte) (any, error) {
	header, body, err := decodeMessage(encoded)
	return goldenMessage{header, body}, err
}

// The encoding of member metadata, lists of ended incarnations and messages must not change: instances of different versions
// send them to each other.
func TestGoldenGossipMessages(t *testing.T) {
	identity := membership.Identity{Cluster: "live", Tenants: []uint32{0x01020304, 0xfffefdfc}}
	node := func(identity membership.Identity) *Node {
		return &Node{options: Options{Identity: identity}, decMode: newDecMode()}
	}
	full := membership.Member{
		Name: "gateway-1", Incarnation: 1_790_000_000_000_000_001, MetaVersion: 7, SuspicionVersion: 9, Region: "eu-west", Zone: "eu-west-1a",
		ProgramVersion: "v1.2.3", SettingsGeneration: 42, Capabilities: []string{"ledger", "rollout"}, Addr: "192.0.2.1:7946", StateSince: 5,
	}
	decoded := full // SuspicionVersion and StateSince are not sent, and the address comes from memberlist
	decoded.SuspicionVersion, decoded.StateSince, decoded.Addr = 0, 0, "192.0.2.9:7946"
	member := func(name string, identity membership.Identity, state, wantState membership.State) golden.Form {
		sent, want := full, decoded
		sent.State, want.State = state, wantState
		return golden.Form{
			Name: name, Encode: func() ([]byte, error) { return node(identity).encodeMember(sent) },
			Decode: func(encoded []byte) (any, error) { return node(identity).decodeMember(encoded, "192.0.2.9:7946") }, Want: want,
		}
	}
	shortest := membership.Member{Name: "g", Incarnation: 1}
	ended := []membership.Member{{Name: "gateway-2", Incarnation: 11, State: membership.Dead}, {Name: "gateway-3", Incarnation: 12, State: membership.Left}}
	golden.RequireForms(t, "messages.golden", []golden.Form{
		member("member", identity, membership.Alive, membership.Alive),
		member("member-without-identity", membership.Identity{}, membership.Alive, membership.Alive),
		member("member-suspect", identity, membership.Suspect, membership.Alive),
		member("member-leaving", identity, membership.Left, membership.Left),
		{
			Name: "member-shortest", Encode: func() ([]byte, error) { return node(membership.Identity{}).encodeMember(shortest) },
			Decode: func(encoded []byte) (any, error) { return node(membership.Identity{}).decodeMember(encoded, "") }, Want: shortest,
		},
		{
			Name: "member-identity", Encode: func() ([]byte, error) { return node(identity).encodeMember(shortest) },
			Decode: func(encoded []byte) (any, error) {
				var received wireMember
				err := newDecMode().Unmarshal(encoded, &received)
				return received.Identity, err
			}, Want: identity,
		},
		{
			Name: "ended-lives", Encode: func() ([]byte, error) { return encodeEnded(ended), nil },
			Decode: func(encoded []byte) (any, error) { return node(identity).decodeEnded(encoded) }, Want: ended,
		},
		{
			Name: "no-ended-lives", Encode: func() ([]byte, error) { return encodeEnded(nil), nil },
			Decode: func(encoded []byte) (any, error) { return node(identity).decodeEnded(encoded) }, Want: []membership.Member(nil),
		},
		{
			Name: "message", Encode: func() ([]byte, error) { return encodeMessage(2, full, []byte("body")), nil }, Decode: decodeGoldenMessage,
			Want: goldenMessage{messageHeader{2, "gateway-1", 1_790_000_000_000_000_001}, []byte("body")},
		},
		{
			Name: "message-of-ended-lives", Encode: func() ([]byte, error) { return encodeMessage(endedTopic, shortest, encodeEnded(ended)), nil }, Decode: decodeGoldenMessage,
			Want: goldenMessage{messageHeader{0, "g", 1}, encodeEnded(ended)},
		},
		{
			Name: "node-name", Encode: func() ([]byte, error) { return []byte(nodeNameOf("gateway-1", 0xdeadbeef)), nil },
			Decode: func(encoded []byte) (any, error) { return string(encoded), nil }, Want: "gateway-1#deadbeef",
		},
	})
}

// The topic of the package's own messages and the limits that receivers check must not change: receivers of other versions
// would drop what this version sends.
func TestGoldenGossipConstants(t *testing.T) {
	require.Equal(t, 0, endedTopic)
	require.Equal(t, []int{512, 2 << 20, 2000, 256, 1 << 20}, []int{maxMetadataBytes, maxUpdatesBytes, maxUpdates, maxHeaderBytes, MaxBodyBytes})
}
