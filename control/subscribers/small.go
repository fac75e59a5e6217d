package subscribers

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digest hashes parts so that no two rows of them run into one.
type digest struct{ d xxhash.Digest }

func newDigest() *digest {
	d := &digest{}
	d.d.Reset()
	return d
}

func (d *digest) text(s string) {
	d.number(uint64(len(s)))
	_, _ = d.d.WriteString(s)
}

func (d *digest) number(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.d.Write(b[:])
}

func (d *digest) sum() uint64 { return d.d.Sum64() }

// mixed spreads two hashes over all numbers: a member's and a subscriber's, for the highest of all members.
func mixed(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
