package subscribers

import (
	"errors"
	"fmt"

	"chalkring/cluster/crdt"
)

// tombstoneInstance is the name under which a tombstone of the shared map counts as an unsubscription.
const tombstoneInstance = "-"

// RecordUpdate computes the next record from the current one; exists is false if there is no current one, and write is
// false if nothing has to be written.
type RecordUpdate func(current Record, exists bool) (next Record, write bool, err error)

// ApplyUpdate runs an update on an entry of the shared map and returns the value to put. The caller has to read the
// entry and put the value in one atomic step. Otherwise the value would supersede an unsubscription that arrives in
// between, although the update has not seen it.
func ApplyUpdate(entry crdt.Entry, update RecordUpdate) (value []byte, write bool, err error) {
	current, records, err := resolveEntry(entry)
	if err != nil {
		return nil, false, err // a record that cannot be decoded must not be superseded
	}
	next, write, err := update(current, len(records) > 0)
	if err != nil || !write {
		return nil, false, err
	}
	next = next.pruned().withPriorHashesOf(records...)
	if len(records) > 0 && !next.supersedes(current) {
		return nil, false, &InvalidSubscriptionError{keyOf(entry.Name), "the update does not supersede the current record"}
	}
	if value = next.Encode(); len(value) > maxValueBytes {
		return nil, false, &InvalidSubscriptionError{keyOf(entry.Name), fmt.Sprintf("the record has %d bytes, at most %d are allowed", len(value), maxValueBytes)}
	}
	return value, true, nil
}

// supersedes reports whether a record keeps its content when it is merged with the current one. A merge with too many
// unsubscriptions is exempt: pruning has removed some of them.
func (r Record) supersedes(current Record) bool {
	merged := MergeRecords(current, r)
	if len(merged.Unsubscriptions) > maxUnsubscriptions {
		return true
	}
	return merged.contentHash() == r.contentHash() && merged.IsUnsubscribed() == r.IsUnsubscribed()
}

func keyOf(name string) Key {
	key, _ := ParseKey(name)
	return key
}

// resolveEntry decodes an entry: its merged record, and all records that were written concurrently. Only unsubscribed
// records are ever deleted from the shared map, long after the unsubscription. So a record written concurrently with a
// tombstone was written without having seen the unsubscription and is not a new subscription: the subscriber stays
// unsubscribed.
func resolveEntry(entry crdt.Entry) (current Record, records []Record, err error) {
	hasTombstone := false
	for _, sibling := range entry.Siblings {
		if sibling.Deleted {
			hasTombstone = true
			continue
		}
		record, decodeErr := DecodeRecord(sibling.Value)
		if decodeErr != nil {
			var invalid *InvalidRecordError
			errors.As(decodeErr, &invalid)
			invalid.Name = entry.Name
			err = errors.Join(err, invalid)
			continue
		}
		records = append(records, record)
	}
	if len(records) == 0 {
		return current, nil, err
	}
	current = mergeAll(records)
	if hasTombstone && !current.IsUnsubscribed() {
		current = current.withUnsubscription(tombstoneInstance, 1)
	}
	return current, records, err
}

// ResolveEntry returns the merged record of an entry of the shared map.
func ResolveEntry(entry crdt.Entry) (Record, error) {
	current, _, err := resolveEntry(entry)
	return current, err
}

// Subscribe subscribes a subscriber at the request of the embedder. After an unsubscription this is a new consent. A
// subscriber that is already subscribed gets the new details.
func Subscribe(key Key, region string, details Details) RecordUpdate {
	return func(current Record, exists bool) (Record, bool, error) {
		if err := validateSubscription(key, region, details); err != nil {
			return current, false, err
		}
		if !exists || current.IsUnsubscribed() {
			return current.resubscribed(current.Consent+1, details, region, Attachment{}), true, nil
		}
		_, attached := current.Attachments[region]
		if attached && current.Details.equal(details) {
			return current, false, nil
		}
		if !attached {
			current = current.withAttachment(region, Attachment{})
		}
		return current.withDetails(details), true, nil
	}
}

// ChangeDetails changes the details of a subscriber that is subscribed. It does not resubscribe one that has
// unsubscribed.
func ChangeDetails(key Key, details Details) RecordUpdate {
	return func(current Record, exists bool) (Record, bool, error) {
		const unusedRegion = "-" // a valid name; a change does not attach the subscriber to a region
		if err := validateSubscription(key, unusedRegion, details); err != nil {
			return current, false, err
		}
		if !exists || current.IsUnsubscribed() {
			return current, false, &NotSubscribedError{key, current.Consent}
		}
		return current.withDetails(details), !current.Details.equal(details), nil
	}
}

// Unsubscribe unsubscribes a subscriber until it subscribes again. instance is the name of the instance that accepts
// the call, and wallMS the time by its clock. An unknown subscriber is recorded as unsubscribed too, since its
// subscription may not have arrived yet. For one that is unsubscribed already another unsubscription is recorded, since
// a concurrent write elsewhere may have seen only the first.
func Unsubscribe(key Key, instance string, wallMS uint64) RecordUpdate {
	return func(current Record, _ bool) (Record, bool, error) {
		if reason := key.validate(); reason != "" {
			return current, false, &InvalidSubscriptionError{key, reason}
		}
		return current.withUnsubscription(instance, wallMS), true, nil
	}
}

// RecordDelivery records what was delivered under one consent.
func RecordDelivery(consent uint64, checkpoint DeliveryCheckpoint) RecordUpdate {
	return func(current Record, exists bool) (Record, bool, error) {
		if !exists || current.IsUnsubscribed() || current.Consent != consent || checkpoint.compare(current.Checkpoint) <= 0 {
			return current, false, nil
		}
		current.Checkpoint = checkpoint
		return current, true, nil
	}
}

func validateSubscription(key Key, region string, details Details) error {
	reason := key.validate()
	if reason == "" {
		reason = details.validate()
	}
	if reason == "" && !isRegion(region) {
		reason = fmt.Sprintf("%.40q is not a region name of 1 to 64 bytes without spaces and slashes", region)
	}
	if reason != "" {
		return &InvalidSubscriptionError{key, reason}
	}
	return nil
}
