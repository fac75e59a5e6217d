package subscribers

import (
	"bytes"
	"cmp"
	"fmt"
)

// DeliveryNumber orders the deliveries to a subscriber. A gateway claims an epoch above all epochs that it has seen, and
// the sequence rises within the epoch. The gateway's name, which is unique, distinguishes equal epochs.
type DeliveryNumber struct {
	Epoch    uint64 `cbor:"1,keyasint" json:"turn"`
	Sequence uint64 `cbor:"2,keyasint" json:"n"`
	Gateway  string `cbor:"3,keyasint" json:"gateway"`
}

// Compare orders numbers by epoch, sequence and gateway.
func (n DeliveryNumber) Compare(other DeliveryNumber) int {
	return cmp.Or(cmp.Compare(n.Epoch, other.Epoch), cmp.Compare(n.Sequence, other.Sequence), cmp.Compare(n.Gateway, other.Gateway))
}

func (n DeliveryNumber) String() string {
	return fmt.Sprintf("%d.%d.%s", n.Epoch, n.Sequence, n.Gateway)
}

// DeliveryCheckpoint records what was delivered last. A gateway that takes over a subscriber continues from it.
type DeliveryCheckpoint struct {
	Number      DeliveryNumber `cbor:"1,keyasint"`
	ValueHashes map[int]uint64 `cbor:"2,keyasint,omitempty"` // hash of the last delivered value, by block
}

// compare orders checkpoints by number, and those with the same number by their encoding, so that all instances agree.
func (c DeliveryCheckpoint) compare(other DeliveryCheckpoint) int {
	if order := c.Number.Compare(other.Number); order != 0 {
		return order
	}
	return bytes.Compare(Record{Checkpoint: c}.Encode(), Record{Checkpoint: other}.Encode())
}
