package membership

import (
	"encoding/binary"
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// The encoding of a cluster's identity must not change: it is sent in each member's gossip metadata and stored on disk, and
// newer versions read what older ones wrote.
func TestGoldenIdentity(t *testing.T) {
	form := func(name string, identity, want Identity) golden.Form {
		return golden.Form{
			Name: name, Encode: func() ([]byte, error) { return cbor.Marshal(identity) },
			Decode: func(encoded []byte) (any, error) {
				var decoded Identity
				err := cbor.Unmarshal(encoded, &decoded)
				return decoded, err
			}, Want: want,
		}
	}
	tenants := []string{"zeta", "alpha", "beta", "gamma", "delta", "epsilon", "eta", "theta", "iota", "alpha"}
	golden.RequireForms(t, "identity.golden", []golden.Form{
		form("empty", NewIdentity("", nil), Identity{}),
		form("cluster", NewIdentity("live", nil), Identity{Cluster: "live"}),
		form("tenants", NewIdentity("", []string{"acme", "globex", "acme"}), Identity{Tenants: []uint32{0x218f91ac, 0x846fec0c}}),
		form("most-tenants", NewIdentity("live", tenants), Identity{Cluster: "live", Tenants: []uint32{
			0x1a801ff8,
			0x1dda5848, 0x2ee59b31, 0x398e98c4, 0x63d80dae, 0x75049e0f, 0x99332154, 0xafa801a1,
		}}),
		{Name: "tenant-hash", Encode: func() ([]byte, error) {
			return binary.BigEndian.AppendUint32(nil, NewIdentity("", []string{"acme"}).Tenants[0]), nil
		}, Decode: func(encoded []byte) (any, error) { return binary.BigEndian.Uint32(encoded), nil }, Want: uint32(0x846fec0c)},
	})
}

// The numeric values of a member's state and the limits on updates must not change: the states are sent in gossip, and
// receivers of other versions check the limits.
func TestGoldenMemberStates(t *testing.T) {
	require.Equal(t, []int{0, 1, 2, 3}, []int{int(Alive), int(Suspect), int(Dead), int(Left)})
	require.Equal(t, []string{"alive", "suspect", "gone", "left"}, []string{Alive.String(), Suspect.String(), Dead.String(), Left.String()})
	require.Equal(t, []int{40, 8}, []int{MaxClusterNameBytes, maxTenantHashes})
	require.Equal(t, []int{1000, 100, 200, 16}, []int{MaxMembers, MaxNameBytes, MaxTextBytes, MaxCapabilities})
}
