package peerprotocol

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/peerreport"
)

const (
	// checksumBytes is the length of a report's checksum.
	checksumBytes = 8
	// maxMapPairs bounds the size of received CBOR maps; the protocol's messages contain none.
	maxMapPairs = 16
)

var (
	encoder = mustMode(cbor.EncOptions{
		Sort: cbor.SortNone, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.EncMode())
	decoder = mustMode(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: maxNesting, MaxArrayElements: peerreport.MaxChunkObservations,
		MaxMapPairs: maxMapPairs, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode())
)

// mustMode panics if the options above contradict each other.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// decode decodes one CBOR item. It returns an error that wraps ErrInvalidMessage.
func decode(item []byte, into any) error {
	if err := decoder.Unmarshal(item, into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	return nil
}

// EncodeObservations encodes a chunk of a report in its wire format.
func EncodeObservations(observations []peerreport.Observation) ([]byte, error) {
	return encoder.Marshal(observations)
}

// DecodeObservations decodes and validates a chunk of a report. It returns an error that wraps ErrInvalidMessage.
func DecodeObservations(item []byte) ([]peerreport.Observation, error) {
	var observations []peerreport.Observation
	if err := decode(item, &observations); err != nil {
		return nil, err
	}
	if len(observations) > peerreport.MaxChunkObservations {
		return nil, fmt.Errorf("%w: %d observations in a chunk, more than allowed", ErrInvalidMessage, len(observations))
	}
	for i := range observations {
		if err := observations[i].Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
		}
	}
	return observations, nil
}

// DecodeHeader decodes and validates a report's header. It returns an error that wraps ErrInvalidMessage.
func DecodeHeader(item []byte) (header peerreport.ReportHeader, err error) {
	if err = decode(item, &header); err != nil {
		return header, err
	}
	if err = header.Validate(); err != nil {
		return header, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	return header, nil
}

// checksum is the xxhash64 over the items of all chunks of a report.
type checksum struct{ digest *xxhash.Digest }

func newChecksum() checksum { return checksum{digest: xxhash.New()} }

func (c checksum) add(item []byte) {
	_, _ = c.digest.Write(item) // writing to a hash never fails
}

// bytes returns the checksum as it is sent.
func (c checksum) bytes() []byte { return binary.BigEndian.AppendUint64(nil, c.digest.Sum64()) }

// verify compares the checksum with the item of a received kindEnd frame.
func (c checksum) verify(item []byte) error {
	var received []byte
	if err := decode(item, &received); err != nil {
		return err
	}
	if len(received) != checksumBytes || binary.BigEndian.Uint64(received) != c.digest.Sum64() {
		return fmt.Errorf("%w: checksum does not match the received observations", ErrInvalidMessage)
	}
	return nil
}
