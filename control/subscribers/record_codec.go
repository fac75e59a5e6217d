package subscribers

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxValueBytes limits an encoded record; query, checkpoint and attachments fit into it.
const maxValueBytes = 8 << 10

// recordEncoding is canonical, so that equal records have the same encoding and hash on all instances.
var recordEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// limitedDecoding limits how much memory other instances can make this one allocate.
var limitedDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: 128, MaxMapPairs: 128, MaxNestedLevels: 6,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Encode returns a record's encoding in the shared map, the same for equal records.
func (r Record) Encode() []byte {
	encoded, err := recordEncoding.Marshal(r)
	if err != nil {
		panic(err) // encoding cannot fail for this type
	}
	return encoded
}

// DecodeRecord decodes a record of the shared map. Since other instances may have written it, it is checked like a line
// of a file. The error is an InvalidRecordError without the entry's name.
func DecodeRecord(encoded []byte) (record Record, err error) {
	if len(encoded) > maxValueBytes {
		return record, &InvalidRecordError{Reason: fmt.Sprintf("it has %d bytes, at most 8192 are allowed", len(encoded))}
	}
	if err := limitedDecoding.Unmarshal(encoded, &record); err != nil {
		return record, &InvalidRecordError{Reason: err.Error()}
	}
	if record.Consent == 0 || record.Consent > 2*maxFileConsent {
		return record, &InvalidRecordError{Reason: fmt.Sprintf("consent %d is not between 1 and 2^41", record.Consent)}
	}
	if record.exceedsLimits() {
		return record, &InvalidRecordError{Reason: "it has more than 16 attachments or unsubscriptions, 8 prior hashes or 64 checkpoint values"}
	}
	if reason := record.Details.validate(); reason != "" && record.Details.Type != "" {
		return record, &InvalidRecordError{Reason: reason}
	}
	return record, nil
}

func (r Record) exceedsLimits() bool {
	return len(r.Attachments) > maxAttachments || len(r.PriorHashes) > maxPriorHashes || len(r.Checkpoint.ValueHashes) > MaxBlocks ||
		len(r.Unsubscriptions) > maxUnsubscriptions || len(r.SeenUnsubscriptions) > maxUnsubscriptions
}
