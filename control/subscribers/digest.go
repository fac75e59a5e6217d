package subscribers

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digest hashes a sequence of texts and numbers. Each text is preceded by its length, so that different sequences hash
// different bytes.
type digest struct{ hash xxhash.Digest }

func newDigest() *digest {
	d := &digest{}
	d.hash.Reset()
	return d
}

func (d *digest) addText(text string) {
	d.addNumber(uint64(len(text)))
	_, _ = d.hash.WriteString(text) // never fails
}

func (d *digest) addNumber(number uint64) {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], number)
	_, _ = d.hash.Write(bytes[:]) // never fails
}

func (d *digest) sum() uint64 { return d.hash.Sum64() }

// rendezvousHash returns the weight of a gateway for a subscriber, computed from the hashes of both: the gateway with
// the highest weight owns the subscriber. The constants are those of splitmix64.
func rendezvousHash(gateway, subscriber uint64) uint64 {
	x := gateway ^ subscriber
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
