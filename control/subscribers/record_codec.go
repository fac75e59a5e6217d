package subscribers

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxValueBytes limits a record as the shared map holds it: query, checkpoint and attachments fit.
const maxValueBytes = 8 << 10

// recordEncoding is canonical, so that one content has one encoding and one hash on all instances.
var recordEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// sharedDecoding limits what other instances can make this one allocate.
var sharedDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: 128, MaxMapPairs: 128, MaxNestedLevels: 6,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Encode returns a record's form in the shared map, one for each content.
func (r Record) Encode() []byte {
	text, err := recordEncoding.Marshal(r)
	if err != nil {
		panic(err) // no value of the type fails
	}
	return text
}

// DecodeRecord reads a record of the shared map. What other instances wrote is checked like a file's line; the error is
// an InvalidRecordError without the entry's name.
func DecodeRecord(text []byte) (record Record, err error) {
	if len(text) > maxValueBytes {
		return record, &InvalidRecordError{Reason: fmt.Sprintf("%d bytes", len(text))}
	}
	if err := sharedDecoding.Unmarshal(text, &record); err != nil {
		return record, &InvalidRecordError{Reason: err.Error()}
	}
	if record.Consent == 0 || record.Consent > 2*maxFileConsent {
		return record, &InvalidRecordError{Reason: fmt.Sprintf("consent %d", record.Consent)}
	}
	if record.exceedsLimits() {
		return record, &InvalidRecordError{Reason: "more than it may hold"}
	}
	if reason := record.Details.validate(); reason != "" && record.Details.Type != "" {
		return record, &InvalidRecordError{Reason: reason}
	}
	return record, nil
}

func (r Record) exceedsLimits() bool {
	return len(r.Attachments) > maxAttachments || len(r.PriorHashes) > maxPriorHashes || len(r.Checkpoint.Values) > MaxBlocks ||
		len(r.Unsubscriptions) > maxUnsubscriptions || len(r.SeenUnsubscriptions) > maxUnsubscriptions
}
