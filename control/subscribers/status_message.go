package subscribers

import (
	"cmp"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
)

const (
	// StatusMessageKeyPrefix is the prefix of the entries of the shared map in which gateways publish their status.
	StatusMessageKeyPrefix = "subat/"

	maxStatusBytes = 256
)

// StatusMessage is what a gateway publishes in the shared map: its view, the round of agreement and the highest epoch
// that it has claimed. It publishes a view only after it has stopped serving the subscribers that others own under that
// view. Rounds only rise, so that a message from before a partition is not mistaken for one after it.
type StatusMessage struct {
	View  uint64 `cbor:"1,keyasint"`
	Round uint64 `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"3,keyasint"`
}

// Encode returns the message's encoding in the shared map.
func (m StatusMessage) Encode() []byte {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // encoding cannot fail for this type
	}
	return encoded
}

func (m StatusMessage) compare(other StatusMessage) int {
	return cmp.Or(cmp.Compare(m.Round, other.Round), cmp.Compare(m.Epoch, other.Epoch), cmp.Compare(m.View, other.View))
}

// DecodeStatusMessage decodes an entry of the shared map and returns the latest of the concurrently written messages.
func DecodeStatusMessage(entry crdt.Entry) (last StatusMessage) {
	for _, sibling := range entry.Siblings {
		if sibling.Deleted || len(sibling.Value) > maxStatusBytes {
			continue
		}
		var message StatusMessage
		if limitedDecoding.Unmarshal(sibling.Value, &message) == nil && message.compare(last) > 0 {
			last = message
		}
	}
	return last
}
