package crdt

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sibling is one value of a name.
type Sibling struct {
	_       struct{} `cbor:",toarray"`
	Dot     Dot      // the change that wrote it
	Value   []byte   // must not be changed
	Deleted bool     // a tombstone
}

// Entry is the state of a name.
type Entry struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Siblings      []Sibling // sorted by dot; concurrent changes leave several, which the caller resolves by a Put
	CausalContext Version   // the siblings' changes and the changes that their writers had seen
}

// IsLive reports whether any sibling is not a tombstone.
func (e Entry) IsLive() bool {
	return slices.ContainsFunc(e.Siblings, func(s Sibling) bool { return !s.Deleted })
}

// invalidReason returns why a received entry is invalid; it is empty for a valid one.
func (e Entry) invalidReason() string {
	switch {
	case e.Name == "" || len(e.Name) > MaxNameBytes:
		return "the name of an entry is empty or exceeds MaxNameBytes"
	case len(e.Siblings) > MaxSiblings:
		return "an entry has more than MaxSiblings siblings"
	case !e.CausalContext.isValid():
		return invalidVersion
	}
	for i, s := range e.Siblings {
		switch {
		case len(s.Value) > MaxValueBytes:
			return "a value exceeds MaxValueBytes"
		case s.Dot.Counter == 0 || !isValidActor(s.Dot.Actor) || !e.CausalContext.Covers(s.Dot):
			return "a sibling has an invalid dot, or the causal context of its entry does not cover it"
		case i > 0 && e.Siblings[i-1].Dot.compare(s.Dot) >= 0:
			return "the siblings of an entry are not sorted by dot"
		}
	}
	return ""
}

// payloadBytes counts the bytes of the name and the values, which MaxTotalBytes limits.
func (e Entry) payloadBytes() int {
	size := len(e.Name)
	for _, s := range e.Siblings {
		size += len(s.Value)
	}
	return size
}

const (
	entryOverheadBytes   = 24 // approximate size of an encoded entry without its name, siblings and causal context
	siblingOverheadBytes = 16 // approximate size of an encoded sibling without its actor and value
)

// encodedSize estimates the size of an entry in a message, in bytes.
func (e Entry) encodedSize() int {
	size := e.payloadBytes() + entryOverheadBytes + e.CausalContext.encodedSize()
	for _, s := range e.Siblings {
		size += len(s.Dot.Actor) + siblingOverheadBytes
	}
	return size
}

// computeDigest hashes the name and its siblings; it is 0 only if there is no sibling. Instances compare their digests,
// so the bytes that are hashed are part of the protocol.
func (e Entry) computeDigest() uint64 {
	if len(e.Siblings) == 0 {
		return 0
	}
	var hash xxhash.Digest
	hash.Reset()
	var buffer [8]byte
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(buffer[:], n)
		_, _ = hash.Write(buffer[:])
	}
	writeString := func(s string) {
		writeNumber(uint64(len(s)))
		_, _ = hash.WriteString(s)
	}
	writeString(e.Name)
	for _, s := range e.Siblings {
		writeString(s.Dot.Actor)
		counterAndFlag := s.Dot.Counter << 1
		if s.Deleted {
			counterAndFlag |= 1
		}
		writeNumber(counterAndFlag)
		writeNumber(uint64(len(s.Value)))
		_, _ = hash.Write(s.Value)
	}
	return max(hash.Sum64(), 1)
}

// compactContext returns the dots of the causal context whose actor wrote one of the siblings.
func (e Entry) compactContext() Version {
	compact := make(Version, 0, len(e.Siblings))
	for _, d := range e.CausalContext {
		if slices.ContainsFunc(e.Siblings, func(s Sibling) bool { return s.Dot.Actor == d.Actor }) {
			compact = append(compact, d)
		}
	}
	return compact
}
