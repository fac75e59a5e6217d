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
	Siblings      []Sibling // sorted by dot; more than one were written concurrently, and the caller resolves them by a Put
	CausalContext Version   // the siblings' changes and those that their writers had seen
}

// IsLive reports whether any sibling is not a tombstone.
func (e Entry) IsLive() bool {
	return slices.ContainsFunc(e.Siblings, func(s Sibling) bool { return !s.Deleted })
}

// invalidReason says why an entry from outside cannot be used; it is empty for a valid one.
func (e Entry) invalidReason() string {
	switch {
	case e.Name == "" || len(e.Name) > MaxNameBytes:
		return "a name that is empty or too long"
	case len(e.Siblings) > MaxSiblings:
		return "an entry with too many siblings"
	case !e.CausalContext.isValid():
		return invalidVersion
	}
	for i, s := range e.Siblings {
		switch {
		case len(s.Value) > MaxValueBytes:
			return "a value with too many bytes"
		case s.Dot.Counter == 0 || !isValidActor(s.Dot.Actor) || !e.CausalContext.Covers(s.Dot):
			return "a sibling that its entry's causal context does not cover"
		case i > 0 && e.Siblings[i-1].Dot.compare(s.Dot) >= 0:
			return "siblings out of order"
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
	entryOverheadBytes   = 24 // about the bytes of an encoded entry beside its name, siblings and causal context
	siblingOverheadBytes = 16 // and of a sibling in it beside its actor and value
)

// encodedSize estimates the bytes of an entry in a message.
func (e Entry) encodedSize() int {
	size := e.payloadBytes() + entryOverheadBytes + e.CausalContext.encodedSize()
	for _, s := range e.Siblings {
		size += len(s.Dot.Actor) + siblingOverheadBytes
	}
	return size
}

// computeDigest hashes the name and its siblings; 0 stands only for no sibling. Instances compare these digests with each
// other, so the bytes hashed are part of the protocol.
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

// compactContext returns the dots of the causal context whose actors wrote one of the siblings.
func (e Entry) compactContext() Version {
	compact := make(Version, 0, len(e.Siblings))
	for _, d := range e.CausalContext {
		if slices.ContainsFunc(e.Siblings, func(s Sibling) bool { return s.Dot.Actor == d.Actor }) {
			compact = append(compact, d)
		}
	}
	return compact
}
