package rollout

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Keys of the replicated entries.
const (
	KeyPrefix    = "rollout/"            // of all entries of this package
	changePrefix = KeyPrefix + "change/" // number/digest: a Change, immutable
	rosterPrefix = KeyPrefix + "roster/" // number/digest: instances sorted by name, immutable
	statusPrefix = KeyPrefix + "word/"   // instance: its StatusMessage, written by that instance alone
	numberDigits = 20                    // of a number in a key, padded with zeros so that keys sort by number
)

// MaxEntryBytes is the largest size of an entry that is written or read.
const MaxEntryBytes = 1 << 20

// maxRosterBytes is the largest size of a roster before compression. It is enough for maxInstances.
const maxRosterBytes = 1 << 20

// Limits on what a decoder allocates for an entry.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 12
)

// The options are constants, so creating the modes cannot fail. Deterministic encoding makes digests equal on all
// instances.
var (
	cborEncoder, _ = cbor.CoreDetEncOptions().EncMode()
	cborDecoder, _ = cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs}.DecMode()
)

// StatusMessageKey returns the key of an instance's StatusMessage.
func StatusMessageKey(instance string) string { return statusPrefix + instance }

func changeKey(number uint64, digest string) string { return numberedKey(changePrefix, number, digest) }

func rosterKey(number uint64, digest string) string { return numberedKey(rosterPrefix, number, digest) }

func numberedKey(prefix string, number uint64, digest string) string {
	return fmt.Sprintf("%s%0*d/%s", prefix, numberDigits, number, digest)
}

// parseKeySuffix parses what follows the prefix in a changeKey or rosterKey.
func parseKeySuffix(suffix string) (number uint64, digest string, ok bool) {
	text, digest, ok := strings.Cut(suffix, "/")
	if _, err := fmt.Sscanf(text, "%d", &number); err != nil || len(text) != numberDigits {
		return 0, "", false
	}
	return number, digest, ok
}

// encodeEntry encodes a value of this package. No field of these types can fail to encode.
func encodeEntry(value any) []byte {
	text, _ := cborEncoder.Marshal(value)
	return text
}

// decodeEntry decodes an entry into a value. Fields that a later version has added are ignored.
func decodeEntry(key string, entry []byte, value any) error {
	if len(entry) > MaxEntryBytes {
		return &InvalidEntryError{key, fmt.Errorf("%d bytes, more than an entry may have", len(entry))}
	}
	if err := cborDecoder.Unmarshal(entry, value); err != nil {
		return &InvalidEntryError{key, err}
	}
	return nil
}

// encodeRoster encodes instances that are sorted by name. They are compressed, so that a few hundred fit into an entry.
func encodeRoster(instances []Instance) []byte {
	var compressed bytes.Buffer
	writer, _ := flate.NewWriter(&compressed, flate.BestCompression) // fails for an unknown level only
	_, _ = writer.Write(encodeEntry(instances))                      // writes to memory cannot fail
	_ = writer.Close()
	return compressed.Bytes()
}

func decodeRoster(key string, entry []byte) (instances []Instance, err error) {
	if len(entry) > MaxEntryBytes {
		return nil, &InvalidEntryError{key, fmt.Errorf("%d bytes, more than an entry may have", len(entry))}
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(entry)), maxRosterBytes))
	if err == nil {
		err = cborDecoder.Unmarshal(text, &instances)
	}
	if err != nil {
		return nil, &InvalidEntryError{key, err}
	}
	return instances, nil
}
