package subscribers

import (
	"errors"
	"fmt"

	"chalkring/cluster/crdt"
)

// tombstoneInstance is the name under which a tombstone of the shared map counts as an unsubscription.
const tombstoneInstance = "-"

// RecordUpdate makes the next record from the current one; exists is false where there is none. Write is false where
// nothing is to be written.
type RecordUpdate func(current Record, exists bool) (next Record, write bool, err error)

// ApplyUpdate runs an update on an entry of the shared map and returns the value to put. The caller puts it in the same
// step in which it read the entry. Otherwise an unsubscription that arrives in between would be superseded unseen.
func ApplyUpdate(entry crdt.Entry, update RecordUpdate) (value []byte, write bool, err error) {
	current, records, err := resolveEntry(entry)
	if err != nil {
		return nil, false, err // what cannot be read must not be superseded
	}
	next, write, err := update(current, len(records) > 0)
	if err != nil || !write {
		return nil, false, err
	}
	next = next.pruned().withPriorHashesOf(records...)
	if len(records) > 0 && !next.supersedes(current) {
		return nil, false, &InvalidSubscriptionError{keyOf(entry.Name), "would go back behind what holds"}
	}
	if value = next.Encode(); len(value) > maxValueBytes {
		return nil, false, &InvalidSubscriptionError{keyOf(entry.Name), fmt.Sprintf("%d bytes, %d at the most", len(value), maxValueBytes)}
	}
	return value, true, nil
}

// supersedes reports whether a record says the same after it is merged with the current one. A merge with too many
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

// resolveEntry reads an entry: its merged record, and all records that were written concurrently. Only unsubscribed
// records are ever deleted from the shared map, long after. A record written concurrently with the tombstone was written
// without having seen the unsubscription, so it is no new subscription: the subscriber stays unsubscribed.
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

// Subscribe is the embedder's call for a subscriber that asks for something now. After an unsubscription it is a new
// consent. A subscriber that is subscribed gets other details.
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

// ChangeDetails gives a subscriber that is subscribed other details. It brings nobody back.
func ChangeDetails(key Key, details Details) RecordUpdate {
	return func(current Record, exists bool) (Record, bool, error) {
		const anyRegion = "-" // a change attaches the subscriber to no further region
		if err := validateSubscription(key, anyRegion, details); err != nil {
			return current, false, err
		}
		if !exists || current.IsUnsubscribed() {
			return current, false, &NotSubscribedError{key, current.Consent}
		}
		return current.withDetails(details), !current.Details.equal(details), nil
	}
}

// Unsubscribe unsubscribes a subscriber for good, unless it subscribes anew. Instance is the one that accepts the call,
// at wallMS by its clock. An unknown subscriber is recorded as unsubscribed too: its subscription may be on its way. One
// that is unsubscribed is recorded again: what is written concurrently elsewhere may know only of the first time.
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
		reason = fmt.Sprintf("region %.40q is no name", region)
	}
	if reason != "" {
		return &InvalidSubscriptionError{key, reason}
	}
	return nil
}
