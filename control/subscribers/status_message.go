package subscribers

import (
	"cmp"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
)

const (
	// StatusMessageKeyPrefix begins the shared map's names under which gateways publish their status messages.
	StatusMessageKeyPrefix = "subat/"

	maxStatusBytes = 256
)

// StatusMessage is what a gateway publishes in the shared map: the view that it serves by, having ended all that belongs
// to another gateway by that view; the round of agreement; and the highest epoch that it has claimed. Rounds only rise,
// so that a message from before a partition is not taken for one after it.
type StatusMessage struct {
	View  uint64 `cbor:"1,keyasint"`
	Round uint64 `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"3,keyasint"`
}

// Encode returns the message's form in the shared map.
func (m StatusMessage) Encode() []byte {
	text, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // no value of the type fails
	}
	return text
}

func (m StatusMessage) compare(other StatusMessage) int {
	return cmp.Or(cmp.Compare(m.Round, other.Round), cmp.Compare(m.Epoch, other.Epoch), cmp.Compare(m.View, other.View))
}

// DecodeStatusMessage reads an entry of the shared map: the last of the messages that were written concurrently.
func DecodeStatusMessage(entry crdt.Entry) (last StatusMessage) {
	for _, sibling := range entry.Siblings {
		if sibling.Deleted || len(sibling.Value) > maxStatusBytes {
			continue
		}
		var message StatusMessage
		if sharedDecoding.Unmarshal(sibling.Value, &message) == nil && message.compare(last) > 0 {
			last = message
		}
	}
	return last
}
